/// \file
/// What becomes of a call, of its engine and of other calls when an engine
/// sends bytes without end.

#include "entry/byte_limits.hpp"

#include "endless_server.hpp"
#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

std::string const answer_head =
    "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nResponse-Stamp: s\r\n";
std::string const stream_head = answer_head +
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// Engine `ia` and plain service `da` are in trouble, `ib` and `db` are sound.
/// Those in trouble are chosen first, as the others are in another zone.
struct endless_answer_fixture : entry_world
{
    std::optional<endless_server> trouble;

    void begin_trouble(endless_answer const& answer, bool sound_ones_remain)
    {
        trouble.emplace(answer);
        for (auto const* id : {"ia", "da"})
        {
            store.put(
                "servers", id,
                engine_row(
                    id == std::string("ia") ? "llm" : "desk",
                    trouble->address(), 1'700'000'000'000));
        }
        if (!sound_ones_remain)
        {
            store.remove("servers", "ib");
            store.remove("servers", "db");
            return;
        }
        auto far_engine =
            engine_row("llm", engine_b.address(), 1'700'000'000'000);
        far_engine["zone"] = "z2";
        store.put("servers", "ib", far_engine);
        auto far_service =
            engine_row("desk", service_b.address(), 1'700'000'000'000);
        far_service["zone"] = "z2";
        store.put("servers", "db", far_service);
    }

    static caller_answer call(node const& at, std::string const& bytes)
    {
        test_caller caller(at.settings.listen_callers);
        return caller.call(bytes);
    }

    /// Sends calls until one of them has reached the server in trouble.
    /// \return its answer
    caller_answer call_trouble(
        node const& at,
        std::function<std::string(std::string const&)> const& of)
    {
        caller_answer got;
        for (int i = 0; i < 40 && trouble->connections() == 0; ++i)
            got = call(at, of("r" + std::to_string(i)));
        REQUIRE(trouble->connections() > 0);
        return got;
    }

    double failed(node const& at, std::string const& outcome) const
    {
        return metric(
                   at, "walnutmill_attempts_failed_total{outcome=\"" + outcome +
                           "\"}")
            .value_or(0);
    }

    bool counts_crashes(node const& at) const
    {
        for (auto const* evidence : {"connection closed", "silent"})
        {
            if (metric(
                    at, std::string("walnutmill_request_crashes_total{"
                                    "evidence=\"") +
                            evidence + "\"}"))
                return true;
        }
        return false;
    }

    void check_too_long(node const& at) const
    {
        CHECK(failed(at, "too long") >= 1);
        CHECK_FALSE(counts_crashes(at));
    }

    /// Checks that calls go elsewhere once the engine has failed some.
    void check_others_are_served(node const& at)
    {
        for (int i = 0; i < 20; ++i)
        {
            auto const got = call(at, post("/safe/x", "s" + std::to_string(i)));
            CHECK(got.status == 200);
        }
        auto const before = trouble->connections();
        for (int i = 0; i < 10; ++i)
            CHECK(
                call(at, post("/orders/x", "o" + std::to_string(i))).status ==
                200);
        CHECK(trouble->connections() <= before + 1);
    }
};

endless_answer const endless_plain_answer{
    answer_head + "Transfer-Encoding: chunked\r\n\r\n",
    "1000\r\n" + std::string(4'096, 'x') + "\r\n"};

endless_answer const endless_head{answer_head, "X-Trouble: aaaa\r\n"};

/// Two events, then bytes that are no event.
endless_answer endless_stream(std::string const& piece)
{
    return {
        stream_head + chunk(standin_target::event(1)) +
            chunk(standin_target::event(2)),
        piece};
}

/// Turns share no prefix, so that any engine may be chosen.
std::string turn_on(std::string const& prefix, std::string const& id)
{
    return entry_world::post(
        prefix + "x", id,
        "Token-Usage: 100,30\r\nPrompt-Prefix: " + id.substr(1) + "f:100\r\n",
        "input of " + id);
}

std::string turn_of(std::string const& id)
{
    return turn_on("/turns/", id);
}

std::string kept_turn_of(std::string const& id)
{
    return turn_on("/kept/", id);
}

std::string safe_call(std::string const& id)
{
    return entry_world::post("/safe/x", id);
}

std::string order(std::string const& id)
{
    return entry_world::post("/orders/x", id);
}

} // namespace

TEST_CASE_METHOD(
    endless_answer_fixture,
    "endless answer: a call that may be repeated is answered elsewhere")
{
    std::vector<endless_answer> const answers{
        endless_plain_answer,
        endless_head,
        {"", "HTTP/1.1 102 Processing\r\n\r\n"}};
    begin_trouble(answers[GENERATE(0U, 1U, 2U)], true);
    auto& node = start_node();
    auto const got = call_trouble(node, safe_call);
    CHECK(got.status == 200);
    CHECK(got.body == "done by db");
    check_too_long(node);
    check_others_are_served(node);
}

TEST_CASE_METHOD(
    endless_answer_fixture, "endless answer: an order ends with 502, not cut")
{
    std::vector<endless_answer> const answers{
        endless_plain_answer,
        endless_head,
        {answer_head + "Content-Length: 8388609\r\n\r\nx",
         std::string(4'096, 'x'), 2'048},
        {answer_head + "Content-Length: 64000000000\r\n\r\n", "x"}};
    begin_trouble(answers[GENERATE(0U, 1U, 2U, 3U)], false);
    auto& node = start_node();
    auto const got = call_trouble(node, order);
    CHECK(got.status == 502);
    check_too_long(node);
}

TEST_CASE_METHOD(
    endless_answer_fixture,
    "endless answer: bytes that are no HTTP are not the request's fault")
{
    std::vector<endless_answer> const answers{
        {"", "\x01\x02 no answer "},
        {answer_head, "no field\r\n"},
        {answer_head + "Transfer-Encoding: chunked\r\n\r\n", "no chunk\r\n"}};
    auto const which = GENERATE(0U, 1U, 2U);
    begin_trouble(answers[which], true);
    auto& node = start_node();
    auto const got = call_trouble(node, safe_call);
    CHECK(got.status == 200);
    CHECK(got.body == "done by db");
    // Fields are read at once or at the end of their head, whichever way the
    // bytes arrive.
    auto const too_long = which == 1 ? failed(node, "too long") : 0;
    CHECK(failed(node, "malformed") + too_long >= 1);
    CHECK_FALSE(counts_crashes(node));
    check_others_are_served(node);
}

TEST_CASE_METHOD(
    endless_answer_fixture, "endless answer: an engine that sends no head gets "
                            "no orders after the first")
{
    std::vector<endless_answer> const answers{
        {"", "no answer "}, {"", "HTTP/1.1 102 Processing\r\n\r\n"}};
    begin_trouble(answers[GENERATE(0U, 1U)], true);
    auto& node = start_node();
    CHECK(call_trouble(node, order).status == 502);
    for (int i = 0; i < 8; ++i)
        CHECK(call(node, order("o" + std::to_string(i))).status == 200);
    CHECK(trouble->connections() == 1);
}

TEST_CASE_METHOD(
    endless_answer_fixture,
    "endless answer: an honest answer of the greatest size is delivered whole")
{
    begin_trouble(
        {answer_head + "Transfer-Encoding: chunked\r\n\r\n",
         "1000\r\n" + std::string(4'096, 'x') + "\r\n",
         max_answer_bytes / 4'096, "0\r\n\r\n"},
        false);
    auto& node = start_node();
    auto const got = call_trouble(node, order);
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(got.body.size() == max_answer_bytes);
    CHECK(failed(node, "too long") == 0);
}

TEST_CASE_METHOD(
    endless_answer_fixture,
    "endless answer: a stream goes on elsewhere after endless bytes")
{
    std::string small_comments;
    while (small_comments.size() < 4'000)
        small_comments += ":\n\n";
    auto const piece = GENERATE_COPY(
        chunk(std::string(4'000, 'x')), chunk("data: xxxx\n"),
        chunk(": a comment\n\n"), chunk(small_comments), chunk("retry: 3\n\n"),
        chunk(standin_target::event(2)), chunk("id: 1\n\n"), std::string("a"),
        std::string("1;x=a"));
    engine_b.set_handler(
        [](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            auto const from = request["Last-Event-Id"] == "2" ? 3 : 1;
            link->write(standin_target::stream(id, from, 3, true));
            link->finish_answer();
            return true;
        });
    begin_trouble(endless_stream(piece), true);
    auto& node = start_node();
    auto const got = call_trouble(node, turn_of);
    CHECK(got.status == 200);
    CHECK(got.whole);
    // Comments are passed on; all events come once and in order.
    std::string events;
    for (auto const* event : {"id: 1\n", "id: 2\n", "id: 3\n"})
    {
        auto const at = got.body.find(event);
        REQUIRE(at != std::string::npos);
        CHECK(got.body.find(event, at + 1) == std::string::npos);
    }
    CHECK_FALSE(counts_crashes(node));
    CHECK(failed(node, "too long") + failed(node, "broke off") >= 1);
}

TEST_CASE_METHOD(
    endless_answer_fixture,
    "endless answer: a turn that can't be resumed is broken off")
{
    begin_trouble(
        endless_stream(chunk("data: " + std::string(4'000, 'x') + "\n")),
        false);
    auto& node = start_node();
    auto const got = call_trouble(node, kept_turn_of);
    CHECK(got.status == 200);
    CHECK_FALSE(got.whole);
    check_too_long(node);
}

TEST_CASE_METHOD(
    endless_answer_fixture,
    "endless answer: the text of a kept turn is limited")
{
    begin_trouble(
        {stream_head,
         chunk("id: $counter\ndata: " + std::string(4'000, 'x') + "\n\n")},
        false);
    auto& node = start_node();
    auto const got = call_trouble(node, kept_turn_of);
    CHECK(got.status == 200);
    CHECK_FALSE(got.whole);
    CHECK(got.body.size() <= 2 * max_turn_output_bytes);
}

TEST_CASE_METHOD(
    endless_answer_fixture,
    "endless answer: answers that come at a time share the node's memory")
{
    // Each ends below its own limit; together they exceed the node's.
    static constexpr std::size_t calls = 4;
    static constexpr std::size_t piece_bytes = 65'536;
    static constexpr std::size_t pieces = 100;
    static_assert(pieces * piece_bytes < max_answer_bytes);
    static_assert(calls * pieces * piece_bytes > max_held_answer_bytes);
    std::atomic<int> begun{0};
    for (auto* one : {&service_a, &service_b})
    {
        one->set_handler(
            [&, one](link_ptr const& link, http_request const& request)
            {
                if (request.target() != "/orders/x")
                    return false;
                ++begun;
                link->write(
                    "HTTP/1.1 200 OK\r\nRequest-Id: " +
                    std::string(request["Request-Id"]) +
                    "\r\nResponse-Stamp: s\r\nContent-Length: " +
                    std::to_string(pieces * piece_bytes) + "\r\n\r\n");
                link->write(std::string((pieces - 1) * piece_bytes, 'x'));
                one->server().later(
                    milliseconds(1'200),
                    [link]
                    {
                        link->write(std::string(piece_bytes, 'x'));
                        link->finish_answer();
                    });
                return true;
            });
    }
    auto& node = start_node();
    std::vector<std::unique_ptr<test_caller>> callers;
    for (std::size_t i = 0; i < calls; ++i)
    {
        callers.push_back(
            std::make_unique<test_caller>(node.settings.listen_callers));
        callers.back()->send(order("r" + std::to_string(i)));
    }
    // A short answer is not the one that gives way.
    REQUIRE(eventually([&] { return begun == int(calls); }));
    CHECK(call(node, safe_call("short")).status == 200);
    int whole = 0;
    for (auto const& one : callers)
    {
        auto const got = one->receive();
        whole += got.status == 200 && got.whole ? 1 : 0;
        CHECK((got.status == 200 || got.status == 502));
    }
    CHECK(whole == max_held_answer_bytes / (pieces * piece_bytes));
    CHECK(failed(node, "no room for the answer") == calls - whole);
}

namespace
{

struct slow_bytes_fixture : endless_answer_fixture
{
    slow_bytes_fixture() { min_stall_timeout = milliseconds(300); }
};

} // namespace

TEST_CASE_METHOD(
    slow_bytes_fixture,
    "endless answer: bytes that are no new event do not hold up a stalled call")
{
    auto const piece = GENERATE(
        chunk(": a comment\n\n"), chunk("id: 1\ndata: old\n\n"),
        chunk("retry: 3\n"));
    auto trickle = endless_stream(piece);
    trickle.pause = milliseconds(50);
    begin_trouble(trickle, true);
    engine_b.set_handler(
        [](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            auto const from = request["Last-Event-Id"] == "2" ? 3 : 1;
            link->write(standin_target::stream(id, from, 3, true));
            link->finish_answer();
            return true;
        });
    auto& node = start_node();
    auto const got = call_trouble(node, turn_of);
    CHECK(got.whole);
    CHECK(failed(node, "stalled, left") >= 1);
}

TEST_CASE_METHOD(
    slow_bytes_fixture,
    "endless answer: a long event over a slow link is progress")
{
    constexpr std::size_t parts = 12;
    constexpr std::size_t part_bytes = 20'000;
    static_assert(parts * part_bytes < max_event_bytes);
    begin_trouble(
        {stream_head + chunk("id: 1\ndata: "),
         chunk(std::string(part_bytes, 'x')), parts,
         chunk("\n\n") + "0\r\n\r\n", milliseconds(120)},
        false);
    auto& node = start_node();
    auto const got = call_trouble(node, turn_of);
    CHECK(got.whole);
    CHECK(got.body.size() > parts * part_bytes);
    CHECK(trouble->connections() == 1);
}

TEST_CASE_METHOD(
    slow_bytes_fixture,
    "endless answer: comments of a queueing engine shorten no stall timeout")
{
    // It is silent for less than the timeout between its events.
    begin_trouble(
        {stream_head + chunk(": waiting\n\n"), chunk(": waiting\n\n"), 4,
         chunk(standin_target::event(1)) + chunk(standin_target::event(2)) +
             "0\r\n\r\n",
         milliseconds(50)},
        false);
    auto& node = start_node();
    auto const got = call_trouble(node, turn_of);
    CHECK(got.whole);
    CHECK(trouble->connections() == 1);
    CHECK(
        failed(node, "stalled, left") + failed(node, "stalled, waits on") == 0);
}

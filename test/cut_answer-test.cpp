/// \file
/// Answers that end early: what becomes of them, by the byte at which the
/// connection is closed or reset.

#include "entry/http_caller.hpp"
#include "entry/http_link.hpp"
#include "platform/store_codec.hpp"

#include "cut_server.hpp"
#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string const head_begin =
    "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nResponse-Stamp: s.cut\r\n";
std::string const plain_text = "done by cut";
std::string const in_chunks = "5\r\ndone \r\n6\r\nby cut\r\n0\r\n";
std::string const chunked_head =
    head_begin + "Transfer-Encoding: chunked\r\n\r\n";
std::string const stream_head =
    head_begin +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string events()
{
    return standin_target::event(1) + standin_target::event(2);
}

/// An answer that tells its end itself.
struct framed_answer
{
    std::string name;
    std::string bytes;
    std::string body = plain_text;
};

std::vector<framed_answer> plain_answers()
{
    auto const with_length =
        head_begin + "Content-Length: 11\r\n\r\n" + plain_text;
    return {
        {"length", with_length},
        {"chunks", chunked_head + in_chunks + "\r\n"},
        {"chunks with a trailer",
         chunked_head + in_chunks + "X-Sum: 1\r\nX-More: 2\r\n\r\n"},
        {"length behind a 102",
         "HTTP/1.1 102 Processing\r\n\r\n" + with_length},
        {"chunks behind a 100 and a 103",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "Link: </x>\r\nContent-Length: 0\r\n\r\n" +
             chunked_head + in_chunks + "\r\n"}};
}

std::vector<framed_answer> stream_answers()
{
    auto const text =
        chunk(standin_target::event(1)) + chunk(standin_target::event(2));
    return {
        {"stream", stream_head + text + "0\r\n\r\n", events()},
        {"stream with a trailer", stream_head + text + "0\r\nX-Sum: 1\r\n\r\n",
         events()},
        {"stream with a length",
         head_begin + "Content-Type: text/event-stream\r\nContent-Length: " +
             std::to_string(events().size()) + "\r\n\r\n" + events(),
         events()},
        {"stream behind a 102",
         "HTTP/1.1 102 Processing\r\n\r\n" + stream_head + text + "0\r\n\r\n",
         events()}};
}

std::vector<framed_answer> all_answers()
{
    auto to = plain_answers();
    for (auto& one : stream_answers())
        to.push_back(std::move(one));
    return to;
}

constexpr std::array<cut_kind, 2> both_kinds{cut_kind::close, cut_kind::reset};

std::string text_of(cut_kind kind)
{
    return kind == cut_kind::close ? "close" : "reset";
}

/// Sends requests over a connection of their own each.
struct cut_link_fixture
{
    boost::asio::io_context io;
    cut_server server;

    struct outcome
    {
        std::optional<link_end> end;
        int status = 0;
        std::string body;
        bool reusable = false;
    };

    outcome exchange(cut_answer answer, std::string const& body = {})
    {
        server.answer_with(std::move(answer));
        outcome to;
        auto const link = std::make_shared<http_link>(
            io, server.endpoint(), milliseconds(2'000));
        http_link::handlers handlers;
        handlers.on_head = [&](http_link::response_head const& head)
        { to.status = static_cast<int>(head.result_int()); };
        handlers.on_body = [&](std::string_view part) { to.body.append(part); };
        handlers.on_end = [&](link_end how) { to.end = how; };
        link->exchange(
            "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
            "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            request_id("r1"), std::move(handlers));
        auto const limit = std::chrono::steady_clock::now() + seconds(10);
        io.restart();
        while (!to.end && std::chrono::steady_clock::now() < limit)
            io.run_one_for(milliseconds(20));
        to.reusable = link->reusable();
        link->close();
        io.restart();
        io.poll();
        return to;
    }
};

} // namespace

TEST_CASE_METHOD(
    cut_link_fixture,
    "cut answer: one that tells its end is complete only with its last byte")
{
    for (auto const& one : all_answers())
    {
        for (auto const kind : both_kinds)
        {
            for (std::size_t cut = 0; cut < one.bytes.size(); ++cut)
            {
                auto const got = exchange({one.bytes.substr(0, cut), kind});
                INFO(one.name << ", " << text_of(kind) << " at " << cut);
                REQUIRE(got.end);
                CHECK(*got.end == link_end::broken);
                CHECK(one.body.compare(0, got.body.size(), got.body) == 0);
                CHECK_FALSE(got.reusable);
            }
        }
        auto const whole = exchange({one.bytes, cut_kind::close});
        INFO(one.name);
        REQUIRE(whole.end == link_end::complete);
        CHECK(whole.status == 200);
        CHECK(whole.body == one.body);
    }
}

TEST_CASE_METHOD(
    cut_link_fixture,
    "cut answer: one without a length needs a whole head, a body and an "
    "orderly end")
{
    auto const head = head_begin + "\r\n";
    auto const whole = head + plain_text;
    for (auto const kind : both_kinds)
    {
        for (std::size_t cut = 0; cut <= whole.size(); ++cut)
        {
            auto const got = exchange({whole.substr(0, cut), kind});
            INFO(text_of(kind) << " at " << cut);
            REQUIRE(got.end);
            auto const can_be_whole =
                kind == cut_kind::close && cut > head.size();
            CHECK((*got.end == link_end::complete) == can_be_whole);
            if (can_be_whole)
                CHECK(got.body == whole.substr(head.size(), cut - head.size()));
        }
    }
}

// Guards against taking the end of input behind a reset for an orderly one when
// the failure was reported to the sending side.
TEST_CASE_METHOD(
    cut_link_fixture,
    "cut answer: one without a length that is reset while the request is sent "
    "is broken")
{
    std::string const long_body(8'000'000, 'x');
    auto const answer = head_begin + "\r\n" + plain_text;
    for (int i = 0; i < 10; ++i)
    {
        auto const got = exchange({answer, cut_kind::reset, true}, long_body);
        REQUIRE(got.end);
        CHECK(*got.end == link_end::broken);
    }
}

// Guards against taking the first half of such a close for the end of a whole
// answer.
TEST_CASE_METHOD(
    cut_link_fixture,
    "cut answer: one without a length that ends while the request is sent is "
    "complete only if the server reads on")
{
    std::string const long_body(8'000'000, 'x');
    auto const answer = head_begin + "\r\n" + plain_text;
    for (int i = 0; i < 5; ++i)
    {
        auto const cut =
            exchange({answer, cut_kind::close_then_reset, true}, long_body);
        REQUIRE(cut.end);
        CHECK(*cut.end == link_end::broken);
        CHECK_FALSE(cut.reusable);
    }
    auto const whole = exchange({answer, cut_kind::close, true}, long_body);
    REQUIRE(whole.end);
    CHECK(*whole.end == link_end::complete);
    CHECK(whole.body == plain_text);
    CHECK_FALSE(whole.reusable);
}

// Guards against a server in trouble whose status counts as a success because
// it is below 300, or as an interim one because it is below 200.
TEST_CASE_METHOD(
    cut_link_fixture, "cut answer: a status that is none in HTTP is no answer")
{
    for (std::string const status :
         {"000", "001", "099", "101", "600", "700", "999"})
    {
        for (std::string const rest :
             {"Content-Length: 11\r\n\r\ndone by cut",
              "Content-Length: 0\r\n\r\n", "\r\ndone by cut"})
        {
            auto bytes = "HTTP/1.1 " + status;
            bytes += " X\r\nRequest-Id: $id\r\nResponse-Stamp: s\r\n";
            bytes += rest;
            auto const got = exchange({bytes, cut_kind::close});
            INFO(status << ", " << rest);
            REQUIRE(got.end);
            CHECK(*got.end == link_end::malformed);
            CHECK(got.status == 0);
            CHECK(got.body.empty());
        }
    }
}

TEST_CASE_METHOD(
    cut_link_fixture,
    "cut answer: an error without a length or a body is complete")
{
    auto const got = exchange(
        {"HTTP/1.1 503 Full\r\nRequest-Id: $id\r\nNot-Executed: 1\r\n\r\n",
         cut_kind::close});
    CHECK(got.end == link_end::complete);
    CHECK(got.status == 503);
}

namespace
{

/// Calls the server over a node. Engine `ia` and plain service `da` cut their
/// answers; the others are far and sound, or absent.
struct cut_call_fixture : entry_world
{
    cut_server server;
    int sent = 0;

    void begin(bool sound_ones_remain)
    {
        register_cutting_engines();
        for (auto* one : {&engine_b, &service_b})
        {
            if (!sound_ones_remain)
            {
                store.remove("servers", one->id());
                continue;
            }
            auto row = engine_row(
                one == &engine_b ? "llm" : "desk", one->address(),
                1'700'000'000'000);
            row["zone"] = "z2";
            store.put("servers", one->id(), row);
        }
        engine_b.set_handler(
            [](link_ptr const& link, http_request const& request)
            {
                std::string const id(request["Request-Id"]);
                auto const last = std::string(request["Last-Event-Id"]);
                auto const from = last.empty() ? 1 : std::stoi(last) + 1;
                link->write(standin_target::stream(id, from, 2, true));
                link->finish_answer();
                return true;
            });
    }

    void register_cutting_engines()
    {
        for (auto const* id : {"ia", "da"})
        {
            store.put(
                "servers", id,
                engine_row(
                    id == std::string("ia") ? "llm" : "desk", server.address(),
                    1'700'000'000'000));
        }
    }

    std::string request(std::string const& prefix)
    {
        auto const id = "r" + std::to_string(++sent);
        auto const number = std::to_string(sent);
        if (prefix == "/safe/" || prefix == "/orders/")
            return post(prefix + "x", id, {}, "order " + number);
        return post(
            prefix + "x", id,
            "Token-Usage: 100,30\r\nPrompt-Prefix: " + number + "f:100\r\n",
            "input of " + id);
    }

    /// Sends calls until one of them has reached the server.
    /// \return the answer to it
    caller_answer
    call(node const& at, std::string const& prefix, cut_answer answer)
    {
        server.answer_with(std::move(answer));
        auto const before = server.requests();
        caller_answer got;
        auto const end = std::chrono::steady_clock::now() + seconds(30);
        do
        {
            test_caller caller(at.settings.listen_callers);
            got = caller.call(request(prefix));
        } while (server.requests() == before &&
                 std::chrono::steady_clock::now() < end);
        REQUIRE(server.requests() > before);
        return got;
    }
};

bool looks_whole(caller_answer const& got)
{
    return got.whole && got.status >= 200 && got.status < 300;
}

} // namespace

TEST_CASE_METHOD(
    cut_call_fixture,
    "cut answer: an order's caller gets no success unless the answer is whole")
{
    begin(false);
    auto& node = start_node();
    for (auto const& one : plain_answers())
    {
        for (auto const kind : both_kinds)
        {
            for (std::size_t cut = 0; cut < one.bytes.size(); ++cut)
            {
                INFO(one.name << ", " << text_of(kind) << " at " << cut);
                auto const got =
                    call(node, "/orders/", {one.bytes.substr(0, cut), kind});
                CHECK(got.status == 502);
                CHECK(got.headers.count("Response-Stamp") == 0);
            }
        }
        auto const got = call(node, "/orders/", {one.bytes});
        CHECK(looks_whole(got));
        CHECK(got.body == one.body);
    }
}

TEST_CASE_METHOD(
    cut_call_fixture,
    "cut answer: an order's answer without a length needs a body and an "
    "orderly end")
{
    begin(false);
    auto& node = start_node();
    auto const head = head_begin + "\r\n";
    for (auto const kind : both_kinds)
    {
        for (std::size_t cut = 0; cut <= head.size(); ++cut)
        {
            INFO(text_of(kind) << " at " << cut);
            CHECK(
                call(node, "/orders/", {head.substr(0, cut), kind}).status ==
                502);
        }
    }
    CHECK(
        call(node, "/orders/", {head + plain_text, cut_kind::reset}).status ==
        502);
    auto const whole = call(node, "/orders/", {head + plain_text});
    CHECK(looks_whole(whole));
    CHECK(whole.body == plain_text);
}

// Guards against a status of a server in trouble that is passed on as an
// answer.
TEST_CASE_METHOD(
    cut_call_fixture,
    "cut answer: an order that is answered with no status of HTTP gets a 502")
{
    begin(false);
    auto& node = start_node();
    for (std::string const status : {"000", "099", "101", "600", "999"})
    {
        INFO(status);
        auto const began = std::chrono::steady_clock::now();
        auto const got = call(
            node, "/orders/",
            {"HTTP/1.1 " + status +
             " X\r\nRequest-Id: $id\r\nResponse-Stamp: s\r\n"
             "Content-Length: 0\r\n\r\n"});
        CHECK(got.status == 502);
        CHECK(got.headers.count("Response-Stamp") == 0);
        CHECK(std::chrono::steady_clock::now() - began < seconds(2));
    }
}

// Guards against a short body that is framed as whole.
TEST_CASE_METHOD(
    cut_call_fixture,
    "cut answer: an order whose engine resets while the body is sent gets no "
    "success")
{
    begin(false);
    auto long_bodies = configuration();
    long_bodies["limits"]["max_body_bytes"] = 16'000'000;
    store.put("op", "config", long_bodies);
    auto& node = start_node();
    server.answer_with(
        {head_begin + "\r\n" + plain_text.substr(0, 4), cut_kind::reset, true});
    test_caller caller(node.settings.listen_callers);
    auto const got =
        caller.call(post("/orders/x", "r1", {}, std::string(8'000'000, 'x')));
    CHECK(server.requests() == 1);
    CHECK(got.status == 502);
    CHECK(got.headers.count("Response-Stamp") == 0);
}

TEST_CASE_METHOD(
    cut_call_fixture,
    "cut answer: a stream that is cut ends early for its caller too")
{
    begin(false);
    auto& node = start_node();
    auto const prefix = GENERATE(std::string("/turns/"), std::string("/kept/"));
    for (auto const& one : stream_answers())
    {
        for (auto const kind : both_kinds)
        {
            for (std::size_t cut = 0; cut < one.bytes.size(); ++cut)
            {
                INFO(
                    prefix << one.name << ", " << text_of(kind) << " at "
                           << cut);
                auto const got =
                    call(node, prefix, {one.bytes.substr(0, cut), kind});
                CHECK_FALSE(looks_whole(got));
                if (got.status == 200)
                    CHECK(one.body.compare(0, got.body.size(), got.body) == 0);
                else
                    CHECK((got.status == 502 || got.status == 504));
            }
        }
        auto const got = call(node, prefix, {one.bytes});
        CHECK(looks_whole(got));
        CHECK(got.body == one.body);
    }
}

TEST_CASE_METHOD(
    cut_call_fixture,
    "cut answer: a stream without a length that ends before its first event is "
    "no whole one")
{
    begin(false);
    auto& node = start_node();
    auto const prefix = GENERATE(std::string("/turns/"), std::string("/kept/"));
    auto const head = head_begin + "Content-Type: text/event-stream\r\n\r\n";
    for (auto const kind : both_kinds)
    {
        for (auto const* body : {"", "id: 1\n", "id: 1\ndata: pie"})
        {
            INFO(prefix << text_of(kind) << " behind " << body);
            CHECK_FALSE(looks_whole(call(node, prefix, {head + body, kind})));
        }
    }
    CHECK_FALSE(
        looks_whole(call(node, prefix, {head + events(), cut_kind::reset})));
    auto const whole = call(node, prefix, {head + events()});
    CHECK(looks_whole(whole));
    CHECK(whole.body == events());
}

TEST_CASE_METHOD(
    cut_call_fixture,
    "cut answer: a call that may be repeated is answered whole elsewhere")
{
    begin(true);
    auto& node = start_node();
    auto const is_stream = GENERATE(false, true);
    auto const one = is_stream ? stream_answers()[1] : plain_answers()[2];
    for (std::size_t cut = 0; cut < one.bytes.size(); cut += 5)
    {
        INFO(one.name << " at " << cut);
        server.answer_with({one.bytes.substr(0, cut), cut_kind::close});
        test_caller caller(node.settings.listen_callers);
        auto const got = caller.call(request(is_stream ? "/turns/" : "/safe/"));
        CHECK(looks_whole(got));
        CHECK(got.body == (is_stream ? events() : "done by db"));
    }
    CHECK(server.requests() > 0);
}

namespace
{

/// Calls of the store's and other nodes' clients.
struct cut_reply_fixture
{
    boost::asio::io_context io;
    cut_server server;
    http_caller caller{io, milliseconds(200)};

    exchange_reply call(cut_answer answer)
    {
        server.answer_with(std::move(answer));
        exchange_request request;
        request.address = server.address();
        request.bytes = cbor_bytes_request("/x", server.address(), "body");
        request.limits = small_exchange(seconds(10));
        std::optional<exchange_reply> got;
        caller.call(
            std::move(request),
            [&](exchange_reply reply) { got = std::move(reply); });
        auto const limit = std::chrono::steady_clock::now() + seconds(20);
        io.restart();
        while (!got && std::chrono::steady_clock::now() < limit)
            io.run_one_for(milliseconds(20));
        REQUIRE(got);
        return *got;
    }
};

std::string const store_rows_reply =
    R"({"ver":7,"now_ms":12.5,"rows":[{"table":"t","part":"p","key":"k",)"
    R"("value":"YWJj","ver":5},{"key":"l","value":"","ver":7}],)"
    R"("truncated":false})";

} // namespace

TEST_CASE_METHOD(
    cut_reply_fixture,
    "cut answer: a reply of the store or of a node that is cut is none")
{
    std::vector<std::string> const replies{
        "HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(store_rows_reply.size()) + "\r\n\r\n" +
            store_rows_reply,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunk(store_rows_reply) + "0\r\n\r\n"};
    for (auto const& one : replies)
    {
        for (auto const kind : both_kinds)
        {
            for (std::size_t cut = 0; cut < one.size(); ++cut)
            {
                INFO(text_of(kind) << " at " << cut << " of " << one);
                auto const got = call({one.substr(0, cut), kind});
                CHECK_FALSE(got.answered);
                CHECK(got.sent);
            }
        }
        CHECK(call({one}).answered);
    }
}

TEST_CASE_METHOD(
    cut_reply_fixture,
    "cut answer: a reply that has lost its length and body is none")
{
    CHECK_FALSE(call({"HTTP/1.1 200 OK\r\n\r\n"}).answered);
    CHECK_FALSE(
        call({"HTTP/1.1 200 OK\r\n\r\n" + store_rows_reply, cut_kind::reset})
            .answered);
}

// Guards against a reply whose head has lost its length.
TEST_CASE("cut answer: no part of a reply of the store decodes")
{
    for (std::size_t size = 0; size < store_rows_reply.size(); ++size)
    {
        platform::store_reply const cut{200, store_rows_reply.substr(0, size)};
        INFO(cut.body);
        range_result range;
        CHECK_FALSE(platform::decode_range(cut, range));
        changes_result changes;
        CHECK_FALSE(platform::decode_changes(cut, changes));
        transaction_result transaction;
        CHECK_FALSE(platform::decode_transaction(cut, transaction));
    }
    range_result whole;
    CHECK(platform::decode_range({200, store_rows_reply}, whole));
    CHECK(whole.rows.size() == 2);
}

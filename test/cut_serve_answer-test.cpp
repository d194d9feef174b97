/// \file
/// Answers to the clients of `serve` that end early, by the byte at which the
/// connection is closed or reset.

#include "blocking_http.hpp"
#include "platform_client.hpp"
#include "target_client.hpp"

#include "cut_server.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<cut_kind, 2> both_kinds{cut_kind::close, cut_kind::reset};

std::string text_of(cut_kind kind)
{
    return kind == cut_kind::close ? "close" : "reset";
}

std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// Calls of `serve`'s clients.
struct cut_serve_fixture
{
    cut_server server;
    std::string const url = "http://" + server.address();
    static constexpr milliseconds timeout{5'000};

    struct outcome
    {
        int answers = 0;
        std::optional<refusal> failure;
    };

    outcome attempt(
        std::function<void(target_client&, attempt_hooks const&)> const& send)
    {
        auto const done = std::make_shared<std::promise<outcome>>();
        auto ended = done->get_future();
        attempt_hooks hooks;
        hooks.token = [](std::uint32_t, std::string const&) {};
        hooks.answer = [done](attempt_answer const&) {
            done->set_value({1, std::nullopt});
        };
        hooks.failure = [done](refusal const& why) {
            done->set_value({0, why});
        };
        target_client client;
        send(client, hooks);
        REQUIRE(ended.wait_for(seconds(20)) == std::future_status::ready);
        return ended.get();
    }

    outcome generate()
    {
        model_effect work;
        work.request = request_id("r1");
        work.model = "m";
        work.timeout = timeout;
        return attempt([&](target_client& client, attempt_hooks const& hooks)
                       { client.generate(url, work, hooks); });
    }

    outcome run(bool repeatable)
    {
        plain_effect work;
        work.request = request_id("r1");
        work.repeatable = repeatable;
        work.timeout = timeout;
        return attempt([&](target_client& client, attempt_hooks const& hooks)
                       { client.run(url, work, hooks); });
    }

    outcome query()
    {
        query_effect work;
        work.request = request_id("r1");
        return attempt([&](target_client& client, attempt_hooks const& hooks)
                       { client.query(url, work, hooks); });
    }

    /// Runs a check at each cut of the answer, closed and reset.
    void
    at_each_cut(std::string const& answer, std::function<void()> const& check)
    {
        for (auto const kind : both_kinds)
        {
            for (std::size_t cut = 0; cut < answer.size(); ++cut)
            {
                INFO(text_of(kind) << " at " << cut << " of " << answer);
                server.answer_with({answer.substr(0, cut), kind});
                check();
            }
        }
    }
};

std::string json_answer(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string json_answer_in_chunks(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" +
           chunk(body) + "0\r\n\r\n";
}

std::string json_answer_without_length(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body;
}

} // namespace

TEST_CASE_METHOD(
    cut_serve_fixture,
    "cut answer: a plain service's answer that is cut is a failure")
{
    std::string const body = R"({"output":"done"})";
    for (auto const& answer :
         {json_answer(body), json_answer_in_chunks(body),
          json_answer_without_length(body)})
    {
        at_each_cut(
            answer,
            [&]
            {
                for (auto const& got : {run(false), run(true), query()})
                {
                    REQUIRE(got.failure);
                    CHECK(got.failure->ran == certainty::outcome_unknown);
                }
            });
        server.answer_with({answer});
        CHECK(run(false).answers == 1);
    }
}

TEST_CASE_METHOD(
    cut_serve_fixture,
    "cut answer: a model engine's stream that is cut is a failure")
{
    std::string const body =
        "id: 1\ndata: {\"text\":\"a\"}\n\nevent: done\n"
        "data: {\"text\":\"a\",\"prompt_tokens\":1,\"tokens\":1}";
    // The last event is complete with its data's line.
    for (auto const& head :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\n\r\n")})
    {
        at_each_cut(
            head + body,
            [&]
            {
                auto const got = generate();
                REQUIRE(got.failure);
                CHECK(got.failure->ran == certainty::outcome_unknown);
            });
    }
    server.answer_with({"HTTP/1.1 200 OK\r\n\r\n" + body + "\n\n"});
    CHECK(generate().answers == 1);
}

TEST_CASE_METHOD(
    cut_serve_fixture, "cut answer: a cut reply to a blocking client is none")
{
    blocking_http client(url, timeout);
    std::string const body = R"({"rows":[]})";
    for (auto const& answer : {json_answer(body), json_answer_in_chunks(body)})
    {
        at_each_cut(
            answer,
            [&]
            {
                auto const got = client.get("/x");
                REQUIRE_FALSE(got);
                CHECK(got.error().ran == certainty::outcome_unknown);
                CHECK_FALSE(client.post("/x", "{}"));
            });
        server.answer_with({answer});
        CHECK(client.get("/x"));
    }
}

TEST_CASE_METHOD(
    cut_serve_fixture,
    "cut answer: a cut answer of serve's store reads nothing")
{
    auto const table = make_table_client(url, timeout);
    auto const objects = make_object_client(url, timeout);
    auto const answer = json_answer(R"({"rows":[]})");
    at_each_cut(
        answer,
        [&]
        {
            CHECK_FALSE(table.read({"k"}));
            CHECK_FALSE(objects.get("k"));
        });
    auto const head_size = answer.find("\r\n\r\n") + 4;
    at_each_cut(
        answer.substr(0, head_size),
        [&] { CHECK(table.commit({}).status == commit_status::in_doubt); });
    server.answer_with({answer});
    CHECK(table.read({"k"}));
}

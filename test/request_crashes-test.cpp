#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

constexpr int engine_count = 16;
constexpr int max_ended = 3;

/// Engines and plain services that end 20 ms after they have begun a request
/// with one certain body.
struct request_crashes_fixture : entry_world
{
    std::vector<std::unique_ptr<standin_target>> targets;
    std::atomic<int> ended{0};
    /// Whether an engine's entry goes as soon as it has ended.
    std::atomic<bool> entry_goes{true};

    request_crashes_fixture()
    {
        for (auto const* id : {"ia", "ib", "da", "db"})
            store.remove("servers", id);
        for (int i = 0; i < engine_count; ++i)
        {
            add("llm", "e" + std::to_string(i));
            add("desk", "d" + std::to_string(i));
        }
    }

    void add(std::string const& service, std::string const& id)
    {
        targets.push_back(std::make_unique<standin_target>(id));
        auto& one = *targets.back();
        one.set_handler(
            [this, &one,
             service](link_ptr const& link, http_request const& request)
            {
                if (request.body() != "ends its engine")
                    return false;
                if (service == "llm")
                {
                    link->write(standin_target::stream(
                        std::string(request["Request-Id"]), 1, 1, false));
                }
                one.server().later(
                    milliseconds(20), [this, &one] { end(one); });
                return true;
            });
        register_engine(one, service);
    }

    void end(standin_target& one)
    {
        ++ended;
        if (entry_goes)
            store.remove("servers", one.id());
        one.server().end();
    }

    /// Sets the route's limit of engines that one attempt may run on.
    void set_max_engines(int count)
    {
        auto document = configuration();
        for (auto& route : document["routes"])
            route["max_attempts"] = count;
        store.put("op", "config", document);
    }

    static caller_answer send(
        node const& at, std::string const& id, std::string const& body,
        std::string const& path = "/turns/x")
    {
        test_caller caller(at.settings.listen_callers);
        auto const tokens =
            path == "/turns/x"
                ? "Token-Usage: 100,30\r\nPrompt-Prefix: ab:50,cd:50\r\n"
                : "";
        return caller.call(post(path, id, tokens, body));
    }

    static caller_answer send_ending(
        node const& at, std::string const& id,
        std::string const& path = "/turns/x")
    {
        return send(at, id, "ends its engine", path);
    }

    void check_others_are_served(node const& at) const
    {
        for (int i = 0; i < 8; ++i)
        {
            auto const id = "other" + std::to_string(i);
            CHECK(send(at, id, "input of " + id).whole);
            CHECK(send(at, id + "p", "input of " + id, "/safe/x").whole);
        }
    }
};

} // namespace

TEST_CASE_METHOD(
    request_crashes_fixture,
    "request crashes: one attempt ends no more than three engines")
{
    set_max_engines(2);
    auto& node = start_node();
    send_ending(node, "r1");
    CHECK(ended <= max_ended);
    check_others_are_served(node);
}

TEST_CASE_METHOD(
    request_crashes_fixture,
    "request crashes: one attempt at plain services ends no more than three")
{
    set_max_engines(2);
    auto& node = start_node();
    CHECK(send_ending(node, "r1", "/safe/x").status == 502);
    CHECK(ended <= max_ended);
    check_others_are_served(node);
}

TEST_CASE_METHOD(
    request_crashes_fixture,
    "request crashes: attempts at two nodes end no more than three engines")
{
    entry_goes = GENERATE(true, false);
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    REQUIRE(eventually([&] { return knows_members(second, 1); }));
    for (int i = 0; i < 6; ++i)
    {
        auto const got =
            send_ending(i % 2 == 0 ? first : second, "r" + std::to_string(i));
        if (ended >= max_ended && i > 2)
        {
            CHECK(got.status == 503);
            CHECK(got.headers.count("Retry-After") == 1);
        }
    }
    CHECK(ended == max_ended);
    check_others_are_served(first);
    check_others_are_served(second);
}

TEST_CASE_METHOD(
    request_crashes_fixture,
    "request crashes: attempts under one id end no more than three engines")
{
    set_max_engines(1);
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    REQUIRE(eventually([&] { return knows_members(second, 1); }));
    for (int i = 0; i < 6; ++i)
        send_ending(i % 2 == 0 ? first : second, "r1", "/orders/x");
    CHECK(ended == max_ended);
}

TEST_CASE_METHOD(
    request_crashes_fixture,
    "request crashes: orders that end their services are refused at last")
{
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    REQUIRE(eventually([&] { return knows_members(second, 1); }));
    for (int i = 0; i < 6; ++i)
    {
        auto const got = send_ending(
            i % 2 == 0 ? first : second, "r" + std::to_string(i), "/orders/x");
        CHECK(got.status == (i < max_ended ? 502 : 503));
    }
    CHECK(ended == max_ended);
}

TEST_CASE_METHOD(
    request_crashes_fixture,
    "request crashes: a node that starts again knows of the engines that ended")
{
    set_max_engines(1);
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(eventually([&] { return knows_members(first, 1); }));
    REQUIRE(eventually([&] { return knows_members(second, 1); }));
    send_ending(first, "r1", "/orders/x");
    send_ending(first, "r2", "/orders/x");
    stop_node(first);
    auto& third = start_node();
    REQUIRE(eventually([&] { return knows_members(third, 1); }));
    for (int i = 3; i < 8; ++i)
        send_ending(third, "r" + std::to_string(i), "/orders/x");
    CHECK(ended == max_ended);
    check_others_are_served(third);
}

namespace
{

/// Two engines that each stream one event; the route allows one engine.
struct engine_limit_fixture : entry_world
{
    std::atomic<int> runs{0};

    engine_limit_fixture()
    {
        auto document = configuration();
        for (auto& route : document["routes"])
            route["max_attempts"] = 1;
        store.put("op", "config", document);
    }

    standin_target& other(standin_target const& than)
    {
        return &than == &engine_a ? engine_b : engine_a;
    }
};

} // namespace

TEST_CASE_METHOD(
    engine_limit_fixture,
    "engine limit: an engine whose entry lapsed is not taken for ended")
{
    min_stall_timeout = milliseconds(1'500);
    for (auto* one : {&engine_a, &engine_b})
    {
        one->set_handler(
            [this, one](link_ptr const& link, http_request const& request)
            {
                ++runs;
                link->write(standin_target::stream(
                    std::string(request["Request-Id"]), 1, 1, false));
                store.remove("servers", one->id());
                return true;
            });
    }
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1"));
    CHECK_FALSE(got.whole);
    CHECK(engine_a.calls().empty() != engine_b.calls().empty());
}

TEST_CASE_METHOD(
    engine_limit_fixture,
    "begun answer: no second answer follows once its engine has ended")
{
    for (auto* one : {&engine_a, &engine_b})
    {
        one->set_handler(
            [this, one](link_ptr const& link, http_request const& request)
            {
                std::string const id(request["Request-Id"]);
                if (++runs == 1)
                {
                    link->write(standin_target::stream(id, 1, 1, false));
                    one->server().later(
                        milliseconds(20), [one] { one->server().end(); });
                }
                else
                {
                    link->write(standin_target::answer(
                        421, "Request-Id: " + id + "\r\n", ""));
                    link->finish_answer();
                }
                return true;
            });
    }
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(turn("t1"));
    // Reads until the connection ends.
    auto const bytes = caller.receive_until("no such text");
    CHECK(bytes.find("HTTP/1.1 200") == 0);
    CHECK(bytes.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(runs == 2);
}

TEST_CASE_METHOD(
    engine_limit_fixture,
    "not run: a call that ran at an engine that ended is not refused")
{
    for (auto* one : {&service_a, &service_b})
    {
        one->set_handler(
            [this, one](link_ptr const& link, http_request const&)
            {
                if (++runs == 1)
                    one->server().end();
                else
                {
                    link->write(
                        standin_target::answer(503, "Not-Executed: 1\r\n", ""));
                    link->finish_answer();
                }
                return true;
            });
    }
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(post("/safe/x", "r1")).status == 502);
    CHECK(runs >= 2);
}

TEST_CASE_METHOD(
    request_crashes_fixture,
    "request crashes: a request whose id is not UTF-8 is listed as a suspect")
{
    auto& node = start_node();
    send_ending(node, "r1\xff");
    auto const suspects = [&]
    {
        test_caller caller(node.settings.listen_metrics);
        return caller.call("GET /suspects HTTP/1.1\r\nHost: x\r\n\r\n").body;
    };
    CHECK(
        eventually([&] { return suspects().find("r1") != std::string::npos; }));
    check_others_are_served(node);
}

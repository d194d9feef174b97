#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct entry_fixture : entry_world
{
    std::size_t engine_calls() const
    {
        return engine_a.calls().size() + engine_b.calls().size();
    }
    /// \return how many times engines received the request
    std::size_t engine_calls(std::string const& id) const
    {
        std::size_t received = 0;
        for (auto const* engine : {&engine_a, &engine_b})
        {
            for (auto const& one : engine->calls())
                received += one.id == id ? 1 : 0;
        }
        return received;
    }
    std::size_t service_calls() const
    {
        return service_a.calls().size() + service_b.calls().size();
    }

    void set_service_handlers(standin_target::handler_fn const& handler)
    {
        service_a.set_handler(handler);
        service_b.set_handler(handler);
    }
    void set_engine_handlers(standin_target::handler_fn const& handler)
    {
        engine_a.set_handler(handler);
        engine_b.set_handler(handler);
    }
};

std::string const three_events = standin_target::event(1) +
                                 standin_target::event(2) +
                                 standin_target::event(3);

} // namespace

TEST_CASE_METHOD(entry_fixture, "entry: a turn is streamed unchanged")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1", "X-Own: kept\r\nHold: forged\r\n"));
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(got.body == three_events);
    CHECK(got.headers.at("Response-Stamp") == "s");
    auto calls = engine_a.calls();
    if (calls.empty())
        calls = engine_b.calls();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].body == "input of t1;");
    CHECK(calls[0].headers.at("X-Own") == "kept");
    CHECK(calls[0].headers.count("Hold") == 0);
    CHECK(calls[0].headers.count("Expect-Instance") == 1);
    CHECK(std::stoi(calls[0].headers.at("Deadline-Ms")) <= 3'000);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: one connection carries calls one after the other")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    for (int i = 0; i < 5; ++i)
    {
        auto const id = "r" + std::to_string(i);
        auto const got = caller.call(post("/orders/x", id));
        CHECK(got.status == 200);
        CHECK(got.headers.at("Request-Id") == id);
    }
    CHECK(service_calls() == 5);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a call refused by an engine runs on another")
{
    auto& node = start_node();
    service_a.set_handler(
        [](link_ptr const& link, http_request const&)
        {
            link->write(standin_target::answer(503, "Not-Executed: 1\r\n", ""));
            link->finish_answer();
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    for (int i = 0; i < 6; ++i)
    {
        auto const got =
            caller.call(post("/orders/x", "r" + std::to_string(i)));
        CHECK(got.status == 200);
        CHECK(got.body == "done by db");
    }
}

TEST_CASE_METHOD(
    entry_fixture,
    "entry: a call refused by all engines is refused with a retry time")
{
    auto& node = start_node();
    set_service_handlers(
        [](link_ptr const& link, http_request const&)
        {
            link->write(standin_target::answer(503, "Not-Executed: 1\r\n", ""));
            link->finish_answer();
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/orders/x", "r1"));
    CHECK(got.status == 503);
    CHECK(std::stod(got.headers.at("Retry-After")) > 0);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: an order whose answer is lost is never sent again")
{
    auto& node = start_node();
    set_service_handlers(
        [](link_ptr const& link, http_request const&)
        {
            standin_target::cut(link);
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/orders/x", "r1"));
    CHECK(got.status == 502);
    CHECK(service_calls() == 1);
}

TEST_CASE_METHOD(
    entry_fixture,
    "entry: an order on a connection that the service has ended runs once")
{
    auto& node = start_node();
    std::atomic<int> served{0};
    // The service reads the second order on the reused connection, executes
    // it, and closes the connection without an answer.
    set_service_handlers(
        [&](link_ptr const& link, http_request const&)
        {
            if (++served % 2 == 1)
                return false;
            standin_target::cut(link);
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    for (int i = 0; i < 4; ++i)
        caller.call(post("/orders/x", "r" + std::to_string(i)));
    CHECK(service_calls() == 4);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: an idempotent call goes to another engine")
{
    auto& node = start_node();
    service_a.set_handler(
        [](link_ptr const& link, http_request const&)
        {
            standin_target::cut(link);
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    for (int i = 0; i < 4; ++i)
        CHECK(
            caller.call(post("/safe/x", "r" + std::to_string(i))).status ==
            200);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a broken stream goes on without loss or repeat")
{
    auto& node = start_node();
    std::atomic<int> tries{0};
    set_engine_handlers(
        [&](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            if (++tries == 1)
            {
                link->write(standin_target::stream(id, 1, 2, false));
                link->write("10\r\nid: 3\ndata: ha");
                standin_target::cut(link);
                return true;
            }
            CHECK(request["Last-Event-Id"] == "2");
            link->write(standin_target::stream(id, 3, 3, true));
            link->finish_answer();
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1"));
    CHECK(got.whole);
    CHECK(got.body == three_events);
    CHECK(tries == 2);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a stream that lacks an event is never complete")
{
    auto& node = start_node();
    set_engine_handlers(
        [&](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            auto bytes = standin_target::stream(id, 1, 3, true);
            auto const second = bytes.find("1a\r\nid: 2");
            if (second == std::string::npos)
            {
                auto const at = bytes.find("id: 2");
                auto const from = bytes.rfind("\r\n", at - 3) + 2;
                bytes.erase(from, bytes.find("id: 3") - 4 - from);
            }
            link->write(bytes);
            link->finish_answer();
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    CHECK_FALSE(caller.call(turn("t1", {}, "/kept/")).whole);
}

TEST_CASE_METHOD(
    entry_fixture,
    "entry: a stream that can't be resumed ends without its end, run once")
{
    auto& node = start_node();
    set_engine_handlers(
        [&](link_ptr const& link, http_request const& request)
        {
            link->write(standin_target::stream(
                std::string(request["Request-Id"]), 1, 2, false));
            standin_target::cut(link);
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1", {}, "/kept/"));
    CHECK(got.status == 200);
    CHECK_FALSE(got.whole);
    CHECK(engine_calls() == 1);
    CHECK(store.count("walnutmill-turns") == 0);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a late answer to another call is skipped")
{
    auto& node = start_node();
    set_service_handlers(
        [&](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            auto const answer = [](std::string const& to, std::string const& by)
            {
                return standin_target::answer(
                    200, "Request-Id: " + to + "\r\nResponse-Stamp: s\r\n", by);
            };
            link->write(answer("stale", "wrong") + answer(id, "right"));
            link->finish_answer();
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    for (int i = 0; i < 3; ++i)
        CHECK(
            caller.call(post("/orders/x", "r" + std::to_string(i))).body ==
            "right");
}

TEST_CASE_METHOD(
    entry_fixture, "entry: bytes after an answer reach no other call")
{
    auto& node = start_node();
    set_service_handlers(
        [&](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            link->write(
                standin_target::answer(
                    200, "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
                    "for " + id) +
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
            link->finish_answer();
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    for (int i = 0; i < 4; ++i)
    {
        auto const id = "r" + std::to_string(i);
        CHECK(caller.call(post("/orders/x", id)).body == "for " + id);
    }
}

TEST_CASE_METHOD(
    entry_fixture, "entry: an answer without a signature is not passed on")
{
    auto& node = start_node();
    set_service_handlers(
        [&](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            link->write(standin_target::answer(
                200, "Request-Id: " + id + "\r\n", "forged"));
            link->finish_answer();
            return true;
        });
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(post("/orders/x", "r1")).status == 502);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a chain kept by one node goes on at another")
{
    auto& first = start_node();
    auto& second = start_node();
    test_caller one(first.settings.listen_callers);
    REQUIRE(one.call(turn("t1", {}, "/kept/")).whole);
    test_caller two(second.settings.listen_callers);
    REQUIRE(two.call(turn("t2", "Previous-Turn: t1\r\n", "/kept/")).whole);
    REQUIRE(one.call(turn("t3", "Previous-Turn: t2\r\n", "/kept/")).whole);
    auto calls = engine_a.calls();
    for (auto const& call : engine_b.calls())
        calls.push_back(call);
    std::string const whole =
        "input of t1;piece 1\npiece 2\npiece 3\n"
        "input of t2;piece 1\npiece 2\npiece 3\ninput of t3;";
    for (auto const& call : calls)
    {
        if (call.id == "t3")
            CHECK(call.body == whole);
    }
    CHECK(
        two.call(turn("t4", "Previous-Turn: gone\r\n", "/kept/")).status ==
        404);
}

TEST_CASE_METHOD(
    entry_fixture,
    "entry: a node has another's turns without reading the store")
{
    auto& first = start_node();
    auto& second = start_node();
    test_caller one(first.settings.listen_callers);
    test_caller two(second.settings.listen_callers);
    int programs = 0;
    auto const unread = [&]
    {
        auto const before = store.readings("walnutmill-turns");
        auto const name = std::to_string(++programs);
        auto const head = "Program-Id: p" + name + "\r\n";
        auto const goes_on = head + "Previous-Turn: t" + name + "\r\n";
        REQUIRE(one.call(turn("t" + name, head, "/kept/")).whole);
        REQUIRE(two.call(turn("u" + name, goes_on, "/kept/")).whole);
        return store.readings("walnutmill-turns") == before;
    };
    // Once the nodes know each other, neither reads a turn from the store,
    // whichever node a program's turns are reported to.
    CHECK(eventually(
        [&]
        {
            constexpr int in_a_row = 8;
            int passed = 0;
            while (passed < in_a_row && unread())
                ++passed;
            return passed == in_a_row;
        }));
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a kept turn ends while its partition is silent")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    store.silence({turn_history::partition(request_id("t1"), 0)});
    // The first turn detects the silent partition before its deadline.
    CHECK(caller.call(turn("t1", {}, "/kept/")).whole);
    test_caller again(node.settings.listen_callers);
    CHECK(again.call(turn("t2", "Previous-Turn: t1\r\n", "/kept/")).whole);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a kept turn has no end while it is not durable")
{
    auto& node = start_node();
    set_engine_handlers(
        [this](link_ptr const&, http_request const&)
        {
            store.set_down(true);
            return false;
        });
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1", {}, "/kept/"));
    CHECK(got.body == three_events);
    CHECK_FALSE(got.whole);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a spent budget is answered 402 and not run")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    std::string const program =
        "Program-Id: p1\r\nSession-Id: s1\r\nToken-Budget: 70\r\n";
    CHECK(caller.call(turn("t1", program)).status == 200);
    CHECK(caller.call(turn("t2", program)).status == 200);
    CHECK(caller.call(turn("t3", program)).status == 402);
    CHECK(engine_calls() == 2);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: without the store a new program is told to retry")
{
    auto& node = start_node();
    store.set_down(true);
    test_caller caller(node.settings.listen_callers);
    std::string const program = "Program-Id: p9\r\nToken-Budget: 900\r\n";
    auto const got = caller.call(turn("t1", program));
    CHECK(got.status == 503);
    CHECK(std::stod(got.headers.at("Retry-After")) > 0.5);
    CHECK(engine_calls() == 0);
    // Plain calls do not need the store.
    CHECK(caller.call(post("/orders/x", "r1")).status == 200);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a program starts without the store on a lease")
{
    auto& node = start_node();
    test_caller metrics(node.settings.listen_metrics);
    REQUIRE(eventually(
        [&]
        {
            auto const got = metrics.call(post("/metrics", "m1"));
            return got.body.find("walnutmill_usable_leases 64") !=
                   std::string::npos;
        }));
    test_caller keeper(node.settings.listen_callers);
    test_caller caller(node.settings.listen_callers);
    store.set_down(true);
    // A turn that must be stored runs, but does not end before it is durable.
    // Sent first, because one that arrives after a second of an outage is
    // refused.
    keeper.send(
        turn("k1", "Program-Id: p10\r\nToken-Budget: 900\r\n", "/kept/"));
    std::string const program = "Program-Id: p9\r\nToken-Budget: 900\r\n";
    CHECK(caller.call(turn("t1", program)).status == 200);
    CHECK(engine_calls("t1") == 1);
    REQUIRE(eventually([this] { return engine_calls("k1") == 1; }));
    CHECK(engine_calls() == 2);
    CHECK(store.count("walnutmill-turns") == 0);
    store.set_down(false);
    auto const kept = keeper.receive();
    CHECK(store.count("walnutmill-turns") == (kept.whole ? 1 : 0));
    CHECK(kept.body == three_events);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a kept turn does not end while the store is away")
{
    auto& node = start_node();
    test_caller metrics(node.settings.listen_metrics);
    REQUIRE(eventually(
        [&]
        {
            auto const got = metrics.call(post("/metrics", "m1"));
            return got.body.find("walnutmill_usable_leases 64") !=
                   std::string::npos;
        }));
    store.set_down(true);
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(
        turn("k1", "Program-Id: p10\r\nToken-Budget: 900\r\n", "/kept/"));
    CHECK_FALSE(got.whole);
    CHECK(engine_calls() == 1);
    store.set_down(false);
    // A turn that was not stored cannot be continued.
    auto const next =
        caller_answer(test_caller(node.settings.listen_callers)
                          .call(turn("k2", "Previous-Turn: k1\r\n", "/kept/")));
    CHECK(next.status != 200);
    CHECK(engine_calls() == 1);
}

TEST_CASE_METHOD(
    entry_fixture,
    "entry: a call that an engine has is not reported as not run")
{
    auto& node = start_node();
    // The service receives the order and never answers.
    set_service_handlers([](link_ptr const&, http_request const&)
                         { return true; });
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(post("/orders/x", "r1")).status == 504);
    CHECK(service_calls() == 1);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: routes are matched by host and longest prefix")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(post("/nowhere/x", "r1")).status == 404);
    auto config = configuration();
    config["version"] = 9;
    auto special = config["routes"][3];
    special["prefix"] = "/orders/special/";
    special["service"] = "llm";
    config["routes"].push_back(special);
    store.put("op", "config", config);
    auto const goes_to_an_engine = [&](std::string const& id)
    {
        return caller.call(post("/orders/special/x", id))
                   .body.find("done by i") == 0;
    };
    REQUIRE(eventually([&] { return goes_to_an_engine("r2"); }));
    CHECK(goes_to_an_engine("r3"));
    CHECK(caller.call(post("/orders/x", "r4")).body.find("done by d") == 0);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: an older configuration is never applied")
{
    auto config = configuration();
    config["version"] = 20;
    store.put("op", "config", config);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    config["version"] = 19;
    config["routes"] = nlohmann::json::array();
    store.put("op", "config", config);
    std::this_thread::sleep_for(milliseconds(1'500));
    CHECK(caller.call(post("/orders/x", "r1")).status == 200);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: an engine that leaves gets no further work")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    store.remove("servers", "da");
    std::this_thread::sleep_for(milliseconds(2'000));
    auto const before = service_a.calls().size();
    for (int i = 0; i < 10; ++i)
        CHECK(
            caller.call(post("/orders/x", "r" + std::to_string(i))).body ==
            "done by db");
    CHECK(service_a.calls().size() == before);
}

TEST_CASE_METHOD(entry_fixture, "entry: an engine stops when the caller leaves")
{
    auto& node = start_node();
    set_engine_handlers([](link_ptr const&, http_request const&)
                        { return true; });
    {
        test_caller caller(node.settings.listen_callers);
        caller.send(turn("t1"));
        CHECK(eventually([&] { return engine_calls() == 1; }));
        caller.close();
    }
    CHECK(eventually(
        [&] {
            return engine_a.cancelled_calls() + engine_b.cancelled_calls() == 1;
        }));
}

TEST_CASE_METHOD(
    entry_fixture, "entry: malformed and oversized requests are rejected")
{
    auto& node = start_node();
    auto const status = [&](std::string const& bytes)
    {
        test_caller caller(node.settings.listen_callers);
        return caller.call(bytes).status;
    };
    CHECK(status("nonsense\r\n\r\n") == 400);
    CHECK(
        status("POST /orders/x HTTP/1.1\r\nHost: h.example\r\n"
               "Content-Length: 200000\r\n\r\n") == 413);
    CHECK(
        status(
            "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX: " +
            std::string(8'000, 'x') + "\r\n\r\n") == 431);
    CHECK(status("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n") == 400);
    CHECK(
        status(post("/orders/x", "r1", "Transfer-Encoding: chunked\r\n")) ==
        400);
    CHECK(service_calls() == 0);
}

TEST_CASE_METHOD(
    entry_fixture, "entry: a planned stop lets calls under way end")
{
    auto& node = start_node();
    engine_a.set_handler(
        [this](link_ptr const& link, http_request const& request)
        {
            std::string const id(request["Request-Id"]);
            engine_a.server().later(
                milliseconds(700),
                [link, id]
                {
                    link->write(standin_target::stream(id, 1, 3, true));
                    link->finish_answer();
                });
            return true;
        });
    store.remove("servers", "ib");
    std::this_thread::sleep_for(milliseconds(1'500));
    test_caller caller(node.settings.listen_callers);
    caller.send(turn("t1"));
    REQUIRE(eventually([&] { return engine_calls() == 1; }));
    node.process->request_stop();
    auto const got = caller.receive();
    CHECK(got.whole);
    CHECK(got.body == three_events);
    CHECK(eventually([&] { return !is_ready(node); }));
    stop_node(node);
}

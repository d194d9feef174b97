/// \file
/// Turns that wait for the store at real nodes.

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string const program = "Program-Id: p1\r\nToken-Budget: 30\r\n";
/// Long enough that a turn which was to run would have reached an engine.
constexpr milliseconds settling_time{700};

/// A node whose kept turns come from callers that bear a silence of 3.2 s.
struct store_wait_world : entry_world
{
    node* server = nullptr;

    store_wait_world()
    {
        auto document = configuration();
        for (auto& one : document["routes"])
        {
            if (one["name"] == "kept")
                one["gap_aim_ms"] = 400;
        }
        auto brief = document["routes"][1];
        brief["name"] = "brief";
        brief["prefix"] = "/brief/";
        brief["gap_aim_ms"] = 300;
        document["routes"].push_back(brief);
        store.put("op", "config", document);
        server = &start_node();
    }

    std::size_t engine_calls() const
    {
        return engine_a.calls().size() + engine_b.calls().size();
    }
    double awaiting() const
    {
        return metric(*server, "walnutmill_calls_awaiting_store").value_or(-1);
    }
    double ended(std::string const& how) const
    {
        return metric(
                   *server, "walnutmill_store_waits_total{end=\"" + how + "\"}")
            .value_or(0);
    }
    std::string kept(std::string const& id) const
    {
        return turn(id, program, "/kept/");
    }
    /// Waits until the node knows that the store is lost. It reads the store
    /// every 450 to 675 ms, counts it as lost after 300 ms, and lets turns wait
    /// after 400 ms.
    void lose_store()
    {
        store.set_down(true);
        std::this_thread::sleep_for(seconds(2));
    }
};

} // namespace

TEST_CASE_METHOD(
    store_wait_world,
    "store wait: a turn waits for the store, runs once and is stored")
{
    lose_store();
    test_caller caller(server->settings.listen_callers);
    caller.send(kept("t1"));
    REQUIRE(eventually([&] { return awaiting() == 1; }));
    CHECK(engine_calls() == 0);
    store.set_down(false);
    auto const got = caller.receive();
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(engine_calls() == 1);
    CHECK(store.count("walnutmill-turns") == 1);
    CHECK(awaiting() == 0);
    CHECK(ended("released") >= 1);
}

// A run whose caller has left would spend its program's budget for nothing.
TEST_CASE_METHOD(
    store_wait_world, "store wait: a turn whose caller leaves does not run")
{
    lose_store();
    {
        test_caller caller(server->settings.listen_callers);
        caller.send(kept("t1"));
        REQUIRE(eventually([&] { return awaiting() == 1; }));
        caller.close();
    }
    CHECK(eventually([&] { return awaiting() == 0; }));
    CHECK(ended("left") == 1);
    store.set_down(false);
    std::this_thread::sleep_for(settling_time);
    CHECK(engine_calls() == 0);
    // Nothing of the program's budget, which is for one turn, is taken.
    test_caller again(server->settings.listen_callers);
    CHECK(again.call(kept("t2")).status == 200);
}

TEST_CASE_METHOD(
    store_wait_world,
    "store wait: a turn that waited in vain is refused and never runs")
{
    lose_store();
    test_caller caller(server->settings.listen_callers);
    auto const sent = std::chrono::steady_clock::now();
    auto const got = caller.call(kept("t1"));
    auto const took = std::chrono::steady_clock::now() - sent;
    CHECK(got.status == 503);
    REQUIRE(got.headers.count("Retry-After") == 1);
    CHECK(std::stod(got.headers.at("Retry-After")) < 0.5);
    // Of the caller's 3 s, time for a run is left.
    CHECK(took > milliseconds(2'000));
    CHECK(took < milliseconds(3'000));
    CHECK(ended("expired") == 1);
    store.set_down(false);
    std::this_thread::sleep_for(settling_time);
    CHECK(engine_calls() == 0);
    CHECK(store.count("walnutmill-turns") == 0);
    test_caller again(server->settings.listen_callers);
    CHECK(again.call(kept("t1")).status == 200);
}

// Waiting at a node that stops would cost the caller time that it needs at
// another node.
TEST_CASE_METHOD(
    store_wait_world, "store wait: a node that stops refuses its waiting turns")
{
    lose_store();
    test_caller caller(server->settings.listen_callers);
    caller.send(kept("t1"));
    REQUIRE(eventually([&] { return awaiting() == 1; }));
    auto const stopped = std::chrono::steady_clock::now();
    server->process->request_stop();
    auto const got = caller.receive();
    CHECK(std::chrono::steady_clock::now() - stopped < seconds(1));
    CHECK(got.status == 503);
    CHECK(got.headers.count("Retry-After") == 1);
    CHECK(engine_calls() == 0);
}

// Callers of this route leave after 2.4 s.
TEST_CASE_METHOD(
    store_wait_world,
    "store wait: a turn whose caller bears no wait is refused at once")
{
    lose_store();
    test_caller caller(server->settings.listen_callers);
    auto const sent = std::chrono::steady_clock::now();
    auto const got = caller.call(turn("t1", program, "/brief/"));
    CHECK(std::chrono::steady_clock::now() - sent < seconds(1));
    CHECK(got.status == 503);
    REQUIRE(got.headers.count("Retry-After") == 1);
    CHECK(std::stod(got.headers.at("Retry-After")) > 0.5);
    CHECK(engine_calls() == 0);
    CHECK(awaiting() == 0);
}

#include "entry/crash_exchange.hpp"

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr request_digest request = 7;

/// Nodes whose datagrams arrive at once, unless the receiver is cut off.
struct crash_exchange_fixture
{
    manual_clock clock;
    std::map<std::string, std::unique_ptr<crash_exchange>> nodes;
    std::string cut_off;
    run_id last_run = 0;
    int resumed = 0;

    crash_exchange& start(std::string const& name)
    {
        crash_exchange::hooks hooks;
        hooks.send =
            [this, name](std::string const& to, std::string const& bytes)
        { deliver(name, to, bytes); };
        hooks.schedule_after = [](duration, std::function<void()> const&) {};
        auto& node = nodes[name];
        node = std::make_unique<crash_exchange>(
            clock.fn(), seeded_random(1), std::move(hooks));
        return *node;
    }

    void deliver(
        std::string const& from, std::string const& to,
        std::string const& bytes)
    {
        auto const found = nodes.find(to);
        if (found == nodes.end() || from == cut_off || to == cut_off)
            return;
        found->second->handle(
            bytes, from,
            [this, from, to](std::string const& reply)
            { deliver(to, from, reply); });
    }

    static void
    know(crash_exchange& node, std::vector<std::string> const& names)
    {
        std::vector<entry_member> others;
        others.reserve(names.size());
        for (auto const& name : names)
            others.push_back({name, name, "z", "", 1});
        node.set_nodes(others);
    }

    /// Advances the clock and lets all nodes do their periodic work.
    void pass(duration time)
    {
        auto const interval = milliseconds(200);
        for (auto left = time; left > duration(0); left -= interval)
        {
            clock.advance(std::min<duration>(left, interval));
            for (auto const& one : nodes)
                one.second->tick();
        }
    }

    void crash(crash_exchange& at, std::string const& engine)
    {
        auto const began = clock.now();
        clock.advance(milliseconds(20));
        at.run_interrupted(
            {request,
             {"archive", "p1", "turns", "r1"},
             ++last_run,
             target_name(engine),
             began});
    }

    /// A run is given up after a silence of 400 ms.
    void fall_silent(crash_exchange& at, std::string const& engine)
    {
        auto const began = clock.now();
        clock.advance(milliseconds(400));
        at.run_fell_silent(
            {request,
             {"archive", "p1", "turns", "r1"},
             ++last_run,
             target_name(engine),
             began},
            began);
    }

    bool wait(crash_exchange& at)
    {
        return at.await_records(request, [this] { ++resumed; });
    }
};

} // namespace

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a node that starts asks before it sends a suspect again")
{
    auto& peer = start("peer");
    know(peer, {"node"});
    pass(seconds(2));
    crash(peer, "e1");
    crash(peer, "e2");
    auto& node = start("node");
    CHECK(node.verdict(request) == send_verdict::allowed);
    crash(node, "e3");
    CHECK(node.verdict(request) == send_verdict::awaits_records);
    REQUIRE(wait(node));
    pass(seconds(1));
    CHECK(resumed == 0);
    know(node, {"peer"});
    pass(milliseconds(200));
    CHECK(resumed == 1);
    CHECK(node.verdict(request) == send_verdict::quarantined);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a node that is no member yet is told of crashes")
{
    // More than a starting node asks.
    std::vector<std::string> const peers{"p1", "p2", "p3", "p4", "p5"};
    for (auto const& name : peers)
        know(start(name), {});
    pass(seconds(2));
    auto& node = start("node");
    know(node, peers);
    std::size_t crashes = 0;
    for (auto const& name : peers)
    {
        crash(*nodes.at(name), "engine of " + name);
        CHECK(node.record().crashes(request) == ++crashes);
    }
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: each further send asks for what others know by then")
{
    auto& peer = start("peer");
    auto& node = start("node");
    know(peer, {"node"});
    know(node, {"peer"});
    pass(seconds(2));
    crash(node, "e1");
    CHECK(node.verdict(request) == send_verdict::awaits_records);
    REQUIRE(wait(node));
    CHECK(resumed == 1);
    CHECK(node.verdict(request) == send_verdict::suspect);
    // What the other node tells meanwhile gets lost.
    cut_off = "node";
    crash(peer, "e2");
    crash(peer, "e3");
    pass(seconds(1));
    cut_off.clear();
    CHECK(node.record().crashes(request) == 1);
    CHECK(node.verdict(request) == send_verdict::awaits_records);
    REQUIRE(wait(node));
    CHECK(resumed == 2);
    CHECK(node.verdict(request) == send_verdict::quarantined);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a call that no node answers goes on after a while")
{
    auto& node = start("node");
    know(node, {"gone"});
    pass(seconds(2));
    crash(node, "e1");
    REQUIRE(wait(node));
    pass(milliseconds(1'800));
    CHECK(resumed == 0);
    CHECK(node.verdict(request) == send_verdict::awaits_records);
    pass(milliseconds(200));
    CHECK(resumed == 1);
    CHECK(node.verdict(request) == send_verdict::suspect);
    pass(milliseconds(400));
    CHECK(node.verdict(request) == send_verdict::awaits_records);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a node that lacks records lets no other go on")
{
    auto& node = start("node");
    know(node, {"peer"});
    pass(seconds(2));
    crash(node, "e1");
    auto& peer = start("peer");
    REQUIRE(wait(node));
    CHECK(resumed == 0);
    CHECK(peer.record().crashes(request) == 1);
    know(peer, {"node"});
    CHECK_FALSE(peer.may_lack_records());
    pass(milliseconds(200));
    CHECK(resumed == 1);
}

TEST_CASE_METHOD(
    crash_exchange_fixture, "crash exchange: a node that stood still lacks "
                            "records until it is answered")
{
    auto& peer = start("peer");
    auto& node = start("node");
    know(peer, {"node"});
    know(node, {"peer"});
    pass(seconds(2));
    CHECK_FALSE(node.may_lack_records());
    clock.advance(seconds(3));
    CHECK(node.may_lack_records());
    cut_off = "node";
    peer.tick();
    node.tick();
    CHECK(node.may_lack_records());
    cut_off.clear();
    pass(seconds(2));
    CHECK_FALSE(node.may_lack_records());
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a node without others goes by its own record")
{
    auto& node = start("node");
    crash(node, "e1");
    know(node, {});
    CHECK(node.verdict(request) == send_verdict::awaits_records);
    // Others may have started at the same time.
    pass(milliseconds(1'600));
    CHECK(node.verdict(request) == send_verdict::suspect);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: calls that wait for others are bounded")
{
    auto& node = start("node");
    know(node, {"gone"});
    crash(node, "e1");
    std::size_t waiting = 0;
    while (waiting <= crash_exchange_options().max_waiting && wait(node))
        ++waiting;
    CHECK(waiting == crash_exchange_options().max_waiting);
    pass(seconds(3));
    CHECK(resumed == static_cast<int>(waiting));
    CHECK(wait(node));
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: nodes that stood still together answer each other at once")
{
    auto& peer = start("peer");
    auto& node = start("node");
    know(peer, {"node"});
    know(node, {"peer"});
    pass(seconds(2));
    clock.advance(milliseconds(1'500));
    crash(node, "e1");
    REQUIRE(wait(node));
    CHECK(resumed == 1);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: an engine that goes on after a silence ended under nobody")
{
    auto& peer = start("peer");
    auto& node = start("node");
    know(peer, {"node"});
    know(node, {"peer"});
    pass(seconds(2));
    fall_silent(node, "e1");
    CHECK(node.record().crashes(request) == 0);
    CHECK(node.verdict(request) == send_verdict::awaits_records);
    CHECK(peer.record().running_engines(request).size() == 1);
    pass(seconds(1));
    node.engine_sent_bytes(target_name("e1"));
    CHECK(node.verdict(request) == send_verdict::allowed);
    CHECK(peer.verdict(request) == send_verdict::allowed);
    pass(seconds(40));
    CHECK(peer.verdict(request) == send_verdict::allowed);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a run counts once its silent engine is known to have "
    "ended")
{
    auto& node = start("node");
    know(node, {});
    pass(seconds(2));
    SECTION("it is found to have ended")
    {
        fall_silent(node, "e1");
        CHECK(node.record().crashes(request) == 0);
        node.engine_ended(target_name("e1"));
    }
    SECTION("it stays silent for longer than a sound engine")
    {
        constexpr int watches = 9;
        for (int i = 0; i < watches; ++i)
            fall_silent(node, "e1");
        CHECK(node.record().crashes(request) == 0);
        fall_silent(node, "e1");
    }
    CHECK(node.record().crashes(request) == 1);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: two pauses of a sound engine are not one long silence")
{
    auto& node = start("node");
    know(node, {});
    pass(seconds(2));
    fall_silent(node, "e1");
    pass(milliseconds(3'600));
    fall_silent(node, "e1");
    CHECK(node.record().crashes(request) == 0);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a node that leaves takes back what it has not decided")
{
    auto& peer = start("peer");
    auto& node = start("node");
    know(peer, {"node"});
    know(node, {"peer"});
    pass(seconds(2));
    fall_silent(node, "e1");
    CHECK(peer.record().running_engines(request).size() == 1);
    node.forget_silent_runs();
    pass(seconds(40));
    CHECK(peer.record().crashes(request) == 0);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: a silence that nothing explains is forgotten")
{
    auto& node = start("node");
    know(node, {});
    pass(seconds(2));
    fall_silent(node, "e1");
    pass(seconds(11));
    CHECK(node.verdict(request) == send_verdict::allowed);
    node.engine_ended(target_name("e1"));
    CHECK(node.record().crashes(request) == 0);
}

TEST_CASE_METHOD(
    crash_exchange_fixture,
    "crash exchange: silent engines count towards the engines of a request")
{
    auto& node = start("node");
    know(node, {});
    pass(seconds(2));
    CHECK(node.may_leave(request, target_name("e1")));
    fall_silent(node, "e1");
    CHECK(node.may_leave(request, target_name("e2")));
    fall_silent(node, "e2");
    CHECK(node.may_leave(request, target_name("e1")));
    CHECK_FALSE(node.may_leave(request, target_name("e3")));
    fall_silent(node, "e3");
    CHECK(node.verdict(request) == send_verdict::limited_to_its_engines);
    node.engine_ended(target_name("e1"));
    CHECK(node.verdict(request) == send_verdict::limited_to_its_engines);
    node.engine_ended(target_name("e2"));
    CHECK(node.verdict(request) == send_verdict::awaits_other_run);
    node.engine_ended(target_name("e3"));
    CHECK(node.verdict(request) == send_verdict::quarantined);
}

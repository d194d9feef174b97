#include "ownership.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace walnutmill;

namespace
{

constexpr shard_number shard_count = 64;

std::vector<session_state> sessions_of(int count)
{
    std::vector<session_state> sessions;
    for (int i = 0; i < count; ++i)
    {
        session_state one;
        one.node = node_name("n" + std::to_string(i));
        one.id = session_id(one.node.str() + ".1");
        sessions.push_back(one);
    }
    return sessions;
}

std::vector<shard_state> shards_owned_by(session_id const& owner)
{
    std::vector<shard_state> shards(shard_count);
    for (shard_number i = 0; i < shard_count; ++i)
    {
        shards[i].number = i;
        shards[i].owner = owner;
        shards[i].epoch = 3;
        shards[i].segments = {{owner, 3}};
    }
    return shards;
}

} // namespace

TEST_CASE("watchers, of each session, are two others", "[ownership]")
{
    auto const sessions = sessions_of(13);
    for (auto const& watched : sessions)
    {
        int watchers = 0;
        for (auto const& one : sessions)
            watchers += watches(one.id, watched.id, sessions) ? 1 : 0;
        CHECK(watchers == 2);
        CHECK_FALSE(watches(watched.id, watched.id, sessions));
    }
}

TEST_CASE("watchers, both dead, are followed by two more", "[ownership]")
{
    auto sessions = sessions_of(13);
    auto const watched = sessions[0].id;
    for (auto& one : sessions)
        one.fenced = watches(one.id, watched, sessions);
    int watchers = 0;
    for (auto const& one : sessions)
    {
        if (!one.fenced)
            watchers += watches(one.id, watched, sessions) ? 1 : 0;
    }
    CHECK(watchers == 2);
}

TEST_CASE("staleness, counter unchanged for a lease, is told", "[ownership]")
{
    staleness_watch watch;
    duration const lease = std::chrono::seconds(3);
    auto const start = time_point(std::chrono::seconds(1));
    session_id const id("n.1");
    CHECK_FALSE(watch.stale(id, start + lease, lease));
    watch.observe(id, 7, start);
    watch.observe(id, 7, start + lease / 2);
    CHECK_FALSE(watch.stale(id, start + lease - duration(1), lease));
    CHECK(watch.stale(id, start + lease, lease));
    watch.observe(id, 8, start + lease);
    CHECK_FALSE(watch.stale(id, start + lease, lease));
}

TEST_CASE("reassignment, owner fenced, spreads over the living", "[ownership]")
{
    auto sessions = sessions_of(13);
    sessions[0].fenced = true;
    auto const shards = shards_owned_by(sessions[0].id);
    int planners = 0;
    for (auto const& planner : sessions)
    {
        if (planner.fenced)
            continue;
        auto const changes =
            plan_reassignment(planner.id, shards, sessions, shard_count);
        planners += changes.empty() ? 0 : 1;
        std::set<session_id> owners;
        for (auto const& change : changes)
        {
            owners.insert(change.after.owner);
            CHECK(change.after.epoch == 4);
            CHECK(change.after.segments.size() == 2);
        }
        if (!changes.empty())
            CHECK(owners.size() > 6);
        CHECK(owners.count(sessions[0].id) == 0);
        CHECK(plan_reassignment(planner.id, shards, sessions, 5).size() <= 5);
    }
    CHECK(planners == 1);
}

TEST_CASE("reassignment, owner alive or leaving, is not planned", "[ownership]")
{
    auto sessions = sessions_of(3);
    sessions[0].leaving = true;
    auto const shards = shards_owned_by(sessions[0].id);
    for (auto const& planner : sessions)
        CHECK(plan_reassignment(planner.id, shards, sessions, 64).empty());
}

TEST_CASE("hand-over, node leaving, gives all its shards away", "[ownership]")
{
    auto sessions = sessions_of(3);
    auto const self = sessions[0].id;
    auto const shards = shards_owned_by(self);
    auto const before = plan_hand_over(self, shards, sessions).size();
    CHECK(before > 0);
    CHECK(before < shard_count);
    sessions[0].leaving = true;
    CHECK(plan_hand_over(self, shards, sessions).size() == shard_count);
}

TEST_CASE(
    "preferred owner, one node gone, keeps the other shards", "[ownership]")
{
    auto sessions = sessions_of(13);
    auto fewer = sessions;
    fewer[5].fenced = true;
    for (shard_number i = 0; i < shard_count; ++i)
    {
        auto const before = preferred_owner(i, sessions);
        auto const after = preferred_owner(i, fewer);
        if (before != sessions[5].id)
            CHECK(before == after);
    }
}

#include "ownership.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

constexpr std::size_t watchers_per_session = 2;

bool unfenced(session_id const& id, std::vector<session_state> const& sessions)
{
    for (auto const& session : sessions)
    {
        if (session.id == id)
            return !session.fenced;
    }
    return false;
}

/// Whether `self` ranks first for a task that any live node could do.
bool ranks_first(
    std::string_view task, session_id const& self,
    std::vector<session_state> const& sessions, std::size_t places)
{
    auto const own = rendezvous_weight(task, self.str());
    std::size_t ahead = 0;
    for (auto const& session : sessions)
    {
        if (session.fenced || session.id == self)
            continue;
        if (rendezvous_weight(task, session.id.str()) > own)
            ++ahead;
    }
    return ahead < places;
}

} // namespace

std::vector<session_state>
serving_sessions(std::vector<session_state> const& sessions)
{
    std::vector<session_state> serving;
    for (auto const& session : sessions)
    {
        if (!session.fenced && !session.leaving)
            serving.push_back(session);
    }
    return serving;
}

session_id
preferred_owner(shard_number shard, std::vector<session_state> const& sessions)
{
    auto const key = shard_key(shard);
    session_id best;
    std::uint64_t best_weight = 0;
    for (auto const& session : sessions)
    {
        if (session.fenced || session.leaving)
            continue;
        auto const weight = rendezvous_weight(key, session.node.str());
        if (best.empty() || weight > best_weight)
        {
            best = session.id;
            best_weight = weight;
        }
    }
    return best;
}

bool watches(
    session_id const& self, session_id const& other,
    std::vector<session_state> const& sessions)
{
    if (self == other)
        return false;
    // The watched one ranks among the watchers too, hence one place more.
    std::vector<session_state> others;
    for (auto const& session : sessions)
    {
        if (session.id != other)
            others.push_back(session);
    }
    return ranks_first(
        "watch/" + other.str(), self, others, watchers_per_session);
}

void staleness_watch::observe(
    session_id const& id, std::uint64_t counter, time_point now)
{
    auto const found = seen_.find(id);
    if (found == seen_.end() || found->second.counter != counter)
        seen_[id] = {counter, now};
}

bool staleness_watch::stale(
    session_id const& id, time_point now, duration lease) const
{
    auto const found = seen_.find(id);
    return found != seen_.end() && now - found->second.since >= lease;
}

void staleness_watch::forget(session_id const& id)
{
    seen_.erase(id);
}

shard_state with_owner(shard_state const& before, session_id const& owner)
{
    auto after = before;
    after.owner = owner;
    after.epoch = before.epoch + 1;
    after.segments.push_back({owner, after.epoch});
    return after;
}

std::vector<shard_change> plan_reassignment(
    session_id const& self, std::vector<shard_state> const& shards,
    std::vector<session_state> const& sessions, std::size_t limit)
{
    std::vector<shard_change> changes;
    for (auto const& shard : shards)
    {
        if (changes.size() >= limit)
            break;
        if (unfenced(shard.owner, sessions))
            continue;
        auto const task = "reassign/" + shard.owner.str();
        if (!ranks_first(task, self, sessions, 1))
            continue;
        auto const owner = preferred_owner(shard.number, sessions);
        if (!owner.empty())
            changes.push_back({shard, with_owner(shard, owner)});
    }
    return changes;
}

std::vector<shard_change> plan_hand_over(
    session_id const& self, std::vector<shard_state> const& shards,
    std::vector<session_state> const& sessions)
{
    std::vector<shard_change> changes;
    for (auto const& shard : shards)
    {
        if (shard.owner != self)
            continue;
        auto const owner = preferred_owner(shard.number, sessions);
        if (!owner.empty() && owner != self)
            changes.push_back({shard, with_owner(shard, owner)});
    }
    return changes;
}

bool referenced(
    session_id const& session, std::vector<shard_state> const& shards)
{
    for (auto const& shard : shards)
    {
        if (shard.owner == session)
            return true;
        for (auto const& segment : shard.segments)
        {
            if (segment.session == session)
                return true;
        }
    }
    return false;
}

} // namespace walnutmill

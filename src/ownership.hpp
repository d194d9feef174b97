#ifndef WALNUTMILL_SRC_OWNERSHIP_HPP
#define WALNUTMILL_SRC_OWNERSHIP_HPP

/// \file
/// Who owns which shard: decisions over the rows of sessions and shards,
/// without network or threads. Whatever is decided here from an old view is
/// caught by the conditions of the transaction that carries it out.

#include <walnutmill/clock.hpp>

#include "session.hpp"

#include <map>
#include <vector>

namespace walnutmill
{

/// A change of one shard's row.
struct shard_change
{
    shard_state before;
    shard_state after;
};

/// Sessions that are neither fenced nor leaving.
std::vector<session_state>
serving_sessions(std::vector<session_state> const& sessions);

/// \return the session that a shard belongs at, by rendezvous hashing over
/// the serving sessions; empty when there is none. Keyed by node name, so
/// that a restarted node gets its shards back.
session_id
preferred_owner(shard_number shard, std::vector<session_state> const& sessions);

/// Whether `self` is among the `watchers_per_session` sessions that watch
/// `other`: few enough that reads stay linear in the number of nodes, two so
/// that one dead watcher does not hide a death.
bool watches(
    session_id const& self, session_id const& other,
    std::vector<session_state> const& sessions);

/// Notes how long counters stood still on this process's own clock.
class staleness_watch
{
public:
    /// Takes the counter of a session as just read.
    void observe(session_id const& id, std::uint64_t counter, time_point now);
    /// Whether the counter was seen unchanged for the whole lease.
    bool stale(session_id const& id, time_point now, duration lease) const;
    void forget(session_id const& id);

private:
    struct sighting
    {
        std::uint64_t counter = 0;
        time_point since;
    };
    std::map<session_id, sighting> seen_;
};

/// Shards without a live owner that `self` is to give new owners, at most
/// `limit`. Several nodes may plan the same; one transaction wins.
std::vector<shard_change> plan_reassignment(
    session_id const& self, std::vector<shard_state> const& shards,
    std::vector<session_state> const& sessions, std::size_t limit);

/// Shards of `self` that belong at another node now.
std::vector<shard_change> plan_hand_over(
    session_id const& self, std::vector<shard_state> const& shards,
    std::vector<session_state> const& sessions);

/// The shard's row with a new owner, whose records begin a new epoch.
shard_state with_owner(shard_state const& before, session_id const& owner);

/// Whether any shard's records still lie in the journal of the session.
bool referenced(
    session_id const& session, std::vector<shard_state> const& shards);

} // namespace walnutmill

#endif

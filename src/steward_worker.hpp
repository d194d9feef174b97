#ifndef WALNUTMILL_SRC_STEWARD_WORKER_HPP
#define WALNUTMILL_SRC_STEWARD_WORKER_HPP

/// \file
/// Carries out what the stewards of some targets ask for: one after another,
/// with blocking calls, without a thread of its own.

#include <walnutmill/audit.hpp>
#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/platform.hpp>
#include <walnutmill/target_steward.hpp>
#include <walnutmill/weight_slots.hpp>

#include "target_link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{

/// A target whose shard this node owns, with the epoch of that ownership.
struct stewarded_target
{
    target_config config;
    epoch_number epoch = 0;
};

/// A commit on the condition that this session is not fenced and still owns
/// the target's shard in this epoch.
struct steward_commit
{
    target_name target;
    epoch_number epoch = 0;
    /// Further conditions. When only one of these fails, the status is
    /// not_sent: refused says that the shard or the session is lost.
    std::vector<condition> conditions;
    std::vector<row_write> writes;
};

enum class program_liveness
{
    live,
    ended,
    /// Nobody could tell: its cache is kept.
    unknown
};

/// Called on the workers' threads, several at once; may block.
struct steward_hooks
{
    /// Engines that this node stewards now.
    std::function<std::vector<stewarded_target>()> stewarded;
    /// Version in force at this node, and at every live node.
    std::function<std::uint64_t()> version;
    std::function<std::uint64_t()> accepted_version;
    /// Loads from the weight store that may run at a time.
    std::function<std::uint32_t()> weight_loads;
    std::function<commit_status(steward_commit const&)> commit;
    std::function<result<std::vector<row>>(std::string_view prefix)> scan;
    session_fenced_fn session_fenced;
    /// In the order of the programs asked for.
    std::function<std::vector<program_liveness>(std::vector<program_id> const&)>
        liveness;
    std::function<wall_time()> wall_clock;
    std::function<target_link(std::string const& address)> connect;
};

struct steward_options
{
    session_id session;
    node_name node;
    clock_fn clock;
    steward_limits limits;
    /// Time between two sweeps of one target's holds.
    duration sweep_period = std::chrono::seconds(5);
};

/// What operators see of one stewarded target.
struct steward_status
{
    target_name target;
    target_condition state = target_condition::unknown;
    std::string reason;
    observed_target observed;
    time_point read_at;
};

class steward_worker
{
public:
    steward_worker(
        steward_options options, steward_hooks const& hooks, metrics& counters);

    /// Takes the targets that this worker serves from now on.
    void assign(std::vector<stewarded_target> const& targets);
    /// Does all that is due. \return when to come back at the latest.
    time_point round();
    std::vector<steward_status> status() const;

private:
    struct served_target
    {
        target_config config;
        target_steward steward;
        target_link link;
        epoch_number epoch = 0;
        time_point next_look;
        time_point next_sweep;
        steward_status status;
    };

    void update(served_target& target, target_config const& config);
    void look(served_target& target);
    /// \return whether there is more to do at once.
    bool perform(served_target& target, read_action const&);
    bool perform(served_target& target, commit_action const& wanted);
    bool perform(served_target& target, send_action const& wanted);
    bool perform(served_target& target, take_slot_action const&);
    bool perform(served_target& target, give_slot_action const&);
    bool perform(served_target& target, release_action const&);
    bool perform(served_target& target, pause_action const& wanted);
    bool perform(served_target& target, retire_action const&) const;
    void sweep(served_target& target);
    void release(served_target& target, program_id const& program);
    commit_status
    commit_slot(served_target const& target, weight_slot_change const& change);
    weight_slot_holder holder(served_target const& target) const;
    audit_entry
    entry_of(served_target const& target, target_order const& order) const;

    steward_options options_;
    steward_hooks const& hooks_;
    metrics& counters_;
    std::map<target_name, served_target> served_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_OWNERSHIP_DUTY_HPP
#define WALNUTMILL_SRC_OWNERSHIP_DUTY_HPP

/// \file
/// The thread that keeps shards owned: watches other sessions, fences those
/// that stand still, gives their shards new owners, loads, checkpoints and
/// hands over this node's own.

#include <walnutmill/metrics.hpp>
#include <walnutmill/platform.hpp>

#include "journal_duty.hpp"
#include "owner_duty.hpp"
#include "ownership.hpp"
#include "recovery.hpp"
#include "routing.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace walnutmill
{

struct ownership_duty_options
{
    session_id self;
    node_name node;
    std::uint32_t shards = 0;
    duration lease{0};
    clock_fn clock;
};

struct ownership_duty_hooks
{
    /// Tells the node at this peer address to look at the shards' rows now.
    std::function<void(std::string const& peer_address)> notify;
};

/// Runs until stopped. Thread-safe.
class ownership_duty
{
public:
    ownership_duty(
        table_service table, object_store objects, journal_duty& journal,
        owner_duty& owner, routing& routes, ownership_duty_options options,
        ownership_duty_hooks hooks, metrics& counters);
    ~ownership_duty();
    ownership_duty(ownership_duty const&) = delete;
    ownership_duty& operator=(ownership_duty const&) = delete;

    /// Looks at the rows at once instead of at the next period.
    void poke();
    /// From now on this node's shards go to others as they fall quiet.
    void leave();
    /// Shards that this node serves.
    std::size_t owned() const { return owned_.load(); }
    /// Whether the rows were read at least once and own shards are loaded.
    bool settled() const { return settled_.load(); }

private:
    void run();
    void round();
    bool read_view();
    void fence_stale(time_point now);
    bool fence(session_state const& session);
    void reassign();
    void add_owner_conditions(
        std::vector<shard_change> const& changes, exclusive_commit& work) const;
    bool change_shards(std::vector<shard_change> const& changes);
    void notify_owners(std::vector<shard_change> const& changes);
    void load_owned();
    void hand_over();
    bool hand_over_shard(shard_change change);
    bool checkpoint_due(shard_state const& row);
    void checkpoint_some();
    bool checkpoint(shard_state const& row);
    void trim_journal();
    void collect_garbage();
    void erase_session(session_state const& session);
    void publish();

    table_service table_;
    object_store objects_;
    journal_duty& journal_;
    owner_duty& owner_;
    routing& routes_;
    ownership_duty_options options_;
    ownership_duty_hooks hooks_;
    metrics& counters_;
    staleness_watch watch_;
    ownership_view view_;
    /// Shards that this node serves, with the epoch of its ownership.
    std::map<shard_number, epoch_number> loaded_;
    shard_number checkpoint_cursor_ = 0;
    /// Rows of the own journal up to this counter are erased.
    std::uint64_t erased_below_ = 0;
    /// A shard left with records in this session's journal.
    bool journal_pinned_ = false;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> settled_{false};
    std::atomic<std::size_t> owned_{0};
    std::mutex mutex_;
    std::condition_variable wake_;
    bool poked_ = false;
    std::thread thread_;
};

} // namespace walnutmill

#endif

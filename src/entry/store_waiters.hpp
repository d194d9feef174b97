#ifndef WALNUTMILL_SRC_ENTRY_STORE_WAITERS_HPP
#define WALNUTMILL_SRC_ENTRY_STORE_WAITERS_HPP

/// \file
/// Turns of a node that wait for the store before they run.
///
/// Load pattern: the store does not respond for 4 to 9 s. The turns that wait
/// then would all ask for budgets, histories and engines in the same
/// millisecond, in the order in which they arrived. They are released one after
/// the other instead, those first whose programs can still end in time.

#include <walnutmill/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// How a wait for the store ended.
enum class store_wait_end
{
    /// The store responds, and the turn goes on.
    released,
    /// The store has not responded in time.
    expired,
    /// Too many turns wait already.
    full,
    /// The turn's caller has left.
    left,
    /// The node stops.
    stopping
};
/// \return the name of the enumerator, as in the metrics.
std::string_view to_string(store_wait_end end);

struct store_waiter_options
{
    /// Maximum number of waiting turns. A turn holds 17 KB, so that they hold
    /// 4.4 MB. Their release takes 2.56 s, about as long as the longest wait.
    std::size_t max_turns = 256;
    /// Time between the releases of two turns. 90 nodes then release 9,000
    /// turns a second.
    duration release_interval = std::chrono::milliseconds(10);
    /// Usual run time of a turn. A program with less time left cannot end in
    /// time.
    duration run_time = std::chrono::milliseconds(400);
    /// Time after the store's return within which other nodes may not have
    /// noticed it. Their probes follow each other within 225 ms on 90 nodes and
    /// time out after 400 ms.
    duration recovery_time = std::chrono::seconds(1);
    /// Time after which a turn is released again whose budget or history could
    /// not be read within the recovery time: half the interval of another
    /// node's probes.
    duration recheck_interval = std::chrono::milliseconds(100);
};

/// A turn that waits for the store.
struct store_waiter
{
    /// The wait ends at the latest at this time.
    time_point until;
    /// The turn is not released before this time.
    time_point not_before{};
    /// Time at which the turn's program should end; empty if it does not
    /// matter.
    std::optional<time_point> finish_by;
    /// Rank of the turn's route; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Called when the wait ends as released, expired or stopping. It may
    /// outlive the turn, so it must not own it.
    std::function<void(store_wait_end)> on_end;
};

class store_waiters
{
public:
    struct hooks
    {
        /// Calls back after a delay.
        std::function<void(duration, std::function<void()>)> schedule_after;
        /// \return true while the store counts as lost
        std::function<bool()> is_store_lost;
        /// A wait has ended, or a turn was not taken in; may be null.
        std::function<void(store_wait_end)> on_ended;
    };
    using ticket = std::uint64_t;

    store_waiters(clock_fn clock, hooks to, store_waiter_options options = {});
    store_waiters(store_waiters const&) = delete;
    store_waiters& operator=(store_waiters const&) = delete;

    /// \return the ticket by which the turn can be removed; empty if it can't
    /// wait, because the queue is full or the node stops
    std::optional<ticket> add(store_waiter turn);
    /// Removes a turn without calling it back. Does nothing if its wait has
    /// ended.
    void remove(ticket turn, store_wait_end why);
    /// Begins to release the turns, since the store responds again. If it is
    /// lost meanwhile, the remaining turns wait until it responds again.
    void store_recovered();
    /// \return true shortly after the store has begun to respond again.
    bool is_recovering() const;
    /// \return the time at which a turn may be released that could not go on,
    /// because another node does not reach the store yet
    time_point next_recheck() const;
    /// Ends all waits, since the node stops. Turns are no longer taken in.
    void stop();

    std::size_t size() const { return turns_.size(); }

private:
    struct entry
    {
        ticket id;
        store_waiter turn;
    };

    bool goes_before(entry const& a, entry const& b) const;
    void begin_release();
    void schedule_release(duration after);
    void release_next();
    void expire();
    void end(std::vector<entry>::iterator which, store_wait_end how);
    void report(store_wait_end how) const;

    clock_fn clock_;
    hooks hooks_;
    store_waiter_options options_;
    std::vector<entry> turns_;
    ticket last_ticket_ = 0;
    /// Time of the store's last return; empty until then.
    std::optional<time_point> recovered_at_;
    /// A release is scheduled.
    bool releases_ = false;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

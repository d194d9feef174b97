#ifndef WALNUTMILL_SRC_ENTRY_OUTAGE_POLICY_HPP
#define WALNUTMILL_SRC_ENTRY_OUTAGE_POLICY_HPP

/// \file
/// Decides whether turns that cannot complete during a store outage wait, are
/// refused with a retry delay, or run.
///
/// Load pattern: the store does not respond for 4 to 9 seconds, and turns whose
/// results must be stored cannot complete until it returns. A caller abandons a
/// stream that stays silent for about 2 s, and sends a failed turn up to two
/// more times. A refused caller retries once, after at most a third of its
/// time. If turns run immediately and their results are held, each of the three
/// sends covers 2.1 s, 6.8 s in total. If they are refused immediately, each
/// covers 1.3 s, 4.5 s in total. If they are refused first and run on the
/// retry, each covers 3.4 s, so that an active program survives an outage of
/// 10 s.
///
/// Where callers bear a longer silence, a turn waits before it runs. A turn
/// that runs without the store spends its program's budget even if it cannot be
/// stored: a budget of 3.2 turns, half of which may be spent without the store,
/// covers one such run. A waiting turn spends nothing, and runs as soon as the
/// store returns instead of up to 1.33 s later.

#include <walnutmill/clock.hpp>

#include <chrono>

namespace walnutmill
{

struct outage_options
{
    /// Shorter outages are covered by holding the results of turns that ran.
    /// Outages longer than this last for seconds.
    duration short_outage = std::chrono::seconds(1);
    /// A call with more than this fraction of its total time left has not been
    /// refused before. A call that has been refused has two thirds left.
    double first_attempt_time_ratio = 0.85;
    /// Upper bound of the retry delay, as a fraction of the time left.
    double max_retry_after_ratio = 1.0 / 3;
    /// Lower bound of the retry delay, including the jitter of 250 ms. A tool
    /// call that uses up its one or two retries ends its program, so a retry
    /// within half a second is of no use in an outage of seconds.
    std::chrono::milliseconds min_retry_after{800};
    /// Usual run time of a turn, from its choice of an engine to its last
    /// event.
    duration run_time = std::chrono::milliseconds(400);
    /// A turn waits only once the store has been lost for this long. Before
    /// that it runs, because its run takes as long as this.
    duration min_outage_to_wait = std::chrono::milliseconds(400);
    /// A turn waits only where its caller bears at least this silence besides
    /// the run: the timeout of one attempt at the store.
    duration min_bearable_wait = std::chrono::milliseconds(2'500);
    /// Time that is left besides the run: 100 ms in which a slow store stores
    /// the turn, and 50 ms for a busy event loop and the way to the caller.
    duration wait_margin = std::chrono::milliseconds(150);
    /// Retry delay after a wait that ended without the store. The caller has
    /// been kept for most of its time, so that it returns at once.
    std::chrono::milliseconds retry_after_wait{120};
};

/// A call that needs the store to complete.
struct outage_call
{
    /// How long the store has not responded to any request; zero if it
    /// responds.
    duration lost_for{0};
    /// Time until the deadline of the call.
    duration time_left{0};
    /// Time that callers of the route allow for a call.
    duration total_time{0};
    /// Callers of the route leave a stream that is silent for longer than this.
    duration silence_limit{0};
    /// Time since the call arrived; its caller has received nothing yet.
    duration silent_for{0};
    /// The store has just begun to respond again. Other nodes, among them the
    /// program's coordinator, may not have noticed.
    bool recovering = false;
};

enum class outage_action
{
    run,
    /// Wait until the store responds.
    wait,
    /// Ask the caller to retry.
    refuse
};

struct outage_decision
{
    outage_action action = outage_action::run;
    /// Longest time to wait; set for outage_action::wait only.
    duration max_wait{0};
    /// Set for outage_action::refuse only.
    std::chrono::milliseconds retry_after{0};
};

/// \return true if callers of the route bear a wait for the store. All other
/// calls are decided by should_refuse_in_outage() alone.
bool bears_store_wait(
    outage_call const& call, outage_options const& options = {});

/// Decides on a call that has not run and could run without the store, but not
/// complete.
outage_decision
decide_in_outage(outage_call const& call, outage_options const& options = {});

/// Decides on a call that has not run and cannot run, because its program's
/// budget or its history cannot be read. Never outage_action::run.
outage_decision decide_without_store(
    outage_call const& call, outage_options const& options = {});

/// \return true if a call that does not wait should be refused with a retry
/// delay rather than run.
bool should_refuse_in_outage(
    outage_call const& call, outage_options const& options = {});

/// \return the retry delay of a call that is refused without a wait. An outage
/// is assumed to last as long again as it already has.
std::chrono::milliseconds
outage_retry_after(outage_call const& call, outage_options const& options = {});

} // namespace walnutmill

#endif

/// \file
/// The part of class call_flow that detects and handles stalled engines.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"

#include <algorithm>
#include <chrono>

namespace walnutmill
{

namespace
{

/// A timer that fires later than this shows that the node itself stood still.
constexpr std::chrono::milliseconds max_timer_delay{100};
/// Time for reading what arrived meanwhile.
constexpr std::chrono::milliseconds read_time{50};

} // namespace

/// Uses one timer per call and rearms it only when it fires, since events
/// arrive every 30 ms.
void call_flow::watch_for_stall(attempt_ptr const& one)
{
    if (done_ || one->ended)
        return;
    check_progress_after(
        one, one->silence_timeout - (node_.clock() - one->last_progress_at));
}

void call_flow::check_progress_after(attempt_ptr const& one, duration wait)
{
    auto const due = node_.clock() + std::max(wait, duration(0));
    stall_timer_.expires_after(wait);
    stall_timer_.async_wait(
        [self = shared_from_this(), one,
         due](boost::system::error_code const& error)
        {
            if (error || self->done_ || one->ended)
                return;
            if (self->node_.clock() - due > max_timer_delay)
                self->check_progress_after(one, read_time);
            else
                self->check_progress(one);
        });
}

void call_flow::check_progress(attempt_ptr const& one)
{
    if (!is_silent(one))
    {
        watch_for_stall(one);
        return;
    }
    node_.balancer.call_stalled(one->at.ref());
    node_.links.close_idle(one->at.engine);
    if (may_abandon(one))
        leave_silent_engine(one);
    else
        log_failed_attempt(one, "stalled, waits on");
}

/// Leaves the engine once other nodes have told what they know of the request.
/// Until then the engine may still answer.
void call_flow::leave_silent_engine(attempt_ptr const& one)
{
    if (done_ || one->ended)
        return;
    if (!is_silent(one))
    {
        watch_for_stall(one);
        return;
    }
    auto const asks =
        node_.crashes != nullptr && node_.crashes->lacks_confirmation(digest());
    if (asks && await_crash_records(
                    [waiting = weak_from_this(), one]
                    {
                        if (auto const self = waiting.lock())
                            self->leave_silent_engine(one);
                    }))
        return;
    if (asks || !may_abandon(one) || !node_.repeats.try_spend())
    {
        log_failed_attempt(one, "stalled, waits on");
        return;
    }
    log_failed_attempt(one, "stalled, left");
    ++stalls_;
    run_fell_silent(one);
    // The load balancer already knows of the stall, so the outcome is not
    // counted again.
    end_attempt(one, engine_outcome::abandoned);
    one->link->close();
    retry_or_fail(one, false);
}

/// \return true if the call should be aborted at its silent engine and be
/// retried.
bool call_flow::may_abandon(attempt_ptr const& one)
{
    if (route_->repeats != repeatability::idempotent || !has_sends_left())
        return false;
    // The engine may be sound, so the call must not be refused for leaving it.
    auto const engine = one->at.ref();
    auto const left_before = std::count_if(
        crashed_at_.begin(), crashed_at_.end(),
        [&engine](engine_ref const& other) { return !(other == engine); });
    if (static_cast<std::size_t>(left_before) + 1 >= max_request_crashes ||
        (node_.crashes != nullptr &&
         !node_.crashes->may_leave(digest(), engine)))
        return false;
    // Retrying a queued call at the same engine would only lose its position
    // in the queue.
    auto const is_queued = one->at.load >= one->at.slots;
    auto const may_retry_there = !is_queued && node_.balancer.is_ready(engine);
    return may_run_elsewhere(engine) || may_retry_there;
}

} // namespace walnutmill

/// \file
/// The part of a call's life in which its engine is silent for too long.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"

namespace walnutmill
{

/// One timer a call, set anew only when it fires: events come every 30 ms.
void call_flow::watch_for_stall(attempt_ptr const& one)
{
    if (done_ || one->ended)
        return;
    stall_timer_.expires_after(one->patience - (node_.clock() - one->heard_at));
    stall_timer_.async_wait(
        [self = shared_from_this(), one](boost::system::error_code const& error)
        {
            if (!error && !self->done_ && !one->ended)
                self->check_progress(one);
        });
}

void call_flow::check_progress(attempt_ptr const& one)
{
    if (node_.clock() - one->heard_at < one->patience)
    {
        watch_for_stall(one);
        return;
    }
    node_.board.stalled(one->at.ref());
    node_.links.drop_idle(one->at.engine);
    auto const leaves = may_leave(one);
    note_attempt(one, leaves ? "stalled, left" : "stalled, waits on");
    if (!leaves)
        return;
    ++stalls_;
    // The engine was told of already, as stalled.
    end_attempt(one, engine_outcome::abandoned);
    one->link->close();
    retry_or_fail(one, false);
}

/// \return true where the call should be ended at its silent engine and be
/// sent again.
bool call_flow::may_leave(attempt_ptr const& one)
{
    if (route_->repeats != repeatability::idempotent || sends_ >= most_sends)
        return false;
    // At the same engine a call that waits for a slot would only lose its
    // place in the queue.
    auto const waits_there = one->at.load >= one->at.slots;
    return (may_run_elsewhere(one->at.ref()) || !waits_there) &&
           node_.repeats.take();
}

} // namespace walnutmill

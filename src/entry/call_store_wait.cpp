/// \file
/// Calls that wait for the store before they run, on routes whose callers bear
/// the wait.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"

#include <walnutmill/caller_identity.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

constexpr std::string_view stopping_reason = "this node is about to stop";

} // namespace

outage_call call_flow::current_outage() const
{
    outage_call outage;
    if (node_.store_outage_time)
        outage.lost_for = node_.store_outage_time();
    outage.time_left = time_left();
    auto const found = node_.max_call_times.find(route_->name);
    outage.total_time =
        found == node_.max_call_times.end() ? outage.time_left : found->second;
    outage.silence_limit = route_->silence_limit;
    outage.silent_for = node_.clock() - arrived_;
    outage.recovering = node_.awaiting_store != nullptr &&
                        node_.awaiting_store->is_recovering();
    return outage;
}

/// Lets a turn that has not run wait for the store, or refuses it if it has no
/// time to wait.
/// \param can_run the turn could run, but not be stored
/// \param why reason given if the turn is refused
/// \return false if the turn is to be decided as on routes whose callers bear
/// no wait
bool call_flow::await_store(bool can_run, std::string_view why)
{
    auto const outage = current_outage();
    if (node_.awaiting_store == nullptr || store_queue_full_ ||
        !route_->keeps_turns || may_have_run_ || !bears_store_wait(outage))
        return false;
    auto const lost = outage.lost_for.count() > 0;
    if (!lost && (can_run || !outage.recovering))
        return false;
    auto const decision =
        can_run ? decide_in_outage(outage) : decide_without_store(outage);
    if (decision.action == outage_action::run)
        return false;
    // Nothing stays reserved during the wait or after the refusal.
    settle_budget();
    if (node_.stopping || decision.action == outage_action::refuse)
    {
        refuse_after_store_wait(node_.stopping ? stopping_reason : why);
        return true;
    }
    auto const now = node_.clock();
    store_waiter turn;
    turn.until = now + decision.max_wait;
    if (!lost)
        turn.not_before = node_.awaiting_store->next_recheck();
    if (call_.program.finish_in)
        turn.finish_by = arrived_ + *call_.program.finish_in;
    turn.rank = route_rank();
    // The deadline's timer keeps the call alive until it ends.
    turn.on_end = [waiting = weak_from_this(), why](store_wait_end how)
    {
        if (auto const self = waiting.lock())
            self->store_wait_ended(how, why);
    };
    store_wait_ = node_.awaiting_store->add(std::move(turn));
    if (!store_wait_)
    {
        store_queue_full_ = true;
        return false;
    }
    store_wait_began_ = now;
    begin_wait(wait_reason::store);
    return true;
}

void call_flow::store_wait_ended(store_wait_end how, std::string_view why)
{
    if (done_ || !store_wait_)
        return;
    record_store_wait();
    if (how == store_wait_end::released)
        go_on_after_store_wait();
    else if (how == store_wait_end::stopping)
        refuse_after_store_wait(stopping_reason);
    else
        refuse_after_store_wait(why);
}

/// The key may have been revoked during the wait, so it is checked again by the
/// configuration now in force.
void call_flow::go_on_after_store_wait()
{
    auto const age =
        node_.configuration_age ? node_.configuration_age() : duration(0);
    auto const identity =
        identify(*node_.table, *route_, call_, age, node_.revoke_within);
    auto const is_same_owner =
        identity.owner == nullptr || identity.owner->name == call_.owner;
    if (identity.answer == identity_answer::stale)
    {
        // The configuration is read when the store returns.
        constexpr std::string_view why =
            "the configuration is too old to check the key";
        if (!await_store(false, why))
            refuse_after_store_wait(why);
    }
    else if (
        identity.answer == identity_answer::key_missing ||
        identity.answer == identity_answer::key_unknown || !is_same_owner)
    {
        return_quota();
        reject_key("no workspace holds this key");
    }
    else
        admit();
}

void call_flow::record_store_wait()
{
    store_wait_.reset();
    wait_.end();
    store_waited_ += node_.clock() - store_wait_began_;
    log_fields_["store_wait_ms"] = ms_count(store_waited_);
}

/// Removes a call that ends for another reason from the queue.
void call_flow::leave_store_queue()
{
    if (!store_wait_)
        return;
    node_.awaiting_store->remove(
        *store_wait_,
        caller_disconnected_ ? store_wait_end::left : store_wait_end::expired);
    record_store_wait();
}

void call_flow::refuse_after_store_wait(std::string_view why)
{
    log_fields_["store_lost_ms"] = ms_count(current_outage().lost_for);
    refuse(why, outage_options().retry_after_wait);
}

} // namespace walnutmill

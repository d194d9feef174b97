#include <walnutmill/target_steward.hpp>

#include <algorithm>

namespace walnutmill
{

std::uint64_t fence_of(epoch_number epoch, std::uint64_t sequence)
{
    return epoch * fences_per_epoch + sequence;
}

bool may_receive_work(target_config const& config, target_report const& report)
{
    return config.policy == target_policy::in_service &&
           report.state == target_condition::ready &&
           report.policy_since >= config.policy_since;
}

target_steward::target_steward(
    target_name target, epoch_number epoch, steward_limits limits,
    time_point now)
    : target_(std::move(target)), epoch_(epoch), limits_(limits),
      // An earlier steward's order may still be on its way.
      quiet_at_(now + limits.longest_order), quiet_before_send_(quiet_at_)
{
}

steward_action target_steward::next(steward_input const& input, time_point now)
{
    if (retired_)
        return retire_action{};
    note_input(input);
    if (pending_ && pending_->committed)
        return send_action{pending_->order};
    if (retry_at_ && now < *retry_at_)
        return pause_action{*retry_at_};
    if (!read_at_ || now - *read_at_ > limits_.read_age)
        return read_action{};
    if (desired_->checks_fencing && !claimed_ && observed_.reachable)
        return decide(order_content{}, std::nullopt, now);
    if (idle_since_)
        observed_.idle_for = now - *idle_since_;
    step_ = plan_target(*desired_, observed_, in_force_);
    return act_on_step(now);
}

void target_steward::note_input(steward_input const& input)
{
    if (!desired_ || !(*desired_ == input.desired))
    {
        desired_ = input.desired;
        desired_since_ = input.version;
        // Idleness counts from when the new policy is in force; an order of
        // the old one is not sent, or is refused after the next claim.
        idle_since_.reset();
        observed_.idle_for = duration(0);
        pending_.reset();
        last_content_.reset();
        claimed_ = false;
    }
    in_force_ = input.accepted_version >= desired_since_;
}

bool target_steward::may_order(time_point now) const
{
    return desired_->checks_fencing ? claimed_ : now >= quiet_at_;
}

steward_action target_steward::act_on_step(time_point now)
{
    auto const* order = std::get_if<order_step>(&step_.action);
    if (has_slot_ && (order == nullptr || !order->loads_weights))
        return give_slot_action{};
    if (order != nullptr)
        return act_on_order(*order, now);
    // New work comes once it is ready: no old order may cut it then.
    if (step_.state == target_condition::ready && !may_order(now))
        return wait_out(now);
    if (auto commit = publish())
        return *commit;
    if (std::holds_alternative<release_step>(step_.action))
        return release_action{};
    if (std::holds_alternative<settled_step>(step_.action))
        return pause(limits_.settled_poll, now);
    return pause(limits_.poll, now);
}

steward_action
target_steward::act_on_order(order_step const& wanted, time_point now)
{
    bool const under_way = last_content_ == wanted.content &&
                           now < last_sent_ + limits_.longest_order;
    if (!may_order(now) || under_way)
    {
        if (step_.state != target_condition::ready)
        {
            if (auto commit = publish())
                return *commit;
        }
        return wait_out(now);
    }
    if (wanted.loads_weights && !has_slot_)
        return take_slot_action{};
    return decide(wanted.content, report(), now);
}

steward_action target_steward::decide(
    order_content content, std::optional<target_report> report, time_point now)
{
    ++sequence_;
    target_order order;
    order.id = target_.str() + "." + std::to_string(epoch_) + "." +
               std::to_string(sequence_);
    order.target = target_;
    order.fence = fence_of(epoch_, sequence_);
    order.content = std::move(content);
    pending_ = pending_order{order, now, false};
    proposed_ = std::move(report);
    return commit_action{proposed_, order};
}

std::optional<steward_action> target_steward::publish()
{
    auto const current = report();
    if (is_published(current))
        return std::nullopt;
    proposed_ = current;
    return commit_action{current, std::nullopt};
}

steward_action target_steward::wait_out(time_point now)
{
    step_.reason += "; waits for an earlier order to end";
    return pause(limits_.poll, now);
}

steward_action target_steward::pause(duration longest, time_point now) const
{
    return pause_action{std::max(now, *read_at_) + longest};
}

target_report target_steward::report() const
{
    return {target_, step_.state, step_.reason, epoch_, desired_->policy_since};
}

// The reason is left out: it changes while calls end, and a commit for each
// would cost the table too much. Operators see it live at the steward.
bool target_steward::is_published(target_report const& report) const
{
    return published_ && published_->state == report.state &&
           published_->policy_since == report.policy_since;
}

void target_steward::on_read(observed_target observed, time_point now)
{
    observed_ = std::move(observed);
    read_at_ = now;
    retry_at_.reset();
    // Numbers of this epoch are this node's own: a target that left the
    // configuration and came back within the epoch has seen some.
    if (observed_.fence / fences_per_epoch == epoch_)
        sequence_ = std::max(sequence_, observed_.fence % fences_per_epoch);
    bool const idle = observed_.reachable && observed_.running == 0;
    if (!idle || !in_force_)
        idle_since_.reset();
    else if (!idle_since_)
        idle_since_ = now;
    observed_.idle_for = duration(0);
}

void target_steward::on_commit(commit_status status, time_point now)
{
    switch (status)
    {
    case commit_status::committed:
        if (proposed_)
            published_ = proposed_;
        if (pending_)
            pending_->committed = true;
        return;
    case commit_status::refused:
        retired_ = true;
        return;
    case commit_status::in_doubt:
        // Harmless either way: nothing was sent, and it is written again.
        published_.reset();
        break;
    case commit_status::not_sent:
        break;
    }
    pending_.reset();
    retry_at_ = now + limits_.poll;
}

bool target_steward::may_send(time_point now)
{
    if (!pending_ || !pending_->committed)
        return false;
    if (now - pending_->decided > limits_.send_window)
    {
        pending_.reset();
        read_at_.reset();
        return false;
    }
    quiet_before_send_ = quiet_at_;
    quiet_at_ = now + limits_.longest_order;
    last_content_ = pending_->order.content;
    last_sent_ = now;
    return true;
}

void target_steward::on_sent(send_outcome outcome, time_point now)
{
    pending_.reset();
    read_at_.reset();
    switch (outcome)
    {
    case send_outcome::accepted:
        claimed_ = true;
        return;
    case send_outcome::not_run:
        quiet_at_ = quiet_before_send_;
        last_content_.reset();
        break;
    case send_outcome::unknown:
        break;
    case send_outcome::fenced:
        retired_ = true;
        return;
    }
    retry_at_ = now + limits_.poll;
}

void target_steward::on_slot(bool taken, time_point now)
{
    has_slot_ = taken;
    if (!taken)
    {
        step_.reason += "; waits for the weight store";
        retry_at_ = now + limits_.poll;
    }
}

void target_steward::on_slot_given()
{
    has_slot_ = false;
}

void target_steward::on_released(time_point now)
{
    read_at_.reset();
    retry_at_ = now + limits_.poll;
}

} // namespace walnutmill

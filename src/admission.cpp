#include <walnutmill/admission.hpp>

#include <algorithm>
#include <cmath>

namespace walnutmill
{

namespace
{

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Weight of a new value after `elapsed` in an average of that time constant.
double weight_of(duration elapsed, duration constant)
{
    return 1.0 - std::exp(-seconds_of(elapsed) / seconds_of(constant));
}

} // namespace

std::string_view to_string(admission_reason reason)
{
    switch (reason)
    {
    case admission_reason::room:
        return "room";
    case admission_reason::below_share:
        return "below_share";
    case admission_reason::limit_reached:
        return "limit_reached";
    case admission_reason::above_share:
        return "above_share";
    case admission_reason::node_full:
        return "node_full";
    case admission_reason::queue_full:
        return "queue_full";
    }
    return "limit_reached";
}

admission::admission(admission_options options) : options_(options) {}

void admission::observe(load_snapshot const& load, time_point now)
{
    double waiting = std::max(
        static_cast<double>(load.young_queued_calls),
        load.call_rate * seconds_of(load.mean_wait));
    duration elapsed = observed_ ? now - observed_at_ : options_.smoothing;
    double weight = observed_ ? weight_of(elapsed, options_.smoothing) : 1.0;
    waiting_ += weight * (waiting - waiting_);
    missing_ += weight * (load.missing_history - missing_);
    end_rate_ += weight * (load.program_end_rate - end_rate_);
    load_ = load;
    update_limits(elapsed);
    observed_ = true;
    observed_at_ = now;
    forget_idle(now);
}

void admission::update_limits(duration elapsed)
{
    double least = options_.least_per_slot * load_.slots;
    double missing = std::max(0.0, missing_ - options_.missing_allowed);
    double without_wait = programs_ * (1.0 - missing) - waiting_;
    double allowed = options_.waiting_per_slot * load_.slots;
    double growth = 1.0 + options_.growth_per_second * seconds_of(elapsed);
    double highest = std::max(least, limit_ * growth);
    limit_ = std::clamp(without_wait + allowed, least, highest);
    calm_limit_ =
        std::clamp(without_wait + options_.calm_waiting, least, limit_);
}

void admission::forget_idle(time_point now)
{
    active_weight_ = 0.0;
    for (auto at = workspaces_.begin(); at != workspaces_.end();)
    {
        auto& workspace = at->second;
        workspace.active = workspace.programs > 0 ||
                           now - workspace.last_asked < options_.active_for;
        if (workspace.active)
            active_weight_ += workspace.weight;
        at = workspace.active ? std::next(at) : workspaces_.erase(at);
    }
}

admission::workspace_state&
admission::touch(workspace_name const& name, double weight)
{
    auto& workspace = workspaces_[name];
    if (workspace.active)
        active_weight_ -= workspace.weight;
    workspace.active = true;
    workspace.weight = weight;
    active_weight_ += weight;
    return workspace;
}

double admission::share_of(workspace_state const& workspace) const
{
    return workspace.weight / active_weight_;
}

admission_decision admission::judge(workspace_state const& workspace) const
{
    admission_decision decision;
    decision.limit = limit_;
    decision.programs = programs_;
    bool below = workspace.programs + 1 <= share_of(workspace) * limit_;
    decision.reason = admission_reason::room;
    if (programs_ >= options_.max_programs)
        decision.reason = admission_reason::node_full;
    else if (load_.queued_calls >= options_.max_queued_calls)
        decision.reason = admission_reason::queue_full;
    else if (programs_ + 1 > limit_)
        decision.reason = admission_reason::limit_reached;
    else if (programs_ + 1 > calm_limit_)
        decision.reason = below ? admission_reason::below_share
                                : admission_reason::above_share;
    decision.admitted = decision.reason == admission_reason::room ||
                        decision.reason == admission_reason::below_share;
    return decision;
}

std::chrono::milliseconds admission::next_return(
    workspace_state& workspace, time_point now, random_fn const& random)
{
    auto step = std::chrono::duration<double>(1.0 / free_rate(workspace));
    workspace.line_end = std::max(workspace.line_end, now);
    workspace.line_end += std::chrono::duration_cast<duration>(step);
    workspace.line_end =
        std::min(workspace.line_end, now + options_.greatest_retry_after);
    // From half to one and a half, so that nodes do not return in step.
    double factor = 0.5 + random();
    auto wait = std::chrono::duration<double, std::milli>(
        (workspace.line_end - now) * factor);
    auto rounded = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    return std::max(rounded, options_.least_retry_after);
}

double admission::free_rate(workspace_state const& workspace) const
{
    // By Little's law, as long as no program has ended.
    double expected =
        std::max(1.0, limit_) / seconds_of(options_.usual_program_time);
    return std::max(end_rate_, expected) * share_of(workspace);
}

admission_decision admission::decide(
    admission_request const& request, time_point now, random_fn const& random)
{
    auto& workspace = touch(request.workspace, request.workspace_weight);
    workspace.last_asked = now;
    auto decision = judge(workspace);
    if (!decision.admitted)
    {
        decision.retry_after = next_return(workspace, now, random);
        return decision;
    }
    ++workspace.programs;
    ++programs_;
    return decision;
}

void admission::on_adopted(workspace_name const& workspace, double weight)
{
    ++touch(workspace, weight).programs;
    ++programs_;
}

void admission::on_ended(workspace_name const& workspace)
{
    auto found = workspaces_.find(workspace);
    if (found == workspaces_.end() || found->second.programs == 0)
        return;
    --found->second.programs;
    --programs_;
}

} // namespace walnutmill

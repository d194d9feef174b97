#include <walnutmill/capacity.hpp>

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

} // namespace

std::string_view to_string(power_state state)
{
    switch (state)
    {
    case power_state::off:
        return "off";
    case power_state::waking:
        return "waking";
    case power_state::serving:
        return "serving";
    case power_state::draining:
        return "draining";
    }
    return "off";
}

std::string_view to_string(capacity_action action)
{
    switch (action)
    {
    case capacity_action::wake:
        return "wake";
    case capacity_action::drain:
        return "drain";
    case capacity_action::resume:
        return "resume";
    case capacity_action::stop:
        return "stop";
    }
    return "wake";
}

std::string_view to_string(capacity_reason reason)
{
    switch (reason)
    {
    case capacity_reason::demand_rises:
        return "demand_rises";
    case capacity_reason::below_floor:
        return "below_floor";
    case capacity_reason::demand_fell:
        return "demand_fell";
    case capacity_reason::drained:
        return "drained";
    }
    return "drained";
}

/// What there is, counting the steps planned so far.
struct capacity_planner::totals
{
    double slots = 0.0;
    std::uint32_t targets = 0;
    std::uint32_t loads = 0;
    std::uint32_t drains = 0;
    double running = 0.0;

    void add(capacity_target const& target)
    {
        slots += target.slots;
        ++targets;
    }
};

capacity_planner::capacity_planner(capacity_options options) : options_(options)
{
}

capacity_planner::totals
capacity_planner::count(capacity_snapshot const& snapshot)
{
    totals have;
    have.loads = snapshot.other_loads;
    for (auto const& target : snapshot.targets)
    {
        have.running += target.running;
        if (target.state == power_state::waking)
            ++have.loads;
        if (target.state == power_state::draining && !target.held_by_operator)
            ++have.drains;
        bool serves = target.state == power_state::serving ||
                      target.state == power_state::waking;
        if (serves && !target.held_by_operator)
            have.add(target);
    }
    return have;
}

void capacity_planner::smooth(double demand, time_point now)
{
    if (!started_)
    {
        demand_ = demand;
        planned_at_ = now;
        started_ = true;
        return;
    }
    double elapsed = seconds_of(now - planned_at_);
    if (elapsed <= 0.0)
        return;
    double constant =
        seconds_of(demand > demand_ ? options_.rise : options_.fall);
    double weight = 1.0 - std::exp(-elapsed / constant);
    double before = demand_;
    demand_ += weight * (demand - demand_);
    double trend_weight = 1.0 - std::exp(-elapsed / seconds_of(options_.fall));
    slope_ += trend_weight * ((demand_ - before) / elapsed - slope_);
    planned_at_ = now;
}

capacity_plan
capacity_planner::plan(capacity_snapshot const& snapshot, time_point now)
{
    auto have = count(snapshot);
    smooth(have.running + snapshot.queued_calls + snapshot.refused_slots, now);
    capacity_plan plan;
    plan.demand = demand_;
    plan.expected =
        demand_ + std::max(0.0, slope_) * seconds_of(options_.wake_time);
    plan.wanted = plan.expected / options_.wake_above;
    take(snapshot, capacity_action::resume, have, plan);
    take(snapshot, capacity_action::wake, have, plan);
    plan_fall(snapshot, have, plan, now);
    plan_stops(snapshot, plan);
    return plan;
}

bool capacity_planner::needs_more(
    totals const& have, capacity_plan const& plan) const
{
    return have.targets < options_.floor || have.slots < plan.wanted;
}

void capacity_planner::take(
    capacity_snapshot const& snapshot, capacity_action action, totals& have,
    capacity_plan& plan) const
{
    auto from = action == capacity_action::resume ? power_state::draining
                                                  : power_state::off;
    for (auto const& target : snapshot.targets)
    {
        if (!needs_more(have, plan))
            return;
        if (target.state != from || target.held_by_operator)
            continue;
        bool loads = action == capacity_action::wake;
        if (loads && have.loads >= options_.max_loads)
        {
            plan.wakes_deferred = true;
            return;
        }
        auto reason = have.targets < options_.floor
                          ? capacity_reason::below_floor
                          : capacity_reason::demand_rises;
        plan.steps.push_back({target.name, action, reason});
        have.loads += loads ? 1 : 0;
        have.add(target);
    }
}

void capacity_planner::plan_fall(
    capacity_snapshot const& snapshot, totals& have, capacity_plan& plan,
    time_point now)
{
    capacity_target const* least = nullptr;
    for (auto const& target : snapshot.targets)
    {
        if (target.state != power_state::serving || target.held_by_operator)
            continue;
        if (!least || drains_before(target, *least))
            least = &target;
    }
    bool low =
        least && plan.steps.empty() && have.targets > options_.floor &&
        plan.expected < options_.drain_below * (have.slots - least->slots);
    if (low && !low_)
        low_since_ = now;
    low_ = low;
    if (!low || now - low_since_ < options_.drain_after ||
        have.drains >= options_.max_drains)
        return;
    plan.steps.push_back(
        {least->name, capacity_action::drain, capacity_reason::demand_fell});
}

bool capacity_planner::drains_before(
    capacity_target const& a, capacity_target const& b)
{
    if (a.holds + a.running != b.holds + b.running)
        return a.holds + a.running < b.holds + b.running;
    return a.name < b.name;
}

void capacity_planner::plan_stops(
    capacity_snapshot const& snapshot, capacity_plan& plan)
{
    auto resumed = [&](target_name const& name)
    {
        return std::any_of(
            plan.steps.begin(), plan.steps.end(),
            [&](capacity_step const& step) { return step.target == name; });
    };
    for (auto const& target : snapshot.targets)
    {
        if (target.state != power_state::draining || target.held_by_operator)
            continue;
        if (target.running == 0 && target.holds == 0 && !resumed(target.name))
            plan.steps.push_back(
                {target.name, capacity_action::stop, capacity_reason::drained});
    }
}

} // namespace walnutmill

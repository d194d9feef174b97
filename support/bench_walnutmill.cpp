#include "bench_walnutmill.hpp"

#include "bench_modules_node.hpp"

#include <walnutmill/capacity.hpp>

namespace walnutmill::bench
{

namespace
{

// Mean slot time of a program of the day-curve pattern beside a busy batch.
constexpr double program_slot_seconds = 30.0;

power_state state_of(power_view::power power)
{
    switch (power)
    {
    case power_view::power::off:
        return power_state::off;
    case power_view::power::waking:
        return power_state::waking;
    case power_view::power::serving:
        return power_state::serving;
    case power_view::power::draining:
        return power_state::draining;
    }
    return power_state::off;
}

power_order order_of(capacity_action action)
{
    switch (action)
    {
    case capacity_action::wake:
        return power_order::wake;
    case capacity_action::drain:
        return power_order::drain;
    case capacity_action::resume:
        return power_order::resume;
    case capacity_action::stop:
        return power_order::stop;
    }
    return power_order::wake;
}

capacity_snapshot snapshot_of(power_view const& view)
{
    capacity_snapshot snapshot;
    snapshot.queued_calls = view.queued_calls;
    snapshot.refused_slots = view.refused_per_second * program_slot_seconds;
    for (std::size_t i = 0; i < view.targets.size(); ++i)
    {
        auto const& seen = view.targets[i];
        capacity_target target;
        target.name = target_name(std::to_string(i));
        target.state = state_of(seen.state);
        target.running = seen.running;
        target.since = seen.since;
        snapshot.targets.push_back(std::move(target));
    }
    return snapshot;
}

std::vector<power_step>
plan(capacity_planner& planner, power_view const& view, time_point now)
{
    std::vector<power_step> steps;
    for (auto const& step : planner.plan(snapshot_of(view), now).steps)
    {
        auto const engine = std::stoul(step.target.str());
        steps.push_back(
            {static_cast<engine_index>(engine), order_of(step.action)});
    }
    return steps;
}

node_policy hooks_of(std::shared_ptr<modules_node> const& node)
{
    node_policy policy;
    policy.admit = [node](program_view const& program, time_point now)
    { return node->admit(program, now); };
    policy.adopt = [node](program_view const& program, time_point)
    { node->adopt(program); };
    policy.allow = [node](call_view const& call) { return node->allow(call); };
    policy.submit = [node](call_view const& call, time_point now)
    { node->submit(call, now); };
    policy.next = [node](time_point now) { return node->next(now); };
    policy.first_token = [node](call_handle handle, time_point now)
    { node->first_token(handle, now); };
    policy.done =
        [node](call_view const& call, call_result const& result, time_point now)
    { node->done(call, result, now); };
    policy.failed =
        [node](call_view const& call, call_result const& result, time_point now)
    { return node->failed(call, result, now); };
    policy.withdraw = [node](call_handle handle) { node->withdraw(handle); };
    policy.pause = [node](pause_view const& view, time_point)
    { return node->pause(view); };
    policy.resumed = [node](tool_kind tool, duration length)
    { node->resumed(tool, length); };
    policy.ended = [node](program_view const& program, time_point)
    { node->ended(program); };
    policy.reported = [node](reports const& seen, time_point now)
    { node->reported(seen, now); };
    policy.recall = [node](time_point now) { return node->recall(now); };
    policy.drops_at_end = true;
    return policy;
}

policy_set make_system(cluster_size const& size, std::uint64_t seed, module off)
{
    policy_set all;
    for (std::uint32_t i = 0; i < size.nodes; ++i)
    {
        auto const own_seed = static_cast<std::uint32_t>(seed * 1'000 + i);
        all.nodes.push_back(
            hooks_of(std::make_shared<modules_node>(size, own_seed, off)));
    }
    auto const planner = std::make_shared<capacity_planner>();
    all.power = [planner](power_view const& view, time_point now)
    { return plan(*planner, view, now); };
    if (off == module::capacity)
        all.power = wake_all;
    return all;
}

} // namespace

policy_set make_walnutmill(
    cluster_size const& size, world_knowledge const& /*knowledge*/,
    std::uint64_t seed)
{
    return make_system(size, seed, module::none);
}

policy_factory walnutmill_without(module off)
{
    return [off](
               cluster_size const& size, world_knowledge const&,
               std::uint64_t seed) { return make_system(size, seed, off); };
}

} // namespace walnutmill::bench

#include <walnutmill/target_plan.hpp>

#include <algorithm>
#include <array>

namespace walnutmill
{
namespace
{

using name_list = std::vector<std::string>;

constexpr std::array<std::string_view, 8> condition_names{
    "unknown",  "unreachable", "starting", "ready",
    "draining", "drained",     "stopped",  "expunged"};

bool has(name_list const& list, std::string const& name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

bool includes(name_list const& all, name_list const& some)
{
    return std::all_of(
        some.begin(), some.end(),
        [&](std::string const& name) { return has(all, name); });
}

bool same_set(name_list const& a, name_list const& b)
{
    return includes(a, b) && includes(b, a);
}

name_list united(name_list const& a, name_list const& b)
{
    auto all = a;
    for (auto const& name : b)
    {
        if (!has(all, name))
            all.push_back(name);
    }
    return all;
}

std::string joined(name_list const& names)
{
    std::string text;
    for (auto const& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text.empty() ? "none" : text;
}

target_step make_order(
    order_content content, bool loads_weights, target_condition state,
    std::string reason)
{
    return {
        order_step{std::move(content), loads_weights}, state,
        std::move(reason)};
}

target_step wait(target_condition state, std::string reason)
{
    return {wait_step{}, state, std::move(reason)};
}

target_step settled(target_condition state)
{
    return {settled_step{}, state, "as desired"};
}

bool lacks_weights(
    desired_target const& desired, observed_target const& observed)
{
    return !includes(observed.models, desired.models) ||
           !includes(observed.adapters, desired.adapters);
}

// What has to be added to a target that serves. Loading takes nothing from
// running work.
order_content
additions(desired_target const& desired, observed_target const& observed)
{
    order_content content;
    if (!includes(observed.models, desired.models))
        content.models = united(observed.models, desired.models);
    if (!includes(observed.adapters, desired.adapters))
        content.adapters = united(observed.adapters, desired.adapters);
    return content;
}

// All that differs. Unloading and a change of role can cut running calls.
order_content
differences(desired_target const& desired, observed_target const& observed)
{
    order_content content;
    if (!same_set(observed.models, desired.models))
        content.models = desired.models;
    if (!same_set(observed.adapters, desired.adapters))
        content.adapters = desired.adapters;
    if (!desired.role.empty() && desired.role != observed.role)
        content.role = desired.role;
    return content;
}

target_step
plan_service(desired_target const& desired, observed_target const& observed)
{
    bool const lacking = lacks_weights(desired, observed);
    auto content = differences(desired, observed);
    if (observed.power == power_state::off)
    {
        content.power = power_state::on;
        return make_order(
            content, lacking, target_condition::starting,
            "is off and is to serve");
    }
    if (content == order_content{})
        return settled(target_condition::ready);
    // It is ready while it loads: calls for what it lacks go elsewhere.
    if (lacking)
    {
        return make_order(
            additions(desired, observed), true, target_condition::ready,
            "has to load what it lacks");
    }
    return wait(
        target_condition::ready,
        "has to be drained before: " + to_text(content));
}

// \return what is still to be waited for before the target may be changed.
std::optional<target_step>
plan_quiet(observed_target const& observed, bool in_force)
{
    auto const state = target_condition::draining;
    if (!in_force)
        return wait(state, "not every node has the new policy yet");
    if (observed.running > 0)
    {
        return wait(
            state, std::to_string(observed.running) + " calls still run");
    }
    if (observed.idle_for < idle_settle_time)
        return wait(state, "idle, waiting for calls just sent");
    if (observed.holds > 0)
    {
        return target_step{
            release_step{}, state,
            "holds cache of " + std::to_string(observed.holds) + " programs"};
    }
    return std::nullopt;
}

target_step plan_drain(
    desired_target const& desired, observed_target const& observed,
    bool in_force)
{
    if (observed.power == power_state::off)
        return settled(target_condition::drained);
    if (auto step = plan_quiet(observed, in_force))
        return *step;
    auto const content = differences(desired, observed);
    if (!(content == order_content{}))
    {
        return make_order(
            content, lacks_weights(desired, observed),
            target_condition::drained, "is drained for a change");
    }
    return settled(target_condition::drained);
}

target_step plan_stop(
    desired_target const& desired, observed_target const& observed,
    bool in_force)
{
    auto const end = desired.policy == target_policy::expunged
                         ? target_condition::expunged
                         : target_condition::stopped;
    if (observed.power == power_state::off)
        return settled(end);
    if (!desired.stop_now)
    {
        if (auto step = plan_quiet(observed, in_force))
            return *step;
    }
    order_content content;
    content.power = power_state::off;
    return make_order(
        content, false, target_condition::draining,
        desired.stop_now ? "operator's word to cut what runs" : "is drained");
}

} // namespace

desired_target desired_of(target_config const& config)
{
    return {config.policy,      config.models,   config.adapters,
            config.role,        config.stop_now, config.checks_fencing,
            config.policy_since};
}

bool operator==(desired_target const& a, desired_target const& b)
{
    return a.policy == b.policy && a.models == b.models &&
           a.adapters == b.adapters && a.role == b.role &&
           a.stop_now == b.stop_now && a.checks_fencing == b.checks_fencing &&
           a.policy_since == b.policy_since;
}

bool operator==(order_content const& a, order_content const& b)
{
    return a.models == b.models && a.adapters == b.adapters &&
           a.role == b.role && a.power == b.power;
}

std::string to_text(order_content const& content)
{
    name_list parts;
    if (content.power)
        parts.push_back(
            *content.power == power_state::on ? "power on" : "power off");
    if (content.models)
        parts.push_back("models " + joined(*content.models));
    if (content.adapters)
        parts.push_back("adapters " + joined(*content.adapters));
    if (content.role)
        parts.push_back("role " + *content.role);
    if (parts.empty())
        return "raise the fencing number";
    return joined(parts);
}

std::string_view to_string(target_condition state)
{
    return condition_names.at(static_cast<std::size_t>(state));
}

target_condition target_condition_from(std::string_view text)
{
    for (std::size_t i = 0; i < condition_names.size(); ++i)
    {
        if (condition_names[i] == text)
            return static_cast<target_condition>(i);
    }
    return target_condition::unknown;
}

target_step plan_target(
    desired_target const& desired, observed_target const& observed,
    bool in_force)
{
    if (!observed.reachable)
    {
        // Only the operator gives a target up; then nobody waits for it.
        if (desired.policy == target_policy::expunged)
            return settled(target_condition::expunged);
        return wait(target_condition::unreachable, "cannot be reached");
    }
    switch (desired.policy)
    {
    case target_policy::in_service:
        return plan_service(desired, observed);
    case target_policy::drain:
        return plan_drain(desired, observed, in_force);
    case target_policy::stop:
    case target_policy::expunged:
        break;
    }
    return plan_stop(desired, observed, in_force);
}

} // namespace walnutmill

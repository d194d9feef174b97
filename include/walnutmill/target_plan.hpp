#ifndef WALNUTMILL_TARGET_PLAN_HPP
#define WALNUTMILL_TARGET_PLAN_HPP

/// \file
/// The planner of one target: from what operators ask and what was observed
/// to the next idempotent step. Pure and level-triggered: it looks at states
/// only, never at what happened before. See docs/DESIGN-targets.md.

#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace walnutmill
{

enum class power_state
{
    off,
    on
};

/// What operators ask of a target, from one version of the configuration.
struct desired_target
{
    target_policy policy = target_policy::in_service;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    /// Empty: the role stays as it is.
    std::string role;
    /// Running work may be cut off.
    bool stop_now = false;
    bool checks_fencing = false;
    /// Version that last changed the policy.
    std::uint64_t policy_since = 0;
};

/// \return that part of the target's configuration.
desired_target desired_of(target_config const& config);

bool operator==(desired_target const& a, desired_target const& b);

/// What was read of a target.
struct observed_target
{
    bool reachable = false;
    power_state power = power_state::off;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string role;
    std::uint64_t fence = 0;
    /// Calls that run or wait at the target.
    std::uint32_t running = 0;
    /// Programs whose cache it holds.
    std::uint32_t holds = 0;
    /// How long every read has shown no running call, counted only while the
    /// desired state was in force at every node.
    duration idle_for{0};
};

/// A state to reach; absent parts stay as they are. The target may take it
/// any number of times.
struct order_content
{
    std::optional<std::vector<std::string>> models;
    std::optional<std::vector<std::string>> adapters;
    std::optional<std::string> role;
    std::optional<power_state> power;
};

bool operator==(order_content const& a, order_content const& b);

/// \return for example "power off" or "models a, b".
std::string to_text(order_content const& content);

/// What nodes and operators are told of a target. Only a ready one is given
/// new work.
enum class target_condition
{
    unknown,
    unreachable,
    /// On its way into service.
    starting,
    ready,
    /// Work in flight is ending.
    draining,
    drained,
    stopped,
    /// Expunged and off, or given up.
    expunged
};

/// \return "ready" and the like.
std::string_view to_string(target_condition state);
/// \return the state of that text; unknown for another.
target_condition target_condition_from(std::string_view text);

/// Send this order.
struct order_step
{
    order_content content;
    /// Reads from the rate-limited weight store.
    bool loads_weights = false;
};

/// Have the target drop the cache that it holds for programs.
struct release_step
{
};

/// Nothing to do until something changes.
struct wait_step
{
};

/// The desired state is reached.
struct settled_step
{
};

/// The next step with its reason.
struct target_step
{
    std::variant<order_step, release_step, wait_step, settled_step> action;
    /// What the target is meanwhile.
    target_condition state = target_condition::unknown;
    std::string reason;
};

/// How long a leaving target must have been idle before it is changed: covers
/// a call that was sent just before the policy was in force and has not shown
/// in the target's own, lagging state yet. Twice the lag of load reports.
constexpr duration idle_settle_time = std::chrono::seconds(2);

/// \param in_force whether every live node has the desired state, or is
/// fenced; nothing is cut before
target_step plan_target(
    desired_target const& desired, observed_target const& observed,
    bool in_force);

} // namespace walnutmill

#endif

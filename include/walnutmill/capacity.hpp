#ifndef WALNUTMILL_CAPACITY_HPP
#define WALNUTMILL_CAPACITY_HPP

/// \file
/// Which targets to wake, drain and stop.
///
/// Load pattern: the daily curve, with spare hardware switched off. Without
/// it either all targets run all day, or programs wait out a wake-up each
/// time the load rises, and targets flap with every swing of it.
///
/// Demand (slots busy and calls waiting) is smoothed quickly upwards and
/// slowly downwards, and carried ahead by the time that a target takes to
/// wake. Between the loads that wake and that drain lies a gap wider than one
/// target, so that neither step undoes the other. A plan is made every few
/// seconds by one node for each service; it reads every target of the service
/// once, and no call waits for it.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// What a target is doing, as observed.
enum class power_state
{
    off,
    /// Switched on, loading weights.
    waking,
    serving,
    /// Takes no new calls; those under way end.
    draining
};
std::string_view to_string(power_state state);

struct capacity_target
{
    target_name name;
    power_state state = power_state::off;
    std::uint32_t slots = 16;
    /// Calls under way.
    std::uint32_t running = 0;
    /// Programs whose cache it holds.
    std::uint32_t holds = 0;
    /// When it came into this state.
    time_point since;
    /// Operators hold it out of service; the planner leaves it alone.
    bool held_by_operator = false;
};

struct capacity_snapshot
{
    std::vector<capacity_target> targets;
    /// Calls waiting, over all nodes.
    std::uint32_t queued_calls = 0;
    /// Slots that the programs refused of late would keep busy: their rate
    /// times a program's slot-seconds; zero when not known.
    double refused_slots = 0.0;
    /// Loads from the weight store under way for other services.
    std::uint32_t other_loads = 0;
};

enum class capacity_action
{
    wake,
    drain,
    /// Back into service while draining: dearer to wake another.
    resume,
    stop
};

enum class capacity_reason
{
    /// The demand expected once it is awake exceeds what serves.
    demand_rises,
    /// Fewer than the floor serve.
    below_floor,
    /// The demand has been low for long.
    demand_fell,
    /// Drained: nothing runs and nothing is held.
    drained
};
std::string_view to_string(capacity_action action);
std::string_view to_string(capacity_reason reason);

struct capacity_step
{
    target_name target;
    capacity_action action = capacity_action::wake;
    capacity_reason reason = capacity_reason::demand_rises;
};

struct capacity_plan
{
    std::vector<capacity_step> steps;
    /// Slots busy or asked for, smoothed, and expected after a wake-up.
    double demand = 0.0;
    double expected = 0.0;
    /// Slots that the expected demand needs.
    double wanted = 0.0;
    /// More targets are wanted than the weight store can serve at a time.
    bool wakes_deferred = false;
};

struct capacity_options
{
    /// Part of the slots that may be busy before more are woken. The rest
    /// carries the swings of a minute.
    double wake_above = 0.85;
    /// Part of the slots that would be busy after a drain; below that one is
    /// drained. The gap to wake_above is the hysteresis.
    double drain_below = 0.6;
    /// How long the demand must have been low: several wake times, since a
    /// wake costs more than an idle target for as long.
    duration drain_after = std::chrono::seconds(180);
    /// From order to the first call.
    duration wake_time = std::chrono::seconds(45);
    /// Time constants of the smoothed demand.
    duration rise = std::chrono::seconds(10);
    duration fall = std::chrono::seconds(60);
    /// Loads at a time that the weight store's rate limit allows.
    std::uint32_t max_loads = 2;
    /// Drains at a time, so that a wrong one is seen before the next.
    std::uint32_t max_drains = 1;
    /// Targets that serve at any time.
    std::uint32_t floor = 2;
};

/// The planner of one service. Not thread-safe.
class capacity_planner
{
public:
    explicit capacity_planner(capacity_options options = {});

    /// Plans the next steps; each is idempotent, so a plan may be repeated.
    capacity_plan plan(capacity_snapshot const& snapshot, time_point now);

private:
    struct totals;
    static totals count(capacity_snapshot const& snapshot);
    static bool
    drains_before(capacity_target const& a, capacity_target const& b);
    void smooth(double demand, time_point now);
    bool needs_more(totals const& have, capacity_plan const& plan) const;
    void take(
        capacity_snapshot const& snapshot, capacity_action action, totals& have,
        capacity_plan& plan) const;
    void plan_fall(
        capacity_snapshot const& snapshot, totals& have, capacity_plan& plan,
        time_point now);
    static void
    plan_stops(capacity_snapshot const& snapshot, capacity_plan& plan);

    capacity_options options_;
    bool started_ = false;
    time_point planned_at_;
    double demand_ = 0.0;
    double slope_ = 0.0;
    bool low_ = false;
    time_point low_since_;
};

} // namespace walnutmill

#endif

#include "bench_patterns.hpp"

#include <cmath>

namespace walnutmill::bench
{

namespace
{

// Full is normal: patterns that are not about load itself run at this part
// of what the engines can serve.
constexpr double busy_load = 0.9;
// A base from which a burst of ten times is an overload of five.
constexpr double quiet_load = 0.5;
constexpr double burst_factor = 10.0;
constexpr double slow_factor = 5.0;
// Long programs take minutes: an overload is full after several of them.
constexpr duration long_run = std::chrono::seconds(900);

measure finished(limit bounds = {})
{
    return {
        "finished_in_time_per_s", finished_per_second, better::higher, bounds};
}

/// What callers receive, for every pattern.
std::vector<measure> common()
{
    return {
        {"latency_p50_s", latency_p50, better::lower, {}},
        {"latency_p95_s", latency_p95, better::lower, {}},
        {"latency_p99_s", latency_p99, better::lower, {}},
        {"slowdown_p50", slowdown_p50, better::lower, {}},
        {"slowdown_p95", slowdown_p95, better::lower, {}},
        {"slowdown_p99", slowdown_p99, better::lower, {}},
        {"application_slowdown_p95",
         application_slowdown_p95,
         better::lower,
         {}},
        finished(),
        {"useful_work_rate", useful_work, better::higher, {}},
        {"refused_share", refused_share, better::lower, {}},
        {"refused_wait_p50_s", refused_wait_p50, better::lower, {}},
        {"work_refused_share", work_refused, better::lower, {}},
        {"work_late_share", work_late, better::lower, {}},
        {"wasted_cache_Mtoken_s", wasted_cache, better::lower, {}},
        {"prefilled_again_Mtoken", prefilled_again, better::lower, {}},
        {"worst_workspace", worst_workspace, better::higher, {}},
        {"worst_workspace_programs",
         worst_workspace_programs,
         better::higher,
         {}},
        {"longest_wait_s", longest_wait, better::lower, {}}};
}

/// Sets the limit of a measure that common() has, or adds the measure.
void set_limit(pattern& of, measure with)
{
    for (auto& each : of.measures)
        if (each.name == with.name)
        {
            each.bounds = with.bounds;
            return;
        }
    of.measures.push_back(std::move(with));
}

pattern make(std::string name, cluster_size const& size, double load)
{
    pattern made;
    made.name = std::move(name);
    made.of.size = size;
    made.of.load = load;
    made.measures = common();
    return made;
}

std::function<double(duration)> burst_shape(double factor)
{
    return [factor](duration at)
    { return at >= disturbed_from && at < disturbed_until ? factor : 1.0; };
}

limit at_most(double target)
{
    return {limit_on::value, target, target};
}

pattern burst(cluster_size const& size)
{
    auto made = make("burst", size, quiet_load);
    made.of.shape = burst_shape(burst_factor);
    made.of.peak = burst_factor;
    set_limit(made, {"recovery_s", recovery, better::lower, at_most(60.0)});
    made.ablations = {module::admission, module::fair_queue};
    return made;
}

pattern hot_caller(cluster_size const& size)
{
    auto made = make("hot-caller", size, 1.5);
    made.of.length = long_run;
    made.of.mix.hot_workspace_share = 0.6;
    set_limit(
        made,
        {"worst_workspace", worst_workspace, better::higher, at_most(0.9)});
    made.ablations = {module::fair_queue, module::admission};
    return made;
}

pattern hot_key(cluster_size const& size)
{
    auto made = make("hot-key", size, busy_load);
    made.of.mix.hot_prefix_share = 0.8;
    made.ablations = {module::placement};
    return made;
}

pattern slow_target(cluster_size const& size)
{
    auto made = make("slow-target", size, 0.75);
    made.of.faults = {{seconds(60), fault_kind::slow_engine, 3, slow_factor}};
    made.reference = made.of;
    made.reference->faults.clear();
    made.reference->load_engines = size.engines;
    --made.reference->size.engines;
    set_limit(
        made, {"p99_to_run_without_it", latency_p99_to_reference, better::lower,
               at_most(1.3)});
    made.ablations = {module::placement, module::hedge};
    return made;
}

pattern long_among_short(cluster_size const& size)
{
    auto made = make("long-among-short", size, 1.2);
    made.of.length = long_run;
    made.of.mix.long_share = 0.04;
    made.of.mix.long_turns_mean = 40;
    // Nobody waits for a person, so that latency speaks of engines.
    made.of.mix.person_share = 0.0;
    set_limit(
        made, {"latency_p95_s",
               latency_p95,
               better::lower,
               {limit_on::per_baseline, 0.6, 0.6}});
    made.ablations = {module::fair_queue, module::admission};
    return made;
}

pattern overload(cluster_size const& size, std::string const& name, double load)
{
    auto made = make("overload-" + name, size, load);
    made.of.length = long_run;
    if (name == "1.5")
    {
        set_limit(made, finished({limit_on::per_oracle, 0.9, 0.9}));
        set_limit(
            made,
            {"work_refused_share", work_refused, better::lower, at_most(0.02)});
    }
    made.ablations = {module::admission, module::fair_queue, module::hedge};
    return made;
}

pattern tool_pauses(cluster_size const& size)
{
    auto made = make("tool-pauses", size, busy_load);
    made.of.mix.person_share = 0.4;
    set_limit(
        made, {"wasted_cache_Mtoken_s",
               wasted_cache,
               better::lower,
               {limit_on::per_baseline, 0.5, 0.5}});
    set_limit(
        made, {"latency_p95_s",
               latency_p95,
               better::lower,
               {limit_on::per_baseline, 1.0, 1.0}});
    made.ablations = {module::retention};
    return made;
}

pattern loops(cluster_size const& size)
{
    auto made = make("loops", size, busy_load);
    made.of.mix.endless_share = 0.03;
    set_limit(made, {"work_endless_share", work_endless, better::lower, {}});
    made.ablations = {module::budget_guard};
    return made;
}

pattern node_loss(cluster_size const& size)
{
    auto made = make("node-loss", size, busy_load);
    auto const third = size.nodes / 3;
    made.of.faults = {{disturbed_from, fault_kind::nodes_lost, third, 1.0}};
    set_limit(made, {"recovery_s", recovery, better::lower, {}});
    return made;
}

pattern
stale_load(cluster_size const& size, std::string const& name, double lag)
{
    auto made = make("stale-load-" + name, size, busy_load);
    made.of.report_lag = seconds(lag);
    made.ablations = {module::placement};
    return made;
}

pattern return_storm(cluster_size const& size)
{
    auto made = make("return-storm", size, busy_load);
    made.of.faults = {
        {disturbed_from, fault_kind::engines_down, 0, 1.0},
        {disturbed_until, fault_kind::engines_up, 0, 1.0}};
    set_limit(made, {"recovery_s", recovery, better::lower, {}});
    set_limit(made, {"return_peak", return_peak, better::lower, {}});
    made.ablations = {module::admission};
    return made;
}

pattern day_curve(cluster_size const& size)
{
    auto made = make("day-curve", size, 0.9);
    made.of.length = seconds(1'800);
    // From a quiet night to noon and back; waking takes longer than the
    // steepest rise of one engine's worth of load.
    made.of.shape = [](duration at)
    {
        auto const turn = to_seconds(at) / 1'800.0;
        return 0.55 - 0.45 * std::cos(2.0 * 3.14159265358979 * turn);
    };
    made.of.powers = true;
    made.of.off_at_start = size.engines - 3;
    set_limit(made, {"power_share", power_share, better::lower, {}});
    set_limit(made, {"power_orders", power_orders, better::lower, {}});
    set_limit(made, {"cut_calls", cut_calls, better::lower, at_most(0.0)});
    made.ablations = {module::capacity};
    return made;
}

pattern total_failure(cluster_size const& size)
{
    auto made = make("total-failure", size, busy_load);
    made.of.faults = {{disturbed_from, fault_kind::calls_fail, 0, 1.0}};
    made.of.length = disturbed_until + seconds(30);
    made.of.drain = seconds(0);
    set_limit(
        made, {"amplification", amplification, better::lower, at_most(1.1)});
    made.ablations = {module::retry};
    return made;
}

} // namespace

std::vector<user_size> user_sizes()
{
    engine_spec service;
    service.slots = 8;
    service.caches = false;
    service.batch_slowdown = 0.05;
    cluster_size lesesaal;
    lesesaal.service = service;
    lesesaal.latency_weight = 2.0;
    cluster_size corrib = lesesaal;
    corrib.engines = 15;
    corrib.services = 10;
    corrib.latency_weight = 1.0;
    corrib.waste_weight = 2.0;
    return {{"lesesaal", lesesaal}, {"corrib", corrib}};
}

std::vector<pattern> make_patterns(cluster_size const& size)
{
    std::vector<pattern> all{
        burst(size),
        hot_caller(size),
        hot_key(size),
        slow_target(size),
        long_among_short(size),
        overload(size, "1.2", 1.2),
        overload(size, "1.5", 1.5),
        overload(size, "2", 2.0),
        overload(size, "4", 4.0),
        tool_pauses(size),
        loops(size),
        node_loss(size),
        stale_load(size, "2s", 2.0),
        stale_load(size, "10s", 10.0),
        return_storm(size),
        day_curve(size),
        total_failure(size)};
    for (auto& each : all)
        set_regression_bounds(each);
    return all;
}

std::string_view to_string(module of)
{
    switch (of)
    {
    case module::none:
        return "none";
    case module::admission:
        return "admission";
    case module::fair_queue:
        return "fair_queue";
    case module::placement:
        return "placement";
    case module::retention:
        return "retention";
    case module::retry:
        return "retry";
    case module::hedge:
        return "hedge";
    case module::budget_guard:
        return "budget_guard";
    case module::capacity:
        return "capacity";
    }
    return "none";
}

} // namespace walnutmill::bench

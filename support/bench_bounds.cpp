// Regression bounds of the patterns, from measured figures.

#include "bench_patterns.hpp"

namespace walnutmill::bench
{

namespace
{

struct regression_bound
{
    char const* pattern;
    char const* measure;
    limit_on on;
    double bound;
};

// The worse of both users' medians over seeds 1 to 10 with a margin: 20 % for
// what is better low (0.01 more for shares of work, and at least 0.02 and a
// tenth of the baseline's waste), 10 % for what is better high, 5 % for a
// latency that is to be no worse than the baseline's. A single seed may stray
// from the median by that much.
constexpr regression_bound regression_bounds[] = {
    {"burst", "finished_in_time_per_s", limit_on::per_oracle, 0.96},
    {"burst", "slowdown_p95", limit_on::value, 2.5},
    {"burst", "work_late_share", limit_on::value, 0.02},
    {"burst", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"hot-caller", "finished_in_time_per_s", limit_on::per_oracle, 0.51},
    {"hot-caller", "slowdown_p95", limit_on::value, 3.56},
    {"hot-caller", "work_late_share", limit_on::value, 0.09},
    {"hot-caller", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"hot-key", "finished_in_time_per_s", limit_on::per_oracle, 0.89},
    {"hot-key", "slowdown_p95", limit_on::value, 2.23},
    {"hot-key", "work_late_share", limit_on::value, 0.03},
    {"hot-key", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"slow-target", "finished_in_time_per_s", limit_on::per_oracle, 0.9},
    {"slow-target", "slowdown_p95", limit_on::value, 1.61},
    {"slow-target", "work_late_share", limit_on::value, 0.02},
    {"slow-target", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"long-among-short", "finished_in_time_per_s", limit_on::per_oracle, 0.89},
    {"long-among-short", "slowdown_p95", limit_on::value, 3.77},
    {"long-among-short", "work_late_share", limit_on::value, 0.12},
    {"long-among-short", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.12},
    {"overload-1.2", "finished_in_time_per_s", limit_on::per_oracle, 0.84},
    {"overload-1.2", "slowdown_p95", limit_on::value, 3.41},
    {"overload-1.2", "work_late_share", limit_on::value, 0.27},
    {"overload-1.2", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.29},
    {"overload-1.5", "slowdown_p95", limit_on::value, 3.52},
    {"overload-1.5", "work_late_share", limit_on::value, 0.39},
    {"overload-1.5", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.35},
    {"overload-2", "finished_in_time_per_s", limit_on::per_oracle, 0.74},
    {"overload-2", "slowdown_p95", limit_on::value, 6.31},
    {"overload-2", "work_late_share", limit_on::value, 0.49},
    {"overload-2", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.34},
    {"overload-4", "finished_in_time_per_s", limit_on::per_oracle, 0.33},
    {"overload-4", "slowdown_p95", limit_on::value, 11.2},
    {"overload-4", "work_late_share", limit_on::value, 0.7},
    {"overload-4", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.34},
    {"tool-pauses", "finished_in_time_per_s", limit_on::per_oracle, 0.9},
    {"tool-pauses", "slowdown_p95", limit_on::value, 1.59},
    {"tool-pauses", "work_late_share", limit_on::value, 0.02},
    {"loops", "finished_in_time_per_s", limit_on::per_oracle, 0.9},
    {"loops", "slowdown_p95", limit_on::value, 1.63},
    {"loops", "work_late_share", limit_on::value, 0.02},
    {"loops", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"node-loss", "finished_in_time_per_s", limit_on::per_oracle, 0.9},
    {"node-loss", "slowdown_p95", limit_on::value, 1.68},
    {"node-loss", "work_late_share", limit_on::value, 0.02},
    {"node-loss", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"stale-load-2s", "finished_in_time_per_s", limit_on::per_oracle, 0.9},
    {"stale-load-2s", "slowdown_p95", limit_on::value, 1.66},
    {"stale-load-2s", "work_late_share", limit_on::value, 0.02},
    {"stale-load-2s", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"stale-load-10s", "finished_in_time_per_s", limit_on::per_oracle, 0.9},
    {"stale-load-10s", "slowdown_p95", limit_on::value, 1.7},
    {"stale-load-10s", "work_late_share", limit_on::value, 0.02},
    {"stale-load-10s", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"return-storm", "finished_in_time_per_s", limit_on::per_oracle, 0.81},
    {"return-storm", "slowdown_p95", limit_on::value, 3.41},
    {"return-storm", "work_late_share", limit_on::value, 0.02},
    {"return-storm", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"day-curve", "finished_in_time_per_s", limit_on::per_oracle, 0.89},
    {"day-curve", "slowdown_p95", limit_on::value, 1.71},
    {"day-curve", "work_late_share", limit_on::value, 0.02},
    {"day-curve", "wasted_cache_Mtoken_s", limit_on::per_baseline, 0.1},
    {"hot-caller", "worst_workspace", limit_on::value, 0.81},
    {"long-among-short", "latency_p95_s", limit_on::per_baseline, 1.03},
    {"overload-1.5", "finished_in_time_per_s", limit_on::per_oracle, 0.81},
    {"tool-pauses", "latency_p95_s", limit_on::per_baseline, 1.05},
};

} // namespace

void set_regression_bounds(pattern& of)
{
    for (auto const& bound : regression_bounds)
        for (auto& each : of.measures)
            if (of.name == bound.pattern && each.name == bound.measure)
            {
                each.bounds.on = bound.on;
                each.bounds.bound = bound.bound;
            }
}

} // namespace walnutmill::bench

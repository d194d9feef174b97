#ifndef WALNUTMILL_BENCH_SCENARIO_HPP
#define WALNUTMILL_BENCH_SCENARIO_HPP

/// \file
/// What happens in a run, apart from who decides.

#include "bench_policy.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace walnutmill::bench
{

enum class fault_kind
{
    /// `index` (not the first) becomes `value` times slower and reports the
    /// load of its neighbor.
    slow_engine,
    /// All engines refuse and what they ran is lost.
    engines_down,
    engines_up,
    /// All engines and services refuse from now on, but report as ever.
    calls_fail,
    calls_succeed,
    /// The first `index` nodes are lost at once.
    nodes_lost
};

struct fault
{
    duration at{0};
    fault_kind kind = fault_kind::slow_engine;
    std::uint32_t index = 0;
    double value = 1.0;
};

struct scenario
{
    cluster_size size;
    /// Arrivals last this long; then the run goes on for `drain`.
    duration length = seconds(480);
    duration drain = seconds(480);
    /// Programs offered, as a part of what the engines can serve.
    double load = 0.8;
    /// The same for the plain services.
    double service_load = 0.4;
    /// Factor on both over time, at most `peak`.
    std::function<double(duration)> shape;
    double peak = 1.0;
    /// Engines that the load is reckoned for; zero: those there are.
    std::uint32_t load_engines = 0;
    caller_mix mix;
    duration report_lag = seconds(0.3);
    std::vector<fault> faults;
    /// Engines are woken and stopped; those off at the start.
    bool powers = false;
    std::uint32_t off_at_start = 0;
};

/// \return the programs of a run in order of arrival; a function of the
/// scenario and the seed, the same for every policy.
std::vector<program_spec> make_programs(scenario const& of, std::uint64_t seed);

/// \return programs a second that the scenario's engines can just serve.
double program_capacity(scenario const& of);

} // namespace walnutmill::bench

#endif

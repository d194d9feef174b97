#ifndef WALNUTMILL_BENCH_MEASURES_HPP
#define WALNUTMILL_BENCH_MEASURES_HPP

/// \file
/// What the callers of a run received, as single figures. Where not said
/// otherwise they speak of agent programs that do not loop; programs that are
/// still under way at the end of a run have not finished in time.

#include "bench_scenario.hpp"
#include "bench_simulation.hpp"

namespace walnutmill::bench
{

/// What a measure is taken from.
struct measured_run
{
    scenario const& of;
    run_result const& run;
    /// The run of the pattern's reference scenario, where it has one.
    run_result const* reference = nullptr;
};

using measure_fn = double (*)(measured_run const&);

/// Programs finished in time per second of arrivals.
double finished_per_second(measured_run const& of);
/// Work of the programs finished in time, in seconds alone, per engine and
/// second of arrivals: how much of a full batch's rate was of use.
double useful_work(measured_run const& of);
/// Seconds from first arrival to end, of programs that started and ended;
/// one that its caller left, or that was refused after it had started, counts
/// with its caller's whole patience.
double latency_p50(measured_run const& of);
double latency_p95(measured_run const& of);
double latency_p99(measured_run const& of);
/// Latency over that in an idle system.
double slowdown_p50(measured_run const& of);
double slowdown_p95(measured_run const& of);
double slowdown_p99(measured_run const& of);
/// The same of small applications at the plain services.
double application_slowdown_p95(measured_run const& of);
/// p99 of latency over that of the reference run.
double latency_p99_to_reference(measured_run const& of);

/// Part of the programs that never started.
double refused_share(measured_run const& of);
/// Seconds until the programs that were refused first and started later, or
/// gave up, knew so; the median.
double refused_wait_p50(measured_run const& of);
/// Part of the engine time spent on programs refused after they started.
double work_refused(measured_run const& of);
/// Part of the engine time spent on programs whose callers left.
double work_late(measured_run const& of);
/// Part of the engine time spent on programs that loop.
double work_endless(measured_run const& of);

/// Million token-seconds of cache that lay idle for nothing.
double wasted_cache(measured_run const& of);
/// Million tokens prefilled that had been computed before.
double prefilled_again(measured_run const& of);

/// Work finished for the worst workspace against its max-min fair share of
/// all the work finished.
double worst_workspace(measured_run const& of);
/// The same by the number of programs finished.
double worst_workspace_programs(measured_run const& of);
/// Longest time that a call of a started program waited for a first token.
double longest_wait(measured_run const& of);
/// Sends per call, from the first fault on.
double amplification(measured_run const& of);
/// Seconds from the end of the disturbance until arrivals finish as quickly
/// as before it. The disturbance is stated by disturbed_from and _until.
double recovery(measured_run const& of);
/// Most askings in one second after the disturbance, over the mean before.
double return_peak(measured_run const& of);

/// Engine time switched on, as a part of all engines' all the time.
double power_share(measured_run const& of);
/// Power orders per engine.
double power_orders(measured_run const& of);
double cut_calls(measured_run const& of);

/// The disturbance that recovery() and return_peak() look at.
constexpr duration disturbed_from = std::chrono::seconds(120);
constexpr duration disturbed_until = std::chrono::seconds(150);

/// \return the p-quantile of the values by rank; zero of none.
double quantile(std::vector<double> values, double p);

} // namespace walnutmill::bench

#endif

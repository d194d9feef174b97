#include "bench_measures.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace walnutmill::bench
{

namespace
{

constexpr double million = 1e6;
// Windows of arrivals that recovery() compares, and what counts as normal.
constexpr duration recovery_window = std::chrono::seconds(10);
constexpr double normal_factor = 1.5;

using each_fn =
    std::function<void(program_spec const&, program_outcome const&)>;

void for_each_program(run_result const& run, pool on, each_fn const& visit)
{
    for (std::size_t i = 0; i < run.outcomes.size(); ++i)
    {
        auto const& spec = (*run.programs)[i];
        if (spec.on == on && !spec.endless)
            visit(spec, run.outcomes[i]);
    }
}

bool has_latency(program_outcome const& outcome)
{
    return outcome.how == program_end::finished ||
           outcome.how == program_end::late ||
           outcome.how == program_end::dropped;
}

double latency_of(program_spec const& spec, program_outcome const& outcome)
{
    // An early failure is no quick answer.
    bool const finished = outcome.how == program_end::finished;
    return finished ? outcome.latency : to_seconds(spec.patience);
}

double slowdown_of(program_spec const& spec, program_outcome const& outcome)
{
    return latency_of(spec, outcome) / to_seconds(spec.idle_latency);
}

std::vector<double> latencies(run_result const& run)
{
    std::vector<double> found;
    for_each_program(
        run, pool::engines,
        [&](program_spec const& spec, program_outcome const& outcome)
        {
            if (has_latency(outcome))
                found.push_back(latency_of(spec, outcome));
        });
    return found;
}

std::vector<double> slowdowns(run_result const& run, pool on)
{
    std::vector<double> found;
    for_each_program(
        run, on,
        [&](program_spec const& spec, program_outcome const& outcome)
        {
            if (has_latency(outcome))
                found.push_back(slowdown_of(spec, outcome));
        });
    return found;
}

double work_share(
    run_result const& run,
    std::function<bool(program_spec const&, program_outcome const&)> const&
        counts)
{
    double all = 0.0;
    double part = 0.0;
    for (std::size_t i = 0; i < run.outcomes.size(); ++i)
    {
        auto const& spec = (*run.programs)[i];
        auto const& outcome = run.outcomes[i];
        if (spec.on != pool::engines)
            continue;
        all += outcome.work;
        part += counts(spec, outcome) ? outcome.work : 0.0;
    }
    return all > 0.0 ? part / all : 0.0;
}

/// Gives each what it demands, or an even part of what is left.
std::vector<double>
max_min_shares(std::vector<double> const& demands, double all)
{
    std::vector<double> sorted = demands;
    std::sort(sorted.begin(), sorted.end());
    double level = 0.0;
    auto left = all;
    for (std::size_t i = 0; i < sorted.size(); ++i)
    {
        auto const even = left / static_cast<double>(sorted.size() - i);
        level = std::min(sorted[i], even);
        left -= level;
    }
    std::vector<double> shares;
    shares.reserve(demands.size());
    for (auto const demand : demands)
        shares.push_back(std::min(demand, level));
    return shares;
}

/// What the worst workspace received against its max-min fair share.
/// \param worth what a finished program counts
double worst_share(
    measured_run const& of,
    std::function<double(program_spec const&)> const& worth)
{
    std::vector<double> demands(of.of.mix.workspaces, 0.0);
    std::vector<double> received(of.of.mix.workspaces, 0.0);
    double all = 0.0;
    for_each_program(
        of.run, pool::engines,
        [&](program_spec const& spec, program_outcome const& outcome)
        {
            demands[spec.workspace] += worth(spec);
            if (outcome.how != program_end::finished)
                return;
            received[spec.workspace] += worth(spec);
            all += worth(spec);
        });
    auto const shares = max_min_shares(demands, all);
    double worst = 1.0;
    for (std::size_t i = 0; i < shares.size(); ++i)
        if (shares[i] > 0.0)
            worst = std::min(worst, received[i] / shares[i]);
    return worst;
}

/// Median slowdown of the programs that arrived in [from, to) and started;
/// infinite when most did not.
double window_slowdown(run_result const& run, time_point from, time_point to)
{
    std::vector<double> found;
    for_each_program(
        run, pool::engines,
        [&](program_spec const& spec, program_outcome const& outcome)
        {
            if (spec.arrival < from || spec.arrival >= to)
                return;
            bool const finished = outcome.how == program_end::finished;
            found.push_back(finished ? slowdown_of(spec, outcome) : INFINITY);
        });
    return quantile(std::move(found), 0.5);
}

} // namespace

double quantile(std::vector<double> values, double p)
{
    if (values.empty())
        return 0.0;
    auto const last = static_cast<double>(values.size() - 1);
    auto const at = values.begin() + static_cast<std::ptrdiff_t>(p * last);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

double finished_per_second(measured_run const& of)
{
    double count = 0.0;
    for_each_program(
        of.run, pool::engines,
        [&](program_spec const&, program_outcome const& outcome)
        { count += outcome.how == program_end::finished ? 1.0 : 0.0; });
    return count / to_seconds(of.of.length);
}

double useful_work(measured_run const& of)
{
    double work = 0.0;
    for_each_program(
        of.run, pool::engines,
        [&](program_spec const& spec, program_outcome const& outcome)
        { work += outcome.how == program_end::finished ? spec.work : 0.0; });
    return work / (to_seconds(of.of.length) * of.of.size.engines);
}

double latency_p50(measured_run const& of)
{
    return quantile(latencies(of.run), 0.5);
}

double latency_p95(measured_run const& of)
{
    return quantile(latencies(of.run), 0.95);
}

double latency_p99(measured_run const& of)
{
    return quantile(latencies(of.run), 0.99);
}

double slowdown_p50(measured_run const& of)
{
    return quantile(slowdowns(of.run, pool::engines), 0.5);
}

double slowdown_p95(measured_run const& of)
{
    return quantile(slowdowns(of.run, pool::engines), 0.95);
}

double slowdown_p99(measured_run const& of)
{
    return quantile(slowdowns(of.run, pool::engines), 0.99);
}

double application_slowdown_p95(measured_run const& of)
{
    return quantile(slowdowns(of.run, pool::services), 0.95);
}

double latency_p99_to_reference(measured_run const& of)
{
    auto const alone = quantile(latencies(*of.reference), 0.99);
    return latency_p99(of) / alone;
}

double refused_share(measured_run const& of)
{
    double all = 0.0;
    double refused = 0.0;
    for_each_program(
        of.run, pool::engines,
        [&](program_spec const&, program_outcome const& outcome)
        {
            all += 1.0;
            refused += outcome.how == program_end::refused ? 1.0 : 0.0;
        });
    return all > 0.0 ? refused / all : 0.0;
}

double refused_wait_p50(measured_run const& of)
{
    std::vector<double> waits;
    for_each_program(
        of.run, pool::engines,
        [&](program_spec const&, program_outcome const& outcome)
        {
            if (outcome.times_refused > 0)
                waits.push_back(outcome.waited_to_start);
        });
    return quantile(std::move(waits), 0.5);
}

double work_refused(measured_run const& of)
{
    return work_share(
        of.run, [](program_spec const&, program_outcome const& outcome)
        { return outcome.how == program_end::dropped; });
}

double work_late(measured_run const& of)
{
    return work_share(
        of.run, [](program_spec const& spec, program_outcome const& outcome)
        { return !spec.endless && outcome.how == program_end::late; });
}

double work_endless(measured_run const& of)
{
    return work_share(
        of.run, [](program_spec const& spec, program_outcome const&)
        { return spec.endless; });
}

double wasted_cache(measured_run const& of)
{
    return of.run.idle_cache.wasted / million;
}

double prefilled_again(measured_run const& of)
{
    return static_cast<double>(of.run.prefilled_again) / million;
}

double worst_workspace(measured_run const& of)
{
    return worst_share(of, [](program_spec const& spec) { return spec.work; });
}

double worst_workspace_programs(measured_run const& of)
{
    return worst_share(of, [](program_spec const&) { return 1.0; });
}

double longest_wait(measured_run const& of)
{
    double longest = 0.0;
    for_each_program(
        of.run, pool::engines,
        [&](program_spec const&, program_outcome const& outcome)
        { longest = std::max(longest, outcome.longest_wait); });
    return longest;
}

double amplification(measured_run const& of)
{
    if (of.run.fault_first_sends == 0)
        return 1.0;
    return static_cast<double>(of.run.fault_sends) /
           static_cast<double>(of.run.fault_first_sends);
}

double recovery(measured_run const& of)
{
    auto const start = event_queue().now();
    auto const before = window_slowdown(
        of.run, start + disturbed_from - 6 * recovery_window,
        start + disturbed_from);
    auto const end = start + of.of.length;
    auto recovered = start + disturbed_until;
    for (auto at = recovered; at < end; at += recovery_window)
        if (window_slowdown(of.run, at, at + recovery_window) >
            normal_factor * before)
            recovered = at + recovery_window;
    return to_seconds(recovered - start - disturbed_until);
}

double return_peak(measured_run const& of)
{
    auto const& asked = of.run.asked_per_second;
    auto const from = asked.begin() + disturbed_from / seconds(1);
    auto const until = asked.begin() + disturbed_until / seconds(1);
    double before = 0.0;
    for (auto it = asked.begin(); it != from; ++it)
        before += *it;
    before /= static_cast<double>(from - asked.begin());
    auto const most = *std::max_element(until, asked.end());
    return most / std::max(1.0, before);
}

double power_share(measured_run const& of)
{
    return of.run.power.engine_seconds /
           (of.of.size.engines * to_seconds(of.of.length));
}

double power_orders(measured_run const& of)
{
    return static_cast<double>(of.run.power.orders) / of.of.size.engines;
}

double cut_calls(measured_run const& of)
{
    return of.run.power.cut_calls;
}

} // namespace walnutmill::bench

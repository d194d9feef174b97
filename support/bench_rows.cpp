#include "bench_rows.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

namespace walnutmill::bench
{

namespace
{

// Values below this are nothing: ratios to them mean nothing.
constexpr double least_value = 1e-9;

enum contestant : std::size_t
{
    naive,
    per_call,
    oracle,
    walnutmill_all,
    first_ablation
};

/// Values of one run by measure.
using figures = std::vector<double>;

/// One pattern at one size, and the figures of all its runs.
struct task
{
    std::string user;
    pattern of;
    std::vector<policy_factory> contestants;
    /// By seed, then by contestant.
    std::vector<std::vector<figures>> found;
};

std::vector<policy_factory> contestants_of(pattern const& of, bool ablations)
{
    std::vector<policy_factory> all{
        make_naive, make_per_call, make_oracle, make_walnutmill};
    if (ablations)
        for (auto const off : of.ablations)
            all.push_back(walnutmill_without(off));
    return all;
}

figures
run_once(pattern const& of, policy_factory const& make, std::uint64_t seed)
{
    auto const programs = make_programs(of.of, seed);
    auto const run = simulation(of.of, programs, make, seed).run();
    measured_run measured{of.of, run, nullptr};
    run_result reference;
    if (of.reference)
    {
        auto const& other = *of.reference;
        reference = simulation(other, programs, make, seed).run();
        measured.reference = &reference;
    }
    figures values;
    for (auto const& each : of.measures)
        values.push_back(each.take(measured));
    return values;
}

std::vector<task> make_tasks(bench_options const& options)
{
    std::vector<task> tasks;
    for (auto const& user : user_sizes())
    {
        if (!options.user.empty() && options.user != user.name)
            continue;
        for (auto& each : make_patterns(user.size))
        {
            if (!options.pattern.empty() && options.pattern != each.name)
                continue;
            task made;
            made.user = user.name;
            made.contestants = contestants_of(each, options.ablations);
            made.of = std::move(each);
            made.found.resize(options.seeds);
            for (auto& by_contestant : made.found)
                by_contestant.resize(made.contestants.size());
            tasks.push_back(std::move(made));
        }
    }
    return tasks;
}

/// Where one run's figures go.
struct job
{
    task* of = nullptr;
    std::uint32_t seed_index = 0;
    std::size_t contestant = 0;
};

void run_tasks(std::vector<task>& tasks, bench_options const& options)
{
    std::vector<job> jobs;
    for (auto& each : tasks)
        for (std::uint32_t s = 0; s < options.seeds; ++s)
            for (std::size_t c = 0; c < each.contestants.size(); ++c)
                jobs.push_back({&each, s, c});
    std::atomic<std::size_t> next{0};
    auto const work = [&]
    {
        for (auto i = next++; i < jobs.size(); i = next++)
        {
            auto const& [of, seed_index, contestant] = jobs[i];
            of->found[seed_index][contestant] = run_once(
                of->of, of->contestants[contestant],
                options.first_seed + seed_index);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < options.threads; ++i)
        threads.emplace_back(work);
    for (auto& each : threads)
        each.join();
}

double median(task const& of, std::size_t contestant, std::size_t measure_index)
{
    std::vector<double> values;
    for (auto const& by_contestant : of.found)
        values.push_back(by_contestant[contestant][measure_index]);
    return quantile(std::move(values), 0.5);
}

double over(double value, double other)
{
    return other > least_value ? value / other
                               : (value > least_value ? 999.0 : 1.0);
}

bool keeps(better way, double judged, double bound)
{
    return way == better::lower ? judged <= bound : judged >= bound;
}

void judge(row& of, better way)
{
    of.judged = of.value;
    if (of.bounds.on == limit_on::per_baseline)
        of.judged = over(of.value, of.baseline);
    if (of.bounds.on == limit_on::per_oracle)
        of.judged = over(of.value, of.oracle);
    if (of.bounds.bound)
        of.ok = keeps(way, of.judged, *of.bounds.bound);
    if (of.bounds.target)
        of.target_missed = !keeps(way, of.judged, *of.bounds.target);
}

row make_row(task const& of, std::size_t index)
{
    auto const& taken = of.of.measures[index];
    row made;
    made.user = of.user;
    made.pattern = of.of.name;
    made.measure = taken.name;
    made.naive = median(of, naive, index);
    made.baseline = median(of, per_call, index);
    made.oracle = median(of, oracle, index);
    made.value = median(of, walnutmill_all, index);
    made.ratio = over(made.value, made.baseline);
    auto const span = made.oracle - made.baseline;
    if (std::abs(span) > least_value)
        made.towards_oracle = (made.value - made.baseline) / span;
    made.bounds = taken.bounds;
    judge(made, taken.way);
    return made;
}

/// Ablations are shown by what callers feel most and by the pattern's limits.
bool shown_in_ablations(measure const& of)
{
    static std::array<char const*, 6> const names{
        "finished_in_time_per_s", "slowdown_p50",           "slowdown_p95",
        "work_late_share",        "prefilled_again_Mtoken", "longest_wait_s"};
    bool const named = std::any_of(
        names.begin(), names.end(),
        [&](char const* name) { return of.name == name; });
    return named || of.bounds.target.has_value() || of.bounds.bound.has_value();
}

void add_ablations(task const& of, bench_report& report)
{
    for (std::size_t i = first_ablation; i < of.contestants.size(); ++i)
        for (std::size_t m = 0; m < of.of.measures.size(); ++m)
        {
            if (!shown_in_ablations(of.of.measures[m]))
                continue;
            ablation_row made;
            made.user = of.user;
            made.pattern = of.of.name;
            made.measure = of.of.measures[m].name;
            made.off = of.of.ablations[i - first_ablation];
            made.with = median(of, walnutmill_all, m);
            made.without = median(of, i, m);
            report.ablations.push_back(std::move(made));
        }
}

} // namespace

bench_report run_bench(bench_options const& options)
{
    auto tasks = make_tasks(options);
    run_tasks(tasks, options);
    bench_report report;
    for (auto const& each : tasks)
    {
        for (std::size_t i = 0; i < each.of.measures.size(); ++i)
        {
            report.rows.push_back(make_row(each, i));
            report.ok = report.ok && report.rows.back().ok;
        }
        add_ablations(each, report);
    }
    return report;
}

} // namespace walnutmill::bench

// Benchmarks of the decisions: support/bench.

#include "bench_rows.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace
{

namespace po = boost::program_options;
using walnutmill::bench::bench_options;

constexpr int bound_broken = 1;
constexpr int bad_usage = 2;

po::options_description describe(bench_options& options)
{
    po::options_description all("support/bench [OPTIONS]");
    all.add_options()("help", "print this and end")(
        "seed", po::value(&options.first_seed)->default_value(1), "first seed")(
        "seeds", po::value(&options.seeds)->default_value(1),
        "seeds from there on; figures are medians")(
        "pattern", po::value(&options.pattern), "only this pattern")(
        "user", po::value(&options.user), "only this user's size")(
        "threads", po::value(&options.threads)->default_value(4),
        "runs at a time")("json", "print JSON instead of a table")(
        "no-ablations", "leave out the runs without one module")(
        "short", "one user's size and no ablations");
    return all;
}

int run(int count, char const* const* arguments)
{
    bench_options options;
    auto const described = describe(options);
    po::variables_map given;
    po::store(po::parse_command_line(count, arguments, described), given);
    po::notify(given);
    if (given.count("help") > 0)
    {
        std::cout << described;
        return 0;
    }
    if (given.count("no-ablations") > 0)
        options.ablations = false;
    if (given.count("short") > 0)
    {
        options.user = walnutmill::bench::user_sizes().front().name;
        options.ablations = false;
    }
    auto const report = run_bench(options);
    if (report.rows.empty())
    {
        std::cerr << "no such pattern or user\n";
        return bad_usage;
    }
    if (given.count("json") > 0)
        print_json(report);
    else
        print_table(report);
    return report.ok ? 0 : bound_broken;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        return run(count, arguments);
    }
    catch (po::error const& problem)
    {
        std::cerr << problem.what() << '\n';
        return bad_usage;
    }
}

// A soak under faults drawn at random: support/soak.

#include "soak_world.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace
{

namespace po = boost::program_options;
using walnutmill::soak::soak_options;
using walnutmill::soak::soak_world;

constexpr int promise_broken = 1;
constexpr int bad_usage = 2;

po::options_description describe(soak_options& options)
{
    po::options_description all("support/soak [OPTIONS]");
    all.add_options()("help", "print this and end")(
        "seed", po::value(&options.seed)->default_value(options.seed),
        "of faults and callers; threads still race")(
        "seconds", po::value(&options.seconds)->default_value(options.seconds),
        "time under faults")(
        "nodes", po::value(&options.nodes)->default_value(options.nodes),
        "entry nodes")(
        "callers", po::value(&options.callers)->default_value(options.callers),
        "programs at a time")(
        "idle-routes",
        po::value(&options.idle_routes)->default_value(options.idle_routes),
        "routes that nobody calls")(
        "kept-callers",
        po::value(&options.kept_callers)->default_value(options.kept_callers),
        "callers that keep their connections until the last node is gone")(
        "basic-faults", po::bool_switch(&options.basic_faults),
        "no pauses, no signals in series, no changes of limits, engines of "
        "one speed, no workspaces")(
        "losses", po::bool_switch(&options.losses),
        "all nodes are killed at once, alone and in series, and programs with "
        "small budgets continue their turns afterwards")(
        "program", po::value(&options.program)->required(),
        "the walnutmill program")(
        "directory", po::value(&options.directory)->required(),
        "where the nodes' logs go");
    return all;
}

int run(int count, char const* const* arguments)
{
    soak_options options;
    auto const described = describe(options);
    po::variables_map given;
    po::store(po::parse_command_line(count, arguments, described), given);
    if (given.count("help") > 0)
    {
        std::cout << described;
        return 0;
    }
    po::notify(given);
    soak_world world(options);
    world.run();
    for (auto const& [what, times] : world.counts())
        std::cout << times << "  " << what << '\n';
    auto broken = walnutmill::testing::broken_promises(world.history());
    for (std::size_t i = 0; i < world.served_after().size(); ++i)
    {
        auto const served = world.served_after()[i];
        std::cout << "node-" << i << " served " << served
                  << " calls after the faults\n";
        if (served == 0)
            broken.push_back("node-" + std::to_string(i) + " serves nobody");
        if (!world.has_last_route()[i])
        {
            broken.push_back(
                "node-" + std::to_string(i) +
                " does not serve the route that was added last");
        }
        if (!world.serves_pool()[i])
        {
            broken.push_back(
                "node-" + std::to_string(i) +
                " refuses harmless calls beside those that end targets");
        }
        if (!world.outlived()[i])
        {
            broken.push_back(
                "a stream that node-" + std::to_string(i) +
                " began is not resumed by another node");
        }
    }
    for (auto const& one : world.broken_crash_limits())
        broken.push_back(one);
    for (auto const& one : broken)
        std::cout << "BROKEN " << one << '\n';
    std::cout << "seed " << options.seed << ": "
              << world.history().attempts.size() << " attempts, "
              << world.history().runs.size() << " runs, " << broken.size()
              << " promises broken\n";
    return broken.empty() ? 0 : promise_broken;
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
    catch (std::exception const& problem)
    {
        std::cerr << problem.what() << '\n';
        return promise_broken;
    }
}

/// \file
/// Time until a change is in force on nodes that nothing disturbs, while
/// faults hit the node that reads the store for them.

#include "view_cluster.hpp"

#include <catch2/catch.hpp>

#include <functional>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct configuration_staleness_fixture
{
    using disturbance_fn = std::function<void(view_cluster&)>;

    /// Plays seeds in which the disturbance comes a number of times, seconds
    /// apart, and checks that no table of an undisturbed node exceeds the
    /// bound.
    static void check_bound(
        std::uint32_t seeds, int times, disturbance_fn const& disturb,
        milliseconds bound = milliseconds(3'000))
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            view_cluster_options options;
            options.seed = seed;
            options.interval = bound / 3;
            view_cluster cluster(options);
            cluster.run_for(seconds(8));
            for (int i = 0; i < times; ++i)
            {
                cluster.run_for(
                    cluster.random_between(milliseconds(0), seconds(5)));
                disturb(cluster);
            }
            cluster.run_for(seconds(6));
            INFO("seed " << seed);
            CHECK(cluster.worst_configuration() <= bound);
            CHECK(cluster.worst_engines() <= bound);
        }
    }
};

} // namespace

TEST_CASE_METHOD(
    configuration_staleness_fixture,
    "configuration staleness: a follower that becomes the reader stays within "
    "the bound")
{
    auto const stop_reader = [](view_cluster& cluster)
    { cluster.stop_and_restart(cluster.reader()); };
    check_bound(300, 1, stop_reader);
    check_bound(150, 1, stop_reader, milliseconds(2'000));
}

TEST_CASE_METHOD(
    configuration_staleness_fixture,
    "configuration staleness: followers of a slow reader stay within the "
    "bound")
{
    check_bound(
        30, 8,
        [](view_cluster& cluster)
        {
            cluster.slow_down(
                cluster.reader(),
                cluster.random_between(milliseconds(50), milliseconds(850)),
                cluster.random_between(seconds(1), seconds(6)));
        });
}

TEST_CASE_METHOD(
    configuration_staleness_fixture,
    "configuration staleness: followers of a suspended reader stay within the "
    "bound")
{
    check_bound(
        30, 8,
        [](view_cluster& cluster)
        {
            cluster.suspend(
                cluster.reader(),
                cluster.random_between(milliseconds(300), seconds(6)));
        });
}

TEST_CASE_METHOD(
    configuration_staleness_fixture,
    "configuration staleness: random disturbances leave the other nodes "
    "within the bound")
{
    check_bound(
        30, 8,
        [](view_cluster& cluster)
        {
            cluster.disturb(cluster.reader());
            cluster.disturb(cluster.random_node());
        });
}

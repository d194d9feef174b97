#include "stream_cluster.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Registrations short enough to end while the simulation runs. Its streams
/// last for less than the time that they may be resumed.
stream_cluster_options options_of(std::uint64_t seed)
{
    stream_cluster_options options;
    options.seed = seed;
    options.versions.registration = seconds(20);
    options.versions.stream_lifetime = seconds(12);
    options.versions.late_transaction = seconds(10);
    return options;
}

/// \return the share of streams that go on, of the share of new streams that
/// begin, among those that callers can expect to go on
double relative_share(stream_cluster::outcome const& of)
{
    auto const share = [](std::size_t part, std::size_t rest)
    {
        auto const all = static_cast<double>(part + rest);
        return all == 0 ? 1.0 : static_cast<double>(part) / all;
    };
    return share(of.owed_resumed, of.owed - of.owed_resumed) /
           share(of.begun, of.not_begun);
}

constexpr double least_share = 0.5;

} // namespace

TEST_CASE("stream cluster: drawn faults while versions come, go and return")
{
    constexpr std::uint64_t seeds = 24;
    constexpr int faults = 50;
    std::size_t resumed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        INFO("seed " << seed);
        stream_cluster cluster(options_of(seed));
        cluster.run_for(seconds(5));
        for (int i = 0; i < faults; ++i)
        {
            cluster.disturb();
            cluster.run_for(milliseconds(200 + 37 * (i * seed % 70)));
        }
        auto const& result = cluster.result();
        CHECK(result.mixed == 0);
        CHECK(relative_share(result) >= least_share);
        resumed += result.resumed;
    }
    CHECK(resumed > 0);
}

TEST_CASE("stream cluster: a third of the nodes dies while versions overlap")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        INFO("seed " << seed);
        stream_cluster cluster(options_of(seed));
        cluster.run_for(seconds(5));
        cluster.release("1.1", 0.5, milliseconds(400));
        cluster.run_for(seconds(6));
        for (std::size_t i = 0; i < cluster.node_count(); i += 3)
            cluster.kill(i, seconds(1));
        cluster.run_for(seconds(5));
        auto const& result = cluster.result();
        CHECK(result.mixed == 0);
        CHECK(result.owed > 12);
        CHECK(relative_share(result) >= least_share);
    }
}

TEST_CASE("stream cluster: all nodes die while versions overlap")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        INFO("seed " << seed);
        stream_cluster cluster(options_of(seed));
        cluster.run_for(seconds(5));
        cluster.release("1.1", 0.5, milliseconds(100));
        cluster.run_for(seconds(4));
        for (std::size_t i = 0; i < cluster.node_count(); ++i)
            cluster.kill(i, milliseconds(50));
        cluster.run_for(seconds(10));
        CHECK(cluster.result().mixed == 0);
        CHECK(cluster.result().refused > 0);
    }
}

TEST_CASE("stream cluster: a release begins just before nodes die")
{
    for (int delay_ms = 0; delay_ms <= 2'000; delay_ms += 100)
    {
        INFO(delay_ms << " ms");
        stream_cluster cluster(options_of(1));
        cluster.run_for(seconds(5));
        cluster.release("1.1", 1, milliseconds(20));
        cluster.run_for(milliseconds(delay_ms));
        for (std::size_t i = 0; i < cluster.node_count(); i += 2)
            cluster.kill(i, milliseconds(500));
        cluster.run_for(seconds(5));
        CHECK(cluster.result().mixed == 0);
        CHECK(relative_share(cluster.result()) >= least_share);
    }
}

TEST_CASE("stream cluster: with one version nodes exchange nothing and streams "
          "resume without being known")
{
    auto options = options_of(1);
    options.unnamed = 1;
    stream_cluster cluster(options);
    cluster.run_for(seconds(5));
    for (std::size_t i = 0; i < cluster.node_count(); ++i)
        cluster.kill(i, milliseconds(50));
    cluster.run_for(seconds(60));
    CHECK(cluster.datagrams() == 0);
    CHECK(cluster.result().resumed > 0);
    CHECK(cluster.result().mixed == 0);
}

TEST_CASE("stream cluster: copies end after the former version is gone")
{
    auto options = options_of(1);
    options.unnamed = 1;
    stream_cluster cluster(options);
    cluster.run_for(seconds(5));
    cluster.keep_only("1.1");
    cluster.run_for(seconds(5));
    CHECK(cluster.datagrams() > 0);
    cluster.run_for(
        options.versions.registration + options.versions.stream_lifetime +
        options.versions.late_transaction);
    auto const before = cluster.datagrams();
    cluster.run_for(seconds(20));
    CHECK(cluster.datagrams() == before);
}

TEST_CASE("stream cluster: a version returns after its registration has ended")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        INFO("seed " << seed);
        auto const options = options_of(seed);
        stream_cluster cluster(options);
        cluster.run_for(seconds(5));
        cluster.keep_only("1.1");
        cluster.run_for(
            options.versions.registration + options.versions.stream_lifetime +
            options.versions.late_transaction + seconds(10));
        cluster.release("1.0", 0.5, milliseconds(100));
        for (int i = 0; i < 20; ++i)
        {
            cluster.run_for(milliseconds(200));
            cluster.kill(cluster.random_node(), milliseconds(100));
        }
        cluster.run_for(seconds(5));
        CHECK(cluster.result().mixed == 0);
        CHECK(cluster.result().resumed > 0);
    }
}

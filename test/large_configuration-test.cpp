/// \file
/// Time until a change of a large configuration is in force on nodes behind
/// slow links and with small shares of a processor. Nothing is disturbed.

#include "entry/call_limits.hpp"

#include "slow_link_cluster.hpp"

#include <walnutmill/random.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct large_configuration_fixture
{
    /// Time within which a change must be in force.
    static constexpr milliseconds bound{3'000};
    static constexpr seconds startup_time{10};
    static constexpr int changes = 3;
    /// The store acknowledges a change of this size after 3.3 s.
    static constexpr milliseconds change_interval{3'300};

    /// Plays changes, each sent when the one before is acknowledged, and checks
    /// that all nodes apply each within the bound.
    static void check_bound(slow_link_cluster& cluster)
    {
        cluster.run_for(startup_time);
        cluster.start_measuring();
        for (int i = 0; i < changes; ++i)
        {
            cluster.change_configuration();
            cluster.run_for(change_interval);
        }
        CHECK(ms_count(cluster.worst_configuration()) <= bound.count());
        CHECK(ms_count(cluster.worst_engines()) <= bound.count());
        CHECK(cluster.store_losses() == 0);
    }
};

/// A view whose store holds one configuration of a given size.
struct configuration_size_fixture
{
    std::string lines;
    std::size_t reported_bytes = 0;

    void read_configuration(std::size_t bytes)
    {
        std::string const head = R"({"version":1,"routes":[],"services":[)"
                                 R"({"name":")";
        std::string const tail = R"("}]})";
        auto const document =
            head + std::string(bytes - head.size() - tail.size(), 'x') + tail;
        auto const clock = [] { return time_point(seconds(1)); };
        line_log log(
            "n", clock,
            [this](std::string_view written)
            {
                lines += written;
                return written.size();
            },
            log_limits());
        std::function<void(range_result)> answer;
        versioned_store store;
        store.read = [&](row_range const& range, milliseconds,
                         std::function<void(range_result)> done)
        {
            if (range.table == "op")
                answer = std::move(done);
        };
        platform_view::hooks hooks;
        hooks.on_configuration = [](auto const&) {};
        hooks.schedule_after = [](duration, auto const&) {};
        platform_view view(
            store, clock, seeded_random(1), log, entry_member(), seconds(1),
            std::move(hooks));
        view.start();
        answer({store_outcome::done, {{{"op", "", "config"}, document, 1}}, 1});
        log.flush();
        reported_bytes = view.configuration_bytes();
    }
    bool is_reported_as_large() const
    {
        return lines.find("configuration.large") != std::string::npos;
    }
};

} // namespace

TEST_CASE_METHOD(
    large_configuration_fixture,
    "large configuration: nodes behind slow links apply a change within the "
    "bound")
{
    slow_link_cluster cluster({});
    check_bound(cluster);
}

TEST_CASE_METHOD(
    large_configuration_fixture,
    "large configuration: a reader behind a slow link passes a change on "
    "within the bound")
{
    slow_link_cluster_options options;
    options.strong_nodes = 0;
    options.weak_nodes = 23;
    options.routes = 5'600;
    slow_link_cluster cluster(options);
    check_bound(cluster);
}

TEST_CASE_METHOD(
    large_configuration_fixture,
    "large configuration: a change is in force within the bound though the "
    "store has forgotten its history")
{
    slow_link_cluster_options options;
    options.weak_nodes = 6;
    slow_link_cluster cluster(options);
    cluster.run_for(startup_time);
    cluster.start_measuring();
    for (int i = 0; i < changes; ++i)
    {
        cluster.change_configuration();
        cluster.forget_history();
        cluster.run_for(change_interval);
    }
    CHECK(ms_count(cluster.worst_configuration()) <= bound.count());
}

TEST_CASE_METHOD(
    large_configuration_fixture,
    "large configuration: nodes read less than 3 KB a second each while it "
    "does not change")
{
    constexpr std::size_t bytes_per_s = 3'000;
    constexpr seconds span{10};
    slow_link_cluster_options options;
    slow_link_cluster cluster(options);
    cluster.run_for(startup_time);
    cluster.start_measuring();
    cluster.run_for(span);
    auto const nodes = options.strong_nodes + options.weak_nodes;
    CHECK(cluster.store_bytes() < nodes * span.count() * bytes_per_s);
}

TEST_CASE_METHOD(
    large_configuration_fixture,
    "large configuration: a node that the store turns away reads it through "
    "others within the bound")
{
    slow_link_cluster_options options;
    options.weak_nodes = 6;
    slow_link_cluster cluster(options);
    cluster.run_for(startup_time);
    for (std::size_t i = 0; i < options.strong_nodes; ++i)
        cluster.turn_away(i);
    cluster.run_for(seconds(3));
    cluster.start_measuring();
    for (int i = 0; i < changes; ++i)
    {
        cluster.change_configuration();
        cluster.run_for(change_interval);
    }
    CHECK(ms_count(cluster.worst_configuration()) <= bound.count());
    CHECK(ms_count(cluster.worst_engines()) <= bound.count());
}

TEST_CASE_METHOD(
    configuration_size_fixture,
    "large configuration: a document near the supported size is reported")
{
    constexpr std::size_t near =
        platform_view::supported_configuration_bytes * 8 / 10;
    read_configuration(near);
    CHECK(reported_bytes == near);
    CHECK(is_reported_as_large());
}

TEST_CASE_METHOD(
    configuration_size_fixture,
    "large configuration: a document of half the supported size is not "
    "reported")
{
    read_configuration(platform_view::supported_configuration_bytes / 2);
    CHECK_FALSE(is_reported_as_large());
}

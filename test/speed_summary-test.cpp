#include "entry/load_summary.hpp"
#include "entry/speed_summary.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

speed_report of_figures(std::vector<machine_figure> figures)
{
    speed_report report;
    report.figures = std::move(figures);
    return report;
}

speed_report of_speeds(std::vector<speed_sample> speeds)
{
    // Speeds are sent only where engines report machine figures.
    speed_report report;
    report.figures = {{999, 100, 0}};
    report.speeds = std::move(speeds);
    return report;
}

struct speed_summary_fixture
{
    manual_clock clock;
    speed_summary summary;
    int nodes = 0;

    /// \return what a node receives that has received nothing yet
    speed_report sum()
    {
        return summary.next_for("new-" + std::to_string(++nodes), clock.now());
    }

    machine_figure figure_of(std::uint32_t engine)
    {
        auto const report = sum();
        REQUIRE(report.figures);
        for (auto const& one : *report.figures)
        {
            if (one.engine == engine)
                return one;
        }
        return {engine, 100, 0};
    }

    speed_sample speed_of(std::uint32_t engine)
    {
        for (auto const& one : sum().speeds)
        {
            if (one.engine == engine)
                return one;
        }
        return {engine, 0, 0};
    }
};

struct speed_reports_fixture
{
    manual_clock clock;
    speed_reports reports;
    std::vector<machine_figure> figures;
    std::vector<speed_sample> speeds;

    /// \return the engines whose figures the next report contains
    std::set<std::uint32_t> next_engines()
    {
        std::set<std::uint32_t> engines;
        if (!reports.due(clock.now()))
            return engines;
        auto const report = reports.next(figures, speeds, clock.now());
        for (auto const& one :
             report.figures.value_or(std::vector<machine_figure>()))
            engines.insert(one.engine);
        return engines;
    }

    void advance(milliseconds by)
    {
        clock.advance(by);
        for (auto& one : figures)
            one.age_ms += static_cast<std::uint32_t>(by.count());
    }
};

} // namespace

TEST_CASE_METHOD(
    speed_summary_fixture,
    "speed summary: the freshest figure of an engine counts, in any order")
{
    summary.add("a", of_figures({{1, 250, 40}}), clock.now());
    summary.add("b", of_figures({{1, 180, 10}}), clock.now());
    summary.add("c", of_figures({{1, 300, 90}}), clock.now());
    CHECK(figure_of(1).percent == 180);
    CHECK(figure_of(1).age_ms == 10);
}

TEST_CASE_METHOD(
    speed_summary_fixture, "speed summary: figures age and expire after 1 s")
{
    summary.add("a", of_figures({{1, 250, 40}, {2, 250, 0}}), clock.now());
    clock.advance(milliseconds(960));
    CHECK(figure_of(1).age_ms == 1'000);
    clock.advance(milliseconds(5));
    CHECK(figure_of(1).percent == 100);
    CHECK(figure_of(2).percent == 250);
    // A report that was delayed for long.
    summary.add("a", of_figures({{3, 250, 1'005}}), clock.now());
    CHECK(figure_of(3).percent == 100);
}

TEST_CASE_METHOD(
    speed_summary_fixture,
    "speed summary: an engine that works as usual again is left out")
{
    summary.add("a", of_figures({{1, 250, 0}, {2, 40, 0}}), clock.now());
    CHECK(sum().figures->size() == 2);
    clock.advance(milliseconds(100));
    summary.add("b", of_figures({{1, 100, 0}, {2, 100, 0}}), clock.now());
    auto const report = sum();
    // A sum without the element would leave the former figures in force.
    REQUIRE(report.figures);
    CHECK(report.figures->empty());
    CHECK(encode(report).count == 1);
}

TEST_CASE_METHOD(
    speed_summary_fixture, "speed summary: the 24 slowest engines are sent")
{
    std::vector<machine_figure> all;
    for (std::uint32_t engine = 1; engine <= 60; ++engine)
        all.push_back({engine, 100 + engine, 0});
    std::shuffle(all.begin(), all.end(), std::mt19937(1));
    summary.add("a", of_figures(all), clock.now());
    auto const report = sum();
    REQUIRE(report.figures->size() == max_sum_figures);
    for (auto const& one : *report.figures)
        CHECK(one.engine > 60 - max_sum_figures);
}

TEST_CASE_METHOD(
    speed_summary_fixture,
    "speed summary: a node receives figures every 100 ms at most")
{
    summary.add("a", of_figures({{1, 250, 0}}), clock.now());
    CHECK(summary.next_for("b", clock.now()).figures);
    clock.advance(milliseconds(99));
    CHECK_FALSE(summary.next_for("b", clock.now()).figures);
    CHECK(summary.next_for("c", clock.now()).figures);
    clock.advance(milliseconds(1));
    CHECK(summary.next_for("b", clock.now()).figures);
}

TEST_CASE_METHOD(
    speed_summary_fixture,
    "speed summary: without figures of any engine nothing is sent")
{
    CHECK(encode(sum()).count == 0);
    speed_report report;
    report.speeds = {{1, 200, 100}};
    summary.add("a", report, clock.now());
    CHECK(encode(sum()).count == 0);
    summary.add("a", of_figures({{1, 100, 0}}), clock.now());
    CHECK(encode(sum()).count == 2);
    clock.advance(seconds(10));
    CHECK(encode(sum()).count == 1);
    clock.advance(milliseconds(1));
    CHECK(encode(sum()).count == 0);
}

TEST_CASE_METHOD(
    speed_summary_fixture, "speed summary: speeds of all nodes add up")
{
    summary.add("a", of_speeds({{1, 600, 300}, {2, 50, 100}}), clock.now());
    summary.add("b", of_speeds({{1, 500, 200}}), clock.now());
    CHECK(speed_of(1).ratio_hundredths == 1'100);
    CHECK(speed_of(1).calls_hundredths == 500);
    CHECK(speed_of(2).calls_hundredths == 100);
    // A node's sums contain those that it reported before.
    clock.advance(milliseconds(500));
    summary.add("b", of_speeds({{1, 800, 400}}), clock.now());
    CHECK(speed_of(1).calls_hundredths == Approx(400 + 300 * 0.917).margin(2));
}

TEST_CASE_METHOD(
    speed_summary_fixture,
    "speed summary: speeds of a node that is gone fade and expire")
{
    summary.add("a", of_speeds({{1, 800, 400}}), clock.now());
    clock.advance(seconds(4));
    summary.add("b", of_speeds({{2, 100, 100}}), clock.now());
    CHECK(speed_of(1).ratio_hundredths == 400);
    CHECK(speed_of(1).calls_hundredths == 200);
    clock.advance(seconds(5));
    summary.add("b", of_speeds({{2, 100, 100}}), clock.now());
    CHECK(speed_of(1).calls_hundredths == 0);
}

TEST_CASE_METHOD(
    speed_summary_fixture,
    "speed summary: speeds of many engines are sent in turn")
{
    std::vector<speed_sample> all;
    for (std::uint32_t engine = 0; engine < 128; ++engine)
        all.push_back({engine * 1'000, 100, 100});
    std::set<std::uint32_t> seen;
    for (int second = 0; second < 3; ++second)
    {
        summary.add("a", of_speeds(all), clock.now());
        auto const speeds = summary.next_for("b", clock.now()).speeds;
        CHECK(speeds.size() == max_sum_speeds);
        for (auto const& one : speeds)
            seen.insert(one.engine);
        clock.advance(milliseconds(999));
        CHECK(summary.next_for("b", clock.now()).speeds.empty());
        clock.advance(milliseconds(1));
    }
    CHECK(seen.size() == all.size());
}

TEST_CASE_METHOD(
    speed_summary_fixture,
    "speed summary: few engines are sent once in each message")
{
    summary.add("a", of_speeds({{1, 200, 100}, {2, 200, 100}}), clock.now());
    CHECK(sum().speeds.size() == 2);
}

TEST_CASE_METHOD(
    speed_reports_fixture,
    "speed reports: each figure is sent twice, in case one report is lost")
{
    figures = {{1, 250, 5}};
    CHECK(next_engines() == std::set<std::uint32_t>{1});
    advance(milliseconds(50));
    figures.push_back({2, 100, 0});
    CHECK(next_engines().empty());
    advance(milliseconds(50));
    CHECK(next_engines() == std::set<std::uint32_t>{1, 2});
    advance(milliseconds(100));
    CHECK(next_engines() == std::set<std::uint32_t>{2});
    advance(milliseconds(100));
    CHECK(next_engines().empty());
}

TEST_CASE_METHOD(
    speed_reports_fixture,
    "speed reports: a new load aggregator receives figures sent before")
{
    figures = {{1, 250, 0}};
    for (int i = 0; i < 4; ++i)
    {
        next_engines();
        advance(milliseconds(100));
    }
    REQUIRE(next_engines().empty());
    reports.repeat_figures();
    advance(milliseconds(100));
    CHECK(next_engines() == std::set<std::uint32_t>{1});
}

TEST_CASE_METHOD(
    speed_reports_fixture, "speed reports: the freshest figures are sent first")
{
    for (std::uint32_t engine = 0; engine < 30; ++engine)
        figures.push_back({engine, 100, 30 - engine});
    CHECK(
        next_engines() ==
        std::set<std::uint32_t>{22, 23, 24, 25, 26, 27, 28, 29});
}

TEST_CASE_METHOD(
    speed_reports_fixture,
    "speed reports: speeds are sent once a second, those of few calls never")
{
    speeds = {{1, 200, 100}, {2, 50, 24}};
    auto const first = reports.next(figures, speeds, clock.now());
    CHECK_FALSE(first.figures);
    REQUIRE(first.speeds.size() == 1);
    CHECK(first.speeds[0].engine == 1);
    clock.advance(milliseconds(999));
    CHECK(reports.next(figures, speeds, clock.now()).speeds.empty());
    clock.advance(milliseconds(1));
    CHECK(reports.next(figures, speeds, clock.now()).speeds.size() == 1);
}

TEST_CASE_METHOD(
    speed_reports_fixture,
    "speed exchange: a figure survives the loss of a report and of a sum")
{
    speed_summary summary;
    figures = {{1, 250, 5}};
    // Guards against figures that are sent once: the first report is lost.
    REQUIRE(reports.next(figures, speeds, clock.now()).figures);
    advance(milliseconds(100));
    summary.add("a", reports.next(figures, speeds, clock.now()), clock.now());
    // The first sum is lost.
    REQUIRE(summary.next_for("b", clock.now()).figures);
    clock.advance(milliseconds(100));
    auto const sum = summary.next_for("b", clock.now()).figures;
    REQUIRE(sum);
    REQUIRE(sum->size() == 1);
    CHECK((*sum)[0].percent == 250);
    CHECK((*sum)[0].age_ms == 205);
}

namespace
{

/// Nodes that report to one load aggregator on a manual clock. All engines are
/// slow, each node has new figures whenever it may send some, each entry takes
/// its maximum of bytes, and sums are requested every 10 ms. No deployment
/// reaches that.
struct exchange_bytes
{
    std::size_t nodes;
    std::uint32_t engines;

    struct node_state
    {
        std::string name;
        speed_reports reports;
        std::vector<machine_figure> figures{};
        std::vector<speed_sample> speeds{};
    };

    std::vector<node_state> make_nodes() const
    {
        // More than a report may contain.
        constexpr std::uint32_t engines_of_node = 56;
        std::vector<node_state> all(nodes);
        for (std::size_t i = 0; i < nodes; ++i)
        {
            all[i].name = std::to_string(i);
            for (std::uint32_t j = 0; j < engines_of_node; ++j)
            {
                auto const engine =
                    ~((static_cast<std::uint32_t>(i) * 8 + j) % engines);
                all[i].figures.push_back({engine, 10'000, j});
                all[i].speeds.push_back({engine, 4'000'000, 70'000});
            }
        }
        return all;
    }

    /// \return bytes sent and received a second by an ordinary node
    double per_second() const
    {
        // Until the nodes have reported the speeds of all their engines.
        constexpr seconds warm_up{4};
        constexpr seconds measured{4};
        constexpr milliseconds step{10};
        manual_clock clock;
        speed_summary summary;
        auto all = make_nodes();
        std::size_t bytes = 0;
        auto const began = clock.now() + warm_up;
        auto const end = began + measured;
        for (; clock.now() < end; clock.advance(step))
        {
            for (auto& node : all)
            {
                speed_report report;
                if (node.reports.due(clock.now()))
                {
                    report = node.reports.next(
                        node.figures, node.speeds, clock.now());
                }
                summary.add(node.name, report, clock.now());
                auto const sum = summary.next_for(node.name, clock.now());
                if (&node == &all.front() && clock.now() >= began)
                    bytes +=
                        encode(report).bytes.size() + encode(sum).bytes.size();
            }
        }
        return static_cast<double>(bytes) / measured.count();
    }
};

} // namespace

TEST_CASE("speed exchange: bytes of a node stay below 3 KB a second")
{
    // Figures: 10 reports of 2 + 8 * 7 bytes and 10 sums of 2 + 24 * 7.
    // Speeds: a report of 2 + 20 * 8 bytes and a sum of 3 + 50 * 8.
    constexpr double worked_out = 10 * 58 + 10 * 170 + 162 + 403;
    static_assert(worked_out < 3'000);
    // Deployment B and the two larger sizes of docs/CAPACITY.md.
    for (auto const& one :
         {exchange_bytes{90, 56}, exchange_bytes{300, 128},
          exchange_bytes{1'000, 3'000}})
    {
        CAPTURE(one.nodes, one.engines);
        CHECK(one.per_second() == Approx(worked_out).margin(1));
    }
}

#include <walnutmill/engine_speeds.hpp>

#include "entry/load_summary.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct speeds_fixture
{
    manual_clock clock;
    engine_speeds speeds{clock.fn()};
    std::vector<engine_entry> engines;
    service_name const llm{"llm"};
    target_name const e0{"e0"};
    target_name const e1{"e1"};

    speeds_fixture()
    {
        clock.advance(seconds(100));
        add("e0", "llm");
        add("e1", "llm");
        add("p0", "plain");
        speeds.set_engines(engines);
    }

    void add(std::string const& id, std::string const& service)
    {
        engine_entry one;
        one.id = target_name(id);
        one.incarnation.started_at_ms = 1;
        one.service = service_name(service);
        engines.push_back(one);
    }

    void restart_e0()
    {
        ++engines[0].incarnation.started_at_ms;
        speeds.set_engines(engines);
    }

    /// Reports a usual machine, which turns the feature on.
    void activate() { speeds.report_machine(e1, 100); }

    void record_calls(target_name const& engine, int calls, double ratio)
    {
        for (int i = 0; i < calls; ++i)
            speeds.record_call(engine, ratio);
    }

    static machine_figure
    figure_of(target_name const& engine, std::uint32_t percent, int age_ms)
    {
        return {short_key(engine), percent, static_cast<std::uint32_t>(age_ms)};
    }

    static speed_sample
    sample_of(target_name const& engine, double ratios, double calls)
    {
        return {
            short_key(engine), static_cast<std::uint32_t>(ratios * 100),
            static_cast<std::uint32_t>(calls * 100)};
    }
};

} // namespace

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: without a machine figure nothing is kept")
{
    record_calls(e0, 20, 2.0);
    CHECK_FALSE(speeds.active(llm));
    CHECK(speeds.own_figures().empty());
    CHECK(speeds.own_speeds().empty());
    CHECK_FALSE(speeds.base_slowdown(e0));
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    CHECK(speeds.expected_machine_slowdown(e0, milliseconds(400)) == 1.0);
    CHECK(speeds.machine_slowdown_during(e0, milliseconds(400)) == 1.0);
    // Calls before the first figure are not counted later either.
    activate();
    CHECK(speeds.own_speeds().empty());
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: empty sums of other nodes change nothing")
{
    speeds.set_cluster_figures({});
    speeds.set_cluster_speeds({});
    CHECK_FALSE(speeds.active(llm));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: a figure fades, then is forgotten")
{
    // A machine is slow for some 600 ms. A figure that holds on would keep
    // calls away from a machine that works as usual again.
    speeds.report_machine(e0, 250);
    CHECK(speeds.machine_slowdown(e0) == Approx(2.5));
    clock.advance(milliseconds(300));
    CHECK(speeds.machine_slowdown(e0) == Approx(1 + 1.5 * std::exp(-1.0)));
    clock.advance(milliseconds(690));
    CHECK(speeds.machine_slowdown(e0) > 1.0);
    clock.advance(milliseconds(10));
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    CHECK(speeds.machine_slowdown(e1) == 1.0);
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: a figure's age counts from its arrival")
{
    speeds.report_machine(e0, 250, milliseconds(300));
    CHECK(speeds.machine_slowdown(e0) == Approx(1 + 1.5 * std::exp(-1.0)));
    speeds.report_machine(e1, 250, milliseconds(1'000));
    CHECK(speeds.machine_slowdown(e1) == 1.0);
}

TEST_CASE_METHOD(
    speeds_fixture,
    "engine speeds: a fresher figure replaces an older one of any node")
{
    speeds.report_machine(e0, 250);
    clock.advance(milliseconds(100));
    speeds.set_cluster_figures({figure_of(e0, 400, 10)});
    CHECK(speeds.machine_slowdown(e0) > 3.5);
    speeds.report_machine(e0, 100);
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    // An older figure of another node, and one of this node.
    speeds.set_cluster_figures({figure_of(e0, 400, 50)});
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    speeds.report_machine(e0, 900, milliseconds(20));
    CHECK(speeds.machine_slowdown(e0) == 1.0);
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: an engine left out of a sum works as usual")
{
    speeds.set_cluster_figures({figure_of(e0, 250, 0), figure_of(e1, 250, 0)});
    clock.advance(milliseconds(100));
    speeds.set_cluster_figures({figure_of(e1, 250, 100)});
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    CHECK(speeds.machine_slowdown(e1) > 2.0);
}

TEST_CASE_METHOD(
    speeds_fixture,
    "engine speeds: an older figure of this node doesn't return with a sum")
{
    speeds.report_machine(e0, 250);
    clock.advance(milliseconds(50));
    speeds.set_cluster_figures({figure_of(e0, 250, 0)});
    clock.advance(milliseconds(50));
    speeds.set_cluster_figures({});
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    // A figure that arrived here since, and that the sum can't contain yet.
    speeds.report_machine(e0, 250);
    speeds.set_cluster_figures({});
    CHECK(speeds.machine_slowdown(e0) == Approx(2.5));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: the effect of a figure is bounded")
{
    speeds.report_machine(e0, 10'000);
    CHECK(speeds.machine_slowdown(e0) == Approx(10.0));
    speeds.report_machine(e1, 1);
    CHECK(speeds.machine_slowdown(e1) == Approx(0.25));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: figures out of range count as absent")
{
    speeds.report_machine(e0, 0);
    speeds.report_machine(e0, 10'001);
    speeds.report_machine(e0, 250, milliseconds(-1));
    speeds.set_cluster_figures(
        {figure_of(e0, 0, 0),
         figure_of(e0, 10'001, 0),
         {short_key(e0), 250, 0xffffffffU}});
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    CHECK_FALSE(speeds.active(llm));
}

TEST_CASE_METHOD(speeds_fixture, "engine speeds: unknown engines are ignored")
{
    target_name const unknown("e9");
    speeds.report_machine(unknown, 250);
    speeds.record_call(unknown, 2.0);
    speeds.set_cluster_figures({figure_of(unknown, 250, 0)});
    speeds.set_cluster_speeds({sample_of(unknown, 20, 10)});
    CHECK(speeds.machine_slowdown(unknown) == 1.0);
    CHECK_FALSE(speeds.base_slowdown(unknown));
    CHECK(speeds.own_figures().empty());
    CHECK_FALSE(speeds.active(llm));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: a long call is slowed for a part only")
{
    // A call at a slowed machine outlasts the slow period. With the full
    // slowdown for its whole duration, a loaded fleet left slowed machines idle
    // and calls queued at the others.
    speeds.report_machine(e0, 250);
    auto const at_once = speeds.expected_machine_slowdown(e0, milliseconds(1));
    auto const usual = speeds.expected_machine_slowdown(e0, milliseconds(360));
    auto const whole = speeds.expected_machine_slowdown(e0, seconds(60));
    CHECK(at_once > 2.4);
    CHECK(at_once <= 2.5);
    CHECK(usual > 1.3);
    CHECK(usual < 1.6);
    CHECK(whole >= 1.0);
    CHECK(whole < 1.01);
    speeds.report_machine(e1, 50);
    auto const fast = speeds.expected_machine_slowdown(e1, milliseconds(360));
    CHECK(fast > 0.5);
    CHECK(fast < 1.0);
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: the mean of calls counts from three on")
{
    activate();
    record_calls(e0, 1, 1.0);
    record_calls(e0, 1, 3.0);
    CHECK_FALSE(speeds.base_slowdown(e0));
    record_calls(e0, 1, 2.0);
    REQUIRE(speeds.base_slowdown(e0));
    CHECK(*speeds.base_slowdown(e0) == Approx(2.0));
    // Less than three calls are left after a moment.
    clock.advance(milliseconds(100));
    CHECK_FALSE(speeds.base_slowdown(e0));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: sums of calls halve in four seconds")
{
    activate();
    record_calls(e0, 8, 1.5);
    clock.advance(seconds(4));
    auto const sent = speeds.own_speeds();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].engine == short_key(e0));
    CHECK(sent[0].calls_hundredths == 400);
    CHECK(sent[0].ratio_hundredths == 600);
    // The newer calls have more weight.
    activate();
    record_calls(e0, 4, 0.5);
    REQUIRE(speeds.base_slowdown(e0));
    CHECK(*speeds.base_slowdown(e0) == Approx(1.0));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: sums of all nodes count, then fade")
{
    speeds.set_cluster_speeds({sample_of(e0, 6, 12), sample_of(e1, 24, 12)});
    REQUIRE(speeds.base_slowdown(e0));
    CHECK(*speeds.base_slowdown(e0) == Approx(0.5));
    CHECK(*speeds.base_slowdown(e1) == Approx(2.0));
    // Engines are named in turn, so one that is not named keeps its sums.
    speeds.set_cluster_speeds({sample_of(e1, 12, 12)});
    CHECK(*speeds.base_slowdown(e0) == Approx(0.5));
    CHECK(*speeds.base_slowdown(e1) == Approx(1.0));
    clock.advance(milliseconds(7'900));
    CHECK(speeds.base_slowdown(e0));
    clock.advance(milliseconds(200));
    CHECK_FALSE(speeds.base_slowdown(e0));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: own calls are not counted twice")
{
    activate();
    record_calls(e0, 2, 1.0);
    // The sum of all nodes contains them, so these are no four calls.
    speeds.set_cluster_speeds({sample_of(e0, 2, 2)});
    CHECK_FALSE(speeds.base_slowdown(e0));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: malformed sums have a bounded effect")
{
    speeds.set_cluster_speeds(
        {{short_key(e0), 0xffffffffU, 300}, {short_key(e1), 0, 0}});
    CHECK(*speeds.base_slowdown(e0) == Approx(12.0));
    CHECK_FALSE(speeds.base_slowdown(e1));
    speeds.set_cluster_speeds({{short_key(e0), 0, 0xffffffffU}});
    CHECK(*speeds.base_slowdown(e0) == Approx(0.3));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: a restart discards what is known")
{
    speeds.report_machine(e0, 250);
    record_calls(e0, 10, 2.0);
    speeds.set_cluster_figures({figure_of(e0, 250, 0)});
    speeds.set_cluster_speeds({sample_of(e0, 20, 10)});
    clock.advance(milliseconds(50));
    restart_e0();
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    CHECK(speeds.machine_slowdown_during(e0, milliseconds(100)) == 1.0);
    CHECK_FALSE(speeds.base_slowdown(e0));
    CHECK(speeds.own_figures().empty());
    CHECK(speeds.own_speeds().empty());
}

TEST_CASE_METHOD(
    speeds_fixture,
    "engine speeds: reports of others about a former incarnation are ignored")
{
    restart_e0();
    clock.advance(milliseconds(100));
    speeds.set_cluster_figures({figure_of(e0, 250, 150)});
    speeds.set_cluster_speeds({sample_of(e0, 20, 10)});
    CHECK(speeds.machine_slowdown(e0) == 1.0);
    CHECK_FALSE(speeds.base_slowdown(e0));
    // Those about the new one count.
    speeds.set_cluster_figures({figure_of(e0, 250, 50)});
    CHECK(speeds.machine_slowdown(e0) > 2.0);
    // The load aggregator still sums up calls of the former one.
    clock.advance(milliseconds(9'300));
    speeds.set_cluster_speeds({sample_of(e0, 20, 10)});
    CHECK_FALSE(speeds.base_slowdown(e0));
    clock.advance(milliseconds(200));
    speeds.set_cluster_speeds({sample_of(e0, 20, 10)});
    CHECK(speeds.base_slowdown(e0));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: an engine that left is forgotten")
{
    speeds.report_machine(e0, 250);
    auto const all = engines;
    engines.erase(engines.begin());
    speeds.set_engines(engines);
    CHECK(speeds.own_figures().empty());
    speeds.set_engines(all);
    CHECK(speeds.machine_slowdown(e0) == 1.0);
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: an update of the registry keeps the rest")
{
    speeds.report_machine(e0, 250);
    record_calls(e0, 10, 2.0);
    engines[0].state = engine_state::draining;
    add("e2", "llm");
    speeds.set_engines(engines);
    CHECK(speeds.machine_slowdown(e0) == Approx(2.5));
    CHECK(*speeds.base_slowdown(e0) == Approx(2.0));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: only the figure's service takes part")
{
    activate();
    record_calls(target_name("p0"), 10, 2.0);
    CHECK(speeds.active(llm));
    CHECK_FALSE(speeds.active(service_name("plain")));
    CHECK_FALSE(speeds.base_slowdown(target_name("p0")));
    CHECK(speeds.own_speeds().empty());
}

TEST_CASE_METHOD(
    speeds_fixture,
    "engine speeds: the feature ends 10 s after the last figure")
{
    activate();
    clock.advance(milliseconds(9'999));
    CHECK(speeds.active(llm));
    clock.advance(milliseconds(1));
    CHECK_FALSE(speeds.active(llm));
    record_calls(e0, 10, 2.0);
    CHECK(speeds.own_speeds().empty());
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: figures and sums of others turn it on")
{
    SECTION("figures")
    {
        speeds.set_cluster_figures({figure_of(e0, 250, 0)});
    }
    SECTION("sums")
    {
        speeds.set_cluster_speeds({sample_of(e0, 20, 10)});
    }
    CHECK(speeds.active(llm));
    clock.advance(seconds(10));
    CHECK_FALSE(speeds.active(llm));
}

TEST_CASE_METHOD(
    speeds_fixture,
    "engine speeds: nodes don't keep the feature on by their sums alone")
{
    // Two nodes that answer each other's sums would go on forever after the
    // engines stopped telling figures.
    manual_clock& time = clock;
    engine_speeds other(time.fn());
    other.set_engines(engines);
    speeds.report_machine(e0, 100);
    for (int second = 0; second < 30; ++second)
    {
        speeds.record_call(e0, 1.0);
        other.record_call(e0, 1.0);
        other.set_cluster_speeds(speeds.own_speeds());
        speeds.set_cluster_speeds(other.own_speeds());
        time.advance(seconds(1));
    }
    CHECK(speeds.own_speeds().empty());
    CHECK(other.own_speeds().empty());
    CHECK_FALSE(speeds.active(llm));
    CHECK_FALSE(other.active(llm));
}

TEST_CASE_METHOD(
    speeds_fixture, "engine speeds: own figures are reported with their age")
{
    speeds.report_machine(e0, 250);
    clock.advance(milliseconds(400));
    // A figure of 100 is reported too: it is fresher than those of others.
    speeds.report_machine(e1, 100);
    // Figures of others are not passed on.
    speeds.set_cluster_figures({figure_of(e0, 400, 0)});
    auto const sent = speeds.own_figures();
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].engine < sent[1].engine);
    for (auto const& one : sent)
    {
        auto const is_e0 = one.engine == short_key(e0);
        CHECK(one.percent == (is_e0 ? 250U : 100U));
        CHECK(one.age_ms == (is_e0 ? 400U : 0U));
    }
    clock.advance(milliseconds(600));
    CHECK(speeds.own_figures().size() == 1);
}

TEST_CASE_METHOD(
    speeds_fixture,
    "engine speeds: a slow period is divided out of calls by its share")
{
    // The machine is slow for the second half of a call.
    speeds.report_machine(e0, 100);
    for (int i = 0; i < 4; ++i)
    {
        clock.advance(milliseconds(50));
        speeds.report_machine(e0, 100);
    }
    for (int i = 0; i < 4; ++i)
    {
        clock.advance(milliseconds(50));
        speeds.report_machine(e0, 250);
    }
    auto const last_half =
        speeds.machine_slowdown_during(e0, milliseconds(150));
    CHECK(last_half > 2.2);
    auto const whole = speeds.machine_slowdown_during(e0, milliseconds(400));
    // 200 ms at the usual speed and 200 ms at 1/2.5 of it: 280 ms of work.
    CHECK(whole == Approx(400.0 / 280.0).epsilon(0.1));
    CHECK(speeds.machine_slowdown_during(e0, milliseconds(0)) > 2.2);
}

TEST_CASE_METHOD(
    speeds_fixture,
    "engine speeds: any number of reports needs a bounded history")
{
    for (int i = 0; i < 10'000; ++i)
    {
        speeds.report_machine(e0, 100 + static_cast<std::uint32_t>(i % 100));
        clock.advance(milliseconds(6));
    }
    auto const slowdown = speeds.machine_slowdown_during(e0, milliseconds(180));
    CHECK(slowdown > 1.0);
    CHECK(slowdown < 2.0);
}

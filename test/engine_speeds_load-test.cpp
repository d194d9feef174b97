/// \file
/// Load: 56 engines of 12 slots behind 90 nodes. A quarter of the engines need
/// 0.55 of the predicted durations, the others 1.2 of them, and 15 % of the
/// machines work 2.5 times as slowly for 600 ms at a time. Programs have 1.5
/// times their time on idle engines plus 200 ms.

#include "engine_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct uneven_fleet_fixture
{
    fleet_options options;

    uneven_fleet_fixture()
    {
        options.nodes = 90;
        options.domains = 4;
        options.engines = 56;
        options.slots = 12;
        options.cache_tokens = 233'774;
        // A quarter of the engines, spread over the failure domains.
        options.duration_factors = {0.55, 1.2, 1.2, 1.2, 1.2};
        options.duration_factors.insert(
            options.duration_factors.end(),
            {0.55, 1.2, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 1.2, 0.55});
        options.slow_share = 0.15;
        program_kind answers;
        answers.rank = 1;
        answers.per_s = 210;
        answers.turns = 3;
        answers.pause = milliseconds(120);
        answers.time_limit_factor = 1.5;
        answers.grace = milliseconds(200);
        options.kinds = {answers};
    }

    struct outcome
    {
        int started = 0;
        int missed = 0;
        int turns = 0;
        int sent_to_slow = 0;
        double unevenness = 0;
        std::size_t most_calls = 0;

        double missed_share() const
        {
            return static_cast<double>(missed) / started;
        }
        double slow_calls() const
        {
            return static_cast<double>(sent_to_slow) / turns;
        }
    };

    outcome run(speed_knowledge speeds, std::uint32_t seeds = 1) const
    {
        outcome to;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            auto used = options;
            used.speeds = speeds;
            used.seed = seed;
            engine_fleet fleet(used);
            fleet.run_for(seconds(10));
            fleet.finish();
            auto const& all = fleet.results()[0];
            to.started += all.started;
            to.missed += all.started - all.in_time - all.refused_then_in_time;
            to.turns += fleet.turns;
            to.sent_to_slow += fleet.sent_to_slow;
            to.unevenness += fleet.unevenness() / seeds;
            to.most_calls = std::max(to.most_calls, fleet.most_calls_at_engine);
        }
        return to;
    }

    /// \return the difference of two counts that chance alone exceeds once in
    /// 40 plays: two standard deviations
    static double chance_of(int a, int b) { return 2 * std::sqrt(a + b); }
};

} // namespace

TEST_CASE_METHOD(
    uneven_fleet_fixture,
    "engine speeds load: shared figures keep programs of an uneven fleet in "
    "time")
{
    constexpr std::uint32_t seeds = 3;
    auto const none = run(speed_knowledge::none, seeds);
    auto const own = run(speed_knowledge::own, seeds);
    auto const shared = run(speed_knowledge::shared, seeds);
    CAPTURE(
        none.missed_share(), own.missed_share(), shared.missed_share(),
        none.slow_calls(), own.slow_calls(), shared.slow_calls());
    // The load pattern makes programs late, or the test would show nothing.
    CHECK(none.missed_share() > 0.02);
    // Callers need at most one late program in fifty where slots are free.
    CHECK(shared.missed_share() < 0.02);
    CHECK(shared.missed + chance_of(shared.missed, none.missed) < none.missed);
    // A node's own figures must not harm.
    CHECK(own.missed < none.missed + chance_of(own.missed, none.missed));
    CHECK(shared.slow_calls() < none.slow_calls());
}

TEST_CASE_METHOD(
    uneven_fleet_fixture,
    "engine speeds load: shared figures don't harm a loaded fleet")
{
    // With 1.8 times the arrivals nearly all slots are in use. A choice that
    // left slowed machines idle would then cost capacity.
    options.kinds[0].per_s = 380;
    auto const none = run(speed_knowledge::none);
    auto const shared = run(speed_knowledge::shared);
    CAPTURE(none.missed_share(), shared.missed_share());
    CHECK(none.missed_share() > 0.05);
    CHECK(shared.missed < none.missed + chance_of(shared.missed, none.missed));
}

TEST_CASE_METHOD(
    uneven_fleet_fixture,
    "engine speeds load: a fleet of alike engines is served as before")
{
    options.duration_factors = {1.0};
    options.slow_share = 0;
    auto const per_s = GENERATE(210.0, 400.0);
    CAPTURE(per_s);
    options.kinds[0].per_s = per_s;
    auto const none = run(speed_knowledge::none);
    auto const shared = run(speed_knowledge::shared);
    CAPTURE(none.missed, shared.missed, none.unevenness, shared.unevenness);
    CHECK(shared.missed <= none.missed + chance_of(shared.missed, none.missed));
    CHECK(shared.unevenness < 1.1 * none.unevenness);
}

TEST_CASE_METHOD(
    uneven_fleet_fixture,
    "engine speeds load: nodes don't herd on the machines that are not slowed")
{
    // All nodes know the same figures. If all of them moved to the same few
    // machines, calls would queue there.
    options.duration_factors = {1.0};
    auto const none = run(speed_knowledge::none);
    auto const shared = run(speed_knowledge::shared);
    CAPTURE(
        none.missed_share(), shared.missed_share(), none.unevenness,
        shared.unevenness, none.most_calls, shared.most_calls);
    CHECK(shared.missed <= none.missed + chance_of(shared.missed, none.missed));
    CHECK(shared.most_calls <= options.slots);
    // Without herding a machine has as many calls more as slowed ones have
    // fewer.
    CHECK(shared.unevenness < 1.3 * none.unevenness);
}

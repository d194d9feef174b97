#include <walnutmill/random.hpp>
#include <walnutmill/retention.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct retention_fixture
{
    pause_statistics pauses;
    retention_options options;
    retention_request request;

    retention_fixture()
    {
        request.tool = "tool";
        request.cached_tokens = 20'000;
        request.cache_capacity = 400'000;
        request.memory_pressure = 1.0;
    }

    void see(int times, double pause_seconds)
    {
        auto pause = duration(static_cast<int>(pause_seconds * 1e6));
        for (int i = 0; i < times; ++i)
            pauses.observe("tool", pause);
    }

    retention_decision decide() const
    {
        return retention(pauses, options).decide(request);
    }

    /// What holding for so long costs on average, over the pauses given.
    double
    cost_of(double hold, std::vector<double> const& seen, double price) const
    {
        double prefill = request.cached_tokens * options.prefill_seconds;
        double sum = 0.0;
        for (double pause : seen)
        {
            sum += price * std::min(pause, hold);
            sum += pause > hold ? prefill : 0.0;
        }
        return sum / static_cast<double>(seen.size());
    }
};

} // namespace

TEST_CASE_METHOD(
    retention_fixture, "retention, program ended, drops at once", "[retention]")
{
    see(100, 0.1);
    request.program_ended = true;
    auto decision = decide();
    REQUIRE(decision.action == retention_action::drop);
    REQUIRE(decision.reason == retention_reason::program_ended);
    REQUIRE(decision.hold.count() == 0);
}

TEST_CASE_METHOD(
    retention_fixture, "retention, short pauses, holds just beyond them",
    "[retention]")
{
    see(100, 2.0);
    auto decision = decide();
    REQUIRE(decision.action == retention_action::keep);
    REQUIRE(decision.reason == retention_reason::expected_return);
    REQUIRE(decision.hold >= seconds(2));
    REQUIRE(decision.hold <= seconds(3));
}

TEST_CASE_METHOD(
    retention_fixture, "retention, pauses dearer than the prefill, drops",
    "[retention]")
{
    see(100, 1'000.0);
    auto decision = decide();
    REQUIRE(decision.action == retention_action::drop);
    REQUIRE(decision.reason == retention_reason::not_worth_holding);
}

TEST_CASE_METHOD(
    retention_fixture, "retention, one pause in ten is long, gives those up",
    "[retention]")
{
    for (int i = 0; i < 20; ++i)
    {
        see(9, 2.0);
        see(1, 900.0);
    }
    auto decision = decide();
    REQUIRE(decision.action == retention_action::keep);
    REQUIRE(decision.hold <= seconds(3));
}

TEST_CASE_METHOD(
    retention_fixture, "retention, unknown tool, holds for the prefill's worth",
    "[retention]")
{
    see(5, 2.0);
    auto decision = decide();
    REQUIRE(decision.reason == retention_reason::unknown_tool);
    double held = decision.hold.count() / 1000.0;
    double prefill = request.cached_tokens * options.prefill_seconds;
    double price = options.full_price * 20'000 / 400'000;
    REQUIRE(held * price == Approx(prefill).margin(0.01));
}

TEST_CASE_METHOD(
    retention_fixture, "retention, waste weighs more, holds no longer",
    "[retention]")
{
    auto random = seeded_random(7);
    for (int i = 0; i < 300; ++i)
        see(1, std::exp(4.0 * random()));
    auto longest = std::chrono::milliseconds::max();
    for (double weight : {0.5, 1.0, 4.0, 16.0, 64.0})
    {
        request.waste_weight = weight;
        REQUIRE(decide().hold <= longest);
        longest = decide().hold;
    }
}

TEST_CASE_METHOD(
    retention_fixture,
    "retention, heavy-tailed pauses, costs little more than the best hold",
    "[retention]")
{
    auto seed = GENERATE(range(1u, 11u));
    INFO("seed " << seed);
    auto random = seeded_random(seed);
    std::vector<double> seen;
    for (int i = 0; i < 390; ++i)
    {
        // Pareto, shape 1.1, from 0.5 s.
        seen.push_back(0.5 * std::pow(1.0 - random(), -1.0 / 1.1));
        see(1, std::min(seen.back(), 2'000.0));
    }
    request.waste_weight = 0.5 + 20.0 * random();
    double price = request.waste_weight * options.full_price * 20'000 / 400'000;
    double best = cost_of(0.0, seen, price);
    for (double hold = 0.05; hold < 600; hold *= 1.05)
        best = std::min(best, cost_of(hold, seen, price));
    auto decision = decide();
    double cost = cost_of(decision.hold.count() / 1000.0, seen, price);
    INFO("cost " << cost << ", best " << best);
    REQUIRE(cost <= 1.1 * best);
    REQUIRE(decision.cost == Approx(cost).epsilon(0.15));
}

TEST_CASE_METHOD(
    retention_fixture, "retention, engine full and another empty, moves",
    "[retention]")
{
    see(100, 100.0);
    request.other = target_name("b");
    request.other_pressure = 0.2;
    auto decision = decide();
    REQUIRE(decision.action == retention_action::move);
    REQUIRE(decision.reason == retention_reason::memory_pressure);
    REQUIRE(decision.hold >= seconds(100));

    request.other_pressure = 0.95;
    REQUIRE(decide().action != retention_action::move);
}

TEST_CASE_METHOD(
    retention_fixture, "retention, target is leaving, moves or drops",
    "[retention]")
{
    see(100, 2.0);
    request.target_leaving = true;
    REQUIRE(decide().action == retention_action::drop);
    REQUIRE(decide().reason == retention_reason::target_leaving);
    request.other = target_name("b");
    REQUIRE(decide().action == retention_action::move);
}

TEST_CASE_METHOD(
    retention_fixture, "pause statistics, tool changes, forgets the old pauses",
    "[retention]")
{
    see(1'000, 1.0);
    REQUIRE(pauses.quantile("tool", 0.5) <= milliseconds(1'300));
    REQUIRE(pauses.longer_than("tool", seconds(2)) == 0.0);
    see(800, 60.0);
    REQUIRE(pauses.quantile("tool", 0.5) >= seconds(60));
    REQUIRE(pauses.samples("tool") < 400);
    REQUIRE(pauses.samples("new") == 0);
    REQUIRE(pauses.longer_than("new", seconds(2)) == 1.0);
}

TEST_CASE_METHOD(
    retention_fixture, "pause statistics, program never came back, counts",
    "[retention]")
{
    see(50, 1.0);
    for (int i = 0; i < 50; ++i)
        pauses.observe_lost("tool");
    REQUIRE(pauses.longer_than("tool", seconds(1'000)) == Approx(0.5));
}

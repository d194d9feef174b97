#include <walnutmill/capacity.hpp>
#include <walnutmill/random.hpp>

#include <algorithm>
#include <cmath>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::seconds;

/// Targets that carry out the plans: they wake after 40 s, and drain at once.
struct capacity_fixture
{
    capacity_planner planner;
    capacity_snapshot snapshot;
    time_point now{seconds(1'000)};
    int wakes = 0;
    int drains = 0;
    std::uint32_t most_waking = 0;

    explicit capacity_fixture(std::size_t serving = 4)
    {
        for (std::size_t i = 0; i < 12; ++i)
        {
            capacity_target target;
            target.name = target_name("t" + std::to_string(10 + i));
            target.state =
                i < serving ? power_state::serving : power_state::off;
            target.since = now;
            snapshot.targets.push_back(target);
        }
    }

    std::uint32_t count(power_state state) const
    {
        auto const& all = snapshot.targets;
        return static_cast<std::uint32_t>(std::count_if(
            all.begin(), all.end(),
            [&](auto const& target) { return target.state == state; }));
    }

    capacity_target& find(target_name const& name)
    {
        return *std::find_if(
            snapshot.targets.begin(), snapshot.targets.end(),
            [&](auto const& target) { return target.name == name; });
    }

    /// Spreads the demand over what serves; the rest waits.
    void load(std::uint32_t demand)
    {
        for (auto& target : snapshot.targets)
        {
            bool serves = target.state == power_state::serving;
            target.running = serves ? std::min(demand, target.slots) : 0;
            demand -= target.running;
        }
        snapshot.queued_calls = demand;
    }

    void carry_out(capacity_step const& step)
    {
        auto& target = find(step.target);
        target.since = now;
        if (step.action == capacity_action::wake)
        {
            ++wakes;
            target.state = power_state::waking;
        }
        else if (step.action == capacity_action::resume)
            target.state = power_state::serving;
        else if (step.action == capacity_action::drain)
        {
            ++drains;
            target.state = power_state::draining;
        }
        else
        {
            REQUIRE(target.running == 0);
            REQUIRE(target.holds == 0);
            target.state = power_state::off;
        }
    }

    void step(std::uint32_t demand)
    {
        now += seconds(5);
        for (auto& target : snapshot.targets)
        {
            bool awake = target.state == power_state::waking &&
                         now - target.since >= seconds(40);
            if (awake)
                target.state = power_state::serving;
        }
        load(demand);
        for (auto const& item : planner.plan(snapshot, now).steps)
            carry_out(item);
        most_waking = std::max(most_waking, count(power_state::waking));
    }
};

} // namespace

TEST_CASE_METHOD(
    capacity_fixture,
    "capacity, demand rises, wakes as the weight store allows", "[capacity]")
{
    for (int i = 0; i < 60; ++i)
        step(150);
    REQUIRE(most_waking == 2);
    REQUIRE(count(power_state::serving) >= 10);
    REQUIRE(snapshot.queued_calls == 0);
}

TEST_CASE_METHOD(
    capacity_fixture, "capacity, loads of other services, count to the rate",
    "[capacity]")
{
    snapshot.other_loads = 2;
    load(64);
    auto plan = planner.plan(snapshot, now);
    REQUIRE(plan.steps.empty());
    REQUIRE(plan.wakes_deferred);
}

TEST_CASE_METHOD(
    capacity_fixture, "capacity, demand swings by a fifth, nothing flaps",
    "[capacity]")
{
    auto seed = GENERATE(range(1u, 6u));
    INFO("seed " << seed);
    auto random = seeded_random(seed);
    for (int i = 0; i < 720; ++i)
        step(static_cast<std::uint32_t>(60 * (0.8 + 0.4 * random())));
    INFO("wakes " << wakes << ", drains " << drains);
    REQUIRE(wakes <= 2);
    REQUIRE(drains <= 1);
}

TEST_CASE_METHOD(
    capacity_fixture, "capacity, demand ends, drains one by one to the floor",
    "[capacity]")
{
    for (int i = 0; i < 400; ++i)
    {
        step(2);
        REQUIRE(count(power_state::draining) <= 1);
    }
    REQUIRE(count(power_state::serving) == 2);
}

TEST_CASE_METHOD(
    capacity_fixture, "capacity, a day's curve, follows it with few steps",
    "[capacity]")
{
    double waited = 0;
    double asked = 0;
    double awake = 0;
    for (int i = 0; i < 17'280; ++i)
    {
        double phase = 2 * 3.14159265 * i / 17'280;
        auto demand = static_cast<std::uint32_t>(70 - 60 * std::cos(phase));
        step(demand);
        waited += snapshot.queued_calls;
        asked += demand;
        awake += count(power_state::serving);
    }
    INFO("wakes " << wakes << ", drains " << drains);
    REQUIRE(wakes <= 10);
    REQUIRE(drains <= 10);
    REQUIRE(waited <= 0.001 * asked);
    REQUIRE(awake / 17'280 < 8.0);
}

TEST_CASE_METHOD(
    capacity_fixture, "capacity, target drains with work, is not stopped",
    "[capacity]")
{
    auto& target = snapshot.targets[0];
    target.state = power_state::draining;
    target.running = 1;
    REQUIRE(planner.plan(snapshot, now).steps.empty());
    target.running = 0;
    target.holds = 1;
    REQUIRE(planner.plan(snapshot, now).steps.empty());
    target.holds = 0;
    auto steps = planner.plan(snapshot, now).steps;
    REQUIRE(steps.size() == 1);
    REQUIRE(steps[0].action == capacity_action::stop);
    REQUIRE(steps[0].reason == capacity_reason::drained);
}

TEST_CASE_METHOD(
    capacity_fixture,
    "capacity, demand rises while one drains, resumes it first", "[capacity]")
{
    snapshot.targets[0].state = power_state::draining;
    load(48);
    auto steps = planner.plan(snapshot, now).steps;
    REQUIRE(steps.size() == 1);
    REQUIRE(steps[0].action == capacity_action::resume);
    REQUIRE(steps[0].target == snapshot.targets[0].name);
}

TEST_CASE_METHOD(
    capacity_fixture, "capacity, target held by an operator, is left alone",
    "[capacity]")
{
    for (auto& target : snapshot.targets)
        target.held_by_operator = true;
    snapshot.targets[0].state = power_state::draining;
    snapshot.queued_calls = 100;
    REQUIRE(planner.plan(snapshot, now).steps.empty());
}

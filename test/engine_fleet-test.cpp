/// \file
/// Load: a burst of 1.6 times the usual programs for 5 s on 128 engines of 6
/// slots, placed by 295 nodes that decide alone->

#include "engine_fleet.hpp"

#include <catch2/catch.hpp>

#include <memory>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct burst_fixture
{
    fleet_options options;

    burst_fixture()
    {
        program_kind answers;
        answers.rank = 1;
        answers.per_s = 137;
        answers.turns = 4;
        answers.new_tokens = 1'680;
        answers.pause = milliseconds(120);
        answers.aim_factor = 1.5;
        program_kind orders;
        orders.rank = 0;
        orders.per_s = 56.5;
        orders.turns = 12;
        orders.new_tokens = 840;
        orders.pause = milliseconds(220);
        orders.aim_factor = 1.4;
        options.kinds = {answers, orders};
    }

    std::unique_ptr<engine_fleet> play() const
    {
        auto fleet = std::make_unique<engine_fleet>(options);
        fleet->run_for(seconds(3));
        fleet->set_rate(1.6);
        fleet->run_for(seconds(5));
        fleet->finish();
        return fleet;
    }

    static int missed(kind_result const& one)
    {
        return one.begun - one.in_aim - one.refused_then_in_aim;
    }
};

} // namespace

TEST_CASE_METHOD(
    burst_fixture,
    "engine fleet: choices told at once keep programs in their aim")
{
    auto const told = play();
    options.reports_choices = false;
    options.report_interval = milliseconds(200);
    auto const by_interval = play();
    for (std::size_t kind = 0; kind < options.kinds.size(); ++kind)
    {
        auto const& one = told->results()[kind];
        INFO(kind);
        CHECK(one.begun > 0);
        CHECK(missed(one) * 10 <= one.begun);
    }
    CHECK(missed(told->results()[0]) * 2 <= missed(by_interval->results()[0]));
    CHECK(told->tokens_read < by_interval->tokens_read);
}

TEST_CASE_METHOD(
    burst_fixture, "engine fleet: told demand keeps shared prompts in place")
{
    auto const told = play();
    options.tells_demand = false;
    auto const alone = play();
    CHECK(told->shared_tokens_read < alone->shared_tokens_read);
}

/// \file
/// Load: 1.6 times the usual arrival rate of programs for 5 s on 128 engines
/// with 6 slots each. 295 nodes place the calls, and each decides on its own.

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
        answers.time_limit_factor = 1.5;
        program_kind orders;
        orders.rank = 0;
        orders.per_s = 56.5;
        orders.turns = 12;
        orders.new_tokens = 840;
        orders.pause = milliseconds(220);
        orders.time_limit_factor = 1.4;
        options.kinds = {answers, orders};
    }

    std::unique_ptr<engine_fleet> run_burst() const
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
        return one.started - one.in_time - one.refused_then_in_time;
    }
};

} // namespace

TEST_CASE_METHOD(
    burst_fixture,
    "engine fleet: choices reported at once keep programs in time")
{
    auto const reported = run_burst();
    options.reports_choices = false;
    options.report_interval = milliseconds(200);
    auto const by_interval = run_burst();
    for (std::size_t kind = 0; kind < options.kinds.size(); ++kind)
    {
        auto const& one = reported->results()[kind];
        INFO(kind);
        CHECK(one.started > 0);
        CHECK(missed(one) * 10 <= one.started);
    }
    CHECK(
        missed(reported->results()[0]) * 2 <=
        missed(by_interval->results()[0]));
    CHECK(reported->tokens_read < by_interval->tokens_read);
}

TEST_CASE_METHOD(
    burst_fixture,
    "engine fleet: reported demand reduces reads of shared prompts")
{
    auto const reported = run_burst();
    options.shares_demand = false;
    auto const alone = run_burst();
    CHECK(reported->shared_tokens_read < alone->shared_tokens_read);
}

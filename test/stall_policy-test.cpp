#include <walnutmill/stall_policy.hpp>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;

struct stall_fixture
{
    stall_options options;

    stall_fixture()
    {
        options.min_timeout = milliseconds(400);
        options.turn_factor = 4;
        options.plain_factor = 8;
        options.retry_ratio = 0.1;
        options.max_balance = 3;
    }

    int count_granted(retry_budget& allowance, int requested) const
    {
        int granted = 0;
        for (int i = 0; i < requested; ++i)
            granted += allowance.try_spend() ? 1 : 0;
        return granted;
    }
};

} // namespace

TEST_CASE_METHOD(
    stall_fixture, "stall: the timeout grows with the expected time")
{
    CHECK(
        stall_timeout(milliseconds(40), true, 0, options) == milliseconds(560));
    CHECK(
        stall_timeout(milliseconds(150), true, 0, options) ==
        milliseconds(1'000));
    CHECK(
        stall_timeout(milliseconds(50), false, 0, options) ==
        milliseconds(800));
}

TEST_CASE_METHOD(
    stall_fixture, "stall: a negative estimate gets the minimum timeout")
{
    CHECK(
        stall_timeout(milliseconds(-5), true, 0, options) == milliseconds(400));
}

TEST_CASE_METHOD(
    stall_fixture,
    "stall: each stall of a call doubles the timeout of its next attempt")
{
    CHECK(
        stall_timeout(milliseconds(0), true, 1, options) == milliseconds(800));
    CHECK(
        stall_timeout(milliseconds(0), true, 3, options) ==
        milliseconds(3'200));
    CHECK(
        stall_timeout(milliseconds(0), true, 1'000, options) ==
        stall_timeout(milliseconds(0), true, 6, options));
}

TEST_CASE_METHOD(
    stall_fixture, "stall: if all calls stall, one in ten is retried")
{
    retry_budget allowance(options);
    int granted = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        allowance.call_sent();
        granted += allowance.try_spend() ? 1 : 0;
    }
    CHECK(granted >= 100);
    CHECK(granted <= 104);
}

TEST_CASE_METHOD(
    stall_fixture,
    "stall: without stalls the retry budget fills up to its maximum")
{
    retry_budget allowance(options);
    CHECK(count_granted(allowance, 10) == 3);
    for (int i = 0; i < 500; ++i)
        allowance.call_sent();
    CHECK(count_granted(allowance, 10) == 3);
}

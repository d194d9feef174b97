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
        options.least = milliseconds(400);
        options.turn_factor = 4;
        options.plain_factor = 8;
        options.repeated_part = 0.1;
        options.most_saved = 3;
    }

    int granted_of(repeat_allowance& allowance, int asked) const
    {
        int granted = 0;
        for (int i = 0; i < asked; ++i)
            granted += allowance.take() ? 1 : 0;
        return granted;
    }
};

} // namespace

TEST_CASE_METHOD(
    stall_fixture, "stall: silence borne grows with what was expected")
{
    CHECK(
        stall_patience(milliseconds(40), true, 0, options) ==
        milliseconds(560));
    CHECK(
        stall_patience(milliseconds(150), true, 0, options) ==
        milliseconds(1'000));
    CHECK(
        stall_patience(milliseconds(50), false, 0, options) ==
        milliseconds(800));
}

TEST_CASE_METHOD(
    stall_fixture, "stall: an estimate below zero bears the least silence")
{
    CHECK(
        stall_patience(milliseconds(-5), true, 0, options) ==
        milliseconds(400));
}

TEST_CASE_METHOD(
    stall_fixture, "stall: each stall of a call doubles what its next try has")
{
    CHECK(
        stall_patience(milliseconds(0), true, 1, options) == milliseconds(800));
    CHECK(
        stall_patience(milliseconds(0), true, 3, options) ==
        milliseconds(3'200));
    CHECK(
        stall_patience(milliseconds(0), true, 1'000, options) ==
        stall_patience(milliseconds(0), true, 6, options));
}

TEST_CASE_METHOD(
    stall_fixture, "stall: when all calls stall one in ten is sent again")
{
    repeat_allowance allowance(options);
    int granted = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        allowance.call_sent();
        granted += allowance.take() ? 1 : 0;
    }
    CHECK(granted >= 100);
    CHECK(granted <= 104);
}

TEST_CASE_METHOD(
    stall_fixture, "stall: after a calm time a spell finds the most saved up")
{
    repeat_allowance allowance(options);
    CHECK(granted_of(allowance, 10) == 3);
    for (int i = 0; i < 500; ++i)
        allowance.call_sent();
    CHECK(granted_of(allowance, 10) == 3);
}

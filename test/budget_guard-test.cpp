#include <walnutmill/budget_guard.hpp>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;

struct guard_fixture
{
    guard_options options;
    service_name tool{"tool"};

    guard_fixture() { options.tools.push_back({service_name("orders"), 3}); }

    /// Calls until refused, with the bodies in turn. \return calls made.
    int
    run(budget_guard& guard, int most, std::uint64_t bodies,
        std::uint64_t answers) const
    {
        for (int made = 0; made < most; ++made)
        {
            auto body = made % bodies;
            if (!guard.check_call(tool, body).allowed())
                return made;
            guard.on_answer(tool, body, made % answers);
        }
        return most;
    }
};

} // namespace

TEST_CASE_METHOD(
    guard_fixture, "guard, same call and same answer, ends after eight",
    "[budget_guard]")
{
    budget_guard guard(options);
    REQUIRE(run(guard, 100, 1, 1) == 8);
    auto verdict = guard.check_call(tool, 0);
    REQUIRE(verdict.reason == guard_reason::repeated_call);
    REQUIRE(verdict.count == 8);
    REQUIRE(guard.check_call(tool, 77).allowed());
}

TEST_CASE_METHOD(
    guard_fixture, "guard, cycle of three calls, ends after eight rounds",
    "[budget_guard]")
{
    budget_guard guard(options);
    REQUIRE(run(guard, 100, 3, 3) == 24);
}

TEST_CASE_METHOD(
    guard_fixture, "guard, poll whose answer changes, goes on",
    "[budget_guard]")
{
    budget_guard guard(options);
    REQUIRE(run(guard, 100, 1, 100) == 100);
}

TEST_CASE_METHOD(
    guard_fixture, "guard, turns used up, refuses", "[budget_guard]")
{
    budget_guard guard(options);
    REQUIRE(run(guard, 200, 200, 200) == 128);
    REQUIRE(guard.check_call(tool, 999).reason == guard_reason::too_many_turns);
}

TEST_CASE_METHOD(
    guard_fixture, "guard, tool with a limit, refuses only that tool",
    "[budget_guard]")
{
    budget_guard guard(options);
    service_name orders("orders");
    for (std::uint64_t i = 0; i < 3; ++i)
        guard.on_answer(orders, i, i);
    REQUIRE(
        guard.check_call(orders, 9).reason ==
        guard_reason::too_many_tool_calls);
    REQUIRE(guard.check_call(tool, 9).allowed());
}

TEST_CASE_METHOD(
    guard_fixture, "guard, sub-agents, bounded in depth and number",
    "[budget_guard]")
{
    REQUIRE(budget_guard(options, 3).check_sub_agent(63).allowed());
    REQUIRE(
        budget_guard(options, 4).check_sub_agent(0).reason ==
        guard_reason::too_deep);
    REQUIRE(
        budget_guard(options, 0).check_sub_agent(64).reason ==
        guard_reason::too_many_sub_agents);
}

TEST_CASE(
    "guard, options from the configuration, take its limits", "[budget_guard]")
{
    limits_config limits;
    limits.max_turns = 7;
    limits.max_depth = 2;
    limits.max_sub_agents = 5;
    auto options = guard_options_from(limits);
    REQUIRE(options.max_turns == 7);
    REQUIRE(options.max_depth == 2);
    REQUIRE(options.max_sub_agents == 5);
}

#include <walnutmill/retry.hpp>

#include <set>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct retry_fixture
{
    retry_policy policy;
    random_fn random = seeded_random(1);
    time_point now{seconds(100)};
    failed_attempt attempt;

    retry_fixture()
    {
        attempt.root = program_id("p");
        attempt.target = target_name("t");
        attempt.repeatable = true;
        for (int i = 0; i < 200; ++i)
            policy.on_success(attempt.root, attempt.target);
    }

    retry_decision fail() { return policy.on_failure(attempt, now, random); }
};

} // namespace

TEST_CASE_METHOD(
    retry_fixture, "retry, call that may be repeated, is sent again", "[retry]")
{
    auto decision = fail();
    REQUIRE(decision.send);
    REQUIRE(decision.reason == retry_reason::repeatable);
    REQUIRE(decision.delay <= milliseconds(50));
}

TEST_CASE_METHOD(
    retry_fixture, "retry, call that may not be repeated, only if it never ran",
    "[retry]")
{
    attempt.repeatable = false;
    attempt.ran = certainty::outcome_unknown;
    REQUIRE(fail().reason == retry_reason::not_repeatable);
    attempt.ran = certainty::ran;
    REQUIRE(fail().reason == retry_reason::not_repeatable);
    attempt.ran = certainty::not_run;
    REQUIRE(fail().reason == retry_reason::did_not_run);
}

TEST_CASE_METHOD(
    retry_fixture, "retry, refusal that would be repeated, is not sent again",
    "[retry]")
{
    for (auto code :
         {errc::bad_request, errc::budget_exhausted, errc::canceled,
          errc::deadline_exceeded})
    {
        attempt.code = code;
        REQUIRE(fail().reason == retry_reason::permanent);
    }
}

TEST_CASE_METHOD(
    retry_fixture,
    "retry, could not end before the deadline, is not sent again", "[retry]")
{
    attempt.expected = seconds(2);
    attempt.deadline = now + seconds(1);
    REQUIRE(fail().reason == retry_reason::deadline);
    attempt.deadline = now + seconds(3);
    REQUIRE(fail().send);
}

TEST_CASE_METHOD(
    retry_fixture, "retry, target names a time, waits at least as long",
    "[retry]")
{
    attempt.retry_after = seconds(2);
    auto decision = fail();
    REQUIRE(decision.delay >= seconds(2));
    REQUIRE(decision.delay <= seconds(2) + milliseconds(50));
}

TEST_CASE_METHOD(
    retry_fixture, "retry, attempts used up, is not sent again", "[retry]")
{
    attempt.attempts = 3;
    REQUIRE(fail().reason == retry_reason::attempts_exhausted);
}

TEST_CASE_METHOD(
    retry_fixture, "retry, same failures, delays differ and grow", "[retry]")
{
    std::set<duration> delays;
    duration longest{0};
    for (int i = 0; i < 3; ++i)
    {
        attempt.attempts = 1 + i % 2;
        auto decision = fail();
        delays.insert(decision.delay);
        longest = std::max(longest, decision.delay);
    }
    REQUIRE(delays.size() == 3);
    REQUIRE(longest <= milliseconds(100));
}

TEST_CASE_METHOD(
    retry_fixture, "retry, one program fails everywhere, its budget ends",
    "[retry]")
{
    int sent = 0;
    for (int i = 0; i < 40; ++i)
    {
        attempt.target = target_name("t" + std::to_string(i));
        for (int success = 0; success < 30; ++success)
            policy.on_success(program_id("other"), attempt.target);
        sent += fail().send ? 1 : 0;
    }
    REQUIRE(sent == 5);
    REQUIRE(fail().reason == retry_reason::program_budget_exhausted);
    policy.forget(attempt.root);
    REQUIRE(policy.balance(attempt.root) == 2.0);
}

TEST_CASE(
    "retry, all targets fail for all programs, sends at most 1.1 times",
    "[retry]")
{
    auto seed = GENERATE(range(1u, 6u));
    INFO("seed " << seed);
    auto random = seeded_random(seed);
    retry_policy policy;
    time_point now{seconds(1)};
    int first_sends = 0;
    int sends = 0;
    auto call = [&](bool succeeds)
    {
        failed_attempt attempt;
        attempt.repeatable = true;
        attempt.root = program_id("p" + std::to_string(first_sends++ / 30));
        for (attempt.attempts = 1;; ++attempt.attempts)
        {
            ++sends;
            attempt.target = target_name(
                "t" + std::to_string(static_cast<int>(random() * 19)));
            if (succeeds)
                return policy.on_success(attempt.root, attempt.target);
            if (!policy.on_failure(attempt, now, random).send)
                return;
        }
    };
    for (int i = 0; i < 1'000; ++i)
        call(false);
    REQUIRE(sends <= 1.1 * first_sends);
    for (int i = 0; i < 2'000; ++i)
        call(random() < 0.5);
    REQUIRE(sends <= 1.1 * first_sends);
}

TEST_CASE_METHOD(
    retry_fixture, "retry, all targets fail at once, the node's budget ends",
    "[retry]")
{
    for (int target = 0; target < 100; ++target)
        for (int i = 0; i < 30; ++i)
            policy.on_success(
                program_id("q"), target_name("t" + std::to_string(target)));
    int sent = 0;
    for (int i = 0; i < 100; ++i)
    {
        attempt.root = program_id("p" + std::to_string(i));
        attempt.target = target_name("t" + std::to_string(i));
        sent += fail().send ? 1 : 0;
    }
    REQUIRE(sent == 8);
    REQUIRE(fail().reason == retry_reason::node_budget_exhausted);
}

TEST_CASE_METHOD(
    retry_fixture, "hedge, slow call with room elsewhere, is sent twice",
    "[retry]")
{
    slow_attempt slow;
    slow.root = attempt.root;
    slow.repeatable = true;
    slow.sent = now - seconds(3);
    slow.usual = seconds(2);
    slow.spare_room = true;
    REQUIRE(policy.hedge(slow, now).reason == retry_reason::slow);

    SECTION("not slow yet")
    {
        slow.sent = now - seconds(1);
        REQUIRE(policy.hedge(slow, now).reason == retry_reason::not_slow);
    }
    SECTION("no room")
    {
        slow.spare_room = false;
        REQUIRE(policy.hedge(slow, now).reason == retry_reason::no_spare_room);
    }
    SECTION("not repeatable")
    {
        slow.repeatable = false;
        REQUIRE(policy.hedge(slow, now).reason == retry_reason::not_repeatable);
    }
    SECTION("deadline near")
    {
        slow.deadline = now + seconds(1);
        REQUIRE(policy.hedge(slow, now).reason == retry_reason::deadline);
    }
    SECTION("budget used up")
    {
        int sent = 0;
        for (int i = 0; i < 20; ++i)
        {
            slow.root = program_id("q" + std::to_string(i));
            sent += policy.hedge(slow, now).send ? 1 : 0;
        }
        REQUIRE(sent == 4);
        REQUIRE(
            policy.hedge(slow, now).reason ==
            retry_reason::hedge_budget_exhausted);
    }
}

#include <walnutmill/quota.hpp>
#include <walnutmill/random.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Zero slack, so that a full bucket holds exactly the burst.
quota_bounds const bounds{seconds(5), 0.4, 0};

struct quota_fixture
{
    manual_clock clock;
    quota_coordinator coordinator{bounds, 100};
    workspace_name owner{"archive"};
    rate_limit limit{10, 10};

    quota_answer acquire()
    {
        return coordinator.acquire({owner, limit}, clock.now());
    }

    int grants_among(int requests)
    {
        int granted = 0;
        for (int i = 0; i < requests; ++i)
            granted += acquire().decision == quota_decision::granted ? 1 : 0;
        return granted;
    }

    void fill_bucket()
    {
        acquire();
        clock.advance(seconds(10));
    }
};

} // namespace

TEST_CASE_METHOD(
    quota_fixture, "quota: a full bucket grants the burst, then the rate")
{
    fill_bucket();
    CHECK(grants_among(30) == 10);
    clock.advance(milliseconds(500));
    CHECK(grants_among(30) == 5);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a new coordinator grants a part of the burst")
{
    auto const first = grants_among(100);
    CHECK(first >= 1);
    // Four new coordinators within a window stay below the allowed excess.
    CHECK(4 * first <= (10 * 5 + 10) * 0.4);
}

TEST_CASE("quota: a full bucket also holds a part of the slack")
{
    quota_bounds const wide{seconds(5), 0.1, 20};
    rate_limit const limit_under_test{10, 10};
    CHECK(bucket_capacity(limit_under_test, wide) > 10);
    CHECK(bucket_capacity(limit_under_test, wide) <= 10 + wide.slack / 2);
    CHECK(bucket_capacity(limit_under_test, bounds) == 10);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a stalled node adds no tokens for the stall")
{
    fill_bucket();
    grants_among(20);
    coordinator.tick(clock.now(), 1);
    clock.advance(seconds(3));
    CHECK(grants_among(20) == 0);
    clock.advance(milliseconds(500));
    CHECK(grants_among(20) == 5);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a coordinator grants its reachable share")
{
    fill_bucket();
    grants_among(20);
    for (int i = 0; i < 5; ++i)
    {
        coordinator.tick(clock.now(), 0.2);
        clock.advance(milliseconds(200));
    }
    coordinator.tick(clock.now(), 0.2);
    CHECK(grants_among(20) == 2);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: refused requests get distinct retry-after times")
{
    fill_bucket();
    grants_among(10);
    std::vector<milliseconds> waits;
    waits.reserve(5);
    for (int i = 0; i < 5; ++i)
        waits.push_back(acquire().retry_after);
    CHECK(waits.front() > milliseconds(0));
    CHECK(std::is_sorted(waits.begin(), waits.end()));
    CHECK(std::adjacent_find(waits.begin(), waits.end()) == waits.end());
    // A retry after the given time finds a token.
    clock.advance(waits.front());
    CHECK(acquire().decision == quota_decision::granted);
}

TEST_CASE_METHOD(quota_fixture, "quota: retry after is bounded at a slow rate")
{
    limit = {0.01, 1};
    grants_among(10);
    CHECK(acquire().retry_after <= seconds(5));
}

TEST_CASE("quota: programs complete at the limit under fivefold demand")
{
    // Each program makes 10 requests, 100 ms apart, and fails when a request is
    // refused twice. A failed program wastes the tokens of its earlier
    // requests, so the retry-after times must let most programs complete that
    // the limit suffices for.
    constexpr int requests_per_program = 10;
    rate_limit const limit{30, 30};
    manual_clock clock;
    quota_coordinator coordinator(quota_bounds{seconds(5), 0.1, 20});
    auto const random = seeded_random(5);
    struct program
    {
        int requests_left = requests_per_program;
        int refused = 0;
        time_point next{};
    };
    std::vector<program> programs;
    int completed = 0;
    for (int step = 0; step < 6'000; ++step)
    {
        clock.advance(milliseconds(10));
        auto const now = clock.now();
        // 15 programs start per second; the limit suffices for 3.
        if (random() < 0.15)
            programs.push_back({requests_per_program, 0, now});
        coordinator.tick(now, 1);
        for (std::size_t i = 0; i < programs.size(); ++i)
        {
            auto& one = programs[i];
            if (one.requests_left == 0 || one.refused > 1 || one.next > now)
                continue;
            auto const answer =
                coordinator.acquire({workspace_name("w"), limit}, now);
            if (answer.decision == quota_decision::granted)
            {
                one.refused = 0;
                one.next = now + milliseconds(100);
                completed += --one.requests_left == 0 ? 1 : 0;
                continue;
            }
            ++one.refused;
            one.next =
                now + std::min<duration>(answer.retry_after, milliseconds(300));
        }
    }
    // The limit suffices for 3 programs per second, 180 in the minute.
    CHECK(completed >= 0.8 * 180);
}

TEST_CASE_METHOD(quota_fixture, "quota: a lower limit applies at once")
{
    limit = {100, 100};
    fill_bucket();
    limit = {2, 2};
    CHECK(grants_among(50) == 2);
    limit = {0, 0};
    CHECK(grants_among(50) == 50);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a limit without a burst serves its rate")
{
    limit = {10, 0};
    fill_bucket();
    CHECK(grants_among(5) == 1);
    clock.advance(milliseconds(100));
    CHECK(grants_among(5) == 1);
}

TEST_CASE_METHOD(quota_fixture, "quota: a returned token can be granted again")
{
    fill_bucket();
    CHECK(grants_among(20) == 10);
    coordinator.refund(owner);
    coordinator.refund(workspace_name("unknown"));
    CHECK(grants_among(5) == 1);
}

TEST_CASE_METHOD(quota_fixture, "quota: the number of buckets is bounded")
{
    for (int i = 0; i < 1'000; ++i)
    {
        coordinator.acquire(
            {workspace_name("w" + std::to_string(i)), limit}, clock.now());
    }
    CHECK(coordinator.size() == 100);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: no window exceeds the limit under random load")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        quota_coordinator random_coordinator(bounds, 100);
        auto const random = seeded_random(seed);
        rate_limit const limit_under_test{1 + random() * 100, random() * 100};
        auto const max_in_window = limit_under_test.per_second * 5 +
                                   std::max(limit_under_test.burst, 1.0) + 1e-6;
        std::deque<time_point> granted;
        for (int i = 0; i < 2'000; ++i)
        {
            auto const pause =
                random() * 2 * random() / limit_under_test.per_second;
            clock.advance(std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(pause)));
            auto const now = clock.now();
            if (random_coordinator.acquire({owner, limit_under_test}, now)
                    .decision == quota_decision::granted)
                granted.push_back(now);
            while (!granted.empty() && now - granted.front() >= bounds.window)
                granted.pop_front();
            INFO("seed " << seed);
            REQUIRE(static_cast<double>(granted.size()) <= max_in_window);
        }
    }
}

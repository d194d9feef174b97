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

/// Without requests besides, so that a bucket holds the burst alone.
quota_bounds const bounds{seconds(5), 0.4, 0};

struct quota_fixture
{
    manual_clock clock;
    quota_coordinator coordinator{bounds, 100};
    workspace_name owner{"archive"};
    rate_limit limit{10, 10};

    quota_answer take()
    {
        return coordinator.take({owner, limit}, clock.now());
    }

    int granted_of(int requests)
    {
        int granted = 0;
        for (int i = 0; i < requests; ++i)
            granted += take().decision == quota_decision::granted ? 1 : 0;
        return granted;
    }

    void fill_up()
    {
        take();
        clock.advance(seconds(10));
    }
};

} // namespace

TEST_CASE_METHOD(
    quota_fixture, "quota: a full bucket grants a burst, then rate")
{
    fill_up();
    CHECK(granted_of(30) == 10);
    clock.advance(milliseconds(500));
    CHECK(granted_of(30) == 5);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a coordinator without a past grants a part of it")
{
    auto const first = granted_of(100);
    CHECK(first >= 1);
    // Four of them in a window stay within what may be exceeded.
    CHECK(4 * first <= (10 * 5 + 10) * 0.4);
}

TEST_CASE("quota: a full bucket holds a part of what may be exceeded besides")
{
    quota_bounds const wide{seconds(5), 0.1, 20};
    rate_limit const of{10, 10};
    CHECK(bucket_capacity(of, wide) > 10);
    CHECK(bucket_capacity(of, wide) <= 10 + wide.slack / 2);
    CHECK(bucket_capacity(of, bounds) == 10);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a node that stood still grants no refill for it")
{
    fill_up();
    granted_of(20);
    coordinator.tick(clock.now(), 1);
    clock.advance(seconds(3));
    CHECK(granted_of(20) == 0);
    clock.advance(milliseconds(500));
    CHECK(granted_of(20) == 5);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a coordinator grants the part its side is of all")
{
    fill_up();
    granted_of(20);
    for (int i = 0; i < 5; ++i)
    {
        coordinator.tick(clock.now(), 0.2);
        clock.advance(milliseconds(200));
    }
    coordinator.tick(clock.now(), 0.2);
    CHECK(granted_of(20) == 2);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: those refused are told different times to come back")
{
    fill_up();
    granted_of(10);
    std::vector<milliseconds> waits;
    waits.reserve(5);
    for (int i = 0; i < 5; ++i)
        waits.push_back(take().retry_after);
    CHECK(waits.front() > milliseconds(0));
    CHECK(std::is_sorted(waits.begin(), waits.end()));
    CHECK(std::adjacent_find(waits.begin(), waits.end()) == waits.end());
    // Whoever comes back when told finds a token.
    clock.advance(waits.front());
    CHECK(take().decision == quota_decision::granted);
}

TEST_CASE_METHOD(quota_fixture, "quota: a wait is bounded at a slow rate")
{
    limit = {0.01, 1};
    granted_of(10);
    CHECK(take().retry_after <= seconds(5));
}

TEST_CASE("quota: a workspace at five times its limit ends programs at it")
{
    // Each program makes 10 requests, 100 ms apart, and is lost with one that
    // is refused twice.
    constexpr int requests_each = 10;
    rate_limit const limit{30, 30};
    manual_clock clock;
    quota_coordinator coordinator(quota_bounds{seconds(5), 0.1, 20});
    auto const random = seeded_random(5);
    struct program
    {
        int left = requests_each;
        int refused = 0;
        time_point next{};
    };
    std::vector<program> programs;
    int ended = 0;
    for (int step = 0; step < 6'000; ++step)
    {
        clock.advance(milliseconds(10));
        auto const now = clock.now();
        // Fifteen a second, where three can be carried to their ends.
        if (random() < 0.15)
            programs.push_back({requests_each, 0, now});
        coordinator.tick(now, 1);
        for (std::size_t i = 0; i < programs.size(); ++i)
        {
            auto& one = programs[i];
            if (one.left == 0 || one.refused > 1 || one.next > now)
                continue;
            auto const answer =
                coordinator.take({workspace_name("w"), limit}, now);
            if (answer.decision == quota_decision::granted)
            {
                one.refused = 0;
                one.next = now + milliseconds(100);
                ended += --one.left == 0 ? 1 : 0;
                continue;
            }
            ++one.refused;
            one.next =
                now + std::min<duration>(answer.retry_after, milliseconds(300));
        }
    }
    // Three a second for a minute is all that the limit carries.
    CHECK(ended >= 0.8 * 180);
}

TEST_CASE_METHOD(quota_fixture, "quota: a lower limit binds at once")
{
    limit = {100, 100};
    fill_up();
    limit = {2, 2};
    CHECK(granted_of(50) == 2);
    limit = {0, 0};
    CHECK(granted_of(50) == 50);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: a limit without a burst serves its rate")
{
    limit = {10, 0};
    fill_up();
    CHECK(granted_of(5) == 1);
    clock.advance(milliseconds(100));
    CHECK(granted_of(5) == 1);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: what is given back can be granted again")
{
    fill_up();
    CHECK(granted_of(20) == 10);
    coordinator.give_back(owner);
    coordinator.give_back(workspace_name("unknown"));
    CHECK(granted_of(5) == 1);
}

TEST_CASE_METHOD(quota_fixture, "quota: the number of buckets is bounded")
{
    for (int i = 0; i < 1'000; ++i)
    {
        coordinator.take(
            {workspace_name("w" + std::to_string(i)), limit}, clock.now());
    }
    CHECK(coordinator.size() == 100);
}

TEST_CASE_METHOD(
    quota_fixture, "quota: no window of any draw of load passes the limit")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        quota_coordinator drawn(bounds, 100);
        auto const random = seeded_random(seed);
        rate_limit const of{1 + random() * 100, random() * 100};
        auto const most = of.per_second * 5 + std::max(of.burst, 1.0) + 1e-6;
        std::deque<time_point> granted;
        for (int i = 0; i < 2'000; ++i)
        {
            auto const pause = random() * 2 * random() / of.per_second;
            clock.advance(std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(pause)));
            auto const now = clock.now();
            if (drawn.take({owner, of}, now).decision ==
                quota_decision::granted)
                granted.push_back(now);
            while (!granted.empty() && now - granted.front() >= bounds.window)
                granted.pop_front();
            INFO("seed " << seed);
            REQUIRE(static_cast<double>(granted.size()) <= most);
        }
    }
}

#include <walnutmill/quota.hpp>
#include <walnutmill/random.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
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

TEST_CASE_METHOD(
    quota_fixture,
    "quota: a node that becomes the coordinator again grants as a new one")
{
    auto const as_new = grants_among(100);
    fill_bucket();
    auto const is_remote = [](workspace_name const&) { return true; };
    coordinator.retire_if(
        [](workspace_name const&) { return false; }, clock.now());
    acquire();
    clock.advance(milliseconds(250));
    coordinator.retire_if(is_remote, clock.now());
    CHECK(grants_among(100) == 10);
    fill_bucket();
    acquire();
    clock.advance(milliseconds(300));
    coordinator.retire_if(is_remote, clock.now());
    CHECK(coordinator.size() == 1);
    clock.advance(milliseconds(200));
    CHECK(grants_among(100) <= as_new);
    clock.advance(bounds.window);
    coordinator.retire_if(is_remote, clock.now());
    CHECK(coordinator.size() == 0);
}

TEST_CASE_METHOD(
    quota_fixture,
    "quota: a node goes on from the grants of another one that it has seen")
{
    auto const observe = [&](quota_decision decision) {
        coordinator.observe({owner, limit}, decision, clock.now());
    };
    observe(quota_decision::over_limit);
    clock.advance(seconds(10));
    for (int i = 0; i < 7; ++i)
        observe(quota_decision::granted);
    observe(quota_decision::over_limit);
    CHECK(grants_among(10) == 3);
    // More than it expected leaves no debt.
    for (int i = 0; i < 5; ++i)
        observe(quota_decision::granted);
    clock.advance(milliseconds(300));
    CHECK(grants_among(10) == 3);
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

namespace
{

struct quota_use_fixture : quota_fixture
{
    quota_use_fixture() { coordinator.set_reports_use(true); }

    /// Sends requests at an even rate, each of which reaches an engine.
    /// \return the last answer
    quota_answer send(int per_second, seconds time)
    {
        quota_answer last;
        for (int i = 0; i < per_second * time.count(); ++i)
        {
            clock.advance(duration(1'000'000 / per_second));
            last = acquire();
        }
        return last;
    }
};

} // namespace

TEST_CASE_METHOD(
    quota_fixture, "quota use: nothing is reported unless it is enabled")
{
    for (int i = 0; i < 100; ++i)
    {
        clock.advance(milliseconds(200));
        CHECK_FALSE(acquire().use);
    }
}

TEST_CASE_METHOD(
    quota_use_fixture, "quota use: it is the granted part of the limit's rate")
{
    limit = {100, 100};
    auto const at_half = send(50, seconds(10)).use;
    REQUIRE(at_half);
    CHECK(*at_half == Approx(500).epsilon(0.05));
    send(400, seconds(10));
    auto const beyond = send(400, seconds(5)).use;
    REQUIRE(beyond);
    CHECK(*beyond == Approx(1'000).epsilon(0.05));
    CHECK(*send(1, seconds(20)).use < 20);
}

// Guards against a use that a new coordinator makes up: it does not know what
// its predecessor granted.
TEST_CASE_METHOD(
    quota_use_fixture, "quota use: a new bucket does not know it for 2 s")
{
    CHECK_FALSE(acquire().use);
    clock.advance(seconds(2) - duration(1));
    CHECK_FALSE(acquire().use);
    clock.advance(duration(1));
    CHECK(acquire().use);
    clock.advance(bounds.window);
    coordinator.retire_if(
        [](workspace_name const&) { return true; }, clock.now());
    CHECK_FALSE(acquire().use);
}

TEST_CASE_METHOD(
    quota_use_fixture, "quota use: a count that has just begun is not too low")
{
    limit = {100, 100};
    auto const use = send(50, seconds(3)).use;
    REQUIRE(use);
    CHECK(*use == Approx(500).epsilon(0.1));
}

TEST_CASE_METHOD(
    quota_use_fixture, "quota use: a stalled coordinator counts anew")
{
    coordinator.tick(clock.now(), 1);
    for (int i = 0; i < 30; ++i)
    {
        clock.advance(milliseconds(100));
        coordinator.tick(clock.now(), 1);
        acquire();
    }
    clock.advance(milliseconds(100));
    CHECK(acquire().use);
    clock.advance(seconds(1));
    CHECK_FALSE(acquire().use);
}

TEST_CASE_METHOD(quota_use_fixture, "quota use: enabling it starts the counts")
{
    send(10, seconds(5));
    coordinator.set_reports_use(false);
    CHECK_FALSE(acquire().use);
    coordinator.set_reports_use(true);
    CHECK_FALSE(acquire().use);
    clock.advance(seconds(2));
    CHECK(acquire().use);
}

// Guards against a workspace that stays refused for load because of requests
// that were refused for load.
TEST_CASE_METHOD(
    quota_use_fixture,
    "quota use: requests that reached no engine do not count")
{
    limit = {100, 100};
    std::optional<std::uint32_t> use;
    for (int i = 0; i < 500; ++i)
    {
        clock.advance(milliseconds(10));
        use = acquire().use;
        coordinator.refund(owner);
    }
    REQUIRE(use);
    CHECK(*use == 0);
}

TEST_CASE_METHOD(
    quota_use_fixture, "quota use: it is relative to the reachable share")
{
    limit = {100, 100};
    std::optional<std::uint32_t> use;
    for (int i = 0; i < 500; ++i)
    {
        clock.advance(milliseconds(40));
        use = coordinator.acquire({owner, limit}, clock.now(), 0.5).use;
    }
    REQUIRE(use);
    CHECK(*use == Approx(500).epsilon(0.05));
    clock.advance(milliseconds(40));
    use = coordinator.acquire({owner, limit}, clock.now(), 0).use;
    CHECK(use);
}

// Guards against a coordinator that sends more the more a workspace asks.
TEST_CASE_METHOD(
    quota_use_fixture, "quota use: one workspace's is told 500 times a second")
{
    limit = {10'000, 10'000};
    send(1, seconds(3));
    std::size_t reports = 0;
    for (int i = 0; i < 8'000; ++i)
    {
        clock.advance(duration(125));
        reports += acquire().use ? 1 : 0;
    }
    CHECK(reports == 500);
}

TEST_CASE_METHOD(
    quota_use_fixture,
    "quota use: the request that is asked for does not count itself")
{
    limit = {1, 8};
    acquire();
    clock.advance(seconds(30));
    CHECK(*acquire().use == 0);
}

// Reports must not change who is granted what.
TEST_CASE("quota use: decisions are the same with and without reports")
{
    manual_clock clock;
    quota_coordinator without(bounds, 100);
    quota_coordinator with(bounds, 100);
    with.set_reports_use(true);
    auto const random = seeded_random(11);
    std::vector<workspace_name> const owners{
        workspace_name("a"), workspace_name("b"), workspace_name("c")};
    for (int i = 0; i < 20'000; ++i)
    {
        clock.advance(duration(static_cast<std::int64_t>(random() * 20'000)));
        auto const& owner = owners[static_cast<std::size_t>(random() * 3)];
        rate_limit const limit{random() < 0.9 ? 30.0 : 10.0, 30};
        auto const share = random() < 0.9 ? 1.0 : random();
        auto const old = without.acquire({owner, limit}, clock.now(), share);
        auto const got = with.acquire({owner, limit}, clock.now(), share);
        REQUIRE(got.decision == old.decision);
        REQUIRE(got.retry_after == old.retry_after);
        REQUIRE_FALSE(old.use);
        if (random() < 0.1)
        {
            without.refund(owner);
            with.refund(owner);
        }
        if (random() < 0.2)
        {
            without.tick(clock.now(), share);
            with.tick(clock.now(), share);
        }
        if (random() < 0.001)
            clock.advance(seconds(2));
    }
}

#include "entry/store_waiters.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Turns that wait, on a manual clock whose scheduled functions run in order.
struct store_waiters_fixture
{
    manual_clock clock;
    std::multimap<time_point, std::function<void()>> scheduled;
    bool lost = true;
    std::map<store_wait_end, int> counted;
    /// How each turn's wait ended, in order, and when.
    std::vector<std::pair<std::string, store_wait_end>> ended;
    std::vector<time_point> ended_at;
    store_waiters waiters{
        clock.fn(),
        {[this](duration after, std::function<void()> what)
         { scheduled.emplace(clock.now() + after, std::move(what)); },
         [this] { return lost; },
         [this](store_wait_end how) { ++counted[how]; }}};

    /// \param finish_in time in which the program should end; zero if it does
    /// not matter
    store_waiter turn(
        std::string const& name, duration finish_in = duration(0),
        std::uint32_t rank = 0, duration wait = seconds(2))
    {
        store_waiter to;
        to.until = clock.now() + wait;
        if (finish_in.count() != 0)
            to.finish_by = clock.now() + finish_in;
        to.rank = rank;
        to.on_end = [this, name](store_wait_end how)
        {
            ended.emplace_back(name, how);
            ended_at.push_back(clock.now());
        };
        return to;
    }

    void advance(duration by)
    {
        auto const end = clock.now() + by;
        while (!scheduled.empty() && scheduled.begin()->first <= end)
        {
            auto const next = scheduled.begin();
            auto const what = std::move(next->second);
            clock.advance(std::max(next->first - clock.now(), duration(0)));
            scheduled.erase(next);
            what();
        }
        clock.advance(end - clock.now());
    }

    void recover()
    {
        lost = false;
        waiters.store_recovered();
    }

    std::vector<std::string> released() const
    {
        std::vector<std::string> names;
        for (auto const& [name, how] : ended)
        {
            if (how == store_wait_end::released)
                names.push_back(name);
        }
        return names;
    }
};

} // namespace

// Turns that all go on in the millisecond in which the store returns would
// meet in its queues and in those of the engines.
TEST_CASE_METHOD(
    store_waiters_fixture, "store waiters: turns are released 10 ms apart")
{
    for (int i = 0; i < 5; ++i)
        waiters.add(turn(std::to_string(i)));
    advance(seconds(1));
    CHECK(ended.empty());
    recover();
    advance(seconds(1));
    REQUIRE(released().size() == 5);
    for (std::size_t i = 1; i < ended_at.size(); ++i)
        CHECK(ended_at[i] - ended_at[i - 1] == milliseconds(10));
    CHECK(waiters.size() == 0);
    CHECK(counted[store_wait_end::released] == 5);
}

// A turn whose program is late already would delay one that can still end in
// time.
TEST_CASE_METHOD(
    store_waiters_fixture,
    "store waiters: turns whose programs can end in time go first")
{
    waiters.add(turn("late, rank 1", milliseconds(300), 1));
    waiters.add(turn("late", milliseconds(200), 0));
    waiters.add(turn("no time set, rank 2", duration(0), 2));
    waiters.add(turn("no time set", duration(0), 0));
    waiters.add(turn("9 s left", seconds(9), 0));
    waiters.add(turn("3 s left, rank 1", seconds(3), 1));
    waiters.add(turn("3 s left", seconds(3), 0));
    waiters.add(turn("becomes late", milliseconds(1'300), 0));
    advance(seconds(1));
    recover();
    advance(seconds(1));
    CHECK(
        released() == std::vector<std::string>{
                          "3 s left", "3 s left, rank 1", "9 s left",
                          "no time set", "no time set, rank 2", "late",
                          "becomes late", "late, rank 1"});
}

// A turn that runs after its caller has left spends its program's budget for
// nothing.
TEST_CASE_METHOD(
    store_waiters_fixture, "store waiters: a wait ends at its time")
{
    waiters.add(turn("short", duration(0), 0, milliseconds(400)));
    waiters.add(turn("long", duration(0), 0, milliseconds(900)));
    advance(milliseconds(399));
    CHECK(ended.empty());
    advance(milliseconds(1));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].first == "short");
    CHECK(ended[0].second == store_wait_end::expired);
    recover();
    advance(milliseconds(100));
    CHECK(released() == std::vector<std::string>{"long"});
    advance(seconds(5));
    CHECK(ended.size() == 2);
}

TEST_CASE_METHOD(
    store_waiters_fixture,
    "store waiters: a turn whose time ends during the release does not run")
{
    for (int i = 0; i < 20; ++i)
        waiters.add(turn(std::to_string(i), duration(0), 0, seconds(1)));
    advance(milliseconds(905));
    recover();
    advance(seconds(1));
    // Released at 905, 915, ... 995 ms.
    CHECK(counted[store_wait_end::released] == 10);
    CHECK(counted[store_wait_end::expired] == 10);
    CHECK(ended.size() == 20);
}

// Turns that are released into the next outage would run without being stored.
TEST_CASE_METHOD(
    store_waiters_fixture,
    "store waiters: the release stops while the store is lost again")
{
    for (int i = 0; i < 6; ++i)
        waiters.add(turn(std::to_string(i)));
    recover();
    advance(milliseconds(25));
    CHECK(released().size() == 3);
    lost = true;
    advance(milliseconds(500));
    CHECK(released().size() == 3);
    CHECK(waiters.size() == 3);
    recover();
    advance(milliseconds(25));
    CHECK(released().size() == 6);
}

TEST_CASE_METHOD(
    store_waiters_fixture,
    "store waiters: a return between two releases does not double their pace")
{
    for (int i = 0; i < 10; ++i)
        waiters.add(turn(std::to_string(i)));
    recover();
    advance(milliseconds(15));
    lost = true;
    recover();
    advance(milliseconds(10));
    CHECK(released().size() == 3);
}

// Without a bound a node would hold 17 KB for each turn that arrives during an
// outage.
TEST_CASE_METHOD(store_waiters_fixture, "store waiters: at most 256 turns wait")
{
    std::optional<store_waiters::ticket> first;
    for (int i = 0; i < 256; ++i)
    {
        auto const added = waiters.add(turn(std::to_string(i)));
        REQUIRE(added);
        if (!first)
            first = added;
    }
    CHECK_FALSE(waiters.add(turn("too many")));
    CHECK(counted[store_wait_end::full] == 1);
    waiters.remove(*first, store_wait_end::left);
    CHECK(waiters.add(turn("fits")));
    CHECK(waiters.size() == 256);
}

TEST_CASE_METHOD(
    store_waiters_fixture, "store waiters: a removed turn is not called back")
{
    auto const left = waiters.add(turn("left"));
    waiters.add(turn("stays"));
    REQUIRE(left);
    waiters.remove(*left, store_wait_end::left);
    CHECK(counted[store_wait_end::left] == 1);
    recover();
    advance(seconds(3));
    CHECK(released() == std::vector<std::string>{"stays"});
    CHECK(ended.size() == 1);
    // It has ended already, and must not be counted twice.
    waiters.remove(*left, store_wait_end::left);
    CHECK(counted[store_wait_end::left] == 1);
}

// Callers whose turns stay at a stopping node would not reach another one in
// time.
TEST_CASE_METHOD(
    store_waiters_fixture, "store waiters: a stop ends all waits at once")
{
    waiters.add(turn("1"));
    waiters.add(turn("2"));
    waiters.stop();
    REQUIRE(ended.size() == 2);
    CHECK(ended[0].second == store_wait_end::stopping);
    CHECK(ended[1].second == store_wait_end::stopping);
    CHECK_FALSE(waiters.add(turn("3")));
    recover();
    advance(seconds(3));
    CHECK(ended.size() == 2);
}

TEST_CASE_METHOD(
    store_waiters_fixture,
    "store waiters: a turn added after the store's return does not wait for "
    "the next one")
{
    lost = false;
    waiters.add(turn("1"));
    advance(milliseconds(10));
    CHECK(released().size() == 1);
}

// The program's coordinator notices the store's return up to 0.6 s after this
// node. A turn that is released again at once would ask it each 10 ms and hold
// up the others.
TEST_CASE_METHOD(
    store_waiters_fixture,
    "store waiters: a turn that is checked again does not hold up others")
{
    recover();
    CHECK(waiters.is_recovering());
    auto again = turn("again", seconds(1));
    again.not_before = waiters.next_recheck();
    waiters.add(std::move(again));
    waiters.add(turn("1", seconds(5)));
    waiters.add(turn("2", seconds(5)));
    advance(milliseconds(20));
    CHECK(released() == std::vector<std::string>{"1", "2"});
    advance(milliseconds(90));
    CHECK(released() == std::vector<std::string>{"1", "2", "again"});
    advance(seconds(1));
    CHECK_FALSE(waiters.is_recovering());
}

TEST_CASE_METHOD(
    store_waiters_fixture,
    "store waiters: a released turn may wait again in its callback")
{
    auto one = turn("1");
    bool again = false;
    one.on_end = [&](store_wait_end)
    {
        if (std::exchange(again, true))
            return;
        lost = true;
        waiters.add(turn("again"));
    };
    waiters.add(std::move(one));
    waiters.add(turn("2"));
    recover();
    advance(milliseconds(500));
    CHECK(waiters.size() == 2);
    recover();
    advance(milliseconds(500));
    CHECK(released() == std::vector<std::string>{"2", "again"});
}

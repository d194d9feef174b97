#include "entry/recent_idle_timeouts.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("idle timeouts: a longer one stays in force for a minute")
{
    recent_idle_timeouts recent;
    time_point const start{};
    CHECK(recent.longest(milliseconds(500), start) == milliseconds(500));
    recent.add(milliseconds(9'000), start);
    recent.add(milliseconds(2'000), start + seconds(30));
    auto const longest = [&](seconds after)
    { return recent.longest(milliseconds(500), start + after); };
    CHECK(longest(seconds(60)) == milliseconds(9'000));
    CHECK(longest(seconds(61)) == milliseconds(2'000));
    CHECK(longest(seconds(91)) == milliseconds(500));
}

TEST_CASE("idle timeouts: a shorter one that ended later is not forgotten")
{
    recent_idle_timeouts recent;
    time_point const start{};
    recent.add(milliseconds(1'000), start);
    recent.add(milliseconds(3'000), start + seconds(10));
    CHECK(
        recent.longest(milliseconds(0), start + seconds(65)) ==
        milliseconds(3'000));
}

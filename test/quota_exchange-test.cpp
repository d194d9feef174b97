#include "quota_world.hpp"

#include "entry/load_summary.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

workspace_name const small("small");
workspace_name const large("large");
workspace_name const greedy("greedy");

/// One that stays below its limit, as most do, a large one, and one that sends
/// ten times what it may.
void add_loads(quota_world& world)
{
    world.add_load({small, {4, 4}, 2});
    world.add_load({large, {300, 300}, 190});
    world.add_load({greedy, {30, 30}, 300});
}

void check_windows(quota_world const& world)
{
    for (auto const& owner : {small, large, greedy})
    {
        auto const& seen = world.result(owner);
        INFO(owner.str());
        CHECK(
            static_cast<double>(seen.most_in_window) <= seen.allowed_in_window);
    }
}

/// Part of what a single bucket would have granted.
double served(quota_world const& world, workspace_name const& owner)
{
    auto const& seen = world.result(owner);
    return static_cast<double>(seen.granted) /
           static_cast<double>(seen.granted_centrally);
}

quota_world_options options_of(std::size_t nodes, std::uint64_t seed)
{
    quota_world_options to;
    to.nodes = nodes;
    to.strong = nodes / 4;
    to.seed = seed;
    return to;
}

} // namespace

TEST_CASE("quota exchange: in calm each workspace gets what one bucket grants")
{
    for (auto const nodes : {std::size_t{1}, std::size_t{85}, std::size_t{390}})
    {
        INFO(nodes << " nodes");
        quota_world world(options_of(nodes, 1));
        add_loads(world);
        world.play(seconds(30));
        check_windows(world);
        CHECK(served(world, small) > 0.98);
        CHECK(served(world, large) > 0.98);
        CHECK(served(world, greedy) > 0.9);
        CHECK(world.result(small).over_limit <= 2);
        CHECK(world.result(greedy).over_limit > 7'000);
    }
}

TEST_CASE(
    "quota exchange: a killed coordinator is stood in for, and comes back")
{
    quota_world world(options_of(85, 2));
    add_loads(world);
    world.play(seconds(10));
    auto const at = world.coordinator_of(greedy);
    world.kill(at);
    world.play(seconds(4));
    world.start(at);
    world.play(seconds(10));
    check_windows(world);
    CHECK(served(world, greedy) > 0.9);
    CHECK(served(world, large) > 0.95);
}

TEST_CASE("quota exchange: a frozen coordinator wakes with its old belief")
{
    quota_world world(options_of(85, 3));
    add_loads(world);
    for (int i = 0; i < 4; ++i)
    {
        world.play(seconds(4));
        auto const at = world.coordinator_of(greedy);
        world.freeze(at);
        world.play(seconds(3));
        world.wake(at);
    }
    world.play(seconds(6));
    check_windows(world);
}

TEST_CASE("quota exchange: the smaller side of a partition grants little")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        quota_world world(options_of(85, seed));
        add_loads(world);
        world.play(seconds(8));
        std::set<std::size_t> some;
        for (std::size_t i = 0; i < 14; ++i)
            some.insert((i * 6 + seed) % 85);
        some.insert(world.coordinator_of(greedy));
        world.cut(some);
        world.play(milliseconds(5'500));
        world.heal();
        world.play(seconds(8));
        INFO("seed " << seed);
        check_windows(world);
        CHECK(served(world, large) > 0.9);
    }
}

TEST_CASE("quota exchange: all nodes start anew with limits nearly used")
{
    quota_world world(options_of(85, 4));
    add_loads(world);
    world.play(seconds(10));
    for (std::size_t i = 0; i < world.nodes(); ++i)
        world.kill(i);
    world.play(milliseconds(200));
    for (std::size_t i = 0; i < world.nodes(); ++i)
        world.start(i);
    world.play(seconds(10));
    check_windows(world);
    CHECK(served(world, small) > 0.9);
}

TEST_CASE("quota exchange: a lower limit binds in the next window")
{
    quota_world world(options_of(85, 5));
    add_loads(world);
    world.play(seconds(10));
    world.set_limit(greedy, {2, 2});
    world.play(seconds(15));
    auto const& seen = world.result(greedy);
    CHECK(seen.allowed_in_window < 40);
    world.set_limit(greedy, {400, 400});
    auto const before = seen.granted;
    world.play(seconds(10));
    CHECK(seen.granted - before > 2'800);
}

TEST_CASE("quota exchange: drawn faults never let a window pass its limit")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        quota_world world(options_of(85, seed));
        add_loads(world);
        auto const random = seeded_random(seed * 7'919);
        auto const any = [&]
        {
            return static_cast<std::size_t>(
                random() * static_cast<double>(world.nodes()));
        };
        for (int step = 0; step < 12; ++step)
        {
            auto const at =
                random() < 0.5 ? world.coordinator_of(greedy) : any();
            world.play(milliseconds(500 + static_cast<int>(random() * 2'000)));
            auto const drawn = random();
            if (drawn < 0.35)
            {
                world.kill(at);
                world.play(milliseconds(static_cast<int>(random() * 4'000)));
                world.start(at);
            }
            else if (drawn < 0.7)
            {
                world.freeze(at);
                world.play(milliseconds(static_cast<int>(random() * 4'000)));
                world.wake(at);
            }
            else
            {
                std::set<std::size_t> some{at};
                for (int i = 0; i < 13; ++i)
                    some.insert(any());
                world.cut(some);
                world.play(milliseconds(static_cast<int>(random() * 6'000)));
                world.heal();
            }
        }
        world.play(seconds(5));
        INFO("seed " << seed);
        check_windows(world);
    }
}

TEST_CASE("quota exchange: unlimited workspaces take no message")
{
    quota_world world(options_of(85, 6));
    world.add_load({small, {}, 100});
    world.play(seconds(10));
    CHECK(world.messages() == 0);
    CHECK(world.result(small).granted > 900);
}

TEST_CASE("quota message: what is encoded is decoded, other bytes are not")
{
    quota_message one;
    one.verb = quota_verb::answer;
    one.node = "n1";
    one.number = 7;
    one.request = {small, {3.5, 9}};
    one.configuration = 12;
    one.hops = 1;
    one.answer = {quota_decision::over_limit, milliseconds(120)};
    auto const bytes = encode(one);
    auto const got = decode_quota_message(bytes);
    REQUIRE(got);
    CHECK(got->verb == one.verb);
    CHECK(got->node == "n1");
    CHECK(got->number == 7);
    CHECK(got->request.owner == small);
    CHECK(got->request.limit == one.request.limit);
    CHECK(got->configuration == 12);
    CHECK(got->hops == 1);
    CHECK(got->answer.decision == quota_decision::over_limit);
    CHECK(got->answer.retry_after == milliseconds(120));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(
            decode_quota_message(std::string_view(bytes).substr(0, size)));
    one.request.limit.per_second = -1;
    CHECK_FALSE(decode_quota_message(encode(one)));
    one.request.limit.per_second = 1;
    one.verb = static_cast<quota_verb>(9);
    CHECK_FALSE(decode_quota_message(encode(one)));
}

TEST_CASE("quota message: one on limits is none on loads, nor the other way")
{
    quota_message one;
    one.node = "n1";
    one.request = {small, {3.5, 9}};
    CHECK_FALSE(decode_load_message(encode(one)));
    load_message report;
    report.asks = true;
    report.node = "n1";
    report.report.nodes = 7;
    auto const bytes = encode(report);
    CHECK_FALSE(decode_quota_message(bytes));
    REQUIRE(decode_load_message(bytes));
    CHECK(decode_load_message(bytes)->report.nodes == 7);
}

#include "entry/program_home.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

namespace
{

using namespace walnutmill;
using std::chrono::seconds;

struct homes_fixture
{
    manual_clock clock;

    static program_homes node(std::string const& self, int nodes)
    {
        program_homes homes(self);
        std::vector<home_candidate> others;
        for (int i = 0; i < nodes; ++i)
        {
            auto const name = "n" + std::to_string(i);
            if (name != self)
                others.push_back({name, "10.0.0.1:1"});
        }
        homes.set_nodes(std::move(others));
        return homes;
    }

    std::string
    home(program_homes const& at, std::string const& self, int program) const
    {
        auto const* found =
            at.home_of("p" + std::to_string(program), clock.now());
        return found == nullptr ? self : found->node;
    }
};

} // namespace

TEST_CASE_METHOD(homes_fixture, "homes: nodes that know the same nodes agree")
{
    auto const one = node("n0", 13);
    auto const two = node("n5", 13);
    std::map<std::string, int> programs;
    for (int i = 0; i < 1'300; ++i)
    {
        REQUIRE(home(one, "n0", i) == home(two, "n5", i));
        ++programs[home(one, "n0", i)];
    }
    CHECK(programs.size() == 13);
    for (auto const& [name, count] : programs)
        CHECK(count < 200);
}

TEST_CASE_METHOD(
    homes_fixture, "homes: one that does not answer is passed over for a while")
{
    auto homes = node("n0", 13);
    int program = 0;
    while (home(homes, "n0", program) == "n0")
        ++program;
    auto const first = home(homes, "n0", program);
    homes.did_not_answer(first, clock.now());
    CHECK(home(homes, "n0", program) != first);
    clock.advance(seconds(3));
    CHECK(home(homes, "n0", program) == first);
}

TEST_CASE_METHOD(homes_fixture, "homes: a node alone is every program's home")
{
    auto const homes = node("n0", 1);
    CHECK(home(homes, "n0", 1) == "n0");
}

namespace
{

/// 54 nodes of half a core and 241 of an eighth.
struct unequal_fixture
{
    manual_clock clock;

    static bool is_strong(std::string const& node) { return node[0] == 's'; }

    static program_homes homes(double power)
    {
        home_options options;
        options.own_strength = 0.12;
        options.strength_power = power;
        program_homes to("w0", options);
        std::vector<home_candidate> others;
        others.reserve(294);
        for (int i = 0; i < 54; ++i)
            others.push_back({"s" + std::to_string(i), "10.0.0.1:1", 0.5});
        for (int i = 1; i < 241; ++i)
            others.push_back({"w" + std::to_string(i), "10.0.0.1:1", 0.12});
        to.set_nodes(std::move(others));
        return to;
    }

    /// \return keys of a thousand whose home is a strong node
    int strong_homes(program_homes const& at) const
    {
        int strong = 0;
        for (int i = 0; i < 1'000; ++i)
        {
            auto const* home =
                at.home_of("key" + std::to_string(i), clock.now());
            strong += home != nullptr && is_strong(home->node) ? 1 : 0;
        }
        return strong;
    }
};

} // namespace

TEST_CASE_METHOD(
    unequal_fixture, "homes: many duties fall to nodes by their strength")
{
    // 27 of the fleet's 56 cores are strong nodes'.
    auto const strong = strong_homes(homes(1));
    CHECK(strong > 400);
    CHECK(strong < 570);
}

TEST_CASE_METHOD(
    unequal_fixture, "homes: a single duty is kept off the weak nodes")
{
    CHECK(strong_homes(homes(single_duty_power)) > 950);
}

TEST_CASE_METHOD(
    unequal_fixture, "homes: a node that states no strength counts as weakest")
{
    program_homes at("w0", {});
    at.set_nodes({{"old", "10.0.0.1:1", 0}, {"new", "10.0.0.1:1", 1}});
    int old_homes = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        auto const* home = at.home_of("key" + std::to_string(i), clock.now());
        old_homes += home != nullptr && home->node == "old" ? 1 : 0;
    }
    CHECK(old_homes < 10);
}

TEST_CASE_METHOD(
    unequal_fixture, "homes: with the first ones silent a later one is found")
{
    auto at = homes(1);
    std::set<std::string> tried;
    for (int i = 0; i < 20; ++i)
    {
        auto const* home = at.home_of("key", clock.now());
        if (home == nullptr)
            break;
        CHECK(tried.insert(home->node).second);
        at.did_not_answer(home->node, clock.now());
    }
    CHECK(tried.size() > 4);
    clock.advance(seconds(3));
    CHECK(tried.count(at.home_of("key", clock.now())->node) == 1);
}

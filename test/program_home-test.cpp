#include "entry/program_home.hpp"

#include <catch2/catch.hpp>

#include <map>
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

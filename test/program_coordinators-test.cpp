#include "entry/program_coordinators.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

namespace
{

using namespace walnutmill;
using std::chrono::seconds;

struct coordinators_fixture
{
    manual_clock clock;

    static program_coordinators node(std::string const& self, int nodes)
    {
        program_coordinators coordinators(self);
        std::vector<coordinator_candidate> others;
        for (int i = 0; i < nodes; ++i)
        {
            auto const name = "n" + std::to_string(i);
            if (name != self)
                others.push_back({name, "10.0.0.1:1"});
        }
        coordinators.set_nodes(std::move(others));
        return coordinators;
    }

    std::string coordinator(
        program_coordinators const& at, std::string const& self,
        int program) const
    {
        auto const* found =
            at.coordinator_of("p" + std::to_string(program), clock.now());
        return found == nullptr ? self : found->node;
    }
};

} // namespace

TEST_CASE_METHOD(
    coordinators_fixture, "homes: nodes that know the same nodes agree")
{
    auto const one = node("n0", 13);
    auto const two = node("n5", 13);
    std::map<std::string, int> programs;
    for (int i = 0; i < 1'300; ++i)
    {
        REQUIRE(coordinator(one, "n0", i) == coordinator(two, "n5", i));
        ++programs[coordinator(one, "n0", i)];
    }
    CHECK(programs.size() == 13);
    for (auto const& [name, count] : programs)
        CHECK(count < 200);
}

TEST_CASE_METHOD(
    coordinators_fixture,
    "homes: an unresponsive node is skipped for a limited time")
{
    auto coordinators = node("n0", 13);
    int program = 0;
    while (coordinator(coordinators, "n0", program) == "n0")
        ++program;
    auto const first = coordinator(coordinators, "n0", program);
    coordinators.mark_unresponsive(first, clock.now());
    CHECK(coordinator(coordinators, "n0", program) != first);
    clock.advance(seconds(3));
    CHECK(coordinator(coordinators, "n0", program) == first);
}

TEST_CASE_METHOD(
    coordinators_fixture, "homes: a single node coordinates every program")
{
    auto const coordinators = node("n0", 1);
    CHECK(coordinator(coordinators, "n0", 1) == "n0");
}

namespace
{

/// 54 nodes with 0.5 cores and 241 with 0.12.
struct unequal_capacity_fixture
{
    manual_clock clock;

    static bool is_strong(std::string const& node) { return node[0] == 's'; }

    static program_coordinators with_power(double power)
    {
        coordinator_options options;
        options.own_capacity_weight = 0.12;
        options.capacity_exponent = power;
        program_coordinators result("w0", options);
        std::vector<coordinator_candidate> others;
        others.reserve(294);
        for (int i = 0; i < 54; ++i)
            others.push_back({"s" + std::to_string(i), "10.0.0.1:1", 0.5});
        for (int i = 1; i < 241; ++i)
            others.push_back({"w" + std::to_string(i), "10.0.0.1:1", 0.12});
        result.set_nodes(std::move(others));
        return result;
    }

    /// \return how many of a thousand keys have a strong coordinator
    int count_strong_coordinators(program_coordinators const& at) const
    {
        int strong = 0;
        for (int i = 0; i < 1'000; ++i)
        {
            auto const* coordinator =
                at.coordinator_of("key" + std::to_string(i), clock.now());
            strong +=
                coordinator != nullptr && is_strong(coordinator->node) ? 1 : 0;
        }
        return strong;
    }
};

} // namespace

TEST_CASE_METHOD(
    unequal_capacity_fixture,
    "homes: many duties are distributed by capacity weight")
{
    // The strong nodes have 27 of the 56 cores of all nodes.
    auto const strong = count_strong_coordinators(with_power(1));
    CHECK(strong > 400);
    CHECK(strong < 570);
}

TEST_CASE_METHOD(
    unequal_capacity_fixture, "homes: a single duty is kept off the weak nodes")
{
    CHECK(count_strong_coordinators(with_power(single_duty_exponent)) > 950);
}

TEST_CASE_METHOD(
    unequal_capacity_fixture,
    "homes: a node without a capacity weight counts as the weakest")
{
    program_coordinators at("w0", {});
    at.set_nodes({{"old", "10.0.0.1:1", 0}, {"new", "10.0.0.1:1", 1}});
    int old_node_keys = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        auto const* coordinator =
            at.coordinator_of("key" + std::to_string(i), clock.now());
        old_node_keys +=
            coordinator != nullptr && coordinator->node == "old" ? 1 : 0;
    }
    CHECK(old_node_keys < 10);
}

TEST_CASE_METHOD(
    unequal_capacity_fixture,
    "homes: if the first nodes do not answer a later one is selected")
{
    auto at = with_power(1);
    std::set<std::string> tried;
    for (int i = 0; i < 20; ++i)
    {
        auto const* coordinator = at.coordinator_of("key", clock.now());
        if (coordinator == nullptr)
            break;
        CHECK(tried.insert(coordinator->node).second);
        at.mark_unresponsive(coordinator->node, clock.now());
    }
    CHECK(tried.size() > 4);
    clock.advance(seconds(3));
    CHECK(tried.count(at.coordinator_of("key", clock.now())->node) == 1);
}

TEST_CASE_METHOD(
    coordinators_fixture,
    "homes: the node below is the one that would replace this one")
{
    constexpr int nodes = 13;
    for (int i = 0; i < 200; ++i)
    {
        auto const key = "p" + std::to_string(i);
        std::string top;
        for (int one = 0; one < nodes && top.empty(); ++one)
        {
            auto const name = "n" + std::to_string(one);
            if (node(name, nodes).is_top_ranked(key))
                top = name;
        }
        auto first = node(top, nodes);
        auto const* below = first.next_below(key, clock.now());
        REQUIRE(below != nullptr);
        auto second = node(below->node, nodes);
        CHECK(first.nodes_above(key) == 0);
        CHECK(second.nodes_above(key) == 1);
        CHECK(second.ranks_above(top, key));
        CHECK_FALSE(first.ranks_above(below->node, key));
        second.mark_unresponsive(top, clock.now());
        CHECK(second.coordinator_of(key, clock.now()) == nullptr);
        first.mark_unresponsive(below->node, clock.now());
        auto const* third = first.next_below(key, clock.now());
        REQUIRE(third != nullptr);
        CHECK(third->node == second.next_below(key, clock.now())->node);
    }
    CHECK(node("n0", 1).next_below("p1", clock.now()) == nullptr);
}

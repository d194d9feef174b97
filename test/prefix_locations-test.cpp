#include "entry/prefix_locations.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

prefix_cache_location
at(std::string const& part, std::uint32_t tokens, std::string const& engine)
{
    return {part, tokens, target_name(engine)};
}

struct locations_fixture
{
    manual_clock clock;
    prefix_locations locations{clock.fn(), {2, seconds(5), 3}};
    program_id const program{"p1"};

    /// \return the program's locations as PART:TOKENS@ENGINE.
    std::vector<std::string> known_locations(std::string const& id = "p1") const
    {
        std::vector<std::string> to;
        for (auto const& one : locations.locations_of(program_id(id)))
            to.push_back(
                one.part + ":" + std::to_string(one.tokens) + "@" +
                one.engine.id.str());
        return to;
    }
};

using strings = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(
    locations_fixture,
    "prompt places: a conversation keeps the location of its latest turn")
{
    locations.record_location(program, at("line", 500, "e1"));
    locations.record_location(program, at("line", 900, "e2"));
    CHECK(known_locations() == strings{"line:900@e2"});
    CHECK(known_locations("p2").empty());
}

TEST_CASE_METHOD(
    locations_fixture,
    "prompt places: the latest conversations of a program are kept")
{
    locations.record_location(program, at("own", 500, "e1"));
    locations.record_location(program, at("first", 100, "e2"));
    locations.record_location(program, at("own", 700, "e1"));
    locations.record_location(program, at("second", 100, "e3"));
    CHECK(known_locations() == strings{"own:700@e1", "second:100@e3"});
}

TEST_CASE_METHOD(
    locations_fixture, "prompt places: a program without turns is removed")
{
    locations.record_location(program, at("line", 500, "e1"));
    clock.advance(seconds(4));
    locations.record_location(program_id("p2"), at("line", 500, "e1"));
    clock.advance(seconds(2));
    locations.sweep();
    CHECK(known_locations().empty());
    CHECK(known_locations("p2").size() == 1);
}

TEST_CASE_METHOD(
    locations_fixture,
    "prompt places: programs beyond the maximum are not added")
{
    for (auto const* id : {"p1", "p2", "p3", "p4"})
        locations.record_location(program_id(id), at("line", 500, "e1"));
    CHECK(known_locations("p3").size() == 1);
    CHECK(known_locations("p4").empty());
    locations.record_location(program, at("line", 600, "e1"));
    CHECK(known_locations() == strings{"line:600@e1"});
}

namespace
{

/// Simulates sixteen nodes and twelve engines. The turns of a program arrive
/// through any node, and engines evict nothing from their caches.
struct routing_fixture
{
    static constexpr int nodes = 16;
    static constexpr int engines = 12;
    static constexpr int programs = 60;
    static constexpr int turns = 7;
    static constexpr std::uint32_t shared_tokens = 2'560;
    static constexpr std::uint32_t new_tokens = 550;

    manual_clock clock;
    random_fn random = seeded_random(11);
    std::vector<std::unique_ptr<engine_balancer>> balancers;
    prefix_locations locations{clock.fn()};
    /// Active calls per engine.
    std::map<std::string, std::uint32_t> calls;
    std::map<std::pair<std::string, std::string>, std::uint32_t> cached;
    std::uint64_t prefilled_again = 0;
    int turns_run = 0;

    routing_fixture()
    {
        std::vector<engine_entry> all;
        for (int i = 0; i < engines; ++i)
        {
            engine_entry one;
            one.id = target_name("e" + std::to_string(i));
            one.service = service_name("llm");
            one.address = "10.0.0.1:1";
            one.zone = zone_name("z" + std::to_string(i % 4));
            one.slots = 8;
            all.push_back(one);
        }
        for (int i = 0; i < nodes; ++i)
        {
            balancers.push_back(std::make_unique<engine_balancer>(
                zone_name("z" + std::to_string(i % 4)), clock.fn(),
                seeded_random(static_cast<std::uint64_t>(i) + 1)));
            balancers.back()->set_engines(all);
        }
    }

    engine_balancer& random_node()
    {
        auto const drawn = static_cast<std::size_t>(random() * nodes);
        return *balancers[std::min<std::size_t>(drawn, nodes - 1)];
    }

    void run_turn(int program, int turn, bool coordinator_shares)
    {
        auto& node = random_node();
        program_id const id("p" + std::to_string(program));
        auto const own = static_cast<std::uint32_t>(turn + 1) * new_tokens;
        std::vector<prompt_part> const prompt{
            {"shared", shared_tokens}, {id.str(), own}};
        balancer_request need;
        need.service = service_name("llm");
        need.prompt_tokens = shared_tokens + own;
        need.output_tokens = 34;
        need.prompt = &prompt;
        if (coordinator_shares)
        {
            for (auto const& one : locations.locations_of(id))
                node.add_prefix_location(one);
        }
        auto const to = node.choose(need);
        REQUIRE(to);
        node.sent(to->ref(), need);
        ++turns_run;
        auto& cached_tokens = cached[{to->engine.str(), id.str()}];
        prefilled_again += own - cached_tokens - new_tokens;
        cached_tokens = own;
        node.ended(
            to->ref(), need, engine_outcome::answered, milliseconds(240));
        locations.record_location(id, {id.str(), own, to->ref()});
    }

    /// \return the mean number of history tokens that a turn prefills again.
    double run(bool coordinator_shares)
    {
        for (int turn = 0; turn < turns; ++turn)
        {
            for (int program = 0; program < programs; ++program)
                run_turn(program, turn, coordinator_shares);
            clock.advance(milliseconds(300));
        }
        return static_cast<double>(prefilled_again) / turns_run;
    }
};

/// Maximum mean number of history tokens that a turn may prefill again. Reading
/// 55 tokens takes half a millisecond at 110 tokens per millisecond, which is a
/// hundredth of the shortest turn.
constexpr double max_prefilled_again = 55;

} // namespace

TEST_CASE_METHOD(
    routing_fixture,
    "prompt places: turns through any node run where their prefix is cached")
{
    CHECK(run(true) <= max_prefilled_again);
}

TEST_CASE_METHOD(
    routing_fixture,
    "prompt places: without them prompts are prefilled repeatedly")
{
    CHECK(run(false) > 10 * max_prefilled_again);
}

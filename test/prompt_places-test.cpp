#include "entry/prompt_places.hpp"

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

prompt_place
at(std::string const& part, std::uint32_t tokens, std::string const& engine)
{
    return {part, tokens, target_name(engine)};
}

struct places_fixture
{
    manual_clock clock;
    prompt_places places{clock.fn(), {2, seconds(5), 3}};
    program_id const program{"p1"};

    /// \return the parts that are known of the program, with their engines.
    std::vector<std::string> known(std::string const& id = "p1") const
    {
        std::vector<std::string> to;
        for (auto const& one : places.of(program_id(id)))
            to.push_back(
                one.part + ":" + std::to_string(one.tokens) + "@" +
                one.engine.id.str());
        return to;
    }
};

using strings = std::vector<std::string>;

} // namespace

TEST_CASE_METHOD(
    places_fixture, "prompt places: a line's latest turn stands for the line")
{
    places.note(program, at("line", 500, "e1"));
    places.note(program, at("line", 900, "e2"));
    CHECK(known() == strings{"line:900@e2"});
    CHECK(known("p2").empty());
}

TEST_CASE_METHOD(
    places_fixture, "prompt places: the latest lines of a program are kept")
{
    places.note(program, at("own", 500, "e1"));
    places.note(program, at("first", 100, "e2"));
    places.note(program, at("own", 700, "e1"));
    places.note(program, at("second", 100, "e3"));
    CHECK(known() == strings{"own:700@e1", "second:100@e3"});
}

TEST_CASE_METHOD(
    places_fixture, "prompt places: a program without turns is forgotten")
{
    places.note(program, at("line", 500, "e1"));
    clock.advance(seconds(4));
    places.note(program_id("p2"), at("line", 500, "e1"));
    clock.advance(seconds(2));
    places.sweep();
    CHECK(known().empty());
    CHECK(known("p2").size() == 1);
}

TEST_CASE_METHOD(
    places_fixture, "prompt places: programs beyond the bound are not taken in")
{
    for (auto const* id : {"p1", "p2", "p3", "p4"})
        places.note(program_id(id), at("line", 500, "e1"));
    CHECK(known("p3").size() == 1);
    CHECK(known("p4").empty());
    places.note(program, at("line", 600, "e1"));
    CHECK(known() == strings{"line:600@e1"});
}

namespace
{

/// Sixteen nodes before twelve engines; the turns of each program come through
/// any node. Engines keep all that they read.
struct lines_fixture
{
    static constexpr int nodes = 16;
    static constexpr int engines = 12;
    static constexpr int programs = 60;
    static constexpr int turns = 7;
    static constexpr std::uint32_t shared_tokens = 2'560;
    static constexpr std::uint32_t new_tokens = 550;

    manual_clock clock;
    random_fn random = seeded_random(11);
    std::vector<std::unique_ptr<engine_board>> boards;
    prompt_places places{clock.fn()};
    /// Calls under way at engines.
    std::map<std::string, std::uint32_t> calls;
    std::map<std::pair<std::string, std::string>, std::uint32_t> cached;
    std::uint64_t read_again = 0;
    int turns_run = 0;

    lines_fixture()
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
            boards.push_back(std::make_unique<engine_board>(
                zone_name("z" + std::to_string(i % 4)), clock.fn(),
                seeded_random(static_cast<std::uint64_t>(i) + 1)));
            boards.back()->set_engines(all);
        }
    }

    engine_board& any_node()
    {
        auto const drawn = static_cast<std::size_t>(random() * nodes);
        return *boards[std::min<std::size_t>(drawn, nodes - 1)];
    }

    void run_turn(int program, int turn, bool home_tells)
    {
        auto& node = any_node();
        program_id const id("p" + std::to_string(program));
        auto const own = static_cast<std::uint32_t>(turn + 1) * new_tokens;
        std::vector<prompt_part> const prompt{
            {"shared", shared_tokens}, {id.str(), own}};
        placement_need need;
        need.service = service_name("llm");
        need.prompt_tokens = shared_tokens + own;
        need.output_tokens = 34;
        need.prompt = &prompt;
        if (home_tells)
        {
            for (auto const& one : places.of(id))
                node.learn(one);
        }
        auto const to = node.choose(need);
        REQUIRE(to);
        node.sent(to->ref(), need);
        ++turns_run;
        auto& held = cached[{to->engine.str(), id.str()}];
        read_again += own - held - new_tokens;
        held = own;
        node.ended(
            to->ref(), need, engine_outcome::answered, milliseconds(240));
        places.note(id, {id.str(), own, to->ref()});
    }

    /// \return the tokens of histories that a turn reads again, on average.
    double play(bool home_tells)
    {
        for (int turn = 0; turn < turns; ++turn)
        {
            for (int program = 0; program < programs; ++program)
                run_turn(program, turn, home_tells);
            clock.advance(milliseconds(300));
        }
        return static_cast<double>(read_again) / turns_run;
    }
};

/// The most tokens of a history that may be read again a turn: reading 55 takes
/// half a millisecond at 110 tokens a millisecond, a hundredth of the least
/// that a turn lasts.
constexpr double read_again_at_most = 55;

} // namespace

TEST_CASE_METHOD(
    lines_fixture,
    "prompt places: turns through any node go on where their line lies")
{
    CHECK(play(true) <= read_again_at_most);
}

TEST_CASE_METHOD(
    lines_fixture,
    "prompt places: without them histories are read again and again")
{
    CHECK(play(false) > 10 * read_again_at_most);
}

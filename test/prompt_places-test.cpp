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

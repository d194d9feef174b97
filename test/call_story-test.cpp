#include "entry/call_story.hpp"

#include <catch2/catch.hpp>

#include <sstream>

namespace
{

using namespace walnutmill;

struct story_fixture
{
    call_story story{"r1"};

    void read(std::string const& text)
    {
        std::istringstream in(text);
        story.read(in);
    }
    std::string told() const
    {
        std::string all;
        for (auto const& line : story.tell())
            all += line + "\n";
        return all;
    }
};

} // namespace

TEST_CASE_METHOD(story_fixture, "story: an id that no line bears has none")
{
    read(R"({"time_ms":1,"node":"a","event":"call.ended","request":"r2"})");
    CHECK(story.tell().empty());
}

TEST_CASE_METHOD(
    story_fixture, "story: lines of several nodes are told in order of time")
{
    read(
        R"(  2.0 a {"time_ms":2000,"node":"a","event":"call.ended","request":"r1","status":503,"why":"the engines are full","ms":5}
noise
{"time_ms":1500,"node":"b","event":"call.attempt","request":"r1","engine":"e1","outcome":"broke off"}
{"time_ms":1000,"node":"b","event":"engine.draining","engine":"e1"}
{"time_ms":1100,"node":"b","event":"engine.draining","engine":"e2"}
{"time_ms":1200,"node":"a","event":"store.lost","why":"no answer"}
{"time_ms":1300,"node":"c","event":"store.lost","why":"no answer"})");
    auto const lines = story.tell();
    REQUIRE(lines.size() == 4);
    CHECK(lines[0].find("engine.draining engine=e1") != std::string::npos);
    CHECK(lines[1].find("a  store.lost") != std::string::npos);
    CHECK(lines[2].find("outcome=broke off") != std::string::npos);
    CHECK(lines[3].find("why=the engines are full") != std::string::npos);
}

TEST_CASE_METHOD(story_fixture, "story: what happened long before is left out")
{
    read(
        R"({"time_ms":1000,"node":"a","event":"store.lost","why":"no answer"}
{"time_ms":90000,"node":"a","event":"call.ended","request":"r1","status":502})");
    CHECK(story.tell().size() == 1);
}

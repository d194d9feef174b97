#include "entry/call_trace.hpp"

#include <catch2/catch.hpp>

#include <sstream>

namespace
{

using namespace walnutmill;

struct trace_fixture
{
    call_trace trace{"r1"};

    void read(std::string const& text)
    {
        std::istringstream in(text);
        trace.read(in);
    }
    std::string all_lines() const
    {
        std::string all;
        for (auto const& line : trace.format_lines())
            all += line + "\n";
        return all;
    }
};

} // namespace

TEST_CASE_METHOD(
    trace_fixture, "story: is empty for an ID that no line contains")
{
    read(R"({"time_ms":1,"node":"a","event":"call.ended","request":"r2"})");
    CHECK(trace.format_lines().empty());
}

TEST_CASE_METHOD(
    trace_fixture, "story: lines of several nodes are sorted by time")
{
    read(
        R"(  2.0 a {"time_ms":2000,"node":"a","event":"call.ended","request":"r1","status":503,"why":"the engines are full","ms":5}
noise
{"time_ms":1500,"node":"b","event":"call.attempt","request":"r1","engine":"e1","outcome":"broke off"}
{"time_ms":1000,"node":"b","event":"engine.draining","engine":"e1"}
{"time_ms":1100,"node":"b","event":"engine.draining","engine":"e2"}
{"time_ms":1200,"node":"a","event":"store.lost","why":"no answer"}
{"time_ms":1300,"node":"c","event":"store.lost","why":"no answer"})");
    auto const lines = trace.format_lines();
    REQUIRE(lines.size() == 4);
    CHECK(lines[0].find("engine.draining engine=e1") != std::string::npos);
    CHECK(lines[1].find("a  store.lost") != std::string::npos);
    CHECK(lines[2].find("outcome=broke off") != std::string::npos);
    CHECK(lines[3].find("why=the engines are full") != std::string::npos);
}

TEST_CASE_METHOD(trace_fixture, "story: excludes events long before the call")
{
    read(
        R"({"time_ms":1000,"node":"a","event":"store.lost","why":"no answer"}
{"time_ms":90000,"node":"a","event":"call.ended","request":"r1","status":502})");
    CHECK(trace.format_lines().size() == 1);
}

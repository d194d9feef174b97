#include "entry/line_log.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <unistd.h>

namespace
{

using namespace walnutmill;
using nlohmann::json;
using std::chrono::seconds;

struct log_fixture
{
    manual_clock clock;
    std::string output;
    bool blocked = false;
    log_limits limits{4'096, 10, 20};
    line_log log{
        "n1", clock.fn(),
        [this](std::string_view bytes) -> std::size_t
        {
            if (blocked)
                return 0;
            output.append(bytes);
            return bytes.size();
        },
        limits};

    std::vector<json> lines() const
    {
        std::vector<json> all;
        std::istringstream in(output);
        for (std::string line; std::getline(in, line);)
            all.push_back(json::parse(line));
        return all;
    }
};

} // namespace

TEST_CASE_METHOD(log_fixture, "log: a line contains node, event and fields")
{
    log.write(log_priority::routine, "call.ended", {{"request", "r1"}});
    log.flush();
    REQUIRE(lines().size() == 1);
    CHECK(lines()[0]["node"] == "n1");
    CHECK(lines()[0]["event"] == "call.ended");
    CHECK(lines()[0]["request"] == "r1");
}

TEST_CASE_METHOD(
    log_fixture,
    "log: lines over the rate limit are dropped, counted and reported")
{
    for (int i = 0; i < 30; ++i)
        log.write(log_priority::routine, "call.ended", {{"i", i}});
    CHECK(log.dropped() == 20);
    clock.advance(seconds(2));
    log.write(log_priority::routine, "call.ended", {{"i", 31}});
    log.flush();
    auto const all = lines();
    CHECK(all.size() == 12);
    CHECK(all[10]["event"] == "log.dropped");
    CHECK(all[10]["lines"] == 20);
}

TEST_CASE_METHOD(
    log_fixture, "log: important lines fit when routine lines are dropped")
{
    blocked = true;
    for (int second = 0; second < 40; ++second)
    {
        for (int i = 0; i < 10; ++i)
            log.write(log_priority::routine, "call.ended", {{"i", i}});
        clock.advance(seconds(1));
    }
    auto const dropped = log.dropped();
    CHECK(dropped > 0);
    log.write(log_priority::important, "store.lost", {{"why", "no answer"}});
    CHECK(log.dropped() == dropped);
}

TEST_CASE_METHOD(
    log_fixture, "log: bytes that are not UTF-8 do not break a line")
{
    log.write(
        log_priority::important, "call.ended",
        {{"request", std::string("\xff\xfe\n\"")}});
    log.flush();
    CHECK(lines().size() == 1);
}

TEST_CASE("log: a pipe that nobody reads does not block the sink")
{
    int ends[2] = {-1, -1};
    REQUIRE(::pipe(ends) == 0);
    auto const sink = descriptor_sink(ends[1]);
    std::string const line(1'000, 'x');
    std::size_t taken = 0;
    // Far more than the capacity of a pipe: a blocking write would never
    // return.
    for (int i = 0; i < 1'000; ++i)
        taken += sink(line);
    CHECK(taken < 200'000);
    ::close(ends[0]);
    ::close(ends[1]);
}

/// \file
/// Versions of a configuration that follow each other: each decodes to what it
/// decodes to alone, though routes that have not changed are not decoded again.

#include "platform/documents.hpp"

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using nlohmann::json;

struct configuration_decoder_fixture
{
    platform::configuration_decoder decoder;
    json document{
        {"version", 1},
        {"routes", json::array()},
        {"services",
         {{{"name", "llm"}, {"engine", {{"slots", 12}}}}, {{"name", "apps"}}}},
        {"limits", {{"max_body_bytes", 1'000}}},
        {"tenants", {{{"name", "archive"}, {"api_keys", {"key-1"}}}}}};
    findings problems;

    static json route_of(std::string const& name, std::string const& service)
    {
        return {{"name", name},        {"host", "a.example"},
                {"kind", "stream"},    {"prefix", "/" + name + "/"},
                {"service", service},  {"resumable", true},
                {"timeout_ms", 3'000}, {"target_latency_ms", 200},
                {"priority", 1},       {"max_attempts", 3},
                {"public", true}};
    }

    static bool equal(route const& a, route const& b)
    {
        auto const same_share =
            [](route_share const& one, route_share const& other)
        { return one.service == other.service && one.weight == other.weight; };
        return a.name == b.name && a.host == b.host && a.prefix == b.prefix &&
               a.repeats == b.repeats && a.streams == b.streams &&
               a.resumable == b.resumable && a.timeout == b.timeout &&
               a.target_latency == b.target_latency &&
               a.silence_limit == b.silence_limit &&
               a.max_engines == b.max_engines && a.rank == b.rank &&
               a.open == b.open &&
               std::equal(
                   a.shares.begin(), a.shares.end(), b.shares.begin(),
                   b.shares.end(), same_share);
    }

    /// Decodes the document after those before, and alone.
    void check()
    {
        auto const one = decoder.decode(document.dump(), problems);
        auto const alone =
            platform::decode_configuration(document.dump(), problems);
        REQUIRE(problems.empty());
        REQUIRE(one);
        REQUIRE(alone);
        CHECK(one->version == document["version"].get<std::uint64_t>());
        CHECK(one->services.size() == 2);
        CHECK(one->limits.max_body_bytes == 1'000);
        REQUIRE(one->workspaces);
        REQUIRE(one->routes.size() == document["routes"].size());
        CHECK(std::equal(
            one->routes.begin(), one->routes.end(), alone->routes.begin(),
            alone->routes.end(), equal));
    }
};

/// \return processor time of this thread that the function takes
template<class Function>
duration processor_time(Function const& function)
{
    auto const now = []
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::duration_cast<duration>(
            std::chrono::seconds(time.tv_sec) +
            std::chrono::nanoseconds(time.tv_nsec));
    };
    auto const began = now();
    function();
    return now() - began;
}

} // namespace

TEST_CASE_METHOD(
    configuration_decoder_fixture,
    "configuration decoder: each of a series of versions decodes as it does "
    "alone")
{
    auto const random = seeded_random(7);
    auto const below = [&random](std::size_t end)
    { return static_cast<std::size_t>(random() * static_cast<double>(end)); };
    auto& routes = document["routes"];
    for (int version = 2; version <= 200; ++version)
    {
        document["version"] = version;
        auto const service = version % 3 == 0 ? "llm" : "apps";
        auto const name = "r" + std::to_string(below(40));
        if (routes.empty() || random() < 0.5)
            routes.push_back(route_of(name, service));
        else if (random() < 0.5)
            routes[below(routes.size())]["service"] = service;
        else
            routes.erase(below(routes.size()));
        check();
    }
}

TEST_CASE_METHOD(
    configuration_decoder_fixture,
    "configuration decoder: an invalid version leaves the next one intact")
{
    document["routes"] = {route_of("a", "llm"), route_of("b", "apps")};
    check();
    auto invalid = document;
    invalid["routes"][1].erase("host");
    CHECK_FALSE(decoder.decode(invalid.dump(), problems));
    CHECK_FALSE(problems.empty());
    problems = {};
    document["routes"][0]["service"] = "apps";
    check();
}

TEST_CASE_METHOD(
    configuration_decoder_fixture,
    "configuration decoder: documents that are no configuration are rejected")
{
    document["routes"] = {route_of("a", "llm")};
    auto const valid = document.dump();
    std::vector<std::string> invalid{
        "",
        "7",
        "[]",
        "{}",
        valid + "x",
        valid + valid,
        valid.substr(1),
        valid.substr(0, valid.size() - 1)};
    for (auto const* member : {"version", "routes", "services"})
    {
        auto without = document;
        without.erase(member);
        invalid.push_back(without.dump());
        without[member] = "text";
        invalid.push_back(without.dump());
    }
    for (auto const& text : invalid)
    {
        INFO(text);
        findings found;
        CHECK_FALSE(decoder.decode(text, found));
        CHECK_FALSE(found.empty());
    }
}

TEST_CASE_METHOD(
    configuration_decoder_fixture,
    "configuration decoder: a change of one route takes under half the time "
    "of the whole")
{
    constexpr int routes = 4'200;
    for (int i = 0; i < routes; ++i)
        document["routes"].push_back(route_of("r" + std::to_string(i), "apps"));
    auto const text = document.dump();
    auto const whole = processor_time([&] { decoder.decode(text, problems); });
    auto least = duration::max();
    for (int version = 2; version <= 6; ++version)
    {
        document["version"] = version;
        document["routes"][version]["service"] = "llm";
        auto const changed = document.dump();
        least = std::min(
            least, processor_time([&] { decoder.decode(changed, problems); }));
    }
    REQUIRE(problems.empty());
    CHECK(least * 2 < whole);
}

// A route that bears a shorter silence than assumed loses the callers of turns
// that wait; an unreadable field would lose the whole configuration.
TEST_CASE_METHOD(
    configuration_decoder_fixture,
    "configuration decoder: the silence that callers bear follows from the "
    "route's aims")
{
    auto const limit_of = [this](json const& latency, json const& gap)
    {
        auto one = route_of("kept", "llm");
        one.erase("target_latency_ms");
        if (!latency.is_null())
            one["target_latency_ms"] = latency;
        if (!gap.is_null())
            one["gap_aim_ms"] = gap;
        document["routes"] = json::array({one});
        auto const decoded =
            platform::decode_configuration(document.dump(), problems);
        REQUIRE(problems.empty());
        REQUIRE(decoded);
        return decoded->routes.front().silence_limit.count();
    };
    CHECK(limit_of(nullptr, nullptr) == 2'000);
    CHECK(limit_of(250, nullptr) == 2'000);
    CHECK(limit_of(600, nullptr) == 2'400);
    CHECK(limit_of(250, 400) == 3'200);
    CHECK(limit_of(900, 400) == 3'600);
    CHECK(limit_of(250, 100) == 2'000);
    CHECK(limit_of(250, -5) == 2'000);
    CHECK(limit_of(250, "fast") == 2'000);
    CHECK(limit_of(250, json::object()) == 2'000);
    CHECK(limit_of(250, 1e15) == 480'000);
}

#include "entry/load_summary.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct summary_fixture
{
    manual_clock clock;
    load_summary summary;

    std::uint32_t calls_at(std::uint32_t key)
    {
        for (auto const& [one, calls] : summary.sum(clock.now()).calls)
        {
            if (one == key)
                return calls;
        }
        return 0;
    }
};

} // namespace

TEST_CASE_METHOD(summary_fixture, "load summary: calls of all nodes add up")
{
    summary.set("a", {{{1, 3}, {2, 1}}, {}}, clock.now());
    summary.set("b", {{{1, 4}}, {}}, clock.now());
    CHECK(calls_at(1) == 7);
    CHECK(calls_at(2) == 1);
}

TEST_CASE_METHOD(
    summary_fixture, "load summary: a node's report replaces its previous one")
{
    summary.set("a", {{{1, 3}}, {}}, clock.now());
    summary.set("a", {{{2, 5}}, {}}, clock.now());
    CHECK(calls_at(1) == 0);
    CHECK(calls_at(2) == 5);
}

TEST_CASE_METHOD(
    summary_fixture,
    "load summary: the report of a node that stopped reporting expires")
{
    summary.set("a", {{{1, 3}}, {}}, clock.now());
    clock.advance(seconds(2));
    summary.set("b", {{{1, 4}}, {}}, clock.now());
    CHECK(calls_at(1) == 4);
}

TEST_CASE_METHOD(
    summary_fixture, "load summary: outcomes add up where calls failed")
{
    summary.set("a", {{}, {{1, 100, 40}, {2, 0, 300}}}, clock.now());
    summary.set("b", {{}, {{1, 50, 20}, {2, 0, 100}}}, clock.now());
    auto const outcomes = summary.sum(clock.now()).outcomes;
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].engine == 1);
    CHECK(outcomes[0].failed == 150);
    CHECK(outcomes[0].answered == 60);
}

TEST_CASE("load message: encoding and decoding preserve all fields")
{
    load_message const sent{
        true, "n1", 7, {{{11, 2}, {4'000'000'000U, 9}}, {{11, 250, 40}}}};
    auto const got = decode_load_message(encode(sent));
    REQUIRE(got);
    CHECK(got->is_report);
    CHECK(got->node == "n1");
    CHECK(got->number == 7);
    CHECK(got->report.calls == sent.report.calls);
    REQUIRE(got->report.outcomes.size() == 1);
    CHECK(got->report.outcomes[0].engine == 11);
    CHECK(got->report.outcomes[0].failed == 250);
    CHECK(got->report.outcomes[0].answered == 40);
}

TEST_CASE("load message: a message of an earlier version has no outcomes")
{
    // [true, "n1", 7, [11, 2]]
    std::string const bytes{'\x84', '\xf5', '\x62', 'n',   '1',
                            '\x07', '\x82', '\x0b', '\x02'};
    auto const got = decode_load_message(bytes);
    REQUIRE(got);
    CHECK(got->report.calls == engine_counts{{11, 2}});
    CHECK(got->report.outcomes.empty());
}

TEST_CASE("load message: malformed bytes are rejected")
{
    CHECK_FALSE(decode_load_message("hello"));
    CHECK_FALSE(decode_load_message(""));
    auto bytes = encode({true, "n1", 7, {{{11, 2}}, {{11, 1, 2}}}});
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        CHECK_FALSE(decode_load_message(bytes.substr(0, cut)));
}

TEST_CASE_METHOD(summary_fixture, "load summary: demand of all nodes adds up")
{
    summary.set("a", {{}, {}, {{1, 100}, {2, 50}}}, clock.now());
    summary.set("b", {{}, {}, {{1, 20}}}, clock.now());
    std::uint32_t calls = 0;
    for (auto const& one : summary.sum(clock.now()).demand)
        calls += one.key == 1 ? one.calls : 0;
    CHECK(calls == 120);
}

TEST_CASE_METHOD(
    summary_fixture, "load summary: the encoded sum is cached for a short time")
{
    summary.set("a", {{{1, 3}}, {}}, clock.now());
    auto const first = summary.encoded_sum(clock.now());
    summary.set("b", {{{1, 4}}, {}}, clock.now());
    CHECK(summary.encoded_sum(clock.now()) == first);
    clock.advance(encoded_sum_lifetime);
    CHECK(summary.encoded_sum(clock.now()) != first);
}

TEST_CASE_METHOD(
    summary_fixture,
    "load summary: the encoded sum is valid as a message's report")
{
    summary.set("a", {{{1, 3}}, {{1, 100, 200}}, {{5, 70}}}, clock.now());
    auto const got = decode_load_message(
        encode_message(false, "n1", 9, summary.encoded_sum(clock.now())));
    REQUIRE(got);
    CHECK_FALSE(got->is_report);
    CHECK(got->node == "n1");
    CHECK(got->number == 9);
    CHECK(got->report.calls == engine_counts{{1, 3}});
    REQUIRE(got->report.outcomes.size() == 1);
    CHECK(got->report.outcomes[0].failed == 100);
    REQUIRE(got->report.demand.size() == 1);
    CHECK(got->report.demand[0].key == 5);
    CHECK(got->report.demand[0].calls == 70);
}

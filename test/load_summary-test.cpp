#include "entry/load_summary.hpp"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

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

namespace
{

std::string from_hex(std::string const& hex)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(
            static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return bytes;
}

load_message message_without_speeds()
{
    return {true, "n1", 7, {{{11, 2}}, {{11, 250, 40}}, {{5, 70}}, 3}};
}

/// The bytes of message_without_speeds() that versions without speeds send.
constexpr char const* seven_elements = "87f5626e3107820b02830b18fa182882051846"
                                       "03";

load_message message_with_speeds()
{
    auto message = message_without_speeds();
    message.report.speeds.figures = {{0x01020304, 250, 40}, {5, 100, 0}};
    message.report.speeds.speeds = {{0x0a0b0c0d, 300, 200}};
    return message;
}

nlohmann::json to_json(std::string const& bytes)
{
    return nlohmann::json::from_cbor(bytes);
}

std::string to_text(nlohmann::json const& message)
{
    auto const bytes = nlohmann::json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

} // namespace

TEST_CASE("load message: without speeds the bytes are those of before")
{
    CHECK(encode(message_without_speeds()) == from_hex(seven_elements));
}

TEST_CASE("load message: speeds are the eighth and ninth element")
{
    auto expected = from_hex(seven_elements);
    expected[0] = '\x89';
    // Two figures: key, percent, age in units of 5 ms.
    expected += from_hex("4e0102030400fa0800000005006400");
    // A speed: key, mean ratio in thousandths, calls in hundredths.
    expected += from_hex("480a0b0c0d05dc00c8");
    CHECK(encode(message_with_speeds()) == expected);
}

TEST_CASE("load message: encoding and decoding preserve speeds")
{
    auto const got = decode_load_message(encode(message_with_speeds()));
    REQUIRE(got);
    auto const& speeds = got->report.speeds;
    REQUIRE(speeds.figures);
    REQUIRE(speeds.figures->size() == 2);
    CHECK((*speeds.figures)[0].engine == 0x01020304);
    CHECK((*speeds.figures)[0].percent == 250);
    CHECK((*speeds.figures)[0].age_ms == 40);
    REQUIRE(speeds.speeds.size() == 1);
    CHECK(speeds.speeds[0].engine == 0x0a0b0c0d);
    CHECK(speeds.speeds[0].ratio_hundredths == 300);
    CHECK(speeds.speeds[0].calls_hundredths == 200);
}

TEST_CASE("load message: figures of no engine differ from no figures")
{
    auto message = message_without_speeds();
    message.report.speeds.speeds = {{1, 300, 200}};
    auto const without = decode_load_message(encode(message));
    REQUIRE(without);
    CHECK_FALSE(without->report.speeds.figures);
    CHECK(without->report.speeds.speeds.size() == 1);
    message.report.speeds.figures.emplace();
    auto const with = decode_load_message(encode(message));
    REQUIRE(with);
    REQUIRE(with->report.speeds.figures);
    CHECK(with->report.speeds.figures->empty());
    CHECK(with->report.speeds.speeds.size() == 1);
}

TEST_CASE("load message: the seven elements are the same beside speeds")
{
    // An earlier version reads elements by their position and ignores others.
    auto const with = to_json(encode(message_with_speeds()));
    auto const without = to_json(encode(message_without_speeds()));
    REQUIRE(without.size() == 7);
    REQUIRE(with.size() == 9);
    for (std::size_t i = 0; i < without.size(); ++i)
        CHECK(with[i] == without[i]);
}

TEST_CASE("load message: unknown further elements are ignored")
{
    // An object, a text, a time with a tag, an undefined value and a reserved
    // initial byte. The JSON library can't parse the last three.
    for (auto const* further :
         {"a1656c6174657281fb4004000000000000", "6474657874", "c11a514b67b0",
          "f7", "1f"})
    {
        CAPTURE(further);
        auto bytes = encode(message_with_speeds()) + from_hex(further);
        bytes[0] = '\x8a';
        auto const got = decode_load_message(bytes);
        REQUIRE(got);
        CHECK(got->report.calls == engine_counts{{11, 2}});
        CHECK(got->report.nodes == 3);
        REQUIRE(got->report.speeds.figures);
        CHECK(got->report.speeds.figures->size() == 2);
        CHECK(got->report.speeds.speeds.size() == 1);
        // Such an element in place of the speeds leaves the loads readable.
        bytes = from_hex(seven_elements) + from_hex(further);
        bytes[0] = '\x88';
        auto const loads = decode_load_message(bytes);
        REQUIRE(loads);
        CHECK(loads->report.nodes == 3);
        CHECK_FALSE(loads->report.speeds.figures);
    }
}

TEST_CASE("load message: malformed speeds leave the loads readable")
{
    using nlohmann::json;
    for (auto const& content :
         {json(7), json("text"), json::array({1, 2}), json::object(), json(),
          json::binary({1, 2, 3, 4, 5, 6, 7, 8, 9})})
    {
        auto message = to_json(encode(message_with_speeds()));
        message[7] = content;
        message[8] = content;
        auto const got = decode_load_message(to_text(message));
        REQUIRE(got);
        CHECK(got->report.calls == engine_counts{{11, 2}});
        CHECK_FALSE(got->report.speeds.figures);
        CHECK(got->report.speeds.speeds.empty());
    }
}

TEST_CASE("load message: figures outside 1 to 10,000 count as absent")
{
    auto message = to_json(encode(message_with_speeds()));
    message[7] = nlohmann::json::binary(
        {0, 0, 0, 1, 0,    0,    0, 0, 0, 0, 2, 0x27, 0x11, 0,
         0, 0, 0, 3, 0x27, 0x10, 0, 0, 0, 0, 4, 0,    1,    0});
    auto const got = decode_load_message(to_text(message));
    REQUIRE(got);
    auto const& figures = got->report.speeds.figures;
    REQUIRE(figures);
    REQUIRE(figures->size() == 2);
    CHECK((*figures)[0].percent == 10'000);
    CHECK((*figures)[1].percent == 1);
}

TEST_CASE("load message: speeds beyond the bounds of a datagram are cut off")
{
    auto message = message_without_speeds();
    message.report.speeds.figures.emplace(1'000, machine_figure{1, 250, 0});
    message.report.speeds.speeds.assign(1'000, {1, 200, 100});
    auto const got = decode_load_message(encode(message));
    REQUIRE(got);
    CHECK(got->report.speeds.figures->size() == max_sum_figures);
    CHECK(got->report.speeds.speeds.size() == max_sum_speeds);
}

TEST_CASE("load message: speeds of many calls keep their mean")
{
    auto message = message_without_speeds();
    message.report.speeds.speeds = {{1, 4'000'000'000U, 2'000'000'000U}};
    auto const got = decode_load_message(encode(message));
    REQUIRE(got);
    REQUIRE(got->report.speeds.speeds.size() == 1);
    auto const& one = got->report.speeds.speeds[0];
    CHECK(one.calls_hundredths == 65'535);
    CHECK(one.ratio_hundredths == 131'070);
}

TEST_CASE_METHOD(
    summary_fixture, "load summary: the shared sum of loads contains no speeds")
{
    load_report report{{{1, 3}}, {}};
    auto const before = encode(report);
    report.speeds.figures = {{1, 250, 0}};
    report.speeds.speeds = {{1, 200, 100}};
    summary.set("a", report, clock.now());
    CHECK(encode(report) == before);
    auto const sum = decode_load_message(
        encode_message(false, "n1", 9, summary.encoded_sum(clock.now())));
    REQUIRE(sum);
    CHECK_FALSE(sum->report.speeds.figures);
    CHECK(sum->report.speeds.speeds.empty());
    auto const with = decode_load_message(encode_message(
        false, "n1", 9, summary.encoded_sum(clock.now()),
        encode(summary.speeds.next_for("b", clock.now()))));
    REQUIRE(with);
    CHECK(with->report.calls == engine_counts{{1, 3}});
    CHECK(with->report.speeds.figures->size() == 1);
    CHECK(with->report.speeds.speeds.size() == 1);
}

TEST_CASE_METHOD(
    summary_fixture,
    "load summary: figures outlast the next report of the same node")
{
    load_report report{{{1, 3}}, {}};
    report.speeds.figures = {{1, 250, 0}};
    summary.set("a", report, clock.now());
    clock.advance(milliseconds(20));
    summary.set("a", {{{1, 4}}, {}}, clock.now());
    auto const figures = summary.speeds.next_for("b", clock.now()).figures;
    REQUIRE(figures);
    REQUIRE(figures->size() == 1);
    CHECK((*figures)[0].age_ms == 20);
}

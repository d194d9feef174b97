#include "entry/event_stream.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;

struct splitter_fixture
{
    event_splitter splitter;
};

} // namespace

TEST_CASE_METHOD(
    splitter_fixture, "events: a complete event is split off with id and data")
{
    auto const events = splitter.feed("id: 7\ndata: hello\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == 7);
    CHECK(events[0].data == "hello");
    CHECK(events[0].text == "id: 7\ndata: hello\n\n");
    CHECK_FALSE(splitter.partial());
}

TEST_CASE_METHOD(
    splitter_fixture, "events: bytes fed one at a time give the same events")
{
    std::string const text = "id: 1\r\ndata: a\r\ndata: "
                             "b\r\n\r\nweight-versions: 3\nid:2\ndata:c\n\n";
    std::vector<server_sent_event> events;
    for (char const one : text)
    {
        for (auto& event : splitter.feed(std::string_view(&one, 1)))
            events.push_back(event);
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].data == "a\nb");
    CHECK(events[1].id == 2);
    CHECK(events[1].data == "c");
    CHECK(events[0].text + events[1].text == text);
}

TEST_CASE_METHOD(
    splitter_fixture, "events: an incomplete event is held back and reported")
{
    CHECK(splitter.feed("id: 1\ndata: half").empty());
    CHECK(splitter.partial());
}

namespace
{

/// Feeds a text in pieces until it ends or an event is too long.
struct endless_event_fixture
{
    static constexpr std::size_t piece_bytes = 64;

    event_splitter splitter;
    std::size_t most_held = 0;
    std::size_t fed = 0;
    std::size_t events = 0;

    void feed(std::string const& piece, std::size_t total)
    {
        for (fed = 0; fed < total && !splitter.too_long(); fed += piece.size())
        {
            events += splitter.feed(piece).size();
            most_held = std::max(most_held, splitter.buffered_bytes());
        }
    }
};

/// Splits by a search from the beginning of each event.
std::vector<std::string> split_simply(std::string_view text)
{
    std::vector<std::string> events;
    while (!text.empty())
    {
        auto const lf = text.find("\n\n");
        auto const crlf = text.find("\n\r\n");
        if (lf == std::string_view::npos && crlf == std::string_view::npos)
            break;
        auto const end = crlf < lf ? crlf + 3 : lf + 2;
        events.emplace_back(text.substr(0, end));
        text.remove_prefix(end);
    }
    return events;
}

} // namespace

TEST_CASE_METHOD(
    endless_event_fixture, "events: one without end is dropped at its limit")
{
    auto const* const piece =
        GENERATE("data: ", "x", "data: x\n", ": x\n", ":");
    feed(piece, 4 * max_event_bytes);
    CHECK(splitter.too_long());
    CHECK(fed <= max_event_bytes + std::string(piece).size());
    CHECK(most_held <= max_event_bytes);
    CHECK(splitter.buffered_bytes() == 0);
    CHECK_FALSE(splitter.receives_event_after(std::nullopt));
    CHECK(splitter.feed("\n\nid: 9\ndata: late\n\n").empty());
    CHECK(splitter.buffered_bytes() == 0);
}

TEST_CASE_METHOD(
    endless_event_fixture, "events: each byte of a long event is searched once")
{
    feed(std::string(piece_bytes, 'x'), max_event_bytes);
    CHECK(events == 0);
    CHECK(splitter.searched_bytes() == max_event_bytes);
    splitter.feed("\n\n");
    CHECK(splitter.searched_bytes() == max_event_bytes + 2);
}

TEST_CASE_METHOD(
    endless_event_fixture,
    "events: a chunk of many small events is searched once")
{
    std::string chunk;
    while (chunk.size() < max_event_bytes)
        chunk += "\r\n\n";
    CHECK(splitter.feed(chunk).size() == chunk.size() / 3);
    CHECK(splitter.searched_bytes() == chunk.size());
}

TEST_CASE_METHOD(
    endless_event_fixture,
    "events: one of the greatest allowed size is passed on in any division")
{
    std::string const text =
        "data: " + std::string(max_event_bytes - 8, 'x') + "\n\n";
    REQUIRE(text.size() == max_event_bytes);
    auto const size = GENERATE(1'460U, 16'384U, 1'048'576U);
    std::size_t complete = 0;
    for (std::size_t at = 0; at < text.size(); at += size)
        complete +=
            splitter.feed(std::string_view(text).substr(at, size)).size();
    CHECK(complete == 1);
    CHECK_FALSE(splitter.too_long());
    CHECK(splitter.feed("x" + text).empty());
    CHECK(splitter.too_long());
}

TEST_CASE_METHOD(
    splitter_fixture, "events: only data of a later event are received as new")
{
    std::optional<std::uint64_t> const last = 4;
    splitter.feed(": a comment\nid: 5\nretry: 3\n");
    CHECK_FALSE(splitter.receives_event_after(last));
    splitter.feed("data: begin");
    CHECK(splitter.receives_event_after(last));
    CHECK_FALSE(splitter.receives_event_after(5));
    CHECK(splitter.receives_event_after(std::nullopt));
    splitter.feed(" and end\n\nid: 4\ndata: old\n");
    CHECK_FALSE(splitter.receives_event_after(last));
}

TEST_CASE_METHOD(splitter_fixture, "events: any division gives the same events")
{
    std::mt19937 random(20'261'204);
    static constexpr std::string_view letters = "\n\n\n\r\r:dx";
    for (int round = 0; round < 2'000; ++round)
    {
        std::string text;
        for (auto left = random() % 60; left > 0; --left)
            text.push_back(letters[random() % letters.size()]);
        event_splitter divided;
        std::vector<std::string> got;
        for (std::string_view rest = text; !rest.empty();)
        {
            auto const size =
                std::min<std::size_t>(1 + random() % 7, rest.size());
            for (auto const& one : divided.feed(rest.substr(0, size)))
                got.push_back(one.text);
            rest.remove_prefix(size);
        }
        INFO("round " << round);
        CHECK(got == split_simply(text));
    }
}

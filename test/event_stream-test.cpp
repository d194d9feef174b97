#include "entry/event_stream.hpp"

#include <catch2/catch.hpp>

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

#include "entry/event_stream.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;

struct cutter_fixture
{
    event_cutter cutter;
};

} // namespace

TEST_CASE_METHOD(
    cutter_fixture, "events: a whole event is cut with id and data")
{
    auto const events = cutter.feed("id: 7\ndata: hello\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == 7);
    CHECK(events[0].data == "hello");
    CHECK(events[0].text == "id: 7\ndata: hello\n\n");
    CHECK_FALSE(cutter.partial());
}

TEST_CASE_METHOD(
    cutter_fixture, "events: bytes that come one by one make the same events")
{
    std::string const text = "id: 1\r\ndata: a\r\ndata: "
                             "b\r\n\r\nweight-versions: 3\nid:2\ndata:c\n\n";
    std::vector<stream_event> events;
    for (char const one : text)
    {
        for (auto& event : cutter.feed(std::string_view(&one, 1)))
            events.push_back(event);
    }
    REQUIRE(events.size() == 2);
    CHECK(events[0].data == "a\nb");
    CHECK(events[1].id == 2);
    CHECK(events[1].data == "c");
    CHECK(events[0].text + events[1].text == text);
}

TEST_CASE_METHOD(
    cutter_fixture, "events: part of an event is kept back and told")
{
    CHECK(cutter.feed("id: 1\ndata: half").empty());
    CHECK(cutter.partial());
}

#include "entry/origin_message.hpp"

#include <walnutmill/stream_origin.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::seconds;

struct stream_origin_fixture
{
    manual_clock clock;
    stream_origin const first{service_name("llm"), "1.0"};
    stream_origin const second{service_name("llm"), "1.1"};
};

} // namespace

TEST_CASE_METHOD(
    stream_origin_fixture, "stream table: a stream is known for its lifetime")
{
    stream_table table(clock.fn());
    table.put(1, first);
    table.put(2, second);
    CHECK(table.find(1) == first);
    CHECK(table.find(2) == second);
    CHECK_FALSE(table.find(3));
    clock.advance(stream_lifetime - seconds(1));
    table.put(1, first);
    clock.advance(seconds(2));
    CHECK(table.find(1) == first);
    CHECK_FALSE(table.find(2));
    clock.advance(stream_lifetime);
    table.put(4, first);
    CHECK(table.size() == 1);
}

TEST_CASE_METHOD(
    stream_origin_fixture,
    "stream table: callers that never come back do not fill the memory")
{
    stream_table_options options;
    options.max_streams = 100;
    stream_table table(clock.fn(), options);
    for (stream_key stream = 0; stream < 10'000; ++stream)
        table.put(stream, first);
    CHECK(table.size() == 100);
    CHECK(table.find(9'999) == first);
    CHECK_FALSE(table.find(9'899));
    // Renewing one stream without end displaces the others only.
    for (int i = 0; i < 10'000; ++i)
        table.put(1, second);
    CHECK(table.size() == 1);
    CHECK(table.find(1) == second);
}

TEST_CASE_METHOD(
    stream_origin_fixture, "stream table: the newest streams are visited first")
{
    stream_table table(clock.fn());
    for (stream_key stream = 1; stream <= 3; ++stream)
        table.put(stream, first);
    table.put(1, first);
    std::vector<stream_key> visited;
    table.for_each_newest(
        [&visited](stream_key stream, stream_origin const&)
        {
            visited.push_back(stream);
            return visited.size() < 2;
        });
    CHECK(visited == std::vector<stream_key>{1, 3});
}

TEST_CASE("stream key: ids of different workspaces have different keys")
{
    auto const a = scoped_id(workspace_name("a"), "r1");
    auto const b = scoped_id(workspace_name("b"), "r1");
    CHECK(stream_key_of(a) == stream_key_of(a));
    CHECK(stream_key_of(a) != stream_key_of(b));
    CHECK(stream_key_of(a) != stream_key_of("r1"));
}

TEST_CASE_METHOD(
    stream_origin_fixture, "origin message: an encoded message decodes alike")
{
    origin_message message;
    message.type = origin_message_type::answer;
    message.stream = 0xfedcba9876543210;
    message.query = 7;
    message.node = "node-1";
    message.origin = second;
    auto const got = decode_origin_message(encode(message));
    REQUIRE(got);
    CHECK(got->type == message.type);
    CHECK(got->stream == message.stream);
    CHECK(got->query == 7);
    CHECK(got->node == "node-1");
    CHECK(got->origin == second);
    message.origin.reset();
    CHECK(decode_origin_message(encode(message)));
}

TEST_CASE_METHOD(
    stream_origin_fixture,
    "origin message: bytes of other protocols and invalid ones are rejected")
{
    origin_message message;
    message.stream = 1;
    CHECK_FALSE(decode_origin_message(encode(message)));
    message.origin = stream_origin{service_name("llm"), std::string(201, 'v')};
    CHECK_FALSE(decode_origin_message(encode(message)));
    message.origin = first;
    message.type = static_cast<origin_message_type>(9);
    CHECK_FALSE(decode_origin_message(encode(message)));
    message.type = origin_message_type::copy;
    auto const bytes = encode(message);
    REQUIRE(decode_origin_message(bytes));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(
            decode_origin_message(std::string_view(bytes).substr(0, size)));
    CHECK_FALSE(decode_origin_message("\x82\xf5\x01"));
}

TEST_CASE_METHOD(
    stream_origin_fixture,
    "origin message: elements of a later version are ignored")
{
    // A decoder of an exact number of elements drops all messages of nodes that
    // run a later version.
    origin_message message;
    message.type = origin_message_type::answer;
    message.stream = 1;
    message.node = "node-1";
    auto const extended = [&](std::vector<nlohmann::json> const& further)
    {
        auto const bytes = encode(message);
        auto body = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        for (auto const& one : further)
            body.push_back(one);
        auto const longer = nlohmann::json::to_cbor(body);
        return decode_origin_message(std::string(longer.begin(), longer.end()));
    };
    auto const unknown_origin = extended({nullptr, nullptr, "new", 7});
    REQUIRE(unknown_origin);
    CHECK_FALSE(unknown_origin->origin);
    CHECK(unknown_origin->node == "node-1");
    CHECK_FALSE(extended({"llm"}));
    CHECK_FALSE(extended({7, 8}));
    message.origin = second;
    for (auto const& further : std::vector<std::vector<nlohmann::json>>{
             {nullptr}, {7}, {"new", 7, nlohmann::json::object()}})
    {
        auto const got = extended(further);
        REQUIRE(got);
        CHECK(got->origin == second);
    }
}

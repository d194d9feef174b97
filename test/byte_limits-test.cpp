/// \file
/// The limits of what servers may send fit the smallest supported node.

#include "entry/byte_limits.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;

/// The stated target of a node, and the load that it has to bear.
constexpr std::size_t node_memory_bytes = 88'000'000;
constexpr std::size_t calls_at_an_engine = 12;
constexpr std::size_t engines_in_trouble = 5;
constexpr std::size_t honest_head_bytes = 1'024;
constexpr std::size_t tokens_of_an_event = 22;
constexpr std::size_t honest_answer_bytes = 8'388'608;
constexpr std::size_t store_page_bytes = 1'000'000;
constexpr std::size_t page_rows = 500;
constexpr std::size_t configuration_bytes = 1'100'000;

constexpr std::size_t in_base64(std::size_t bytes)
{
    return (bytes + 2) / 3 * 4;
}

} // namespace

TEST_CASE("byte limits: endless answers leave half of a small node's memory")
{
    CHECK(max_held_answer_bytes <= node_memory_bytes / 4);
    CHECK(
        engines_in_trouble * calls_at_an_engine * max_held_stream_bytes <=
        node_memory_bytes / 4);
    CHECK(max_held_reply_bytes <= node_memory_bytes / 10);
}

TEST_CASE("byte limits: honest answers stay below the limits")
{
    CHECK(max_framing_bytes >= 16 * honest_head_bytes);
    CHECK(max_answer_bytes >= honest_answer_bytes);
    CHECK(max_held_answer_bytes >= 2 * max_answer_bytes);
    CHECK(max_skipped_bytes >= honest_answer_bytes);
    // A token has a few bytes, up to six in an escaped form.
    CHECK(max_event_bytes >= 100 * tokens_of_an_event * 6);
    CHECK(max_idle_stream_bytes >= max_event_bytes);
    // Keys, names and numbers of a row in the store's reply.
    constexpr std::size_t row_overhead_bytes = 1'000;
    CHECK(
        max_reply_bytes >=
        in_base64(store_page_bytes) + page_rows * row_overhead_bytes);
    CHECK(max_reply_bytes >= 2 * in_base64(configuration_bytes));
    CHECK(max_held_reply_bytes >= 2 * max_reply_bytes);
}

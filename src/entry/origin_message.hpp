#ifndef WALNUTMILL_SRC_ENTRY_ORIGIN_MESSAGE_HPP
#define WALNUTMILL_SRC_ENTRY_ORIGIN_MESSAGE_HPP

/// \file
/// Datagrams by which nodes copy and look up the origins of streams.

#include <walnutmill/stream_origin.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

enum class origin_message_type : std::uint8_t
{
    /// A copy of a stream's origin, to be kept.
    copy = 1,
    query = 2,
    answer = 3
};

struct origin_message
{
    origin_message_type type = origin_message_type::copy;
    stream_key stream = 0;
    /// Identifies a query of its sender; the answer repeats it.
    std::uint64_t query = 0;
    /// Name of the node that answers; empty in other messages.
    std::string node;
    /// Set in a copy, and in an answer of a node that knows the stream.
    std::optional<stream_origin> origin;
};

std::string encode(origin_message const& message);
/// \return empty if the bytes are not a valid message of this protocol
std::optional<origin_message> decode_origin_message(std::string_view bytes);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_PEER_FRAME_HPP
#define WALNUTMILL_SRC_PEER_FRAME_HPP

/// \file
/// One message between nodes and its CBOR form.

#include <walnutmill/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{
namespace detail
{

/// The numbers are the wire form.
enum class frame_kind
{
    request = 1,
    event = 2,
    reply = 3,
    refused = 4,
    cancel = 5,
    note = 6
};

struct peer_frame
{
    frame_kind kind = frame_kind::note;
    /// The asker's number of the request; zero for a note.
    std::uint64_t request = 0;
    /// Of a request or a note.
    std::string topic;
    std::string body;
    /// Of `refused`.
    refusal error;
};

/// Bytes that a frame may have beyond its body.
constexpr std::size_t max_frame_header_bytes = 1'024;

std::string encode_frame(peer_frame const& frame);
/// \return nullopt where the bytes are not a frame or of a kind that this
/// version does not know. Unknown fields are skipped.
std::optional<peer_frame> decode_frame(std::string_view bytes);

} // namespace detail
} // namespace walnutmill

#endif

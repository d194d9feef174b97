#ifndef WALNUTMILL_SRC_ENTRY_QUOTA_MESSAGE_HPP
#define WALNUTMILL_SRC_ENTRY_QUOTA_MESSAGE_HPP

/// \file
/// Datagrams of the rate-limit protocol between nodes and the coordinator of a
/// workspace, encoded as CBOR arrays.

#include <walnutmill/quota.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

enum class quota_message_type : std::uint8_t
{
    /// Rate-limit request for one token.
    request_token = 1,
    answer = 2,
    /// Returns the token of a granted request that never reached an engine.
    refund = 3,
    /// Reachability probe, answered by `pong`.
    ping = 4,
    pong = 5
};

struct quota_message
{
    quota_message_type type = quota_message_type::request_token;
    /// Name of the sending node.
    std::string node;
    /// Identifies a rate-limit request of its sender; the answer repeats it.
    std::uint64_t request_id = 0;
    /// Its limit is the one of the sender's configuration.
    quota_request request;
    /// Version of the sender's configuration.
    std::uint64_t configuration = 0;
    /// Number of nodes that forwarded the request.
    std::uint32_t hops = 0;
    quota_answer answer;
    /// In an answer: whether its sender, and the node that decided, send
    /// requests for this workspace to the asker because it ranks above them.
    /// Empty if the asker does not, or if the sender does not report it.
    std::optional<bool> asker_is_coordinator{};
};

/// \return an array of 11 elements, or of up to 13 where the answer has a use
/// or reports whether the asker is the coordinator.
/// Decoders read by position and ignore further elements, so that nodes of
/// different versions understand each other.
std::string encode(quota_message const& message);
/// \return empty if the bytes are not a valid message of this protocol.
std::optional<quota_message> decode_quota_message(std::string_view bytes);

} // namespace walnutmill

#endif

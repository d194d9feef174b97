#ifndef WALNUTMILL_SRC_ENTRY_QUOTA_MESSAGE_HPP
#define WALNUTMILL_SRC_ENTRY_QUOTA_MESSAGE_HPP

/// \file
/// Datagrams by which nodes ask a workspace's coordinator for its tokens.

#include <walnutmill/quota.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

enum class quota_verb : std::uint8_t
{
    /// Asks for one request.
    ask = 1,
    answer = 2,
    /// A granted request never reached an engine.
    give_back = 3,
    /// Is the node there?
    ping = 4,
    pong = 5
};

struct quota_message
{
    quota_verb verb = quota_verb::ask;
    /// The sender.
    std::string node;
    /// Names an ask of its sender; its answer bears the same.
    std::uint64_t number = 0;
    /// The limit is what the sender's configuration allows.
    quota_request request;
    /// Version of the sender's configuration.
    std::uint64_t configuration = 0;
    /// Nodes that have passed the ask on.
    std::uint32_t hops = 0;
    quota_answer answer;
};

std::string encode(quota_message const& message);
/// \return empty where the bytes are no such message.
std::optional<quota_message> decode_quota_message(std::string_view bytes);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_GOSSIP_CODEC_HPP
#define WALNUTMILL_SRC_GOSSIP_CODEC_HPP

/// \file
/// The CBOR form of gossip: arrays in place of maps, because the bytes of a
/// message bound how many members it can tell of.

#include <walnutmill/membership.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{
namespace detail
{

/// Stands for a session in beats: the XXH64 of its id.
using member_key = std::uint64_t;

/// What changes all the time of a member.
struct beat
{
    member_key key = 0;
    std::uint64_t counter = 0;
    std::uint64_t configuration = 0;
    load_digest load;
    bool leaving = false;
};

struct gossip_body
{
    /// Where answers go.
    std::string sender;
    /// Highest version of the configuration known to the sender.
    std::uint64_t head = 0;
    std::vector<beat> beats;
    std::vector<member_info> entries;
    std::vector<session_id> fenced;
    /// Sessions whose whole entry the sender asks for.
    std::vector<member_key> wanted;
};

std::string encode_gossip(gossip_body const& body);
/// \return nullopt where the bytes are not such a message. Fields that a
/// later version adds at the end of an array are skipped.
std::optional<gossip_body> decode_gossip(std::string_view bytes);

/// Upper bounds of what an element adds to a message.
std::size_t encoded_bytes(beat const& one, std::uint64_t head);
std::size_t encoded_bytes(member_info const& one);
std::size_t encoded_bytes(session_id const& one);
std::size_t encoded_bytes(member_key one);
/// Bytes of a message without elements.
std::size_t empty_message_bytes(std::string const& sender);

} // namespace detail
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_SESSION_HPP
#define WALNUTMILL_SRC_SESSION_HPP

/// \file
/// The rows of the table by which nodes own shards: one per session, one per
/// shard. Their values are compared as a whole by conditions, so the encoding
/// is canonical.

#include <walnutmill/ids.hpp>
#include <walnutmill/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// One incarnation of a node. Every commit of the node advances `counter`
/// under the condition that the row is as the node left it; whoever sets
/// `fenced` thereby ends all its commits.
struct session_state
{
    session_id id;
    node_name node;
    zone_name zone;
    std::string http_address;
    std::string peer_address;
    std::uint64_t counter = 0;
    /// Id of the transaction that wrote this value.
    std::string transaction;
    /// Version of the configuration that this session has in force.
    std::uint64_t configuration = 0;
    bool leaving = false;
    bool fenced = false;
};

/// Where the records of a shard's epoch lie: in that session's journal.
struct shard_segment
{
    session_id session;
    epoch_number epoch = 0;
};

/// Ownership of a shard and what it takes to rebuild it: the checkpoint, then
/// the records of each segment in order.
struct shard_state
{
    shard_number number = 0;
    /// Empty: nobody has owned it yet.
    session_id owner;
    epoch_number epoch = 0;
    /// Object key of the checkpoint; empty when there is none.
    std::string checkpoint;
    /// The checkpoint holds all records up to this position of that segment.
    epoch_number checkpoint_epoch = 0;
    std::uint64_t checkpoint_counter = 0;
    std::vector<shard_segment> segments;
};

constexpr std::string_view session_prefix = "session/";
constexpr std::string_view shard_prefix = "shard/";

std::string session_key(session_id const& id);
std::string shard_key(shard_number number);
/// Prefix of the journal rows of a session.
std::string journal_prefix(session_id const& id);
/// Key of the journal row that the commit with this counter wrote.
std::string journal_key(session_id const& id, std::uint64_t counter);
/// \return the counter in such a key; zero when it is not one.
std::uint64_t journal_counter(std::string_view key);

std::string encode_session(session_state const& state);
std::string encode_shard(shard_state const& state);
/// \return the state, or errc::internal for a row that is not one.
result<session_state> decode_session(std::string_view text);
result<shard_state> decode_shard(std::string_view text);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_RECOVERY_HPP
#define WALNUTMILL_SRC_RECOVERY_HPP

/// \file
/// Rebuilds shards from their checkpoints and the journals of the sessions
/// that owned them.

#include <walnutmill/platform.hpp>
#include <walnutmill/record.hpp>

#include "session.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace walnutmill
{

/// The records of one shard in order.
struct recovered_shard
{
    shard_state row;
    std::vector<journal_record> records;
};

/// Several shards, often all of one dead node, read together.
struct recovery
{
    std::vector<recovered_shard> shards;
    std::uint64_t bytes_read = 0;
    std::uint64_t reads = 0;
};

/// Reads what is needed for the shards; each journal is scanned once.
/// \return errc::store_unavailable where table or object store do not answer,
/// errc::internal for unreadable records.
result<recovery> recover_shards(
    table_service const& table, object_store const& objects,
    std::vector<shard_state> const& rows);

/// \return the object key of a checkpoint.
std::string
checkpoint_key(shard_number shard, epoch_number epoch, std::uint64_t counter);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_STEWARD_COMMIT_HPP
#define WALNUTMILL_SRC_STEWARD_COMMIT_HPP

/// \file
/// The commit of stewards through the session's journal.

#include <walnutmill/platform.hpp>

#include "journal_duty.hpp"
#include "steward_worker.hpp"

#include <functional>
#include <future>

namespace walnutmill
{

/// Sends a transaction that also holds only while the session is not fenced:
/// journal_duty::exclusive.
using exclusive_fn =
    std::function<std::future<exclusive_status>(exclusive_commit)>;

/// \return the shard whose owner is the target's steward.
shard_number steward_shard(target_name const& target, std::uint32_t shards);

/// \return steward_hooks::commit. The shard's row changes with every
/// checkpoint, so it is read anew and only its owner and epoch decide.
std::function<commit_status(steward_commit const&)> make_steward_commit(
    table_service table, exclusive_fn exclusive, session_id self,
    std::uint32_t shards);

} // namespace walnutmill

#endif

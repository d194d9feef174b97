#ifndef WALNUTMILL_HASH_HPP
#define WALNUTMILL_HASH_HPP

/// \file
/// The one hash that crosses processes: XXH64 from libxxhash, seed zero. Its
/// values are part of the contract between nodes and are tested.

#include <walnutmill/ids.hpp>

#include <cstdint>
#include <string_view>

namespace walnutmill
{

/// \return XXH64 of the bytes.
std::uint64_t stable_hash(std::string_view bytes);

/// \return the shard of a root program.
shard_number shard_of(program_id const& root, std::uint32_t shards);

/// Rendezvous weight of a candidate for a key: the highest wins.
std::uint64_t
rendezvous_weight(std::string_view key, std::string_view candidate);

/// The same of a candidate whose name was hashed before.
std::uint64_t rendezvous_weight(std::string_view key, std::uint64_t candidate);

} // namespace walnutmill

#endif

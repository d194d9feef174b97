#include <walnutmill/hash.hpp>

#include <xxhash.h>

namespace walnutmill
{

std::uint64_t stable_hash(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

shard_number shard_of(program_id const& root, std::uint32_t shards)
{
    return static_cast<shard_number>(stable_hash(root.str()) % shards);
}

std::uint64_t
rendezvous_weight(std::string_view key, std::string_view candidate)
{
    return rendezvous_weight(key, stable_hash(candidate));
}

std::uint64_t rendezvous_weight(std::string_view key, std::uint64_t candidate)
{
    // The candidate's hash seeds the key's, so that no separator is needed.
    return XXH64(key.data(), key.size(), candidate);
}

} // namespace walnutmill

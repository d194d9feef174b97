#ifndef WALNUTMILL_SRC_ENTRY_COMPRESSION_HPP
#define WALNUTMILL_SRC_ENTRY_COMPRESSION_HPP

/// \file
/// Compression of what nodes send each other, by zlib. A configuration of many
/// routes shrinks to a tenth.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

struct compressed_bytes
{
    /// Size of the original.
    std::uint64_t size = 0;
    std::string bytes;
};

compressed_bytes compress(std::string_view original);

/// \return the original; empty if the bytes are invalid, or if it is larger
/// than the limit
std::optional<std::string>
decompress(compressed_bytes const& from, std::size_t max_bytes);

} // namespace walnutmill

#endif

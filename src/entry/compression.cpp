#include "entry/compression.hpp"

#include <zlib.h>

namespace walnutmill
{
namespace
{

Bytef const* input(std::string_view bytes)
{
    return reinterpret_cast<Bytef const*>(bytes.data());
}

Bytef* output(std::string& bytes)
{
    return reinterpret_cast<Bytef*>(bytes.data());
}

} // namespace

compressed_bytes compress(std::string_view original)
{
    compressed_bytes to;
    to.size = original.size();
    auto size = ::compressBound(original.size());
    to.bytes.resize(size);
    // Cannot fail: the output has the size that the library asks for.
    ::compress2(
        output(to.bytes), &size, input(original), original.size(),
        Z_BEST_SPEED);
    to.bytes.resize(size);
    return to;
}

std::optional<std::string>
decompress(compressed_bytes const& from, std::size_t max_bytes)
{
    if (from.size > max_bytes)
        return std::nullopt;
    std::string to(from.size, '\0');
    uLongf size = to.size();
    auto const status =
        ::uncompress(output(to), &size, input(from.bytes), from.bytes.size());
    if (status != Z_OK || size != from.size)
        return std::nullopt;
    return to;
}

} // namespace walnutmill

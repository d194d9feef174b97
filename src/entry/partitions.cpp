#include "entry/partitions.hpp"

#include <walnutmill/hash.hpp>

namespace walnutmill
{
namespace
{

constexpr std::uint64_t partition_count = 64;

} // namespace

std::string partition_of(std::string_view key)
{
    return "p" + std::to_string(stable_hash(key) % partition_count);
}

std::vector<std::string> all_partitions()
{
    std::vector<std::string> names;
    for (std::uint64_t i = 0; i < partition_count; ++i)
        names.push_back("p" + std::to_string(i));
    return names;
}

} // namespace walnutmill

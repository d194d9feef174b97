#ifndef WALNUTMILL_SRC_ENTRY_PARTITIONS_HPP
#define WALNUTMILL_SRC_ENTRY_PARTITIONS_HPP

/// \file
/// Maps row keys to the partitions of the store.

#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// \return the partition of a key, one of 64. A partition handles 200
/// transactions a second and the store 800 in total. With 64 partitions each
/// runs at a thirteenth of its own limit on average when the store is fully
/// loaded, and a full listing takes 64 calls.
std::string partition_of(std::string_view key);

/// \return the names of all partitions.
std::vector<std::string> all_partitions();

} // namespace walnutmill

#endif

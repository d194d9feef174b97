#ifndef WALNUTMILL_SRC_ENTRY_PARTITIONS_HPP
#define WALNUTMILL_SRC_ENTRY_PARTITIONS_HPP

/// \file
/// How rows are spread over the store's partitions.

#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// \return the partition of a key: one of 64. A partition takes 200
/// transactions a second, so 64 of them carry all that the store takes (800)
/// with a thirteenth of their own rate each on average, and a full listing
/// stays 64 calls.
std::string partition_of(std::string_view key);

/// \return the names of all partitions.
std::vector<std::string> all_partitions();

} // namespace walnutmill

#endif

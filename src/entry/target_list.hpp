#ifndef WALNUTMILL_SRC_ENTRY_TARGET_LIST_HPP
#define WALNUTMILL_SRC_ENTRY_TARGET_LIST_HPP

/// \file
/// Search in short lists of targets.

#include <walnutmill/ids.hpp>

#include <algorithm>
#include <vector>

namespace walnutmill
{

/// \return true if the list holds the target. Linear search.
inline bool
contains_target(std::vector<target_name> const& list, target_name const& one)
{
    return std::find(list.begin(), list.end(), one) != list.end();
}

} // namespace walnutmill

#endif

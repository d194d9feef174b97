#ifndef WALNUTMILL_SRC_ENTRY_TARGET_LIST_HPP
#define WALNUTMILL_SRC_ENTRY_TARGET_LIST_HPP

/// \file
/// Short lists of targets.

#include <walnutmill/ids.hpp>

#include <algorithm>
#include <vector>

namespace walnutmill
{

inline bool listed(std::vector<target_name> const& list, target_name const& one)
{
    return std::find(list.begin(), list.end(), one) != list.end();
}

} // namespace walnutmill

#endif

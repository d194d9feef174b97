#ifndef WALNUTMILL_SUPPORT_SLOPES_ALLOCATIONS_HPP
#define WALNUTMILL_SUPPORT_SLOPES_ALLOCATIONS_HPP

/// \file
/// Counts what the process allocates through operator new, which
/// slopes-allocations.cpp replaces. Counts belong to the calling thread.

#include <cstdint>

namespace walnutmill
{
namespace slopes
{

struct allocation_counts
{
    std::uint64_t allocations = 0;
    /// Bytes in use, as the allocator rounds them.
    std::int64_t live_bytes = 0;
};

/// \return what this thread has allocated, and not freed, so far.
allocation_counts allocations_so_far();

} // namespace slopes
} // namespace walnutmill

#endif

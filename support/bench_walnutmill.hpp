#ifndef WALNUTMILL_BENCH_WALNUTMILL_HPP
#define WALNUTMILL_BENCH_WALNUTMILL_HPP

/// \file
/// The decision modules of walnutmill as a policy of the benchmarks. Each can
/// be switched off, for the rows that show what it gives.

#include "bench_policy.hpp"

namespace walnutmill::bench
{

enum class module
{
    none,
    /// Off: every program is admitted.
    admission,
    /// Off: calls are served in order of arrival.
    fair_queue,
    /// Off: round robin over the targets with a slot by the last report.
    placement,
    /// Off: engines keep caches until they need the room.
    retention,
    /// Off: three further attempts at once.
    retry,
    /// Off: calls without a first token stay where they are.
    hedge,
    /// Off: programs that loop go on.
    budget_guard,
    /// Off: all engines stay awake.
    capacity
};

policy_set make_walnutmill(
    cluster_size const& size, world_knowledge const& knowledge,
    std::uint64_t seed);

/// \return a factory of the same system without one module.
policy_factory walnutmill_without(module off);

} // namespace walnutmill::bench

#endif

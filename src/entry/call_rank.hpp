#ifndef WALNUTMILL_SRC_ENTRY_CALL_RANK_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_RANK_HPP

/// \file
/// Computes the rank of a call in an engine's queue and its expected output
/// length.
///
/// Load pattern: more turns than slots for several seconds. Engines serve the
/// calls of all nodes, so only their queues can order calls across nodes.
/// Without ranks, a program that has already missed its deadline delays those
/// that can still meet theirs.

#include <walnutmill/call.hpp>
#include <walnutmill/routing_table.hpp>

#include <cstdint>

namespace walnutmill
{

/// \param waited time since the call arrived
/// \return rank from 0 (served first) to 9
std::uint32_t queue_rank(call const& one, route const& to, duration waited);

/// \return the number of tokens that a turn is expected to generate
std::uint32_t expected_output_tokens(call const& one);

} // namespace walnutmill

#endif

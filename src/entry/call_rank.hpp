#ifndef WALNUTMILL_SRC_ENTRY_CALL_RANK_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_RANK_HPP

/// \file
/// How urgent a call is in an engine's own queue, and how long it may be.
///
/// Load pattern: more turns than slots for seconds. The engines serve calls
/// of all nodes, so their queues, ordered by rank, do what no node's own
/// queue can. Without ranks a program that is late already delays those that
/// can still be in time.

#include <walnutmill/call.hpp>
#include <walnutmill/routing_table.hpp>

#include <cstdint>

namespace walnutmill
{

/// \return 0 (first) to 9.
std::uint32_t rank_of(call const& one, route const& to, duration waited);

/// \return the tokens that a turn will likely generate.
std::uint32_t expected_output(call const& one);

} // namespace walnutmill

#endif

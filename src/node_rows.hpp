#ifndef WALNUTMILL_SRC_NODE_ROWS_HPP
#define WALNUTMILL_SRC_NODE_ROWS_HPP

/// \file
/// What a node shows operators of itself and of what it sees.

#include <walnutmill/membership.hpp>
#include <walnutmill/query.hpp>

#include "program_owner.hpp"
#include "routing.hpp"

#include <vector>

namespace walnutmill
{

/// Rows of `show programs` and `show holds` from one owner's programs.
result_table program_rows(
    node_name const& node, std::vector<program_status> const& programs);
result_table hold_rows(std::vector<program_status> const& programs);

/// Rows of `show nodes`, `machines` and `zones` from the sessions' rows and
/// what gossip says of the members.
result_table
node_rows(ownership_view const& view, std::vector<member_info> const& members);
result_table machine_rows(ownership_view const& view);
result_table live_zone_rows(ownership_view const& view);

/// One row of `show links`: all links of a node together.
result_table link_rows(
    node_name const& node, std::uint64_t bytes_sent,
    std::uint64_t bytes_received);

} // namespace walnutmill

#endif

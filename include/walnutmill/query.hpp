#ifndef WALNUTMILL_QUERY_HPP
#define WALNUTMILL_QUERY_HPP

/// \file
/// Runs a query over rows that were gathered from nodes, and formats the
/// answer. Pure: gathering is the caller's.

#include <walnutmill/command.hpp>
#include <walnutmill/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// Cells in the order of the table's columns.
using table_row = std::vector<cell>;

struct result_table
{
    std::vector<std::string> columns;
    std::vector<table_row> rows;
};

/// What one node contributed to an answer.
struct node_answer
{
    node_name node;
    bool answered = true;
    /// How old its rows are.
    duration age{0};
};

/// An answer says how old it is and which nodes did not answer.
struct query_answer
{
    result_table table;
    std::vector<node_answer> nodes;
    /// Version of the configuration at the node that answered.
    std::uint64_t version = 0;
};

/// \return the columns that `show KIND` has, in order.
std::vector<std::string> const& columns_of(table_kind kind);

/// Applies where, sum, order and limit, in this sequence.
/// \return the rows, or errc::bad_request with the field where a field does
/// not exist or a value does not fit its kind.
result<result_table> run_query(show_table const& wanted, result_table rows);

/// Leaves out rows of other workspaces, where the table has that column.
result_table
visible_to(workspace_name const& workspace, result_table const& table);

/// \return for example "12", "2.5s" or "-" for an empty cell.
std::string to_text(cell const& value);
/// \return an aligned text table followed by age and silent nodes.
std::string to_text(query_answer const& answer);
/// \return JSON: durations are in microseconds, in columns named "…_us".
std::string to_json_text(query_answer const& answer);

/// Codec for tables that cross from node to node, in CBOR.
std::string encode_table(result_table const& table);
/// \return errc::internal where the bytes are not a table.
result<result_table> decode_table(std::string_view bytes);

} // namespace walnutmill

#endif

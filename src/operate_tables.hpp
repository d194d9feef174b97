#ifndef WALNUTMILL_SRC_OPERATE_TABLES_HPP
#define WALNUTMILL_SRC_OPERATE_TABLES_HPP

/// \file
/// Rows that are built from the configuration and from the table's rows.

#include <walnutmill/audit.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/query.hpp>
#include <walnutmill/target_rows.hpp>

#include <vector>

namespace walnutmill
{
namespace detail
{

/// Targets with the steward's reports, in columns_of(targets).
result_table target_rows(
    configuration const& config, std::vector<target_report> const& reports);
/// Services of the workspace.
result_table
service_rows(configuration const& config, workspace_name const& workspace);
result_table zone_rows(configuration const& config);
/// The document, one row per value; of workspaces only the own one, and no
/// token's hash.
result_table configuration_rows(
    configuration const& config, workspace_name const& workspace);
result_table change_rows(std::vector<audit_entry> const& entries);
result_table decision_rows(std::vector<decision_entry> const& entries);
result_table order_rows(std::vector<target_order> const& orders);

/// Fills empty cells of `base` from the row of `live` with the same first
/// column; both have their columns by name. Later rows of `live` win.
void join_live(result_table& base, result_table const& live);

/// \return the table with exactly these columns; absent ones are empty cells.
result_table with_columns(
    result_table const& table, std::vector<std::string> const& columns);

} // namespace detail
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_OPERATE_PARTS_HPP
#define WALNUTMILL_SRC_OPERATE_PARTS_HPP

/// \file
/// The two halves of operator_desk: what asks and what orders.

#include "command_row.hpp"

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace detail
{

/// \return {"result": …} with a table, as text or JSON.
result<std::string> run_query_statement(
    operate_hooks const& hooks, operator_request const& request,
    query const& asked);

/// \return {"result": {"command", "state", …}}.
result<std::string> run_order_statement(
    operate_hooks const& hooks, operator_request const& request,
    order_statement const& order);

/// How far the command has come by now.
command_state progress_of(operate_hooks const& hooks, command_row const& row);

/// \return the answer that a finished or repeated command gives.
result<std::string> command_answer(
    operate_hooks const& hooks, operator_request const& request,
    command_row const& row);

/// \return the command's row; errc::not_found when there is none.
result<command_row>
read_command(operate_hooks const& hooks, std::string const& id);

/// \return the audit entries after a version that the workspace may see.
result<std::vector<audit_entry>> read_changes(
    operate_hooks const& hooks, workspace_name const& workspace,
    std::uint64_t since);

/// \return {"result": value} as text.
std::string result_text(nlohmann::json const& value);

} // namespace detail
} // namespace walnutmill

#endif

#include <walnutmill/target_rows.hpp>

#include "operate_parts.hpp"

#include <algorithm>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

bool has_arrived(
    command_row const& command, target_config const& target,
    target_report const& report)
{
    // A later order took its place: nothing is left to wait for.
    if (target.policy_since > command.version)
        return true;
    return report.policy_since >= target.policy_since &&
           to_string(report.state) == command.target_state;
}

bool targets_arrived(operate_hooks const& hooks, command_row const& command)
{
    std::vector<std::string> keys;
    keys.reserve(command.targets.size());
    for (auto const& target : command.targets)
        keys.push_back(target_row_key(target));
    auto const head = hooks.head();
    auto const rows = hooks.table.read(keys);
    if (!head || !rows || rows.value().size() != keys.size())
        return false;
    return std::all_of(
        rows.value().begin(), rows.value().end(),
        [&](row const& item)
        {
            auto const report = decode_report(item.value);
            if (!report)
                return false;
            auto const* target =
                find_target(*head.value(), report.value().target);
            return target == nullptr ||
                   has_arrived(command, *target, report.value());
        });
}

refusal kept_refusal(command_row const& command)
{
    refusal why;
    why.code = command.code;
    why.message = command.detail;
    return why;
}

refusal no_command(std::string const& id)
{
    refusal why;
    why.code = errc::not_found;
    why.message = "there is no command " + id;
    return why;
}

} // namespace

command_state progress_of(operate_hooks const& hooks, command_row const& row)
{
    if (row.state != command_state::committed)
        return row.state;
    if (hooks.accepted_version() < row.version)
        return command_state::committed;
    if (!row.targets.empty() && !targets_arrived(hooks, row))
        return command_state::in_force;
    return command_state::done;
}

result<std::string> command_answer(
    operate_hooks const& hooks, operator_request const& request,
    command_row const& row)
{
    if (row.state == command_state::refused)
        return kept_refusal(row);
    json answer{
        {"command", row.id},
        {"state", to_string(progress_of(hooks, row))},
        {"detail", row.detail}};
    if (row.version > 0)
        answer["version"] = row.version;
    if (request.json)
        return result_text(answer);
    auto text = "command " + row.id + " " + answer["state"].get<std::string>();
    if (row.version > 0)
        text += ", version " + std::to_string(row.version);
    return result_text(text + "\n" + row.detail);
}

result<command_row>
read_command(operate_hooks const& hooks, std::string const& id)
{
    auto const rows = hooks.table.read({command_key(id)});
    if (!rows)
        return rows.error();
    if (rows.value().empty())
        return no_command(id);
    return decode_command(rows.value().front().value);
}

} // namespace detail
} // namespace walnutmill

#include <walnutmill/target_rows.hpp>

#include "operate_parts.hpp"
#include "operate_tables.hpp"

#include <algorithm>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

// Of the audit trail's rows, the most that one answer reads.
constexpr std::size_t most_changes = 10'000;
constexpr std::size_t changes_page = 500;

refusal no_program()
{
    refusal why;
    why.code = errc::not_found;
    why.message = "there is no such program";
    return why;
}

// The parts of another workspace in a shared trail.
bool concerns_workspace(audit_entry const& entry)
{
    if (entry.subject == audit_subject::program)
        return true;
    if (entry.detail.find("workspaces/") != std::string::npos)
        return true;
    auto const parsed = parse_statement(entry.what);
    // What cannot be read (a document cut short) is hidden as well.
    if (!parsed)
        return true;
    auto const* order = std::get_if<order_statement>(&parsed.value());
    if (order == nullptr)
        return false;
    if (auto const* altered = std::get_if<alter_object>(&order->body))
        return altered->kind == object_kind::workspace;
    if (auto const* created = std::get_if<create_object>(&order->body))
        return created->kind == object_kind::workspace;
    if (auto const* removed = std::get_if<remove_object>(&order->body))
        return removed->kind == object_kind::workspace;
    return std::holds_alternative<apply_configuration>(order->body);
}

audit_entry as_seen_by(workspace_name const& workspace, audit_entry entry)
{
    // A steward's orders belong to no workspace.
    if (entry.workspace.empty() || entry.workspace == workspace)
        return entry;
    entry.workspace = workspace_name();
    entry.who.clear();
    if (concerns_workspace(entry))
    {
        entry.what.clear();
        entry.reason.clear();
        entry.detail.clear();
    }
    return entry;
}

template<class Decode>
auto decode_rows(
    operate_hooks const& hooks, std::string_view prefix, Decode decode)
    -> result<std::vector<std::decay_t<decltype(decode("").value())>>>
{
    auto const rows = scan_all(hooks.table, prefix);
    if (!rows)
        return rows.error();
    std::vector<std::decay_t<decltype(decode("").value())>> values;
    for (auto const& item : rows.value())
    {
        auto value = decode(item.value);
        if (value)
            values.push_back(std::move(value.value()));
    }
    return values;
}

class query_run
{
public:
    query_run(
        operate_hooks const& hooks, operator_request const& request,
        std::shared_ptr<configuration const> config)
        : hooks_(hooks), request_(request), config_(std::move(config))
    {
        answer_.version = config_->version;
    }

    result<std::string> operator()(show_table const& asked)
    {
        auto rows = table_of(asked);
        if (!rows)
            return rows.error();
        // Changes are shared; what others may not see is blank already.
        bool const shared = asked.table == table_kind::changes;
        auto found = run_query(
            asked, shared ? std::move(rows.value())
                          : visible_to(request_.workspace, rows.value()));
        if (!found)
            return found.error();
        answer_.table = std::move(found.value());
        return shown();
    }

    result<std::string> operator()(show_program const& asked)
    {
        show_table all;
        all.table = table_kind::programs;
        all.where = {{"program", comparison::equal, asked.program.str()}};
        auto rows = table_of(all);
        if (!rows)
            return rows.error();
        auto found =
            run_query(all, visible_to(request_.workspace, rows.value()));
        if (!found)
            return found.error();
        if (found.value().rows.empty())
            return no_program();
        answer_.table = std::move(found.value());
        return shown();
    }

    result<std::string> operator()(show_command const& asked)
    {
        auto const row = read_command(hooks_, asked.id);
        if (!row)
            return row.error();
        if (row.value().workspace != request_.workspace)
        {
            refusal why;
            why.code = errc::not_found;
            why.message = "there is no command " + asked.id;
            return why;
        }
        return command_answer(hooks_, request_, row.value());
    }

    // Nodes keep decisions after a program's end, so it need not be live.
    result<std::string> operator()(explain_program const& asked)
    {
        auto const allowed =
            hooks_.check_program(asked.program, request_.workspace);
        if (!allowed)
            return allowed.error();
        auto const decisions = hooks_.decisions(asked.program);
        answer_.nodes = decisions.nodes;
        answer_.table = decision_rows(decisions.entries);
        return shown();
    }

    result<std::string> operator()(show_help const& asked)
    {
        return result_text(help_text(asked.topic));
    }

private:
    result<result_table> table_of(show_table const& asked)
    {
        switch (asked.table)
        {
        case table_kind::configuration:
            return configuration_rows(*config_, request_.workspace);
        case table_kind::changes:
        {
            auto const changes = read_changes(
                hooks_, request_.workspace, asked.since.value_or(0));
            if (!changes)
                return changes.error();
            return change_rows(changes.value());
        }
        case table_kind::targets:
            return targets();
        case table_kind::orders:
        {
            auto const orders =
                decode_rows(hooks_, order_row_prefix, decode_order);
            if (!orders)
                return orders.error();
            return order_rows(orders.value());
        }
        case table_kind::services:
            return joined_with_live(
                asked.table, service_rows(*config_, request_.workspace));
        case table_kind::zones:
            return joined_with_live(asked.table, zone_rows(*config_));
        case table_kind::programs:
        case table_kind::nodes:
        case table_kind::machines:
        case table_kind::links:
        case table_kind::holds:
            break;
        }
        auto gathered = hooks_.gather(asked.table);
        answer_.nodes = std::move(gathered.nodes);
        return with_columns(gathered.table, columns_of(asked.table));
    }

    // Policies are known without the table; states then are not.
    result<result_table> targets()
    {
        auto const reports =
            decode_rows(hooks_, target_row_prefix, decode_report);
        return joined_with_live(
            table_kind::targets,
            target_rows(
                *config_,
                reports ? reports.value() : std::vector<target_report>()));
    }

    result_table joined_with_live(table_kind kind, result_table base)
    {
        auto gathered = hooks_.gather(kind);
        answer_.nodes = std::move(gathered.nodes);
        join_live(base, gathered.table);
        return base;
    }

    result<std::string> shown() const
    {
        if (request_.json)
            return result_text(json::parse(to_json_text(answer_)));
        return result_text(to_text(answer_));
    }

    operate_hooks const& hooks_;
    operator_request const& request_;
    std::shared_ptr<configuration const> config_;
    query_answer answer_;
};

} // namespace

result<std::vector<audit_entry>> read_changes(
    operate_hooks const& hooks, workspace_name const& workspace,
    std::uint64_t since)
{
    std::vector<audit_entry> entries;
    auto after = audit_scan_start(since);
    bool more = true;
    while (more && entries.size() < most_changes)
    {
        auto const page = hooks.table.scan(audit_prefix, after, changes_page);
        if (!page)
            return page.error();
        for (auto const& item : page.value().rows)
        {
            auto entry = audit_entry_from(item.value);
            if (entry)
                entries.push_back(
                    as_seen_by(workspace, std::move(entry.value())));
            after = item.key;
        }
        more = page.value().more;
    }
    return entries;
}

result<std::string> run_query_statement(
    operate_hooks const& hooks, operator_request const& request,
    query const& asked)
{
    query_run run(hooks, request, hooks.in_force());
    return std::visit(run, asked);
}

} // namespace detail
} // namespace walnutmill

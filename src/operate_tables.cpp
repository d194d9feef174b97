#include "operate_tables.hpp"

#include <walnutmill/configuration_draft.hpp>

#include "configuration_json.hpp"

#include <algorithm>
#include <map>

namespace walnutmill
{
namespace detail
{
namespace
{

std::string joined(std::vector<std::string> const& names)
{
    std::string text;
    for (auto const& name : names)
        text += (text.empty() ? "" : ",") + name;
    return text;
}

template<class Id>
std::string joined(std::vector<Id> const& ids)
{
    std::vector<std::string> names;
    names.reserve(ids.size());
    for (auto const& id : ids)
        names.push_back(id.str());
    return joined(names);
}

std::string kind_name(target_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

cell number(std::uint64_t value)
{
    return static_cast<double>(value);
}

cell text(std::string value)
{
    return value.empty() ? cell() : cell(std::move(value));
}

// A row in which columns are set by name.
class row_writer
{
public:
    row_writer(result_table& table, table_kind kind) : table_(table)
    {
        if (table_.columns.empty())
            table_.columns = columns_of(kind);
        table_.rows.emplace_back(table_.columns.size());
    }

    row_writer& set(std::string const& column, cell value)
    {
        auto const& columns = table_.columns;
        auto const at = std::find(columns.begin(), columns.end(), column);
        if (at != columns.end())
            table_.rows.back()[static_cast<std::size_t>(at - columns.begin())] =
                std::move(value);
        return *this;
    }

private:
    result_table& table_;
};

result_table empty_table(table_kind kind)
{
    return {columns_of(kind), {}};
}

bool is_hidden(
    std::string const& path, configuration const& config,
    workspace_name const& own)
{
    if (path.find("/sha256") != std::string::npos)
        return true;
    for (auto const& workspace : config.workspaces)
    {
        auto const part = "workspaces/" + workspace.name.str() + "/";
        if (workspace.name != own && path.rfind(part, 0) == 0)
            return true;
    }
    return false;
}

} // namespace

result_table target_rows(
    configuration const& config, std::vector<target_report> const& reports)
{
    std::map<target_name, target_report const*> by_name;
    for (auto const& report : reports)
        by_name[report.target] = &report;
    auto table = empty_table(table_kind::targets);
    for (auto const& target : config.targets)
    {
        row_writer row(table, table_kind::targets);
        row.set("name", target.name.str())
            .set("kind", kind_name(target.kind))
            .set("zone", target.zone.str())
            .set("address", target.address)
            .set(
                "policy", std::string(policy_names.at(
                              static_cast<std::size_t>(target.policy))))
            .set("models", text(joined(target.models)))
            .set("adapters", text(joined(target.adapters)))
            .set("role", text(target.role))
            .set("slots", number(target.slots));
        auto const at = by_name.find(target.name);
        if (at != by_name.end())
            row.set("state", std::string(to_string(at->second->state)));
    }
    return table;
}

result_table
service_rows(configuration const& config, workspace_name const& workspace)
{
    auto table = empty_table(table_kind::services);
    auto const* own = find_workspace(config, workspace);
    for (auto const& service : config.services)
    {
        if (own == nullptr || std::find(
                                  own->services.begin(), own->services.end(),
                                  service.name) == own->services.end())
            continue;
        row_writer(table, table_kind::services)
            .set("name", service.name.str())
            .set("kind", kind_name(service.kind))
            .set("model", text(service.model))
            .set("targets", text(joined(service.targets)))
            .set("cost", number(service.call_cost));
    }
    return table;
}

result_table zone_rows(configuration const& config)
{
    auto table = empty_table(table_kind::zones);
    for (auto const& zone : config.zones)
    {
        std::uint64_t targets = 0;
        std::uint64_t slots = 0;
        for (auto const& target : config.targets)
        {
            if (target.zone != zone)
                continue;
            ++targets;
            slots += target.slots;
        }
        row_writer(table, table_kind::zones)
            .set("name", zone.str())
            .set("targets", number(targets))
            .set("slots", number(slots));
    }
    return table;
}

result_table
configuration_rows(configuration const& config, workspace_name const& workspace)
{
    auto table = empty_table(table_kind::configuration);
    // Against an empty document every value is a difference.
    for (auto const& value : differences(configuration{}, config))
    {
        if (is_hidden(value.path, config, workspace))
            continue;
        auto const slash = std::min(value.path.find('/'), value.path.size());
        row_writer(table, table_kind::configuration)
            .set("kind", value.path.substr(0, slash))
            .set(
                "name", slash < value.path.size()
                            ? cell(value.path.substr(slash + 1))
                            : cell())
            .set("value", value.after);
    }
    return table;
}

result_table change_rows(std::vector<audit_entry> const& entries)
{
    auto table = empty_table(table_kind::changes);
    for (auto const& entry : entries)
    {
        bool const accepted = entry.result == audit_result::accepted;
        std::string subject = "program";
        if (entry.subject == audit_subject::configuration)
            subject = "configuration";
        if (entry.subject == audit_subject::order)
            subject = "order";
        row_writer(table, table_kind::changes)
            .set("at", to_text(entry.at))
            .set("id", entry.id)
            .set("subject", subject)
            .set("who", text(entry.who))
            .set("workspace", text(entry.workspace.str()))
            .set("what", text(entry.what))
            .set("reason", text(entry.reason))
            .set("before", number(entry.version_before))
            .set("after", number(entry.version_after))
            .set("result", std::string(accepted ? "accepted" : "refused"))
            .set("detail", text(entry.detail));
    }
    return table;
}

result_table decision_rows(std::vector<decision_entry> const& entries)
{
    result_table table{
        {"at", "node", "call", "request", "decision", "target", "reason"}, {}};
    for (auto const& entry : entries)
        table.rows.push_back(
            {to_text(entry.at), entry.node.str(), number(entry.call),
             text(entry.request.str()), std::string(to_string(entry.kind)),
             text(entry.target.str()), text(entry.reason)});
    return table;
}

result_table order_rows(std::vector<target_order> const& orders)
{
    auto table = empty_table(table_kind::orders);
    for (auto const& order : orders)
        row_writer(table, table_kind::orders)
            .set("order", order.id)
            .set("target", order.target.str())
            .set("fence", number(order.fence))
            .set("what", to_text(order.content));
    return table;
}

void join_live(result_table& base, result_table const& live)
{
    auto const aligned = with_columns(live, base.columns);
    std::map<cell, table_row const*> by_name;
    for (auto const& row : aligned.rows)
        by_name[row.front()] = &row;
    for (auto& row : base.rows)
    {
        auto const at = by_name.find(row.front());
        if (at == by_name.end())
            continue;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            if (std::holds_alternative<std::monostate>(row[i]))
                row[i] = (*at->second)[i];
        }
    }
}

result_table
with_columns(result_table const& table, std::vector<std::string> const& columns)
{
    result_table aligned{columns, {}};
    for (auto const& row : table.rows)
    {
        table_row cells(columns.size());
        for (std::size_t i = 0; i < columns.size(); ++i)
        {
            auto const at = std::find(
                table.columns.begin(), table.columns.end(), columns[i]);
            if (at != table.columns.end())
                cells[i] =
                    row[static_cast<std::size_t>(at - table.columns.begin())];
        }
        aligned.rows.push_back(std::move(cells));
    }
    return aligned;
}

} // namespace detail
} // namespace walnutmill

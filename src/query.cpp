#include <walnutmill/query.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace walnutmill
{
namespace
{

using column_list = std::vector<std::string>;

// Indexed by table_kind.
std::array<column_list, 11> const& all_columns()
{
    static std::array<column_list, 11> const columns{
        column_list{
            "name", "kind", "zone", "address", "policy", "state", "step",
            "models", "adapters", "role", "running", "queued", "slots", "holds",
            "steward", "age"},
        column_list{
            "program", "root", "workspace", "node", "state", "budget", "spent",
            "reserved", "calls", "waiting_for", "waited", "target"},
        column_list{
            "name", "kind", "model", "targets", "calls", "running", "queued",
            "cost"},
        column_list{
            "name", "zone", "state", "address", "version", "shards", "programs",
            "queued", "running", "age"},
        column_list{"name", "address", "state", "age"},
        column_list{"name", "nodes", "targets", "running", "slots"},
        column_list{"from", "to", "state", "sent", "received", "age"},
        column_list{
            "order", "target", "fence", "what", "state", "steward", "age"},
        column_list{
            "target", "program", "workspace", "tokens", "reason", "age"},
        column_list{"kind", "name", "value"},
        column_list{
            "at", "id", "subject", "who", "workspace", "what", "reason",
            "before", "after", "result", "detail"}};
    return columns;
}

std::string joined(column_list const& columns)
{
    std::string text;
    for (auto const& column : columns)
        text += (text.empty() ? "" : ", ") + column;
    return text;
}

refusal bad_field(std::string const& field, std::string message)
{
    refusal bad;
    bad.code = errc::bad_request;
    bad.field = field;
    bad.message = std::move(message);
    return bad;
}

result<std::size_t>
index_of(column_list const& columns, std::string const& field)
{
    auto const found = std::find(columns.begin(), columns.end(), field);
    if (found == columns.end())
    {
        return bad_field(
            field, "no field " + field + "; there are " + joined(columns));
    }
    return static_cast<std::size_t>(found - columns.begin());
}

bool is_empty(cell const& value)
{
    return std::holds_alternative<std::monostate>(value);
}

// A literal that looks like a number may be meant as text: it takes the kind
// of the cell that it is compared with.
cell adapted(cell const& literal, cell const& like)
{
    if (std::holds_alternative<std::string>(like))
    {
        if (!std::holds_alternative<std::string>(literal))
            return to_text(literal);
    }
    return literal;
}

bool holds(comparison op, cell const& left, cell const& right)
{
    switch (op)
    {
    case comparison::equal:
        return left == right;
    case comparison::not_equal:
        return left != right;
    case comparison::less:
        return left < right;
    case comparison::less_equal:
        return left <= right;
    case comparison::greater:
        return left > right;
    case comparison::greater_equal:
        return left >= right;
    case comparison::contains:
        break;
    }
    return to_text(left).find(to_text(right)) != std::string::npos;
}

result<bool> matches(filter const& wanted, cell const& value)
{
    if (is_empty(value))
        return wanted.op == comparison::not_equal;
    auto const literal = adapted(wanted.value, value);
    if (wanted.op != comparison::contains && literal.index() != value.index())
    {
        return bad_field(
            wanted.field, to_text(wanted.value) + " does not fit " +
                              wanted.field + ", which is like " +
                              to_text(value));
    }
    return holds(wanted.op, value, literal);
}

result<void> keep_matching(result_table& table, filter const& wanted)
{
    auto const column = index_of(table.columns, wanted.field);
    if (!column)
        return column.error();
    std::vector<table_row> kept;
    for (auto& row : table.rows)
    {
        auto const fits = matches(wanted, row[column.value()]);
        if (!fits)
            return fits.error();
        if (fits.value())
            kept.push_back(std::move(row));
    }
    table.rows = std::move(kept);
    return boost::outcome_v2::success();
}

// One group's running total; the kind of the first value decides.
struct total
{
    cell sum;
    double count = 0;
};

result<void> add_to(total& group, cell const& value, std::string const& field)
{
    ++group.count;
    if (is_empty(value))
        return boost::outcome_v2::success();
    if (std::holds_alternative<std::string>(value))
        return bad_field(field, field + " is a text and has no sum");
    if (is_empty(group.sum))
        group.sum = value;
    else if (auto* number = std::get_if<double>(&group.sum))
        *number += std::get<double>(value);
    else
        std::get<duration>(group.sum) += std::get<duration>(value);
    return boost::outcome_v2::success();
}

result<result_table> grouped(result_table const& table, grouping const& wanted)
{
    auto const sum = index_of(table.columns, wanted.sum);
    if (!sum)
        return sum.error();
    auto const by = index_of(table.columns, wanted.by);
    if (!by)
        return by.error();
    std::map<cell, total> groups;
    for (auto const& row : table.rows)
    {
        auto& group = groups[row[by.value()]];
        auto const added = add_to(group, row[sum.value()], wanted.sum);
        if (!added)
            return added.error();
    }
    result_table summed{{wanted.by, wanted.sum, "count"}, {}};
    for (auto const& group : groups)
        summed.rows.push_back(
            {group.first, group.second.sum, group.second.count});
    return summed;
}

result<void> sort_by(result_table& table, ordering const& wanted)
{
    auto const column = index_of(table.columns, wanted.field);
    if (!column)
        return column.error();
    auto const at = column.value();
    std::stable_sort(
        table.rows.begin(), table.rows.end(),
        [&](table_row const& a, table_row const& b)
        { return wanted.descending ? b[at] < a[at] : a[at] < b[at]; });
    return boost::outcome_v2::success();
}

} // namespace

std::vector<std::string> const& columns_of(table_kind kind)
{
    return all_columns().at(static_cast<std::size_t>(kind));
}

result<result_table> run_query(show_table const& wanted, result_table rows)
{
    for (auto const& condition : wanted.where)
    {
        auto const kept = keep_matching(rows, condition);
        if (!kept)
            return kept.error();
    }
    if (wanted.group)
    {
        auto summed = grouped(rows, *wanted.group);
        if (!summed)
            return summed.error();
        rows = std::move(summed.value());
    }
    if (wanted.order)
    {
        auto const sorted = sort_by(rows, *wanted.order);
        if (!sorted)
            return sorted.error();
    }
    if (wanted.limit && rows.rows.size() > *wanted.limit)
        rows.rows.resize(*wanted.limit);
    return rows;
}

result_table
visible_to(workspace_name const& workspace, result_table const& table)
{
    auto const column = index_of(table.columns, "workspace");
    if (!column)
        return table;
    result_table seen{table.columns, {}};
    for (auto const& row : table.rows)
    {
        if (row[column.value()] == cell(workspace.str()))
            seen.rows.push_back(row);
    }
    return seen;
}

} // namespace walnutmill

#include <walnutmill/query.hpp>

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace walnutmill
{
namespace
{

using nlohmann::json;

// Up to this, every whole double has an exact decimal form.
constexpr double exact_limit = 9e15;

std::string number_text(double value)
{
    std::ostringstream out;
    if (std::trunc(value) == value && std::abs(value) < exact_limit)
        out << static_cast<std::int64_t>(value);
    else
        out << value;
    return out.str();
}

std::string duration_text(duration value)
{
    auto const micros = static_cast<double>(value.count());
    if (std::abs(micros) >= 1e6)
        return number_text(std::round(micros / 1e4) / 100) + "s";
    if (std::abs(micros) >= 1e3)
        return number_text(std::round(micros / 10) / 100) + "ms";
    return number_text(micros) + "us";
}

struct cell_text
{
    std::string operator()(std::monostate) const { return "-"; }
    std::string operator()(std::string const& text) const { return text; }
    std::string operator()(double value) const { return number_text(value); }
    std::string operator()(duration value) const
    {
        return duration_text(value);
    }
};

struct cell_json
{
    json operator()(std::monostate) const { return nullptr; }
    json operator()(std::string const& text) const { return text; }
    json operator()(double value) const
    {
        if (std::trunc(value) == value && std::abs(value) < exact_limit)
            return static_cast<std::int64_t>(value);
        return value;
    }
    json operator()(duration value) const { return value.count(); }
};

// A line break or tab inside a cell would break the table's rows.
std::string one_line(std::string text)
{
    for (auto& c : text)
    {
        if (static_cast<unsigned char>(c) < ' ')
            c = ' ';
    }
    return text;
}

std::vector<std::size_t> widths_of(result_table const& table)
{
    std::vector<std::size_t> widths;
    for (auto const& column : table.columns)
        widths.push_back(column.size());
    for (auto const& row : table.rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], to_text(row[i]).size());
    }
    return widths;
}

void write_line(
    std::ostream& out, std::vector<std::string> const& texts,
    std::vector<std::size_t> const& widths)
{
    for (std::size_t i = 0; i + 1 < texts.size(); ++i)
        out << std::left << std::setw(static_cast<int>(widths[i]) + 2)
            << texts[i];
    if (!texts.empty())
        out << texts.back();
    out << '\n';
}

duration oldest(query_answer const& answer)
{
    duration age{0};
    for (auto const& node : answer.nodes)
    {
        if (node.answered)
            age = std::max(age, node.age);
    }
    return age;
}

std::vector<std::string> silent_nodes(query_answer const& answer)
{
    std::vector<std::string> names;
    for (auto const& node : answer.nodes)
    {
        if (!node.answered)
            names.push_back(node.node.str());
    }
    return names;
}

bool has_durations(result_table const& table, std::size_t column)
{
    return std::any_of(
        table.rows.begin(), table.rows.end(),
        [&](table_row const& row)
        { return std::holds_alternative<duration>(row[column]); });
}

json rows_json(result_table const& table)
{
    std::vector<std::string> names = table.columns;
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (has_durations(table, i))
            names[i] += "_us";
    }
    auto rows = json::array();
    for (auto const& row : table.rows)
    {
        auto item = json::object();
        for (std::size_t i = 0; i < row.size(); ++i)
            item[names[i]] = std::visit(cell_json(), row[i]);
        rows.push_back(std::move(item));
    }
    return rows;
}

// Crossing nodes, a cell keeps its kind: durations are one-element arrays.
json cell_to_wire(cell const& value)
{
    if (auto const* span = std::get_if<duration>(&value))
        return json::array({span->count()});
    if (auto const* number = std::get_if<double>(&value))
        return *number;
    return std::visit(cell_json(), value);
}

cell cell_from_wire(json const& j)
{
    if (j.is_null())
        return {};
    if (j.is_string())
        return j.get<std::string>();
    if (j.is_array())
        return duration(j.at(0).get<duration::rep>());
    return j.get<double>();
}

table_row row_from_wire(json const& j, std::size_t columns)
{
    table_row row;
    for (auto const& value : j)
        row.push_back(cell_from_wire(value));
    if (row.size() != columns)
        throw std::invalid_argument("row and columns differ in number");
    return row;
}

} // namespace

std::string to_text(cell const& value)
{
    return std::visit(cell_text(), value);
}

std::string to_text(query_answer const& answer)
{
    std::ostringstream out;
    auto const widths = widths_of(answer.table);
    write_line(out, answer.table.columns, widths);
    for (auto const& row : answer.table.rows)
    {
        std::vector<std::string> texts;
        texts.reserve(row.size());
        for (auto const& value : row)
            texts.push_back(one_line(to_text(value)));
        write_line(out, texts, widths);
    }
    out << answer.table.rows.size() << " rows, up to "
        << duration_text(oldest(answer)) << " old, configuration version "
        << answer.version << '\n';
    for (auto const& name : silent_nodes(answer))
        out << "no answer from node " << name << '\n';
    return out.str();
}

std::string to_json_text(query_answer const& answer)
{
    json const whole{
        {"columns", answer.table.columns},
        {"rows", rows_json(answer.table)},
        {"version", answer.version},
        {"age_us", oldest(answer).count()},
        {"no_answer", silent_nodes(answer)}};
    return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encode_table(result_table const& table)
{
    auto rows = json::array();
    for (auto const& row : table.rows)
    {
        auto cells = json::array();
        for (auto const& value : row)
            cells.push_back(cell_to_wire(value));
        rows.push_back(std::move(cells));
    }
    std::string bytes;
    json::to_cbor(json{{"c", table.columns}, {"r", rows}}, bytes);
    return bytes;
}

result<result_table> decode_table(std::string_view bytes)
{
    try
    {
        auto const j = decode_cbor(bytes);
        result_table table;
        table.columns = j.at("c").get<std::vector<std::string>>();
        for (auto const& row : j.at("r"))
            table.rows.push_back(row_from_wire(row, table.columns.size()));
        return table;
    }
    catch (std::exception const& e)
    {
        refusal bad;
        bad.message = std::string("unreadable table: ") + e.what();
        return bad;
    }
}

} // namespace walnutmill

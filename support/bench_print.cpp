#include "bench_rows.hpp"

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace walnutmill::bench
{

namespace
{

std::string number(double value)
{
    std::ostringstream text;
    text << std::setprecision(value < 1'000.0 ? 3 : 4) << value;
    return text.str();
}

/// What a limit is compared with, as a suffix of the figure.
std::string_view unit_of(limit_on on)
{
    switch (on)
    {
    case limit_on::per_baseline:
        return " of baseline";
    case limit_on::per_oracle:
        return " of oracle";
    case limit_on::value:
        break;
    }
    return "";
}

std::string bound_text(row const& of)
{
    if (!of.bounds.bound)
        return "-";
    return number(*of.bounds.bound) + std::string(unit_of(of.bounds.on));
}

std::string verdict(row const& of)
{
    if (!of.ok)
        return "BROKEN";
    if (of.target_missed)
        return "ok, target " + number(*of.bounds.target) + " missed";
    return of.bounds.bound ? "ok" : "-";
}

void print_cells(std::vector<std::string> const& cells)
{
    static std::vector<int> const widths{9, 17, 25, 10, 10, 10, 10, 8, 9, 18};
    for (std::size_t i = 0; i < cells.size(); ++i)
    {
        auto const width = i < widths.size() ? widths[i] : 0;
        std::cout << std::left << std::setw(width) << cells[i] << ' ';
    }
    std::cout << '\n';
}

void print_ablations(bench_report const& report)
{
    if (report.ablations.empty())
        return;
    std::cout << "\nEach module switched off:\n";
    print_cells(
        {"user", "pattern", "measure", "module", "with", "without", "ratio"});
    for (auto const& each : report.ablations)
    {
        auto const ratio =
            each.with != 0.0 ? number(each.without / each.with) : "-";
        print_cells(
            {each.user, each.pattern, each.measure,
             std::string(to_string(each.off)), number(each.with),
             number(each.without), ratio});
    }
}

nlohmann::json optional_number(std::optional<double> value)
{
    return value ? nlohmann::json(*value) : nlohmann::json();
}

nlohmann::json to_json(row const& of)
{
    return {
        {"user", of.user},
        {"pattern", of.pattern},
        {"measure", of.measure},
        {"naive", of.naive},
        {"baseline", of.baseline},
        {"value", of.value},
        {"oracle", of.oracle},
        {"ratio", of.ratio},
        {"towards_oracle", of.towards_oracle},
        {"judged", of.judged},
        {"bound", optional_number(of.bounds.bound)},
        {"target", optional_number(of.bounds.target)},
        {"target_missed", of.target_missed},
        {"ok", of.ok}};
}

nlohmann::json to_json(ablation_row const& of)
{
    return {{"user", of.user},       {"pattern", of.pattern},
            {"measure", of.measure}, {"module_off", to_string(of.off)},
            {"with", of.with},       {"without", of.without}};
}

} // namespace

void print_table(bench_report const& report)
{
    print_cells(
        {"user", "pattern", "measure", "naive", "baseline", "value", "oracle",
         "ratio", "towards", "bound", "ok"});
    for (auto const& each : report.rows)
        print_cells(
            {each.user, each.pattern, each.measure, number(each.naive),
             number(each.baseline), number(each.value), number(each.oracle),
             number(each.ratio), number(each.towards_oracle), bound_text(each),
             verdict(each)});
    print_ablations(report);
}

void print_json(bench_report const& report)
{
    auto out = nlohmann::json::object();
    out["ok"] = report.ok;
    out["rows"] = nlohmann::json::array();
    for (auto const& each : report.rows)
        out["rows"].push_back(to_json(each));
    out["ablations"] = nlohmann::json::array();
    for (auto const& each : report.ablations)
        out["ablations"].push_back(to_json(each));
    std::cout << out.dump(2) << '\n';
}

} // namespace walnutmill::bench

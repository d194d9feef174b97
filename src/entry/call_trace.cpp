#include "entry/call_trace.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// Events of a call's nodes and engines are included from this long before the
/// call started. It is longer than nodes take to see changes of configurations
/// and engines.
constexpr std::int64_t lookback_ms = 5'000;

/// Events of a node that affect all of its calls.
constexpr std::array<std::string_view, 8> node_events{
    "node.start",        "node.stopping",  "node.stopped",
    "store.lost",        "store.regained", "configuration.applied",
    "settings.reloaded", "log.dropped"};

std::string field_text(json const& line, char const* field)
{
    auto const found = line.find(field);
    if (found == line.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool is_node_event(std::string const& event)
{
    return std::find(node_events.begin(), node_events.end(), event) !=
           node_events.end();
}

std::string format_event(json const& line)
{
    std::string out = field_text(line, "event");
    for (auto const& [key, value] : line.items())
    {
        if (key == "time_ms" || key == "node" || key == "event")
            continue;
        out += " " + key + "=" +
               (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return out;
}

} // namespace

call_trace::call_trace(std::string id) : id_(std::move(id)) {}

void call_trace::read(std::istream& lines)
{
    for (std::string text; std::getline(lines, text);)
    {
        auto const begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        auto line = json::parse(text.substr(begin), nullptr, false);
        if (!line.is_object() || !line.contains("event"))
            continue;
        events_.push_back(
            {line.value("time_ms", std::int64_t{0}), std::move(line)});
    }
}

bool call_trace::concerns(json const& line) const
{
    return field_text(line, "request") == id_ ||
           field_text(line, "program") == id_;
}

std::vector<call_trace::event> call_trace::related_events() const
{
    std::set<std::string> nodes;
    std::set<std::string> engines;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (auto const& entry : events_)
    {
        if (!concerns(entry.line))
            continue;
        nodes.insert(field_text(entry.line, "node"));
        engines.insert(field_text(entry.line, "engine"));
        auto const began =
            entry.time_ms - entry.line.value("ms", std::int64_t{0});
        first = first == 0 ? began : std::min(first, began);
        last = std::max(last, entry.time_ms);
    }
    std::vector<event> selected;
    for (auto const& entry : events_)
    {
        auto const in_time_window =
            entry.time_ms >= first - lookback_ms && entry.time_ms <= last;
        auto const event_name = field_text(entry.line, "event");
        auto const concerns_node =
            in_time_window && nodes.count(field_text(entry.line, "node")) > 0 &&
            is_node_event(event_name);
        auto const concerns_engine =
            in_time_window && event_name.rfind("engine.", 0) == 0 &&
            engines.count(field_text(entry.line, "engine")) > 0;
        if (concerns(entry.line) || concerns_node || concerns_engine)
            selected.push_back(entry);
    }
    std::stable_sort(
        selected.begin(), selected.end(),
        [](event const& a, event const& b) { return a.time_ms < b.time_ms; });
    return selected;
}

std::vector<std::string> call_trace::format_lines() const
{
    std::vector<std::string> formatted;
    auto const found = std::any_of(
        events_.begin(), events_.end(),
        [this](event const& entry) { return concerns(entry.line); });
    if (!found)
        return formatted;
    auto const selected = related_events();
    for (auto const& entry : selected)
    {
        auto const elapsed_ms = entry.time_ms - selected.front().time_ms;
        formatted.push_back(
            std::to_string(elapsed_ms) + " ms  " +
            field_text(entry.line, "node") + "  " + format_event(entry.line));
    }
    return formatted;
}

} // namespace walnutmill

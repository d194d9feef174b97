#include "entry/call_story.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// How long before a call began its node's and engine's events may matter:
/// longer than configurations and engines take to be seen.
constexpr std::int64_t before_ms = 5'000;

/// Events of a node that bear on all of its calls.
constexpr std::array<std::string_view, 8> node_events{
    "node.start",        "node.stopping",  "node.stopped",
    "store.lost",        "store.regained", "configuration.applied",
    "settings.reloaded", "log.dropped"};

std::string text_of(json const& line, char const* field)
{
    auto const found = line.find(field);
    if (found == line.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool listed(std::string const& event)
{
    return std::find(node_events.begin(), node_events.end(), event) !=
           node_events.end();
}

std::string describe(json const& line)
{
    std::string out = text_of(line, "event");
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

call_story::call_story(std::string id) : id_(std::move(id)) {}

void call_story::read(std::istream& lines)
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

bool call_story::concerns(json const& line) const
{
    return text_of(line, "request") == id_ || text_of(line, "program") == id_;
}

std::vector<call_story::event> call_story::related() const
{
    std::set<std::string> nodes;
    std::set<std::string> engines;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (auto const& one : events_)
    {
        if (!concerns(one.line))
            continue;
        nodes.insert(text_of(one.line, "node"));
        engines.insert(text_of(one.line, "engine"));
        auto const began = one.time_ms - one.line.value("ms", std::int64_t{0});
        first = first == 0 ? began : std::min(first, began);
        last = std::max(last, one.time_ms);
    }
    std::vector<event> picked;
    for (auto const& one : events_)
    {
        auto const near =
            one.time_ms >= first - before_ms && one.time_ms <= last;
        auto const event_name = text_of(one.line, "event");
        auto const of_node = near &&
                             nodes.count(text_of(one.line, "node")) > 0 &&
                             listed(event_name);
        auto const of_engine = near && event_name.rfind("engine.", 0) == 0 &&
                               engines.count(text_of(one.line, "engine")) > 0;
        if (concerns(one.line) || of_node || of_engine)
            picked.push_back(one);
    }
    std::stable_sort(
        picked.begin(), picked.end(),
        [](event const& a, event const& b) { return a.time_ms < b.time_ms; });
    return picked;
}

std::vector<std::string> call_story::tell() const
{
    std::vector<std::string> story;
    auto const known = std::any_of(
        events_.begin(), events_.end(),
        [this](event const& one) { return concerns(one.line); });
    if (!known)
        return story;
    auto const picked = related();
    for (auto const& one : picked)
    {
        auto const since = one.time_ms - picked.front().time_ms;
        story.push_back(
            std::to_string(since) + " ms  " + text_of(one.line, "node") + "  " +
            describe(one.line));
    }
    return story;
}

} // namespace walnutmill

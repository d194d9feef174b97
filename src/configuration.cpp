#include <walnutmill/configuration.hpp>

#include "configuration_check.hpp"
#include "configuration_json.hpp"
#include "json_text.hpp"
#include "object_reader.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <optional>

namespace walnutmill
{
namespace
{

using detail::number_range;
using detail::object_reader;
using nlohmann::json;

/// Room for 3,000 engines and 400 workspaces several times over.
constexpr std::size_t max_document_bytes = 16u << 20;
/// The document itself needs five levels.
constexpr std::size_t max_document_depth = 16;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_text_bytes = 256;
constexpr std::size_t sha256_hex_digits = 64;
constexpr std::uint64_t hour_ms = 3'600'000;
constexpr std::uint64_t largest_budget = 1'000'000'000'000;

constexpr number_range<double> weight_range{0.0, 1'000'000.0};
/// A share of zero would wait for ever.
constexpr number_range<double> share_range{0.001, 1'000'000.0};
constexpr number_range<std::uint32_t> slots_range{1, 65'536};
constexpr number_range<std::uint32_t> depth_range{0, 64};
constexpr number_range<std::uint32_t> count_range{1, 1'000'000};
constexpr number_range<std::uint64_t> input_range{1, 64u << 20};
constexpr number_range<std::uint64_t> cost_range{0, largest_budget};
constexpr number_range<std::uint64_t> budget_range{1, largest_budget};
constexpr number_range<std::uint64_t> timeout_range{1, 24 * hour_ms};
constexpr number_range<std::uint64_t> version_range{
    0, std::numeric_limits<std::uint64_t>::max()};

std::string check_name(std::string const& text)
{
    auto const allowed = [](unsigned char c)
    { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    bool const sound = !text.empty() && text.size() <= max_name_bytes &&
                       std::all_of(text.begin(), text.end(), allowed);
    if (sound)
        return "";
    return "must be 1 to 64 letters, digits, '-', '_' or '.'";
}

std::string check_text(std::string const& text)
{
    bool const sound = !text.empty() && text.size() <= max_text_bytes;
    return sound ? "" : "must have 1 to 256 bytes";
}

std::string check_address(std::string const& text)
{
    bool const sound =
        text.rfind("http://", 0) == 0 || text.rfind("https://", 0) == 0;
    if (sound && text.size() <= max_text_bytes)
        return "";
    return "must begin with http:// or https://";
}

std::string check_sha256(std::string const& text)
{
    auto const is_lower_hex = [](unsigned char c)
    { return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f'); };
    bool const sound = text.size() == sha256_hex_digits &&
                       std::all_of(text.begin(), text.end(), is_lower_hex);
    return sound ? "" : "must be 64 lower-case hex digits";
}

target_config
read_target(json const& value, std::string const& pointer, findings& problems)
{
    target_config made;
    object_reader reader(value, pointer, problems);
    reader.required_name("name", made.name, check_name);
    reader.choice("kind", made.kind, detail::kind_names);
    reader.required_name("zone", made.zone, check_name);
    reader.required_text("address", made.address, check_address);
    auto const into = [](std::vector<std::string>& list)
    { return [&list](std::string text) { list.push_back(std::move(text)); }; };
    reader.each_text("models", check_text, into(made.models));
    reader.each_text("adapters", check_text, into(made.adapters));
    reader.flag("checks_fencing", made.checks_fencing);
    reader.flag("answers_outcome_queries", made.answers_outcome_queries);
    reader.text("role", made.role, check_text);
    reader.choice("policy", made.policy, detail::policy_names);
    reader.number("policy_since", made.policy_since, version_range);
    reader.flag("stop_now", made.stop_now);
    reader.number("slots", made.slots, slots_range);
    reader.finish();
    return made;
}

service_config
read_service(json const& value, std::string const& pointer, findings& problems)
{
    service_config made;
    object_reader reader(value, pointer, problems);
    reader.required_name("name", made.name, check_name);
    reader.choice("kind", made.kind, detail::kind_names);
    reader.text("model", made.model, check_text);
    reader.names("targets", made.targets, check_name);
    reader.real("latency_weight", made.latency_weight, weight_range);
    reader.real("waste_weight", made.waste_weight, weight_range);
    reader.flag("repeatable", made.repeatable);
    reader.number("call_cost", made.call_cost, cost_range);
    reader.milliseconds("call_timeout_ms", made.call_timeout, timeout_range);
    reader.finish();
    return made;
}

std::optional<right> right_of(std::string const& text)
{
    auto const& names = detail::right_names;
    auto const* const at = std::find(names.begin(), names.end(), text);
    if (at == names.end())
        return std::nullopt;
    return static_cast<right>(at - names.begin());
}

std::string check_right(std::string const& text)
{
    return right_of(text) ? "" : "must be one of call, operate";
}

access_token
read_token(json const& value, std::string const& pointer, findings& problems)
{
    access_token made;
    object_reader reader(value, pointer, problems);
    reader.required_text("sha256", made.sha256, check_sha256);
    reader.required_text("principal", made.principal, check_text);
    reader.each_text(
        "rights", check_right,
        [&](std::string const& text)
        { made.rights.push_back(*right_of(text)); });
    reader.finish();
    return made;
}

workspace_config read_workspace(
    json const& value, std::string const& pointer, findings& problems)
{
    workspace_config made;
    object_reader reader(value, pointer, problems);
    reader.required_name("name", made.name, check_name);
    reader.real("weight", made.weight, share_range);
    reader.number("max_budget", made.max_budget, budget_range);
    reader.names("services", made.services, check_name);
    reader.each(
        "tokens", [&](json const& item, std::string const& place)
        { made.tokens.push_back(read_token(item, place, problems)); });
    reader.finish();
    return made;
}

limits_config
read_limits(json const& value, std::string const& pointer, findings& problems)
{
    limits_config made;
    object_reader reader(value, pointer, problems);
    reader.number("max_turns", made.max_turns, count_range);
    reader.number("max_depth", made.max_depth, depth_range);
    reader.number("max_sub_agents", made.max_sub_agents, count_range);
    reader.number(
        "max_programs_per_node", made.max_programs_per_node, count_range);
    reader.number("max_queued_calls", made.max_queued_calls, count_range);
    reader.number("max_input_bytes", made.max_input_bytes, input_range);
    reader.number("budget_slice", made.budget_slice, budget_range);
    reader.number("weight_loads", made.weight_loads, count_range);
    reader.milliseconds(
        "program_abandoned_after_ms", made.program_abandoned_after,
        timeout_range);
    reader.finish();
    return made;
}

void read_document(json const& value, configuration& made, findings& problems)
{
    object_reader reader(value, "", problems);
    reader.number("version", made.version, version_range);
    reader.names("zones", made.zones, check_name);
    reader.each(
        "targets", [&](json const& item, std::string const& place)
        { made.targets.push_back(read_target(item, place, problems)); });
    reader.each(
        "services", [&](json const& item, std::string const& place)
        { made.services.push_back(read_service(item, place, problems)); });
    reader.each(
        "workspaces", [&](json const& item, std::string const& place)
        { made.workspaces.push_back(read_workspace(item, place, problems)); });
    reader.object(
        "limits", [&](json const& item, std::string const& place)
        { made.limits = read_limits(item, place, problems); });
    reader.finish();
}

template<class Item, class Name>
Item const* find_named(std::vector<Item> const& items, Name const& name)
{
    auto const at = std::find_if(
        items.begin(), items.end(),
        [&](Item const& one) { return one.name == name; });
    return at == items.end() ? nullptr : &*at;
}

} // namespace

parsed_configuration parse_configuration(std::string_view json_text)
{
    parsed_configuration parsed;
    auto const document = detail::parse_json_text(
        json_text, {max_document_bytes, max_document_depth}, parsed.problems);
    if (document.is_null() && !parsed.problems.empty())
        return parsed;
    read_document(document, parsed.value, parsed.problems);
    detail::check_references(parsed.value, parsed.problems);
    return parsed;
}

std::string to_json_text(configuration const& config)
{
    constexpr int indent = 2;
    return detail::configuration_to_json(config).dump(
        indent, ' ', false, json::error_handler_t::replace);
}

target_config const*
find_target(configuration const& config, target_name const& name)
{
    return find_named(config.targets, name);
}

service_config const*
find_service(configuration const& config, service_name const& name)
{
    return find_named(config.services, name);
}

workspace_config const*
find_workspace(configuration const& config, workspace_name const& name)
{
    return find_named(config.workspaces, name);
}

} // namespace walnutmill

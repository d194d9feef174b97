#include "configuration_json.hpp"

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

template<class Enum, std::size_t Size>
char const* name_of(std::array<char const*, Size> const& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

template<class Id>
json names_to_json(std::vector<Id> const& names)
{
    json made = json::array();
    for (auto const& one : names)
        made.push_back(one.str());
    return made;
}

template<class Item, class Convert>
json list_to_json(std::vector<Item> const& items, Convert convert)
{
    json made = json::array();
    for (auto const& one : items)
        made.push_back(convert(one));
    return made;
}

json target_to_json(target_config const& one)
{
    json made;
    made["name"] = one.name.str();
    made["kind"] = name_of(kind_names, one.kind);
    made["zone"] = one.zone.str();
    made["address"] = one.address;
    made["models"] = one.models;
    made["adapters"] = one.adapters;
    made["checks_fencing"] = one.checks_fencing;
    made["answers_outcome_queries"] = one.answers_outcome_queries;
    if (!one.role.empty())
        made["role"] = one.role;
    made["policy"] = name_of(policy_names, one.policy);
    if (one.policy_since != 0)
        made["policy_since"] = one.policy_since;
    made["stop_now"] = one.stop_now;
    made["slots"] = one.slots;
    return made;
}

json service_to_json(service_config const& one)
{
    json made;
    made["name"] = one.name.str();
    made["kind"] = name_of(kind_names, one.kind);
    if (!one.model.empty())
        made["model"] = one.model;
    made["targets"] = names_to_json(one.targets);
    made["latency_weight"] = one.latency_weight;
    made["waste_weight"] = one.waste_weight;
    made["repeatable"] = one.repeatable;
    made["call_cost"] = one.call_cost;
    made["call_timeout_ms"] = one.call_timeout.count();
    return made;
}

json token_to_json(access_token const& one)
{
    json made;
    made["sha256"] = one.sha256;
    made["principal"] = one.principal;
    made["rights"] = list_to_json(
        one.rights, [](right each) { return name_of(right_names, each); });
    return made;
}

json workspace_to_json(workspace_config const& one)
{
    json made;
    made["name"] = one.name.str();
    made["weight"] = one.weight;
    made["max_budget"] = one.max_budget;
    made["services"] = names_to_json(one.services);
    made["tokens"] = list_to_json(one.tokens, token_to_json);
    return made;
}

json limits_to_json(limits_config const& limits)
{
    json made;
    made["max_turns"] = limits.max_turns;
    made["max_depth"] = limits.max_depth;
    made["max_sub_agents"] = limits.max_sub_agents;
    made["max_programs_per_node"] = limits.max_programs_per_node;
    made["max_queued_calls"] = limits.max_queued_calls;
    made["max_input_bytes"] = limits.max_input_bytes;
    made["budget_slice"] = limits.budget_slice;
    made["weight_loads"] = limits.weight_loads;
    made["program_abandoned_after_ms"] = limits.program_abandoned_after.count();
    return made;
}

} // namespace

json configuration_to_json(configuration const& config)
{
    json made;
    made["version"] = config.version;
    made["zones"] = names_to_json(config.zones);
    made["targets"] = list_to_json(config.targets, target_to_json);
    made["services"] = list_to_json(config.services, service_to_json);
    made["workspaces"] = list_to_json(config.workspaces, workspace_to_json);
    made["limits"] = limits_to_json(config.limits);
    return made;
}

} // namespace detail
} // namespace walnutmill

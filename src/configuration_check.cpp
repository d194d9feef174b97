#include "configuration_check.hpp"

#include "json_text.hpp"

#include <algorithm>
#include <set>

namespace walnutmill
{
namespace detail
{
namespace
{

std::string pointer_to(char const* list, std::size_t index, char const* key)
{
    auto const item = child_pointer(std::string("/") + list, index);
    return child_pointer(item, key);
}

template<class Item>
void check_unique_names(
    char const* list, std::vector<Item> const& items, findings& problems)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        auto const& name = items[i].name.str();
        // A missing name is already a finding.
        if (!name.empty() && !seen.insert(name).second)
            problems.add(
                pointer_to(list, i, "name"), "'" + name + "' is taken twice");
    }
}

void check_target(
    configuration const& config, std::size_t index, findings& problems)
{
    auto const& zone = config.targets[index].zone;
    auto const& zones = config.zones;
    if (zone.empty())
        return;
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
        problems.add(
            pointer_to("targets", index, "zone"),
            "there is no zone '" + zone.str() + "'");
}

bool lists_model(target_config const& target, std::string const& model)
{
    auto const& models = target.models;
    return std::find(models.begin(), models.end(), model) != models.end();
}

void check_service_targets(
    configuration const& config, std::size_t index, findings& problems)
{
    auto const& service = config.services[index];
    auto const list = pointer_to("services", index, "targets");
    for (std::size_t i = 0; i < service.targets.size(); ++i)
    {
        auto const& name = service.targets[i];
        auto const* target = find_target(config, name);
        if (target == nullptr)
            problems.add(
                child_pointer(list, i),
                "there is no target '" + name.str() + "'");
        else if (target->kind != service.kind)
            problems.add(
                child_pointer(list, i),
                "'" + name.str() + "' is of another kind than the service");
    }
}

void check_service_model(
    configuration const& config, std::size_t index, findings& problems)
{
    auto const& service = config.services[index];
    auto const place = pointer_to("services", index, "model");
    bool const is_engine = service.kind == target_kind::engine;
    if (!is_engine && !service.model.empty())
        problems.add(place, "a plain service has no model");
    if (is_engine && service.model.empty())
        problems.add(place, "is missing for a service of engines");
    if (!is_engine || service.model.empty() || service.targets.empty())
        return;
    bool const listed = std::any_of(
        service.targets.begin(), service.targets.end(),
        [&](target_name const& name)
        {
            auto const* target = find_target(config, name);
            return target != nullptr && lists_model(*target, service.model);
        });
    if (!listed)
        problems.add(
            place, "no target of the service lists '" + service.model + "'");
}

void check_workspace_services(
    configuration const& config, std::size_t index, findings& problems)
{
    auto const& services = config.workspaces[index].services;
    auto const list = pointer_to("workspaces", index, "services");
    for (std::size_t i = 0; i < services.size(); ++i)
        if (find_service(config, services[i]) == nullptr)
            problems.add(
                child_pointer(list, i),
                "there is no service '" + services[i].str() + "'");
}

/// A token belongs to one workspace, so its hash may stand only once.
void check_unique_tokens(configuration const& config, findings& problems)
{
    std::set<std::string> seen;
    for (std::size_t w = 0; w < config.workspaces.size(); ++w)
    {
        auto const list = pointer_to("workspaces", w, "tokens");
        auto const& tokens = config.workspaces[w].tokens;
        for (std::size_t i = 0; i < tokens.size(); ++i)
            if (!tokens[i].sha256.empty() &&
                !seen.insert(tokens[i].sha256).second)
                problems.add(
                    child_pointer(child_pointer(list, i), "sha256"),
                    "the token stands twice");
    }
}

} // namespace

void check_references(configuration const& config, findings& problems)
{
    check_unique_names("targets", config.targets, problems);
    check_unique_names("services", config.services, problems);
    check_unique_names("workspaces", config.workspaces, problems);
    check_unique_tokens(config, problems);
    for (std::size_t i = 0; i < config.targets.size(); ++i)
        check_target(config, i, problems);
    for (std::size_t i = 0; i < config.services.size(); ++i)
    {
        check_service_targets(config, i, problems);
        check_service_model(config, i, problems);
    }
    for (std::size_t i = 0; i < config.workspaces.size(); ++i)
        check_workspace_services(config, i, problems);
}

} // namespace detail
} // namespace walnutmill

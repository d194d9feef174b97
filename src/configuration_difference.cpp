#include <walnutmill/configuration_draft.hpp>

#include "configuration_json.hpp"

#include <map>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using path_values = std::map<std::string, std::string>;

// Items with a name are found under it, so that an inserted item does not
// shift all that follow.
std::string item_path(json const& item, std::size_t index)
{
    if (item.is_object())
    {
        for (auto const* key : {"name", "principal"})
        {
            if (item.contains(key))
                return item[key].get<std::string>();
        }
    }
    return std::to_string(index);
}

bool is_plain_list(json const& value)
{
    return value.is_array() && (value.empty() || !value.front().is_object());
}

void flatten(json const& value, std::string const& path, path_values& into)
{
    if (value.is_object())
    {
        for (auto const& item : value.items())
            flatten(
                item.value(),
                path.empty() ? item.key() : path + "/" + item.key(), into);
    }
    else if (value.is_array() && !is_plain_list(value))
    {
        for (std::size_t i = 0; i < value.size(); ++i)
            flatten(value[i], path + "/" + item_path(value[i], i), into);
    }
    else
        into[path] =
            value.is_string() ? value.get<std::string>() : value.dump();
}

path_values flat(configuration const& config)
{
    path_values values;
    flatten(detail::configuration_to_json(config), "", values);
    values.erase("version");
    return values;
}

} // namespace

configuration_differences
differences(configuration const& before, configuration const& after)
{
    auto const old_values = flat(before);
    auto new_values = flat(after);
    configuration_differences found;
    for (auto const& item : old_values)
    {
        auto const at = new_values.find(item.first);
        auto const now = at == new_values.end() ? std::string() : at->second;
        if (now != item.second)
            found.push_back({item.first, item.second, now});
        if (at != new_values.end())
            new_values.erase(at);
    }
    for (auto const& item : new_values)
        found.push_back({item.first, "", item.second});
    return found;
}

std::string to_text(configuration_differences const& differences)
{
    std::string text;
    for (auto const& one : differences)
        text += one.path + ": " + (one.before.empty() ? "-" : one.before) +
                " -> " + (one.after.empty() ? "-" : one.after) + "\n";
    return text;
}

} // namespace walnutmill

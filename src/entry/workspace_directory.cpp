#include <walnutmill/workspace_directory.hpp>

#include "sha256.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

/// Maximum length of a key that is looked up, in bytes.
constexpr std::size_t max_key_bytes = 256;

/// Maximum length of the workspace name in a scoped id, in bytes. The id must
/// fit into the key of a row; longer names are replaced by a digest.
constexpr std::size_t max_scope_bytes = 48;

bool is_digit(char one)
{
    return one >= '0' && one <= '9';
}

} // namespace

key_digest digest_of_key(std::string_view key)
{
    if (key.empty() || key.size() > max_key_bytes)
        return {};
    return {sha256_hex(key)};
}

bool workspace_directory::add(
    workspace one, std::vector<key_digest> const& keys)
{
    auto const taken = std::any_of(
        keys.begin(), keys.end(),
        [this](key_digest const& key) { return by_key_.count(key.hex) > 0; });
    if (taken || by_name_.count(one.name.str()) > 0)
        return false;
    auto const at = workspaces_.size();
    for (auto const& key : keys)
    {
        if (!key.hex.empty())
            by_key_.emplace(key.hex, at);
    }
    by_name_.emplace(one.name.str(), at);
    workspaces_.push_back(std::move(one));
    return true;
}

workspace const* workspace_directory::find(key_digest const& key) const
{
    auto const found = by_key_.find(key.hex);
    return found == by_key_.end() ? nullptr : &workspaces_[found->second];
}

workspace const* workspace_directory::find(workspace_name const& name) const
{
    auto const found = by_name_.find(name.str());
    return found == by_name_.end() ? nullptr : &workspaces_[found->second];
}

// The length prefix keeps the result unambiguous if names or ids contain a
// colon.
std::string scoped_id(workspace_name const& owner, std::string const& id)
{
    auto const name = owner.str().size() > max_scope_bytes
                          ? sha256_hex(owner.str()).substr(0, max_scope_bytes)
                          : owner.str();
    return std::to_string(name.size()) + ":" + name + ":" + id;
}

bool is_scoped(std::string_view id)
{
    auto const colon = id.find(':');
    return colon != std::string_view::npos && colon > 0 &&
           std::all_of(id.begin(), id.begin() + colon, is_digit);
}

} // namespace walnutmill

#ifndef WALNUTMILL_WORKSPACE_DIRECTORY_HPP
#define WALNUTMILL_WORKSPACE_DIRECTORY_HPP

/// \file
/// The workspaces of one configuration, indexed by API key and by name.
///
/// Keys are stored as SHA-256 digests only, so that neither a log line nor a
/// core dump of a node reveals a key.

#include <walnutmill/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// SHA-256 digest of the API key of a caller.
struct key_digest
{
    /// Hexadecimal digits; empty: not a valid key.
    std::string hex;

    friend bool operator==(key_digest const& a, key_digest const& b)
    {
        return a.hex == b.hex;
    }
};

/// \return the digest of the key; an empty digest if the text is empty or
/// exceeds the maximum key length.
key_digest digest_of_key(std::string_view key);

/// Token bucket for the requests of a workspace over all nodes.
struct rate_limit
{
    /// Refill rate in requests per second; 0: no limit.
    double per_second = 0;
    /// Bucket size in requests: the burst allowed in addition to the refill.
    double burst = 0;

    bool unlimited() const { return per_second <= 0; }
    friend bool operator==(rate_limit const& a, rate_limit const& b)
    {
        return a.per_second == b.per_second && a.burst == b.burst;
    }
    friend bool operator!=(rate_limit const& a, rate_limit const& b)
    {
        return !(a == b);
    }
};

struct workspace
{
    workspace_name name;
    /// Priority that overrides the rank of the route; 0 is the most urgent.
    std::optional<std::uint32_t> rank;
    rate_limit limit;
};

class workspace_directory
{
public:
    /// \return false, without adding anything, if a key or the name already
    /// belongs to a workspace.
    bool add(workspace one, std::vector<key_digest> const& keys);

    /// \return null if the key belongs to no workspace.
    workspace const* find(key_digest const& key) const;
    /// \return null if there is no workspace of that name.
    workspace const* find(workspace_name const& name) const;
    std::size_t size() const { return workspaces_.size(); }

private:
    std::vector<workspace> workspaces_;
    std::unordered_map<std::string, std::size_t> by_key_;
    std::unordered_map<std::string, std::size_t> by_name_;
};

/// \return the id qualified by its workspace, so that equal ids of different
/// workspaces never collide.
/// \param owner empty: a caller without a workspace
std::string scoped_id(workspace_name const& owner, std::string const& id);

/// \return true if the id has the form that scoped_id() produces.
bool is_scoped(std::string_view id);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_WORKSPACE_DIRECTORY_HPP
#define WALNUTMILL_WORKSPACE_DIRECTORY_HPP

/// \file
/// The workspaces of one configuration, found by their callers' keys.
///
/// Keys are held as SHA-256 digests only, so that neither a log line nor a
/// core dump of a node gives one away.

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

/// SHA-256 of a caller's key.
struct key_digest
{
    /// Hex digits; empty: a value that is no key.
    std::string hex;

    friend bool operator==(key_digest const& a, key_digest const& b)
    {
        return a.hex == b.hex;
    }
};

/// \return the key's digest; that of no key where the text is empty or longer
/// than any key.
key_digest digest_of_key(std::string_view key);

/// Requests that a workspace may make, over all nodes: a token bucket.
struct rate_limit
{
    /// Refill in requests a second; 0: no limit.
    double per_second = 0;
    /// Requests beyond the refill that the bucket holds.
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
    /// Goes before the routes' ranks; 0 is the most urgent.
    std::optional<std::uint32_t> rank;
    rate_limit limit;
};

class workspace_directory
{
public:
    /// \return false where a key or the name belongs to another workspace
    /// already; nothing is added then.
    bool add(workspace one, std::vector<key_digest> const& keys);

    /// \return null where no workspace holds that key.
    workspace const* find(key_digest const& key) const;
    workspace const* find(workspace_name const& name) const;
    std::size_t size() const { return workspaces_.size(); }

private:
    std::vector<workspace> workspaces_;
    std::unordered_map<std::string, std::size_t> by_key_;
    std::unordered_map<std::string, std::size_t> by_name_;
};

/// \return an id that is apart from the same id of other workspaces.
/// \param owner empty: a caller without a workspace
std::string scoped_id(workspace_name const& owner, std::string const& id);

/// \return true for an id that scoped_id() may have made.
bool is_scoped(std::string_view id);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_CALLER_IDENTITY_HPP
#define WALNUTMILL_CALLER_IDENTITY_HPP

/// \file
/// Whose call it is, by the key that came with it.
///
/// Load pattern: a key is taken away while some nodes can't read the
/// configuration: turned away by the store, cut off, frozen, or fed by a node
/// that is. A key counts only on a node whose configuration was whole a bounded
/// time ago; beyond that the node can't tell, and says so. Revocation lists
/// pushed to nodes are not used: one that is cut off never gets them.

#include <walnutmill/call.hpp>
#include <walnutmill/clock.hpp>
#include <walnutmill/routing_table.hpp>

#include <string_view>

namespace walnutmill
{

enum class identity_answer
{
    /// The call is a workspace's.
    identified,
    /// The route, or the configuration, asks for no key.
    anonymous,
    /// The route asks for a key and none came.
    key_missing,
    /// No workspace of this configuration holds the key.
    key_unknown,
    /// The configuration is too old to tell.
    stale
};

std::string_view to_string(identity_answer one);

struct caller_identity
{
    identity_answer answer = identity_answer::anonymous;
    /// Null unless identified.
    workspace const* owner = nullptr;
};

/// \return the age up to which a configuration may decide on keys.
/// \param revoke_within the time within which a key that was taken away is
/// refused by all nodes; zero: no bound
duration longest_trusted_age(duration revoke_within);

/// \param configuration_age since the configuration is known to be whole
caller_identity identify(
    routing_table const& table, route const& to, call const& one,
    duration configuration_age, duration revoke_within);

} // namespace walnutmill

#endif

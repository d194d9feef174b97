#ifndef WALNUTMILL_CALLER_IDENTITY_HPP
#define WALNUTMILL_CALLER_IDENTITY_HPP

/// \file
/// Authentication of a call by its API key.
///
/// Load: a key is revoked while some nodes cannot read the configuration,
/// because the store rejects them, they are partitioned or suspended, or they
/// read it from another node in this state. Without a bound on staleness, such
/// a node would accept the revoked key indefinitely. A node therefore accepts
/// keys only while the staleness of its configuration is bounded, and answers
/// `stale` beyond that. Revocation lists pushed to nodes would not help, since
/// a partitioned node never receives them.

#include <walnutmill/call.hpp>
#include <walnutmill/clock.hpp>
#include <walnutmill/routing_table.hpp>

#include <string_view>

namespace walnutmill
{

/// Result of the authentication of a call.
enum class identity_answer
{
    /// The key belongs to a workspace.
    identified,
    /// The route or the configuration requires no key.
    anonymous,
    /// The route requires a key and the call has none.
    key_missing,
    /// The key belongs to no workspace of this configuration.
    key_unknown,
    /// The configuration is too stale to accept or reject a key.
    stale
};

std::string_view to_string(identity_answer one);

struct caller_identity
{
    identity_answer answer = identity_answer::anonymous;
    /// Null unless identified.
    workspace const* owner = nullptr;
};

/// \return the maximum staleness of a configuration that may decide on keys.
/// \param revoke_within time within which all nodes must reject a revoked key;
/// zero: no bound
duration longest_trusted_age(duration revoke_within);

/// \param configuration_age time since the configuration was last confirmed to
/// be complete and current
caller_identity identify(
    routing_table const& table, route const& to, call const& one,
    duration configuration_age, duration revoke_within);

} // namespace walnutmill

#endif

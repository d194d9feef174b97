#include <walnutmill/caller_identity.hpp>

namespace walnutmill
{
namespace
{

/// Fraction of the revocation bound up to which a configuration is trusted. The
/// remainder is a margin for clocks that run at different rates.
constexpr double trusted_fraction = 0.95;

} // namespace

std::string_view to_string(identity_answer one)
{
    switch (one)
    {
    case identity_answer::identified:
        return "identified";
    case identity_answer::anonymous:
        return "anonymous";
    case identity_answer::key_missing:
        return "key missing";
    case identity_answer::key_unknown:
        return "key unknown";
    case identity_answer::stale:
        break;
    }
    return "configuration too old";
}

duration longest_trusted_age(duration revoke_within)
{
    if (revoke_within.count() == 0)
        return duration::max();
    return duration(static_cast<duration::rep>(
        static_cast<double>(revoke_within.count()) * trusted_fraction));
}

caller_identity identify(
    routing_table const& table, route const& to, call const& one,
    duration configuration_age, duration revoke_within)
{
    if (!table.workspaces || (to.open && !one.key))
        return {};
    if (!one.key)
        return {identity_answer::key_missing, nullptr};
    if (configuration_age > longest_trusted_age(revoke_within))
        return {to.open ? identity_answer::anonymous : identity_answer::stale};
    if (auto const* owner = table.workspaces->find(*one.key))
        return {identity_answer::identified, owner};
    return {
        to.open ? identity_answer::anonymous : identity_answer::key_unknown};
}

} // namespace walnutmill

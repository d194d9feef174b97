#include "operate_store.hpp"

namespace walnutmill
{
namespace
{

result<proposal_outcome>
propose(config_store const& store, configuration_proposal const& proposal)
{
    configuration_change change;
    change.next = proposal.next;
    change.expected_version = proposal.expected_version;
    change.command_id = proposal.id;
    change.conditions = proposal.conditions;
    change.writes = proposal.writes;
    auto const outcome = store.change(change);
    if (!outcome)
        return outcome.error();
    switch (outcome.value().status)
    {
    case change_status::committed:
        return proposal_outcome::committed;
    case change_status::repeated:
        // The command's row was written with it and tells the outcome.
    case change_status::condition_failed:
        return proposal_outcome::condition_failed;
    case change_status::version_changed:
        return proposal_outcome::version_changed;
    case change_status::not_allowed:
        break;
    }
    refusal why;
    why.code = errc::conflict;
    why.message = outcome.value().message;
    return why;
}

} // namespace

void use_store(operate_hooks& hooks, config_store const& store)
{
    hooks.head = [&store] { return store.read_newer(0); };
    hooks.propose = [&store](configuration_proposal const& proposal)
    { return propose(store, proposal); };
}

} // namespace walnutmill

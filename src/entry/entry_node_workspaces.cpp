/// \file
/// What an entry node knows of the workspaces, as its calls use it.

#include "entry/entry_node.hpp"

#include <utility>

namespace walnutmill
{
namespace
{

/// Calls that wait at once for a newer configuration: a flood of unknown keys
/// is denied without waiting.
constexpr std::size_t most_waiters = 64;
/// Time after a start in which other nodes may be starting, too.
constexpr std::chrono::seconds starting_for{3};

} // namespace

void entry_node::connect_workspaces()
{
    services_.revoke_within = settings_.revoke_within;
    services_.configuration_age = [this] { return view_.configuration_age(); };
    services_.after_confirmation = [this](std::function<void()> then)
    { return await_confirmation(std::move(then)); };
    services_.quotas = &quotas_;
    loads_.on_other = [this](
                          std::string_view bytes,
                          std::function<void(std::string)> const& reply)
    {
        if (!quotas_.handle(bytes, reply))
            counters_.count("walnutmill_datagrams_dropped_total");
    };
}

bool entry_node::await_confirmation(std::function<void()> then)
{
    if (confirmation_waiters_.size() >= most_waiters)
        return false;
    confirmation_waiters_.push_back(std::move(then));
    return true;
}

void entry_node::configuration_confirmed()
{
    // Calls that have to wait on are added anew.
    for (auto const& then : std::exchange(confirmation_waiters_, {}))
        then();
}

quota_exchange::hooks entry_node::quota_hooks()
{
    quota_exchange::hooks to;
    to.send = [this](std::string const& address, std::string const& bytes)
    { loads_.send_other(address, bytes); };
    to.later = [this](duration after, std::function<void()> what)
    { call_later(after, std::move(what)); };
    to.limit_of = [this](workspace_name const& owner)
    {
        quota_exchange::known_limit known;
        auto const& table = services_.table;
        if (!table || !table->workspaces)
            return known;
        known.configuration = table->version;
        if (auto const* one = table->workspaces->find(owner))
            known.limit = one->limit;
        return known;
    };
    // A node that just started can't tell a partition from nodes that start
    // with it.
    to.reach = [this]
    { return clock_() - started_ < starting_for ? 1.0 : loads_.reach(); };
    to.on_change = [this](std::string const& node, bool answers)
    {
        log_.write(
            line_weight::important,
            answers ? "quota.coordinator_back" : "quota.coordinator_silent",
            {{"coordinator", node}});
    };
    return to;
}

} // namespace walnutmill

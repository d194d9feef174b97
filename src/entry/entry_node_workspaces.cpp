/// \file
/// Connects the calls of an entry node to the workspaces: configuration
/// confirmation for unknown keys, and quota limits.

#include "entry/entry_node.hpp"

#include "entry/call_limits.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

/// Maximum number of calls that wait for a newer configuration at the same
/// time. Beyond it, calls with unknown keys are denied without waiting, so that
/// a flood of them does not pile up.
constexpr std::size_t max_waiters = 64;
/// Time after a start within which other nodes may still be starting.
constexpr std::chrono::seconds startup_period{3};

} // namespace

void entry_node::connect_workspaces()
{
    services_.apply_within = settings_.apply_within;
    services_.revoke_within = settings_.revoke_within;
    services_.configuration_age = [this] { return view_.configuration_age(); };
    services_.configuration_source = [this]
    { return view_.configuration_source(); };
    services_.after_confirmation = [this](std::function<void()> then)
    { return await_confirmation(std::move(then)); };
    services_.quotas = &quotas_;
    set_workspace_shares(settings_.workspace_shares);
    loads_.on_other_datagram =
        [this](
            std::string_view bytes, std::string const& sender,
            std::function<void(std::string)> const& reply)
    {
        if (!quotas_.handle(bytes, reply) && !origins_.handle(bytes, reply) &&
            !crashes_.handle(bytes, sender, reply))
            counters_.count("walnutmill_datagrams_dropped_total");
    };
}

void entry_node::set_workspace_shares(bool enabled)
{
    quotas_.set_reports_use(enabled);
    services_.shares.set_enabled(enabled);
}

bool entry_node::await_confirmation(std::function<void()> then)
{
    if (confirmation_waiters_.size() >= max_waiters)
        return false;
    confirmation_waiters_.push_back(std::move(then));
    return true;
}

void entry_node::configuration_confirmed(
    platform_view::configuration_confirmation const& confirmation)
{
    observe_configuration_age(confirmation);
    // Calls that must keep waiting register themselves again, hence the
    // exchange.
    for (auto const& then : std::exchange(confirmation_waiters_, {}))
        then();
}

/// Reports a configuration that was older than the time within which a change
/// must be in force.
void entry_node::observe_configuration_age(
    platform_view::configuration_confirmation const& confirmation)
{
    if (confirmation.former_age == duration::max())
        return;
    counters_.observe(
        "walnutmill_configuration_age_seconds",
        std::chrono::duration<double>(confirmation.former_age).count());
    if (confirmation.former_age <= settings_.apply_within)
        return;
    counters_.count("walnutmill_configuration_overdue_total");
    nlohmann::json fields{
        {"age_ms", ms_count(confirmation.former_age)},
        {"former_source", confirmation.former_source},
        {"source", confirmation.source},
        {"read_ms_ago", ms_count(confirmation.read_age)},
        {"failed_reads", confirmation.failed_reads}};
    if (confirmation.since_reader_answered != duration::max())
    {
        fields["reader_answered_ms_ago"] =
            ms_count(confirmation.since_reader_answered);
    }
    log_.write(log_priority::important, "configuration.overdue", fields);
}

quota_exchange::hooks entry_node::quota_hooks()
{
    quota_exchange::hooks to;
    to.send = [this](std::string const& address, std::string const& bytes)
    { loads_.send_other_datagram(address, bytes); };
    to.schedule_after = [this](duration after, std::function<void()> what)
    { runtime_.schedule_after(after, std::move(what)); };
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
    // A node that has just started cannot tell a network partition from nodes
    // that are still starting. It assumes that all are reachable.
    to.reachable_share = [this]
    {
        return clock_() - started_ < startup_period ? 1.0
                                                    : loads_.reachable_share();
    };
    to.on_reachability_change = [this](std::string const& node, bool answers)
    {
        log_.write(
            log_priority::important,
            answers ? "quota.coordinator_back" : "quota.coordinator_silent",
            {{"coordinator", node}});
    };
    to.on_takeover =
        [this](std::string const& group, std::string const& predecessor)
    {
        log_.write(
            log_priority::routine, "quota.takeover",
            {{"group", group}, {"predecessor", predecessor}});
    };
    return to;
}

} // namespace walnutmill

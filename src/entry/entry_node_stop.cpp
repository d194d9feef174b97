/// \file
/// Signal handling of an entry node: reload of the settings on SIGHUP, graceful
/// shutdown on SIGTERM and SIGINT.
///
/// Load: planned restarts under traffic. The node keeps serving until the load
/// balancer has noticed; otherwise the callers that it still sends would be
/// refused.

#include "entry/entry_node.hpp"

#include "entry/call_limits.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Time for which the load balancer may still send callers after a shutdown
/// began: it checks readiness once a second and needs two failed checks.
constexpr milliseconds balancer_detection_time{2'600};
/// Time before the end of the grace period at which calls in flight are ended.
constexpr milliseconds end_calls_before_grace_end{700};
/// Time before the end of the grace period at which the process exits, even if
/// not all answers have been sent.
constexpr milliseconds exit_before_grace_end{400};
constexpr milliseconds stop_step_interval{50};

/// \return the longest time that a call on any route may take; zero without a
/// configuration
milliseconds max_call_time(routing_table const* table)
{
    milliseconds longest{0};
    if (table != nullptr)
    {
        for (auto const& one : table->routes)
            longest = std::max(longest, max_call_time(one));
    }
    return longest;
}

} // namespace

void entry_node::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code const& error, int signal)
        {
            if (error)
                return;
            if (signal == SIGHUP)
                reload();
            else
                stop();
            wait_for_signal();
        });
}

void entry_node::request_stop()
{
    asio::post(io_, [this] { stop(); });
}

void entry_node::reload()
{
    findings problems;
    auto const fresh = read_settings_(problems);
    if (!problems.empty())
    {
        log_.write(
            log_priority::important, "settings.rejected",
            {{"setting", problems.items().front().place},
             {"why", problems.items().front().message}});
        return;
    }
    // Listen addresses stay in force until the next start.
    settings_.store = fresh.store;
    settings_.stop_grace = fresh.stop_grace;
    settings_.revoke_within = fresh.revoke_within;
    services_.revoke_within = fresh.revoke_within;
    quotas_.set_bounds(fresh.quota);
    if (fresh.workspace_shares != settings_.workspace_shares)
        set_workspace_shares(fresh.workspace_shares);
    settings_.workspace_shares = fresh.workspace_shares;
    store_.set_address(fresh.store);
    log_.write(
        log_priority::important, "settings.reloaded",
        {{"store", settings_.store},
         {"workspace_shares", settings_.workspace_shares}});
}

void entry_node::stop()
{
    if (services_.stopping)
        return;
    services_.stopping = true;
    stop_began_ = clock_();
    log_.write(
        log_priority::important, "node.stopping",
        {{"calls", services_.calls_in_flight},
         {"connections", caller_links_.size()}});
    // Their callers reach another node with the retry.
    awaiting_store_.stop();
    quotas_.leave();
    stop_step();
}

/// Ends what is under way at the end of the grace period, so that the answers
/// are sent before the process exits.
void entry_node::end_connections()
{
    end_calls_for_exit(services_);
    auto const open = caller_links_;
    for (auto* link : open)
        link->end_for_exit();
}

bool entry_node::is_answering_nodes() const
{
    return std::any_of(
        service_links_.begin(), service_links_.end(),
        [](caller_link const* one) { return !one->idle(); });
}

/// Serves callers that the load balancer still sends. Closes connections only
/// once no request can be in transit on them.
void entry_node::stop_step()
{
    auto const since = clock_() - stop_began_;
    auto const end_calls_at = settings_.stop_grace - end_calls_before_grace_end;
    auto const ends_calls = since > end_calls_at;
    auto const last = since > settings_.stop_grace - exit_before_grace_end;
    auto const detected = since > balancer_detection_time || ends_calls;
    // Until then most callers cannot reach another node, and calls seldom take
    // as long as they may.
    if (detected)
        services_.new_calls_end_by = stop_began_ + end_calls_at;
    if (detected && since > end_calls_at - max_call_time(services_.table.get()))
    {
        boost::system::error_code ignored; // may be closed already
        caller_acceptor_.close(ignored);
    }
    if (since > balancer_detection_time && !leave_started_)
    {
        leave_started_ = true;
        ledger_.settle_all();
        leases_.release_all();
        view_.leave([this] { left_cluster_ = true; });
    }
    if (leave_started_)
        crashes_.forget_silent_runs();
    if (since > balancer_detection_time)
    {
        auto const open = caller_links_;
        for (auto* link : open)
            link->close_when_idle();
    }
    if (ends_calls)
        end_connections();
    auto const quiet =
        left_cluster_ && !ledger_.busy() && !is_answering_nodes();
    auto const drained = (quiet || ends_calls) &&
                         services_.calls_in_flight == 0 &&
                         caller_links_.empty();
    if (drained || last)
    {
        auto open = caller_links_;
        open.insert(service_links_.begin(), service_links_.end());
        for (auto* link : open)
            link->close_for_exit();
        io_.stop();
        return;
    }
    stop_timer_.expires_after(stop_step_interval);
    stop_timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                stop_step();
        });
}

} // namespace walnutmill

/// \file
/// Signal handling of an entry node: reload of the settings on SIGHUP, graceful
/// shutdown on SIGTERM and SIGINT.
///
/// Load: planned restarts under traffic. The node keeps serving until the load
/// balancer has noticed; otherwise the callers that it still sends would be
/// refused.

#include "entry/entry_node.hpp"

#include <boost/asio/post.hpp>

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
/// Time before the end of the grace period at which the process exits, even
/// with calls in flight.
constexpr milliseconds exit_before_grace_end{700};
/// Time before the exit at which the node stops accepting calls. The longest
/// call on the configured routes takes 3 s.
constexpr milliseconds last_accept_before_exit{3'100};
constexpr milliseconds stop_step_interval{50};

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
    store_.set_address(fresh.store);
    log_.write(
        log_priority::important, "settings.reloaded",
        {{"store", settings_.store}});
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
    stop_step();
}

/// Serves callers that the load balancer still sends. Closes connections only
/// once no request can be in transit on them.
void entry_node::stop_step()
{
    auto const since = clock_() - stop_began_;
    auto const last = since > settings_.stop_grace - exit_before_grace_end;
    if (since >
        settings_.stop_grace - exit_before_grace_end - last_accept_before_exit)
    {
        services_.accepts_calls = false;
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
    if (since > balancer_detection_time)
    {
        auto const open = caller_links_;
        for (auto* link : open)
            link->close_when_idle();
    }
    auto const drained = left_cluster_ && services_.calls_in_flight == 0 &&
                         caller_links_.empty() && !ledger_.busy();
    if (drained || last)
    {
        auto const open = caller_links_;
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

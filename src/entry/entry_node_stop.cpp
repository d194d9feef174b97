/// \file
/// Signals to an entry node: its settings have changed, or it is to stop as
/// planned.

#include "entry/entry_node.hpp"

#include <boost/asio/post.hpp>

#include <csignal>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// The balancer asks once a second and needs two misses, so it still sends
/// callers for this long after a stop began.
constexpr milliseconds balancer_notices{2'600};
/// Left of the grace when the process ends whatever is under way.
constexpr milliseconds end_before_grace{700};
/// Left of the grace when no further call is taken: the longest one on the
/// sites' routes takes 3 s.
constexpr milliseconds last_call_before_end{3'100};
constexpr milliseconds stop_step_every{50};

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
    auto const fresh = reread_(problems);
    if (!problems.empty())
    {
        log_.write(
            line_weight::important, "settings.rejected",
            {{"setting", problems.items().front().place},
             {"why", problems.items().front().message}});
        return;
    }
    // Addresses that the node listens on hold until its next start.
    settings_.store = fresh.store;
    settings_.stop_grace = fresh.stop_grace;
    settings_.revoke_within = fresh.revoke_within;
    services_.revoke_within = fresh.revoke_within;
    quotas_.set_bounds(fresh.quota);
    store_.set_address(fresh.store);
    log_.write(
        line_weight::important, "settings.reloaded",
        {{"store", settings_.store}});
}

void entry_node::stop()
{
    if (services_.stopping)
        return;
    services_.stopping = true;
    stop_began_ = clock_();
    log_.write(
        line_weight::important, "node.stopping",
        {{"calls", services_.calls_under_way},
         {"connections", caller_links_.size()}});
    stop_step();
}

/// Callers that the balancer still sends are served; connections are ended
/// only once no request can be on its way on them.
void entry_node::stop_step()
{
    auto const since = clock_() - stop_began_;
    auto const last = since > settings_.stop_grace - end_before_grace;
    if (since > settings_.stop_grace - end_before_grace - last_call_before_end)
    {
        services_.takes_calls = false;
        boost::system::error_code ignored; // it may be closed already
        callers_.close(ignored);
    }
    if (since > balancer_notices && !leaving_)
    {
        leaving_ = true;
        ledger_.settle_all();
        leases_.release_all();
        view_.leave([this] { left_ = true; });
    }
    if (since > balancer_notices)
    {
        auto const open = caller_links_;
        for (auto* link : open)
            link->retire();
    }
    auto const drained = left_ && services_.calls_under_way == 0 &&
                         caller_links_.empty() && !ledger_.busy();
    if (drained || last)
    {
        io_.stop();
        return;
    }
    stop_timer_.expires_after(stop_step_every);
    stop_timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                stop_step();
        });
}

} // namespace walnutmill

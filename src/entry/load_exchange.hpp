#ifndef WALNUTMILL_SRC_ENTRY_LOAD_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_LOAD_EXCHANGE_HPP

/// \file
/// Reports this node's calls in flight and their outcomes to the load
/// aggregator over UDP, and receives the sum over all nodes in return.
///
/// Load pattern: hundreds of nodes each place a few calls per second on the
/// same engines, each of which has few slots. A sum that is 200 ms old lags by
/// half the duration of a call, so calls queue at some engines while others
/// have free slots. A node therefore requests the sum before each engine choice
/// and reports the choice immediately. Broadcasting each change instead would
/// take nodes times calls datagrams.

#include <walnutmill/engine_balancer.hpp>

#include "entry/load_summary.hpp"
#include "entry/program_coordinators.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace walnutmill
{

/// Interval between reports of a node that places no calls.
constexpr std::chrono::milliseconds default_report_interval{200};

/// Exchanges load reports with the load aggregator, which may be this node, and
/// applies the sums to the load balancer.
class load_exchange
{
public:
    /// \param own_capacity_weight capacity weight of this node: its processor
    /// share, in cores \param interval shortest interval between periodic
    /// reports
    load_exchange(
        boost::asio::io_context& io, engine_balancer& balancer, clock_fn clock,
        std::string self, double own_capacity_weight = 1,
        std::chrono::milliseconds interval = default_report_interval);
    ~load_exchange();
    load_exchange(load_exchange const&) = delete;
    load_exchange& operator=(load_exchange const&) = delete;

    /// Binds the address, IP:PORT, and starts periodic reports.
    /// \return false if the address is invalid or can't be bound.
    bool listen(std::string const& address);
    /// Replaces the list of the other nodes. The report interval grows with
    /// their number.
    void set_nodes(std::vector<coordinator_candidate> others);
    /// Closes the socket, stops periodic reports and runs the waiting choices.
    void stop();

    /// Invokes the callback once a fresh sum arrives or the request for it
    /// times out; immediately if the known sum is recent enough.
    void before_choice(std::function<void()> choose);
    /// \return the share of all nodes, 0 to 1, whose reports are in the latest
    /// sum known to this node. Only this node counts once that sum is older
    /// than 600 ms.
    double reachable_share() const;
    /// Schedules a report of this node's calls after one began or ended.
    void calls_changed();

    /// Called when an engine is ejected because calls of all nodes failed
    /// there.
    std::function<void(target_name const&, recent_outcomes const&)> on_ejection;

    /// Source and destination of the machine figures and speeds, initially the
    /// load balancer.
    struct speed_hooks
    {
        std::function<std::vector<machine_figure>()> own_figures;
        std::function<std::vector<speed_sample>()> own_speeds;
        /// Replaces the figures known from other nodes.
        std::function<void(std::vector<machine_figure> const&)> set_figures;
        /// Replaces the speeds known of the engines named. They include this
        /// node's own calls.
        std::function<void(std::vector<speed_sample> const&)> set_speeds;
    };
    speed_hooks speeds;

    /// Handles datagrams of other protocols that share the address; if null,
    /// they are dropped.
    std::function<void(
        std::string_view bytes, std::string const& sender,
        std::function<void(std::string)> const& reply)>
        on_other_datagram;
    /// Sends a datagram of another protocol to IP:PORT.
    void
    send_other_datagram(std::string const& address, std::string const& bytes);

private:
    /// A report that has not been answered yet.
    struct pending_report
    {
        std::uint64_t number = 0;
        time_point sent_at{};
        engine_counts calls;
    };

    void report_periodically();
    void report();
    void report_changes();
    void receive();
    void handle_datagram(std::string_view bytes);
    void handle_other_datagram(std::string_view bytes);
    void answer(load_message const& request);
    void apply_sum(load_report const& sum, engine_counts const& own);
    void apply_speeds(speed_report const& sum) const;
    void run_waiting_choices();
    coordinator_candidate const* find_aggregator(time_point now);
    bool send(
        coordinator_candidate const& to, std::uint64_t number,
        load_report const& own);
    load_report own_report(time_point now);

    engine_balancer& balancer_;
    clock_fn clock_;
    std::string self_;
    program_coordinators coordinators_;
    load_summary summary_;
    speed_reports speed_reports_;
    boost::asio::io_context& io_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer choice_timer_;
    std::array<char, 65'536> buffer_{};
    std::chrono::milliseconds shortest_interval_;
    std::chrono::milliseconds interval_;
    std::uint64_t number_ = 0;
    /// Unanswered reports, oldest first, and the load aggregator they were sent
    /// to.
    std::deque<pending_report> pending_reports_;
    std::string aggregator_name_;
    /// Time at which the known sum was requested.
    time_point sum_requested_at_{};
    /// Number of nodes in the known sum, and of all known nodes.
    std::uint32_t reporting_nodes_ = 0;
    std::size_t known_nodes_ = 1;
    /// Engine choices that wait for a sum.
    std::vector<std::function<void()>> waiting_choices_;
    bool changes_to_report_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

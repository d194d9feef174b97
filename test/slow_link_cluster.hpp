#ifndef WALNUTMILL_TEST_SLOW_LINK_CLUSTER_HPP
#define WALNUTMILL_TEST_SLOW_LINK_CLUSTER_HPP

/// \file
/// Simulated failure domain whose nodes read a large configuration over links
/// and with processors of limited speed. Views, the clients of the store and
/// of other nodes are the product's; the network and the store are simulated.
///
/// A view is overdue if it lacks a change that is older than the bound.

#include "entry/line_log.hpp"
#include "entry/platform_view.hpp"
#include "entry/section_client.hpp"
#include "entry/store_client.hpp"

#include "simulated_network.hpp"
#include "store_rows.hpp"

#include <walnutmill/random.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{
namespace testing
{

struct slow_link_cluster_options
{
    /// 0.5 cores and 600 Mbit/s.
    std::size_t strong_nodes = 5;
    /// 0.12 cores and 30 Mbit/s.
    std::size_t weak_nodes = 18;
    std::size_t routes = 4'200;
    std::size_t workspaces = 85;
    /// Interval between reads.
    std::chrono::milliseconds interval{1'000};
    std::uint32_t seed = 1;
};

class slow_link_cluster
{
public:
    explicit slow_link_cluster(slow_link_cluster_options options);
    slow_link_cluster(slow_link_cluster const&) = delete;
    slow_link_cluster& operator=(slow_link_cluster const&) = delete;

    void run_for(duration span) { network_.run_for(span); }

    /// Moves one route to another service.
    void change_configuration();
    /// Adds routes.
    void grow_configuration(std::size_t routes);
    /// Lets the store reject all calls of a node. Strong nodes come first.
    void turn_away(std::size_t index) { nodes_[index]->turned_away = true; }
    /// Lets the store forget what changed up to now.
    void forget_history() { rows_.forget_history(); }
    /// Forgets the stalenesses and the bytes so far.
    void start_measuring();

    /// \return the largest time for which a node lacked a change
    duration worst_configuration() const { return worst_configuration_; }
    duration worst_engines() const { return worst_engines_; }
    /// \return bytes that the store has sent
    std::size_t store_bytes() const { return store_bytes_; }
    /// \return how often a node found the store unreachable
    std::size_t store_losses() const { return store_losses_; }

private:
    using machine_id = simulated_network::machine_id;

    struct node
    {
        std::string name;
        machine_id machine = 0;
        std::unique_ptr<line_log> log;
        std::unique_ptr<store_client> store;
        std::unique_ptr<section_client> sections;
        std::unique_ptr<platform_view> view;
        std::uint64_t configuration = 0;
        std::uint64_t engines = 0;
        bool turned_away = false;
    };
    struct change
    {
        std::uint64_t number = 0;
        time_point at{};
    };
    using reply_fn = std::function<void(int status, std::string body)>;
    struct pending_exchange;
    using pending_ptr = std::shared_ptr<pending_exchange>;

    void add_node(std::size_t index);
    exchange_runtime runtime_of(std::size_t index);
    platform_view::hooks hooks_of(std::size_t index);
    void exchange(
        std::size_t index, exchange_request request,
        std::function<void(exchange_reply)> done);
    void send_answer(pending_ptr const& call, int status, std::string body);
    void report_progress(pending_ptr const& call);
    void await_progress(pending_ptr const& call);
    void serve_at_store(std::string const& call, reply_fn const& reply);
    void serve_at_node(node& at, pending_ptr const& asked, reply_fn reply);
    void write_configuration();
    void change_engine();
    void check();
    duration
    staleness_of(std::deque<change> const& changes, std::uint64_t known) const;

    slow_link_cluster_options options_;
    simulated_network network_;
    random_fn random_;
    store_rows rows_;
    machine_id store_ = 0;
    std::vector<std::unique_ptr<node>> nodes_;
    std::string routes_;
    std::string workspaces_;
    std::size_t document_bytes_ = 0;
    std::deque<change> configurations_;
    std::deque<change> engines_;
    std::size_t store_bytes_ = 0;
    std::size_t store_losses_ = 0;
    duration worst_configuration_{0};
    duration worst_engines_{0};
};

} // namespace testing
} // namespace walnutmill

#endif

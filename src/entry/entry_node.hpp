#ifndef WALNUTMILL_SRC_ENTRY_ENTRY_NODE_HPP
#define WALNUTMILL_SRC_ENTRY_ENTRY_NODE_HPP

/// \file
/// One entry node: its listeners, its view of the platform, the calls in
/// flight, and its graceful shutdown.

#include "entry/call_flow.hpp"
#include "entry/caller_link.hpp"
#include "entry/crash_exchange.hpp"
#include "entry/engine_links.hpp"
#include "entry/entry_settings.hpp"
#include "entry/history_exchange.hpp"
#include "entry/line_log.hpp"
#include "entry/load_exchange.hpp"
#include "entry/origin_exchange.hpp"
#include "entry/platform_view.hpp"
#include "entry/quota_exchange.hpp"
#include "entry/recent_idle_timeouts.hpp"
#include "entry/row_sweeper.hpp"
#include "entry/section_client.hpp"
#include "entry/store_client.hpp"
#include "entry/store_waiters.hpp"
#include "entry/version_register.hpp"

#include <walnutmill/start_lease.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace walnutmill
{

class entry_node
{
public:
    using settings_reader_fn = std::function<entry_settings(findings&)>;

    /// \param read_settings rereads the settings; called on SIGHUP
    entry_node(entry_settings settings, settings_reader_fn read_settings);
    ~entry_node();
    entry_node(entry_node const&) = delete;
    entry_node& operator=(entry_node const&) = delete;

    /// Serves until a graceful shutdown has finished.
    /// \return false if the node could not listen on one of its addresses
    bool run();

    /// Begins a graceful shutdown, as SIGTERM does. Thread-safe.
    void request_stop();

private:
    using acceptor = boost::asio::ip::tcp::acceptor;
    using request_type = caller_link::request_type;
    using link_ptr = std::shared_ptr<caller_link>;

    bool listen(acceptor& on, std::string const& address);
    void accept(acceptor& on, caller_link::hooks hooks);
    caller_link::hooks caller_hooks();
    caller_limits limits_for_callers() const;
    caller_link::hooks service_hooks(
        std::function<void(link_ptr const&, request_type const&)> answer);
    void report_unanswered(
        std::string_view listener, std::size_t bytes, std::string_view why);
    void answer_ready(link_ptr const& link);
    void answer_metrics(link_ptr const& link);
    void answer_peer(link_ptr const& link, request_type const& request);
    store_client::hooks store_hooks();
    store_waiters::hooks store_wait_hooks();
    platform_view::hooks view_hooks();
    void answer_sections(link_ptr const& link, request_type const& request);
    void relay_store_call(link_ptr const& link, request_type const& request);

    bool ready() const;
    void set_configuration(std::shared_ptr<routing_table const> table);
    void set_engines(std::vector<engine_entry> const& engines);
    void set_members(std::vector<entry_member> const& members);
    void wait_for_signal();
    void reload();
    void stop();
    void stop_step();
    void end_connections();
    bool is_answering_nodes() const;
    void limit_unsent_answers();
    void tick();
    start_leases::hooks lease_hooks();
    quota_exchange::hooks quota_hooks();
    /// \return the interval between reads of the configuration and the engines.
    /// The actual interval may be up to 50 % longer.
    static std::chrono::milliseconds
    read_interval(entry_settings const& settings);
    void connect_workspaces();
    void set_workspace_shares(bool enabled);
    void connect_streams();
    origin_exchange::hooks origin_hooks();
    version_register::hooks version_hooks();
    void register_versions();
    void connect_crashes();
    crash_exchange::hooks crash_hooks();
    void given_up_run_decided(request_run const& run, run_decision what);
    void report_ended_engines(std::vector<engine_entry> const& engines);
    void answer_operator(link_ptr const& link, request_type const& request);
    std::string suspects_text() const;
    void gauge_crashes();
    void log_load_summary();
    bool await_confirmation(std::function<void()> then);
    void configuration_confirmed(
        platform_view::configuration_confirmation const& confirmation);
    void observe_configuration_age(
        platform_view::configuration_confirmation const& confirmation);
    ledger_options options_of_ledger();
    void log_blocked_turn(blocked_turn const& one);
    history_options options_of_history();
    sweep_options options_of_sweeper();
    void sweep_rows();

    boost::asio::io_context io_;
    entry_settings settings_;
    settings_reader_fn read_settings_;
    clock_fn clock_;
    random_fn random_;
    std::string incarnation_;
    line_log log_;
    metrics counters_;
    exchange_runtime runtime_;
    store_client store_;
    engine_balancer balancer_;
    engine_links links_;
    start_leases leases_;
    program_ledger ledger_;
    budget_service budgets_;
    turn_history history_;
    history_exchange peer_history_;
    load_exchange loads_;
    quota_exchange quotas_;
    origin_exchange origins_;
    version_register versions_;
    crash_exchange crashes_;
    store_waiters awaiting_store_;
    row_sweeper sweeper_;
    promised_retention retention_;
    section_client sections_;
    entry_services services_;
    platform_view view_;
    acceptor caller_acceptor_;
    acceptor ready_acceptor_;
    acceptor peer_acceptor_;
    acceptor metrics_acceptor_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer stop_timer_;
    std::unordered_set<caller_link*> caller_links_;
    /// Connections for readiness, from other nodes and for metrics.
    std::unordered_set<caller_link*> service_links_;
    recent_idle_timeouts former_idle_timeouts_;
    /// The registered engines; unset until they were read.
    std::optional<std::vector<engine_entry>> engines_;
    /// Continuations of calls that wait for a newer configuration.
    std::vector<std::function<void()>> confirmation_waiters_;
    /// Incarnations of the other nodes that are members.
    std::unordered_set<std::string> live_incarnations_;
    time_point started_{};
    time_point stop_began_{};
    bool checks_unsent_answers_ = false;
    bool left_cluster_ = false;
    bool leave_started_ = false;
    std::uint64_t ticks_ = 0;
    boost::asio::steady_timer sweep_timer_;
    /// Index of the partition to sweep next.
    std::size_t next_partition_ = 0;
};

} // namespace walnutmill

#endif

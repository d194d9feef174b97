#include "entry/entry_node.hpp"

#include "entry/call_limits.hpp"
#include "entry/partitions.hpp"

#include <walnutmill/hash.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <map>
#include <random>
#include <set>
#include <unistd.h>
#include <utility>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Listen backlog, in connections. The callers of a whole failure domain may
/// connect at once when its other nodes stop.
constexpr int backlog = 1'024;
/// Interval of the periodic work on budgets, quotas, leases and the log.
constexpr milliseconds tick_interval{200};
/// Number of ticks between sweeps of idle engine connections.
constexpr std::uint64_t sweep_ticks = 5;
/// Interval between sweeps of one partition each. All 64 partitions are swept
/// within about five minutes, so that expired rows stay a fraction of the rows
/// in use.
constexpr milliseconds sweep_interval{5'000};
/// Minimum interval between reads of configuration and engines, however short
/// the configured bounds are. A read takes up to about 100 ms on a slow store.
constexpr milliseconds min_read_interval{450};
/// Reads within the time in which a draining engine or a new configuration has
/// to be known, so that the next read makes up for a lost answer. With an
/// interval of 450 ms, these reads are a fifth of all store calls on 13 nodes
/// and a third on 64.
constexpr int reads_per_bound = 3;
/// The turn cache may take the process's memory divided by this.
constexpr std::uint64_t cache_memory_divisor = 8;
constexpr std::size_t bytes_per_mb = 1'048'576;

/// Unlike the steady clock, this clock advances while the machine is suspended.
time_point boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

time_point steady_now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

std::uint32_t seed_of(std::string const& text)
{
    return static_cast<std::uint32_t>(stable_hash(text));
}

/// \return an identifier of this process that is unique over time: the node
/// name and 64 random bits.
std::string new_incarnation(std::string const& node)
{
    std::random_device device;
    std::uint64_t const random_bits =
        (static_cast<std::uint64_t>(device()) << 32U) | device();
    constexpr int base = 36;
    std::string text;
    for (auto remaining = random_bits; remaining > 0; remaining /= base)
        text.push_back(
            "0123456789abcdefghijklmnopqrstuvwxyz"[remaining % base]);
    return node + "." + text;
}

stall_options stall_options_of(entry_settings const& settings)
{
    stall_options to;
    to.min_timeout = settings.min_stall_timeout;
    return to;
}

/// Store access of the turn history. Commits are retried, so that a served turn
/// is stored whenever possible. Reads fail fast, so that a turn whose history
/// cannot be read is refused at once.
versioned_store history_store(store_client& store)
{
    auto to = store.calls(store_client::unavailable_policy::fail_fast);
    to.commit =
        store.calls(store_client::unavailable_policy::retry_until_timeout)
            .commit;
    return to;
}

/// Store access of the platform view. Commits are tried once, since all members
/// renew rows of the same partition.
versioned_store view_store(store_client& store)
{
    auto to =
        store.calls(store_client::unavailable_policy::retry_until_timeout);
    to.commit =
        store.calls(store_client::unavailable_policy::single_attempt).commit;
    return to;
}

} // namespace

milliseconds entry_node::read_interval(entry_settings const& settings)
{
    auto bound = std::min(settings.apply_within, settings.drain_within);
    if (settings.revoke_within.count() > 0)
        bound = std::min(bound, settings.revoke_within);
    return std::max(min_read_interval, bound / reads_per_bound);
}

entry_node::entry_node(
    entry_settings settings, settings_reader_fn read_settings)
    : settings_(std::move(settings)), read_settings_(std::move(read_settings)),
      clock_(steady_now), incarnation_(new_incarnation(settings_.node)),
      log_(
          settings_.node, clock_, descriptor_sink(STDOUT_FILENO), log_limits()),
      runtime_(network_runtime(io_)),
      store_(
          runtime_, settings_.store, seeded_random(seed_of(incarnation_)),
          store_hooks()),
      balancer_(
          zone_name(settings_.domain), clock_,
          seeded_random(seed_of(incarnation_ + "board"))),
      links_(io_),
      leases_(
          store_.calls(store_client::unavailable_policy::fail_fast), clock_,
          system_utc(), incarnation_, program_ledger::table(), lease_hooks()),
      ledger_(
          store_.calls(store_client::unavailable_policy::fail_fast), clock_,
          incarnation_, options_of_ledger(), &leases_),
      budgets_(
          io_, ledger_, clock_, settings_.node, incarnation_, {},
          settings_.capacity_weight),
      history_(history_store(store_), options_of_history()),
      peer_history_(io_, history_, clock_, settings_.node, settings_.domain),
      loads_(io_, balancer_, clock_, settings_.node, settings_.capacity_weight),
      quotas_(
          clock_, settings_.node, settings_.capacity_weight, settings_.quota,
          quota_hooks()),
      origins_(clock_, settings_.node, settings_.domain, origin_hooks()),
      versions_(
          store_.calls(store_client::unavailable_policy::fail_fast), boot_now,
          seeded_random(seed_of(incarnation_ + "versions")), version_hooks()),
      crashes_(
          clock_, seeded_random(seed_of(incarnation_ + "crashes")),
          crash_hooks()),
      awaiting_store_(clock_, store_wait_hooks()),
      sweeper_(
          store_.calls(store_client::unavailable_policy::fail_fast),
          system_utc(), swept_tables(), options_of_sweeper()),
      retention_(clock_),
      sections_(
          runtime_, log_,
          platform_view::query_response_limit(read_interval(settings_))),
      services_{
          io_,
          clock_,
          seeded_random(seed_of(incarnation_ + "calls")),
          balancer_,
          links_,
          budgets_,
          history_,
          log_,
          counters_,
          stall_options_of(settings_),
          retry_budget(),
          active_ranks(),
          nullptr,
          1,
          false,
          std::nullopt,
          0,
          [this] { return store_.lost_for(); },
          {}},
      view_(
          view_store(store_), clock_,
          seeded_random(seed_of(incarnation_ + "view")), log_,
          {settings_.node, settings_.listen_peers, settings_.domain,
           incarnation_, settings_.capacity_weight},
          read_interval(settings_), view_hooks()),
      caller_acceptor_(io_), ready_acceptor_(io_), peer_acceptor_(io_),
      metrics_acceptor_(io_), signals_(io_, SIGTERM, SIGHUP, SIGINT),
      tick_timer_(io_), stop_timer_(io_), sweep_timer_(io_)
{
    services_.before_choice = [this](std::function<void()> choose)
    { loads_.before_choice(std::move(choose)); };
    services_.on_calls_changed = [this] { loads_.calls_changed(); };
    connect_workspaces();
    connect_streams();
    connect_crashes();
    services_.awaiting_store = &awaiting_store_;
    balancer_.is_connected = [this](target_name const& engine)
    { return links_.has_idle(engine); };
    loads_.on_ejection =
        [this](target_name const& engine, recent_outcomes const& seen)
    {
        log_.write(
            log_priority::routine, "engine.rests",
            {{"engine", engine.str()},
             {"failed_lately", seen.failed},
             {"answered_lately", seen.answered}});
    };
}

entry_node::~entry_node()
{
    services_.calls->is_closed = true;
}

bool entry_node::listen(acceptor& on, std::string const& address)
{
    auto const at = endpoint_of(address);
    boost::system::error_code error;
    if (!at)
        return false;
    on.open(at->protocol(), error);
    if (!error)
        on.set_option(acceptor::reuse_address(true), error);
    if (!error)
        on.bind(*at, error);
    if (!error)
        on.listen(backlog, error);
    if (error)
    {
        log_.write(
            log_priority::important, "listen.failed",
            {{"address", address}, {"why", error.message()}});
        log_.flush();
    }
    return !error;
}

void entry_node::accept(acceptor& on, caller_link::hooks hooks)
{
    on.async_accept(
        [this, &on, hooks = std::move(hooks)](
            boost::system::error_code const& error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
            {
                auto const link =
                    std::make_shared<caller_link>(std::move(socket), hooks);
                auto& links =
                    &on == &caller_acceptor_ ? caller_links_ : service_links_;
                links.insert(link.get());
                link->start();
            }
            accept(on, hooks);
        });
}

ledger_options entry_node::options_of_ledger()
{
    ledger_options to;
    to.is_coordinator = [this](program_id const& program)
    { return budgets_.is_coordinator_of(partition_of(program.str())); };
    to.on_blocked = [this](blocked_turn const& one) { log_blocked_turn(one); };
    return to;
}

void entry_node::log_blocked_turn(blocked_turn const& one)
{
    counters_.count("walnutmill_turns_blocked_by_reservations_total");
    auto others = nlohmann::json::array();
    for (auto const& other : one.others)
    {
        others.push_back(
            {{"holder", other.incarnation},
             {"tokens", other.tokens},
             {"escrow", other.is_escrow},
             {"alive", other.is_alive}});
    }
    log_.write(
        log_priority::routine, "budget.blocked",
        {{"program", one.program.str()},
         {"budget_tokens", one.budget},
         {"most_tokens", one.most_tokens},
         {"kept", one.is_kept},
         {"spent_tokens", one.spent},
         {"unsettled_tokens", one.unsettled},
         {"in_flight_tokens", one.in_flight},
         {"others", std::move(others)}});
}

history_options entry_node::options_of_history()
{
    history_options to;
    to.cache_bytes = std::min<std::size_t>(
        to.cache_bytes,
        settings_.memory_mb * bytes_per_mb / cache_memory_divisor);
    to.schedule_after = [this](milliseconds after, std::function<void()> what)
    { runtime_.schedule_after(after, std::move(what)); };
    return to;
}

sweep_options entry_node::options_of_sweeper()
{
    sweep_options to;
    to.clock = clock_;
    return to;
}

start_leases::hooks entry_node::lease_hooks()
{
    start_leases::hooks to;
    to.is_coordinator = [this](std::string const& partition)
    { return budgets_.is_coordinator_of(partition); };
    to.is_alive = [this](std::string const& incarnation)
    { return live_incarnations_.count(incarnation) > 0; };
    to.on_event = [this](lease_event const& one)
    {
        counters_.count(
            "walnutmill_lease_events_total{what=\"" + std::string(one.what) +
            "\"}");
        log_.write(
            log_priority::routine, "lease." + std::string(one.what),
            {{"partition", one.partition},
             {"program", one.program},
             {"row_version", one.version},
             {"former", one.former},
             {"confirmed_ms_ago", ms_count(one.age)}});
    };
    return to;
}

void entry_node::set_configuration(std::shared_ptr<routing_table const> table)
{
    if (services_.table)
    {
        former_idle_timeouts_.add(
            services_.table->limits.idle_timeout, clock_());
    }
    services_.table = std::move(table);
    // Total call times are kept by route, and the routes may have changed.
    services_.max_call_times.clear();
    milliseconds kept_for{0};
    for (auto const& one : services_.table->routes)
        kept_for = std::max(kept_for, one.kept_for);
    retention_.configure(
        std::chrono::duration_cast<std::chrono::seconds>(kept_for));
    register_versions();
}

void entry_node::set_engines(std::vector<engine_entry> const& engines)
{
    counters_.gauge(
        "walnutmill_engines_known", static_cast<double>(engines.size()));
    std::map<std::string, std::set<std::string>> versions;
    for (auto const& one : engines)
        versions[one.service.str()].insert(one.version);
    for (auto const& [service, known] : versions)
    {
        counters_.gauge(
            "walnutmill_engine_versions{service=\"" + service + "\"}",
            static_cast<double>(known.size()));
    }
    for (auto const& one : balancer_.set_engines(engines))
        links_.close_former_incarnations(one);
    report_ended_engines(engines);
    engines_ = engines;
    register_versions();
}

void entry_node::set_members(std::vector<entry_member> const& members)
{
    std::vector<std::string> relay_addresses;
    std::vector<coordinator_candidate> coordinators;
    std::map<std::string, std::vector<coordinator_candidate>> by_domain;
    live_incarnations_.clear();
    for (auto const& one : members)
    {
        live_incarnations_.insert(one.incarnation);
        relay_addresses.push_back(one.address);
        coordinator_candidate const coordinator{
            one.node, one.address, one.strength};
        coordinators.push_back(coordinator);
        by_domain[one.domain].push_back(coordinator);
    }
    peer_history_.set_nodes(std::move(by_domain));
    loads_.set_nodes(coordinators);
    quotas_.set_nodes(coordinators);
    origins_.set_nodes(members);
    crashes_.set_nodes(members);
    budgets_.set_nodes(std::move(coordinators));
    leases_.membership_known();
    services_.nodes = static_cast<std::uint32_t>(members.size() + 1);
    store_.set_relays(std::move(relay_addresses));
}

store_client::hooks entry_node::store_hooks()
{
    store_client::hooks to;
    to.on_change = [this](bool reachable, std::string_view why)
    {
        log_.write(
            log_priority::important,
            reachable ? "store.regained" : "store.lost", {{"why", why}});
    };
    to.on_recovery = [this]
    {
        view_.refresh();
        awaiting_store_.store_recovered();
    };
    to.counters = &counters_;
    to.on_failed_call = [this](store_client::failed_call const& one)
    {
        log_.write(
            log_priority::routine, "store.call_failed",
            {{"call", one.verb},
             {"table", one.table},
             {"ms", ms_count(one.took)},
             {"attempts", one.attempts},
             {"abandoned_bytes", one.abandoned_bytes}});
    };
    return to;
}

store_waiters::hooks entry_node::store_wait_hooks()
{
    store_waiters::hooks to;
    to.schedule_after = [this](duration after, std::function<void()> what)
    { runtime_.schedule_after(after, std::move(what)); };
    to.is_store_lost = [this] { return store_.lost_for().count() > 0; };
    to.on_ended = [this](store_wait_end how)
    {
        counters_.count(
            "walnutmill_store_waits_total{end=\"" +
            std::string(to_string(how)) + "\"}");
    };
    return to;
}

platform_view::hooks entry_node::view_hooks()
{
    platform_view::hooks to;
    to.on_configuration = [this](std::shared_ptr<routing_table const> table)
    { set_configuration(std::move(table)); };
    to.on_engines = [this](std::vector<engine_entry> const& engines)
    { set_engines(engines); };
    to.on_members = [this](std::vector<entry_member> const& members)
    { set_members(members); };
    to.ask = [this](
                 std::string const& address, std::string const& query,
                 platform_view::peer_answer_fn const& done)
    { sections_.ask(address, query, done); };
    to.schedule_after = [this](duration after, std::function<void()> what)
    { runtime_.schedule_after(after, std::move(what)); };
    to.boot_clock = boot_now;
    to.on_configuration_confirmed =
        [this](platform_view::configuration_confirmation const& one)
    { configuration_confirmed(one); };
    return to;
}

bool entry_node::run()
{
    log_.write(
        log_priority::important, "node.start",
        {{"incarnation", incarnation_},
         {"domain", settings_.domain},
         {"store", settings_.store},
         {"callers", settings_.listen_callers},
         {"workspace_shares", settings_.workspace_shares}});
    if (!listen(caller_acceptor_, settings_.listen_callers) ||
        !listen(ready_acceptor_, settings_.listen_ready) ||
        !listen(peer_acceptor_, settings_.listen_peers))
        return false;
    if (!loads_.listen(settings_.listen_peers))
    {
        log_.write(
            log_priority::important, "listen.failed",
            {{"address", settings_.listen_peers},
             {"why", "cannot bind the UDP address"}});
        log_.flush();
        return false;
    }
    accept(caller_acceptor_, caller_hooks());
    accept(
        ready_acceptor_,
        service_hooks([this](link_ptr const& link, request_type const&)
                      { answer_ready(link); }));
    accept(
        peer_acceptor_,
        service_hooks([this](link_ptr const& link, request_type const& request)
                      { answer_peer(link, request); }));
    if (!settings_.listen_metrics.empty() &&
        listen(metrics_acceptor_, settings_.listen_metrics))
    {
        accept(
            metrics_acceptor_,
            service_hooks(
                [this](link_ptr const& link, request_type const& request)
                { answer_operator(link, request); }));
    }
    wait_for_signal();
    started_ = clock_();
    view_.start();
    tick();
    sweep_rows();
    io_.run();
    log_.write(
        log_priority::important, "node.stopped",
        {{"calls_cut", services_.calls_in_flight}});
    log_.flush();
    links_.close_all();
    return true;
}

void entry_node::tick()
{
    ledger_.tick();
    budgets_.tick();
    quotas_.tick();
    versions_.tick();
    crashes_.tick();
    if (!services_.stopping)
        leases_.tick();
    log_load_summary();
    log_.flush();
    if (++ticks_ % sweep_ticks == 0)
    {
        links_.sweep([this](target_name const& one)
                     { return balancer_.known(one); });
    }
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                tick();
        });
}

/// Sweeps one partition after the other, skipping those that another node
/// coordinates.
void entry_node::sweep_rows()
{
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (error || services_.stopping)
                return;
            auto const partitions = all_partitions();
            auto const& partition =
                partitions[next_partition_++ % partitions.size()];
            if (services_.table && budgets_.is_coordinator_of(partition))
            {
                sweeper_.sweep(
                    partition, retention_.longest(),
                    [this, partition](std::size_t removed)
                    {
                        if (removed > 0)
                        {
                            log_.write(
                                log_priority::routine, "rows.removed",
                                {{"partition", partition}, {"rows", removed}});
                        }
                    });
            }
            sweep_rows();
        });
}

} // namespace walnutmill

#ifndef WALNUTMILL_ENGINE_BALANCER_HPP
#define WALNUTMILL_ENGINE_BALANCER_HPP

/// \file
/// Engine load balancer: selects the engine for a call from what this node
/// knows of each engine: its own calls there, the load reported in answers,
/// prefix cache locations, observed latency and failures.
///
/// Load patterns: bursts that many nodes place independently, a slow engine
/// that reports normal load, an engine that passes health checks but fails a
/// fraction of its calls, a hot shared prompt. Without this component nodes
/// herd on the engine that looked idle last, a slow engine keeps its share of
/// every program's turns, and prompts are prefilled again on engine after
/// engine.
///
/// The candidate with the lowest expected cost in milliseconds wins. The cost
/// covers prefill of uncached tokens, decoding at the rate its load allows, the
/// slowdown of calls in the same batch, the wait for a slot, and penalties for
/// another failure domain, a new connection and recent failures.
///
/// The first part of a prompt is a prefix shared by many programs. It is
/// assigned to a number of engines in each failure domain that is proportional
/// to its share of the calls: the first ones in an order by rendezvous hash
/// that all nodes compute alike. With every shared prefix on every engine, 12
/// calls of 15,000 tokens each fill an engine's memory (233,774 tokens), and
/// half of all prompt tokens prefilled are shared prefixes read again (two
/// fleets of some 80 nodes).

#include <walnutmill/call.hpp>
#include <walnutmill/clock.hpp>
#include <walnutmill/engine_speeds.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/routing_table.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// Cost model, ejection and prefix placement parameters of the load balancer.
struct balancer_options
{
    /// Duration of one decoding step at batch size one, the increment for each
    /// further call in the batch, and the prefill rate. The values come from
    /// the engines of two customers; the slowdown learned for each engine
    /// scales them.
    double step_ms = 1.14;
    double step_ms_per_call = 0.0323;
    double prefill_tokens_per_ms = 336.0;
    /// Time to the first token excluding prefill.
    double first_token_ms = 10.0;
    /// Average duration of a plain call (20 to 104 ms for three customers).
    /// Only its ratio to the penalties matters.
    double plain_call_ms = 60.0;
    /// Penalty for an engine in another failure domain. Transferring 20 KB a
    /// turn costs 0.004 to 0.019 of a turn's credit of 1 to 3, and 3 ms of a
    /// turn of some 400 ms is less than the noise of the estimate. The penalty
    /// therefore does little more than break ties in favor of the local domain.
    double cross_domain_penalty_ms = 6.0;
    /// Penalty for a new connection: a round trip, the engine's handshake,
    /// which occupies a slot, and the work of both ends.
    double connect_penalty_ms = 4.0;
    /// Penalty for each other call at the engine, for a call that is to be
    /// apart: ten times that of a call in the same batch, so that it decides.
    double apart_penalty_ms_per_call = 200.0;
    /// Expected cost of a failed call: it is retried after 100 to 400 ms and
    /// runs once more.
    double failure_penalty_ms = 700.0;
    /// Weights of the newest sample in moving averages. They span about ten
    /// calls, half a second of an engine's calls from one node.
    double slowdown_weight = 0.1;
    double failure_weight = 0.2;
    /// Weight of the newest sample in a service's average slowdown. It spans
    /// about fifty calls, two to four seconds of a node's calls, so that one
    /// slow engine of ten has little influence.
    double service_slowdown_weight = 0.02;
    /// Half-life of an engine's failure rate. An engine that receives no calls
    /// cannot show that it has recovered. Failure periods last some 5 s, and a
    /// probe every few seconds costs a twentieth of the calls that such a
    /// period would.
    duration failure_half_life = std::chrono::seconds(3);
    /// Time constant with which an engine's reported load decays to its
    /// average: the duration of calls there (300 to 500 ms).
    duration load_decay_time = std::chrono::milliseconds(400);
    /// Initial and maximum ejection time of an engine that cannot be connected
    /// to. A restart takes one to four seconds.
    duration base_ejection_time = std::chrono::milliseconds(300);
    duration max_ejection_time = std::chrono::milliseconds(3'000);
    /// Half-life of the outcome counts.
    duration outcome_half_life = std::chrono::milliseconds(250);
    /// Recent failed calls of all nodes required to eject an engine, and their
    /// minimum ratio to answered calls.
    double ejection_min_failures = 3;
    double ejection_failure_ratio = 0.5;
    /// Initial ejection time when reported outcomes cause the ejection. A
    /// restart takes one to four seconds, and each probe costs the calls of one
    /// exchange.
    duration reported_ejection_time = std::chrono::milliseconds(600);
    /// Time without new calls after an engine reports that it is full: a
    /// twentieth of a call's duration on all its slots.
    duration full_engine_backoff = std::chrono::milliseconds(30);
    /// Number of engines compared for a call, sampled at random from the local
    /// and the remote failure domains among those assigned the call's shared
    /// prefix. All nodes see the same loads, up to 200 ms old, so comparing all
    /// engines would make all nodes choose the one that looked idle. A few
    /// random choices come close to the optimum without herding (Mitzenmacher
    /// 2000).
    std::size_t local_candidates = 3;
    std::size_t remote_candidates = 1;
    /// Minimum number of engines for a shared prefix, as a multiple of its
    /// share of the calls.
    double min_replica_factor = 1.5;
    /// Fraction of an engine's cache that shared prefixes may occupy. A large
    /// cache lets more engines hold each prefix.
    double shared_cache_fraction = 0.25;
    /// Weight of the newest call in the moving share of a shared prefix. It
    /// spans about 200 calls, a quarter of a minute of a node's turns.
    double share_weight = 0.005;
    /// Half-life of a call in the demand for its prompt.
    duration demand_half_life = std::chrono::seconds(2);
    /// Maximum age of the demand reported by all nodes.
    duration demand_max_age = std::chrono::seconds(2);
    /// Maximum age of the engine order of a prefix.
    duration order_max_age = std::chrono::seconds(1);
    /// Maximum number of prompt parts with a known cache location: a minute of
    /// a node's turns.
    std::size_t max_tracked_parts = 4'096;
    /// Machine figures that engines report are used. If false, they are
    /// ignored.
    bool use_engine_speeds = true;
};

/// Requirements of a call for its engine.
struct balancer_request
{
    service_name service;
    /// Tokens to prefill and the expected number to generate; zero for plain
    /// calls.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> const* prompt = nullptr;
    /// Cache capacity of the service's engines in tokens; zero if unknown.
    std::uint64_t cache_tokens = 0;
    /// Affinity key: calls for the same object or conversation prefer the
    /// engine that handled it before.
    std::string sticky_key;
    /// Engines that must not be chosen.
    std::vector<target_name> avoid;
    /// The only engine that may be chosen; empty for any.
    target_name only;
    /// Names of the engine runs that may be chosen, as of run_engine_name();
    /// empty for any.
    std::vector<std::string> among;
    /// Software version that the engine must have; unset for any.
    std::optional<std::string> version;
    /// Engines ended under this call, so other calls should not be with it.
    bool apart = false;
    /// The call begins a stream that may resume at another engine.
    bool begins_resumable_stream = false;
};

/// Engine chosen for a call, with the estimates behind the choice.
struct engine_placement
{
    target_name engine;
    engine_incarnation incarnation;
    std::string address;
    zone_name domain;
    /// Version of the engine's software; empty where it reports none.
    std::string version;
    /// Expected wait for a slot.
    std::chrono::milliseconds wait{0};
    /// Expected time to the first byte of the answer, including the wait.
    std::chrono::milliseconds time_to_first_byte{0};
    /// Estimated number of calls from all nodes at the engine.
    double load = 0;
    std::uint32_t slots = 0;
    double cost_ms = 0;
    /// Age of the engine's last load report; negative if there is none.
    std::chrono::milliseconds load_age{-1};
    /// Tokens of the prompt that are likely cached at the engine.
    std::uint32_t cached_tokens = 0;
    /// Ratio of the engine's measured to its predicted durations, and the
    /// slowdown of its machine; empty where the service's engines report no
    /// machine figures.
    std::optional<double> base_slowdown{};
    std::optional<double> machine_slowdown{};

    engine_ref ref() const { return {engine, incarnation}; }
};

/// Location of a prompt part in an engine's prefix cache, with its cached
/// tokens.
struct prefix_cache_location
{
    std::string part;
    std::uint32_t tokens = 0;
    engine_ref engine;
};

/// Outcome of a call, as far as the engine is responsible for it.
enum class engine_outcome
{
    answered,
    /// The engine reported that it is full.
    full,
    /// The engine is not running or runs another incarnation.
    unreachable,
    /// The engine aborted the answer, sent a malformed one or reported a
    /// failure.
    failed,
    /// The engine closed the connection without an answer, as an engine that is
    /// down does.
    closed_without_answer,
    /// The caller disconnected or the call timed out.
    abandoned
};

/// Exponentially decaying counts of the outcomes of an engine's recent calls.
struct recent_outcomes
{
    double failed = 0;
    double answered = 0;
};

/// Recent calls of all nodes, by the key of a shared prefix or of a service.
using prompt_demand = std::unordered_map<std::uint32_t, double>;

/// Selects engines for the calls of one node.
class engine_balancer
{
public:
    engine_balancer(
        zone_name own_domain, clock_fn clock, random_fn random,
        balancer_options options = {});

    /// Replaces the set of registered engines. The load, latency, failures and
    /// cached prompts of an engine that restarted belong to its former
    /// incarnation and are discarded.
    /// \return the engines that restarted
    std::vector<target_name>
    set_engines(std::vector<engine_entry> const& engines);

    /// \return true if an idle connection to the engine is open; if null, all
    /// engines count as connected.
    std::function<bool(target_name const&)> is_connected;

    /// \return true if resumable streams of a service may begin at engines of
    /// this software version; if null, they may begin at all.
    std::function<bool(service_name const&, std::string const& version)>
        may_begin_stream;

    /// \return the candidate with the lowest expected cost; empty if the
    /// service has no usable engine
    std::optional<engine_placement> choose(balancer_request const& need);

    // Reports about a former incarnation are ignored.

    /// Records that this node sent a call to the engine.
    void sent(engine_ref const& engine, balancer_request const& need);
    /// Records the end of a call that was passed to sent().
    /// \param took time from sending the call to the end of the answer
    void ended(
        engine_ref const& engine, balancer_request const& need,
        engine_outcome outcome, duration took);
    /// Records that a call at the engine has exceeded its stall timeout; the
    /// call may still complete there.
    void call_stalled(engine_ref const& engine);
    /// Records the load and the machine figure that the engine reported in an
    /// answer.
    void report_load(engine_ref const& engine, engine_load const& load);
    /// Records that another node's call left a prompt part in an engine's
    /// prefix cache.
    void add_prefix_location(prefix_cache_location const& place);
    /// Sets the number of calls from other nodes at each engine, as of the
    /// latest exchange between nodes.
    void set_peer_loads(
        std::function<std::uint32_t(target_name const&)> const& calls_at);

    /// Sets the outcomes of all nodes' calls at each engine and ejects failing
    /// engines. An engine that went down looks idle; without shared outcomes
    /// each of many nodes would have to lose calls there itself.
    /// \return the engines ejected by this update
    std::vector<std::pair<target_name, recent_outcomes>> set_cluster_outcomes(
        std::function<recent_outcomes(target_name const&)> const& at);

    /// Sets the demand of all nodes for shared prompts. A node's own calls are
    /// too few to estimate the share of each.
    void set_cluster_demand(prompt_demand demand);
    /// \return recent calls of this node, by the key of their shared prefix and
    /// of their service
    std::vector<std::pair<std::uint32_t, double>> own_demand() const;

    /// \return the machine figures that engines reported to this node, for
    /// other nodes
    std::vector<machine_figure> own_machine_figures() const;
    /// \return decaying sums of the speeds that this node's calls had, for
    /// other nodes
    std::vector<speed_sample> own_speed_samples() const;
    /// Replaces the machine figures known from other nodes.
    void
    set_cluster_machine_figures(std::vector<machine_figure> const& figures);
    /// Replaces the speeds of all nodes' calls for the engines named.
    void set_cluster_speeds(std::vector<speed_sample> const& speeds);

    /// \return true if the engine is registered, with the given incarnation if
    /// there is one
    bool known(engine_ref const& engine) const;
    /// \return true if another incarnation is registered under the engine's id
    bool is_replaced(engine_ref const& engine) const;
    /// \return true if the engine is registered and accepts calls
    bool is_ready(engine_ref const& engine) const;
    /// \return true if an engine of the service accepts calls
    /// \param version unset: engines of all software versions
    /// \param except engines that do not count
    bool has_ready_engine(
        service_name const& service,
        std::optional<std::string> const& version = std::nullopt,
        std::vector<target_name> const& except = {}) const;
    /// Calls of this node in progress, by engine.
    std::vector<std::pair<target_name, std::uint32_t>> own_calls() const;
    /// Recent outcomes of this node's calls, for engines that have any.
    std::vector<std::pair<target_name, recent_outcomes>> own_outcomes() const;

    /// \return calls from all nodes at a service's engines per slot; above 1,
    /// calls wait. The value is as of the latest sum of the nodes' loads and is
    /// empty if that sum is stale.
    std::optional<double> pressure(service_name const& service) const;

private:
    struct engine_record
    {
        engine_entry entry;
        std::uint32_t own_calls = 0;
        /// Calls of other nodes as of the engine's last load report, and their
        /// moving average.
        double reported_other_calls = 0;
        double average_other_calls = 0;
        time_point load_reported_at{};
        double peer_calls = 0;
        time_point peer_calls_at{};
        /// Ratio of the duration of its calls to the duration predicted from
        /// the options. It is empty until a call is answered; until then the
        /// service's average applies. A default of 1 would make new engines
        /// look five times as fast as the others where the prediction is five
        /// times too short, and all nodes would send their calls to them first.
        std::optional<double> slowdown;
        /// Fraction of recent calls that failed, as of failures_at.
        double failures = 0;
        time_point failures_at{};
        /// Outcomes of this node's calls, as of outcomes_at.
        recent_outcomes outcomes;
        time_point outcomes_at{};
        time_point ejected_until{};
        duration ejection_time{0};
        /// The latest ejection was for the outcomes of all nodes' calls.
        bool ejected_for_outcomes = false;
        /// Time at which a restart was detected; the epoch if never.
        time_point restarted_at{};
    };
    struct cached_part
    {
        target_name engine;
        std::uint32_t tokens = 0;
    };
    struct part_locations
    {
        /// Engines that hold the part, the most recent reader last.
        std::vector<cached_part> copies;
        std::list<std::string>::iterator lru_entry;

        cached_part const* find(target_name const& engine) const;
    };

    /// Engines in the local failure domain and in all others.
    struct engine_group
    {
        std::vector<target_name> local;
        std::vector<target_name> remote;
    };

    /// A prefix shared by many programs: its share of the calls and the engines
    /// assigned to it.
    struct shared_prefix
    {
        double share = 0;
        std::uint32_t service_key = 0;
        std::uint32_t key = 0;
        /// Calls of this node as of recent_at, decaying with a half-life of \c
        /// demand_half_life.
        double recent_count = 0;
        time_point recent_at{};
        time_point ordered_at{};
        std::uint64_t engines_version = 0;
        engine_group engines;
    };

    std::vector<target_name> sample_candidates(
        engine_group const& all, balancer_request const& need, time_point now);
    void sample_engines(
        std::vector<target_name> const& from, std::size_t most,
        balancer_request const& need, time_point now,
        std::vector<target_name>& to);
    void add_conversation_engines(
        balancer_request const& need, time_point now,
        std::vector<target_name>& to) const;
    bool is_assigned(std::string const& part, target_name const& engine) const;
    void count_shared_prefix(balancer_request const& need);
    double recent_calls(shared_prefix const& prefix, time_point now) const;
    double share_of(shared_prefix const& prefix, time_point now) const;
    void order_engines(
        shared_prefix& prefix, std::string const& part,
        balancer_request const& need) const;
    double replica_factor_of(balancer_request const& need) const;
    engine_record* find(engine_ref const& engine);
    void drop_cached_parts(target_name const& engine);
    bool has_shared_prefix(
        std::string const& part, std::string const& shared,
        target_name const& engine) const;
    double load_of(engine_record const& record, time_point now) const;
    double cost_of(
        engine_record const& record, balancer_request const& need,
        std::uint32_t cached, time_point now) const;
    double predicted_ms(
        engine_record const& record, balancer_request const& need,
        std::uint32_t cached, double load) const;
    double expected_ms(
        engine_record const& record, balancer_request const& need,
        std::uint32_t cached, double load) const;
    double first_bytes_ms(
        engine_record const& record, balancer_request const& need,
        std::uint32_t cached) const;
    double slowdown_of(engine_record const& record, double predicted_ms) const;
    double base_slowdown_of(engine_record const& record) const;
    double own_slowdown_of(engine_record const& record) const;
    void update_slowdown(engine_record& record, double sample);
    double failures_of(engine_record const& record, time_point now) const;
    void add_failure(engine_record& record, time_point now) const;
    recent_outcomes
    outcomes_of(engine_record const& record, time_point now) const;
    void
    count_outcome(engine_record& record, bool failed, time_point now) const;
    double
    wait_ms(engine_record const& record, double load, double call_ms) const;
    std::uint32_t cached_tokens(
        target_name const& engine, balancer_request const& need) const;
    std::uint32_t cached_part_tokens(
        std::string const& part, target_name const& engine) const;
    void record_cached_part(prompt_part const& part, target_name const& engine);
    bool usable(
        engine_record const& record, balancer_request const& need,
        time_point now, bool include_ejected) const;
    void eject(engine_record& record, duration first, time_point now) const;

    zone_name own_domain_;
    clock_fn clock_;
    random_fn random_;
    balancer_options options_;
    std::unordered_map<target_name, engine_record> engines_;
    std::unordered_map<service_name, engine_group> by_service_;
    struct service_pressure
    {
        double calls = 0;
        double slots = 0;
    };
    std::unordered_map<service_name, service_pressure> pressures_;
    struct service_slowdown
    {
        double slowdown = 1.0;
        std::uint32_t samples = 0;
    };
    std::unordered_map<service_name, service_slowdown> service_slowdowns_;
    time_point pressures_at_{};
    /// Incremented when engines are added or removed.
    std::uint64_t engines_version_ = 1;
    std::unordered_map<std::string, shared_prefix> shared_prefixes_;
    prompt_demand demand_;
    time_point demand_at_{};
    std::unordered_map<std::string, part_locations> part_locations_;
    /// Least recently used part first.
    std::list<std::string> part_lru_;
    engine_speeds speeds_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_ENGINE_BOARD_HPP
#define WALNUTMILL_ENGINE_BOARD_HPP

/// \file
/// Which engine a call goes to, from what this node knows of each: its own
/// calls there, the load that answers told, where prompts lie cached, speed
/// and failures seen.
///
/// Load patterns: bursts that many nodes place alone, a slow engine that
/// reports usual load, an engine that fails a part of its calls in good
/// health, a hot shared prompt. Without it nodes herd on the engine that
/// looked idle last, a slow engine keeps its share of every program's turns,
/// and prompts are read again on engine after engine.
///
/// The candidate with the least expected cost wins, in milliseconds: reading
/// what is not cached, generating at the pace of its load, what that slows
/// down the calls beside it, waiting for a slot, and penalties for another
/// failure domain, a new connection and recent failures.
///
/// A prompt's first part, shared by many programs, has its own engines in each
/// failure domain: those first in an order by hash that all nodes compute
/// alike, as many as its share of the calls. Where every engine held every
/// shared part, 12 calls of 15,000 tokens each filled an engine's memory
/// (233,774 tokens) and half of all prompt tokens read were shared parts read
/// again (two fleets of some 80 nodes, measured).

#include <walnutmill/call.hpp>
#include <walnutmill/clock.hpp>
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

struct board_options
{
    /// Milliseconds of one step of a batch of one, and for each further call
    /// in the batch; tokens of a prompt read in a millisecond. Of two
    /// customers' engines; the speed learned for each engine scales them.
    double step_ms = 1.14;
    double step_ms_per_call = 0.0323;
    double prefill_tokens_per_ms = 336.0;
    /// Until the first token beside reading the prompt.
    double first_ms = 10.0;
    /// Milliseconds that a plain call takes on average (20 to 104 with three
    /// customers); only its proportion to the penalties matters.
    double plain_ms = 60.0;
    /// What bytes to another failure domain are worth, as time: 20 KB a turn
    /// cost 0.004 to 0.019 of a turn's credit of 1 to 3, 3 ms of a turn of
    /// some 400 ms is less than the noise of the estimate, so a tie is broken
    /// towards the own domain and little more.
    double other_domain_ms = 6.0;
    /// A new connection: a round trip and the engine's handshake, which holds a
    /// slot, and the work of both ends.
    double connect_ms = 4.0;
    /// Expected loss when a call fails: it starts again after 100 to 400 ms
    /// and runs once more.
    double failure_ms = 700.0;
    /// Weights of the newest sample in moving averages: some ten calls, half
    /// a second of an engine's calls from one node.
    double speed_weight = 0.1;
    double failure_weight = 0.2;
    /// The same for a service's usual speed: some fifty calls, two to four
    /// seconds of a node's, in which one slow engine of ten weighs little.
    double usual_speed_weight = 0.02;
    /// Failures count half after this. An engine that nobody sends to can't
    /// show that it is well again; spells of failing last some 5 s, and a look
    /// each few seconds costs a call in twenty of what the spell would.
    duration failures_halve = std::chrono::seconds(3);
    /// Time in which an engine's told load fades to its average: what calls
    /// there take (300 to 500 ms).
    duration load_fades = std::chrono::milliseconds(400);
    /// An engine that could not be connected to is left alone this long at
    /// first, and at most: a restart takes one to four seconds.
    duration first_rest = std::chrono::milliseconds(300);
    duration longest_rest = std::chrono::milliseconds(3'000);
    /// Half-life of the counts of how calls ended.
    duration outcomes_halve = std::chrono::milliseconds(250);
    /// Calls of all nodes that must have failed lately for an engine to rest,
    /// and their least number for each answered one.
    double failed_calls_to_rest = 3;
    double failed_part_to_rest = 0.5;
    /// How long it rests at first: restarts take one to four seconds, and each
    /// look costs the calls of one exchange.
    duration told_rest = std::chrono::milliseconds(600);
    /// An engine that said it was full is left alone this long: a twentieth
    /// of a call's time on all its slots.
    duration full_rest = std::chrono::milliseconds(30);
    /// Engines compared for a call, drawn at random from those of the own
    /// failure domain and of the others that have its shared part. All nodes
    /// see the same loads, up to 200 ms old: were all engines compared, all
    /// nodes would choose the one that looked idle. Few random choices come
    /// close to the best and don't herd (Mitzenmacher 2000).
    std::size_t near_candidates = 3;
    std::size_t far_candidates = 1;
    /// Engines for a shared part, in times of its share of the calls, at least.
    double share_margin = 1.5;
    /// Part of an engine's cache that shared parts may take: more engines hold
    /// each where the cache is large.
    double shared_cache_part = 0.25;
    /// Weight of the newest call in the moving share of a shared part: some
    /// 200 calls, a quarter of a minute of a node's turns.
    double share_weight = 0.005;
    /// Time after which a call counts half in the demand for its prompt.
    duration demand_halves = std::chrono::seconds(2);
    /// How long the demand that all nodes told is used.
    duration demand_lasts = std::chrono::seconds(2);
    /// How long an order of engines for a part is used before it is made
    /// anew.
    duration order_lasts = std::chrono::seconds(1);
    /// Prompt parts whose place is remembered: a minute of turns of a node.
    std::size_t remembered_parts = 4'096;
};

/// What a call needs of an engine.
struct placement_need
{
    service_name service;
    /// Tokens to read and, likely, to generate; zero for plain calls.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> const* prompt = nullptr;
    /// Tokens that an engine of the service can keep; zero: not known.
    std::uint64_t cache_tokens = 0;
    /// Where the same object or line was handled before counts.
    std::string sticky_key;
    /// Not to be chosen.
    std::vector<target_name> avoid;
    /// Where set, no other one may be chosen.
    target_name only;
};

struct placement
{
    target_name engine;
    engine_incarnation incarnation;
    std::string address;
    /// Expected wait for a slot there.
    std::chrono::milliseconds wait{0};
    /// Expected time until the first bytes of an answer, the wait included.
    std::chrono::milliseconds first_bytes{0};
    /// Calls there, of all nodes, as estimated.
    double load = 0;
    std::uint32_t slots = 0;
    double cost_ms = 0;
    /// Age of what the engine told last; negative: nothing yet.
    std::chrono::milliseconds load_age{-1};
    /// Tokens of the prompt that are likely cached there.
    std::uint32_t cached_tokens = 0;

    engine_ref ref() const { return {engine, incarnation}; }
};

/// Tokens of a part of a prompt that lie cached at an engine.
struct prompt_place
{
    std::string part;
    std::uint32_t tokens = 0;
    engine_ref engine;
};

/// How a call at an engine ended, as far as the engine is to blame.
enum class engine_outcome
{
    answered,
    /// It said that it was full.
    full,
    /// It runs another incarnation, or none.
    unreachable,
    /// It broke off, sent nonsense or failed.
    failed,
    /// It ended the connection without a word, as one that is down does.
    silent_end,
    /// The caller left, or time was up.
    abandoned
};

/// How calls at an engine ended lately: counts in which older ones weigh less.
struct recent_outcomes
{
    double failed = 0;
    double answered = 0;
};

/// Recent calls of all nodes, by the key of a shared prompt or of a service.
using prompt_demand = std::unordered_map<std::uint32_t, double>;

class engine_board
{
public:
    engine_board(
        zone_name own_domain, clock_fn clock, random_fn random,
        board_options options = {});

    /// Takes in the engines as registered; those missing are gone. Of an
    /// engine that started again nothing is believed any more: load, speed,
    /// failures and cached prompts were its former incarnation's.
    /// \return those that started again
    std::vector<target_name>
    set_engines(std::vector<engine_entry> const& engines);

    /// \return true where a kept connection to the engine is free; null: all
    /// engines count as connected.
    std::function<bool(target_name const&)> is_connected;

    std::optional<placement> choose(placement_need const& need);

    // What is told of a former incarnation is passed over.
    void sent(engine_ref const& engine, placement_need const& need);
    /// \param took from sending to the end of the answer
    void ended(
        engine_ref const& engine, placement_need const& need,
        engine_outcome outcome, duration took);
    /// A call at the engine has been silent for longer than it should be; it
    /// may still end there.
    void stalled(engine_ref const& engine);
    void told_load(engine_ref const& engine, engine_load const& load);
    /// Another node's call left a part of a prompt at an engine.
    void learn(prompt_place const& place);
    /// Calls of other nodes at each engine, as those told each other just
    /// now.
    void set_peer_loads(
        std::function<std::uint32_t(target_name const&)> const& calls_at);

    /// How calls of all nodes ended at each engine. One that went down looks
    /// idle, and each of many nodes would have to lose calls there itself.
    /// \return the engines that rest from now on
    std::vector<std::pair<target_name, recent_outcomes>> set_all_outcomes(
        std::function<recent_outcomes(target_name const&)> const& at);

    /// Takes in the demand of all nodes for shared prompts: a node's own calls
    /// are too few to tell the share of each.
    void set_all_demand(prompt_demand demand);
    /// \return recent calls of this node, by the key of their shared prompt
    /// and of their service.
    std::vector<std::pair<std::uint32_t, double>> own_demand() const;

    /// \return true while the engine is registered, in that incarnation if
    /// one is named.
    bool known(engine_ref const& engine) const;
    std::size_t engines_of(service_name const& service) const;
    /// Calls under way from this node, by engine.
    std::vector<std::pair<target_name, std::uint32_t>> own_calls() const;
    /// How calls of this node ended lately, where any did.
    std::vector<std::pair<target_name, recent_outcomes>> own_outcomes() const;

    /// \return calls at a service's engines, of all nodes, for each slot of
    /// theirs: above 1, calls wait. As of the last sum of the nodes' loads;
    /// empty while there is no fresh one.
    std::optional<double> pressure(service_name const& service) const;

private:
    struct engine_record
    {
        engine_entry entry;
        std::uint32_t own_calls = 0;
        /// Calls of others when it last told, and on average.
        double told_others = 0;
        double usual_others = 0;
        time_point told_at{};
        double peer_calls = 0;
        time_point peers_told_at{};
        /// Time that its calls took, in times of what the figures above say;
        /// empty until one was answered: as its service's usually do. Taken
        /// for 1, new engines looked five times as fast as the others where
        /// the figures were five times too short, and all nodes' calls went
        /// there first.
        std::optional<double> speed;
        /// Part of the calls that failed lately, as of failures_at.
        double failures = 0;
        time_point failures_at{};
        /// How this node's calls ended, as of outcomes_at.
        recent_outcomes outcomes;
        time_point outcomes_at{};
        time_point rests_until{};
        duration rest{0};
        /// When it was seen to have started again; the epoch: never.
        time_point restarted_at{};
    };
    struct held_part
    {
        target_name engine;
        std::uint32_t tokens = 0;
    };
    struct part_place
    {
        /// The one that read it last comes last.
        std::vector<held_part> at;
        std::list<std::string>::iterator use;

        held_part const* find(target_name const& engine) const;
    };

    /// Engines by where they are.
    struct engine_group
    {
        std::vector<target_name> near;
        std::vector<target_name> far;
    };

    /// The engines that a shared part belongs to, and its share of calls.
    struct shared_part
    {
        double share = 0;
        std::uint32_t service_key = 0;
        std::uint32_t key = 0;
        /// Calls of this node, as of recent_at, each half as much after
        /// \c demand_halves.
        double recent = 0;
        time_point recent_at{};
        time_point ordered_at{};
        std::uint64_t engines_version = 0;
        engine_group engines;
    };

    std::vector<target_name>
    draw(engine_group const& all, placement_need const& need, time_point now);
    void draw_some(
        std::vector<target_name> const& from, std::size_t most,
        placement_need const& need, time_point now,
        std::vector<target_name>& to);
    void add_line(
        placement_need const& need, time_point now,
        std::vector<target_name>& to) const;
    bool belongs(std::string const& part, target_name const& engine) const;
    void count_shared(placement_need const& need);
    double recent_calls(shared_part const& one, time_point now) const;
    double share_of(shared_part const& one, time_point now) const;
    void order_engines(
        shared_part& one, std::string const& part,
        placement_need const& need) const;
    double margin_of(placement_need const& need) const;
    engine_record* find(engine_ref const& engine);
    void forget_parts(target_name const& engine);
    bool has_shared_part(
        std::string const& part, std::string const& shared,
        target_name const& engine) const;
    double load_of(engine_record const& one, time_point now) const;
    double cost_of(
        engine_record const& one, placement_need const& need,
        std::uint32_t cached, time_point now) const;
    double expected_ms(
        engine_record const& one, placement_need const& need,
        std::uint32_t cached, double load) const;
    double first_bytes_ms(
        engine_record const& one, placement_need const& need,
        std::uint32_t cached) const;
    double speed_of(engine_record const& one) const;
    void learn_speed(engine_record& one, double sample);
    double failures_of(engine_record const& one, time_point now) const;
    void add_failure(engine_record& one, time_point now) const;
    recent_outcomes outcomes_of(engine_record const& one, time_point now) const;
    void count_outcome(engine_record& one, bool failed, time_point now) const;
    double wait_ms(engine_record const& one, double load, double call_ms) const;
    std::uint32_t
    cached_tokens(target_name const& engine, placement_need const& need) const;
    std::uint32_t
    held_tokens(std::string const& part, target_name const& engine) const;
    void remember_part(prompt_part const& part, target_name const& engine);
    bool usable(
        engine_record const& one, placement_need const& need, time_point now,
        bool even_resting) const;
    void rest(engine_record& one, duration first, time_point now) const;

    zone_name own_domain_;
    clock_fn clock_;
    random_fn random_;
    board_options options_;
    std::unordered_map<target_name, engine_record> engines_;
    std::unordered_map<service_name, engine_group> by_service_;
    struct service_pressure
    {
        double calls = 0;
        double slots = 0;
    };
    std::unordered_map<service_name, service_pressure> pressures_;
    struct usual_speed
    {
        double speed = 1.0;
        std::uint32_t samples = 0;
    };
    std::unordered_map<service_name, usual_speed> usual_speeds_;
    time_point pressures_at_{};
    /// Grows when engines come or go.
    std::uint64_t engines_version_ = 1;
    std::unordered_map<std::string, shared_part> shared_;
    prompt_demand demand_;
    time_point demand_at_{};
    std::unordered_map<std::string, part_place> parts_;
    /// Least recently used first.
    std::list<std::string> part_uses_;
};

} // namespace walnutmill

#endif

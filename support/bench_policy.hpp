#ifndef WALNUTMILL_BENCH_POLICY_HPP
#define WALNUTMILL_BENCH_POLICY_HPP

/// \file
/// What the benchmarks compare: the decisions of one node, as hooks. Each of
/// the 13 nodes has its own instance and sees only its own programs and the
/// engines' late reports; the oracle alone sees everything.

#include "bench_programs.hpp"

#include <walnutmill/clock.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace walnutmill::bench
{

using engine_index = std::uint32_t;
constexpr engine_index no_engine = ~engine_index{0};
using call_handle = std::uint64_t;

/// A program as its node sees it.
struct program_view
{
    std::uint32_t program = 0;
    std::uint32_t workspace = 0;
    pool on = pool::engines;
    time_point deadline;
};

/// A call as its node sees it: how long the answer will be is not known.
struct call_view
{
    call_handle handle = 0;
    std::uint32_t program = 0;
    /// Depth and number of the chain within the program.
    std::uint32_t chain = 0;
    std::uint32_t turn = 0;
    std::uint32_t workspace = 0;
    pool on = pool::engines;
    std::uint32_t prompt_tokens = 0;
    /// Zero: none. Only a first call begins with it.
    cache_key shared_prefix = 0;
    std::uint32_t shared_prefix_tokens = 0;
    /// Where the chain's last call ran.
    engine_index last_engine = no_engine;
    /// Tokens of history that lay there when it ended.
    std::uint32_t history_tokens = 0;
    std::uint64_t body_hash = 0;
    std::uint32_t attempts = 0;
    time_point ready;
    time_point deadline;
};

/// How a call ended, as its node sees it.
struct call_result
{
    engine_index at = no_engine;
    bool not_run = false;
    std::uint32_t output_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

struct admission_answer
{
    bool admitted = true;
    /// Zero: the caller is not told.
    duration retry_after{0};
};

struct dispatch
{
    call_handle handle = 0;
    engine_index to = no_engine;
    /// Lower goes first at the engine.
    double priority = 0.0;
};

struct failure_answer
{
    bool again = false;
    duration delay{0};
};

/// A chain that waits for a tool.
struct pause_view
{
    std::uint32_t program = 0;
    std::uint32_t chain = 0;
    tool_kind tool = tool_kind::lookup;
    engine_index at = no_engine;
    std::uint32_t tokens = 0;
};

enum class cache_action
{
    /// The engine evicts it when it needs the room.
    leave,
    hold,
    drop,
    move
};

struct pause_answer
{
    cache_action action = cache_action::leave;
    duration hold{0};
    engine_index to = no_engine;
};

/// One engine in the late reports.
struct engine_report
{
    engine_load load;
    /// It takes new calls.
    bool in_service = true;
};

struct reports
{
    /// Engines first, then plain services.
    std::vector<engine_report> engines;
    duration age{0};
};

/// The decisions of one node. Hooks that are not set do nothing.
struct node_policy
{
    std::function<admission_answer(program_view const&, time_point)> admit;
    /// A program was taken over from a node that was lost.
    std::function<void(program_view const&, time_point)> adopt;
    /// Whether the program may make this call; false stops the program.
    std::function<bool(call_view const&)> allow;
    std::function<void(call_view const&, time_point)> submit;
    /// The next call to send, if any; asked until there is none.
    std::function<std::optional<dispatch>(time_point)> next;
    std::function<void(call_handle, time_point)> first_token;
    std::function<void(call_view const&, call_result const&, time_point)> done;
    std::function<failure_answer(
        call_view const&, call_result const&, time_point)>
        failed;
    /// The caller left; the call was waiting or under way.
    std::function<void(call_handle)> withdraw;
    std::function<pause_answer(pause_view const&, time_point)> pause;
    std::function<void(tool_kind, duration)> resumed;
    std::function<void(program_view const&, time_point)> ended;
    std::function<void(reports const&, time_point)> reported;
    /// Calls without a first token to take back from their engines and to
    /// submit again; asked after each report.
    std::function<std::vector<call_handle>(time_point)> recall;

    /// Calls of callers that left are canceled at the engine.
    bool cancels = true;
    /// The cache of a chain that ended is dropped at once.
    bool drops_at_end = false;
    /// Programs of a lost node go on at another.
    bool recovers = true;
};

/// What only the oracle may ask.
struct world_knowledge
{
    /// Engine seconds that the program still needs.
    std::function<double(std::uint32_t program)> remaining_work;
    /// How long a chain's pause, just begun, will last.
    std::function<duration(pause_view const&)> pause_length;
    std::function<engine_load(engine_index)> load;
    std::function<bool(engine_index)> in_service;
    std::vector<program_spec> const* programs = nullptr;
};

/// Sizes that a policy is told.
struct cluster_size
{
    std::uint32_t engines = 12;
    std::uint32_t services = 7;
    std::uint32_t nodes = 13;
    std::uint32_t workspaces = 8;
    engine_spec engine;
    engine_spec service;
    /// What the user weighs, as in service_config.
    double latency_weight = 1.0;
    double waste_weight = 1.0;

    std::uint32_t all() const { return engines + services; }
    engine_index first_of(pool on) const
    {
        return on == pool::engines ? 0 : engines;
    }
    std::uint32_t count_of(pool on) const
    {
        return on == pool::engines ? engines : services;
    }
    engine_spec const& spec_of(pool on) const
    {
        return on == pool::engines ? engine : service;
    }
};

/// Powers engines on and off; asked every few seconds.
struct power_view
{
    enum class power : std::uint8_t
    {
        off,
        waking,
        serving,
        draining
    };
    struct target
    {
        power state = power::serving;
        std::uint32_t running = 0;
        time_point since;
    };
    /// The engines, without the plain services.
    std::vector<target> targets;
    std::uint32_t queued_calls = 0;
    /// Programs refused for the first time.
    double refused_per_second = 0.0;
};

enum class power_order
{
    wake,
    drain,
    resume,
    stop
};

struct power_step
{
    engine_index engine = 0;
    power_order order = power_order::wake;
};

/// One system under comparison: a policy for each node, and one for power.
struct policy_set
{
    std::vector<node_policy> nodes;
    std::function<std::vector<power_step>(power_view const&, time_point)> power;
};

/// Makes a system anew for each run.
using policy_factory = std::function<policy_set(
    cluster_size const&, world_knowledge const&, std::uint64_t seed)>;

/// Wakes all engines and keeps them awake.
std::vector<power_step> wake_all(power_view const& view, time_point now);

policy_set make_naive(
    cluster_size const& size, world_knowledge const& knowledge,
    std::uint64_t seed);
policy_set make_per_call(
    cluster_size const& size, world_knowledge const& knowledge,
    std::uint64_t seed);
policy_set make_oracle(
    cluster_size const& size, world_knowledge const& knowledge,
    std::uint64_t seed);

} // namespace walnutmill::bench

#endif

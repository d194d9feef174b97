#ifndef WALNUTMILL_BENCH_PROGRAMS_HPP
#define WALNUTMILL_BENCH_PROGRAMS_HPP

/// \file
/// Model of callers: agent programs as chains of model calls with a growing
/// history, tool pauses and sub-agents, beside small applications of one call.

#include "bench_engine.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <functional>
#include <vector>

namespace walnutmill::bench
{

using random_source = boost::random::mt19937_64;

/// Kinds of tools by their pause. Sub-agents count as a tool of their own.
enum class tool_kind : std::uint8_t
{
    lookup,
    reservation,
    person,
    sub_agents
};

/// One model call and what follows it.
struct turn_spec
{
    std::uint32_t new_tokens = 0;
    std::uint32_t output_tokens = 0;
    tool_kind tool = tool_kind::lookup;
    duration pause{0};
    /// Chains that run after this call, before the next one.
    std::vector<std::uint32_t> sub_agents;
};

struct chain_spec
{
    std::vector<turn_spec> turns;
};

/// Engines run agent programs; plain services run small applications.
enum class pool : std::uint8_t
{
    engines,
    services
};

struct program_spec
{
    time_point arrival;
    pool on = pool::engines;
    std::uint32_t workspace = 0;
    /// Zero: none.
    cache_key shared_prefix = 0;
    std::uint32_t shared_prefix_tokens = 0;
    /// Repeats one call until somebody stops it.
    bool endless = false;
    /// The first is the root; the others are its sub-agents.
    std::vector<chain_spec> chains;
    /// Latency in an idle system, tool pauses included.
    duration idle_latency{0};
    /// The caller leaves this long after its arrival.
    duration patience{0};
    /// Seconds of engine time alone, with every prefix cached.
    double work = 0.0;
};

/// What the callers of a run are like.
struct caller_mix
{
    double long_share = 0.3;
    std::uint32_t short_turns_mean = 3;
    std::uint32_t long_turns_mean = 16;
    double sub_agent_share = 0.3;
    double endless_share = 0.0;
    /// Share of tool pauses that wait for a person (heavy-tailed).
    double person_share = 0.1;
    std::uint32_t workspaces = 8;
    /// Share of programs that workspace 0 sends beyond its even part.
    double hot_workspace_share = 0.0;
    /// Share of programs with one prefix in common.
    double hot_prefix_share = 0.0;
    std::uint32_t hot_prefix_tokens = 8'000;
};

/// Mean demands of a mix, from which rates of arrival follow.
struct mix_demand
{
    double decode_seconds = 0.0;
    double prefill_seconds = 0.0;
};

program_spec make_program(
    caller_mix const& mix, pool on, engine_spec const& spec,
    random_source& random);

mix_demand demand_of(caller_mix const& mix, pool on, engine_spec const& spec);

/// \return programs a second that `engines` can just serve, when every prefix
/// is cached.
double capacity_of(mix_demand const& demand, engine_spec const& spec);

/// Arrivals as a Poisson process with a rate that varies.
/// \param rate programs a second at a time after the start; at most `peak`
std::vector<time_point> make_arrivals(
    std::function<double(duration)> const& rate, double peak, time_point start,
    duration length, random_source& random);

} // namespace walnutmill::bench

#endif

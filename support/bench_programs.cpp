#include "bench_programs.hpp"

#include <algorithm>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/geometric_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace walnutmill::bench
{

namespace
{

// The longest program that the users reported has 76 turns.
constexpr std::uint32_t most_turns = 76;
// Longer than any patience: such a program never ends by itself.
constexpr std::uint32_t endless_turns = 2'000;
constexpr std::uint32_t endless_tokens = 100;
constexpr std::uint32_t workspace_prefix_tokens = 1'500;
constexpr cache_key first_prefix = cache_key{1} << 40;
constexpr cache_key hot_prefix = cache_key{1} << 41;
// A slot in the reading room passes: callers wait a while beyond the usual.
constexpr double patience_factor = 2.5;
constexpr double patience_least = 30.0;
constexpr double endless_patience = 600.0;
constexpr std::uint32_t demand_samples = 4'000;
constexpr std::uint64_t demand_seed = 7;

bool chance(double probability, random_source& random)
{
    return boost::random::bernoulli_distribution<>(probability)(random);
}

double lognormal(double median, double sigma, random_source& random)
{
    boost::random::lognormal_distribution<> draw(std::log(median), sigma);
    return draw(random);
}

std::uint32_t tokens(double median, random_source& random)
{
    auto const drawn = lognormal(median, 0.7, random);
    return static_cast<std::uint32_t>(std::clamp(drawn, 8.0, 4'000.0));
}

tool_kind draw_tool(double person_share, random_source& random)
{
    if (chance(person_share, random))
        return tool_kind::person;
    return chance(0.6, random) ? tool_kind::lookup : tool_kind::reservation;
}

duration draw_pause(tool_kind tool, random_source& random)
{
    switch (tool)
    {
    case tool_kind::lookup:
        return seconds(lognormal(0.5, 0.5, random));
    case tool_kind::reservation:
        return seconds(lognormal(4.0, 0.8, random));
    case tool_kind::person:
    {
        // Pareto with shape 1.1: the mean is far above the median.
        auto const u = boost::random::uniform_01<>()(random);
        return seconds(std::min(300.0, 3.0 * std::pow(1.0 - u, -1.0 / 1.1)));
    }
    case tool_kind::sub_agents:
        break;
    }
    return duration(0);
}

std::uint32_t draw_turns(std::uint32_t mean, random_source& random)
{
    boost::random::geometric_distribution<std::uint32_t> draw(1.0 / mean);
    return std::min(1 + draw(random), most_turns);
}

chain_spec draw_chain(
    std::uint32_t turns, bool long_one, double person_share,
    random_source& random)
{
    chain_spec chain;
    for (std::uint32_t i = 0; i < turns; ++i)
    {
        turn_spec turn;
        turn.new_tokens = tokens(long_one ? 600.0 : 250.0, random);
        turn.output_tokens = tokens(long_one ? 200.0 : 120.0, random);
        turn.tool = draw_tool(person_share, random);
        turn.pause = draw_pause(turn.tool, random);
        chain.turns.push_back(turn);
    }
    return chain;
}

chain_spec endless_chain()
{
    turn_spec turn;
    turn.new_tokens = endless_tokens;
    turn.output_tokens = endless_tokens;
    turn.pause = seconds(0.3);
    return {std::vector<turn_spec>(endless_turns, turn)};
}

void add_sub_agents(
    program_spec& program, caller_mix const& mix, random_source& random)
{
    auto const turns = program.chains.front().turns.size();
    boost::random::uniform_int_distribution<std::size_t> at(0, turns - 1);
    boost::random::uniform_int_distribution<std::uint32_t> fan_out(2, 4);
    auto const place = at(random);
    auto const count = fan_out(random);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        auto const length = draw_turns(mix.short_turns_mean, random);
        auto chain = draw_chain(length, false, mix.person_share, random);
        program.chains.push_back(std::move(chain));
        auto& turn = program.chains.front().turns[place];
        turn.sub_agents.push_back(
            static_cast<std::uint32_t>(program.chains.size() - 1));
        turn.tool = tool_kind::sub_agents;
        turn.pause = duration(0);
    }
}

double turn_seconds(turn_spec const& turn, engine_spec const& spec)
{
    return turn.new_tokens / spec.prefill_tokens_per_second +
           turn.output_tokens * spec.token_seconds;
}

double chain_latency(
    program_spec const& program, std::size_t index, engine_spec const& spec)
{
    auto const& turns = program.chains[index].turns;
    double total = 0.0;
    for (std::size_t i = 0; i < turns.size(); ++i)
    {
        total += turn_seconds(turns[i], spec);
        double longest = 0.0;
        for (auto const child : turns[i].sub_agents)
            longest = std::max(longest, chain_latency(program, child, spec));
        total += longest;
        if (i + 1 < turns.size())
            total += to_seconds(turns[i].pause);
    }
    return total;
}

void derive_totals(program_spec& program, engine_spec const& spec)
{
    for (auto const& chain : program.chains)
        for (auto const& turn : chain.turns)
            program.work += turn_seconds(turn, spec);
    auto const prefix =
        program.shared_prefix_tokens / spec.prefill_tokens_per_second;
    auto const idle = chain_latency(program, 0, spec) + prefix;
    program.idle_latency = seconds(idle);
    program.patience = seconds(patience_factor * idle + patience_least);
    if (program.endless)
        program.patience = seconds(endless_patience);
}

program_spec draw_application(random_source& random)
{
    program_spec program;
    program.on = pool::services;
    turn_spec call;
    call.output_tokens = tokens(50.0, random);
    program.chains.push_back({{call}});
    return program;
}

program_spec draw_agent(caller_mix const& mix, random_source& random)
{
    program_spec program;
    program.endless = chance(mix.endless_share, random);
    if (program.endless)
    {
        program.chains.push_back(endless_chain());
        return program;
    }
    bool const long_one = chance(mix.long_share, random);
    auto const mean = long_one ? mix.long_turns_mean : mix.short_turns_mean;
    program.chains.push_back(draw_chain(
        draw_turns(mean, random), long_one, mix.person_share, random));
    if (long_one && chance(mix.sub_agent_share, random))
        add_sub_agents(program, mix, random);
    return program;
}

} // namespace

program_spec make_program(
    caller_mix const& mix, pool on, engine_spec const& spec,
    random_source& random)
{
    auto program = on == pool::engines ? draw_agent(mix, random)
                                       : draw_application(random);
    boost::random::uniform_int_distribution<std::uint32_t> any(
        0, mix.workspaces - 1);
    auto const drawn = any(random);
    program.workspace = chance(mix.hot_workspace_share, random) ? 0 : drawn;
    if (on == pool::engines)
    {
        bool const hot = chance(mix.hot_prefix_share, random);
        program.shared_prefix =
            hot ? hot_prefix : first_prefix + program.workspace;
        program.shared_prefix_tokens =
            hot ? mix.hot_prefix_tokens : workspace_prefix_tokens;
    }
    derive_totals(program, spec);
    return program;
}

mix_demand demand_of(caller_mix const& mix, pool on, engine_spec const& spec)
{
    // Endless programs are no demand that anybody wants served.
    auto wanted = mix;
    wanted.endless_share = 0.0;
    random_source random(demand_seed);
    mix_demand total;
    for (std::uint32_t i = 0; i < demand_samples; ++i)
    {
        auto const program = make_program(wanted, on, spec, random);
        for (auto const& chain : program.chains)
            for (auto const& turn : chain.turns)
            {
                total.decode_seconds += turn.output_tokens * spec.token_seconds;
                total.prefill_seconds +=
                    turn.new_tokens / spec.prefill_tokens_per_second;
            }
    }
    total.decode_seconds /= demand_samples;
    total.prefill_seconds /= demand_samples;
    return total;
}

double capacity_of(mix_demand const& demand, engine_spec const& spec)
{
    // With x programs a second an engine prefills for a part u = x * prefill
    // of its time and decodes at full_rate / interference meanwhile:
    // x * decode = full_rate * (1 - u * (1 - 1 / interference)).
    auto const lost = 1.0 - 1.0 / spec.prefill_interference;
    auto const full = spec.full_rate();
    auto const x =
        full / (demand.decode_seconds + full * lost * demand.prefill_seconds);
    if (demand.prefill_seconds <= 0.0)
        return x;
    return std::min(x, 1.0 / demand.prefill_seconds);
}

std::vector<time_point> make_arrivals(
    std::function<double(duration)> const& rate, double peak, time_point start,
    duration length, random_source& random)
{
    // Thinning of a process of constant rate (Lewis and Shedler 1979).
    std::vector<time_point> arrivals;
    boost::random::exponential_distribution<> gap(peak);
    for (double at = gap(random); at < to_seconds(length); at += gap(random))
        if (chance(std::min(1.0, rate(seconds(at)) / peak), random))
            arrivals.push_back(start + seconds(at));
    return arrivals;
}

} // namespace walnutmill::bench

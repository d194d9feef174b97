#include "bench_simulation.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

namespace walnutmill::bench
{

namespace
{

// Nodes refresh their view of the engines this often.
constexpr duration report_interval = std::chrono::milliseconds(200);
constexpr duration power_interval = std::chrono::seconds(5);
// Lease of three seconds, and a second to read the journal.
constexpr duration takeover_time = std::chrono::seconds(4);
// A caller that is not told when to come back tries this often, doubling.
constexpr std::uint32_t blind_tries = 3;
constexpr duration blind_delay = std::chrono::seconds(1);
// A caller that is told comes back as often as its patience allows; the
// bound only ends a policy that tells it to come back at once for ever.
constexpr std::uint32_t told_tries = 200;
// After a cancel has certainly arrived.
constexpr duration release_delay = std::chrono::milliseconds(5);

} // namespace

simulation::simulation(
    scenario const& of, std::vector<program_spec> const& programs,
    policy_factory const& make, std::uint64_t seed)
    : scenario_(of), specs_(programs),
      backends_(
          events_, of,
          {[this](engine_index at, engine_outcome const& outcome)
           { on_ended(at, outcome); },
           [this](std::uint64_t id) { on_first_token(id); }}),
      random_(seed), policy_(make(of.size, knowledge(), seed)),
      programs_(programs.size()), node_lost_(of.size.nodes, false)
{
    result_.programs = &programs;
    result_.outcomes.resize(programs.size());
    auto const span = to_seconds(of.length + of.drain);
    result_.asked_per_second.resize(static_cast<std::size_t>(span) + 2);
}

run_result simulation::run()
{
    auto const start = events_.now();
    for (std::uint32_t i = 0; i < specs_.size(); ++i)
    {
        programs_[i].chains.resize(specs_[i].chains.size());
        programs_[i].remaining = specs_[i].work;
        events_.at(specs_[i].arrival, [this, i] { arrive(i, 0); });
    }
    for (std::uint32_t i = 0; i < scenario_.size.nodes; ++i)
        report_to(i);
    if (scenario_.powers && policy_.power)
        plan_power();
    for (auto const& each : scenario_.faults)
        events_.at(
            start + each.at,
            [this, each]
            {
                faulted_ = true;
                backends_.apply(each);
                if (each.kind == fault_kind::nodes_lost)
                    lose_nodes(each.index);
            });
    events_.run_until(start + scenario_.length);
    result_.idle_cache = backends_.idle_cache();
    result_.power = backends_.usage();
    events_.run_until(start + scenario_.length + scenario_.drain);
    return std::move(result_);
}

world_knowledge simulation::knowledge()
{
    world_knowledge all;
    all.remaining_work = [this](std::uint32_t program)
    { return programs_[program].remaining; };
    all.pause_length = [this](pause_view const& view)
    {
        call_place const place{view.program, view.chain};
        return turn_of({place.program, place.chain}).pause;
    };
    all.load = [this](engine_index at) { return backends_.load(at); };
    all.in_service = [this](engine_index at)
    { return backends_.in_service(at); };
    all.programs = &specs_;
    return all;
}

std::uint32_t simulation::any_node()
{
    boost::random::uniform_int_distribution<std::uint32_t> any(
        0, scenario_.size.nodes - 1);
    auto node = any(random_);
    while (node_lost_[node])
        node = any(random_);
    return node;
}

node_policy& simulation::policy_of(std::uint32_t program)
{
    return policy_.nodes[programs_[program].node];
}

program_view simulation::view_of(std::uint32_t program) const
{
    auto const& spec = specs_[program];
    return {program, spec.workspace, spec.on, spec.arrival + spec.patience};
}

void simulation::arrive(std::uint32_t program, std::uint32_t tries)
{
    auto& state = programs_[program];
    if (state.ended)
        return;
    auto const view = view_of(program);
    auto const second =
        static_cast<std::size_t>(to_seconds(events_.now().time_since_epoch()));
    if (view.on == pool::engines)
        ++result_.asked_per_second[second - 1];
    if (tries == 0)
        events_.at(
            view.deadline,
            [this, program]
            {
                auto const started = programs_[program].under_way;
                end_program(
                    program,
                    started ? program_end::late : program_end::refused);
            });
    state.node = any_node();
    auto const& policy = policy_of(program);
    admission_answer answer;
    if (policy.admit)
        answer = policy.admit(view, events_.now());
    if (answer.admitted)
        begin(program);
    else
        refuse(program, tries, answer.retry_after);
}

void simulation::refuse(
    std::uint32_t program, std::uint32_t tries, duration retry_after)
{
    ++result_.outcomes[program].times_refused;
    refused_lately_ += tries == 0 ? 1 : 0;
    bool const told = retry_after > duration(0);
    auto const delay = told ? retry_after : blind_delay * (1 << tries);
    auto const again = events_.now() + delay;
    auto const most = told ? told_tries : blind_tries;
    if (tries >= most || again >= view_of(program).deadline)
        return end_program(program, program_end::refused);
    events_.at(again, [this, program, tries] { arrive(program, tries + 1); });
}

void simulation::begin(std::uint32_t program)
{
    programs_[program].under_way = true;
    result_.outcomes[program].waited_to_start =
        to_seconds(events_.now() - specs_[program].arrival);
    start_turn({program, 0});
}

void simulation::end_chain(call_place place)
{
    auto const& chain = state_of(place);
    if (policy_of(place.program).drops_at_end && chain.last_engine != no_engine)
        backends_.release(chain.last_engine, key_of(place));
    if (place.chain == 0)
        return end_program(place.program, program_end::finished);
    auto& parent = state_of({place.program, chain.parent});
    if (--parent.sub_agents_open > 0)
        return;
    call_place const above{place.program, chain.parent};
    if (parent.turn == specs_[above.program].chains[above.chain].turns.size())
        return end_chain(above);
    start_turn(above);
}

void simulation::end_program(std::uint32_t program, program_end how)
{
    auto& state = programs_[program];
    if (state.ended)
        return;
    bool const started = state.under_way;
    state.ended = true;
    state.under_way = false;
    auto& outcome = result_.outcomes[program];
    outcome.how = how;
    outcome.latency = to_seconds(events_.now() - specs_[program].arrival);
    if (!started)
        outcome.waited_to_start = outcome.latency;
    stop_chains(program);
    auto const& policy = policy_of(program);
    if (started && policy.ended)
        policy.ended(view_of(program), events_.now());
    if (started)
        pump(state.node);
}

void simulation::stop_chains(std::uint32_t program)
{
    auto const& policy = policy_of(program);
    auto& chains = programs_[program].chains;
    for (std::uint32_t i = 0; i < chains.size(); ++i)
    {
        auto& chain = chains[i];
        bool const sent = chain.phase == chain_phase::sent;
        bool const queued = chain.phase == chain_phase::queued;
        if (queued || (sent && !chain.answering))
            note_wait({program, i});
        chain.phase = chain_phase::idle;
        if (queued)
            --queued_calls_;
        if (queued || (sent && policy.cancels))
            if (policy.withdraw)
                policy.withdraw(chain.call.handle);
        if (sent && policy.cancels)
            backends_.cancel(chain.at, chain.call.handle);
        if (!policy.drops_at_end)
            continue;
        auto const key = key_of({program, i});
        for (auto const at : {chain.last_engine, chain.at})
            if (at != no_engine)
                events_.after(
                    release_delay,
                    [this, at, key] { backends_.release(at, key); });
    }
}

void simulation::lose_nodes(std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i)
        node_lost_[i] = true;
    for (std::uint32_t i = 0; i < programs_.size(); ++i)
    {
        auto& state = programs_[i];
        if (!state.under_way || !node_lost_[state.node])
            continue;
        bool const recovers = policy_of(i).recovers;
        state.node = any_node();
        if (recovers)
        {
            state.frozen_until = events_.now() + takeover_time;
            events_.at(state.frozen_until, [this, i] { take_over(i); });
            continue;
        }
        // Nobody knows of it any more: its caller begins anew.
        for (auto& chain : state.chains)
            chain = chain_state();
        state.under_way = false;
        state.remaining = specs_[i].work;
        events_.after(blind_delay, [this, i] { arrive(i, 1); });
    }
}

void simulation::take_over(std::uint32_t program)
{
    auto const& state = programs_[program];
    if (state.ended)
        return;
    auto const& policy = policy_of(program);
    if (policy.adopt)
        policy.adopt(view_of(program), events_.now());
    for (std::uint32_t i = 0; i < state.chains.size(); ++i)
        if (state.chains[i].phase != chain_phase::idle)
            start_turn({program, i});
}

void simulation::report_to(std::uint32_t node)
{
    if (node_lost_[node])
        return;
    auto const& policy = policy_.nodes[node];
    if (policy.reported)
        policy.reported(backends_.seen(), events_.now());
    recall(node);
    pump(node);
    // Nodes are not in step.
    boost::random::uniform_int_distribution<duration::rep> jitter(-20, 20);
    auto const next =
        report_interval + std::chrono::milliseconds(jitter(random_));
    events_.after(next, [this, node] { report_to(node); });
}

void simulation::plan_power()
{
    auto view = backends_.power();
    view.queued_calls = queued_calls_;
    view.refused_per_second = refused_lately_ / to_seconds(power_interval);
    refused_lately_ = 0;
    for (auto const& step : policy_.power(view, events_.now()))
        backends_.order(step);
    events_.after(power_interval, [this] { plan_power(); });
}

} // namespace walnutmill::bench

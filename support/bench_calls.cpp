// The path of one call in a simulation: queued at its node, sent, ended.

#include "bench_simulation.hpp"

#include <algorithm>

namespace walnutmill::bench
{

namespace
{

constexpr std::uint64_t chains_per_program = 256;

/// Calls of an endless program are all alike.
std::uint64_t body_hash(program_spec const& spec, call_view const& call)
{
    if (spec.endless)
        return 1;
    return (std::uint64_t{call.chain} << 32) + call.turn + 2;
}

} // namespace

cache_key simulation::key_of(call_place place)
{
    return (std::uint64_t{place.program} + 1) * chains_per_program +
           place.chain;
}

simulation::chain_state& simulation::state_of(call_place place)
{
    return programs_[place.program].chains[place.chain];
}

turn_spec const& simulation::turn_of(call_place place) const
{
    auto const turn = programs_[place.program].chains[place.chain].turn;
    return specs_[place.program].chains[place.chain].turns[turn];
}

call_view simulation::make_call(call_place place)
{
    auto const& spec = specs_[place.program];
    auto const& chain = state_of(place);
    call_view call;
    call.handle = ++next_handle_;
    call.program = place.program;
    call.chain = place.chain;
    call.turn = chain.turn;
    call.workspace = spec.workspace;
    call.on = spec.on;
    if (chain.turn == 0)
    {
        call.shared_prefix = spec.shared_prefix;
        call.shared_prefix_tokens = spec.shared_prefix_tokens;
    }
    call.prompt_tokens =
        call.shared_prefix_tokens + chain.history + turn_of(place).new_tokens;
    call.last_engine = chain.last_engine;
    call.history_tokens = chain.history;
    call.body_hash = body_hash(spec, call);
    call.ready = events_.now();
    call.deadline = spec.arrival + spec.patience;
    return call;
}

void simulation::start_turn(call_place place)
{
    auto& program = programs_[place.program];
    if (program.ended)
        return;
    if (events_.now() < program.frozen_until)
    {
        events_.at(program.frozen_until, [this, place] { start_turn(place); });
        return;
    }
    auto& chain = state_of(place);
    auto const& policy = policy_of(place.program);
    if (chain.phase == chain_phase::queued)
        --queued_calls_;
    if (chain.turn > 0 && chain.phase == chain_phase::idle && policy.resumed)
    {
        auto const& turns = specs_[place.program].chains[place.chain].turns;
        policy.resumed(
            turns[chain.turn - 1].tool, events_.now() - chain.paused);
    }
    chain.call = make_call(place);
    if (policy.allow && !policy.allow(chain.call))
        return end_program(place.program, program_end::stopped);
    calls_[chain.call.handle] = place;
    chain.phase = chain_phase::queued;
    ++queued_calls_;
    if (policy.submit)
        policy.submit(chain.call, events_.now());
    pump(program.node);
}

void simulation::pump(std::uint32_t node)
{
    auto const& policy = policy_.nodes[node];
    while (auto const chosen = policy.next(events_.now()))
        send(*chosen);
}

void simulation::send(dispatch const& chosen)
{
    auto const place = calls_.at(chosen.handle);
    auto& chain = state_of(place);
    auto const& spec = specs_[place.program];
    chain.phase = chain_phase::sent;
    chain.answering = false;
    chain.at = chosen.to;
    --queued_calls_;
    result_.first_sends += chain.call.attempts == 0 ? 1 : 0;
    ++result_.sends;
    if (faulted_)
    {
        result_.fault_first_sends += chain.call.attempts == 0 ? 1 : 0;
        ++result_.fault_sends;
    }
    ++chain.call.attempts;
    engine_call call;
    call.id = chosen.handle;
    call.history = key_of(place);
    call.shared_prefix = spec.shared_prefix;
    call.shared_prefix_tokens = spec.shared_prefix_tokens;
    call.prompt_tokens = chain.call.prompt_tokens;
    call.output_tokens = turn_of(place).output_tokens;
    call.priority = chosen.priority;
    backends_.send(chosen.to, call);
}

void simulation::recall(std::uint32_t node)
{
    auto const& policy = policy_.nodes[node];
    if (!policy.recall)
        return;
    for (auto const handle : policy.recall(events_.now()))
    {
        auto const found = calls_.find(handle);
        // Its caller may have given it up meanwhile.
        if (found == calls_.end())
            continue;
        auto const place = found->second;
        auto& chain = state_of(place);
        backends_.cancel(chain.at, handle);
        chain.phase = chain_phase::queued;
        ++queued_calls_;
        chain.call.handle = ++next_handle_;
        calls_[chain.call.handle] = place;
        policy.submit(chain.call, events_.now());
    }
}

void simulation::on_first_token(std::uint64_t id)
{
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return;
    auto const place = found->second;
    auto& chain = state_of(place);
    if (chain.phase != chain_phase::sent || chain.call.handle != id)
        return;
    note_wait(place);
    chain.answering = true;
    auto const& policy = policy_of(place.program);
    if (policy.first_token)
        policy.first_token(id, events_.now());
}

void simulation::note_wait(call_place place)
{
    auto& longest = result_.outcomes[place.program].longest_wait;
    auto const waited = events_.now() - state_of(place).call.ready;
    longest = std::max(longest, to_seconds(waited));
}

void simulation::on_ended(engine_index at, engine_outcome const& outcome)
{
    auto const found = calls_.find(outcome.id);
    if (found == calls_.end())
        return;
    auto const place = found->second;
    result_.outcomes[place.program].work += outcome.work;
    auto& program = programs_[place.program];
    auto const& chain = state_of(place);
    bool const current =
        chain.phase == chain_phase::sent && chain.call.handle == outcome.id;
    if (!current || program.ended || events_.now() < program.frozen_until)
    {
        calls_.erase(found);
        return;
    }
    if (outcome.ok)
        return on_done(place, outcome);
    call_result result;
    result.at = at;
    result.not_run = outcome.not_run;
    on_failed(place, result);
}

void simulation::on_failed(call_place place, call_result const& result)
{
    auto& chain = state_of(place);
    auto const& policy = policy_of(place.program);
    auto const node = programs_[place.program].node;
    auto const answer = policy.failed(chain.call, result, events_.now());
    if (!answer.again)
    {
        chain.phase = chain_phase::idle;
        end_program(place.program, program_end::dropped);
        return pump(node);
    }
    chain.phase = chain_phase::queued;
    ++queued_calls_;
    auto const handle = chain.call.handle;
    events_.after(
        answer.delay,
        [this, place, handle]
        {
            auto const& waiting = state_of(place);
            if (waiting.phase != chain_phase::queued ||
                waiting.call.handle != handle)
                return;
            policy_of(place.program).submit(waiting.call, events_.now());
            pump(programs_[place.program].node);
        });
    pump(node);
}

void simulation::on_done(call_place place, engine_outcome const& outcome)
{
    auto& chain = state_of(place);
    auto const& turn = turn_of(place);
    auto const& spec = specs_[place.program];
    auto const& policy = policy_of(place.program);
    calls_.erase(outcome.id);
    chain.phase = chain_phase::idle;
    chain.last_engine = chain.at;
    chain.history = chain.call.prompt_tokens + turn.output_tokens;
    if (outcome.prefilled_tokens > turn.new_tokens)
        result_.prefilled_again += outcome.prefilled_tokens - turn.new_tokens;
    auto const& engine = scenario_.size.spec_of(spec.on);
    programs_[place.program].remaining -=
        turn.new_tokens / engine.prefill_tokens_per_second +
        turn.output_tokens * engine.token_seconds;
    call_result result;
    result.at = chain.at;
    result.output_tokens = turn.output_tokens;
    result.cached_tokens = outcome.cached_tokens;
    if (policy.done)
        policy.done(chain.call, result, events_.now());
    auto const node = programs_[place.program].node;
    finish_turn(place);
    pump(node);
}

void simulation::finish_turn(call_place place)
{
    auto& chain = state_of(place);
    auto const& turns = specs_[place.program].chains[place.chain].turns;
    auto const& turn = turns[chain.turn];
    bool const last = chain.turn + 1 == turns.size();
    if (!turn.sub_agents.empty())
    {
        begin_pause(place, tool_kind::sub_agents);
        start_sub_agents(place);
        return;
    }
    if (last)
        return end_chain(place);
    begin_pause(place, turn.tool);
    ++chain.turn;
    events_.after(turn.pause, [this, place] { start_turn(place); });
}

void simulation::start_sub_agents(call_place place)
{
    auto& chain = state_of(place);
    auto const children = turn_of(place).sub_agents;
    chain.sub_agents_open = static_cast<std::uint32_t>(children.size());
    ++chain.turn;
    for (auto const child : children)
    {
        state_of({place.program, child}).parent = place.chain;
        start_turn({place.program, child});
    }
}

void simulation::begin_pause(call_place place, tool_kind tool)
{
    auto& chain = state_of(place);
    auto const& policy = policy_of(place.program);
    chain.paused = events_.now();
    if (!policy.pause)
        return;
    pause_view const view{
        place.program, place.chain, tool, chain.last_engine, chain.history};
    auto const answer = policy.pause(view, events_.now());
    auto const key = key_of(place);
    switch (answer.action)
    {
    case cache_action::leave:
        break;
    case cache_action::hold:
        backends_.hold(chain.last_engine, key, answer.hold);
        break;
    case cache_action::drop:
        backends_.release(chain.last_engine, key);
        break;
    case cache_action::move:
        backends_.move(chain.last_engine, answer.to, key, answer.hold);
        chain.last_engine = answer.to;
        break;
    }
}

} // namespace walnutmill::bench

// The life of a call: its turn, units, queue and delivery. Its attempts at
// targets are in program_owner_attempts.cpp.

#include "program_owner.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

/// As in program_owner_shards.cpp: longer than the longest generation
/// expected and short enough to notice a loss.
constexpr std::chrono::minutes default_deadline{6};
/// Bits of an event's id that number the tokens of one stream.
constexpr int token_bits = 20;
/// Bits that count the restarts of a stream under one owner.
constexpr int restart_bits = 12;

} // namespace

request_id target_key(program_id const& program, request_id const& request)
{
    return request_id(program.str() + '/' + request.str());
}

void program_owner::call(
    call_request const& r, answer_sink sink, time_point now)
{
    auto const found = visible(r.program, r.workspace);
    if (!found)
        return sink.done(found.error());
    auto const& program = *found.value();
    auto const hash = body_hash(r);
    if (answer_again(r, hash, program, sink))
        return;
    if (auto why = check_call(r, program))
        return sink.done(*why);
    auto const verdict = check_guard(r, program);
    if (!verdict.allowed())
    {
        refusal why;
        why.code = errc::forbidden;
        why.message = std::string(to_string(verdict.reason));
        explain(r.program, r.number, decision_kind::refused, why.message);
        return sink.done(why);
    }
    active_call call;
    call.handle = ++last_id_;
    call.spec = r;
    call.hash = hash;
    call.service = *find_service(*config_, r.service);
    call.repeatable = r.repeatable.value_or(call.service.repeatable);
    call.accepted = now;
    call.deadline = now + (r.deadline.count() > 0 ? duration(r.deadline)
                                                  : duration(default_deadline));
    auto const handle = call.handle;
    by_program_[r.program][r.number] = handle;
    timers_.insert({call.deadline, handle});
    auto const paused = last_activity_.find(r.program);
    auto const tool = next_tool_.find(r.program);
    if (paused != last_activity_.end() && tool != next_tool_.end())
        hooks_.paused(tool->second, now - paused->second);
    last_activity_[r.program] = now;
    last_activity_[program.created.root] = now;
    auto& added = calls_.emplace(handle, std::move(call)).first->second;
    attach(added, std::move(sink), r.stream, 0);
    if (r.number == program.next_number())
        start_turn(r.program, now);
}

namespace
{

/// What a loop repeats: the request's sense, without its number and id.
std::uint64_t sense_of(service_name const& service, std::string const& input)
{
    return stable_hash(service.str() + "\n" + input);
}

} // namespace

budget_guard& program_owner::guard_of(program_state const& program)
{
    auto const& id = program.created.program;
    auto const found = guards_.find(id);
    if (found != guards_.end())
        return found->second;
    auto const depth = static_cast<std::uint32_t>(
        std::count(id.str().begin(), id.str().end(), '.'));
    auto& made =
        guards_.emplace(id, budget_guard(guard_options_, depth)).first->second;
    for (auto const& outcome : program.outcomes)
    {
        made.on_answer(
            outcome.service, sense_of(outcome.service, outcome.input),
            stable_hash(outcome.output));
    }
    return made;
}

guard_verdict
program_owner::check_guard(call_request const& r, program_state const& program)
{
    return guard_of(program).check_call(
        r.service, sense_of(r.service, r.input));
}

void program_owner::attach(
    active_call& call, answer_sink sink, bool stream, std::uint64_t after)
{
    waiter added{std::move(sink), stream, 0};
    if (stream && after != 0)
    {
        auto const id = stream_id(call);
        // Events of another stream say nothing about this one's tokens.
        if (after >> token_bits == id >> token_bits)
            added.seen = static_cast<std::uint32_t>(after - id);
        else
            added.sink.event({true, 0, {}});
    }
    stream_tokens(call, added);
    call.waiters.push_back(std::move(added));
}

std::uint64_t program_owner::stream_id(active_call const& call) const
{
    auto const owned =
        owned_.find(shard_of(root_of(call.spec.program), shards_));
    auto const epoch = owned == owned_.end() ? 0 : owned->second.epoch;
    return ((epoch << restart_bits) + call.restarts) << token_bits;
}

void program_owner::stream_tokens(active_call& call, waiter& to)
{
    if (!to.stream)
        return;
    auto const id = stream_id(call);
    for (; to.seen < call.tokens.size(); ++to.seen)
        to.sink.event({false, id + to.seen + 1, call.tokens[to.seen]});
}

void program_owner::restart_stream(active_call& call)
{
    bool const begun = !call.tokens.empty();
    call.tokens.clear();
    ++call.restarts;
    for (auto& waiter : call.waiters)
    {
        waiter.seen = 0;
        if (waiter.stream && begun)
            waiter.sink.event({true, 0, {}});
    }
}

void program_owner::start_turn(program_id const& program, time_point now)
{
    auto const* state = book_.find(program);
    if (state == nullptr || state->ended || ending_.count(program) != 0)
        return;
    auto* call = find_call(program, state->next_number());
    if (call != nullptr && call->stage == call_stage::waits_turn)
        draw(*call, now);
}

void program_owner::draw(active_call& call, time_point now)
{
    auto const& program = *book_.find(call.spec.program);
    auto* ledger = book_.find_ledger(program.created.root);
    bool const engine = call.service.kind == target_kind::engine;
    call.prompt =
        engine ? static_cast<std::uint32_t>(prompt_tokens(program, call.spec))
               : 0;
    call.work =
        engine ? call.prompt + call.spec.max_tokens : call.service.call_cost;
    if (!ledger->can_afford(call.work))
    {
        refusal why;
        why.code = errc::budget_exhausted;
        why.message = "the call may cost " + std::to_string(call.work) +
                      " units; the budget does not hold as many";
        // A program that cannot go on needs no cache.
        release_holds(program);
        if (call.wasted > 0)
            return refuse_outcome(call, why.code, certainty::ran, 0, now);
        return give_up(call, why);
    }
    auto const units =
        ledger->draw_for(call.work, config_->limits.budget_slice);
    if (units == 0)
    {
        ledger->reserve(call.work);
        call.reserved = call.work;
        return enqueue(call, now);
    }
    call.stage = call_stage::drawing;
    append(
        program.shard, {slice_drawn{program.created.root, units}},
        [this, handle = call.handle](time_point at)
        {
            auto* drawn = find_call(handle);
            // A sub-agent may have reserved the units meanwhile: draw again.
            if (drawn != nullptr && drawn->stage == call_stage::drawing)
                draw(*drawn, at);
        });
}

void program_owner::enqueue(active_call& call, time_point now)
{
    call.stage = call_stage::queued;
    call.enqueued = now;
    waiting_call waiting;
    waiting.call = call.handle;
    waiting.service = call.service.name;
    waiting.workspace = book_.find(call.spec.program)->created.workspace;
    waiting.root = root_of(call.spec.program);
    waiting.prompt_tokens = call.prompt;
    waiting.max_tokens = call.spec.max_tokens;
    waiting.enqueued = now;
    waiting.deadline = call.deadline;
    hooks_.enqueue(waiting);
}

bool program_owner::dispatch(call_handle handle, time_point now)
{
    auto* call = find_call(handle);
    if (call == nullptr || call->stage != call_stage::queued)
        return true;
    auto const& program = *book_.find(call->spec.program);
    placement_query query;
    query.program = call->spec.program;
    query.service = call->service.name;
    query.prompt_tokens = call->prompt;
    query.max_tokens = call->spec.max_tokens;
    query.repeatable = call->repeatable;
    query.waited = now - call->enqueued;
    query.holding.assign(program.holds.begin(), program.holds.end());
    query.avoid = call->failed_at;
    auto choice = hooks_.place(query, now);
    if (!choice)
        return false;
    call->target = choice->target;
    call->ticket = hooks_.sent(query, call->target, now);
    call->sent_at = now;
    explain(
        call->spec.program, call->spec.number, decision_kind::placed,
        choice->reason, choice->target);
    if (call->repeatable)
    {
        send(*call, now);
        return true;
    }
    call->stage = call_stage::intending;
    append(
        program.shard,
        {call_intent{
            call->spec.program, call->spec.number, call->spec.request,
            call->hash, call->target, call->reserved}},
        [this, handle](time_point at)
        {
            if (auto* intended = find_call(handle))
                send(*intended, at);
        });
    return true;
}

void program_owner::deliver(active_call& call, time_point now)
{
    auto const program = call.spec.program;
    auto const answer = stored_answer(call.outcome);
    auto waiters = std::move(call.waiters);
    auto const guard = guards_.find(program);
    if (guard != guards_.end())
    {
        guard->second.on_answer(
            call.outcome.service,
            sense_of(call.outcome.service, call.outcome.input),
            stable_hash(call.outcome.output));
    }
    last_activity_[program] = now;
    next_tool_[program] = call.spec.next_tool;
    erase_call(call.handle);
    for (auto& waiter : waiters)
        waiter.sink.done(answer);
    start_turn(program, now);
}

void program_owner::give_up(active_call& call, refusal why)
{
    auto waiters = std::move(call.waiters);
    if (call.stage == call_stage::queued)
        hooks_.remove(call.service.name, call.handle);
    if (auto* ledger = book_.find_ledger(root_of(call.spec.program)))
        ledger->cancel(call.reserved + call.wasted);
    explain(
        call.spec.program, call.spec.number, decision_kind::refused,
        std::string(to_string(why.code)) + ": " + why.message);
    erase_call(call.handle);
    for (auto& waiter : waiters)
        waiter.sink.done(why);
}

void program_owner::check_timers(time_point now)
{
    while (!timers_.empty() && timers_.begin()->first <= now)
    {
        auto const handle = timers_.begin()->second;
        timers_.erase(timers_.begin());
        auto* call = find_call(handle);
        if (call == nullptr)
            continue;
        if (now >= call->deadline)
        {
            if (call->stage == call_stage::queued)
                hooks_.remove(call->service.name, handle);
            expire(*call, now);
        }
        else if (
            call->stage == call_stage::backing_off && now >= call->retry_at)
        {
            if (call->reserved == 0)
                draw(*call, now);
            else
                enqueue(*call, now);
        }
    }
}

void program_owner::tick(time_point now)
{
    if (fenced_)
        return;
    check_timers(now);
    check_abandoned(now);
    release_unconfirmed(now);
    hooks_.offer(
        now, [this, now](call_handle handle) { return dispatch(handle, now); });
}

program_owner::active_call* program_owner::find_call(call_handle handle)
{
    auto const found = calls_.find(handle);
    return found == calls_.end() ? nullptr : &found->second;
}

program_owner::active_call*
program_owner::find_call(program_id const& program, std::uint32_t number)
{
    auto const found = by_program_.find(program);
    if (found == by_program_.end())
        return nullptr;
    auto const call = found->second.find(number);
    return call == found->second.end() ? nullptr : find_call(call->second);
}

program_owner::active_call* program_owner::find_attempt(attempt_id attempt)
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : find_call(found->second);
}

void program_owner::erase_call(call_handle handle)
{
    auto const found = calls_.find(handle);
    if (found == calls_.end())
        return;
    auto const& call = found->second;
    timers_.erase({call.deadline, handle});
    timers_.erase({call.retry_at, handle});
    auto const program = by_program_.find(call.spec.program);
    if (program != by_program_.end())
    {
        program->second.erase(call.spec.number);
        if (program->second.empty())
            by_program_.erase(program);
    }
    calls_.erase(found);
}

} // namespace walnutmill

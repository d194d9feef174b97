// Attempts of a call at targets: sends, answers, failures, deadlines.

#include "program_owner.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

/// When to come back after all attempts failed: long enough for a target to
/// be noticed as faulty and for the next report of load.
constexpr std::chrono::milliseconds failed_come_back{1'000};

} // namespace

model_effect program_owner::model_send(active_call const& call) const
{
    auto const& program = *book_.find(call.spec.program);
    model_effect effect;
    effect.attempt = call.attempt;
    effect.target = call.target;
    effect.program = call.spec.program;
    effect.request = target_key(call.spec.program, call.spec.request);
    effect.epoch = owned_.at(program.shard).epoch;
    effect.model = call.service.model;
    for (auto const& outcome : program.outcomes)
    {
        if (!outcome.in_history)
            continue;
        effect.turns.push_back({"user", outcome.input});
        effect.turns.push_back({"assistant", outcome.output});
    }
    effect.turns.push_back({"user", call.spec.input});
    effect.max_tokens = call.spec.max_tokens;
    effect.timeout = call.service.call_timeout;
    effect.deadline = call.deadline;
    effect.hold = hooks_.hold_for(
        {call.spec.program, call.service.name, call.target, call.spec.next_tool,
         call.work});
    return effect;
}

void program_owner::send(active_call& call, time_point now)
{
    auto const* target = find_target(*config_, call.target);
    bool const in_service =
        target != nullptr && target->policy == target_policy::in_service;
    call.stage = call_stage::in_flight;
    call.attempt = ++last_id_;
    attempts_[call.attempt] = call.handle;
    ++call.attempts;
    if (!in_service || now >= call.deadline)
    {
        refusal why;
        why.code = in_service ? errc::deadline_exceeded : errc::unavailable;
        why.message = in_service ? "the deadline passed before the send"
                                 : "the target left service";
        on_failure(call.attempt, why, now);
        return;
    }
    if (call.service.kind == target_kind::engine)
    {
        effects_.push_back(model_send(call));
        return;
    }
    effects_.push_back(plain_effect{
        call.attempt, call.target, call.spec.program, call.spec.number,
        target_key(call.spec.program, call.spec.request), call.spec.input,
        call.repeatable, call.service.call_timeout, call.deadline});
}

void program_owner::end_attempt(
    active_call& call, send_end end, std::uint64_t tokens, time_point now)
{
    attempts_.erase(call.attempt);
    auto const ticket = std::exchange(call.ticket, 0);
    if (ticket == 0)
        return;
    hooks_.ended(
        {ticket, end, now - call.sent_at, static_cast<std::uint32_t>(tokens)},
        now);
}

void program_owner::on_token(
    attempt_id attempt, std::uint32_t index, std::string_view text,
    time_point now)
{
    auto* call = find_attempt(attempt);
    if (call == nullptr || index != call->tokens.size() + 1)
        return;
    if (index == 1)
        hooks_.first_token(call->ticket, now);
    call->tokens.emplace_back(text);
    for (auto& waiter : call->waiters)
        stream_tokens(*call, waiter);
}

void program_owner::on_restart(attempt_id attempt)
{
    if (auto* call = find_attempt(attempt))
        restart_stream(*call);
}

void program_owner::on_answer(
    attempt_id attempt, attempt_answer const& answer, time_point now)
{
    auto* call = find_attempt(attempt);
    if (call == nullptr)
        return;
    end_attempt(*call, send_end::done, answer.tokens, now);
    call_outcome outcome;
    outcome.output = answer.output;
    bool const engine = call->service.kind == target_kind::engine;
    auto const cost =
        engine ? answer.prompt_tokens + answer.tokens : call->service.call_cost;
    outcome.cost = std::min(cost, call->reserved) + call->wasted;
    outcome.in_history = engine && !call->querying;
    finish(*call, std::move(outcome), now);
}

void program_owner::refuse_outcome(
    active_call& call, errc code, certainty ran, std::uint64_t cost,
    time_point now)
{
    call_outcome outcome;
    outcome.refused = true;
    outcome.code = code;
    outcome.ran = ran;
    outcome.cost = cost + call.wasted;
    finish(call, std::move(outcome), now);
}

void program_owner::finish(active_call& call, call_outcome outcome, time_point)
{
    outcome.program = call.spec.program;
    outcome.number = call.spec.number;
    outcome.request = call.spec.request;
    outcome.body_hash = call.hash;
    outcome.service = call.service.name;
    outcome.target = call.target;
    outcome.input = call.spec.input;
    call.stage = call_stage::committing;
    call.outcome = outcome;
    auto const& program = *book_.find(call.spec.program);
    std::vector<record_body> records{outcome};
    bool const may_hold = call.service.kind == target_kind::engine &&
                          !call.target.empty() &&
                          program.holds.count(call.target) == 0;
    if (may_hold)
        records.push_back(hold_taken{call.spec.program, call.target});
    add_failed_holds(call, records);
    append(
        program.shard, std::move(records),
        [this, handle = call.handle](time_point at)
        {
            if (auto* done = find_call(handle))
                deliver(*done, at);
        });
}

void program_owner::add_failed_holds(
    active_call const& call, std::vector<record_body>& records) const
{
    // An attempt whose answer was lost may have left cache behind.
    if (call.service.kind != target_kind::engine)
        return;
    auto const& program = *book_.find(call.spec.program);
    for (auto const& target : call.failed_at)
    {
        if (target != call.target && program.holds.count(target) == 0)
            records.push_back(hold_taken{call.spec.program, target});
    }
}

void program_owner::give_up_spent(active_call& call, refusal why)
{
    // What the attempts may have cost is gone; a new owner counts it as
    // stranded, so it needs no record.
    auto* ledger = book_.find_ledger(root_of(call.spec.program));
    auto const lost =
        std::exchange(call.wasted, 0) + std::exchange(call.reserved, 0);
    ledger->cancel(lost);
    ledger->settle(lost);
    why.ran = certainty::outcome_unknown;
    if (why.retry_after.count() == 0)
        why.retry_after = failed_come_back;
    std::vector<record_body> holds;
    if (!call.target.empty())
        call.failed_at.push_back(call.target);
    call.target = target_name();
    add_failed_holds(call, holds);
    if (!holds.empty())
        append(
            book_.find(call.spec.program)->shard, std::move(holds),
            [](time_point) {});
    give_up(call, std::move(why));
}

void program_owner::withdraw(active_call& call, refusal why)
{
    // An intent without a target takes the committed one back: the call
    // truly did not run, and its number is free again.
    call.stage = call_stage::committing;
    append(
        book_.find(call.spec.program)->shard,
        {call_intent{
            call.spec.program, call.spec.number, call.spec.request, call.hash,
            target_name(), 0}},
        [this, handle = call.handle, why = std::move(why)](time_point)
        {
            if (auto* withdrawn = find_call(handle))
                give_up(*withdrawn, why);
        });
}

void program_owner::on_failure(
    attempt_id attempt, refusal const& why, time_point now)
{
    auto* call = find_attempt(attempt);
    if (call == nullptr)
        return;
    // A target that declines is full rather than faulty, and what was stopped
    // here says nothing of it.
    bool const blameless =
        why.ran == certainty::not_run &&
        (why.code != errc::target_failed || why.retry_after.count() > 0);
    end_attempt(
        *call, blameless ? send_end::canceled : send_end::failed, 0, now);
    if (call->querying)
    {
        // Also where the target knows nothing of it: a send that was frozen
        // before it left may still arrive.
        return refuse_outcome(
            *call, errc::outcome_unknown, certainty::outcome_unknown,
            call->reserved, now);
    }
    call->failed_at.push_back(call->target);
    restart_stream(*call);
    retry_or_end(*call, why, now);
}

void program_owner::retry_or_end(
    active_call& call, refusal const& why, time_point now)
{
    bool const not_run = why.ran == certainty::not_run;
    if (!call.repeatable && !not_run)
    {
        auto const* target = find_target(*config_, call.target);
        if (why.ran == certainty::ran)
        {
            return refuse_outcome(
                call, errc::target_failed, certainty::ran, call.reserved, now);
        }
        if (target == nullptr || !target->answers_outcome_queries)
        {
            return refuse_outcome(
                call, errc::outcome_unknown, certainty::outcome_unknown,
                call.reserved, now);
        }
        call.querying = true;
        call.attempt = ++last_id_;
        attempts_[call.attempt] = call.handle;
        effects_.push_back(query_effect{
            call.attempt, call.target, call.spec.program,
            target_key(call.spec.program, call.spec.request)});
        return;
    }
    if (!not_run)
    {
        // Nobody knows what the attempt cost, so it counts in full.
        call.may_have_run = true;
        call.wasted += std::exchange(call.reserved, 0);
    }
    auto const wait = hooks_.retry(
        {root_of(call.spec.program), call.target, why.code, call.repeatable,
         why.ran, call.attempts, call.deadline, why.retry_after},
        now);
    if (wait && now + *wait < call.deadline)
    {
        call.stage = call_stage::backing_off;
        call.retry_at = now + *wait;
        timers_.insert({call.retry_at, call.handle});
        return;
    }
    // The number stays free: the call may be made again.
    if (call.may_have_run)
        return give_up_spent(call, why);
    auto later = why;
    if (later.retry_after.count() == 0)
        later.retry_after = failed_come_back;
    if (!call.repeatable)
        return withdraw(call, later);
    give_up(call, later);
}

void program_owner::expire(active_call& call, time_point now)
{
    refusal why;
    why.code = errc::deadline_exceeded;
    why.message = "the call's deadline passed";
    switch (call.stage)
    {
    case call_stage::committing:
    case call_stage::intending:
        return;
    case call_stage::in_flight:
        effects_.push_back(cancel_effect{
            call.attempt, call.target, call.spec.program,
            target_key(call.spec.program, call.spec.request)});
        end_attempt(call, send_end::failed, 0, now);
        if (call.repeatable)
            return give_up_spent(call, why);
        return refuse_outcome(
            call, why.code, certainty::outcome_unknown, call.reserved, now);
    case call_stage::waits_turn:
    case call_stage::drawing:
    case call_stage::queued:
    case call_stage::backing_off:
        break;
    }
    if (call.may_have_run)
        return give_up_spent(call, why);
    auto const* program = book_.find(call.spec.program);
    bool const intended = program->open_intent &&
                          program->open_intent->request == call.spec.request;
    if (intended)
        return withdraw(call, why);
    give_up(call, why);
}

void program_owner::drop_calls(
    program_id const& program, errc code, time_point now)
{
    refusal why;
    why.code = code;
    why.message = "the program was ended";
    auto const found = by_program_.find(program);
    if (found == by_program_.end())
        return;
    auto const calls = found->second;
    for (auto const& entry : calls)
    {
        auto& call = calls_.at(entry.second);
        if (call.stage == call_stage::committing)
            continue;
        bool const sent = call.stage == call_stage::in_flight;
        if (sent)
        {
            effects_.push_back(cancel_effect{
                call.attempt, call.target, call.spec.program,
                target_key(call.spec.program, call.spec.request)});
        }
        end_attempt(call, send_end::canceled, 0, now);
        if (sent || call.may_have_run)
        {
            if (call.stage == call_stage::queued)
                hooks_.remove(call.service.name, call.handle);
            refuse_outcome(
                call, code, certainty::outcome_unknown, call.reserved, now);
        }
        else
            give_up(call, why);
    }
}

} // namespace walnutmill

#include "bench_modules_node.hpp"

#include <algorithm>

namespace walnutmill::bench
{

namespace
{

service_name const engine_service("engines");
service_name const plain_service("services");
// Half of the average is the last some 14 calls.
constexpr double usual_weight = 0.05;
constexpr std::uint32_t plain_retries = 3;

service_name const& service_of(pool on)
{
    return on == pool::engines ? engine_service : plain_service;
}

program_id program_of(std::uint32_t program)
{
    return program_id(std::to_string(program));
}

std::uint64_t guard_key(std::uint32_t program, std::uint32_t chain)
{
    return (std::uint64_t{program} << 32) + chain;
}

std::vector<target_name> names_of(cluster_size const& size)
{
    std::vector<target_name> names;
    for (engine_index i = 0; i < size.all(); ++i)
        names.emplace_back(std::to_string(i));
    return names;
}

placement_pool pool_of(
    cluster_size const& size, std::vector<target_name> const& names, pool on)
{
    placement_pool made;
    made.service = service_of(on);
    made.model = on == pool::engines ? model_name : "";
    auto const first = names.begin() + size.first_of(on);
    made.targets.assign(first, first + size.count_of(on));
    return made;
}

} // namespace

modules_node::modules_node(
    cluster_size const& size, std::uint32_t seed, module off)
    : size_(size), off_(off), random_(seeded_random(seed)),
      targets_(names_of(size)), retention_(pauses_), pressure_(size.all(), 0.0),
      in_service_(size.all(), false), reported_load_(size.all(), 0),
      turn_(seed % size.engines), usual_seconds_{5.0, 1.0}
{
    for (std::uint32_t i = 0; i < size.workspaces; ++i)
        workspaces_.emplace_back("w" + std::to_string(i));
    placement_.set_pool(pool_of(size_, targets_, pool::engines));
    placement_.set_pool(pool_of(size_, targets_, pool::services));
}

fair_queue& modules_node::queue_of(pool on)
{
    return on == pool::engines ? engine_queue_ : service_queue_;
}

admission_answer
modules_node::admit(program_view const& program, time_point now)
{
    // A call of a plain service that belongs to no program is routed at once.
    if (program.on == pool::services || off_ == module::admission)
        return {};
    admission_request const request{workspaces_[program.workspace], 1.0};
    auto const decision = admission_.decide(request, now, random_);
    return {decision.admitted, decision.retry_after};
}

void modules_node::adopt(program_view const& program)
{
    if (program.on == pool::engines && off_ != module::admission)
        admission_.on_adopted(workspaces_[program.workspace], 1.0);
}

bool modules_node::allow(call_view const& call)
{
    if (off_ == module::budget_guard)
        return true;
    auto const key = guard_key(call.program, call.chain);
    auto const depth = call.chain == 0 ? 0u : 1u;
    auto const it = guards_.try_emplace(key, guard_options_, depth).first;
    return it->second.check_call(service_of(call.on), call.body_hash).allowed();
}

double modules_node::expected_work(call_view const& call) const
{
    return usual_seconds_[static_cast<std::size_t>(call.on)];
}

void modules_node::submit(call_view const& call, time_point now)
{
    auto& live = calls_[call.handle];
    live.failed_at = live.to;
    live.view = call;
    live.to = no_engine;
    live.answering = false;
    if (off_ == module::fair_queue)
    {
        in_order_[static_cast<std::size_t>(call.on)].push_back(call.handle);
        return;
    }
    queued_call queued;
    queued.handle = call.handle;
    queued.workspace = workspaces_[call.workspace];
    queued.root = program_of(call.program);
    queued.expected_work = expected_work(call);
    queued.enqueued = now;
    queued.deadline = call.deadline;
    queue_of(call.on).push(std::move(queued));
}

std::optional<dispatch> modules_node::next(time_point now)
{
    now_ = now;
    if (auto const chosen = next_of(pool::engines, now))
        return chosen;
    return next_of(pool::services, now);
}

std::optional<dispatch> modules_node::next_of(pool on, time_point now)
{
    if (off_ == module::fair_queue)
        return next_in_order(on, now);
    auto to = no_engine;
    auto const eligible = [&](queued_call const& waiting)
    {
        to = choose(calls_.at(waiting.handle), now);
        return to != no_engine;
    };
    auto const popped = queue_of(on).pop(now, eligible);
    if (!popped)
        return std::nullopt;
    auto& call = calls_.at(popped->call.handle);
    call.charged = popped->call.expected_work;
    call.priority = popped->priority;
    call.young = popped->young;
    return send(call, to, now);
}

std::optional<dispatch> modules_node::next_in_order(pool on, time_point now)
{
    auto& waiting = in_order_[static_cast<std::size_t>(on)];
    if (waiting.empty())
        return std::nullopt;
    auto& call = calls_.at(waiting.front());
    auto const to = choose(call, now);
    if (to == no_engine)
        return std::nullopt;
    waiting.pop_front();
    return send(call, to, now);
}

engine_index modules_node::choose(live_call const& call, time_point now)
{
    auto const& view = call.view;
    if (off_ == module::placement)
        return round_robin(view.on);
    placement_request request;
    request.service = service_of(view.on);
    request.prompt_tokens = view.prompt_tokens;
    request.repeatable = view.on == pool::engines;
    request.waited = now - view.ready;
    request.expected_tokens = static_cast<std::uint32_t>(usual_tokens_);
    if (view.last_engine != no_engine)
        request.cached.push_back(
            {targets_[view.last_engine], view.history_tokens});
    auto const prefix = prefix_at_.find(view.shared_prefix);
    if (prefix != prefix_at_.end())
        request.cached.push_back(
            {targets_[prefix->second], view.shared_prefix_tokens});
    if (call.failed_at != no_engine)
        request.avoid.push_back(targets_[call.failed_at]);
    auto const decision = placement_.choose(request, now, random_);
    if (decision.target.empty())
        return no_engine;
    return static_cast<engine_index>(std::stoul(decision.target.str()));
}

std::uint32_t
modules_node::cached_at(call_view const& call, engine_index at) const
{
    if (at == call.last_engine)
        return call.history_tokens;
    auto const prefix = prefix_at_.find(call.shared_prefix);
    bool const known = prefix != prefix_at_.end() && prefix->second == at;
    return known ? call.shared_prefix_tokens : 0;
}

engine_index modules_node::round_robin(pool on)
{
    auto const first = size_.first_of(on);
    auto const count = size_.count_of(on);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        auto const at = first + ++turn_ % count;
        if (in_service_[at] && reported_load_[at] < size_.spec_of(on).slots)
            return at;
    }
    return no_engine;
}

dispatch modules_node::send(live_call& call, engine_index to, time_point now)
{
    auto const& view = call.view;
    call.to = to;
    call.sent = now;
    sent_call sent;
    sent.target = targets_[to];
    sent.prompt_tokens = view.prompt_tokens;
    sent.cached_tokens = cached_at(view, to);
    sent.expected_tokens = static_cast<std::uint32_t>(usual_tokens_);
    if (view.shared_prefix != 0)
        prefix_at_[view.shared_prefix] = to;
    call.ticket = placement_.on_sent(sent, now);
    ++counts_.calls_started;
    return {view.handle, to, call.priority};
}

void modules_node::first_token(call_handle handle, time_point now)
{
    auto const found = calls_.find(handle);
    if (found == calls_.end())
        return;
    auto& call = found->second;
    call.answering = true;
    placement_.on_first_token(call.ticket, now);
    if (call.view.on != pool::engines)
        return;
    note_first_token(to_seconds(now - call.sent));
    if (!call.young)
        return;
    auto const uncached =
        call.view.prompt_tokens - cached_at(call.view, call.to);
    auto const prefill =
        seconds(uncached / size_.engine.prefill_tokens_per_second);
    counts_.waited += std::max(duration(0), now - call.view.ready - prefill);
    ++counts_.waits;
}

void modules_node::settle(live_call const& call, time_point now)
{
    auto const taken = to_seconds(now - call.sent);
    auto& usual = usual_seconds_[static_cast<std::size_t>(call.view.on)];
    usual += usual_weight * (taken - usual);
    attained_service service;
    service.workspace = workspaces_[call.view.workspace];
    service.root = program_of(call.view.program);
    service.expected = call.charged;
    service.work = taken;
    queue_of(call.view.on).charge(service);
}

void modules_node::done(
    call_view const& view, call_result const& result, time_point now)
{
    auto const found = calls_.find(view.handle);
    if (found == calls_.end())
        return;
    auto const call = found->second;
    calls_.erase(found);
    placement_.on_done(call.ticket, result.output_tokens, now);
    if (view.on == pool::engines)
        usual_tokens_ += usual_weight * (result.output_tokens - usual_tokens_);
    counts_.history += view.history_tokens;
    counts_.history_cached +=
        std::min(view.history_tokens, result.cached_tokens);
    retry_.on_success(program_of(view.program), targets_[call.to]);
    settle(call, now);
    auto const guard = guards_.find(guard_key(view.program, view.chain));
    // Answers differ as the calls do: a loop gets the same one again.
    if (guard != guards_.end())
        guard->second.on_answer(
            service_of(view.on), view.body_hash, view.body_hash);
}

failure_answer modules_node::failed(
    call_view const& view, call_result const& result, time_point now)
{
    auto const found = calls_.find(view.handle);
    if (found == calls_.end())
        return {};
    auto& call = found->second;
    placement_.on_failed(call.ticket, now);
    settle(call, now);
    call.view = view;
    if (off_ == module::retry)
    {
        bool const again = view.attempts <= plain_retries;
        if (!again)
            calls_.erase(found);
        return {again, duration(1)};
    }
    failed_attempt attempt;
    attempt.root = program_of(view.program);
    attempt.target = targets_[call.to];
    attempt.ran =
        result.not_run ? certainty::not_run : certainty::outcome_unknown;
    attempt.repeatable = view.on == pool::engines;
    attempt.attempts = view.attempts;
    attempt.deadline = view.deadline;
    attempt.expected = seconds(expected_work(view));
    auto const decision = retry_.on_failure(attempt, now, random_);
    if (!decision.send)
        calls_.erase(found);
    return {decision.send, decision.delay};
}

void modules_node::withdraw(call_handle handle)
{
    auto const found = calls_.find(handle);
    if (found == calls_.end())
        return;
    auto const call = found->second;
    calls_.erase(found);
    auto const on = call.view.on;
    auto& waiting = in_order_[static_cast<std::size_t>(on)];
    waiting.erase(
        std::remove(waiting.begin(), waiting.end(), handle), waiting.end());
    queue_of(on).erase(handle);
    if (call.to == no_engine)
        return;
    placement_.on_canceled(call.ticket);
    settle(call, now_);
}

void modules_node::ended(program_view const& program)
{
    auto const root = program_of(program.program);
    queue_of(program.on).forget(root);
    retry_.forget(root);
    for (std::uint32_t chain = 0;; ++chain)
        if (guards_.erase(guard_key(program.program, chain)) == 0)
            break;
    if (program.on != pool::engines || off_ == module::admission)
        return;
    admission_.on_ended(workspaces_[program.workspace]);
    ++counts_.programs_ended;
}

} // namespace walnutmill::bench

#include "policy_scheduling.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Time between two snapshots for admission: many calls fall into it, and a
/// burst is seen before its programs wait for long.
constexpr duration snapshot_interval = std::chrono::milliseconds(250);
/// The proportions of placement_options, to express work in slot-seconds.
constexpr double prefill_seconds = 0.0002;
constexpr double decode_seconds = 0.02;
/// Calls end before max_tokens as a rule; the true work is charged later.
constexpr double usual_part_of_max_tokens = 0.5;
constexpr double plain_call_seconds = 0.1;

/// Engines are not told priorities yet, so a call that waits there waits in
/// the order of arrival; it waits here instead, in the order of the queue.
placement_options without_engine_queues()
{
    placement_options options;
    options.open_load = 1.0;
    options.home_load = 1.0;
    return options;
}

double expected_work(std::uint32_t prompt, std::uint32_t max_tokens)
{
    if (max_tokens == 0)
        return plain_call_seconds;
    return prompt * prefill_seconds +
           max_tokens * usual_part_of_max_tokens * decode_seconds;
}

} // namespace

policy_scheduling::policy_scheduling(random_fn random)
    : random_(std::move(random)), config_(std::make_shared<configuration>()),
      placement_(without_engine_queues()), retention_(pauses_)
{
}

scheduling_hooks policy_scheduling::hooks()
{
    scheduling_hooks hooks;
    hooks.admit = [this](admission_query const& query, time_point now)
    { return admit(query, now); };
    hooks.adopted = [this](admission_query const& query) { adopt(query); };
    hooks.forget = [this](program_id const& root, time_point now)
    { forget(root, now); };
    hooks.enqueue = [this](waiting_call const& call) { enqueue(call); };
    hooks.remove = [this](service_name const& service, call_handle call)
    { queues_[service].erase(call); };
    hooks.offer =
        [this](time_point now, std::function<bool(call_handle)> const& dispatch)
    { offer(now, dispatch); };
    hooks.place = [this](placement_query const& query, time_point now)
    { return place(query, now); };
    hooks.sent = [this](
                     placement_query const& query, target_name const& target,
                     time_point now) { return sent(query, target, now); };
    hooks.first_token = [this](send_ticket ticket, time_point now)
    { placement_.on_first_token(ticket, now); };
    hooks.ended = [this](send_report const& report, time_point now)
    { ended(report, now); };
    hooks.hold_for = [this](retention_query const& query)
    { return hold_for(query); };
    hooks.paused = [this](std::string const& tool, duration pause)
    { pauses_.observe(tool, pause); };
    hooks.retry = [this](retry_query const& query, time_point now)
    { return retry(query, now); };
    return hooks;
}

void policy_scheduling::set_configuration(
    std::shared_ptr<configuration const> const& config, time_point now)
{
    for (auto const& target : config_->targets)
    {
        if (find_target(*config, target.name) == nullptr)
        {
            placement_.erase_target(target.name);
            retries_.forget(target.name);
            loads_.erase(target.name);
        }
    }
    for (auto const& service : config_->services)
    {
        if (find_service(*config, service.name) == nullptr)
            placement_.erase_pool(service.name);
    }
    config_ = config;
    for (auto const& target : config->targets)
    {
        // Until it reports, a target is taken to be idle.
        auto load = loads_[target.name];
        load.target = target.name;
        on_load(load, now);
    }
    for (auto const& service : config->services)
        placement_.set_pool({service.name, service.model, {}, service.targets});
}

void policy_scheduling::on_load(target_load const& load, time_point now)
{
    auto const* target = find_target(*config_, load.target);
    if (target == nullptr)
        return;
    loads_[load.target] = load;
    target_view view;
    view.name = target->name;
    view.zone = target->zone;
    view.policy = target->policy;
    view.slots = target->slots;
    view.running = load.running;
    view.queued = load.queued;
    view.report_age = load.age;
    if (load.cache_size > 0)
        view.memory_pressure = double(load.cache_used) / load.cache_size;
    view.models = target->models;
    view.adapters = target->adapters;
    placement_.on_report(view, now);
    placement_.set_peer_ratio(double(nodes_) - 1.0);
}

double policy_scheduling::weight_of(workspace_name const& name) const
{
    auto const* workspace = find_workspace(*config_, name);
    return workspace == nullptr ? 1.0 : workspace->weight;
}

std::optional<refusal>
policy_scheduling::admit(admission_query const& query, time_point now)
{
    auto const decision = admission_.decide(
        {query.workspace, weight_of(query.workspace)}, now, random_);
    if (decision.admitted)
    {
        programs_[query.root] = query.workspace;
        return std::nullopt;
    }
    refusal why;
    why.code = errc::overloaded;
    why.message = std::string(to_string(decision.reason));
    why.retry_after = decision.retry_after;
    return why;
}

void policy_scheduling::adopt(admission_query const& query)
{
    if (programs_.emplace(query.root, query.workspace).second)
        admission_.on_adopted(query.workspace, weight_of(query.workspace));
}

void policy_scheduling::forget(program_id const& root, time_point)
{
    auto const found = programs_.find(root);
    if (found != programs_.end())
    {
        admission_.on_ended(found->second);
        programs_.erase(found);
        ++interval_.ended_programs;
    }
    for (auto& entry : queues_)
        entry.second.forget(root);
    retries_.forget(root);
}

void policy_scheduling::enqueue(waiting_call const& call)
{
    queued_call queued;
    queued.handle = call.call;
    queued.workspace = call.workspace;
    queued.workspace_weight = weight_of(call.workspace);
    queued.root = call.root;
    queued.expected_work = expected_work(call.prompt_tokens, call.max_tokens);
    queued.enqueued = call.enqueued;
    queued.deadline = call.deadline;
    queues_[call.service].push(std::move(queued));
}

void policy_scheduling::offer(
    time_point now, std::function<bool(call_handle)> const& dispatch)
{
    observe(now);
    auto const eligible = [&](queued_call const& call)
    { return dispatch(call.handle); };
    for (auto& entry : queues_)
    {
        while (auto const popped = entry.second.pop(now, eligible))
        {
            if (!popped->young)
                continue;
            ++interval_.started;
            interval_.waited += popped->waited;
        }
    }
}

std::optional<placement_choice>
policy_scheduling::place(placement_query const& query, time_point now)
{
    placement_request request;
    request.service = query.service;
    request.prompt_tokens = query.prompt_tokens;
    request.expected_tokens =
        static_cast<std::uint32_t>(query.max_tokens * usual_part_of_max_tokens);
    for (auto const& target : query.holding)
        request.cached.push_back({target, query.prompt_tokens});
    request.avoid = query.avoid;
    request.repeatable = query.repeatable;
    request.waited = query.waited;
    auto const decision = placement_.choose(request, now, random_);
    if (decision.target.empty())
        return std::nullopt;
    return placement_choice{
        decision.target, std::string(to_string(decision.reason))};
}

send_ticket policy_scheduling::sent(
    placement_query const& query, target_name const& target, time_point now)
{
    sent_call call;
    call.service = query.service;
    call.target = target;
    call.prompt_tokens = query.prompt_tokens;
    bool const cached =
        std::find(query.holding.begin(), query.holding.end(), target) !=
        query.holding.end();
    call.cached_tokens = cached ? query.prompt_tokens : 0;
    call.expected_tokens =
        static_cast<std::uint32_t>(query.max_tokens * usual_part_of_max_tokens);
    auto const ticket = placement_.on_sent(call, now);
    open_send send;
    send.service = query.service;
    send.target = target;
    send.root = program_id(
        query.program.str().substr(0, query.program.str().find('.')));
    auto const workspace = programs_.find(send.root);
    if (workspace != programs_.end())
        send.workspace = workspace->second;
    send.expected_work = expected_work(query.prompt_tokens, query.max_tokens);
    sends_[ticket] = std::move(send);
    return ticket;
}

void policy_scheduling::ended(send_report const& report, time_point now)
{
    auto const found = sends_.find(report.ticket);
    if (found == sends_.end())
        return;
    auto const send = std::move(found->second);
    sends_.erase(found);
    auto const work = std::chrono::duration<double>(report.took).count();
    switch (report.end)
    {
    case send_end::done:
        placement_.on_done(report.ticket, report.tokens, now);
        retries_.on_success(send.root, send.target);
        break;
    case send_end::failed:
        placement_.on_failed(report.ticket, now);
        break;
    case send_end::canceled:
        placement_.on_canceled(report.ticket);
        break;
    }
    if (!send.workspace.empty())
    {
        queues_[send.service].charge(
            {send.workspace, send.root, send.expected_work, work});
    }
}

std::chrono::milliseconds
policy_scheduling::hold_for(retention_query const& query) const
{
    auto const* service = find_service(*config_, query.service);
    auto const* target = find_target(*config_, query.target);
    if (service == nullptr || target == nullptr)
        return std::chrono::milliseconds(0);
    retention_request request;
    request.tool = query.next_tool;
    request.cached_tokens = static_cast<std::uint32_t>(query.cached_tokens);
    request.target_leaving = target->policy != target_policy::in_service;
    request.latency_weight = service->latency_weight;
    request.waste_weight = service->waste_weight;
    auto const load = loads_.find(query.target);
    if (load != loads_.end() && load->second.cache_size > 0)
    {
        request.cache_capacity = load->second.cache_size;
        request.memory_pressure =
            double(load->second.cache_used) / load->second.cache_size;
    }
    return retention_.decide(request).hold;
}

std::optional<duration>
policy_scheduling::retry(retry_query const& query, time_point now)
{
    failed_attempt attempt;
    attempt.root = query.root;
    attempt.target = query.target;
    attempt.code = query.code;
    attempt.ran = query.ran;
    attempt.repeatable = query.repeatable;
    attempt.attempts = query.attempts;
    attempt.deadline = query.deadline;
    attempt.retry_after = query.retry_after;
    auto const decision = retries_.on_failure(attempt, now, random_);
    if (!decision.send)
        return std::nullopt;
    return decision.delay;
}

double policy_scheduling::own_slots() const
{
    double slots = 0.0;
    for (auto const& target : config_->targets)
    {
        if (target.policy == target_policy::in_service &&
            target.kind == target_kind::engine)
            slots += target.slots;
    }
    return slots / double(std::max<std::size_t>(nodes_, 1));
}

void policy_scheduling::observe(time_point now)
{
    auto const elapsed = now - interval_.began;
    if (elapsed < snapshot_interval)
        return;
    auto const seconds = std::chrono::duration<double>(elapsed).count();
    load_snapshot load;
    for (auto const& entry : queues_)
    {
        load.queued_calls += static_cast<std::uint32_t>(entry.second.size());
        load.young_queued_calls +=
            static_cast<std::uint32_t>(entry.second.young_calls());
        if (auto const oldest = entry.second.oldest())
            load.oldest_wait = std::max(load.oldest_wait, now - *oldest);
    }
    load.running_calls = static_cast<std::uint32_t>(sends_.size());
    load.slots = own_slots();
    load.call_rate = interval_.started / seconds;
    if (interval_.started > 0)
        load.mean_wait = interval_.waited / interval_.started;
    load.program_end_rate = interval_.ended_programs / seconds;
    admission_.observe(load, now);
    interval_ = {};
    interval_.began = now;
}

} // namespace walnutmill

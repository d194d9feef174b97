// What a node learns of the engines and makes of it: reports, load, caches.

#include "bench_modules_node.hpp"

#include <algorithm>

namespace walnutmill::bench
{

namespace
{

// Enough for a 95th percentile, few enough to follow the load.
constexpr std::size_t first_tokens_kept = 200;
constexpr std::size_t first_tokens_least = 40;
constexpr duration observation = std::chrono::milliseconds(500);

char const* tool_name(tool_kind tool)
{
    switch (tool)
    {
    case tool_kind::lookup:
        return "lookup";
    case tool_kind::reservation:
        return "reservation";
    case tool_kind::person:
        return "person";
    case tool_kind::sub_agents:
        return "sub-agents";
    }
    return "";
}

} // namespace

engine_index modules_node::spare_engine(engine_index besides)
{
    auto const drawn = static_cast<engine_index>(random_() * size_.engines);
    bool const usable = drawn != besides && in_service_[drawn];
    return usable ? drawn : no_engine;
}

pause_answer modules_node::pause(pause_view const& view)
{
    if (off_ == module::retention)
        return {};
    auto const other = spare_engine(view.at);
    retention_request request;
    request.tool = tool_name(view.tool);
    request.cached_tokens = view.tokens;
    request.memory_pressure = pressure_[view.at];
    request.cache_capacity = size_.engine.cache_tokens;
    request.target_leaving = !in_service_[view.at];
    if (other != no_engine)
    {
        request.other = targets_[other];
        request.other_pressure = pressure_[other];
    }
    request.latency_weight = size_.latency_weight;
    request.waste_weight = size_.waste_weight;
    auto const decision = retention_.decide(request);
    if (decision.action == retention_action::drop)
        return {cache_action::drop, duration(0), no_engine};
    if (decision.action == retention_action::move)
        return {cache_action::move, decision.hold, other};
    return {cache_action::hold, decision.hold, no_engine};
}

void modules_node::resumed(tool_kind tool, duration length)
{
    pauses_.observe(tool_name(tool), length);
}

target_view modules_node::view_of(reports const& seen, engine_index at) const
{
    auto const& report = seen.engines[at];
    bool const model = at < size_.engines;
    target_view view;
    view.name = targets_[at];
    view.slots = size_.spec_of(model ? pool::engines : pool::services).slots;
    view.running = report.load.running;
    view.queued = report.load.queued;
    view.report_age = seen.age;
    view.memory_pressure = pressure_[at];
    if (model)
        view.models.emplace_back(model_name);
    view.loading = !report.in_service;
    return view;
}

void modules_node::reported(reports const& seen, time_point now)
{
    now_ = now;
    for (engine_index at = 0; at < seen.engines.size(); ++at)
    {
        auto const& load = seen.engines[at].load;
        auto const size = std::max<std::uint64_t>(1, load.cache_size);
        pressure_[at] = static_cast<double>(load.cache_used) / size;
        in_service_[at] = seen.engines[at].in_service;
        reported_load_[at] = load.running + load.queued;
        placement_.on_report(view_of(seen, at), now);
    }
    if (now - counts_.since >= observation)
        observe_load(seen, now);
}

void modules_node::observe_load(reports const& seen, time_point now)
{
    auto const length = to_seconds(now - counts_.since);
    load_snapshot load;
    load.queued_calls =
        static_cast<std::uint32_t>(engine_queue_.size() + in_order_[0].size());
    for (engine_index at = 0; at < size_.engines; ++at)
    {
        load.running_calls += placement_.in_flight(targets_[at]);
        if (seen.engines[at].in_service)
            load.slots += size_.engine.slots / static_cast<double>(size_.nodes);
    }
    load.young_queued_calls =
        static_cast<std::uint32_t>(engine_queue_.young_calls());
    load.call_rate = counts_.waits / length;
    if (counts_.waits > 0)
        load.mean_wait = counts_.waited / counts_.waits;
    if (counts_.history > 0.0)
        load.missing_history = 1.0 - counts_.history_cached / counts_.history;
    load.program_end_rate = counts_.programs_ended / length;
    if (auto const oldest = engine_queue_.oldest())
        load.oldest_wait = now - *oldest;
    admission_.observe(load, now);
    counts_ = interval_counts();
    counts_.since = now;
}

void modules_node::note_first_token(double seconds)
{
    if (first_tokens_.size() < first_tokens_kept)
        first_tokens_.push_back(seconds);
    else
        first_tokens_[next_first_token_] = seconds;
    next_first_token_ = (next_first_token_ + 1) % first_tokens_kept;
}

duration modules_node::usual_first_token() const
{
    if (first_tokens_.size() < first_tokens_least)
        return duration::max();
    auto sorted = first_tokens_;
    auto const at = sorted.begin() + sorted.size() * 95 / 100;
    std::nth_element(sorted.begin(), at, sorted.end());
    return seconds(*at);
}

bool modules_node::is_slow(live_call const& call, time_point now)
{
    if (call.to == no_engine || call.answering || call.view.on != pool::engines)
        return false;
    auto const other = spare_engine(call.to);
    slow_attempt attempt;
    attempt.root = program_id(std::to_string(call.view.program));
    attempt.repeatable = true;
    attempt.sent = call.sent;
    attempt.deadline = call.view.deadline;
    attempt.usual = usual_first_token();
    attempt.spare_room = other != no_engine && engine_queue_.empty() &&
                         reported_load_[other] < size_.engine.slots;
    return retry_.hedge(attempt, now).send;
}

std::vector<call_handle> modules_node::recall(time_point now)
{
    std::vector<call_handle> slow;
    if (off_ == module::hedge)
        return slow;
    for (auto const& each : calls_)
        if (is_slow(each.second, now))
            slow.push_back(each.first);
    std::sort(slow.begin(), slow.end());
    for (auto const handle : slow)
        withdraw(handle);
    return slow;
}

} // namespace walnutmill::bench

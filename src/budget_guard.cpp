#include <walnutmill/budget_guard.hpp>

#include <algorithm>

namespace walnutmill
{

namespace
{

guard_verdict
judge(guard_reason reason, std::uint32_t count, std::uint32_t limit)
{
    if (count < limit)
        return {};
    return {reason, count, limit};
}

template<class Limits>
auto find_tool(Limits& limits, service_name const& service)
{
    return std::find_if(
        limits.begin(), limits.end(),
        [&](tool_limit const& item) { return item.service == service; });
}

} // namespace

std::string_view to_string(guard_reason reason)
{
    switch (reason)
    {
    case guard_reason::allowed:
        return "allowed";
    case guard_reason::repeated_call:
        return "repeated_call";
    case guard_reason::too_many_turns:
        return "too_many_turns";
    case guard_reason::too_deep:
        return "too_deep";
    case guard_reason::too_many_sub_agents:
        return "too_many_sub_agents";
    case guard_reason::too_many_tool_calls:
        return "too_many_tool_calls";
    }
    return "allowed";
}

guard_options guard_options_from(limits_config const& limits)
{
    guard_options options;
    options.max_turns = limits.max_turns;
    options.max_depth = limits.max_depth;
    options.max_sub_agents = limits.max_sub_agents;
    return options;
}

budget_guard::budget_guard(guard_options const& options, std::uint32_t depth)
    : options_(&options), depth_(depth)
{
}

std::uint32_t budget_guard::repeats_of(std::uint64_t body_hash) const
{
    // The most frequent answer to this call counts.
    std::uint32_t most = 0;
    for (auto const& call : recent_)
    {
        if (call.body_hash != body_hash)
            continue;
        auto same = std::count_if(
            recent_.begin(), recent_.end(),
            [&](answered_call const& other)
            {
                return other.body_hash == call.body_hash &&
                       other.answer_hash == call.answer_hash;
            });
        most = std::max(most, static_cast<std::uint32_t>(same));
    }
    return most;
}

guard_verdict budget_guard::check_call(
    service_name const& service, std::uint64_t body_hash) const
{
    auto turns =
        judge(guard_reason::too_many_turns, turns_, options_->max_turns);
    if (!turns.allowed())
        return turns;
    auto limit = find_tool(options_->tools, service);
    auto made = find_tool(tool_calls_, service);
    if (limit != options_->tools.end() && made != tool_calls_.end())
    {
        auto calls = judge(
            guard_reason::too_many_tool_calls, made->max_calls,
            limit->max_calls);
        if (!calls.allowed())
            return calls;
    }
    return judge(
        guard_reason::repeated_call, repeats_of(body_hash),
        options_->max_repeats);
}

guard_verdict budget_guard::check_sub_agent(std::uint32_t sub_agents) const
{
    auto depth = judge(guard_reason::too_deep, depth_, options_->max_depth);
    if (!depth.allowed())
        return depth;
    return judge(
        guard_reason::too_many_sub_agents, sub_agents,
        options_->max_sub_agents);
}

void budget_guard::on_answer(
    service_name const& service, std::uint64_t body_hash,
    std::uint64_t answer_hash)
{
    ++turns_;
    if (recent_.full() && recent_.capacity() < options_->window)
        recent_.set_capacity(
            std::min<std::size_t>(options_->window, 2 * recent_.size() + 2));
    recent_.push_back({body_hash, answer_hash});
    if (find_tool(options_->tools, service) == options_->tools.end())
        return;
    auto made = find_tool(tool_calls_, service);
    if (made == tool_calls_.end())
        tool_calls_.push_back({service, 1});
    else
        ++made->max_calls;
}

} // namespace walnutmill

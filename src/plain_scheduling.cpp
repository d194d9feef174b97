#include "scheduling.hpp"

#include <algorithm>
#include <deque>
#include <map>

namespace walnutmill
{
namespace
{

constexpr std::uint32_t plain_attempts = 3;
constexpr std::chrono::milliseconds plain_backoff{10};

struct plain_state
{
    std::function<std::shared_ptr<configuration const>()> config;
    std::deque<call_handle> waiting;
    std::map<target_name, std::uint32_t> running;
    std::size_t turn = 0;

    std::optional<placement_choice> place(placement_query const& query)
    {
        auto const current = config();
        auto const* service = find_service(*current, query.service);
        if (service == nullptr || service->targets.empty())
            return std::nullopt;
        auto const count = service->targets.size();
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const& name = service->targets[(turn + i) % count];
            auto const* target = find_target(*current, name);
            if (target == nullptr ||
                target->policy != target_policy::in_service ||
                running[name] >= target->slots)
                continue;
            turn += i + 1;
            return placement_choice{name, "in turn"};
        }
        return std::nullopt;
    }
};

} // namespace

scheduling_hooks
plain_scheduling(std::function<std::shared_ptr<configuration const>()> config)
{
    auto const state = std::make_shared<plain_state>();
    state->config = std::move(config);
    scheduling_hooks hooks;
    hooks.admit = [](workspace_name const&, time_point)
    { return std::optional<refusal>(); };
    hooks.enqueue = [state](waiting_call const& call)
    { state->waiting.push_back(call.call); };
    hooks.remove = [state](call_handle call)
    {
        auto& waiting = state->waiting;
        waiting.erase(
            std::remove(waiting.begin(), waiting.end(), call), waiting.end());
    };
    hooks.offer =
        [state](time_point, std::function<bool(call_handle)> const& dispatch)
    {
        auto const round = state->waiting;
        for (auto call : round)
        {
            if (!dispatch(call))
                continue;
            auto& waiting = state->waiting;
            waiting.erase(
                std::remove(waiting.begin(), waiting.end(), call),
                waiting.end());
        }
    };
    hooks.charge = [](workspace_name const&, program_id const&, std::uint64_t) {
    };
    hooks.forget = [](program_id const&, bool, time_point) {};
    hooks.place = [state](placement_query const& query, time_point)
    { return state->place(query); };
    hooks.sent = [state](target_name const& target, time_point)
    { ++state->running[target]; };
    hooks.ended = [state](target_report const& report, time_point)
    { --state->running[report.target]; };
    hooks.hold_for = [](retention_query const&)
    { return std::chrono::milliseconds(0); };
    hooks.paused = [](std::string const&, duration) {};
    hooks.retry = [](retry_query const& query) -> std::optional<duration>
    {
        bool const may = query.repeatable || query.ran == certainty::not_run;
        if (!may || query.attempts >= plain_attempts)
            return std::nullopt;
        return plain_backoff;
    };
    return hooks;
}

} // namespace walnutmill

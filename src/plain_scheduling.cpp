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
    std::map<send_ticket, target_name> sends;
    send_ticket last_ticket = 0;
    std::size_t turn = 0;

    void remove(call_handle call)
    {
        waiting.erase(
            std::remove(waiting.begin(), waiting.end(), call), waiting.end());
    }

    send_ticket send(target_name const& target)
    {
        ++running[target];
        sends[++last_ticket] = target;
        return last_ticket;
    }

    void end(send_ticket ticket)
    {
        auto const found = sends.find(ticket);
        if (found == sends.end())
            return;
        --running[found->second];
        sends.erase(found);
    }

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
    hooks.admit = [](admission_query const&, time_point)
    { return std::optional<refusal>(); };
    hooks.adopted = [](admission_query const&) {};
    hooks.forget = [](program_id const&, time_point) {};
    hooks.enqueue = [state](waiting_call const& call)
    { state->waiting.push_back(call.call); };
    hooks.remove = [state](service_name const&, call_handle call)
    { state->remove(call); };
    hooks.offer =
        [state](time_point, std::function<bool(call_handle)> const& dispatch)
    {
        auto const round = state->waiting;
        for (auto call : round)
        {
            if (dispatch(call))
                state->remove(call);
        }
    };
    hooks.place = [state](placement_query const& query, time_point)
    { return state->place(query); };
    hooks.sent =
        [state](placement_query const&, target_name const& target, time_point)
    { return state->send(target); };
    hooks.first_token = [](send_ticket, time_point) {};
    hooks.ended = [state](send_report const& report, time_point)
    { state->end(report.ticket); };
    hooks.hold_for = [](retention_query const&)
    { return std::chrono::milliseconds(0); };
    hooks.paused = [](std::string const&, duration) {};
    hooks.retry = [](retry_query const& query,
                     time_point) -> std::optional<duration>
    {
        bool const may = query.repeatable || query.ran == certainty::not_run;
        if (!may || query.attempts >= plain_attempts)
            return std::nullopt;
        return plain_backoff;
    };
    return hooks;
}

} // namespace walnutmill

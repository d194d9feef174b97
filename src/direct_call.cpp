#include "direct_call.hpp"
#include "refusals.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

constexpr std::chrono::milliseconds full_come_back{200};

} // namespace

struct direct_caller::attempt
{
    std::shared_ptr<configuration const> config;
    direct_request request;
    service_config service;
    done_fn done;
    time_point deadline;
    time_point sent;
    target_name target;
    send_ticket ticket = 0;
    std::uint32_t attempts = 0;
    bool may_have_run = false;
    std::vector<target_name> failed_at;
};

direct_caller::direct_caller(
    scheduling_hooks hooks, owner_duty& owner, target_client& targets,
    clock_fn clock)
    : hooks_(std::move(hooks)), owner_(owner), targets_(targets),
      clock_(std::move(clock))
{
}

void direct_caller::call(
    std::shared_ptr<configuration const> const& config, direct_request request,
    done_fn done)
{
    auto const* service = find_service(*config, request.service);
    auto const* workspace = find_workspace(*config, request.workspace);
    bool const allowed =
        service != nullptr && workspace != nullptr &&
        std::find(
            workspace->services.begin(), workspace->services.end(),
            request.service) != workspace->services.end();
    if (!allowed)
        return done(refuse(errc::not_found, "no such service", "service"));
    if (service->kind != target_kind::plain || !service->repeatable)
    {
        return done(refuse(
            errc::bad_request,
            "only repeatable plain services are called without a program"));
    }
    auto const call = std::make_shared<attempt>();
    call->config = config;
    call->service = *service;
    call->done = std::move(done);
    auto const limit = request.deadline.count() > 0
                           ? std::min(request.deadline, service->call_timeout)
                           : service->call_timeout;
    call->deadline = clock_() + limit;
    call->request = std::move(request);
    owner_.post([this, call](program_owner&, time_point now)
                { place(call, now); });
}

void direct_caller::place(attempt_ptr const& call, time_point now)
{
    placement_query query;
    query.service = call->service.name;
    query.avoid = call->failed_at;
    auto const choice = hooks_.place(query, now);
    if (!choice)
    {
        auto why = refuse(errc::overloaded, "all targets are full");
        why.retry_after = full_come_back;
        if (call->may_have_run)
            why.ran = certainty::outcome_unknown;
        return call->done(why);
    }
    call->ticket = hooks_.sent(query, choice->target, now);
    call->sent = now;
    ++call->attempts;
    send(call, choice->target);
}

void direct_caller::send(attempt_ptr const& call, target_name const& target)
{
    call->target = target;
    plain_effect work;
    work.target = target;
    work.request = call->request.request;
    work.input = call->request.input;
    work.repeatable = true;
    work.timeout = call->service.call_timeout;
    attempt_hooks hooks;
    hooks.answer = [this, call](attempt_answer answer)
    {
        owner_.post(
            [this, call,
             answer = std::move(answer)](program_owner&, time_point now)
            {
                hooks_.ended(
                    {call->ticket, send_end::done, now - call->sent, 0}, now);
                call->done(call_answer{
                    {},
                    0,
                    call->request.request,
                    answer.output,
                    call->service.call_cost,
                    call->target});
            });
    };
    hooks.failure = [this, call](refusal why)
    {
        owner_.post(
            [this, call, why = std::move(why)](program_owner&, time_point now)
            { failed(call, why, now); });
    };
    auto const* to = find_target(*call->config, target);
    targets_.run(to->address, work, hooks);
}

void direct_caller::failed(attempt_ptr const& call, refusal why, time_point now)
{
    hooks_.ended({call->ticket, send_end::failed, now - call->sent, 0}, now);
    call->failed_at.push_back(call->target);
    call->may_have_run = call->may_have_run || why.ran != certainty::not_run;
    auto const wait = hooks_.retry(
        {program_id(), call->target, why.code, true, why.ran, call->attempts,
         call->deadline, why.retry_after},
        now);
    // The caller may come back itself; waiting here would only hold it up.
    if (wait && now < call->deadline)
        return place(call, now);
    if (call->may_have_run && why.ran == certainty::not_run)
        why.ran = certainty::outcome_unknown;
    call->done(why);
}

} // namespace walnutmill

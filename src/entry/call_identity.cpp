/// \file
/// The part of a call's life in which it is told whose it is, and whether its
/// workspace may make it.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"

#include <walnutmill/caller_identity.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// Longest wait of a call with an unknown key for a newer configuration.
constexpr milliseconds longest_look{1'500};

constexpr int status_unauthorized = 401;
constexpr int status_too_many = 429;

} // namespace

void call_flow::check_identity()
{
    auto const age =
        node_.configuration_age ? node_.configuration_age() : duration(0);
    auto const who =
        identify(*table_, *route_, call_, age, node_.revoke_within);
    if (table_->workspaces)
    {
        story_["identity"] = to_string(who.answer);
        if (age != duration::max())
            story_["configuration_age_ms"] = ms_count(age);
    }
    switch (who.answer)
    {
    case identity_answer::identified:
        adopt(*who.owner);
        take_quota();
        break;
    case identity_answer::anonymous:
        if (table_->workspaces)
            scope_ids();
        admit();
        break;
    case identity_answer::key_missing:
        deny("a key is needed");
        break;
    case identity_answer::key_unknown:
        look_for_key(age);
        break;
    case identity_answer::stale:
        refuse("the configuration is too old to check the key", come_back_soon);
        break;
    }
}

void call_flow::adopt(workspace const& owner)
{
    call_.owner = owner.name;
    call_.owner_rank = owner.rank;
    story_["workspace"] = owner.name.str();
    scope_ids();
}

/// Programs and turns of different workspaces may bear the same ids.
void call_flow::scope_ids()
{
    auto& program = call_.program;
    if (!program.program.empty())
    {
        program.program =
            program_id(scoped_id(call_.owner, program.program.str()));
    }
    kept_id_ = request_id(scoped_id(call_.owner, call_.id.str()));
    unscoped_previous_ = program.previous_turn;
    if (!program.previous_turn.empty())
    {
        program.previous_turn =
            request_id(scoped_id(call_.owner, program.previous_turn.str()));
    }
}

/// Denies the key only once a configuration was read that holds all that was
/// acknowledged before the call came: it may just have been added.
void call_flow::look_for_key(duration configuration_age)
{
    auto const now = node_.clock();
    auto const waited = now - arrived_;
    auto const looked = configuration_age <= waited || waited >= longest_look ||
                        node_.denied.holds(*call_.key, now);
    if (!looked && node_.after_confirmation &&
        node_.after_confirmation([self = shared_from_this()]
                                 { self->identify_again(); }))
        return;
    node_.denied.add(*call_.key, now);
    deny("no workspace holds this key");
}

void call_flow::identify_again()
{
    if (done_)
        return;
    table_ = node_.table;
    story_["configuration"] = table_->version;
    if (route_call())
        check_identity();
}

void call_flow::deny(std::string_view why)
{
    node_.counters.count("walnutmill_keys_denied_total");
    answer_own(status_unauthorized, why);
}

void call_flow::take_quota()
{
    if (node_.quotas == nullptr)
    {
        admit();
        return;
    }
    node_.quotas->take(
        call_.owner,
        [self = shared_from_this(), began = node_.clock()](
            quota_answer const& answer, std::string const& coordinator)
        {
            if (self->done_)
            {
                if (answer.decision == quota_decision::granted)
                    self->node_.quotas->give_back(self->call_.owner);
                return;
            }
            self->story_["quota_ms"] = ms_count(self->node_.clock() - began);
            if (!coordinator.empty())
                self->story_["quota_coordinator"] = coordinator;
            self->quota_answered(answer);
        });
}

void call_flow::quota_answered(quota_answer const& answer)
{
    node_.requests_by_workspace.count(call_.owner, answer.decision);
    switch (answer.decision)
    {
    case quota_decision::granted:
        quota_taken_ = true;
        admit();
        break;
    case quota_decision::over_limit:
        refuse_over_limit(
            "the workspace is over its limit", answer.retry_after);
        break;
    case quota_decision::undecided:
        refuse("the workspace's limit can't be checked", answer.retry_after);
        break;
    }
}

void call_flow::refuse_over_limit(
    std::string_view why, milliseconds retry_after)
{
    if (auto const* owner = table_->workspaces->find(call_.owner))
    {
        story_["limit_per_s"] = owner->limit.per_second;
        story_["limit_burst"] = owner->limit.burst;
    }
    answer_own(status_too_many, why, retry_after + retry_after_jitter());
}

/// The call reached no engine.
void call_flow::return_quota()
{
    if (!quota_taken_)
        return;
    quota_taken_ = false;
    node_.quotas->give_back(call_.owner);
}

} // namespace walnutmill

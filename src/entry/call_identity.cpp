/// \file
/// Identifies the workspace of a call by its key and checks the workspace's
/// request limit.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"

#include <walnutmill/caller_identity.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// Longest time that a call with an unknown key waits for a newer
/// configuration.
constexpr milliseconds max_confirmation_wait{1'500};

constexpr int status_unauthorized = 401;
constexpr int status_too_many = 429;

} // namespace

void call_flow::check_identity()
{
    auto const age =
        node_.configuration_age ? node_.configuration_age() : duration(0);
    auto const identity =
        identify(*table_, *route_, call_, age, node_.revoke_within);
    if (table_->workspaces)
    {
        log_fields_["identity"] = to_string(identity.answer);
        if (age != duration::max())
            log_fields_["configuration_age_ms"] = ms_count(age);
    }
    switch (identity.answer)
    {
    case identity_answer::identified:
        set_owner(*identity.owner);
        acquire_quota();
        break;
    case identity_answer::anonymous:
        if (table_->workspaces)
            scope_ids();
        begin_or_resume();
        break;
    case identity_answer::key_missing:
        reject_key("a key is needed");
        break;
    case identity_answer::key_unknown:
        recheck_or_reject_key(age);
        break;
    case identity_answer::stale:
        log_configuration_origin();
        refuse(
            "the configuration is too old to check the key",
            min_retry_after_refusal);
        break;
    }
}

/// Logs how old the configuration is and which node read it.
void call_flow::log_configuration_origin()
{
    auto const age =
        node_.configuration_age ? node_.configuration_age() : duration::max();
    if (age != duration::max())
        log_fields_["configuration_age_ms"] = ms_count(age);
    if (node_.configuration_source)
        log_fields_["configuration_source"] = node_.configuration_source();
}

/// \return true if the configuration includes every change that must be in
/// force for this call.
bool call_flow::is_configuration_in_force() const
{
    if (!node_.configuration_age || node_.apply_within.count() == 0)
        return true;
    auto const waited = node_.clock() - arrived_;
    return node_.configuration_age() <= node_.apply_within + waited;
}

/// Denies the call, or asks the caller to retry if a newer configuration may
/// allow it.
/// \return true if the call was denied
bool call_flow::deny(int status, std::string_view why)
{
    log_configuration_origin();
    if (!is_configuration_in_force())
    {
        refuse(
            "the configuration is too old to deny the call",
            min_retry_after_refusal);
        return false;
    }
    respond_locally(status, why);
    return true;
}

void call_flow::set_owner(workspace const& owner)
{
    call_.owner = owner.name;
    call_.owner_rank = owner.rank;
    log_fields_["workspace"] = owner.name.str();
    labels_.workspace = node_.accounting->workspace_index(owner.name);
    scope_ids();
}

/// Prefixes IDs with the workspace, since programs and turns of different
/// workspaces may have the same IDs.
void call_flow::scope_ids()
{
    auto& program = call_.program;
    if (!program.program.empty())
    {
        program.program =
            program_id(scoped_id(call_.owner, program.program.str()));
    }
    stored_turn_id_ = request_id(scoped_id(call_.owner, call_.id.str()));
    if (!call_.resumes.empty())
        call_.resumes = request_id(scoped_id(call_.owner, call_.resumes.str()));
    unscoped_previous_ = program.previous_turn;
    if (!program.previous_turn.empty())
    {
        program.previous_turn =
            request_id(scoped_id(call_.owner, program.previous_turn.str()));
    }
}

/// Rejects the key only after a configuration has been read that holds every
/// change acknowledged before the call arrived, since the key may be new.
void call_flow::recheck_or_reject_key(duration configuration_age)
{
    auto const now = node_.clock();
    auto const waited = now - arrived_;
    auto const confirmed = configuration_age <= waited ||
                           waited >= max_confirmation_wait ||
                           node_.denied.holds(*call_.key, now);
    if (!confirmed && node_.after_confirmation &&
        node_.after_confirmation(
            [waiting = weak_from_this()]
            {
                if (auto const self = waiting.lock())
                    self->identify_again();
            }))
    {
        awaits_confirmation_ = true;
        begin_wait(wait_reason::configuration);
        identity_timer_.expires_after(max_confirmation_wait - waited);
        identity_timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code const& error)
            {
                if (!error)
                    self->identify_again();
            });
        return;
    }
    if (reject_key("no workspace holds this key"))
        node_.denied.add(*call_.key, now);
}

void call_flow::identify_again()
{
    if (done_ || !std::exchange(awaits_confirmation_, false))
        return;
    identity_timer_.cancel();
    wait_.end();
    table_ = node_.table;
    log_fields_["configuration"] = table_->version;
    if (!route_call() || !limit_call_time())
        return;
    check_identity();
}

bool call_flow::reject_key(std::string_view why)
{
    auto const denied = deny(status_unauthorized, why);
    if (denied)
        node_.counters.count("walnutmill_keys_denied_total");
    return denied;
}

void call_flow::acquire_quota()
{
    if (node_.quotas == nullptr)
    {
        begin_or_resume();
        return;
    }
    begin_wait(wait_reason::quota);
    node_.quotas->acquire(
        call_.owner,
        [self = shared_from_this(), began = node_.clock()](
            quota_answer const& answer, std::string const& coordinator)
        {
            self->wait_.end();
            if (self->done_)
            {
                if (answer.decision == quota_decision::granted)
                    self->node_.quotas->refund(self->call_.owner);
                return;
            }
            self->log_fields_["quota_ms"] =
                ms_count(self->node_.clock() - began);
            if (!coordinator.empty())
                self->log_fields_["quota_coordinator"] = coordinator;
            self->quota_answered(answer);
        });
}

void call_flow::quota_answered(quota_answer const& answer)
{
    node_.requests_by_workspace.count(call_.owner, answer.decision);
    record_use(answer);
    switch (answer.decision)
    {
    case quota_decision::granted:
        quota_acquired_ = true;
        begin_or_resume();
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

void call_flow::record_use(quota_answer const& answer)
{
    if (!answer.use || !table_->workspaces)
        return;
    if (auto const* owner = table_->workspaces->find(call_.owner))
    {
        node_.shares.record_use(
            call_.owner, *answer.use, owner->limit, node_.clock());
    }
}

/// Draws whether the call is refused if its program is a new one.
bool call_flow::draw_refusal(
    std::optional<double> load_per_slot, bool has_priority, time_point now)
{
    share_decision_.reset();
    auto const draw = node_.random();
    auto const refused_usually =
        draw < refusal_probability(load_per_slot, route_rank(), has_priority);
    auto const use = node_.shares.use_of(call_.owner, now);
    if (!use)
        return refused_usually;
    auto const thresholds = node_.shares.admission_options(call_.owner, now);
    auto const refused =
        draw < refusal_probability(
                   load_per_slot, route_rank(), has_priority, thresholds);
    constexpr double thousandths = 1'000;
    log_fields_["workspace_use"] = *use / thousandths;
    log_fields_["workspace_use_mean"] =
        node_.shares.mean_use(now) / thousandths;
    log_fields_["load_limit"] = thresholds.full_refusal_load;
    if (refused)
    {
        share_decision_ = refused_usually ? share_decision::refused
                                          : share_decision::refused_by_share;
    }
    else if (refused_usually)
        share_decision_ = share_decision::admitted_by_share;
    return refused;
}

void call_flow::count_share_decision(
    admission_answer answer, budget_service::grant const& grant)
{
    if (!share_decision_)
        return;
    auto const admitted = answer == admission_answer::admitted;
    // The turns of a program that has begun are admitted at any load. Its
    // coordinator knows prefix cache locations of it.
    auto const counts = *share_decision_ == share_decision::admitted_by_share
                            ? admitted && grant.cache_locations.empty()
                            : answer == admission_answer::not_begun;
    if (counts)
        node_.requests_by_workspace.count(call_.owner, *share_decision_);
}

void call_flow::refuse_over_limit(
    std::string_view why, milliseconds retry_after)
{
    if (auto const* owner = table_->workspaces->find(call_.owner))
    {
        log_fields_["limit_per_s"] = owner->limit.per_second;
        log_fields_["limit_burst"] = owner->limit.burst;
    }
    respond_locally(status_too_many, why, retry_after + retry_after_jitter());
}

/// Returns the rate limit token of a call that has reached no engine.
void call_flow::return_quota()
{
    if (!quota_acquired_)
        return;
    quota_acquired_ = false;
    node_.quotas->refund(call_.owner);
}

} // namespace walnutmill

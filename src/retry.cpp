#include <walnutmill/retry.hpp>

#include <algorithm>
#include <cmath>

namespace walnutmill
{

namespace
{

/// Whether another attempt may meet with another answer.
bool transient(errc code)
{
    switch (code)
    {
    case errc::overloaded:
    case errc::target_failed:
    case errc::unavailable:
    case errc::outcome_unknown:
        return true;
    default:
        return false;
    }
}

retry_decision declined(retry_reason reason)
{
    retry_decision decision;
    decision.reason = reason;
    return decision;
}

} // namespace

std::string_view to_string(retry_reason reason)
{
    switch (reason)
    {
    case retry_reason::did_not_run:
        return "did_not_run";
    case retry_reason::repeatable:
        return "repeatable";
    case retry_reason::slow:
        return "slow";
    case retry_reason::not_repeatable:
        return "not_repeatable";
    case retry_reason::permanent:
        return "permanent";
    case retry_reason::attempts_exhausted:
        return "attempts_exhausted";
    case retry_reason::program_budget_exhausted:
        return "program_budget_exhausted";
    case retry_reason::target_budget_exhausted:
        return "target_budget_exhausted";
    case retry_reason::node_budget_exhausted:
        return "node_budget_exhausted";
    case retry_reason::hedge_budget_exhausted:
        return "hedge_budget_exhausted";
    case retry_reason::deadline:
        return "deadline";
    case retry_reason::not_slow:
        return "not_slow";
    case retry_reason::no_spare_room:
        return "no_spare_room";
    }
    return "permanent";
}

retry_policy::retry_policy(retry_options options)
    : options_(options), node_(options.node_start)
{
}

double& retry_policy::program_balance(program_id const& root)
{
    return programs_.try_emplace(root, options_.program_start).first->second;
}

double& retry_policy::target_balance(target_name const& target)
{
    return targets_.try_emplace(target, options_.target_start).first->second;
}

void retry_policy::on_success(program_id const& root, target_name const& target)
{
    auto& program = program_balance(root);
    program = std::min(program + options_.earned, options_.program_most);
    auto& at_target = target_balance(target);
    at_target = std::min(at_target + options_.earned, options_.target_most);
    node_ = std::min(node_ + options_.earned, options_.node_most);
    hedges_ = std::min(hedges_ + options_.hedge_earned, options_.hedge_most);
}

duration retry_policy::backoff(
    failed_attempt const& attempt, random_fn const& random) const
{
    double longest = static_cast<double>(options_.first_backoff.count()) *
                     std::exp2(attempt.attempts - 1.0);
    double capped = std::min(
        longest, static_cast<double>(options_.greatest_backoff.count()));
    return attempt.retry_after +
           duration(static_cast<duration::rep>(capped * random()));
}

retry_decision retry_policy::on_failure(
    failed_attempt const& attempt, time_point now, random_fn const& random)
{
    if (attempt.ran != certainty::not_run && !attempt.repeatable)
        return declined(retry_reason::not_repeatable);
    if (!transient(attempt.code))
        return declined(retry_reason::permanent);
    if (attempt.attempts >= options_.max_attempts)
        return declined(retry_reason::attempts_exhausted);
    auto delay = backoff(attempt, random);
    if (attempt.deadline - now < delay + attempt.expected)
        return declined(retry_reason::deadline);
    auto& program = program_balance(attempt.root);
    if (program < 1.0)
        return declined(retry_reason::program_budget_exhausted);
    auto& target = target_balance(attempt.target);
    if (target < 1.0)
        return declined(retry_reason::target_budget_exhausted);
    if (node_ < 1.0)
        return declined(retry_reason::node_budget_exhausted);
    program -= 1.0;
    target -= 1.0;
    node_ -= 1.0;
    auto reason = attempt.ran == certainty::not_run ? retry_reason::did_not_run
                                                    : retry_reason::repeatable;
    return {true, reason, delay};
}

retry_decision retry_policy::hedge(slow_attempt const& attempt, time_point now)
{
    if (!attempt.repeatable)
        return declined(retry_reason::not_repeatable);
    if (now - attempt.sent < attempt.usual)
        return declined(retry_reason::not_slow);
    if (!attempt.spare_room)
        return declined(retry_reason::no_spare_room);
    if (attempt.deadline - now < attempt.usual)
        return declined(retry_reason::deadline);
    auto& program = program_balance(attempt.root);
    if (program < 1.0)
        return declined(retry_reason::program_budget_exhausted);
    if (hedges_ < 1.0)
        return declined(retry_reason::hedge_budget_exhausted);
    program -= 1.0;
    hedges_ -= 1.0;
    return {true, retry_reason::slow, duration(0)};
}

void retry_policy::forget(program_id const& root)
{
    programs_.erase(root);
}

void retry_policy::forget(target_name const& target)
{
    targets_.erase(target);
}

double retry_policy::balance(program_id const& root) const
{
    auto found = programs_.find(root);
    return found == programs_.end() ? options_.program_start : found->second;
}

double retry_policy::balance(target_name const& target) const
{
    auto found = targets_.find(target);
    return found == targets_.end() ? options_.target_start : found->second;
}

} // namespace walnutmill

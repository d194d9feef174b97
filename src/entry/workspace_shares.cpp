#include "entry/workspace_shares.hpp"

#include <algorithm>
#include <cmath>

namespace walnutmill
{
namespace
{

/// Time over which coordinators count the use, in seconds; the time constant of
/// `quota_coordinator`.
constexpr double use_count_time_s = 2;

} // namespace

workspace_shares::workspace_shares(workspace_shares_options options)
    : options_(options)
{
}

void workspace_shares::set_enabled(bool enabled)
{
    enabled_ = enabled;
    if (enabled)
        return;
    by_owner_.clear();
    reports_.clear();
    sum_ = 0;
}

void workspace_shares::forget_oldest()
{
    sum_ -= reports_.front().use;
    by_owner_.erase(reports_.front().owner);
    reports_.pop_front();
}

void workspace_shares::forget_old(time_point now)
{
    while (!reports_.empty() &&
           now - reports_.front().reported_at >= options_.use_lifetime)
        forget_oldest();
}

void workspace_shares::record_use(
    workspace_name const& owner, std::uint32_t use, rate_limit const& limit,
    time_point now)
{
    if (!enabled_)
        return;
    forget_old(now);
    auto const found = by_owner_.find(owner);
    if (found == by_owner_.end())
    {
        if (reports_.size() >= options_.max_workspaces)
            forget_oldest();
        by_owner_.emplace(
            owner, reports_.insert(
                       reports_.end(), {owner, use, limit.per_second, now}));
        sum_ += use;
        return;
    }
    auto const position = found->second;
    sum_ = sum_ - position->use + use;
    position->use = use;
    position->limit_per_second = limit.per_second;
    position->reported_at = now;
    reports_.splice(reports_.end(), reports_, position);
}

std::optional<std::uint32_t>
workspace_shares::use_of(workspace_name const& owner, time_point now)
{
    forget_old(now);
    auto const found = by_owner_.find(owner);
    if (found == by_owner_.end())
        return std::nullopt;
    return found->second->use;
}

double workspace_shares::mean_use(time_point now)
{
    forget_old(now);
    return reports_.empty() ? 0
                            : static_cast<double>(sum_) /
                                  static_cast<double>(reports_.size());
}

std::optional<double>
workspace_shares::relative_use(workspace_name const& owner, time_point now)
{
    auto const use = use_of(owner, now);
    if (!use || reports_.size() < 2 || sum_ == 0)
        return std::nullopt;
    // Products of integers, so that equal uses give exactly 1.
    return static_cast<double>(*use * reports_.size()) /
           static_cast<double>(sum_);
}

/// \return the part of the excess above the mean that is not likely to be due
/// to chance
double
workspace_shares::certain_excess(double relative_use, entry const& of) const
{
    constexpr double thousandths = 1'000;
    auto const mean = static_cast<double>(sum_) /
                      static_cast<double>(reports_.size()) / thousandths;
    auto const requests = of.limit_per_second * use_count_time_s * mean;
    return (relative_use - 1) * requests /
           (requests + options_.uncertain_requests);
}

admission_control_options workspace_shares::admission_options(
    workspace_name const& owner, time_point now,
    admission_control_options const& usual)
{
    auto shifted = usual;
    auto const use = relative_use(owner, now);
    if (!use || *use == 1)
        return shifted;
    if (*use < 1)
    {
        shifted.refusal_start_load += options_.max_start_increase * (1 - *use);
        shifted.full_refusal_load += options_.max_full_increase * (1 - *use);
        return shifted;
    }
    auto const excess = certain_excess(*use, *by_owner_.at(owner));
    auto const range = usual.full_refusal_load - usual.refusal_start_load;
    shifted.full_refusal_load =
        usual.refusal_start_load +
        range * std::max(
                    std::pow(1 + excess, -options_.range_exponent),
                    options_.min_range);
    return shifted;
}

std::size_t workspace_shares::known(time_point now)
{
    forget_old(now);
    return reports_.size();
}

} // namespace walnutmill

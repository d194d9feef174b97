#include <walnutmill/quota.hpp>

#include <algorithm>
#include <cmath>

namespace walnutmill
{
namespace
{

/// Fraction of the allowed excess that a new bucket may grant at once. The
/// coordinator may change a few times within one window.
constexpr double initial_excess_fraction = 0.15;
/// Fraction of `quota_bounds::slack` that a full bucket holds on top of the
/// burst.
constexpr double headroom_fraction = 0.5;
/// Pause between ticks from which this node counts as stalled.
constexpr std::chrono::seconds stall_threshold{1};
/// Time without a request after which the bucket of a workspace that another
/// node coordinates retires. That node leaves its first decisions to this one.
constexpr std::chrono::milliseconds retire_after{300};
/// Time without a request after which the use of such a workspace is unknown.
constexpr std::chrono::seconds forget_use_after{2};
/// Upper bound of the retry-after time of a refused request.
constexpr std::chrono::milliseconds max_retry_after{5'000};
/// Time constant of the decay of counted grants. It spans two or more turns of
/// a program, and a burst of 8 s shows within its first quarter. Longer ones
/// for small limits, of 10 to 40 requests, did not serve small workspaces
/// better: an untypical count lasts longer.
constexpr std::chrono::seconds use_time_constant{2};
/// Time after the start of a count until it tells the use.
constexpr std::chrono::seconds min_count_time{2};
/// Least time between two answers with the use of one workspace, so that it
/// adds at most 1.5 KB a second to what its coordinator sends.
constexpr std::chrono::milliseconds min_report_interval{2};
/// Upper bound of the reported use, in thousandths.
constexpr double max_reported_use = 100'000;
/// Lower bound of the reachable share by which the use is scaled.
constexpr double min_share = 0.001;

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

std::chrono::milliseconds retry_after_until(time_point then, time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::min<duration>(then - now, max_retry_after));
}

} // namespace

double bucket_capacity(rate_limit const& limit, quota_bounds const& bounds)
{
    return std::max(limit.burst, 1.0) + bounds.slack * headroom_fraction;
}

double initial_tokens(rate_limit const& limit, quota_bounds const& bounds)
{
    auto const window = limit.per_second * to_seconds(bounds.window);
    auto const excess =
        (window + limit.burst) * bounds.excess_fraction + bounds.slack;
    return std::min(
        std::max(limit.burst, 1.0),
        std::max(excess * initial_excess_fraction, 1.0));
}

quota_coordinator::quota_coordinator(
    quota_bounds bounds, std::size_t max_buckets)
    : bounds_(bounds), max_buckets_(std::max<std::size_t>(max_buckets, 1))
{
}

void quota_coordinator::refill(
    bucket& entry, rate_limit const& limit, time_point now, double share) const
{
    auto const elapsed =
        to_seconds(std::max(now - entry.refilled_at, duration(0)));
    entry.limit = limit;
    entry.tokens = std::min(
        entry.tokens + elapsed * limit.per_second * share,
        bucket_capacity(limit, bounds_));
    entry.refilled_at = std::max(entry.refilled_at, now);
}

quota_coordinator::bucket& quota_coordinator::find_or_create(
    quota_request const& request, time_point now, double share)
{
    auto found = buckets_.find(request.owner);
    if (found == buckets_.end())
    {
        if (buckets_.size() >= max_buckets_)
        {
            buckets_.erase(lru_.front());
            lru_.pop_front();
        }
        bucket created;
        created.tokens = initial_tokens(request.limit, bounds_) * share;
        created.refilled_at = now;
        created.lru_position = lru_.insert(lru_.end(), request.owner);
        found = buckets_.emplace(request.owner, created).first;
    }
    auto& entry = found->second;
    lru_.splice(lru_.end(), lru_, entry.lru_position);
    entry.used_at = now;
    refill(entry, request.limit, now, share);
    if (entry.retired)
    {
        entry.tokens = std::min(
            entry.tokens, initial_tokens(request.limit, bounds_) * share);
        entry.retired = false;
    }
    return entry;
}

void quota_coordinator::set_reports_use(bool enabled)
{
    reports_use_ = enabled;
    if (enabled)
        return;
    for (auto& [owner, entry] : buckets_)
        entry.counted_since = {};
}

void quota_coordinator::decay_grants(bucket& entry, time_point now)
{
    if (entry.counted_since == time_point{})
    {
        entry.recent_grants = 0;
        entry.counted_since = entry.counted_at = now;
    }
    auto const elapsed =
        to_seconds(std::max(now - entry.counted_at, duration(0)));
    entry.recent_grants *= std::exp(-elapsed / to_seconds(use_time_constant));
    entry.counted_at = std::max(entry.counted_at, now);
}

/// \param share reachable share of members, which scales the rate that this
/// node grants
std::optional<std::uint32_t>
quota_coordinator::use_of(bucket const& entry, time_point now, double share)
{
    auto const counted_for = now - entry.counted_since;
    if (counted_for < min_count_time)
        return std::nullopt;
    // A count that has not run for long is missing a part of its sum.
    constexpr double time_constant =
        std::chrono::duration<double>(use_time_constant).count();
    auto const counted_part =
        1 - std::exp(-to_seconds(counted_for) / time_constant);
    auto const per_second =
        entry.recent_grants / (counted_part * time_constant);
    auto const use =
        per_second / (entry.limit.per_second * std::max(share, min_share));
    constexpr double thousandths = 1'000;
    return static_cast<std::uint32_t>(
        std::lround(std::min(use * thousandths, max_reported_use)));
}

quota_answer quota_coordinator::acquire(
    quota_request const& request, time_point now, double share)
{
    if (request.limit.unlimited())
        return {quota_decision::granted};
    if (last_tick_ != time_point{} && now - last_tick_ >= stall_threshold)
        tick(now, share);
    auto& entry = find_or_create(request, now, share);
    if (!reports_use_)
        return decide(entry, request, now);
    decay_grants(entry, now);
    // The request itself is left out. Otherwise a workspace that seldom sends
    // one would show a high use whenever it is asked for.
    auto const use = use_of(entry, now, share);
    auto answer = decide(entry, request, now);
    if (use && now - entry.use_reported_at >= min_report_interval)
    {
        answer.use = use;
        entry.use_reported_at = now;
    }
    if (answer.decision == quota_decision::granted)
        entry.recent_grants += 1;
    return answer;
}

quota_answer quota_coordinator::decide(
    bucket& entry, quota_request const& request, time_point now)
{
    if (entry.tokens >= 1)
    {
        entry.tokens -= 1;
        return {quota_decision::granted};
    }
    // Successive refusals get retry times one token apart, so that the retries
    // do not compete for the same token.
    auto const next =
        now + to_duration((1 - entry.tokens) / request.limit.per_second);
    entry.next_retry_at = std::max(
        entry.next_retry_at + to_duration(1 / request.limit.per_second), next);
    entry.next_retry_at =
        std::min<time_point>(entry.next_retry_at, now + max_retry_after);
    return {
        quota_decision::over_limit,
        retry_after_until(entry.next_retry_at, now)};
}

void quota_coordinator::observe(
    quota_request const& request, quota_decision decision, time_point now,
    double share)
{
    if (request.limit.unlimited())
        return;
    auto& entry = find_or_create(request, now, share);
    if (reports_use_)
        decay_grants(entry, now);
    if (decision != quota_decision::granted)
        return;
    entry.tokens = std::max(entry.tokens - 1, 0.0);
    if (reports_use_)
        entry.recent_grants += 1;
}

void quota_coordinator::tick(time_point now, double share)
{
    auto const stalled =
        last_tick_ != time_point{} && now - last_tick_ >= stall_threshold;
    last_tick_ = now;
    for (auto& [owner, entry] : buckets_)
    {
        if (stalled)
        {
            entry.refilled_at = now;
            entry.counted_since = {};
        }
        refill(entry, entry.limit, now, share);
    }
}

void quota_coordinator::retire_if(
    std::function<bool(workspace_name const&)> const& is_remote, time_point now)
{
    for (auto it = buckets_.begin(); it != buckets_.end();)
    {
        auto& entry = it->second;
        auto const unused_for = now - entry.used_at;
        if (unused_for < retire_after || !is_remote(it->first))
        {
            ++it;
            continue;
        }
        if (unused_for < bounds_.window)
        {
            entry.retired = true;
            if (unused_for >= forget_use_after)
                entry.counted_since = {};
            ++it;
            continue;
        }
        lru_.erase(entry.lru_position);
        it = buckets_.erase(it);
    }
}

void quota_coordinator::refund(workspace_name const& owner)
{
    auto const found = buckets_.find(owner);
    if (found == buckets_.end())
        return;
    auto& entry = found->second;
    entry.tokens =
        std::min(entry.tokens + 1, bucket_capacity(entry.limit, bounds_));
    entry.recent_grants = std::max(entry.recent_grants - 1, 0.0);
}

} // namespace walnutmill

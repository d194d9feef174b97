#include <walnutmill/quota.hpp>

#include <algorithm>

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
/// Upper bound of the retry-after time of a refused request.
constexpr std::chrono::milliseconds max_retry_after{5'000};

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
    refill(entry, request.limit, now, share);
    return entry;
}

quota_answer quota_coordinator::acquire(
    quota_request const& request, time_point now, double share)
{
    if (request.limit.unlimited())
        return {quota_decision::granted};
    if (last_tick_ != time_point{} && now - last_tick_ >= stall_threshold)
        tick(now, share);
    auto& entry = find_or_create(request, now, share);
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

void quota_coordinator::tick(time_point now, double share)
{
    auto const stalled =
        last_tick_ != time_point{} && now - last_tick_ >= stall_threshold;
    last_tick_ = now;
    for (auto& [owner, entry] : buckets_)
    {
        if (stalled)
            entry.refilled_at = now;
        refill(entry, entry.limit, now, share);
    }
}

void quota_coordinator::erase_if(
    std::function<bool(workspace_name const&)> const& is_remote)
{
    for (auto it = buckets_.begin(); it != buckets_.end();)
    {
        if (!is_remote(it->first))
        {
            ++it;
            continue;
        }
        lru_.erase(it->second.lru_position);
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
}

} // namespace walnutmill

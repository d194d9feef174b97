#include <walnutmill/quota.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Part of the allowed excess that one coordinator without a past may grant:
/// coordinators may change a few times within a window.
constexpr double first_part = 0.15;
/// Part of the allowed excess in requests that a full bucket grants besides.
constexpr double headroom_part = 0.5;
/// Pause between ticks from which this node has stood still.
constexpr std::chrono::seconds stood_still{1};
/// Longest time that a refused request is told to wait.
constexpr std::chrono::milliseconds longest_wait{5'000};
double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration duration_of(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

std::chrono::milliseconds wait_until(time_point then, time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::min<duration>(then - now, longest_wait));
}

} // namespace

double bucket_capacity(rate_limit const& limit, quota_bounds const& bounds)
{
    return std::max(limit.burst, 1.0) + bounds.slack * headroom_part;
}

double first_tokens(rate_limit const& limit, quota_bounds const& bounds)
{
    auto const window = limit.per_second * seconds_of(bounds.window);
    auto const excess = (window + limit.burst) * bounds.over + bounds.slack;
    return std::min(
        std::max(limit.burst, 1.0), std::max(excess * first_part, 1.0));
}

quota_coordinator::quota_coordinator(
    quota_bounds bounds, std::size_t most_buckets)
    : bounds_(bounds), most_buckets_(std::max<std::size_t>(most_buckets, 1))
{
}

void quota_coordinator::fill(
    bucket& one, rate_limit const& limit, time_point now, double share) const
{
    auto const passed = seconds_of(std::max(now - one.filled_at, duration(0)));
    one.limit = limit;
    one.tokens = std::min(
        one.tokens + passed * limit.per_second * share,
        bucket_capacity(limit, bounds_));
    one.filled_at = std::max(one.filled_at, now);
}

quota_coordinator::bucket&
quota_coordinator::find(quota_request const& one, time_point now, double share)
{
    auto found = buckets_.find(one.owner);
    if (found == buckets_.end())
    {
        if (buckets_.size() >= most_buckets_)
        {
            buckets_.erase(uses_.front());
            uses_.pop_front();
        }
        bucket fresh;
        fresh.tokens = first_tokens(one.limit, bounds_) * share;
        fresh.filled_at = now;
        fresh.use = uses_.insert(uses_.end(), one.owner);
        found = buckets_.emplace(one.owner, fresh).first;
    }
    auto& to = found->second;
    uses_.splice(uses_.end(), uses_, to.use);
    fill(to, one.limit, now, share);
    return to;
}

quota_answer
quota_coordinator::take(quota_request const& one, time_point now, double share)
{
    if (one.limit.unlimited())
        return {quota_decision::granted};
    if (ticked_at_ != time_point{} && now - ticked_at_ >= stood_still)
        tick(now, share);
    auto& of = find(one, now, share);
    if (of.tokens >= 1)
    {
        of.tokens -= 1;
        return {quota_decision::granted};
    }
    // Requests that are told to come back find room one after the other.
    auto const next = now + duration_of((1 - of.tokens) / one.limit.per_second);
    of.room_at =
        std::max(of.room_at + duration_of(1 / one.limit.per_second), next);
    of.room_at = std::min<time_point>(of.room_at, now + longest_wait);
    return {quota_decision::over_limit, wait_until(of.room_at, now)};
}

void quota_coordinator::tick(time_point now, double share)
{
    auto const stood =
        ticked_at_ != time_point{} && now - ticked_at_ >= stood_still;
    ticked_at_ = now;
    for (auto& [owner, one] : buckets_)
    {
        if (stood)
            one.filled_at = now;
        fill(one, one.limit, now, share);
    }
}

void quota_coordinator::drop_if(
    std::function<bool(workspace_name const&)> const& elsewhere)
{
    for (auto it = buckets_.begin(); it != buckets_.end();)
    {
        if (!elsewhere(it->first))
        {
            ++it;
            continue;
        }
        uses_.erase(it->second.use);
        it = buckets_.erase(it);
    }
}

void quota_coordinator::give_back(workspace_name const& owner)
{
    auto const found = buckets_.find(owner);
    if (found == buckets_.end())
        return;
    auto& one = found->second;
    one.tokens = std::min(one.tokens + 1, bucket_capacity(one.limit, bounds_));
}

} // namespace walnutmill

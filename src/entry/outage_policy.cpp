#include "entry/outage_policy.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

duration fraction_of(duration total, double fraction)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(total.count()) * fraction));
}

} // namespace

bool should_refuse_in_outage(
    outage_call const& call, outage_options const& options)
{
    return call.lost_for >= options.short_outage &&
           call.time_left >
               fraction_of(call.total_time, options.first_attempt_time_ratio);
}

std::chrono::milliseconds
outage_retry_after(outage_call const& call, outage_options const& options)
{
    auto const max_delay =
        fraction_of(call.time_left, options.max_retry_after_ratio);
    auto const min_delay =
        std::min<duration>(options.min_retry_after, max_delay);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::clamp(call.lost_for, min_delay, max_delay));
}

} // namespace walnutmill

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

outage_decision
wait_or_refuse(outage_call const& call, outage_options const& options)
{
    auto const max_wait =
        std::min(call.silence_limit - call.silent_for, call.time_left) -
        options.run_time - options.wait_margin;
    if (max_wait.count() <= 0)
        return {outage_action::refuse, duration(0), options.retry_after_wait};
    return {outage_action::wait, max_wait, std::chrono::milliseconds(0)};
}

outage_decision refusal(outage_call const& call, outage_options const& options)
{
    return {
        outage_action::refuse, duration(0), outage_retry_after(call, options)};
}

} // namespace

bool bears_store_wait(outage_call const& call, outage_options const& options)
{
    return call.silence_limit - options.run_time >= options.min_bearable_wait;
}

outage_decision
decide_in_outage(outage_call const& call, outage_options const& options)
{
    if (!bears_store_wait(call, options))
    {
        return should_refuse_in_outage(call, options) ? refusal(call, options)
                                                      : outage_decision();
    }
    return call.lost_for < options.min_outage_to_wait
               ? outage_decision()
               : wait_or_refuse(call, options);
}

outage_decision
decide_without_store(outage_call const& call, outage_options const& options)
{
    auto const waits = bears_store_wait(call, options) &&
                       (call.lost_for.count() > 0 || call.recovering);
    return waits ? wait_or_refuse(call, options) : refusal(call, options);
}

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

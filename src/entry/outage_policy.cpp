#include "entry/outage_policy.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

duration part_of(duration whole, double part)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(whole.count()) * part));
}

} // namespace

bool should_come_back(outage_call const& one, outage_options const& options)
{
    return one.lost_for >= options.short_outage &&
           one.time_left > part_of(one.whole_time, options.fresh_part);
}

std::chrono::milliseconds
come_back_in_outage(outage_call const& one, outage_options const& options)
{
    auto const most = part_of(one.time_left, options.come_back_part);
    auto const least = std::min<duration>(options.soonest, most);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::clamp(one.lost_for, least, most));
}

} // namespace walnutmill

#include "entry/exchange.hpp"

#include <algorithm>

namespace walnutmill
{

time_point exchange_watch::expiry() const
{
    auto const pause = answer_began_at_ ? limits_.pause : limits_.response;
    auto const longest = limits_.total == duration::max()
                             ? time_point::max()
                             : began_ + limits_.total;
    return std::min(last_progress_ + pause, longest);
}

} // namespace walnutmill

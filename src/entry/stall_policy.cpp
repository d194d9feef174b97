#include <walnutmill/stall_policy.hpp>

#include <algorithm>

namespace walnutmill
{

duration stall_patience(
    duration expected, bool is_turn, int stalls, stall_options const& options)
{
    // More doublings than calls are sent would only overflow.
    constexpr int most_doublings = 6;
    auto const factor = is_turn ? options.turn_factor : options.plain_factor;
    auto const beyond = duration(static_cast<duration::rep>(
        static_cast<double>(std::max(expected, duration(0)).count()) * factor));
    return (options.least + beyond) *
           (1 << std::clamp(stalls, 0, most_doublings));
}

repeat_allowance::repeat_allowance(stall_options const& options)
    : part_(options.repeated_part), most_(options.most_saved),
      saved_(options.most_saved)
{
}

void repeat_allowance::call_sent()
{
    saved_ = std::min(saved_ + part_, most_);
}

bool repeat_allowance::take()
{
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

} // namespace walnutmill

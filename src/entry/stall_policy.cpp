#include <walnutmill/stall_policy.hpp>

#include <algorithm>

namespace walnutmill
{

duration stall_timeout(
    duration expected, bool is_turn, int stalls, stall_options const& options)
{
    // Avoids overflow; no call is sent more often than this.
    constexpr int max_doublings = 6;
    auto const factor = is_turn ? options.turn_factor : options.plain_factor;
    auto const scaled = duration(static_cast<duration::rep>(
        static_cast<double>(std::max(expected, duration(0)).count()) * factor));
    return (options.min_timeout + scaled) *
           (1 << std::clamp(stalls, 0, max_doublings));
}

retry_budget::retry_budget(stall_options const& options)
    : retry_ratio_(options.retry_ratio), max_balance_(options.max_balance),
      balance_(options.max_balance)
{
}

void retry_budget::call_sent()
{
    balance_ = std::min(balance_ + retry_ratio_, max_balance_);
}

bool retry_budget::try_spend()
{
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

} // namespace walnutmill

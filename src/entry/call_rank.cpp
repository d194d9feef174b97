#include "entry/call_rank.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Ranks in the engines' queues. Calls without a rank get 5.
constexpr std::uint32_t on_time_rank = 3;
constexpr std::uint32_t late_rank = 7;
/// Maximum amount by which a route's rank raises that of its calls.
constexpr std::uint32_t max_route_rank = 2;

/// Output tokens assumed for a turn without a hint. It is the mean of two
/// customers' programs. A third one has a mean of 34, but its routes set a
/// lower maximum.
constexpr std::uint32_t default_output_tokens = 260;

} // namespace

std::uint32_t queue_rank(call const& one, route const& to, duration waited)
{
    auto const route_rank =
        std::min(one.owner_rank.value_or(to.rank), max_route_rank);
    if (one.program.finish_in && *one.program.finish_in <= waited)
        return late_rank + std::min(route_rank, 1U);
    return on_time_rank + route_rank;
}

std::uint32_t expected_output_tokens(call const& one)
{
    if (one.hinted_output_tokens > 0)
        return std::min(
            one.hinted_output_tokens,
            std::max(one.max_output_tokens, one.hinted_output_tokens));
    if (one.max_output_tokens > 0)
        return std::min(one.max_output_tokens, default_output_tokens);
    return default_output_tokens;
}

} // namespace walnutmill

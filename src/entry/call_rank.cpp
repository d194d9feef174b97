#include "entry/call_rank.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Ranks in the engines' queues; 5 is what calls without a rank get.
constexpr std::uint32_t rank_in_time = 3;
constexpr std::uint32_t rank_late = 7;
/// A route's own rank shifts a call's by this much at most.
constexpr std::uint32_t route_ranks = 2;

/// Length of a turn where nothing is said of it: the mean of two customers'
/// programs (34 at a third one, whose routes state a lower most).
constexpr std::uint32_t usual_output = 260;

} // namespace

std::uint32_t rank_of(call const& one, route const& to, duration waited)
{
    auto const by_route =
        std::min(one.owner_rank.value_or(to.rank), route_ranks);
    if (one.program.finish_in && *one.program.finish_in <= waited)
        return rank_late + std::min(by_route, 1U);
    return rank_in_time + by_route;
}

std::uint32_t expected_output(call const& one)
{
    if (one.hinted_output_tokens > 0)
        return std::min(
            one.hinted_output_tokens,
            std::max(one.max_output_tokens, one.hinted_output_tokens));
    if (one.max_output_tokens > 0)
        return std::min(one.max_output_tokens, usual_output);
    return usual_output;
}

} // namespace walnutmill

#include "entry/admission_control.hpp"

#include <algorithm>
#include <chrono>

namespace walnutmill
{

namespace
{

/// A rank counts as active for this long after its last turn, several times the
/// duration of a program's pauses and tool calls.
constexpr std::chrono::seconds active_rank_window{5};

} // namespace

double refusal_probability(
    std::optional<double> load_per_slot, std::uint32_t rank, bool has_priority,
    admission_control_options const& options)
{
    if (!load_per_slot)
        return 0;
    auto const rank_offset =
        options.rank_load_offset *
        static_cast<double>(std::min(rank, options.max_rank));
    auto const priority_offset =
        has_priority ? options.priority_load_offset : 0.0;
    auto const excess = *load_per_slot + rank_offset - priority_offset -
                        options.refusal_start_load;
    return std::clamp(
        excess / (options.full_refusal_load - options.refusal_start_load), 0.0,
        1.0);
}

void active_ranks::record_turn(std::uint32_t rank, time_point now)
{
    last_seen_[std::min<std::size_t>(rank, ranks - 1)] = now;
}

bool active_ranks::has_less_urgent_rank(
    std::uint32_t rank, time_point now) const
{
    for (auto other = static_cast<std::size_t>(rank) + 1; other < ranks;
         ++other)
    {
        auto const last_seen = last_seen_[other];
        if (last_seen != time_point{} && now - last_seen < active_rank_window)
            return true;
    }
    return false;
}

bool may_run_speculatively(
    std::optional<double> load_per_slot,
    admission_control_options const& options)
{
    return load_per_slot && *load_per_slot < options.speculative_load_limit;
}

} // namespace walnutmill

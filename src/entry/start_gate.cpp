#include "entry/start_gate.hpp"

#include <algorithm>

namespace walnutmill
{

double refusal_chance(
    std::optional<double> pressure, std::uint32_t rank,
    gate_options const& options)
{
    if (!pressure)
        return 0;
    auto const earlier =
        options.rank_step * static_cast<double>(std::min(rank, options.ranks));
    auto const above = *pressure + earlier - options.from;
    return std::clamp(above / (options.all_at - options.from), 0.0, 1.0);
}

bool may_run_in_vain(
    std::optional<double> pressure, gate_options const& options)
{
    return pressure && *pressure < options.in_vain_below;
}

} // namespace walnutmill

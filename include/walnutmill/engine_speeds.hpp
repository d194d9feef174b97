#ifndef WALNUTMILL_ENGINE_SPEEDS_HPP
#define WALNUTMILL_ENGINE_SPEEDS_HPP

/// \file
/// Speeds of engines, as exchanged between nodes.

#include <cstdint>

namespace walnutmill
{

/// Decaying sums over the calls that an engine answered.
struct speed_sample
{
    /// Short key of the engine.
    std::uint32_t engine = 0;
    /// Sum of the ratios of measured to predicted duration, in hundredths.
    std::uint32_t ratio_hundredths = 0;
    /// Number of calls, in hundredths.
    std::uint32_t calls_hundredths = 0;
};

/// How long work takes on an engine's machine, as the engine reported it.
struct machine_figure
{
    /// Short key of the engine.
    std::uint32_t engine = 0;
    /// Duration of work in percent of the usual.
    std::uint32_t percent = 100;
    std::uint32_t age_ms = 0;
};

} // namespace walnutmill

#endif

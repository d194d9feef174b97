#ifndef WALNUTMILL_SRC_ENTRY_ENGINE_ROSTER_HPP
#define WALNUTMILL_SRC_ENTRY_ENGINE_ROSTER_HPP

/// \file
/// The engines that a node considers registered, from reads of the engine table
/// by the node itself or by another node.
///
/// Load pattern: entries expire while the store is unavailable although their
/// engines are alive, and late heartbeats of a former incarnation overwrite
/// newer ones. Without this component such engines would be treated as gone,
/// or as their former incarnation.

#include <walnutmill/clock.hpp>
#include <walnutmill/routing_table.hpp>

#include "entry/line_log.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// Merges successive reads of the engine table and logs the changes.
class engine_roster
{
public:
    explicit engine_roster(line_log& log) : log_(log) {}

    /// Merges a read of the table.
    /// \param as_of version of the store at which the table was read
    /// \param read_at time of the read, later than that of the previous one
    /// \return the engines now considered registered
    std::vector<engine_entry> take_in(
        std::vector<engine_entry> const& read, std::uint64_t as_of,
        time_point read_at);

    /// Records a read that found the table unchanged.
    void confirm(time_point read_at);

    /// \return true while engines without an entry are retained.
    bool retains_missing() const { return retains_missing_; }

private:
    using engines_by_id = std::unordered_map<target_name, engine_entry>;

    void merge_entry(engine_entry const& read, engines_by_id& to);
    void retain_missing(engines_by_id& to);
    void log_engine(std::string_view event, engine_entry const& one) const;

    line_log& log_;
    engines_by_id engines_;
    /// Version of the store at the last read.
    std::uint64_t as_of_ = 0;
    time_point read_at_{};
    /// Before this time a missing entry does not mean that its engine is gone.
    time_point trust_missing_from_{};
    bool retains_missing_ = false;
};

} // namespace walnutmill

#endif

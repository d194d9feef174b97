#ifndef WALNUTMILL_SRC_ENTRY_ENGINE_ROSTER_HPP
#define WALNUTMILL_SRC_ENTRY_ENGINE_ROSTER_HPP

/// \file
/// The engines that a node takes to be registered, from readings of their
/// table by itself or by another node.
///
/// Load pattern: entries lapse while the store is away although their engines
/// live, and late heartbeats of a former incarnation overwrite newer ones.

#include <walnutmill/clock.hpp>
#include <walnutmill/routing_table.hpp>

#include "entry/line_log.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

class engine_roster
{
public:
    explicit engine_roster(line_log& log) : log_(log) {}

    /// Takes in a reading.
    /// \param as_of the store's version that the table was read at
    /// \param read_at when it was read, later than that of the last one
    /// \return the engines from now on
    std::vector<engine_entry> take_in(
        std::vector<engine_entry> const& read, std::uint64_t as_of,
        time_point read_at);

    /// The table was read and found as it was.
    void confirm(time_point read_at);

    /// \return true while engines without an entry are kept.
    bool keeps_absent() const { return keeps_absent_; }

private:
    using engines_by_id = std::unordered_map<target_name, engine_entry>;

    void take_in_one(engine_entry const& read, engines_by_id& to);
    void keep_absent(engines_by_id& to);
    void log_engine(std::string_view event, engine_entry const& one) const;

    line_log& log_;
    engines_by_id engines_;
    /// The store's version of the last reading.
    std::uint64_t as_of_ = 0;
    time_point read_at_{};
    /// Until then a missing entry does not mean that its engine is gone.
    time_point trust_absence_at_{};
    bool keeps_absent_ = false;
};

} // namespace walnutmill

#endif

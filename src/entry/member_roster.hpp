#ifndef WALNUTMILL_SRC_ENTRY_MEMBER_ROSTER_HPP
#define WALNUTMILL_SRC_ENTRY_MEMBER_ROSTER_HPP

/// \file
/// Determines which nodes are alive from the rows that they renew in the store.

#include <walnutmill/clock.hpp>
#include <walnutmill/versioned_store.hpp>

#include "entry/cluster_section.hpp"
#include "entry/line_log.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

std::string encode(entry_member const& one);

class member_roster
{
public:
    explicit member_roster(line_log& log) : log_(log) {}

    /// \param rows in the order of their keys
    /// \return members whose rows were renewed recently, in the same order
    std::vector<entry_member>
    live_members(std::vector<stored_row> const& rows, time_point now);

private:
    struct known_row
    {
        std::uint64_t version = 0;
        time_point changed_at{};
    };

    void log_missing_strength(entry_member const& one) const;

    line_log& log_;
    std::unordered_map<std::string, known_row> rows_;
};

} // namespace walnutmill

#endif

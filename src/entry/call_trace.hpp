#ifndef WALNUTMILL_SRC_ENTRY_CALL_TRACE_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_TRACE_HPP

/// \file
/// Builds the timeline of a call or program from the log lines of nodes.

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace walnutmill
{

/// Collects log lines and selects those that concern one ID.
class call_trace
{
public:
    /// \param id ID of a request or program
    explicit call_trace(std::string id);

    /// Reads log lines of one or more nodes. Skips text before a line's JSON
    /// object and lines without one.
    void read(std::istream& lines);

    /// \return the timeline as one text per event, sorted by time; empty if no
    /// line contains the ID.
    std::vector<std::string> format_lines() const;

private:
    struct event
    {
        std::int64_t time_ms = 0;
        nlohmann::json line;
    };

    bool concerns(nlohmann::json const& line) const;
    std::vector<event> related_events() const;

    std::string id_;
    std::vector<event> events_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_EVENT_STREAM_HPP
#define WALNUTMILL_SRC_ENTRY_EVENT_STREAM_HPP

/// \file
/// Splits a stream of server-sent events into complete events.

#include "entry/byte_limits.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// One complete event.
struct server_sent_event
{
    /// As received, with the blank line that ends it.
    std::string text;
    /// Its id field; empty if absent or not a number.
    std::optional<std::uint64_t> id;
    /// Its data lines, joined by line feeds.
    std::string data;
    /// It has a data line, which may be empty.
    bool has_data = false;
};

/// Buffers received bytes until an event is complete. Each byte is searched
/// once, however the bytes are divided.
class event_splitter
{
public:
    explicit event_splitter(std::size_t max_bytes = max_event_bytes)
        : max_bytes_(max_bytes)
    {
    }

    /// \return the events completed by these bytes, up to one that is too long
    std::vector<server_sent_event> feed(std::string_view bytes);

    /// \return true while an event is incomplete.
    bool partial() const { return too_long_ || !buffer_.empty(); }
    /// \return true once an event has exceeded the limit. Its bytes and all
    /// later ones are dropped.
    bool too_long() const { return too_long_; }
    /// \return true if the incomplete event has data and, as far as known, an
    /// id above this one
    bool receives_event_after(std::optional<std::uint64_t> last) const;
    /// \return the number of bytes held
    std::size_t buffered_bytes() const { return buffer_.size(); }
    /// \return the number of bytes searched for the ends of lines so far
    std::uint64_t searched_bytes() const { return searched_bytes_; }

private:
    void end_line(std::size_t end, std::vector<server_sent_event>& events);

    std::size_t max_bytes_;
    std::string buffer_;
    /// Positions in the buffer: of the incomplete event, of its last line and
    /// of the bytes that have not been searched.
    std::size_t event_begin_ = 0;
    std::size_t line_begin_ = 0;
    std::size_t search_from_ = 0;
    /// What the complete lines of the incomplete event hold.
    bool has_data_ = false;
    std::optional<std::uint64_t> id_;
    bool too_long_ = false;
    std::uint64_t searched_bytes_ = 0;
};

} // namespace walnutmill

#endif

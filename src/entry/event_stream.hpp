#ifndef WALNUTMILL_SRC_ENTRY_EVENT_STREAM_HPP
#define WALNUTMILL_SRC_ENTRY_EVENT_STREAM_HPP

/// \file
/// Splits a stream of server-sent events into complete events.

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
};

/// Buffers received bytes until an event is complete.
class event_splitter
{
public:
    /// \return the events completed by these bytes.
    std::vector<server_sent_event> feed(std::string_view bytes);

    /// \return true while an incomplete event is buffered.
    bool partial() const { return !buffer_.empty(); }

private:
    std::string buffer_;
};

} // namespace walnutmill

#endif

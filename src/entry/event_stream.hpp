#ifndef WALNUTMILL_SRC_ENTRY_EVENT_STREAM_HPP
#define WALNUTMILL_SRC_ENTRY_EVENT_STREAM_HPP

/// \file
/// Cuts a stream of server-sent events into whole events.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// One whole event.
struct stream_event
{
    /// As received, with the blank line that ends it.
    std::string text;
    std::optional<std::uint64_t> id;
    /// Its data lines, joined by line feeds.
    std::string data;
};

class event_cutter
{
public:
    /// \return the events that these bytes complete.
    std::vector<stream_event> feed(std::string_view bytes);

    /// \return true while part of an event waits for its rest.
    bool partial() const { return !buffer_.empty(); }

private:
    std::string buffer_;
};

} // namespace walnutmill

#endif

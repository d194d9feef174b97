#ifndef WALNUTMILL_SRC_ENTRY_LINE_LOG_HPP
#define WALNUTMILL_SRC_ENTRY_LINE_LOG_HPP

/// \file
/// Non-blocking log of JSON lines on standard output. Lines wait in a bounded
/// buffer. Lines that do not fit or exceed the rate limit are dropped, counted
/// and reported by a log.dropped line.
///
/// Load: a slow or stuck log reader, and bursts of events. Without the bounds,
/// a write to a full pipe would block all calls of the node, or the buffer
/// would grow without limit.

#include <walnutmill/clock.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace walnutmill
{

/// Important lines report failures and state changes. They have buffer space
/// and a rate limit of their own, so that routine lines cannot displace them.
enum class log_priority
{
    routine,
    important
};

/// Bounds on buffer size and line rate.
struct log_limits
{
    /// Buffer size in bytes: a few seconds of the lines of a busy node.
    std::size_t buffer_bytes = 262'144;
    /// Routine lines per second: twice the load of the busiest node, which
    /// serves 17 turns and 40 tool calls per second.
    std::uint32_t routine_per_s = 120;
    /// Important lines per second.
    std::uint32_t important_per_s = 400;
};

class line_log
{
public:
    /// Writes bytes without blocking. \return the number of bytes written.
    using sink_fn = std::function<std::size_t(std::string_view)>;

    line_log(std::string node, clock_fn clock, sink_fn sink, log_limits limits);

    /// Adds a line with time, node, event name and fields. Drops and counts it
    /// if a bound is exceeded.
    void write(
        log_priority priority, std::string_view event,
        nlohmann::json const& fields);

    /// Passes buffered lines to the sink; to be called a few times per second.
    void flush();

    /// \return the number of lines dropped so far.
    std::uint64_t dropped() const { return dropped_; }

private:
    bool within_rate_limit(log_priority priority);
    void report_dropped();

    std::string node_;
    clock_fn clock_;
    sink_fn sink_;
    log_limits limits_;
    std::string buffer_;
    time_point second_start_{};
    std::uint32_t routine_this_second_ = 0;
    std::uint32_t important_this_second_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0;
};

/// \return a sink that writes to a descriptor as much as it accepts without
/// blocking.
line_log::sink_fn descriptor_sink(int descriptor);

} // namespace walnutmill

#endif

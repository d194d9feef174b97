#include "entry/line_log.hpp"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace walnutmill
{
namespace
{

/// PIPE_BUF on Linux, in bytes: a writable pipe accepts a write of this size
/// without blocking (POSIX).
constexpr std::size_t atomic_pipe_write_bytes = 4'096;

std::int64_t utc_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
        .count();
}

} // namespace

line_log::line_log(
    std::string node, clock_fn clock, sink_fn sink, log_limits limits)
    : node_(std::move(node)), clock_(std::move(clock)), sink_(std::move(sink)),
      limits_(limits)
{
}

bool line_log::within_rate_limit(log_priority priority)
{
    auto const now = clock_();
    if (now - second_start_ >= std::chrono::seconds(1))
    {
        second_start_ = now;
        routine_this_second_ = 0;
        important_this_second_ = 0;
    }
    auto& used = priority == log_priority::routine ? routine_this_second_
                                                   : important_this_second_;
    auto const limit = priority == log_priority::routine
                           ? limits_.routine_per_s
                           : limits_.important_per_s;
    return used++ < limit;
}

void line_log::write(
    log_priority priority, std::string_view event, nlohmann::json const& fields)
{
    // The last quarter of the buffer is reserved for important lines.
    auto const capacity = priority == log_priority::routine
                              ? limits_.buffer_bytes / 4 * 3
                              : limits_.buffer_bytes;
    if (!within_rate_limit(priority) || buffer_.size() >= capacity)
    {
        ++dropped_;
        return;
    }
    report_dropped();
    nlohmann::ordered_json line;
    line["time_ms"] = utc_ms();
    line["node"] = node_;
    line["event"] = event;
    for (auto const& [key, value] : fields.items())
        line[key] = value;
    // Fields may hold bytes from callers that are not UTF-8. They are replaced,
    // so that the line stays valid JSON.
    buffer_ += line.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    buffer_ += '\n';
}

void line_log::report_dropped()
{
    if (dropped_ == dropped_reported_)
        return;
    nlohmann::ordered_json line;
    line["time_ms"] = utc_ms();
    line["node"] = node_;
    line["event"] = "log.dropped";
    line["lines"] = dropped_ - dropped_reported_;
    dropped_reported_ = dropped_;
    buffer_ += line.dump();
    buffer_ += '\n';
}

void line_log::flush()
{
    std::size_t flushed = 0;
    while (flushed < buffer_.size())
    {
        auto const accepted = sink_(std::string_view(buffer_).substr(flushed));
        if (accepted == 0)
            break;
        flushed += accepted;
    }
    buffer_.erase(0, flushed);
}

line_log::sink_fn descriptor_sink(int descriptor)
{
    return [descriptor](std::string_view bytes) -> std::size_t
    {
        pollfd ready{descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            return 0;
        auto const written = ::write(
            descriptor, bytes.data(),
            std::min(bytes.size(), atomic_pipe_write_bytes));
        // A closed reader must not terminate the process. Lines then fill the
        // buffer, and further ones are dropped and counted.
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    };
}

} // namespace walnutmill

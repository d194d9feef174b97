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

/// A pipe that is ready takes at least this much without blocking (POSIX).
constexpr std::size_t pipe_atom = 4'096;

std::int64_t utc_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
        .count();
}

} // namespace

line_log::line_log(
    std::string node, clock_fn clock, sink_fn sink, line_budget budget)
    : node_(std::move(node)), clock_(std::move(clock)), sink_(std::move(sink)),
      budget_(budget)
{
}

bool line_log::within_budget(line_weight weight)
{
    auto const now = clock_();
    if (now - second_began_ >= std::chrono::seconds(1))
    {
        second_began_ = now;
        routine_now_ = 0;
        important_now_ = 0;
    }
    auto& used = weight == line_weight::routine ? routine_now_ : important_now_;
    auto const most = weight == line_weight::routine ? budget_.routine_per_s
                                                     : budget_.important_per_s;
    return used++ < most;
}

void line_log::write(
    line_weight weight, std::string_view event, nlohmann::json const& fields)
{
    // The last quarter of the buffer is for lines that tell of trouble.
    auto const room = weight == line_weight::routine
                          ? budget_.buffer_bytes / 4 * 3
                          : budget_.buffer_bytes;
    if (!within_budget(weight) || buffer_.size() >= room)
    {
        ++dropped_;
        return;
    }
    say_dropped();
    nlohmann::ordered_json line;
    line["time_ms"] = utc_ms();
    line["node"] = node_;
    line["event"] = event;
    for (auto const& [key, value] : fields.items())
        line[key] = value;
    // Bytes that are not UTF-8 come from callers; a line must stay readable.
    buffer_ += line.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    buffer_ += '\n';
}

void line_log::say_dropped()
{
    if (dropped_ == dropped_said_)
        return;
    nlohmann::ordered_json line;
    line["time_ms"] = utc_ms();
    line["node"] = node_;
    line["event"] = "log.dropped";
    line["lines"] = dropped_ - dropped_said_;
    dropped_said_ = dropped_;
    buffer_ += line.dump();
    buffer_ += '\n';
}

void line_log::flush()
{
    std::size_t taken = 0;
    while (taken < buffer_.size())
    {
        auto const some = sink_(std::string_view(buffer_).substr(taken));
        if (some == 0)
            break;
        taken += some;
    }
    buffer_.erase(0, taken);
}

line_log::sink_fn descriptor_sink(int descriptor)
{
    return [descriptor](std::string_view bytes) -> std::size_t
    {
        pollfd ready{descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
            return 0;
        auto const written = ::write(
            descriptor, bytes.data(), std::min(bytes.size(), pipe_atom));
        // A closed reader must not end the process: lines then pile up, are
        // dropped and counted.
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    };
}

} // namespace walnutmill

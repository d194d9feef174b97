#ifndef WALNUTMILL_SRC_ENTRY_LINE_LOG_HPP
#define WALNUTMILL_SRC_ENTRY_LINE_LOG_HPP

/// \file
/// JSON lines on standard output that never block: lines wait in a bounded
/// buffer, and what does not fit, or comes faster than the budget, is counted
/// and said.

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

/// Lines that tell of trouble are kept before lines that tell of success.
enum class line_weight
{
    routine,
    important
};

struct line_budget
{
    /// Bytes waiting for a reader; a few seconds of a busy node's lines.
    std::size_t buffer_bytes = 262'144;
    /// Routine lines a second: twice what the busiest node of today's sites
    /// writes (17 turns and 40 tool calls a second).
    std::uint32_t routine_per_s = 120;
    /// Important lines a second.
    std::uint32_t important_per_s = 400;
};

class line_log
{
public:
    /// Takes bytes of the buffer; \return how many it took, without waiting.
    using sink_fn = std::function<std::size_t(std::string_view)>;

    line_log(
        std::string node, clock_fn clock, sink_fn sink, line_budget budget);

    /// Adds a line with time, node, the event's name and the fields.
    void write(
        line_weight weight, std::string_view event,
        nlohmann::json const& fields);

    /// Hands what waits to the sink; call it a few times a second.
    void flush();

    std::uint64_t dropped() const { return dropped_; }

private:
    bool within_budget(line_weight weight);
    void say_dropped();

    std::string node_;
    clock_fn clock_;
    sink_fn sink_;
    line_budget budget_;
    std::string buffer_;
    time_point second_began_{};
    std::uint32_t routine_now_ = 0;
    std::uint32_t important_now_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_said_ = 0;
};

/// \return a sink that writes to a descriptor only what it takes at once.
line_log::sink_fn descriptor_sink(int descriptor);

} // namespace walnutmill

#endif

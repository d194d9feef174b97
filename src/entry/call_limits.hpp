#ifndef WALNUTMILL_SRC_ENTRY_CALL_LIMITS_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_LIMITS_HPP

/// \file
/// Time limits and HTTP statuses shared by the parts of class call_flow.

#include <walnutmill/clock.hpp>
#include <walnutmill/routing_table.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace walnutmill
{

/// Upper bound for all calls, and the deadline where neither the caller nor
/// the route sets one.
constexpr std::chrono::milliseconds default_deadline{30'000};

/// \return the longest time that a call on the route may take
inline std::chrono::milliseconds max_call_time(route const& one)
{
    return one.timeout.count() > 0 ? std::min(one.timeout, default_deadline)
                                   : default_deadline;
}

/// The answer is sent this long before the caller's deadline, so that it
/// arrives in time. The network path to a caller takes 1 to 3 ms, and the event
/// loop of a slow node up to about 20 ms.
constexpr std::chrono::milliseconds deadline_margin{30};
/// Minimum retry delay after a refusal, and the range of the jitter added to
/// it. The calls of an engine end within half a second.
constexpr std::chrono::milliseconds min_retry_after_refusal{120};
constexpr std::chrono::milliseconds retry_after_spread{250};

/// Maximum number of times that one call is sent to engines, including those
/// that refuse it, are unreachable or break off. If one in ten engines is
/// unhealthy, six attempts all fail once in a million calls.
constexpr int max_sends = 6;

/// Lowest HTTP status of a server error.
constexpr int status_server_error = 500;

/// \return the time in whole milliseconds, for log lines
inline std::int64_t ms_count(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace walnutmill

#endif

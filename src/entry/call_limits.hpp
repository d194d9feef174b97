#ifndef WALNUTMILL_SRC_ENTRY_CALL_LIMITS_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_LIMITS_HPP

/// \file
/// Times and statuses that the parts of a call's life share.

#include <walnutmill/clock.hpp>

#include <chrono>
#include <cstdint>

namespace walnutmill
{

/// The answer is sent this long before the caller's own deadline, so that it
/// still arrives: the way to a caller takes 1 to 3 ms, a slow node's loop up
/// to some 20.
constexpr std::chrono::milliseconds deadline_margin{30};
/// Returns after a refusal are spread over this much from its start: an
/// engine's calls end within half a second.
constexpr std::chrono::milliseconds come_back_soon{120};
constexpr std::chrono::milliseconds come_back_spread{250};

/// Times that one call is sent: to engines that refuse it, can't be reached,
/// or break off. Six draws miss a sound engine once in a million where one in
/// ten is not.
constexpr int most_sends = 6;

/// First status that tells of a failure at the server.
constexpr int status_server_error = 500;

/// \return whole milliseconds, for log lines.
inline std::int64_t ms_count(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace walnutmill

#endif

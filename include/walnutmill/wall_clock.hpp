#ifndef WALNUTMILL_WALL_CLOCK_HPP
#define WALNUTMILL_WALL_CLOCK_HPP

/// \file
/// Time of day, which all nodes share roughly. It only ever decides how old
/// something is by minutes, never what is true.

#include <chrono>
#include <cstdint>
#include <functional>

namespace walnutmill
{

/// Tells the seconds since 1970 in UTC.
using utc_fn = std::function<std::int64_t()>;

/// \return the machine's time of day.
inline utc_fn system_utc()
{
    return []
    {
        using namespace std::chrono;
        return static_cast<std::int64_t>(
            duration_cast<seconds>(system_clock::now().time_since_epoch())
                .count());
    };
}

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_CLOCK_HPP
#define WALNUTMILL_CLOCK_HPP

/// \file
/// Time is passed in: modules take a time_point or a clock, tests hold a
/// manual_clock.

#include <atomic>
#include <chrono>
#include <functional>

namespace walnutmill
{

using duration = std::chrono::microseconds;
/// Monotonic time of one process; never compared between machines.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Tells the time.
using clock_fn = std::function<time_point()>;

/// \return the clock of the machine.
inline clock_fn monotonic_clock()
{
    return []
    {
        return std::chrono::time_point_cast<duration>(
            std::chrono::steady_clock::now());
    };
}

/// A clock that stands still until it is advanced.
class manual_clock
{
public:
    time_point now() const { return time_point(duration(now_.load())); }
    void advance(duration by) { now_ += by.count(); }
    /// \return a clock_fn reading this clock, which must outlive it.
    clock_fn fn() const
    {
        return [this] { return now(); };
    }

private:
    // Starts above zero: a zero time_point often means "never".
    std::atomic<duration::rep> now_{1'000'000};
};

} // namespace walnutmill

#endif

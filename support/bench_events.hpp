#ifndef WALNUTMILL_BENCH_EVENTS_HPP
#define WALNUTMILL_BENCH_EVENTS_HPP

/// \file
/// The simulated clock of the benchmarks: a queue of events in time order.
/// Events at the same time run in the order they were added, so that a run is
/// a function of its seed alone.

#include <walnutmill/clock.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace walnutmill::bench
{

/// \return the seconds as a duration.
inline duration seconds(double value)
{
    return duration(static_cast<duration::rep>(value * 1e6));
}

/// \return the duration in seconds.
inline double to_seconds(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

class event_queue
{
public:
    using action = std::function<void()>;

    time_point now() const { return now_; }
    /// Adds an event; one in the past runs next.
    void at(time_point when, action what)
    {
        pending_.push({std::max(when, now_), ++added_, std::move(what)});
    }
    void after(duration delay, action what)
    {
        at(now_ + delay, std::move(what));
    }
    /// Runs all events up to `end` and sets the clock to it.
    void run_until(time_point end)
    {
        while (!pending_.empty() && pending_.top().when <= end)
        {
            auto next = pending_.top();
            pending_.pop();
            now_ = next.when;
            next.what();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number = 0;
        action what;

        friend bool operator<(event const& a, event const& b)
        {
            if (a.when != b.when)
                return a.when > b.when;
            return a.number > b.number;
        }
    };

    // Starts above zero: a zero time_point often means "never".
    time_point now_{seconds(1)};
    std::uint64_t added_ = 0;
    std::priority_queue<event> pending_;
};

} // namespace walnutmill::bench

#endif

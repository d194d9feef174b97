#ifndef WALNUTMILL_SRC_ENTRY_RECENT_IDLE_TIMEOUTS_HPP
#define WALNUTMILL_SRC_ENTRY_RECENT_IDLE_TIMEOUTS_HPP

/// \file
/// Idle timeouts of callers' connections that were in force until recently.
/// Callers learn of a change later than the node and go by the former one until
/// then.

#include <walnutmill/clock.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace walnutmill
{

class recent_idle_timeouts
{
public:
    /// Adds a timeout that is in force no longer.
    void add(std::chrono::milliseconds timeout, time_point now)
    {
        former_.erase(
            std::remove_if(
                former_.begin(), former_.end(),
                [&](former_timeout const& one)
                { return !is_recent(one, now) || one.timeout <= timeout; }),
            former_.end());
        former_.push_back({timeout, now});
    }

    /// \return the longest timeout that was in force within the last minute.
    std::chrono::milliseconds
    longest(std::chrono::milliseconds current, time_point now) const
    {
        auto longest = current;
        for (auto const& one : former_)
        {
            if (is_recent(one, now))
                longest = std::max(longest, one.timeout);
        }
        return longest;
    }

private:
    struct former_timeout
    {
        std::chrono::milliseconds timeout;
        time_point replaced_at;
    };

    static bool is_recent(former_timeout const& one, time_point now)
    {
        return now - one.replaced_at <= std::chrono::minutes(1);
    }

    std::vector<former_timeout> former_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_OUTAGE_POLICY_HPP
#define WALNUTMILL_SRC_ENTRY_OUTAGE_POLICY_HPP

/// \file
/// What becomes of turns that can't end while the store is away.
///
/// Load pattern: the store is silent for 4 to 9 seconds, and turns that have
/// to be kept can't end before it is back. A caller leaves a stream that says
/// nothing for some 2 s, and sends a turn that failed again twice; one that is
/// refused comes back once, after a third of its time at most. Run at once and
/// held, each of the three sends bridges 2.1 s, 6.8 s in all; refused at once,
/// 1.3 s, 4.5 s in all. Refused first and run when it comes back, each bridges
/// 3.4 s, so that a program that is under way outlasts an outage of 10 s.

#include <walnutmill/clock.hpp>

#include <chrono>

namespace walnutmill
{

struct outage_options
{
    /// An outage this short is bridged by holding what has run. Those that
    /// last longer are seconds long.
    duration short_outage = std::chrono::seconds(1);
    /// A call with more than this part of the usual time left has not been
    /// refused before: one that was has two thirds.
    double fresh_part = 0.85;
    /// Callers come back after this part of their time at most.
    double come_back_part = 1.0 / 3;
    /// Refused calls come back no sooner, their spread of 250 ms included: a
    /// tool call that used up its one or two repetitions ends its program, so
    /// a try within half a second is worth nothing in an outage of seconds.
    std::chrono::milliseconds soonest{800};
};

/// One call that needs the store to end.
struct outage_call
{
    /// How long the store has answered nobody; zero: it answers.
    duration lost_for{0};
    duration time_left{0};
    /// The time that callers of the route come with.
    duration whole_time{0};
};

/// \return true where the call should be refused with a time to come back
/// rather than be run.
bool should_come_back(
    outage_call const& one, outage_options const& options = {});

/// \return when a call that is refused should come back: an outage is likely
/// to last as long again as it has.
std::chrono::milliseconds
come_back_in_outage(outage_call const& one, outage_options const& options = {});

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_OUTAGE_POLICY_HPP
#define WALNUTMILL_SRC_ENTRY_OUTAGE_POLICY_HPP

/// \file
/// Decides whether turns that cannot complete during a store outage are refused
/// with a retry delay or run.
///
/// Load pattern: the store does not respond for 4 to 9 seconds, and turns whose
/// results must be stored cannot complete until it returns. A caller abandons a
/// stream that stays silent for about 2 s, and sends a failed turn up to two
/// more times. A refused caller retries once, after at most a third of its
/// time. If turns run immediately and their results are held, each of the three
/// sends covers 2.1 s, 6.8 s in total. If they are refused immediately, each
/// covers 1.3 s, 4.5 s in total. If they are refused first and run on the
/// retry, each covers 3.4 s, so that an active program survives an outage of
/// 10 s.

#include <walnutmill/clock.hpp>

#include <chrono>

namespace walnutmill
{

struct outage_options
{
    /// Shorter outages are covered by holding the results of turns that ran.
    /// Outages longer than this last for seconds.
    duration short_outage = std::chrono::seconds(1);
    /// A call with more than this fraction of its total time left has not been
    /// refused before. A call that has been refused has two thirds left.
    double first_attempt_time_ratio = 0.85;
    /// Upper bound of the retry delay, as a fraction of the time left.
    double max_retry_after_ratio = 1.0 / 3;
    /// Lower bound of the retry delay, including the jitter of 250 ms. A tool
    /// call that uses up its one or two retries ends its program, so a retry
    /// within half a second is of no use in an outage of seconds.
    std::chrono::milliseconds min_retry_after{800};
};

/// A call that needs the store to complete.
struct outage_call
{
    /// How long the store has not responded to any request; zero if it
    /// responds.
    duration lost_for{0};
    /// Time until the deadline of the call.
    duration time_left{0};
    /// Time that callers of the route allow for a call.
    duration total_time{0};
};

/// \return true if the call should be refused with a retry delay rather than
/// run.
bool should_refuse_in_outage(
    outage_call const& call, outage_options const& options = {});

/// \return the retry delay of a refused call. An outage is assumed to last as
/// long again as it already has.
std::chrono::milliseconds
outage_retry_after(outage_call const& call, outage_options const& options = {});

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_ADMISSION_CONTROL_HPP
#define WALNUTMILL_SRC_ENTRY_ADMISSION_CONTROL_HPP

/// \file
/// Admission control: decides whether new programs may start while the engines
/// are full.
///
/// Load pattern: for some seconds, programs arrive at twice the rate that the
/// engines can carry. Without admission control all of them start, every turn
/// waits, and almost no program finishes within its target time (1.4 to 1.7
/// times its time on idle engines), even long after the burst. With it, running
/// programs keep their speed, and refused ones are told immediately when to
/// retry. A program that has started is never refused because of load.
///
/// The engines order their queues by rank, so less urgent calls wait first
/// while there are any. Applying the same load threshold to urgent programs
/// refuses calls that would have overtaken the queue. Over two bursts on 352
/// slots, 1,637 of 1,960 urgent programs finished within their target time with
/// the same threshold and 1,792 of 1,930 with a higher one, while the result
/// of the other programs was no worse (64 nodes, one run each).

#include <walnutmill/clock.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace walnutmill
{

struct admission_control_options
{
    /// Load per slot, in calls, above which some new programs are refused, and
    /// from which all are. A full batch generates 1.3 times slower than a
    /// single call, and interleaved prefills of other calls raise this to about
    /// 1.45. A wait for a slot in addition makes a program miss its target
    /// time.
    double refusal_start_load = 1.0;
    double full_refusal_load = 1.3;
    /// Reduction of both thresholds for each rank of a less urgent route.
    double rank_load_offset = 0.03;
    /// Increase of both thresholds for programs that overtake less urgent ones.
    /// At least half of the turns are less urgent, so at a load of 1.6 calls
    /// per slot the urgent ones alone leave slots free. Above that they wait
    /// for each other.
    double priority_load_offset = 0.6;
    /// Higher ranks are treated as this one.
    std::uint32_t max_rank = 2;
    /// Load per slot below which a speculative turn may run, that is, one that
    /// may not be able to commit its result. Such a turn runs at most three
    /// times, 2 s apart, so the 0.3 of the slots left free carry those of an
    /// outage.
    double speculative_load_limit = 0.7;
};

/// \param load_per_slot calls per slot over all nodes; empty if unknown, in
/// which case no program is refused
/// \param rank of the route; 0 is the most urgent
/// \param has_priority true if less urgent programs are active
/// \return probability, 0 to 1, with which a new program is refused
double refusal_probability(
    std::optional<double> load_per_slot, std::uint32_t rank,
    bool has_priority = false, admission_control_options const& options = {});

/// Tracks the ranks whose programs are active, as observed by this node.
class active_ranks
{
public:
    /// Records that a turn of a program with this rank arrived.
    void record_turn(std::uint32_t rank, time_point now);
    /// \return true if a less urgent rank was recorded recently.
    bool has_less_urgent_rank(std::uint32_t rank, time_point now) const;

private:
    /// Routes have ranks 0 to 9; higher ranks count as the last one.
    static constexpr std::size_t ranks = 10;

    std::array<time_point, ranks> last_seen_{};
};

/// Load pattern: the store is unavailable for some seconds, and turns whose
/// results must be stored cannot complete until it returns. A program whose
/// turns are refused immediately survives about 3.5 s through its retries. If
/// the turns run and the end of the answer is held until the store returns, it
/// survives about 7 s, at the cost of speculative turns that are lost. Four
/// runs of a day with a store outage of 7 s reach a worth of 0.55 to 0.58 this
/// way, and 0.50 to 0.55 with refusals (13 nodes, 14 engines, load per slot
/// 0.3, without the load limit).
/// \return true if such a turn may start; false if the load is unknown
bool may_run_speculatively(
    std::optional<double> load_per_slot,
    admission_control_options const& options = {});

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_ADMISSION_HPP
#define WALNUTMILL_ADMISSION_HPP

/// \file
/// Whether a new program may start.
///
/// Load patterns: overload that lasts, a burst, the return storm after an
/// outage. Without it every program is taken, all wait, and most of the work
/// goes into programs that end too late to be of use.
///
/// Only new programs are refused: one under way has spent work that would be
/// lost. The limit on programs under way follows from Little's law. With N
/// programs, X calls started a second and a mean wait W, X * W calls wait at
/// a time; N - X * W programs would keep the slots just as busy with nobody
/// waiting. The limit is that and an allowance of waiting calls (Kleinrock
/// 1979). No model of engines or programs is needed.
///
/// Only the calls of young programs count: the queue serves them first, so
/// others wait whenever the slots are full, which full hardware is to be.
/// When the young wait, even short programs do not get through.
///
/// Engines that hold more histories than their caches take prefill them again
/// and again, and then programs slow one another without any call waiting. So
/// the part of the histories that was missing when needed lowers the limit
/// too: as in a paging system, the fault rate tells the working sets that fit
/// (Denning 1968; Chu, Opderbeck 1976).
///
/// A refusal carries the time to come back: refused programs are lined up
/// behind one another at the rate at which places become free, so their
/// returns are spread however many they are.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/random.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace walnutmill
{

/// The load of one node over the interval since the previous snapshot.
struct load_snapshot
{
    /// Calls waiting at this node now, and those of young programs.
    std::uint32_t queued_calls = 0;
    std::uint32_t young_queued_calls = 0;
    /// Calls of this node that targets hold now, running or waiting there.
    std::uint32_t running_calls = 0;
    /// Slots that this node may count on: those in service, divided by the
    /// nodes that share them.
    double slots = 0.0;
    /// Calls of young programs (see fair_queue) started per second, and their
    /// mean wait before a target began with them, at this node and at the
    /// target as far as it can be told.
    double call_rate = 0.0;
    duration mean_wait{0};
    /// Part of the tokens of histories that had to be prefilled again,
    /// because they were no longer cached: 0 to 1.
    double missing_history = 0.0;
    /// Programs that ended per second.
    double program_end_rate = 0.0;
    /// How long the oldest waiting call has waited.
    duration oldest_wait{0};
};

/// A program that asks to start.
struct admission_request
{
    workspace_name workspace;
    double workspace_weight = 1.0;
};

enum class admission_reason
{
    /// There is room.
    room,
    /// The node is full; the workspace is below its share and may come up
    /// to it.
    below_share,
    /// The limit that follows from the measured wait is reached.
    limit_reached,
    /// Places are few and the workspace has more than its share of them.
    above_share,
    /// limits_config::max_programs_per_node is reached.
    node_full,
    /// limits_config::max_queued_calls is reached.
    queue_full
};
std::string_view to_string(admission_reason reason);

struct admission_decision
{
    bool admitted = false;
    admission_reason reason = admission_reason::room;
    /// When to come back; zero when admitted.
    std::chrono::milliseconds retry_after{0};
    /// What it was decided on.
    double limit = 0.0;
    std::uint32_t programs = 0;
};

struct admission_options
{
    /// Waiting calls of young programs from which workspaces above their
    /// share are refused. With a quarter of a node's slots the worst workspace
    /// of the hot-caller load got 0.67 of its share (one seed), with one call
    /// 0.92 (ten seeds).
    double calm_waiting = 1.0;
    /// The same per slot, from which every new program is refused. With one,
    /// 0.84 of the oracle's programs finished in time at 1.5 times the load
    /// (one seed), with two 0.91 (ten seeds). The price: long programs then
    /// wait for long, and 0.31 of the engines' time goes to some that end too
    /// late. A quarter by the wait of all calls, with open_load and home_load
    /// of placement at one, makes that 0.12, and finishes half the programs.
    double waiting_per_slot = 2.0;
    /// Programs always allowed per slot: a program without pauses keeps one
    /// slot busy, so with fewer than that slots fall idle.
    double least_per_slot = 1.0;
    /// Part of the histories that may be missing without consequence: some
    /// always are, after pauses too long to hold a cache for.
    double missing_allowed = 0.05;
    /// Largest growth of the limit per second of observation, so that a
    /// quiet moment does not open the door to a burst that then waits.
    double growth_per_second = 0.5;
    /// Time constant of the smoothed wait.
    duration smoothing = std::chrono::seconds(2);
    /// A workspace that asked within this time counts for the shares.
    duration active_for = std::chrono::seconds(30);
    /// Bounds of the time to come back. The least is what a program turn
    /// takes; the greatest keeps a recovered system from standing idle.
    std::chrono::milliseconds least_retry_after{1'000};
    std::chrono::milliseconds greatest_retry_after{60'000};
    /// How long a program takes, to tell how soon places become free where
    /// none has ended yet.
    duration usual_program_time = std::chrono::seconds(60);
    std::uint32_t max_programs = 20'000;
    std::uint32_t max_queued_calls = 4'096;
};

/// Admission of one node. Not thread-safe.
class admission
{
public:
    explicit admission(admission_options options = {});

    /// Takes in a new snapshot; call every 100 ms to 1 s.
    void observe(load_snapshot const& load, time_point now);

    /// Decides on a new program and counts it as started when admitted.
    admission_decision decide(
        admission_request const& request, time_point now,
        random_fn const& random);

    /// Counts a program that was taken over from another node.
    void on_adopted(workspace_name const& workspace, double weight);
    /// Counts a program's end.
    void on_ended(workspace_name const& workspace);

    /// \return programs that may be under way at a time.
    double limit() const noexcept { return limit_; }
    std::uint32_t programs() const noexcept { return programs_; }

private:
    struct workspace_state
    {
        double weight = 1.0;
        std::uint32_t programs = 0;
        bool active = false;
        time_point last_asked;
        /// When the last refused program was told to come back.
        time_point line_end;
    };

    void update_limits(duration elapsed);
    workspace_state& touch(workspace_name const& name, double weight);
    void forget_idle(time_point now);
    double share_of(workspace_state const& workspace) const;
    double free_rate(workspace_state const& workspace) const;
    admission_decision judge(workspace_state const& workspace) const;
    std::chrono::milliseconds next_return(
        workspace_state& workspace, time_point now, random_fn const& random);

    admission_options options_;
    load_snapshot load_;
    double waiting_ = 0.0;
    double missing_ = 0.0;
    double end_rate_ = 0.0;
    double limit_ = 0.0;
    double calm_limit_ = 0.0;
    bool observed_ = false;
    time_point observed_at_;
    std::uint32_t programs_ = 0;
    double active_weight_ = 0.0;
    std::unordered_map<workspace_name, workspace_state> workspaces_;
};

} // namespace walnutmill

#endif

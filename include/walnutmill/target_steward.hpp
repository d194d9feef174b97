#ifndef WALNUTMILL_TARGET_STEWARD_HPP
#define WALNUTMILL_TARGET_STEWARD_HPP

/// \file
/// The executor of one target: says what to do next and takes in what became
/// of it. A state machine without network or threads. The owner of the shard
/// of the target's name is its steward; the shard's epoch is its authority.

#include <walnutmill/platform.hpp>
#include <walnutmill/target_plan.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace walnutmill
{

/// Orders of one epoch that have distinct fencing numbers.
constexpr std::uint64_t fences_per_epoch = 1u << 20;

/// \return the fencing number of an order: above all those of earlier epochs,
/// and above earlier orders of the same steward, so that a target that checks
/// it also refuses the late duplicate of an order already overtaken.
std::uint64_t fence_of(epoch_number epoch, std::uint64_t sequence);

struct steward_limits
{
    /// From the moment an order was decided until no copy of it can arrive
    /// any more: send_window plus the HTTP timeout and the network's worst.
    duration longest_order = std::chrono::seconds(10);
    /// Longest time from a decision to its send; a longer gap means that this
    /// process stood still, and the decision is dropped.
    duration send_window = std::chrono::seconds(1);
    /// How old a read may be when a decision rests on it.
    duration read_age = std::chrono::milliseconds(500);
    /// Pause between reads of a target that has not settled.
    duration poll = std::chrono::milliseconds(500);
    /// The same for one that has.
    duration settled_poll = std::chrono::seconds(2);
};

struct target_order
{
    std::string id;
    target_name target;
    std::uint64_t fence = 0;
    order_content content;
};

/// What a steward commits for nodes and operators: the row target/<name>.
struct target_report
{
    target_name target;
    target_condition state = target_condition::unknown;
    std::string reason;
    epoch_number epoch = 0;
    /// The policy_since that the state belongs to.
    std::uint64_t policy_since = 0;
};

/// \return whether a node may send new work. A report made for an earlier
/// policy says nothing: the target may have been stopped between.
bool may_receive_work(target_config const& config, target_report const& report);

/// Read the target's state.
struct read_action
{
};

/// Commit the report and the order's intent, those that there are, on the
/// condition that this steward's epoch is current.
struct commit_action
{
    std::optional<target_report> report;
    std::optional<target_order> intent;
};

/// Send the order, after asking may_send().
struct send_action
{
    target_order order;
};

/// Take one of the shared slots for reading weights.
struct take_slot_action
{
};

struct give_slot_action
{
};

/// Drop the cache that the target holds.
struct release_action
{
};

/// Come back at that time, or when something changed.
struct pause_action
{
    time_point until;
};

/// Another steward has taken over: do nothing more.
struct retire_action
{
};

using steward_action = std::variant<
    read_action, commit_action, send_action, take_slot_action, give_slot_action,
    release_action, pause_action, retire_action>;

enum class send_outcome
{
    /// The target confirmed it.
    accepted,
    /// It certainly was not sent, or the target declined to try.
    not_run,
    /// It may have reached the target or may do so yet.
    unknown,
    /// The target has seen a higher fencing number.
    fenced
};

/// What operators ask, with the version that says so.
struct steward_input
{
    desired_target desired;
    std::uint64_t version = 0;
    /// Highest version that every live node has in force.
    std::uint64_t accepted_version = 0;
};

class target_steward
{
public:
    target_steward(
        target_name target, epoch_number epoch, steward_limits limits,
        time_point now);

    /// \return the next thing to do.
    steward_action next(steward_input const& input, time_point now);

    /// What became of the action that next() gave.
    void on_read(observed_target observed, time_point now);
    void on_commit(commit_status status, time_point now);
    void on_sent(send_outcome outcome, time_point now);
    void on_slot(bool taken, time_point now);
    void on_slot_given();
    void on_released(time_point now);

    /// Last check before an order goes out. A decision that has become too
    /// old is dropped, and next() decides anew.
    bool may_send(time_point now);

    bool retired() const noexcept { return retired_; }
    /// The last plan's state and reason, for operators.
    target_step const& last_step() const noexcept { return step_; }

private:
    struct pending_order
    {
        target_order order;
        time_point decided;
        bool committed = false;
    };

    void note_input(steward_input const& input);
    bool may_order(time_point now) const;
    steward_action act_on_step(time_point now);
    steward_action act_on_order(order_step const& wanted, time_point now);
    steward_action decide(
        order_content content, std::optional<target_report> report,
        time_point now);
    /// \return the commit of the state reached; nullopt when it is known.
    std::optional<steward_action> publish();
    steward_action wait_out(time_point now);
    steward_action pause(duration longest, time_point now) const;
    target_report report() const;
    bool is_published(target_report const& report) const;

    target_name target_;
    epoch_number epoch_;
    steward_limits limits_;
    std::uint64_t sequence_ = 0;
    bool retired_ = false;
    /// The target has refused all orders older than the desired state.
    bool claimed_ = false;
    /// Copies of earlier orders may arrive until then.
    time_point quiet_at_;
    time_point quiet_before_send_;
    std::optional<desired_target> desired_;
    /// Version that brought the desired state.
    std::uint64_t desired_since_ = 0;
    bool in_force_ = false;
    observed_target observed_;
    std::optional<time_point> read_at_;
    std::optional<time_point> idle_since_;
    std::optional<time_point> retry_at_;
    std::optional<pending_order> pending_;
    std::optional<target_report> proposed_;
    std::optional<target_report> published_;
    std::optional<order_content> last_content_;
    time_point last_sent_;
    bool has_slot_ = false;
    target_step step_;
};

} // namespace walnutmill

#endif

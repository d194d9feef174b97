#ifndef WALNUTMILL_RETRY_HPP
#define WALNUTMILL_RETRY_HPP

/// \file
/// Whether a failed call is sent again, and a slow one to a second target.
///
/// Load patterns: a failing target, all targets failing, a slow target.
/// Without it every failure is repeated several times just when targets can
/// bear it least, and the load stays up after the fault has gone.
///
/// A call is sent again only if it certainly did not run or may be repeated,
/// and if its program (sub-agents counting for the root), the target that
/// failed and the node all have budget. Budget is earned by first attempts that
/// succeed, so with all targets failing the added load tends to nothing. Delays
/// are drawn from the whole backoff interval (full jitter; Brooker 2015).

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/result.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace walnutmill
{

enum class retry_reason
{
    /// It certainly did not run.
    did_not_run,
    /// It may have run and may be repeated.
    repeatable,
    /// It is slower than nearly all; sent to a second target.
    slow,
    /// Not sent: it may have run and may not be repeated.
    not_repeatable,
    /// Not sent: the refusal would be the same, for example bad_request.
    permanent,
    attempts_exhausted,
    program_budget_exhausted,
    target_budget_exhausted,
    /// Not sent: so many calls of this node fail that it is not one target.
    node_budget_exhausted,
    hedge_budget_exhausted,
    /// Not sent: it could not end before its deadline.
    deadline,
    /// Not hedged: not slow yet, or no target has room to spare.
    not_slow,
    no_spare_room
};
std::string_view to_string(retry_reason reason);

/// A call that failed.
struct failed_attempt
{
    program_id root;
    target_name target;
    errc code = errc::target_failed;
    certainty ran = certainty::outcome_unknown;
    bool repeatable = false;
    /// Attempts made, the failed one included.
    std::uint32_t attempts = 1;
    time_point deadline = time_point::max();
    /// How long an attempt takes as a rule.
    duration expected{0};
    /// When the target asked to come back; zero when it did not.
    duration retry_after{0};
};

/// A call that has had no answer so far.
struct slow_attempt
{
    program_id root;
    bool repeatable = false;
    time_point sent;
    time_point deadline = time_point::max();
    /// Time to the first token that 95 of 100 calls do not exceed.
    duration usual{0};
    /// Whether another target has room that no waiting call needs.
    bool spare_room = false;
};

struct retry_decision
{
    bool send = false;
    retry_reason reason = retry_reason::permanent;
    /// How long to wait before sending.
    duration delay{0};
};

struct retry_options
{
    /// Sends of one call, the first included.
    std::uint32_t max_attempts = 3;
    /// Part of a retry that each success earns. 0.1 bounds the added load at
    /// a tenth of the first attempts.
    double earned = 0.1;
    /// Balance to start with and the greatest one, of a program. A program
    /// has up to some 76 turns: it starts with the retries of 20 of them.
    double program_start = 2.0;
    double program_most = 5.0;
    /// The same of a target. The greatest covers the calls that one node has
    /// under way there at today's size (16 slots, 13 nodes) twice over.
    double target_start = 1.0;
    double target_most = 3.0;
    /// The same of the node over all targets. The targets' balances add up
    /// over many targets, so that alone they would allow a wave of retries
    /// when all fail at once. A node has some 25 programs under way at
    /// today's size with four calls a minute each: eight is under a tenth of
    /// the calls of the first minute.
    double node_start = 2.0;
    double node_most = 8.0;
    /// Part of a hedge that each success earns, and the greatest balance.
    double hedge_earned = 0.05;
    double hedge_most = 5.0;
    duration first_backoff = std::chrono::milliseconds(50);
    duration greatest_backoff = std::chrono::seconds(5);
};

/// Retry and hedge budgets of one node. Not thread-safe.
class retry_policy
{
public:
    explicit retry_policy(retry_options options = {});

    /// A first attempt succeeded at the target.
    void on_success(program_id const& root, target_name const& target);
    /// Decides on a failed call and takes the budget when it is sent again.
    retry_decision on_failure(
        failed_attempt const& attempt, time_point now, random_fn const& random);
    /// Decides on a second copy of a call that is slow.
    retry_decision hedge(slow_attempt const& attempt, time_point now);

    /// Forgets a program that ended or a target that was removed.
    void forget(program_id const& root);
    void forget(target_name const& target);

    /// \return retries that the budget allows; the start for unknown ones.
    double balance(program_id const& root) const;
    double balance(target_name const& target) const;

private:
    duration
    backoff(failed_attempt const& attempt, random_fn const& random) const;
    double& program_balance(program_id const& root);
    double& target_balance(target_name const& target);

    retry_options options_;
    std::unordered_map<program_id, double> programs_;
    std::unordered_map<target_name, double> targets_;
    double node_;
    double hedges_ = 0.0;
};

} // namespace walnutmill

#endif

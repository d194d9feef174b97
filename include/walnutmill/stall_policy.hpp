#ifndef WALNUTMILL_STALL_POLICY_HPP
#define WALNUTMILL_STALL_POLICY_HPP

/// \file
/// Decides how long an engine may be silent before a call counts as stalled,
/// and how many stalled calls a node retries.
///
/// Load pattern: an engine accepts calls and never answers some of them, or
/// stops in the middle of a stream, while its connections stay open and its
/// load looks normal; or connections fall silent without a reset. Without stall
/// detection each such call is held until its deadline (3 s on the sites'
/// routes) or until its caller disconnects, the fault of the engine stays
/// undetected, and every program that is sent there loses a turn.
///
/// A repeatable call is aborted at the stalled engine and retried at another
/// one, or at the same one if no other is allowed. A call that is not
/// repeatable keeps waiting; the stall only lowers the engine's health.

#include <walnutmill/clock.hpp>

#include <chrono>

namespace walnutmill
{

struct stall_options
{
    /// Lower bound of the stall timeout. It is fifteen times the usual time
    /// between two events (22 tokens at 1.2 to 1.6 ms each), and longer than
    /// the retransmission of a lost packet takes (200 ms).
    std::chrono::milliseconds min_timeout{400};
    /// Silence tolerated in addition, as a multiple of the expected time. In 99
    /// of 100 turns the first event arrives within four times its estimate
    /// while no engine has a queue. Plain calls vary more: with three customers
    /// the longest take four to eight times the mean.
    double turn_factor = 4;
    double plain_factor = 8;
    /// Retries of stalled calls as a fraction of all calls, and the upper bound
    /// of retries that can accumulate. If most calls stall, the engines are
    /// overloaded or down, and retries only add load.
    double retry_ratio = 0.1;
    double max_balance = 10;
};

/// \param expected time until the engine's next bytes, as estimated when the
/// call was sent
/// \param is_turn true for a call to a model engine
/// \param stalls previous stalls of the same call. Each one doubles the
/// timeout, so that a call that needs long can complete.
/// \return silence after which the call counts as stalled
duration stall_timeout(
    duration expected, bool is_turn, int stalls, stall_options const& options);

/// Limits retries of stalled calls to a fraction of all calls.
class retry_budget
{
public:
    explicit retry_budget(stall_options const& options = {});

    /// Records the first attempt of a call.
    void call_sent();
    /// Spends one retry.
    /// \return false if the budget is used up and the call should keep waiting.
    bool try_spend();

private:
    double retry_ratio_;
    double max_balance_;
    double balance_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_BUDGET_GUARD_HPP
#define WALNUTMILL_BUDGET_GUARD_HPP

/// \file
/// Limits on what one program may do, so that a fault in it ends early.
///
/// Load pattern: programs that loop without end. Without it such a program
/// spends its whole budget, and its slots are missing to others.
///
/// A loop is a call repeated with the same answer: a poll whose answer
/// changes is progress, one whose answer stays is not. Calls and answers are
/// compared by hash over a window of the last ones, which finds cycles of
/// several calls too.

#include <walnutmill/configuration.hpp>
#include <walnutmill/ids.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace walnutmill
{

enum class guard_reason
{
    allowed,
    /// The same call got the same answer too often.
    repeated_call,
    too_many_turns,
    too_deep,
    too_many_sub_agents,
    /// The tool's own limit is reached.
    too_many_tool_calls
};
std::string_view to_string(guard_reason reason);

struct guard_verdict
{
    guard_reason reason = guard_reason::allowed;
    /// What was counted and its limit.
    std::uint32_t count = 0;
    std::uint32_t limit = 0;
    bool allowed() const noexcept { return reason == guard_reason::allowed; }
};

/// Calls of one service that one program may make.
struct tool_limit
{
    service_name service;
    std::uint32_t max_calls = 0;
};

struct guard_options
{
    std::uint32_t max_turns = 128;
    std::uint32_t max_depth = 4;
    std::uint32_t max_sub_agents = 64;
    std::vector<tool_limit> tools;
    /// Calls remembered. With the figure below, cycles of up to four calls
    /// are found.
    std::uint32_t window = 32;
    /// Same call, same answer: this often within the window is a loop. A
    /// program that retries a tool on its own does so three to five times.
    std::uint32_t max_repeats = 8;
};

/// \return the options that follow from the configuration's limits.
guard_options guard_options_from(limits_config const& limits);

/// The guard of one program or sub-agent. Not thread-safe.
class budget_guard
{
public:
    /// \param options shared by all programs; must outlive the guard
    /// \param depth zero for a root program
    explicit budget_guard(
        guard_options const& options, std::uint32_t depth = 0);

    /// Whether the next call may be made. Counts nothing.
    guard_verdict
    check_call(service_name const& service, std::uint64_t body_hash) const;
    /// Whether the program may have one more sub-agent.
    /// \param sub_agents those of the root's whole tree so far
    guard_verdict check_sub_agent(std::uint32_t sub_agents) const;
    /// Counts a call that got an answer; also when replaying a journal.
    void on_answer(
        service_name const& service, std::uint64_t body_hash,
        std::uint64_t answer_hash);

private:
    struct answered_call
    {
        std::uint64_t body_hash;
        std::uint64_t answer_hash;
    };

    std::uint32_t repeats_of(std::uint64_t body_hash) const;

    guard_options const* options_;
    std::uint32_t depth_;
    std::uint32_t turns_ = 0;
    boost::circular_buffer<answered_call> recent_;
    std::vector<tool_limit> tool_calls_;
};

} // namespace walnutmill

#endif

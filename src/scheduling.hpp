#ifndef WALNUTMILL_SRC_SCHEDULING_HPP
#define WALNUTMILL_SRC_SCHEDULING_HPP

/// \file
/// The decisions that a program owner leaves to hooks: whom to admit, who is
/// next, where to send, how long to keep cache, when to try again.

#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/result.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace walnutmill
{

/// Names a call under way at this owner.
using call_handle = std::uint64_t;

/// A call that waits for a target.
struct waiting_call
{
    call_handle call = 0;
    service_name service;
    workspace_name workspace;
    program_id root;
    /// Estimated units of work.
    std::uint64_t work = 0;
    time_point enqueued;
    time_point deadline;
};

struct placement_query
{
    program_id program;
    service_name service;
    std::uint64_t prompt_tokens = 0;
    /// Targets that hold the program's cache.
    std::vector<target_name> holding;
    /// Targets that this call has failed at.
    std::vector<target_name> avoid;
};

struct placement_choice
{
    target_name target;
    /// For the audit trail.
    std::string reason;
};

/// A target's part in a call has ended.
struct target_report
{
    target_name target;
    service_name service;
    bool failed = false;
    duration took{0};
    std::uint64_t tokens = 0;
};

struct retention_query
{
    program_id program;
    service_name service;
    std::string next_tool;
    std::uint64_t cached_tokens = 0;
};

struct retry_query
{
    program_id root;
    target_name target;
    bool repeatable = false;
    certainty ran = certainty::outcome_unknown;
    /// Attempts made so far, at least 1.
    std::uint32_t attempts = 1;
    time_point now;
    time_point deadline;
    std::chrono::milliseconds retry_after{0};
};

/// All hooks are called on the owner's thread and must not block.
struct scheduling_hooks
{
    /// \return why a new root program is refused; nothing when admitted.
    std::function<std::optional<refusal>(workspace_name const&, time_point)>
        admit;
    std::function<void(waiting_call const&)> enqueue;
    std::function<void(call_handle)> remove;
    /// Offers waiting calls to `dispatch`, the next in turn first, until it
    /// declines. `dispatch` returns false where no target has room.
    std::function<void(
        time_point, std::function<bool(call_handle)> const& dispatch)>
        offer;
    std::function<void(
        workspace_name const&, program_id const& root, std::uint64_t work)>
        charge;
    /// A root program ended; `finished` unless it was dropped.
    std::function<void(program_id const& root, bool finished, time_point)>
        forget;
    std::function<std::optional<placement_choice>(
        placement_query const&, time_point)>
        place;
    std::function<void(target_name const&, time_point)> sent;
    std::function<void(target_report const&, time_point)> ended;
    std::function<std::chrono::milliseconds(retention_query const&)> hold_for;
    /// The pause that a program made between two calls.
    std::function<void(std::string const& tool, duration pause)> paused;
    /// \return the wait before the next attempt; nothing: give up.
    std::function<std::optional<duration>(retry_query const&)> retry;
};

/// First in, first out; targets in turn; three attempts: the plainest policy,
/// for tests of everything else.
/// \param config read anew at each decision
scheduling_hooks
plain_scheduling(std::function<std::shared_ptr<configuration const>()> config);

} // namespace walnutmill

#endif

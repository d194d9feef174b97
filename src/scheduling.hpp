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
/// Names a send to a target until its end is reported.
using send_ticket = std::uint64_t;

/// A new root program that asks to start.
struct admission_query
{
    program_id root;
    workspace_name workspace;
};

/// A call that waits for a target.
struct waiting_call
{
    call_handle call = 0;
    service_name service;
    workspace_name workspace;
    program_id root;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    time_point enqueued;
    time_point deadline;
};

struct placement_query
{
    program_id program;
    service_name service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_tokens = 0;
    bool repeatable = true;
    /// How long it has waited for a target.
    duration waited{0};
    /// Targets that hold the program's cache.
    std::vector<target_name> holding;
    /// Targets that this call has failed at.
    std::vector<target_name> avoid;
};

struct placement_choice
{
    target_name target;
    /// For `explain`.
    std::string reason;
};

enum class send_end
{
    done,
    failed,
    /// Taken back; says nothing of the target.
    canceled
};

/// A target's part in a call has ended.
struct send_report
{
    send_ticket ticket = 0;
    send_end end = send_end::done;
    duration took{0};
    std::uint32_t tokens = 0;
};

struct retention_query
{
    program_id program;
    service_name service;
    target_name target;
    std::string next_tool;
    std::uint64_t cached_tokens = 0;
};

struct retry_query
{
    program_id root;
    target_name target;
    errc code = errc::target_failed;
    bool repeatable = false;
    certainty ran = certainty::outcome_unknown;
    /// Attempts made so far, at least 1.
    std::uint32_t attempts = 1;
    time_point deadline;
    std::chrono::milliseconds retry_after{0};
};

/// All hooks are called on the owner's thread and must not block.
struct scheduling_hooks
{
    /// \return why a new root program is refused; nothing when admitted.
    std::function<std::optional<refusal>(admission_query const&, time_point)>
        admit;
    /// A program came from another node.
    std::function<void(admission_query const&)> adopted;
    /// A root program ended or left this node.
    std::function<void(program_id const& root, time_point)> forget;
    std::function<void(waiting_call const&)> enqueue;
    std::function<void(service_name const&, call_handle)> remove;
    /// Offers waiting calls to `dispatch`, the next in turn first. `dispatch`
    /// returns false where no target has room.
    std::function<void(
        time_point, std::function<bool(call_handle)> const& dispatch)>
        offer;
    std::function<std::optional<placement_choice>(
        placement_query const&, time_point)>
        place;
    /// A call goes to the target; its end must be reported.
    std::function<send_ticket(
        placement_query const&, target_name const&, time_point)>
        sent;
    std::function<void(send_ticket, time_point)> first_token;
    std::function<void(send_report const&, time_point)> ended;
    std::function<std::chrono::milliseconds(retention_query const&)> hold_for;
    /// The pause that a program made between two calls.
    std::function<void(std::string const& tool, duration pause)> paused;
    /// \return the wait before the next attempt; nothing: give up.
    std::function<std::optional<duration>(retry_query const&, time_point)>
        retry;
};

/// First in, first out; targets in turn; three attempts: the plainest policy,
/// for tests of everything else.
/// \param config read anew at each decision
scheduling_hooks
plain_scheduling(std::function<std::shared_ptr<configuration const>()> config);

} // namespace walnutmill

#endif

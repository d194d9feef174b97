#ifndef WALNUTMILL_RECORD_HPP
#define WALNUTMILL_RECORD_HPP

/// \file
/// What the journal keeps of programs. A program's state is the fold of its
/// records; see docs/DESIGN.md.

#include <walnutmill/ids.hpp>
#include <walnutmill/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace walnutmill
{

/// A program came into being. Sub-agents name their parent and root.
struct program_created
{
    program_id program;
    program_id parent;
    program_id root;
    workspace_name workspace;
    /// Units of the root's budget; zero for a sub-agent.
    std::uint64_t budget = 0;
    request_id request;
};

/// A part of the budget was set aside; unsettled, it counts as spent.
struct slice_drawn
{
    program_id root;
    std::uint64_t units = 0;
};

/// Unused units went back to the budget; only with nothing in flight.
struct slice_returned
{
    program_id root;
    std::uint64_t units = 0;
};

/// An operator set a root's budget; what is drawn stays drawn.
struct budget_changed
{
    program_id root;
    std::uint64_t units = 0;
};

/// A call that may not be repeated is about to be sent; with an empty target
/// it was not sent after all and is taken back.
struct call_intent
{
    program_id program;
    std::uint32_t number = 0;
    request_id request;
    std::uint64_t body_hash = 0;
    target_name target;
    std::uint64_t reserved = 0;
};

/// The final outcome of a call; only then is its answer released.
struct call_outcome
{
    program_id program;
    std::uint32_t number = 0;
    request_id request;
    std::uint64_t body_hash = 0;
    service_name service;
    target_name target;
    std::string input;
    /// The whole answer; empty when refused.
    std::string output;
    /// Set when the call ended in a refusal.
    bool refused = false;
    errc code = errc::internal;
    certainty ran = certainty::ran;
    std::uint64_t cost = 0;
    /// Belongs to the model's conversation.
    bool in_history = false;
};

/// Engine memory is held for a program at a target.
struct hold_taken
{
    program_id program;
    target_name target;
};

/// The target confirmed that it holds nothing more for the program.
struct hold_released
{
    program_id program;
    target_name target;
};

enum class end_reason
{
    finished,
    canceled,
    exhausted,
    abandoned
};

struct program_ended
{
    program_id program;
    end_reason reason = end_reason::finished;
};

using record_body = std::variant<
    program_created, slice_drawn, slice_returned, budget_changed, call_intent,
    call_outcome, hold_taken, hold_released, program_ended>;

/// A record with the shard it belongs to and the epoch of that ownership.
struct journal_record
{
    shard_number shard = 0;
    epoch_number epoch = 0;
    record_body body;
};

/// \return the records as CBOR.
std::string encode_records(std::vector<journal_record> const& records);
/// \return the records, or errc::internal where the bytes are not a batch.
/// Unknown fields are skipped; an unknown kind is an error.
result<std::vector<journal_record>> decode_records(std::string_view bytes);

} // namespace walnutmill

#endif

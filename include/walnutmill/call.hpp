#ifndef WALNUTMILL_CALL_HPP
#define WALNUTMILL_CALL_HPP

/// \file
/// A caller's request and an engine's answer as the entry nodes handle them.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace walnutmill
{

using header_field = std::pair<std::string, std::string>;
using header_fields = std::vector<header_field>;

/// A part of a prompt that other requests may share.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a call says of the program that it belongs to.
struct program_fields
{
    program_id program;
    /// The line of turns.
    std::string line;
    /// Time left until the whole program should be finished, on arrival.
    std::optional<std::chrono::milliseconds> finish_in;
    /// Tokens that all its turns may generate together.
    std::optional<std::uint64_t> token_budget;
    /// The request that this turn goes on from; empty at a chain's start.
    request_id previous_turn;
};

/// One attempt of a caller, without its body.
struct call
{
    request_id id;
    std::string method;
    /// Path and query, as sent.
    std::string target;
    std::string host;
    /// How long the caller will wait; empty when it did not say.
    std::optional<std::chrono::milliseconds> deadline;
    /// The caller resumes a stream after this event.
    std::optional<std::uint64_t> resume_after;
    /// The caller's attempt that received the first event of the stream that
    /// this one resumes; empty where the caller did not name it.
    request_id resumes;
    std::uint32_t prompt_tokens = 0;
    /// Most tokens that the turn may generate.
    std::uint32_t max_output_tokens = 0;
    std::uint32_t hinted_output_tokens = 0;
    std::vector<prompt_part> prompt;
    /// Object that the call concerns; engines may be warm for it.
    std::string subject;
    program_fields program;
    /// The caller's key; empty where none came.
    std::optional<key_digest> key;
    /// Whose call it is, as told to the engine; empty: nobody's.
    workspace_name owner;
    /// The owner's rank, which goes before the route's.
    std::optional<std::uint32_t> owner_rank;
    /// Headers that go to the engine unchanged.
    header_fields passed;
};

/// Requests at one engine, as it told.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Duration of work on the engine's machine at that moment, in percent of
    /// the usual (1 to 10,000); empty where the engine tells none.
    std::optional<std::uint32_t> machine_percent{};
};

/// The head of an engine's answer.
struct engine_answer
{
    int status = 0;
    std::string reason;
    /// The engine says that it did not run the request and never will.
    bool not_run = false;
    /// Empty where the engine did not say.
    request_id id;
    std::optional<engine_load> load;
    /// Bears an engine's signature.
    bool signed_by_engine = false;
    /// Idle time after which the engine ends the connection; empty: not said.
    std::optional<std::chrono::seconds> idle_timeout;
    /// Headers that go to the caller unchanged.
    header_fields passed;
};

} // namespace walnutmill

#endif

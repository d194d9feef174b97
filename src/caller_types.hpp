#ifndef WALNUTMILL_SRC_CALLER_TYPES_HPP
#define WALNUTMILL_SRC_CALLER_TYPES_HPP

/// \file
/// Requests of callers and their answers as typed values, with the JSON form
/// that HTTP bodies and the CBOR frames between nodes share (docs/API.md).

#include <walnutmill/ids.hpp>
#include <walnutmill/record.hpp>
#include <walnutmill/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace walnutmill
{

/// Creates a program, or a sub-agent when a parent is named.
struct create_request
{
    program_id program;
    program_id parent;
    workspace_name workspace;
    std::uint64_t budget = 0;
    request_id request;
};

/// Call number `number` of a program.
struct call_request
{
    program_id program;
    workspace_name workspace;
    std::uint32_t number = 0;
    request_id request;
    service_name service;
    std::string input;
    std::uint32_t max_tokens = 0;
    /// The service's default when not set.
    std::optional<bool> repeatable;
    bool stream = false;
    std::chrono::milliseconds deadline{0};
    /// The tool that the program will use next, if it knows.
    std::string next_tool;
};

/// The answer of an earlier call, from event `after` + 1 on when streamed.
struct fetch_request
{
    program_id program;
    workspace_name workspace;
    request_id request;
    /// Id of the last event the caller saw; zero: none.
    std::uint64_t after = 0;
    bool stream = false;
};

struct end_request
{
    program_id program;
    workspace_name workspace;
    end_reason reason = end_reason::finished;
};

/// An operator's change of a root's budget.
struct budget_request
{
    program_id program;
    workspace_name workspace;
    std::uint64_t units = 0;
};

struct view_request
{
    program_id program;
    workspace_name workspace;
};

using caller_request = std::variant<
    create_request, call_request, fetch_request, end_request, view_request,
    budget_request>;

struct call_answer
{
    program_id program;
    std::uint32_t number = 0;
    request_id request;
    std::string output;
    std::uint64_t cost = 0;
    target_name target;
};

struct program_view
{
    program_id program;
    program_id root;
    workspace_name workspace;
    std::uint64_t budget = 0;
    std::uint64_t spent = 0;
    std::uint64_t reserved = 0;
    std::uint32_t calls = 0;
    std::optional<end_reason> ended;
    bool created_now = false;
};

using caller_answer = std::variant<call_answer, program_view>;
using caller_result = result<caller_answer>;

/// A provisional part of a streamed answer.
struct stream_event
{
    /// The stream begins anew; text and index are empty.
    bool restart = false;
    /// Opaque and growing within a stream; docs/API.md calls it K.
    std::uint64_t index = 0;
    std::string text;
};

/// Receives what a request leads to; `done` is called exactly once.
struct answer_sink
{
    std::function<void(stream_event const&)> event;
    std::function<void(caller_result)> done;
};

/// Whom a refusal or an answer is about.
struct request_context
{
    program_id program;
    std::uint32_t number = 0;
    request_id request;
};

/// The program that a request is about, hence its shard.
program_id const& program_of(caller_request const& request);
request_context context_of(caller_request const& request);
/// Whether the caller asked for a stream.
bool wants_stream(caller_request const& request);

/// Hash by which a repeated request id is told from another body.
std::uint64_t body_hash(call_request const& request);

/// Parses the JSON body of a call or a creation; never throws. The refusal
/// names the field. `program` and `workspace` are left empty.
result<create_request> parse_create(std::string_view body);
result<call_request> parse_call(std::string_view body);

/// JSON texts of API.md.
std::string answer_text(caller_answer const& answer);
std::string refusal_text(refusal const& why, request_context const& context);
std::string event_text(stream_event const& event);

/// CBOR forms for the links between nodes.
std::string encode_request(caller_request const& request);
result<caller_request> decode_request(std::string_view bytes);
std::string encode_event(stream_event const& event);
result<stream_event> decode_event(std::string_view bytes);

/// Reply of a node that a request was forwarded to.
struct forward_reply
{
    /// The asked node does not own the shard; nothing was done.
    bool moved = false;
    caller_result result = refusal{};
};

std::string encode_reply(forward_reply const& reply);
/// An unreadable reply becomes a refusal with outcome_unknown.
forward_reply decode_reply(std::string_view bytes);

/// \return "finished", "canceled", "exhausted" or "abandoned".
std::string_view to_string(end_reason reason);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_TEST_SOAK_HISTORY_HPP
#define WALNUTMILL_TEST_SOAK_HISTORY_HPP

/// \file
/// What callers and targets recorded during a soak, and the promises that it
/// has to keep. Nothing here looks into a node.

#include <cstdint>
#include <string>
#include <vector>

namespace walnutmill
{
namespace testing
{

enum class call_kind
{
    /// A turn that may be resumed at another engine.
    turn,
    /// A turn whose history the nodes keep; it runs once at most.
    kept_turn,
    /// A plain call that may run again.
    lookup,
    /// A plain call that runs once at most.
    order
};

/// How an attempt ended on its connection.
enum class attempt_end
{
    /// A whole answer, of a target or of the node.
    answered,
    /// The answer began and broke off.
    broken_off,
    /// The caller left during the answer.
    left,
    /// No connection was established.
    not_connected,
    /// The connection ended before the whole request was sent.
    not_sent,
    /// The whole request was sent, and the node reset the connection. Linux
    /// does so where a connection is closed with unread bytes.
    reset,
    /// The whole request was sent, and the node closed the connection and then
    /// reset it: the request crossed the close and was left unread.
    crossed_close,
    /// The whole request was sent, and the node closed the connection in order,
    /// without a byte of an answer.
    closed,
    /// The answer was not complete a second after the deadline.
    silent
};

/// One attempt of a caller, with an id of its own.
struct recorded_attempt
{
    std::string id;
    std::string program;
    call_kind kind = call_kind::turn;
    std::uint64_t budget = 0;
    std::uint64_t most_tokens = 0;
    /// The same for all attempts of one turn; empty where they are not told
    /// apart.
    std::string turn;
    /// Of a kept turn: the one before it, and its own input.
    std::string previous;
    std::string input;
    /// 0: no answer came.
    int status = 0;
    bool whole = false;
    std::string body;
    /// Of a turn that resumes a stream: the attempt that received the first
    /// event, and the last event that the caller has.
    std::string resumes;
    int resumed_after = 0;
    attempt_end end = attempt_end::answered;
    /// Where it was sent, and when, in Unix milliseconds.
    std::string node;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = 0;
    /// Its targets pause at times and do no other harm.
    bool targets_only_pause = false;
    /// Whose key it bears; empty without one.
    std::string workspace;
    /// The last attempt of a call, without faults, of a workspace that sends as
    /// usual while another one sends several times its usual.
    bool has_to_be_served = false;
};

/// One run that a target began.
struct recorded_run
{
    std::string id;
    std::string target;
    /// The request's body as the target got it.
    std::string body;
    /// In Unix milliseconds.
    std::int64_t began_ms = 0;
};

/// A line of a node's log.
struct recorded_line
{
    std::string node;
    std::int64_t time_ms = 0;
    std::string event;
    std::string request;
    std::string outcome;
    std::string why;
    std::uint64_t bytes = 0;
};

/// A time, in Unix milliseconds, in which a node was killed, frozen, or stopped
/// for longer than its grace.
struct node_trouble
{
    std::string node;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = 0;
};

struct soak_history
{
    std::vector<recorded_attempt> attempts;
    std::vector<recorded_run> runs;
    std::vector<recorded_line> lines;
    std::vector<node_trouble> troubles;
    /// When all nodes were back after the last loss of all of them at once, in
    /// Unix milliseconds; 0 without such a loss.
    std::int64_t back_ms = 0;
};

constexpr int soak_events = 3;
constexpr std::uint64_t soak_tokens_per_event = 10;
/// Time after the return of all nodes by which a turn that continues a kept one
/// has to reach an engine, in milliseconds.
constexpr std::int64_t soak_recovery_ms = 12'000;
/// The last part of that time, in which no such turn begins.
constexpr std::int64_t soak_recovery_end_ms = 4'000;
/// For how long turns are kept, in milliseconds.
constexpr std::int64_t soak_retention_ms = 60'000;

/// \return the data of an event, as it stands in histories.
std::string soak_event_data(std::string const& id, int number);
std::string soak_event(std::string const& id, int number);
/// An event of a turn that may be resumed, with the version of the software
/// that produced it.
std::string
soak_event(std::string const& id, int number, std::string const& version);
/// \return the number of complete events with which the body of a turn's answer
/// begins
int soak_events_of(recorded_attempt const& one);
std::string soak_plain_body(std::string const& id);

/// \return what an attempt's end is called in reports.
std::string name_of(attempt_end end);

/// \return a line for each promise that the history breaks.
std::vector<std::string> broken_promises(soak_history const& of);

} // namespace testing
} // namespace walnutmill

#endif

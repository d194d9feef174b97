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

/// One attempt of a caller, with an id of its own.
struct recorded_attempt
{
    std::string id;
    std::string program;
    call_kind kind = call_kind::turn;
    std::uint64_t budget = 0;
    std::uint64_t most_tokens = 0;
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
};

/// One run that a target began.
struct recorded_run
{
    std::string id;
    std::string target;
    /// The request's body as the target got it.
    std::string body;
};

struct soak_history
{
    std::vector<recorded_attempt> attempts;
    std::vector<recorded_run> runs;
};

constexpr int soak_events = 3;
constexpr std::uint64_t soak_tokens_per_event = 10;

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

/// \return a line for each promise that the history breaks.
std::vector<std::string> broken_promises(soak_history const& of);

} // namespace testing
} // namespace walnutmill

#endif

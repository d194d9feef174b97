#ifndef WALNUTMILL_SRC_PROGRAM_OWNER_HPP
#define WALNUTMILL_SRC_PROGRAM_OWNER_HPP

/// \file
/// The life of programs and calls at their owner, without network, threads or
/// clock: requests and events go in, effects come out.
///
/// Rules that every path here keeps (docs/GUARANTEES.md):
/// - units are drawn by a committed record before anything is sent;
/// - a call that may not be repeated is sent only after its intent is
///   committed, and only by the owner that admitted it;
/// - an answer is delivered only after its outcome is committed;
/// - "not run" is said only of a call that this owner holds and that was not
///   begun to be written to a target, or that the target declined.

#include <walnutmill/audit.hpp>
#include <walnutmill/budget_guard.hpp>
#include <walnutmill/clock.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/record.hpp>

#include "caller_types.hpp"
#include "program_book.hpp"
#include "scheduling.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace walnutmill
{

/// What names a call towards targets. Callers number their requests per
/// program, so a request id alone would mix two programs up.
request_id target_key(program_id const& program, request_id const& request);

/// Names one attempt of a call at a target.
using attempt_id = std::uint64_t;

/// One turn of the conversation that a model call continues.
struct turn
{
    std::string role;
    std::string text;
};

/// Append the records in one commit, then call on_committed(token).
struct append_effect
{
    std::uint64_t token = 0;
    std::vector<journal_record> records;
};

/// Send to a model engine; events come back under the attempt's id.
struct model_effect
{
    attempt_id attempt = 0;
    target_name target;
    program_id program;
    request_id request;
    epoch_number epoch = 0;
    std::string model;
    std::vector<turn> turns;
    std::uint32_t max_tokens = 0;
    std::uint32_t resume_after = 0;
    std::chrono::milliseconds hold{0};
    std::chrono::milliseconds timeout{0};
    time_point deadline;
};

/// Send to a plain service.
struct plain_effect
{
    attempt_id attempt = 0;
    target_name target;
    program_id program;
    std::uint32_t number = 0;
    request_id request;
    std::string input;
    bool repeatable = false;
    std::chrono::milliseconds timeout{0};
    time_point deadline;
};

/// Ask the target what became of a request; answered like an attempt.
struct query_effect
{
    attempt_id attempt = 0;
    target_name target;
    program_id program;
    request_id request;
};

/// Stop an attempt; whatever it still reports is ignored.
struct cancel_effect
{
    attempt_id attempt = 0;
    target_name target;
    program_id program;
    request_id request;
};

/// Drop a program's memory at a target, then call on_released().
struct release_effect
{
    program_id program;
    target_name target;
};

/// A decision worth keeping for `explain`.
struct decision_effect
{
    program_id program;
    std::uint32_t number = 0;
    decision_kind kind = decision_kind::placed;
    target_name target;
    std::string reason;
};

using owner_effect = std::variant<
    append_effect, model_effect, plain_effect, query_effect, cancel_effect,
    release_effect, decision_effect>;

/// What a target answered to an attempt.
struct attempt_answer
{
    std::string output;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t tokens = 0;
};

/// What an operator sees of a program.
struct program_status
{
    program_view view;
    /// What its current call waits for; empty when it has none.
    std::string waiting_for;
    duration waited{0};
    target_name target;
    std::vector<target_name> holds;
};

/// Figures of the owner for metrics and gossip.
struct owner_figures
{
    std::size_t programs = 0;
    std::size_t calls = 0;
    std::size_t in_flight = 0;
};

/// Owns the programs of some shards.
class program_owner
{
public:
    program_owner(scheduling_hooks hooks, std::uint32_t shards);

    void set_configuration(std::shared_ptr<configuration const> config);
    /// No further programs or calls are accepted; those under way go on.
    void stop_accepting() { accepting_ = false; }

    /// Takes over a shard with the records to rebuild it. Calls whose intent
    /// has no outcome are resolved without being sent again.
    void load_shard(
        shard_number shard, epoch_number epoch,
        std::vector<journal_record> const& records, time_point now);
    /// Gives a shard up. Calls of it that are still under way are refused.
    void drop_shard(shard_number shard, time_point now);
    /// Returns unused units to the budgets of a shard, before a hand-over.
    void return_slices(shard_number shard);
    /// While a shard moves, its new requests are told to come back.
    void set_moving(shard_number shard, bool moving);
    bool owns(shard_number shard) const;
    /// No calls of the shard are under way and nothing waits for a commit.
    bool quiet(shard_number shard) const;
    /// A checkpoint holds the shard's records up to this commit.
    void note_checkpoint(shard_number shard, std::uint64_t counter);
    /// The first commit whose records of the shard no checkpoint holds; zero:
    /// there is none.
    std::uint64_t first_commit(shard_number shard) const;
    /// Records committed for the shard since its last checkpoint.
    std::size_t uncheckpointed_records(shard_number shard) const;
    /// Records that rebuild the shard as committed now.
    std::vector<journal_record>
    snapshot(shard_number shard, time_point now) const;
    /// The session was fenced: nothing computed here may be released.
    void fence(time_point now);

    /// Takes a caller's request; the sink hears of it exactly once.
    /// \pre the shard of the program is owned here
    void
    request(caller_request const& request, answer_sink sink, time_point now);

    /// \param counter of the commit that carried the records
    void on_committed(
        std::uint64_t token, time_point now, std::uint64_t counter = 0);
    void on_token(
        attempt_id attempt, std::uint32_t index, std::string_view text,
        time_point now);
    /// The engine begins the stream anew.
    void on_restart(attempt_id attempt);
    void
    on_answer(attempt_id attempt, attempt_answer const& answer, time_point now);
    void on_failure(attempt_id attempt, refusal const& why, time_point now);
    void on_released(
        program_id const& program, target_name const& target, bool confirmed,
        time_point now);
    /// Deadlines, retries, abandoned programs, dispatch.
    void tick(time_point now);

    /// Takes the effects that came up since the last time.
    std::vector<owner_effect> take_effects();

    /// Whether the program is here, running or with calls under way.
    bool live(program_id const& program) const;
    program_book const& book() const noexcept { return book_; }
    owner_figures figures() const;
    /// The programs here, at most `limit`.
    std::vector<program_status> statuses(std::size_t limit, time_point now);

private:
    enum class call_stage
    {
        /// An earlier call has no outcome yet.
        waits_turn,
        /// Units are being drawn.
        drawing,
        queued,
        /// The intent is being committed.
        intending,
        in_flight,
        /// Waits before the next attempt.
        backing_off,
        /// The outcome is being committed.
        committing
    };

    struct waiter
    {
        answer_sink sink;
        bool stream = false;
        /// Tokens of this stream that the waiter was given.
        std::uint32_t seen = 0;
    };

    struct active_call
    {
        call_handle handle = 0;
        call_request spec;
        std::uint64_t hash = 0;
        service_config service;
        bool repeatable = true;
        std::vector<waiter> waiters;
        call_stage stage = call_stage::waits_turn;
        time_point accepted;
        time_point deadline;
        time_point retry_at;
        time_point sent_at;
        time_point enqueued;
        send_ticket ticket = 0;
        std::uint32_t prompt = 0;
        /// The most that the call can cost.
        std::uint64_t work = 0;
        std::uint64_t reserved = 0;
        /// Units that failed attempts may have cost.
        std::uint64_t wasted = 0;
        std::uint32_t attempts = 0;
        attempt_id attempt = 0;
        target_name target;
        std::vector<target_name> failed_at;
        std::vector<std::string> tokens;
        /// Counts how often the stream began anew.
        std::uint32_t restarts = 0;
        bool may_have_run = false;
        bool querying = false;
        call_outcome outcome;
    };

    struct shard_entry
    {
        epoch_number epoch = 0;
        /// Appends that wait for the table.
        std::size_t commits = 0;
        /// Records and commits since the last checkpoint.
        std::size_t records = 0;
        std::uint64_t first_commit = 0;
        std::uint64_t last_commit = 0;
        bool moving = false;
    };

    /// A release that the target has not confirmed yet.
    struct unconfirmed_release
    {
        time_point at;
        program_id program;
        target_name target;
    };

    struct pending_commit
    {
        std::vector<journal_record> records;
        shard_number shard = 0;
        std::function<void(time_point)> then;
    };

    void create(create_request const& r, answer_sink sink, time_point now);
    void call(call_request const& r, answer_sink sink, time_point now);
    void fetch(fetch_request const& r, answer_sink sink);
    void end(end_request const& r, answer_sink const& sink, time_point now);
    void view(view_request const& r, answer_sink const& sink);
    void set_budget(budget_request const& r, answer_sink const& sink);
    guard_verdict
    check_guard(call_request const& r, program_state const& program);
    budget_guard& guard_of(program_state const& program);

    std::optional<refusal>
    check_creation(create_request const& r, time_point now) const;
    std::optional<refusal>
    check_call(call_request const& r, program_state const& program) const;
    result<program_state*>
    visible(program_id const& id, workspace_name const& workspace);
    bool answer_again(
        call_request const& r, std::uint64_t hash, program_state const& program,
        answer_sink& sink);
    program_view view_of(program_state const& program);
    caller_result stored_answer(call_outcome const& outcome) const;
    std::uint64_t
    prompt_tokens(program_state const& program, call_request const& r) const;

    void start_turn(program_id const& program, time_point now);
    void draw(active_call& call, time_point now);
    void enqueue(active_call& call, time_point now);
    void give_up(active_call& call, refusal why);
    bool dispatch(call_handle handle, time_point now);
    void send(active_call& call, time_point now);
    model_effect model_send(active_call const& call) const;
    void end_attempt(
        active_call& call, send_end end, std::uint64_t tokens, time_point now);
    void finish(active_call& call, call_outcome outcome, time_point now);
    void deliver(active_call& call, time_point now);
    void add_failed_holds(
        active_call const& call, std::vector<record_body>& records) const;
    void give_up_spent(active_call& call, refusal why);
    void refuse_outcome(
        active_call& call, errc code, certainty ran, std::uint64_t cost,
        time_point now);
    void retry_or_end(active_call& call, refusal const& why, time_point now);
    void expire(active_call& call, time_point now);
    void attach(
        active_call& call, answer_sink sink, bool stream, std::uint64_t after);
    void restart_stream(active_call& call);
    void stream_tokens(active_call& call, waiter& to);
    std::uint64_t stream_id(active_call const& call) const;
    void withdraw(active_call& call, refusal why);
    void end_program(
        program_state& program, end_reason reason,
        std::function<void(time_point)> then, time_point now);
    void drop_calls(program_id const& program, errc code, time_point now);
    void release_holds(program_state const& program);
    void release(program_id const& program, target_name const& target);
    void release_unconfirmed(time_point now);
    void check_abandoned(time_point now);
    void check_timers(time_point now);
    void forget_program(program_id const& id, time_point now);
    bool busy(program_id const& program) const;
    void resolve_intent(program_state const& program, time_point now);

    void append(
        shard_number shard, std::vector<record_body> bodies,
        std::function<void(time_point)> then);
    void explain(
        program_id const& program, std::uint32_t number, decision_kind kind,
        std::string reason, target_name target = {});
    active_call* find_call(call_handle handle);
    active_call* find_attempt(attempt_id attempt);
    active_call* find_call(program_id const& program, std::uint32_t number);
    static std::string waiting_for(active_call const& call);
    void erase_call(call_handle handle);

    scheduling_hooks hooks_;
    std::uint32_t shards_;
    bool accepting_ = true;
    bool fenced_ = false;
    std::shared_ptr<configuration const> config_;
    program_book book_;
    std::map<shard_number, shard_entry> owned_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<call_handle, active_call> calls_;
    std::unordered_map<attempt_id, call_handle> attempts_;
    /// Calls of a program by number.
    std::unordered_map<program_id, std::map<std::uint32_t, call_handle>>
        by_program_;
    std::set<std::pair<time_point, call_handle>> timers_;
    std::unordered_map<std::uint64_t, pending_commit> commits_;
    /// Programs whose creation is being committed, with those who wait.
    std::unordered_map<program_id, std::vector<answer_sink>> creating_;
    std::set<program_id> ending_;
    std::unordered_map<program_id, time_point> last_activity_;
    std::unordered_map<program_id, std::string> next_tool_;
    guard_options guard_options_;
    std::unordered_map<program_id, budget_guard> guards_;
    std::set<std::pair<program_id, target_name>> releasing_;
    std::deque<unconfirmed_release> release_again_;
    program_id abandoned_cursor_;
    std::vector<owner_effect> effects_;
};

} // namespace walnutmill

#endif

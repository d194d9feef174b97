#ifndef WALNUTMILL_SRC_ENTRY_CALL_FLOW_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_FLOW_HPP

/// \file
/// Handles one call from the caller's request to its answer: routing, identity,
/// quota, the program's token budget, its turn history, and attempts at
/// engines.

#include <walnutmill/call.hpp>
#include <walnutmill/denied_keys.hpp>
#include <walnutmill/engine_balancer.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/request_digest.hpp>
#include <walnutmill/routing_table.hpp>
#include <walnutmill/stall_policy.hpp>
#include <walnutmill/turn_history.hpp>

#include "entry/admission_control.hpp"
#include "entry/answer_memory.hpp"
#include "entry/budget_service.hpp"
#include "entry/caller_link.hpp"
#include "entry/crash_exchange.hpp"
#include "entry/engine_links.hpp"
#include "entry/event_stream.hpp"
#include "entry/line_log.hpp"
#include "entry/load_accounting.hpp"
#include "entry/origin_exchange.hpp"
#include "entry/outage_policy.hpp"
#include "entry/quota_exchange.hpp"
#include "entry/store_waiters.hpp"
#include "entry/version_register.hpp"
#include "entry/workspace_counters.hpp"
#include "entry/workspace_shares.hpp"
#include "platform/call_codec.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace walnutmill
{

class call_flow;

/// Calls of a node. Shared with the calls, because the event loop may destroy
/// the last of them after the node's services.
struct call_registry
{
    std::unordered_set<call_flow*> calls;
    /// The services of the node may be gone.
    bool is_closed = false;
};

/// Services of the entry node that its calls use.
struct entry_services
{
    boost::asio::io_context& io;
    clock_fn clock;
    random_fn random;
    engine_balancer& balancer;
    engine_links& links;
    budget_service& budgets;
    turn_history& history;
    line_log& log;
    metrics& counters;
    stall_options stalls;
    retry_budget repeats;
    active_ranks ranks;
    /// Null until a configuration is known.
    std::shared_ptr<routing_table const> table;
    /// Nodes that share the engines' connections, this one included.
    std::uint32_t nodes = 1;
    bool stopping = false;
    /// Time by which new calls must be able to end, because the process is
    /// about to exit; empty: no bound.
    std::optional<time_point> new_calls_end_by;
    std::size_t calls_in_flight = 0;
    /// Time since the store last answered any request; zero while it answers.
    std::function<duration()> store_outage_time;
    /// Longest time limit of a call by route name, since the configuration
    /// last changed.
    std::unordered_map<std::string, duration> max_call_times;
    /// Calls back once the engine loads are as recent as available. Null: the
    /// engine is chosen at once.
    std::function<void(std::function<void()>)> before_choice{};
    /// Called when a call at a model engine starts or ends; may be null.
    std::function<void()> on_calls_changed{};
    /// Time within which a change of the configuration must be in force; zero:
    /// no bound.
    duration apply_within{0};
    /// Time after which no node accepts a revoked key; zero: no bound.
    duration revoke_within{0};
    /// Time since the configuration was last confirmed to be complete. Null:
    /// it always counts as complete.
    std::function<duration()> configuration_age{};
    /// Node that read the configuration from the store. Null: not known.
    std::function<std::string()> configuration_source{};
    /// Calls back once the configuration is confirmed to be complete as of a
    /// later time. \return false if too many calls already wait for that
    std::function<bool(std::function<void()>)> after_confirmation{};
    /// Null: workspaces have no request limits.
    quota_exchange* quotas = nullptr;
    workspace_counters requests_by_workspace{counters};
    workspace_shares shares{};
    denied_keys denied{};
    /// Origins of streams, and versions at which they may begin. Null: versions
    /// of engines are not told apart.
    origin_exchange* origins = nullptr;
    version_register* versions = nullptr;
    /// Requests under which engines ended. Null: they are not told apart.
    crash_exchange* crashes = nullptr;
    /// Turns that wait for the store. Null: no turn waits.
    store_waiters* awaiting_store = nullptr;
    std::shared_ptr<call_registry> calls = std::make_shared<call_registry>();
    answer_memory answers{};
    /// Shared with the waits of calls.
    std::shared_ptr<load_accounting> accounting =
        std::make_shared<load_accounting>(clock);
};

/// Ends all calls whose callers wait, since the process is about to exit. A
/// call that no engine can have run is refused.
void end_calls_for_exit(entry_services& node);

/// State machine of one call. Its pending callbacks share ownership of it.
class call_flow : public std::enable_shared_from_this<call_flow>
{
public:
    call_flow(
        entry_services& node, std::shared_ptr<caller_link> link,
        caller_link::request_type&& request);
    ~call_flow();
    call_flow(call_flow const&) = delete;
    call_flow& operator=(call_flow const&) = delete;

    /// Decodes the request and starts the call.
    void start();
    /// Ends the call, since the process is about to exit.
    void end_for_exit();

private:
    struct engine_attempt
    {
        engine_placement at;
        engine_links::link_ptr link;
        time_point sent_at{};
        /// Time of the last new event or part of one, or of the last bytes of
        /// an answer that is not a stream; before the first, of the last bytes
        /// sent.
        time_point last_progress_at{};
        /// Silence after which the engine counts as stalled.
        duration silence_timeout{0};
        engine_answer answer;
        held_answer body;
        event_splitter events;
        /// The answer is a stream of events, which may go on with a begun one.
        bool streams = false;
        /// Bytes and events since the last new event of the stream.
        std::size_t idle_bytes = 0;
        std::size_t idle_events = 0;
        run_id run = 0;
        /// The response head has arrived and says that the engine runs the
        /// call.
        bool accepted_by_engine = false;
        bool ended = false;
    };
    using attempt_ptr = std::shared_ptr<engine_attempt>;

    bool route_call();
    void choose_service();
    void use_service(service_name const& name);
    void check_identity();
    void log_configuration_origin();
    bool is_configuration_in_force() const;
    bool deny(int status, std::string_view why);
    void set_owner(workspace const& owner);
    void scope_ids();
    void recheck_or_reject_key(duration configuration_age);
    void identify_again();
    bool reject_key(std::string_view why);
    void acquire_quota();
    void quota_answered(quota_answer const& answer);
    void record_use(quota_answer const& answer);
    bool draw_refusal(
        std::optional<double> load_per_slot, bool has_priority, time_point now);
    void count_share_decision(
        admission_answer answer, budget_service::grant const& grant);
    void refuse_over_limit(
        std::string_view why, std::chrono::milliseconds retry_after);
    void return_quota();
    std::uint32_t route_rank() const;
    std::chrono::milliseconds retry_after_jitter() const;
    bool limit_call_time();
    void await_deadline();
    void extend_deadline();
    void begin_or_resume();
    bool resumes_stream() const;
    void find_origin();
    void find_origin_in_register();
    void origin_not_found();
    void resume_at(stream_origin const& origin, std::string_view source);
    void refuse_resumption(std::string_view why, std::string_view outcome);
    void record_origin(attempt_ptr const& attempt);
    void admit();
    void budget_granted(budget_service::grant const& grant);
    void settle_budget();
    std::optional<prefix_cache_location> cached_prefix_location() const;
    void refuse_for_budget(admission_answer answer);
    void load_history();
    bool has_budget() const;
    void request_budget();
    void log_history_failure(history_failure const& failure);
    void load_turn(request_id const& previous, bool try_unscoped_id);
    void try_engine();
    void choose_engine();
    void notify_calls_changed() const;
    void exchange(attempt_ptr const& attempt);
    std::uint32_t connection_limit() const;
    std::optional<std::uint32_t> rank() const;

    void
    on_head(attempt_ptr const& attempt, platform::response_head const& head);
    void on_body(attempt_ptr const& attempt, std::string_view bytes);
    void on_end(attempt_ptr const& attempt, link_end how);
    void end_attempt(attempt_ptr const& attempt, engine_outcome outcome);
    void watch_for_stall(attempt_ptr const& attempt);
    void check_progress_after(attempt_ptr const& attempt, duration wait);
    void check_progress(attempt_ptr const& attempt);
    bool may_abandon(attempt_ptr const& attempt);
    void leave_silent_engine(attempt_ptr const& attempt);
    void refused_by_engine(attempt_ptr const& attempt);
    void attempt_interrupted(attempt_ptr const& attempt);
    void give_up_answer(
        attempt_ptr const& attempt, engine_outcome outcome,
        std::string_view why);
    void attempt_completed(attempt_ptr const& attempt);
    bool check_crashes(void (call_flow::*again)());
    bool await_crash_records(std::function<void()> then);
    void choose_again_later();
    void choose_after_wait();
    bool may_choose_later() const;
    bool has_sends_left() const;
    void refuse_or_wait(std::string_view why);
    void refuse_or_abort(std::string_view why, duration retry_after);
    request_run run_of(attempt_ptr const& attempt);
    bool is_silent(attempt_ptr const& attempt) const;
    void run_interrupted(attempt_ptr const& attempt, std::string_view evidence);
    void run_fell_silent(attempt_ptr const& attempt);
    void add_crashed_engine(engine_ref const& engine);
    void run_survived(attempt_ptr const& attempt);
    void run_answered();
    void give_up_run();
    void leave_ended_engine(engine_ref const& engine, bool has_ended = true);
    void retry_if_ended(attempt_ptr const& attempt);
    void retry_or_fail(attempt_ptr const& attempt, bool complete_failure);
    bool may_have_run_at(engine_ref const& engine) const;
    bool may_run_elsewhere(engine_ref const& previous) const;

    void append_to_body(attempt_ptr const& attempt, std::string_view bytes);
    void
    forward_event(attempt_ptr const& attempt, server_sent_event const& event);
    void stream_completed();
    void deliver(attempt_ptr const& attempt);
    std::optional<std::string> begin_answer(
        engine_answer const& answer, std::optional<std::size_t> length);

    void on_deadline();
    void end_unanswered(
        std::string_view why, std::string_view why_not_run,
        std::chrono::milliseconds retry_after);
    void abandon_attempt();
    void release_unanswered();
    void on_caller_disconnected();
    outage_call current_outage() const;
    bool await_store(bool can_run, std::string_view why);
    void store_wait_ended(store_wait_end how, std::string_view why);
    void go_on_after_store_wait();
    void record_store_wait();
    void leave_store_queue();
    void refuse_after_store_wait(std::string_view why);
    void refuse(std::string_view why, std::chrono::milliseconds retry_after);
    void refuse_without_store(std::string_view why);
    void respond_locally(
        int status, std::string_view why,
        std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));
    void abort_call(std::string_view why);
    void finish(std::string_view outcome, bool trouble);
    /// Computed when it is first needed.
    request_digest digest();
    void
    log_failed_attempt(attempt_ptr const& attempt, std::string_view outcome);
    duration time_left() const;
    void begin_wait(wait_reason reason);
    void count_refusal(int status, std::string_view why);
    void count_if_late();

    entry_services& node_;
    std::shared_ptr<call_registry> calls_;
    std::shared_ptr<caller_link> link_;
    caller_link::request_type request_;
    std::shared_ptr<routing_table const> table_;
    call call_;
    route const* route_ = nullptr;
    service const* service_ = nullptr;
    balancer_request need_;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer stall_timer_;
    /// Ends the wait for a newer configuration.
    boost::asio::steady_timer identity_timer_;
    time_point arrived_;
    time_point deadline_at_;
    /// Time between the end of the call and its caller's deadline.
    duration deadline_reserve_{0};
    attempt_ptr current_;
    /// An engine may have run the call, whatever became of the engine since.
    bool may_have_run_ = false;
    /// Engines that may have run the call and may still be there.
    std::vector<engine_ref> possibly_run_at_;
    /// Engines that have ended or been replaced, as the call has seen.
    std::vector<target_name> ended_engines_;
    /// Engines that broke off or fell silent under this call.
    std::vector<engine_ref> crashed_at_;
    int sends_ = 0;
    /// Sends that count towards the call's limit, and those of them since its
    /// last wait that engines rejected or did not accept.
    int counted_sends_ = 0;
    int rejected_sends_ = 0;
    /// Waits so far for an engine that may be chosen.
    int deferred_choices_ = 0;
    std::optional<request_digest> digest_;
    /// Attempts abandoned because the engine was silent for too long.
    int stalls_ = 0;
    std::uint64_t max_tokens_ = 0;
    std::uint64_t tokens_per_event_ = 1;
    std::uint64_t delivered_tokens_ = 0;
    std::optional<budget_service::grant> grant_;
    /// The workspace's rate limit has granted a token to this call.
    bool quota_acquired_ = false;
    /// What the share of the workspace decides if the program is a new one.
    std::optional<share_decision> share_decision_;
    /// ID under which the turn is stored.
    request_id stored_turn_id_;
    /// ID of the previous turn as the caller sent it, without the workspace
    /// scope.
    request_id unscoped_previous_;
    bool head_written_ = false;
    bool done_ = false;
    /// What the call waits for, or last waited for.
    std::string_view waits_for_;
    call_labels labels_;
    call_wait wait_;
    bool refused_ = false;
    /// Waits for a newer configuration.
    bool awaits_confirmation_ = false;
    bool caller_disconnected_ = false;
    /// Set while the call waits for the store.
    std::optional<store_waiters::ticket> store_wait_;
    /// The queue had no place for the call, which is decided as on other
    /// routes.
    bool store_queue_full_ = false;
    time_point store_wait_began_{};
    /// Sum of the call's ended waits for the store.
    duration store_waited_{0};
    std::optional<std::uint64_t> last_event_;
    /// Searches for the origin of the stream that have not ended.
    int origin_searches_ = 0;
    /// The stream's origin is known, so that the call may go to an engine.
    bool has_origin_ = false;
    /// This call has forwarded an event.
    bool forwards_events_ = false;
    turn_chain chain_;
    std::string output_;
    /// Fields of the log line `call.ended`.
    nlohmann::json log_fields_;
};

} // namespace walnutmill

#endif

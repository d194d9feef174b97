#ifndef WALNUTMILL_SRC_ENTRY_CALL_FLOW_HPP
#define WALNUTMILL_SRC_ENTRY_CALL_FLOW_HPP

/// \file
/// The life of one call: from the caller's request over the program's budget,
/// its history and an engine to the caller's answer.

#include <walnutmill/call.hpp>
#include <walnutmill/denied_keys.hpp>
#include <walnutmill/engine_board.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/routing_table.hpp>
#include <walnutmill/stall_policy.hpp>
#include <walnutmill/turn_history.hpp>

#include "entry/budget_desk.hpp"
#include "entry/caller_link.hpp"
#include "entry/engine_links.hpp"
#include "entry/event_stream.hpp"
#include "entry/line_log.hpp"
#include "entry/outage_policy.hpp"
#include "entry/quota_exchange.hpp"
#include "entry/start_gate.hpp"
#include "entry/workspace_counters.hpp"
#include "platform/call_codec.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// What calls use of their node.
struct entry_services
{
    boost::asio::io_context& io;
    clock_fn clock;
    random_fn random;
    engine_board& board;
    engine_links& links;
    budget_desk& budgets;
    turn_history& history;
    line_log& log;
    metrics& counters;
    stall_options stalls;
    repeat_allowance repeats;
    ranks_under_way ranks;
    /// Null until a configuration is known.
    std::shared_ptr<routing_table const> table;
    /// Nodes that share the engines' connections, this one included.
    std::uint32_t nodes = 1;
    bool stopping = false;
    /// False once a call taken now could not end before the process does.
    bool takes_calls = true;
    std::size_t calls_under_way = 0;
    /// How long the store has answered nobody; zero while it does.
    std::function<duration()> store_lost_for;
    /// The longest time that callers of a route came with, by its name, since
    /// the configuration changed.
    std::unordered_map<std::string, duration> whole_times;
    /// Calls back once the load of the engines is as new as it can be had;
    /// null: at once.
    std::function<void(std::function<void()>)> before_choice{};
    /// A call at a model engine began or ended; null: nobody is told.
    std::function<void()> on_calls_changed{};
    /// Within which no node serves a key that was taken away; zero: no bound.
    duration revoke_within{0};
    /// Since the configuration is known to be whole; null: always is.
    std::function<duration()> configuration_age{};
    /// Calls back once the configuration is known to be whole as of a later
    /// time. \return false where too many calls wait for that already
    std::function<bool(std::function<void()>)> after_confirmation{};
    /// Null: workspaces have no limits.
    quota_exchange* quotas = nullptr;
    workspace_counters requests_by_workspace{counters};
    denied_keys denied{};
};

class call_flow : public std::enable_shared_from_this<call_flow>
{
public:
    call_flow(
        entry_services& node, std::shared_ptr<caller_link> link,
        caller_link::request_type&& request);
    ~call_flow();
    call_flow(call_flow const&) = delete;
    call_flow& operator=(call_flow const&) = delete;

    void start();

private:
    struct attempt
    {
        placement at;
        engine_links::link_ptr link;
        time_point sent_at{};
        /// When bytes of its answer came last, or when it was sent.
        time_point heard_at{};
        duration patience{0};
        engine_answer answer;
        std::string body;
        event_cutter events;
        /// The answer's head has come and says that the engine runs it.
        bool runs = false;
        bool ended = false;
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    bool route_call();
    void choose_service();
    void check_identity();
    void adopt(workspace const& owner);
    void scope_ids();
    void look_for_key(duration configuration_age);
    void identify_again();
    void deny(std::string_view why);
    void take_quota();
    void quota_answered(quota_answer const& answer);
    void refuse_over_limit(
        std::string_view why, std::chrono::milliseconds retry_after);
    void return_quota();
    std::uint32_t route_rank() const;
    std::chrono::milliseconds retry_after_jitter() const;
    void arm_deadline();
    void admit();
    void granted(budget_desk::grant const& one);
    void settle();
    std::optional<prompt_place> prompt_left() const;
    void refuse_for_budget(admission_answer answer);
    void load_history();
    void load_turn(request_id const& last, bool may_be_unscoped);
    void try_engine();
    void choose_engine();
    void tell_calls() const;
    void exchange(attempt_ptr const& one);
    std::uint32_t connection_limit() const;
    std::optional<std::uint32_t> rank() const;

    void on_head(attempt_ptr const& one, platform::response_head const& head);
    void on_body(attempt_ptr const& one, std::string_view bytes);
    void on_end(attempt_ptr const& one, link_end how);
    void end_attempt(attempt_ptr const& one, engine_outcome outcome);
    void watch_for_stall(attempt_ptr const& one);
    void check_progress(attempt_ptr const& one);
    bool may_leave(attempt_ptr const& one);
    void refused_by_engine(attempt_ptr const& one);
    void attempt_broke(attempt_ptr const& one);
    void attempt_completed(attempt_ptr const& one);
    void retry_or_fail(attempt_ptr const& one, bool complete_failure);
    bool ran(engine_ref const& engine) const;
    bool may_run_elsewhere(engine_ref const& left) const;

    void forward_event(attempt_ptr const& one, stream_event const& event);
    void stream_completed();
    void deliver(attempt_ptr const& one);

    void time_is_up();
    void caller_left();
    outage_call in_outage() const;
    void refuse(std::string_view why, std::chrono::milliseconds come_back);
    void refuse_without_store(std::string_view why);
    void answer_own(
        int status, std::string_view why,
        std::chrono::milliseconds come_back = std::chrono::milliseconds(0));
    void break_off(std::string_view why);
    void finish(std::string_view outcome, bool trouble);
    void note_attempt(attempt_ptr const& one, std::string_view outcome);
    duration time_left() const;

    entry_services& node_;
    std::shared_ptr<caller_link> link_;
    caller_link::request_type request_;
    std::shared_ptr<routing_table const> table_;
    call call_;
    route const* route_ = nullptr;
    service const* service_ = nullptr;
    placement_need need_;
    boost::asio::steady_timer deadline_;
    boost::asio::steady_timer stall_timer_;
    time_point arrived_;
    time_point give_up_at_;
    attempt_ptr current_;
    /// Engines that may have run the call.
    std::vector<engine_ref> ran_at_;
    int sends_ = 0;
    /// Times that an engine was left because it had fallen silent.
    int stalls_ = 0;
    std::uint64_t most_tokens_ = 0;
    std::uint64_t tokens_per_event_ = 1;
    std::uint64_t handed_out_ = 0;
    std::optional<budget_desk::grant> grant_;
    /// A token of the workspace's limit was granted.
    bool quota_taken_ = false;
    /// Id under which the turn is kept.
    request_id kept_id_;
    /// The turn before, as the caller named it.
    request_id unscoped_previous_;
    bool head_written_ = false;
    bool done_ = false;
    bool left_ = false;
    std::optional<std::uint64_t> last_event_;
    turn_chain chain_;
    std::string output_;
    nlohmann::json story_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_BENCH_MODULES_NODE_HPP
#define WALNUTMILL_BENCH_MODULES_NODE_HPP

/// \file
/// One node's decision modules, wired to the benchmark as the shipped process
/// wires them to its calls.

#include "bench_walnutmill.hpp"

#include <walnutmill/admission.hpp>
#include <walnutmill/budget_guard.hpp>
#include <walnutmill/fair_queue.hpp>
#include <walnutmill/placement.hpp>
#include <walnutmill/retention.hpp>
#include <walnutmill/retry.hpp>

#include <deque>
#include <unordered_map>

namespace walnutmill::bench
{

/// The one model that engines have loaded.
inline constexpr char const* model_name = "model";

class modules_node
{
public:
    modules_node(cluster_size const& size, std::uint32_t seed, module off);

    admission_answer admit(program_view const& program, time_point now);
    void adopt(program_view const& program);
    bool allow(call_view const& call);
    void submit(call_view const& call, time_point now);
    std::optional<dispatch> next(time_point now);
    void first_token(call_handle handle, time_point now);
    void done(call_view const& call, call_result const& result, time_point now);
    failure_answer
    failed(call_view const& call, call_result const& result, time_point now);
    void withdraw(call_handle handle);
    pause_answer pause(pause_view const& view);
    void resumed(tool_kind tool, duration length);
    void ended(program_view const& program);
    void reported(reports const& seen, time_point now);
    std::vector<call_handle> recall(time_point now);

private:
    /// A call that waits or is under way.
    struct live_call
    {
        call_view view;
        engine_index to = no_engine;
        /// Where it failed before.
        engine_index failed_at = no_engine;
        sent_ticket ticket = 0;
        double charged = 0.0;
        double priority = 0.0;
        bool young = false;
        bool answering = false;
        time_point sent;
    };
    /// What was counted since the last observation of the load.
    struct interval_counts
    {
        std::uint32_t calls_started = 0;
        std::uint32_t programs_ended = 0;
        std::uint32_t waits = 0;
        duration waited{0};
        /// Tokens of history that calls needed, and that were cached.
        double history = 0.0;
        double history_cached = 0.0;
        time_point since;
    };

    fair_queue& queue_of(pool on);
    std::optional<dispatch> next_of(pool on, time_point now);
    std::optional<dispatch> next_in_order(pool on, time_point now);
    engine_index choose(live_call const& call, time_point now);
    std::uint32_t cached_at(call_view const& call, engine_index at) const;
    engine_index round_robin(pool on);
    dispatch send(live_call& call, engine_index to, time_point now);
    double expected_work(call_view const& call) const;
    void settle(live_call const& call, time_point now);
    void observe_load(reports const& seen, time_point now);
    target_view view_of(reports const& seen, engine_index at) const;
    engine_index spare_engine(engine_index besides);
    bool is_slow(live_call const& call, time_point now);
    duration usual_first_token() const;
    void note_first_token(double seconds);

    cluster_size size_;
    module off_;
    random_fn random_;
    std::vector<target_name> targets_;
    std::vector<workspace_name> workspaces_;
    admission admission_;
    fair_queue engine_queue_;
    fair_queue service_queue_;
    placement placement_;
    pause_statistics pauses_;
    retention retention_;
    retry_policy retry_;
    guard_options guard_options_;
    std::unordered_map<std::uint64_t, budget_guard> guards_;
    std::unordered_map<call_handle, live_call> calls_;
    std::deque<call_handle> in_order_[2];
    std::vector<double> pressure_;
    std::vector<bool> in_service_;
    std::vector<std::uint32_t> reported_load_;
    std::uint32_t turn_ = 0;
    /// Where this node last sent a call with the prefix.
    std::unordered_map<cache_key, engine_index> prefix_at_;
    /// Tokens that calls generate; see expected_work().
    double usual_tokens_ = 150.0;
    /// Seconds that calls take, by pool; see expected_work().
    double usual_seconds_[2];
    interval_counts counts_;
    /// Seconds to the first token of the last calls, in a ring.
    std::vector<double> first_tokens_;
    std::size_t next_first_token_ = 0;
    time_point now_;
};

} // namespace walnutmill::bench

#endif

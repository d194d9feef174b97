#ifndef WALNUTMILL_BENCH_SIMULATION_HPP
#define WALNUTMILL_BENCH_SIMULATION_HPP

/// \file
/// Runs programs through nodes' policies and engines under the simulated
/// clock, and records what the callers receive.

#include "bench_backends.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace walnutmill::bench
{

enum class program_end : std::uint8_t
{
    /// Still under way when the run ended.
    open,
    finished,
    /// Never started; the caller gave up coming back.
    refused,
    /// Refused after it had started.
    dropped,
    /// Stopped by the policy as a program that loops.
    stopped,
    /// The caller's patience ran out.
    late
};

/// What a program's caller received.
struct program_outcome
{
    program_end how = program_end::open;
    /// Seconds from the first arrival to the end.
    double latency = 0.0;
    /// Engine seconds spent on it.
    double work = 0.0;
    std::uint32_t times_refused = 0;
    /// Seconds from the first arrival until it started or gave up.
    double waited_to_start = 0.0;
    /// Longest time one of its calls waited for its first token.
    double longest_wait = 0.0;
};

/// What a run came to.
struct run_result
{
    std::vector<program_spec> const* programs = nullptr;
    std::vector<program_outcome> outcomes;
    std::uint64_t first_sends = 0;
    std::uint64_t sends = 0;
    /// Sends since the first fault, for retry amplification.
    std::uint64_t fault_first_sends = 0;
    std::uint64_t fault_sends = 0;
    /// Tokens prefilled that had been computed before.
    std::uint64_t prefilled_again = 0;
    /// Up to the end of arrivals.
    cache_usage idle_cache;
    power_usage power;
    /// Arrivals with those that come back, per second of the run.
    std::vector<std::uint32_t> asked_per_second;
};

class simulation
{
public:
    simulation(
        scenario const& of, std::vector<program_spec> const& programs,
        policy_factory const& make, std::uint64_t seed);

    run_result run();

private:
    enum class chain_phase : std::uint8_t
    {
        idle,
        queued,
        sent
    };
    struct chain_state
    {
        chain_phase phase = chain_phase::idle;
        call_view call;
        engine_index at = no_engine;
        engine_index last_engine = no_engine;
        std::uint32_t turn = 0;
        std::uint32_t history = 0;
        std::uint32_t sub_agents_open = 0;
        std::uint32_t parent = 0;
        /// The current call has had its first token.
        bool answering = false;
        time_point paused;
    };
    struct program_state
    {
        bool under_way = false;
        bool ended = false;
        std::uint32_t node = 0;
        /// Engine seconds still needed, with every prefix cached.
        double remaining = 0.0;
        /// Being taken over by another node until then.
        time_point frozen_until;
        std::vector<chain_state> chains;
    };
    struct call_place
    {
        std::uint32_t program = 0;
        std::uint32_t chain = 0;
    };

    void arrive(std::uint32_t program, std::uint32_t tries);
    void
    refuse(std::uint32_t program, std::uint32_t tries, duration retry_after);
    void begin(std::uint32_t program);
    void start_turn(call_place place);
    call_view make_call(call_place place);
    void pump(std::uint32_t node);
    void send(dispatch const& chosen);
    void on_first_token(std::uint64_t id);
    void note_wait(call_place place);
    void recall(std::uint32_t node);
    void on_ended(engine_index at, engine_outcome const& outcome);
    void on_failed(call_place place, call_result const& result);
    void on_done(call_place place, engine_outcome const& outcome);
    void finish_turn(call_place place);
    void start_sub_agents(call_place place);
    void begin_pause(call_place place, tool_kind tool);
    void end_chain(call_place place);
    void end_program(std::uint32_t program, program_end how);
    void stop_chains(std::uint32_t program);
    void lose_nodes(std::uint32_t count);
    void take_over(std::uint32_t program);
    void report_to(std::uint32_t node);
    void plan_power();
    std::uint32_t any_node();
    node_policy& policy_of(std::uint32_t program);
    program_view view_of(std::uint32_t program) const;
    world_knowledge knowledge();
    chain_state& state_of(call_place place);
    turn_spec const& turn_of(call_place place) const;
    static cache_key key_of(call_place place);

    scenario const& scenario_;
    std::vector<program_spec> const& specs_;
    event_queue events_;
    backends backends_;
    random_source random_;
    policy_set policy_;
    std::vector<program_state> programs_;
    std::vector<bool> node_lost_;
    std::unordered_map<call_handle, call_place> calls_;
    call_handle next_handle_ = 0;
    std::uint32_t queued_calls_ = 0;
    std::uint32_t refused_lately_ = 0;
    bool faulted_ = false;
    run_result result_;
};

} // namespace walnutmill::bench

#endif

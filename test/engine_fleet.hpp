#ifndef WALNUTMILL_TEST_ENGINE_FLEET_HPP
#define WALNUTMILL_TEST_ENGINE_FLEET_HPP

/// \file
/// Simulates a fleet of model engines behind many nodes, in one process and on
/// a manual clock. The load balancers and the admission control are the real
/// ones, and the engines are modelled. An engine has slots, a queue ordered by
/// rank, and a cache of prompt parts. It reads prompts between the tokens of
/// its batch. A more urgent call preempts the newest of the least urgent calls.

#include <walnutmill/engine_balancer.hpp>

#include "entry/admission_control.hpp"
#include "entry/load_summary.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace walnutmill
{
namespace testing
{

/// A kind of program.
struct program_kind
{
    std::uint32_t rank = 0;
    double per_s = 0;
    int turns = 4;
    std::uint32_t new_tokens = 1'680;
    std::chrono::milliseconds pause{60};
    /// The time limit is this factor times the time on idle engines, plus
    /// \c grace.
    double time_limit_factor = 1.5;
    std::chrono::milliseconds grace{200};
};

/// What nodes know of the engines' speeds.
enum class speed_knowledge
{
    /// Engines report no machine figures.
    none,
    /// Engines report figures, and each node uses those of its own calls.
    own,
    /// Nodes also exchange figures and measured speeds by way of the summing
    /// node.
    shared
};

struct fleet_options
{
    int nodes = 295;
    int domains = 6;
    int engines = 128;
    std::uint32_t slots = 6;
    std::uint64_t cache_tokens = 175'515;
    int shared_prompts = 8;
    std::uint32_t shared_tokens = 12'600;
    std::uint32_t output_tokens = 257;
    std::chrono::milliseconds report_interval{100};
    /// Nodes request the sum before each choice and report the choice at once.
    bool reports_choices = true;
    /// Time for which a sum is reused for further requests.
    std::chrono::milliseconds sum_ttl{5};
    /// Nodes exchange the demand for shared prompts.
    bool shares_demand = true;
    speed_knowledge speeds = speed_knowledge::none;
    /// Factors of the durations of calls, assigned to the engines in turn.
    std::vector<double> duration_factors{1.0};
    /// Share of the time for which an engine's machine is slow, the length of
    /// a slow period, and the factor of durations meanwhile.
    double slow_share = 0;
    std::chrono::milliseconds slow_time{600};
    double slow_factor = 2.5;
    bool use_admission_control = true;
    admission_control_options admission{};
    balancer_options balancer{};
    std::vector<program_kind> kinds;
    std::uint32_t seed = 1;
};

/// Outcomes of the programs of a kind.
struct kind_result
{
    int started = 0;
    int in_time = 0;
    int late = 0;
    /// Refused once, then completed in time, counted from the retry.
    int refused_then_in_time = 0;
    int refused = 0;
};

class engine_fleet
{
public:
    explicit engine_fleet(fleet_options options);

    /// Multiplies the arrival rate of programs by a factor from now on.
    void set_rate(double factor) { rate_ = factor; }
    void run_for(std::chrono::milliseconds time);
    /// Runs until no program is left, for at most 60 s.
    void finish();

    std::vector<kind_result> const& results() const { return results_; }
    /// Prompt tokens read, and those of shared parts among them.
    std::uint64_t tokens_read = 0;
    std::uint64_t shared_tokens_read = 0;
    int preempted = 0;
    /// Calls that arrived while all slots of their engine were in use.
    int sent_to_full = 0;
    int turns = 0;
    /// Calls that were sent to an engine while its machine was slow.
    int sent_to_slow = 0;
    /// Calls sent to each engine.
    std::vector<int> turns_by_engine;
    /// Largest number of calls at one engine at a time.
    std::size_t most_calls_at_engine = 0;
    /// Mean over time and engines of the squared number of calls at an engine,
    /// by the squared mean number: 1 where all have the same number.
    double unevenness() const;

private:
    struct program
    {
        std::size_t kind = 0;
        int domain = 0;
        int shared = 0;
        int turn = 0;
        std::string conversation;
        std::uint32_t own_tokens = 0;
        time_point started_at{};
        double ideal_ms = 0;
        bool refused = false;
        std::vector<prompt_part> prompt;
        std::vector<prefix_cache_location> locations;
    };
    using program_ptr = std::shared_ptr<program>;

    struct running_call
    {
        program_ptr owner;
        int node = 0;
        balancer_request need;
        engine_ref engine{target_name()};
        std::uint32_t rank = 0;
        time_point sent_at{};
        /// Remaining reading time, and tokens that remain to be generated.
        double reading_ms = 0;
        double tokens_left = 0;
        bool first_byte_sent = false;
    };
    using call_ptr = std::shared_ptr<running_call>;

    struct simulated_engine
    {
        std::vector<call_ptr> running;
        std::deque<call_ptr> queue;
        /// Most recently used first.
        std::list<prompt_part> cache;
        std::uint64_t cached = 0;
        double duration_factor = 1;
        /// Times at which the machine turns slow next, and usual again.
        time_point slow_at{};
        time_point usual_at{};
    };

    /// A machine figure or a measured speed as the summing node knows it.
    struct known_figure
    {
        std::uint32_t percent = 0;
        time_point at{};
    };
    struct known_speeds
    {
        std::vector<speed_sample> speeds;
        time_point at{};
    };
    /// Times of a node's latest exchanges of figures and speeds, each way.
    struct exchange_times
    {
        time_point figures_sent{};
        time_point figures_received{};
        time_point speeds_sent{};
        time_point speeds_received{};
        /// Engine from which on the next speeds are sent to the node.
        std::size_t next_speed = 0;
    };

    struct deferred_call
    {
        time_point at{};
        std::function<void()> action;
    };

    void tick();
    void start_programs();
    int node_of(program const& one);
    void admit(program_ptr const& one);
    void send_turn(program_ptr const& one);
    void arrive(std::size_t engine, call_ptr const& one);
    void start(simulated_engine& engine, call_ptr const& one);
    bool preempt(simulated_engine& engine, std::uint32_t rank);
    void advance(simulated_engine& engine);
    void finish_call(call_ptr const& one);
    void end_program(program_ptr const& one);
    void exchange_reports(int node);
    void send_report(int node);
    void receive_sum(int node);
    void send_speeds(int node);
    void receive_speeds(int node);
    std::vector<machine_figure> slowest_figures() const;
    std::vector<speed_sample> summed_speeds() const;
    void update_machines();
    bool is_slow(simulated_engine const& engine) const;
    double slowdown_of(simulated_engine const& engine) const;
    void report_first_byte(simulated_engine const& engine, call_ptr const& one);
    std::uint32_t read_prompt(
        simulated_engine& engine, std::vector<prompt_part> const& parts);
    void cache_part(simulated_engine& engine, prompt_part const& part) const;
    double turn_ms(std::uint32_t unread) const;
    bool is_full(simulated_engine const& engine) const
    {
        return engine.running.size() >= options_.slots;
    }

    fleet_options options_;
    manual_clock clock_;
    random_fn random_;
    std::vector<std::unique_ptr<engine_balancer>> balancers_;
    std::vector<active_ranks> ranks_;
    std::vector<time_point> report_at_;
    std::vector<simulated_engine> engines_;
    std::vector<kind_result> results_;
    load_summary summary_;
    load_report sum_;
    time_point summed_at_{};
    std::list<deferred_call> deferred_;
    double rate_ = 1;
    int active_programs_ = 0;
    int last_program_ = 0;
    /// Apart from that of arrivals, so that arrivals are the same whether or
    /// not machines turn slow.
    random_fn machine_random_;
    std::unordered_map<std::uint32_t, known_figure> figures_;
    std::unordered_map<int, known_speeds> node_speeds_;
    std::vector<exchange_times> exchanges_;
    double calls_sum_ = 0;
    double squared_calls_sum_ = 0;
    std::size_t calls_samples_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_TEST_ENGINE_FLEET_HPP
#define WALNUTMILL_TEST_ENGINE_FLEET_HPP

/// \file
/// A fleet of model engines before many nodes, in one process and on a paused
/// clock: real boards and the real gate on modelled engines. An engine has
/// slots, a queue by rank, a cache of prompt parts, and reads prompts between
/// the tokens of its batch; a more urgent call preempts the newest of the least
/// urgent ones.

#include <walnutmill/engine_board.hpp>

#include "entry/load_summary.hpp"
#include "entry/start_gate.hpp"

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
    /// Its aim is this times its time on idle engines, and \c grace.
    double aim_factor = 1.5;
    std::chrono::milliseconds grace{200};
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
    /// Nodes ask for the sum before each choice, and tell the choice at once.
    bool reports_choices = true;
    /// Time for which a sum serves several askers.
    std::chrono::milliseconds sum_lasts{5};
    /// Nodes tell each other the demand for shared prompts.
    bool tells_demand = true;
    bool gate = true;
    gate_options gate_with{};
    board_options board{};
    std::vector<program_kind> kinds;
    std::uint32_t seed = 1;
};

/// What programs of a kind got.
struct kind_result
{
    int begun = 0;
    int in_aim = 0;
    int late = 0;
    /// Refused once and in time from then on.
    int refused_then_in_aim = 0;
    int refused = 0;
};

class engine_fleet
{
public:
    explicit engine_fleet(fleet_options options);

    /// Programs come at so many times their usual rate from now on.
    void set_rate(double factor) { rate_ = factor; }
    void run_for(std::chrono::milliseconds time);
    /// Runs until no program is left.
    void finish();

    std::vector<kind_result> const& results() const { return results_; }
    /// Prompt tokens read, and those of shared parts among them.
    std::uint64_t tokens_read = 0;
    std::uint64_t shared_tokens_read = 0;
    int preempted = 0;
    /// Calls that found all slots of their engine taken.
    int sent_to_full = 0;
    int turns = 0;

private:
    struct program
    {
        std::size_t kind = 0;
        int domain = 0;
        int shared = 0;
        int turn = 0;
        std::string line;
        std::uint32_t own_tokens = 0;
        time_point began{};
        double ideal_ms = 0;
        bool refused = false;
        std::vector<prompt_part> prompt;
        std::vector<prompt_place> places;
    };
    using program_ptr = std::shared_ptr<program>;

    struct running_call
    {
        program_ptr of;
        int node = 0;
        placement_need need;
        engine_ref engine{target_name()};
        std::uint32_t rank = 0;
        time_point sent_at{};
        /// Time left to read, and tokens left to generate.
        double reading_ms = 0;
        double tokens_left = 0;
    };
    using call_ptr = std::shared_ptr<running_call>;

    struct engine_state_of
    {
        std::vector<call_ptr> running;
        std::deque<call_ptr> queue;
        /// Most recently used first.
        std::list<prompt_part> cache;
        std::uint64_t cached = 0;
    };

    struct later
    {
        time_point at{};
        std::function<void()> what;
    };

    void tick();
    void start_programs();
    int node_of(program const& one);
    void begin(program_ptr const& one);
    void send_turn(program_ptr const& one);
    void arrive(std::size_t engine, call_ptr const& one);
    void start(engine_state_of& engine, call_ptr const& one);
    bool preempt(engine_state_of& engine, std::uint32_t rank);
    void advance(engine_state_of& engine);
    void end(call_ptr const& one);
    void end_program(program_ptr const& one);
    void report(int node);
    void tell(int node);
    void hear(int node);
    std::uint32_t
    read_prompt(engine_state_of& engine, std::vector<prompt_part> const& parts);
    void keep(engine_state_of& engine, prompt_part const& part) const;
    double turn_ms(std::uint32_t unread) const;
    bool full(engine_state_of const& engine) const
    {
        return engine.running.size() >= options_.slots;
    }

    fleet_options options_;
    manual_clock clock_;
    random_fn random_;
    std::vector<std::unique_ptr<engine_board>> boards_;
    std::vector<ranks_under_way> ranks_;
    std::vector<time_point> report_at_;
    std::vector<engine_state_of> engines_;
    std::vector<kind_result> results_;
    load_summary summary_;
    load_report sum_;
    time_point summed_at_{};
    std::list<later> later_;
    double rate_ = 1;
    int under_way_ = 0;
    int last_program_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif

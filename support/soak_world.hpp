#ifndef WALNUTMILL_SUPPORT_SOAK_WORLD_HPP
#define WALNUTMILL_SUPPORT_SOAK_WORLD_HPP

/// \file
/// Entry nodes as real processes between callers and stand-ins, under faults
/// drawn at random; what callers and targets saw is recorded.

#include "entry_world.hpp"
#include "soak_connection.hpp"
#include "soak_history.hpp"
#include "soak_process.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace walnutmill
{
namespace soak
{

/// Tokens that most turns may generate.
constexpr std::uint64_t most_tokens =
    testing::soak_events * testing::soak_tokens_per_event;

struct soak_options
{
    std::uint64_t seed = 1;
    int seconds = 20;
    int nodes = 3;
    int callers = 12;
    /// Routes that nobody calls, added with the first change of the
    /// configuration.
    int idle_routes = 0;
    /// Callers of harmless requests that keep their connections until the last
    /// node is gone.
    int kept_callers = 12;
    /// Only the faults that the seed drew before targets paused: no pauses, no
    /// signals in series over several nodes, no changes of limits, timeouts and
    /// weights, no callers of harmless requests, no workspaces, and engines of
    /// the same speed that don't tell their load.
    bool basic_faults = false;
    /// All nodes are killed at once, at times two to four times in a row, while
    /// programs with small budgets continue their kept turns.
    bool losses = false;
    /// The program whose nodes are run.
    std::string program;
    /// Where nodes' logs go.
    std::string directory;
};

/// A seeded source of chances for several threads.
class dice
{
public:
    explicit dice(std::uint64_t seed) : engine_(seed) {}

    bool chance(double of_one);
    int between(int least, int most);

private:
    std::mutex mutex_;
    std::mt19937_64 engine_;
};

class soak_world : private testing::entry_world
{
public:
    explicit soak_world(soak_options options);

    /// Runs callers under faults, then without.
    void run();

    testing::soak_history const& history() const { return history_; }
    /// Faults and outcomes by name.
    std::map<std::string, int> const& counts() const { return counts_; }
    /// Attempts served by each node after the last fault was over.
    std::vector<int> const& served_after() const { return served_after_; }
    /// For each node, whether it served the route that was added last.
    std::vector<bool> const& has_last_route() const { return has_last_route_; }
    /// For each node, whether the next one resumed a stream that it began.
    std::vector<bool> const& outlived() const { return outlived_; }
    /// For each node, whether it serves harmless calls to targets that end.
    std::vector<bool> const& serves_pool() const { return serves_pool_; }
    /// \return requests under which more targets ended than permitted
    std::vector<std::string> broken_crash_limits();

private:
    struct soak_node
    {
        std::string name;
        testing::reserved_address callers;
        testing::reserved_address ready;
        testing::reserved_address peers;
        std::unique_ptr<child_process> process;
        /// Held by the fault that the node is under.
        std::mutex mutex;
    };
    /// A stream that a caller takes up again.
    struct interrupted_stream
    {
        /// The attempt that received the first event; empty if none did.
        std::string first_attempt;
        int last_event = 0;
        /// The caller says which stream it resumes.
        bool is_named = true;
        /// The caller leaves after the next event.
        bool leaves = false;
    };
    struct program_run
    {
        std::string id;
        std::uint64_t budget = 0;
        /// The most of each of its turns, in tokens.
        std::uint64_t turn_tokens = most_tokens;
        /// The kept turn to go on from.
        std::string last_kept;
        /// Names the turn that the next attempts are made for.
        std::string turn;
        bool keeps = false;
        /// Its workspace, whose key its calls bear; empty without one.
        std::string workspace;
        /// The next attempt is the last one of a call that has to be served.
        bool has_to_be_served = false;
    };

    void add_node(int number);
    void await_ready(soak_node const& one) const;
    void count(std::string const& what);

    // Nodes' logs and troubles.
    static std::int64_t now_ms();
    std::size_t trouble_began(soak_node const& one);
    std::size_t add_trouble(
        soak_node const& one, std::int64_t began_ms, std::int64_t ended_ms);
    void trouble_ended(std::size_t trouble);
    void read_lines();

    nlohmann::json configuration_with_idle_routes() const;
    /// Changes the configuration until the faults end.
    void change_configuration();
    void put_configuration(nlohmann::json document);
    void vary(nlohmann::json& document);
    static std::string added_path(int change);

    /// Draws faults and changes the configuration for the soak's time.
    void play_faults();
    // Each fault ends what it began.
    void draw_fault();
    void disturb_node(soak_node& one, int kind);
    void start_node(soak_node& one);
    void kill_node(soak_node& one);
    void freeze_node(soak_node& one);
    void reload_node(soak_node& one);
    void stop_node(soak_node& one);
    void await_stop(soak_node& one, std::int64_t began_ms);
    /// Sends signals to several nodes, one after another.
    void play_signals();
    void stop_in_series();
    void reload_in_series();
    void end_nodes();
    void store_away();
    void store_loses_answers();
    void target_leaves();
    void engine_released();

    // Targets that pause.
    static void add_pausing_services(nlohmann::json& document);
    void add_pausing_targets();
    void answer_harmless(
        testing::link_ptr const& link, testing::http_request const& request,
        testing::standin_target& at);
    void play_pauses();

    // Engines of different speed whose machines turn slow.
    struct engine_machine
    {
        int base_percent = 100;
        /// How long work takes on the machine now.
        std::atomic<int> percent{100};
        std::atomic<int> running{0};
    };
    void add_machines();
    std::vector<testing::standin_target*> engines();
    std::chrono::milliseconds time_at(
        testing::standin_target const& engine,
        std::chrono::milliseconds usual) const;
    std::shared_ptr<void> begin_call(testing::standin_target const& engine);
    std::string load_header(testing::standin_target const& engine);
    void play_slow_machines();
    // Workspaces with limits.
    static void add_workspaces(nlohmann::json& document);
    void play_hot_workspace();
    void
    call_as_workspace(int workspace, std::chrono::steady_clock::time_point end);

    // Losses of all nodes, and programs that continue afterwards.
    /// A program with a small budget, of which every turn is kept.
    struct small_program
    {
        program_run run;
        /// Turns from which others may continue.
        std::vector<std::string> kept;
        std::int64_t last_turn_ms = 0;
    };
    enum class turn_result
    {
        kept,
        failed,
        refused_for_good
    };
    void play_losses();
    void lose_in_series();
    void lose_all_nodes();
    void restore_node(soak_node& one, int starts);
    void play_recovery();
    bool may_begin_turn() const;
    bool may_try_again(int tries) const;
    void keep_programs(int number);
    small_program draw_program(dice& chances);
    std::optional<small_program> take_parked(std::int64_t most_age_ms);
    void continue_program(small_program& one, dice& chances);
    turn_result small_turn(small_program& one, dice& chances);
    turn_result try_turn(program_run& one, dice& chances);
    void answer_paced(
        testing::link_ptr const& link, testing::http_request const& request,
        testing::standin_target& at);

    // Requests that end their targets.
    static nlohmann::json base_configuration();
    void add_crashing_target();
    void
    end_crashing_target(testing::standin_target& one, std::string const& body);
    void keep_crashing_targets();
    void call_deadly();
    testing::caller_answer call_crashing(int node, std::string const& body);
    std::size_t node_fault_began();
    void node_fault_ended(std::size_t fault);
    bool serves_crashing(int node);

    // Targets.
    void answer_turn(
        testing::link_ptr const& link, testing::http_request const& request,
        testing::standin_target& at);
    void answer_plain(
        testing::link_ptr const& link, testing::http_request const& request,
        testing::standin_target& at);
    bool misbehave(
        testing::link_ptr const& link, testing::http_request const& request,
        testing::standin_target& at);
    void
    ran(testing::http_request const& request,
        testing::standin_target const& at);

    // Callers.
    void call_for(int number);
    void run_program(program_run& one);
    /// \return true where it was served whole
    bool turn(program_run& one);
    bool plain(program_run const& one, testing::call_kind kind);
    testing::recorded_attempt
    attempt(program_run const& one, testing::call_kind kind, int node);
    testing::recorded_attempt attempt(
        program_run const& one, testing::call_kind kind, int node,
        std::string const& path, interrupted_stream const& stream);
    /// \return the headers of the answer
    std::map<std::string, std::string> exchange(
        std::unique_ptr<soak_connection>& connection, int node,
        std::string const& request, std::chrono::milliseconds patience,
        bool leaves, testing::recorded_attempt& to);
    /// A caller that stays at its node until an attempt fails there.
    struct kept_caller
    {
        kept_caller(std::uint64_t seed, int number)
            : chances(seed + static_cast<std::uint64_t>(number) * seed_step)
        {
        }

        static constexpr std::uint64_t seed_step = 1'000'003;
        dice chances;
        int node = 0;
        std::unique_ptr<soak_connection> connection;
    };
    void keep_calling(int number);
    testing::recorded_attempt draw_harmless_call(kept_caller& one, int& path);
    void call_until_served(kept_caller& one);
    void await_next_call(kept_caller& one);
    /// \return true if a stream that one node began goes on at another one
    bool resumes_elsewhere(int first, int second);

    soak_options options_;
    dice dice_;
    // Of their own, so that the faults above are drawn as without them.
    dice pause_dice_;
    dice signal_dice_;
    dice change_dice_;
    dice speed_dice_;
    dice loss_dice_;
    std::mutex mutex_;
    testing::soak_history history_;
    std::map<std::string, int> counts_;
    std::vector<int> served_after_;
    std::vector<bool> has_last_route_;
    std::vector<bool> outlived_;
    std::vector<bool> serves_pool_;
    /// An engine's registration and the version of its software. An engine
    /// that is released registers anew under another id.
    struct registration
    {
        std::string id;
        int releases = 0;
    };
    void register_version(
        testing::standin_target const& engine, std::string const& version);
    std::map<std::string, registration> registrations_;
    std::map<std::string, std::string> version_of_id_;
    int changes_ = 0;
    std::atomic<std::uint64_t> last_id_{0};
    std::atomic<bool> faults_{true};
    std::atomic<bool> calling_{true};
    std::atomic<bool> kept_calling_{true};
    /// When all nodes were back after the last loss; 0 before.
    std::atomic<std::int64_t> back_ms_{0};
    /// Held while all nodes are down.
    std::mutex power_mutex_;
    /// Programs that have stopped and may return.
    std::vector<small_program> parked_;
    struct ended_turn
    {
        std::string id;
        std::int64_t ended_ms = 0;
    };
    /// Last turns of programs, which others may continue.
    std::vector<ended_turn> ended_turns_;
    std::vector<std::thread> program_callers_;
    /// Of the newest configuration.
    std::atomic<int> idle_timeout_ms_{15'000};
    /// By the engines' ids; complete before the first call.
    std::map<std::string, std::shared_ptr<engine_machine>> machines_;
    testing::standin_target engine_c_{"ic"};
    testing::standin_target engine_d_{"id"};
    std::vector<std::unique_ptr<testing::standin_target>> pausing_;
    std::vector<std::unique_ptr<soak_node>> processes_;
    struct crashing_target
    {
        std::unique_ptr<testing::standin_target> target;
        bool has_ended = false;
    };
    /// What a deadly request did, over all of its attempts.
    struct deadly_request
    {
        int ended = 0;
        std::chrono::steady_clock::time_point began{};
        std::chrono::steady_clock::time_point ended_at{};
    };
    /// Guards the members below.
    std::mutex crashing_mutex_;
    std::map<std::string, deadly_request> deadly_;
    struct node_fault
    {
        std::chrono::steady_clock::time_point began;
        /// The maximum while it lasts.
        std::chrono::steady_clock::time_point ended;
    };
    std::vector<node_fault> node_faults_;
    std::vector<crashing_target> crashing_;
};

/// Callers of programs with small budgets.
constexpr int small_programs = 8;
/// Path of kept turns whose events come one after another.
constexpr char const* paced_path = "/kept/paced";

std::string sized_chunk(std::string const& text);
/// \param headers further header lines, each with its end
std::string stream_head(std::string const& id, std::string const& headers = {});

} // namespace soak
} // namespace walnutmill

#endif

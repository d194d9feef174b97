#ifndef WALNUTMILL_TEST_WORKSPACE_COMPETITION_HPP
#define WALNUTMILL_TEST_WORKSPACE_COMPETITION_HPP

/// \file
/// Simulates workspaces whose programs compete for model engines with slots and
/// queues. Nodes decide with the real quota coordinator, workspace shares and
/// admission control; there is no network. One workspace may send a multiple of
/// its usual rate for some seconds. Counts what the callers of each workspace
/// get.

#include "entry/workspace_shares.hpp"

#include <walnutmill/clock.hpp>
#include <walnutmill/quota.hpp>
#include <walnutmill/random.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace walnutmill
{
namespace testing
{

struct competition_options
{
    bool uses_shares = false;
    workspace_shares_options shares{};
    std::uint32_t seed = 1;
    std::size_t nodes = 84;
    std::size_t engines = 48;
    std::size_t slots_per_engine = 12;
    std::size_t workspaces = 84;
    /// Rate of a workspace, by its position k from 1, is proportional to
    /// 1 / k^skew.
    double skew = 1.2;
    /// Programs per second of all workspaces at their usual rates.
    double usual_programs = 98;
    /// Limit as a multiple of the usual rate of requests; 0: no limits.
    double limit_factor = 1.6;
    /// Index of the workspace that sends more for a while.
    std::size_t hot = 0;
    double hot_factor = 7;
    duration hot_from = std::chrono::seconds(6);
    duration hot_to = std::chrono::seconds(14);
    duration arrivals_to = std::chrono::seconds(16);
    /// Time at which all coordinators are replaced by new ones.
    std::optional<duration> coordinators_lost_at{};
};

/// Programs of one workspace that arrived while the hot one sent more.
struct competition_result
{
    std::size_t arrived = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    /// Given up after refusals because the engines were full.
    std::size_t refused = 0;
    /// Given up after refusals because of the workspace's limit.
    std::size_t over_limit = 0;
    /// Refusals for load, also of programs that were served later.
    std::size_t load_refusals = 0;
    /// Lowest load per slot at which a program was refused for load.
    double min_refused_load = 1'000;

    std::size_t served() const { return in_time + late; }
    void add(competition_result const& other);
};

class workspace_competition
{
public:
    explicit workspace_competition(competition_options options);
    workspace_competition(workspace_competition const&) = delete;
    workspace_competition& operator=(workspace_competition const&) = delete;

    /// \return the results by workspace
    std::vector<competition_result> run();

    /// \return the mean load per slot while the hot workspace sent more
    double mean_load() const;
    /// \return the programs that arrive on average at a workspace's usual rate
    /// in the counted time
    double usual_arrivals(std::size_t workspace) const;

private:
    struct program
    {
        std::size_t workspace = 0;
        time_point arrived_at{};
        duration idle_time{0};
        duration turn{0};
        int turns_left = 0;
        int refusals = 0;
        bool begun = false;
        bool counted = false;
    };
    struct engine
    {
        std::size_t running = 0;
        std::queue<std::size_t> waiting;
    };
    struct event
    {
        time_point at{};
        std::uint64_t sequence = 0;
        std::function<void()> action;

        friend bool operator>(event const& a, event const& b)
        {
            return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
        }
    };

    void schedule(duration after, std::function<void()> action);
    void schedule_arrival(std::size_t workspace);
    double rate_of(std::size_t workspace) const;
    void arrive(std::size_t workspace);
    void request_turn(std::size_t index);
    bool may_begin(program const& one, std::size_t node);
    void refuse(std::size_t index, duration retry_after, bool over_limit);
    void run_turn(std::size_t index);
    void start_turn(std::size_t at, std::size_t index);
    void end_turn(std::size_t at, std::size_t index);
    void end_program(program const& one);
    double load_per_slot() const;
    duration elapsed() const { return clock_.now() - started_; }

    competition_options options_;
    manual_clock clock_;
    time_point started_;
    /// Draws arrivals and programs, which are therefore the same whatever is
    /// decided about them.
    random_fn arrival_random_;
    random_fn random_;
    std::vector<double> usual_;
    std::vector<workspace_name> names_;
    std::vector<rate_limit> limits_;
    quota_coordinator coordinator_;
    std::vector<workspace_shares> shares_;
    std::vector<engine> engines_;
    std::vector<program> programs_;
    std::vector<competition_result> results_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t sequence_ = 0;
    std::size_t calls_ = 0;
    double load_sum_ = 0;
    std::size_t load_samples_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif

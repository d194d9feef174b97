#ifndef WALNUTMILL_TEST_QUOTA_CLUSTER_HPP
#define WALNUTMILL_TEST_QUOTA_CLUSTER_HPP

/// \file
/// Simulated cluster whose nodes enforce workspace rate limits together, on a
/// clock that the test advances. Simulates callers, network delay, message loss
/// and partitions, and nodes that are killed or frozen. Counts the requests
/// granted in each window and those that a single token bucket would have
/// granted.

#include "entry/quota_exchange.hpp"

#include <walnutmill/random.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace walnutmill
{
namespace testing
{

struct quota_cluster_options
{
    std::size_t nodes = 85;
    /// Number of nodes with 0.5 cores; the others have 0.12.
    std::size_t strong_nodes = 19;
    std::uint64_t seed = 1;
    /// Fraction of messages that are lost.
    double loss = 0.002;
    quota_bounds bounds{std::chrono::seconds(5), 0.1, 20};
    /// Time until a node detects a partition.
    duration detection_delay = std::chrono::milliseconds(600);
    /// Age of its configuration up to which a node serves callers with keys.
    duration max_configuration_age = std::chrono::milliseconds(4'750);
    /// Answers report the use of the workspace.
    bool reports_use = false;
};

class quota_cluster
{
public:
    struct load
    {
        workspace_name owner;
        rate_limit limit;
        /// Requests per second.
        double demand = 0;
    };
    struct outcome
    {
        std::size_t granted = 0;
        std::size_t over_limit = 0;
        std::size_t undecided = 0;
        /// Requests that a single token bucket would have granted.
        std::size_t granted_by_single_bucket = 0;
        /// Largest number granted in a window, and the number allowed.
        std::size_t max_in_window = 0;
        double allowed_in_window = 0;
        /// Answers that granted or refused without a use.
        std::size_t answers_without_use = 0;
        /// Sum of the uses of the other answers, and their number.
        std::uint64_t use_sum = 0;
        std::size_t uses = 0;
    };

    explicit quota_cluster(quota_cluster_options options);
    quota_cluster(quota_cluster const&) = delete;
    quota_cluster& operator=(quota_cluster const&) = delete;

    void add_load(load spec);
    void set_limit(workspace_name const& owner, rate_limit limit);
    /// Advances the simulation by a time span.
    void run_for(duration span);

    std::size_t nodes() const { return nodes_.size(); }
    std::size_t messages() const { return messages_; }
    /// \return the index of the workspace's preferred coordinator that runs
    std::size_t coordinator_of(workspace_name const& owner) const;
    void kill(std::size_t index);
    /// Restarts a killed node with empty memory.
    void start(std::size_t index);
    /// Stops a node and removes it from the members that the others know.
    void remove(std::size_t index);
    /// Starts a removed node. The others learn of it one after the other,
    /// spread evenly over \a spread.
    void join(std::size_t index, duration spread);
    /// Lets the others learn of a started node one after the other, spread
    /// evenly over \a spread.
    void announce(std::size_t index, duration spread);
    /// Lets a node leave: the others forget it one after the other, spread
    /// evenly over \a spread, while it goes on answering.
    void leave(std::size_t index, duration spread);
    /// Delays all messages that a node receives.
    void slow_down(std::size_t index, duration delay);
    void freeze(std::size_t index);
    void resume(std::size_t index);
    /// Forgets the uses reported so far.
    void reset_uses(workspace_name const& owner);
    /// \return the mean use reported since, in thousandths
    double mean_use(workspace_name const& owner) const;
    /// Separates these nodes from all others and the store, but not from each
    /// other or from callers.
    void partition(std::set<std::size_t> const& separated);
    void heal();

    outcome const& result(workspace_name const& owner) const;

private:
    struct node
    {
        std::string name;
        double strength = 0;
        std::unique_ptr<quota_exchange> quotas;
        bool alive = true;
        bool frozen = false;
        duration added_delay{0};
        /// Nodes that this one does not know as members.
        std::set<std::size_t> unknown;
        std::uint64_t generation = 0;
        /// Actions that run when a frozen node resumes.
        std::vector<std::function<void()>> deferred;
    };
    struct traffic
    {
        load spec;
        outcome result;
        std::deque<time_point> granted;
        double reference_tokens = 0;
        time_point reference_refilled_at{};
        /// Time of the last change of the limit.
        time_point limit_since{};
    };

    void create_node(std::size_t index);
    void update_members(std::size_t index);
    void schedule_at(time_point when, std::function<void()> action);
    /// Runs the action unless the node was restarted or killed; defers it while
    /// the node is frozen.
    void run_on_node(
        std::size_t index, std::uint64_t generation,
        std::function<void()> const& action);
    void send(std::size_t from, std::string const& to, std::string bytes);
    bool is_separated(std::size_t a, std::size_t b) const;
    bool serves(std::size_t index) const;
    double reachable_share_of(std::size_t index) const;
    void schedule_request(traffic& entry);
    void request(traffic& entry);
    static void record_use(traffic& entry, quota_answer const& answer);
    void record_grant(traffic& entry);
    void count_reference_grant(traffic& entry);
    void tick();

    quota_cluster_options options_;
    manual_clock clock_;
    random_fn random_;
    std::vector<node> nodes_;
    std::map<std::string, std::unique_ptr<traffic>> loads_;
    std::multimap<time_point, std::function<void()>> events_;
    std::set<std::size_t> partitioned_;
    time_point partitioned_at_{};
    std::size_t messages_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif

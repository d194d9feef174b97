#ifndef WALNUTMILL_TEST_QUOTA_WORLD_HPP
#define WALNUTMILL_TEST_QUOTA_WORLD_HPP

/// \file
/// Many nodes that keep workspaces' limits together, on a clock that the test
/// advances: a network with delay, loss and cuts, nodes that are killed and
/// frozen, and callers. Counts what was granted in each window, and what a
/// single bucket with all requests would have granted.

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

struct quota_world_options
{
    std::size_t nodes = 85;
    /// Of them with half a core; the others have 0.12.
    std::size_t strong = 19;
    std::uint64_t seed = 1;
    double loss = 0.002;
    quota_bounds bounds{std::chrono::seconds(5), 0.1, 20};
    /// Until a node knows that others are out of its reach.
    duration notices_after = std::chrono::milliseconds(600);
    /// Age of the configuration up to which a node serves keyed callers.
    duration trusted = std::chrono::milliseconds(4'750);
};

class quota_world
{
public:
    struct load
    {
        workspace_name owner;
        rate_limit limit;
        /// Requests a second.
        double demand = 0;
    };
    struct outcome
    {
        std::size_t granted = 0;
        std::size_t over_limit = 0;
        std::size_t undecided = 0;
        /// Requests that a single bucket would have granted.
        std::size_t granted_centrally = 0;
        /// Most granted in a window, and what may be.
        std::size_t most_in_window = 0;
        double allowed_in_window = 0;
    };

    explicit quota_world(quota_world_options options);
    quota_world(quota_world const&) = delete;
    quota_world& operator=(quota_world const&) = delete;

    void add_load(load one);
    void set_limit(workspace_name const& owner, rate_limit limit);
    /// Plays callers and messages for a while.
    void play(duration span);

    std::size_t nodes() const { return nodes_.size(); }
    std::size_t messages() const { return messages_; }
    /// \return the index of the node that coordinates the workspace
    std::size_t coordinator_of(workspace_name const& owner) const;
    void kill(std::size_t at);
    /// Starts a killed node anew, with an empty memory.
    void start(std::size_t at);
    void freeze(std::size_t at);
    void wake(std::size_t at);
    /// Cuts these nodes off from all others and the store, not from each other
    /// nor from callers.
    void cut(std::set<std::size_t> const& some);
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
        std::uint64_t life = 0;
        /// What waits for a frozen node.
        std::vector<std::function<void()>> waiting;
    };
    struct traffic
    {
        load one;
        outcome seen;
        std::deque<time_point> granted;
        double central_tokens = 0;
        time_point central_at{};
        /// The limit has been the same since.
        time_point limit_since{};
    };

    void make(std::size_t at);
    void at_time(time_point when, std::function<void()> what);
    /// Runs for one life of a node, later if it is frozen.
    void for_node(
        std::size_t at, std::uint64_t life, std::function<void()> const& what);
    void send(std::size_t from, std::string const& to, std::string bytes);
    bool separated(std::size_t a, std::size_t b) const;
    bool serves(std::size_t at) const;
    double reach_of(std::size_t at) const;
    void schedule_request(traffic& of);
    void request(traffic& of);
    void note_granted(traffic& of);
    void count_centrally(traffic& of);
    void tick();

    quota_world_options options_;
    manual_clock clock_;
    random_fn random_;
    std::vector<node> nodes_;
    std::map<std::string, std::unique_ptr<traffic>> loads_;
    std::multimap<time_point, std::function<void()>> events_;
    std::set<std::size_t> cut_;
    time_point cut_at_{};
    std::size_t messages_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif

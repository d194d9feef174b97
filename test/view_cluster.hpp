#ifndef WALNUTMILL_TEST_VIEW_CLUSTER_HPP
#define WALNUTMILL_TEST_VIEW_CLUSTER_HPP

/// \file
/// Simulated failure domain whose nodes keep views of the platform, on a clock
/// that the test advances. The store holds a configuration and an engine that
/// change all the time; both carry the number of the change. Nodes leave, die,
/// start again, are suspended, slowed down or cut off from the store.
///
/// A view is overdue if it lacks a change that is older than the bound while
/// nothing has disturbed its node for some time.

#include "entry/platform_view.hpp"

#include "fake_store.hpp"

#include <walnutmill/random.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{
namespace testing
{

struct view_cluster_options
{
    std::size_t nodes = 6;
    std::uint64_t seed = 1;
    /// Time after a disturbance from which the bound holds on its node.
    std::chrono::milliseconds settling_time{4'000};
    /// Interval between reads.
    std::chrono::milliseconds interval{1'000};
    /// Fraction of the store's answers that are lost.
    double lost_answers = 0.6;
};

class view_cluster
{
public:
    explicit view_cluster(view_cluster_options options);
    view_cluster(view_cluster const&) = delete;
    view_cluster& operator=(view_cluster const&) = delete;

    /// Advances the simulation by a time span.
    void run_for(duration span);

    /// \return the node that was queried last, whether it answered or not
    std::size_t reader() const { return reader_; }
    std::size_t random_node();
    duration random_between(duration least, duration most);

    /// Removes the node's row. The node answers for another 4 s, and is then
    /// replaced by a new process.
    void stop_and_restart(std::size_t index);
    void kill_and_restart(std::size_t index, duration down);
    /// Stops the node and its steady clock.
    void suspend(std::size_t index, duration span);
    /// Delays all that the node does.
    void slow_down(std::size_t index, duration lag, duration span);
    void cut_off_from_store(std::size_t index, duration span);
    /// Draws one of the above for a node.
    void disturb(std::size_t index);

    /// \return the largest staleness of the table on an undisturbed node
    duration worst_configuration() const { return worst_configuration_; }
    duration worst_engines() const { return worst_engines_; }
    std::size_t store_reads() const { return store_reads_; }

private:
    struct node
    {
        std::string name;
        double strength = 0;
        std::unique_ptr<line_log> log;
        std::unique_ptr<platform_view> view;
        std::uint64_t incarnation = 0;
        bool alive = false;
        time_point suspended_until{};
        /// Time that its steady clock missed.
        duration suspended_for{0};
        duration lag{0};
        time_point cut_off_until{};
        time_point disturbed_until{};
        std::uint64_t configuration = 0;
        std::uint64_t engines = 0;
    };
    struct event
    {
        std::function<void()> action;
        /// Node and incarnation it runs on; nodes_.size(): the store.
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        bool is_timer = false;
        bool delayed = false;
    };
    struct change
    {
        std::uint64_t number = 0;
        time_point at{};
    };

    void start(std::size_t index);
    random_fn random_of(std::size_t index) const;
    platform_view::hooks hooks_of(std::size_t index);
    versioned_store store_of(std::size_t index);
    void read(
        std::size_t index, row_range const& range,
        std::function<void(range_result)> const& done);
    void
    ask(std::size_t index, std::string const& address, std::string query,
        platform_view::peer_answer_fn done);
    void add_event(
        std::size_t index, duration after, std::function<void()> action,
        bool is_timer = false);
    void dispatch(event one);
    void disturb_until(std::size_t index, time_point until);
    void change_rows();
    void
    put(std::string const& table, std::string const& key, std::string text);
    void check();
    /// \return time since the first change that the table lacks
    duration staleness_of(std::uint64_t known) const;
    time_point now() const { return clock_.now(); }

    view_cluster_options options_;
    manual_clock clock_;
    random_fn random_;
    std::vector<node> nodes_;
    std::multimap<time_point, event> events_;
    fake_store rows_;
    std::size_t reader_ = 0;
    std::deque<change> changes_;
    std::size_t store_reads_ = 0;
    duration worst_configuration_{0};
    duration worst_engines_{0};
};

} // namespace testing
} // namespace walnutmill

#endif

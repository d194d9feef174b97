#ifndef WALNUTMILL_TEST_STREAM_CLUSTER_HPP
#define WALNUTMILL_TEST_STREAM_CLUSTER_HPP

/// \file
/// Simulated cluster whose nodes serve streams of engines of several software
/// versions, on a clock that the test advances. Engines are replaced, versions
/// come, go and return. Nodes are killed, frozen and cut off, answers and
/// transactions of the store are lost or late. Callers resume their streams at
/// any node, some without naming the stream.

#include "entry/origin_exchange.hpp"
#include "entry/version_register.hpp"

#include "fake_store.hpp"

#include <walnutmill/random.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{
namespace testing
{

struct stream_cluster_options
{
    std::size_t nodes = 12;
    std::size_t domains = 4;
    std::size_t engines = 14;
    std::uint64_t seed = 1;
    /// New streams a second.
    double streams_per_s = 60;
    /// Fraction of datagrams that are lost.
    double loss = 0.005;
    /// Fraction of resuming callers that don't name their stream.
    double unnamed = 0.1;
    /// Fraction of streams whose connection breaks by itself.
    double broken = 0.03;
    /// Fraction of broken streams that are resumed at the first node.
    double resumed_at_first = 0;
    /// Calls that reach a frozen node wait there until it goes on, and are
    /// handled in any order with the answers of the store.
    bool frozen_nodes_queue = false;
    /// Largest age of a node's view of the engines while it is in touch.
    std::chrono::milliseconds max_view_age{700};
    version_register_options versions{};
    origin_exchange_options origins{};
};

class stream_cluster
{
public:
    /// Streams that callers resumed.
    struct outcome
    {
        std::size_t begun = 0;
        std::size_t not_begun = 0;
        std::size_t resumed = 0;
        std::size_t refused = 0;
        /// Streams resumed at another version than the one they began at.
        std::size_t mixed = 0;
        /// Of the resumptions by callers that name their stream, at a node in
        /// touch, while two engines of the version serve.
        std::size_t owed = 0;
        std::size_t owed_resumed = 0;
        /// Resumptions, also refused ones, at a node that is disturbed.
        std::size_t at_disturbed = 0;
    };

    explicit stream_cluster(stream_cluster_options options);
    stream_cluster(stream_cluster const&) = delete;
    stream_cluster& operator=(stream_cluster const&) = delete;

    void run_for(duration span);
    outcome const& result() const { return result_; }
    std::size_t datagrams() const { return datagrams_; }
    std::size_t datagram_bytes() const { return datagram_bytes_; }
    std::size_t store_reads() const { return store_reads_; }
    std::size_t store_writes() const { return store_writes_; }
    /// \return the largest number of origins that a node holds
    std::size_t max_origins() const;

    /// Replaces engines by ones of another version, one after the other.
    void release(std::string const& version, double share, duration gap);
    /// Removes the engines of all versions but one.
    void keep_only(std::string const& version);
    void kill(std::size_t index, duration down);
    void freeze(std::size_t index, duration span);
    void cut_off_from_store(std::size_t index, duration span);
    /// Separates the node from all other nodes.
    void cut_off_from_nodes(std::size_t index, duration span);
    /// The node's list of the engines stays as it is.
    void keep_engines(std::size_t index, duration span);
    void take_store_away(duration span);
    /// Breaks the connections of a node's callers.
    void reset_connections(std::size_t index);
    /// Draws a fault.
    void disturb();
    std::size_t random_node();
    std::size_t node_count() const { return nodes_.size(); }

private:
    struct engine
    {
        std::string id;
        std::string version;
    };
    struct stream
    {
        std::string id;
        std::string version;
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        bool is_named = true;
        int attempts = 0;
        bool ended = false;
    };
    using stream_ptr = std::shared_ptr<stream>;
    struct node
    {
        std::string name;
        std::string domain;
        std::unique_ptr<origin_exchange> origins;
        std::unique_ptr<version_register> versions;
        std::vector<engine> view;
        std::uint64_t incarnation = 0;
        bool alive = false;
        time_point frozen_until{};
        time_point no_store_until{};
        time_point no_nodes_until{};
        time_point no_engines_until{};
        time_point disturbed_until{};
    };

    void start(std::size_t index);
    void tick(std::size_t index);
    void read_engines(std::size_t index);
    versioned_store store_of(std::size_t index);
    /// Runs an action on a node, unless that has been killed since; after its
    /// freeze if it is frozen.
    void on_node(
        std::size_t index, std::uint64_t incarnation, duration after,
        std::function<void()> action);
    void at(time_point when, std::function<void()> action);
    void send(std::size_t from, std::string const& to, std::string bytes);
    bool reaches_store(std::size_t index) const;
    void disturb_until(std::size_t index, time_point until);

    void begin_streams();
    void begin(std::size_t index);
    void serve(std::size_t index, stream_ptr const& one);
    void lose(stream_ptr const& one);
    void resume(stream_ptr const& one);
    void resume_on(std::size_t index, stream_ptr const& one);
    void resume_at(
        std::size_t index, stream_ptr const& one,
        std::optional<std::string> const& version);
    std::vector<engine>
    engines_of(std::size_t index, std::string const& version) const;

    double draw() { return random_(); }
    duration between(duration least, duration most);
    time_point now() const { return clock_.now(); }

    stream_cluster_options options_;
    manual_clock clock_;
    random_fn random_;
    fake_store rows_;
    std::vector<node> nodes_;
    std::vector<engine> engines_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<stream_ptr> active_;
    time_point store_away_until_{};
    std::uint64_t last_engine_ = 0;
    std::uint64_t last_stream_ = 0;
    outcome result_;
    std::size_t datagrams_ = 0;
    std::size_t datagram_bytes_ = 0;
    std::size_t store_reads_ = 0;
    std::size_t store_writes_ = 0;
};

} // namespace testing
} // namespace walnutmill

#endif

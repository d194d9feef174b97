#ifndef WALNUTMILL_SRC_ENTRY_ORIGIN_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_ORIGIN_EXCHANGE_HPP

/// \file
/// Keeps the origins of this node's streams, copies them to other nodes and
/// looks up those of streams that other nodes began.
///
/// Load pattern: callers resume a stream at another node while the one that
/// began it is dead, frozen or cut off, thousands at once when many nodes fail
/// together. Without the copies the origin of a stream would be lost with its
/// node. Rows of the store instead would take a write for each stream before
/// its first event, 26,000 a second.
///
/// A stream's copies go to nodes chosen by rendezvous hashing, each in another
/// failure domain as far as there are enough. Copies are not acknowledged: a
/// stream without any copy left is refused, not resumed elsewhere.

#include <walnutmill/stream_origin.hpp>

#include "entry/cluster_section.hpp"
#include "entry/origin_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

struct origin_exchange_options
{
    /// Copies of a stream's origin beside the one of the node that began it.
    /// With a third of 390 nodes lost at once, one stream in 27 of those that
    /// lost their node loses all copies.
    std::size_t copies = 3;
    /// Nodes asked for a stream. More than the copies, because members that
    /// joined or left since then change the order of the nodes.
    std::size_t queried = 8;
    /// Delay after which an unanswered query is sent again.
    std::chrono::milliseconds resend_after{60};
    /// Time until a query ends without all answers: two round trips between
    /// regions.
    std::chrono::milliseconds timeout{180};
    /// Maximum number of pending queries.
    std::size_t max_pending = 4'096;
    /// Maximum number of streams that publish() copies, the newest: the calls
    /// in flight of a busy node and those of the last seconds.
    std::size_t max_published = 512;
    stream_table_options table;
};

class origin_exchange
{
public:
    struct hooks
    {
        /// Sends a datagram to IP:PORT; delivery is not guaranteed.
        std::function<void(std::string const& address, std::string bytes)> send;
        /// Runs the function after the given delay.
        std::function<void(duration after, std::function<void()>)>
            schedule_after;
    };

    /// \param origin empty if no queried node knows the stream
    using answer_fn =
        std::function<void(std::optional<stream_origin> const& origin)>;

    origin_exchange(
        clock_fn clock, std::string self, std::string domain, hooks callbacks,
        origin_exchange_options options = {});
    ~origin_exchange();
    origin_exchange(origin_exchange const&) = delete;
    origin_exchange& operator=(origin_exchange const&) = delete;

    /// \param others all members except this node
    void set_nodes(std::vector<entry_member> others);

    /// Keeps the origin of a stream that this node serves.
    void record(stream_key stream, stream_origin const& origin);
    /// Sends copies of a stream's origin to other nodes.
    void copy(stream_key stream, stream_origin const& origin);
    /// Sends copies of this node's streams of a service to other nodes.
    void publish(service_name const& service);

    /// \return the origin if this node has it
    std::optional<stream_origin> find_local(stream_key stream) const;
    /// Queries other nodes.
    /// \param done called once, possibly before this returns
    void find(stream_key stream, answer_fn done);

    /// Processes a received datagram.
    /// \param reply sends a datagram to its sender
    /// \return false if the datagram is not a message of this protocol
    bool handle(
        std::string_view bytes, std::function<void(std::string)> const& reply);

    /// \return the number of streams whose origin this node has
    std::size_t size() const { return own_.size() + copies_.size(); }

private:
    struct peer
    {
        std::string node;
        std::string address;
        std::string domain;
        std::uint64_t name_hash = 0;
    };
    struct pending_query
    {
        stream_key stream = 0;
        answer_fn done;
        /// Nodes that have not answered, with their addresses.
        std::unordered_map<std::string, std::string> unanswered;
    };

    std::vector<peer const*>
    nodes_for(stream_key stream, std::string_view excluded_domain) const;
    void send_query(std::uint64_t query);
    void finish(std::uint64_t query, std::optional<stream_origin> const& found);
    void handle_answer(origin_message const& message);

    std::string self_;
    std::string domain_;
    hooks hooks_;
    origin_exchange_options options_;
    /// Streams that this node serves, and copies of others. Apart, so that
    /// copies from many nodes do not displace own streams.
    stream_table own_;
    stream_table copies_;
    std::vector<peer> peers_;
    std::uint64_t last_query_ = 0;
    std::unordered_map<std::uint64_t, pending_query> pending_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

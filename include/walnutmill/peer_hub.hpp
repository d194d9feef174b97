#ifndef WALNUTMILL_PEER_HUB_HPP
#define WALNUTMILL_PEER_HUB_HPP

/// \file
/// Links between nodes: requests with events and one reply, and one-way
/// notes, as CBOR frames over websocketpp.
///
/// What is protected: both ends prove with HMAC-SHA256 that they hold the
/// shared key before any frame is taken. The proofs cover fresh nonces of
/// both ends and the dialled address, so a captured handshake is refused on
/// any other connection and at any other node. Each frame carries its number
/// and a MAC under a key of its connection and direction, so a frame that is
/// changed, repeated, left out or moved ends the link.
///
/// What is not: bodies are not encrypted. Whoever holds the shared key can
/// speak as any node. Traffic can be cut or delayed.

#include <walnutmill/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace walnutmill
{

/// Answers one request of a peer; copies share the request.
struct peer_responder
{
    /// Sends an interim event, for example streamed text.
    std::function<void(std::string_view body)> event;
    /// Sends the one final reply.
    std::function<void(std::string_view body)> reply;
    /// Whether the asker has gone or has cancelled.
    std::function<bool()> gone;
};

struct peer_hub_options
{
    /// IP number to listen at; others dial exactly this text with the port.
    /// Dialled under another one (unless it is 0.0.0.0 or ::) a node refuses
    /// the handshake.
    std::string address = "127.0.0.1";
    /// Zero picks a free port.
    std::uint16_t port = 0;
    std::string key;
    /// "IP:PORT" that others dial, where it is not the one listened at, for
    /// example behind a forwarder. Empty: address and port.
    std::string advertise;
    /// Longest body; a longer one is refused as too_large.
    std::size_t max_frame_bytes = 8u << 20;
    /// Requests under way: asked by this node, and of each peer.
    std::size_t max_pending_requests = 4'096;
    /// Bytes waiting in one link. Beyond it notes are dropped, requests are
    /// refused as overloaded, and a link whose peer does not take its replies
    /// is ended.
    std::size_t max_send_buffer_bytes = 32u << 20;
    /// A link with requests under way is pinged this often.
    std::chrono::milliseconds ping_interval{500};
    /// A link with requests under way that is silent for longer is ended, so
    /// that requests to a frozen peer end within this time and one interval.
    std::chrono::milliseconds silence_limit{3'000};
    /// Links without use are ended after this time.
    std::chrono::milliseconds idle_limit{60'000};
};

/// Cancels a request; calling it after the reply does nothing.
using cancel_fn = std::function<void()>;

/// All links of one node. Thread-safe; handlers run on the hub's thread and
/// must not block.
class peer_hub
{
public:
    using request_handler =
        std::function<void(std::string_view body, peer_responder responder)>;
    using note_handler = std::function<void(std::string_view body)>;
    using event_fn = std::function<void(std::string_view body)>;
    using reply_fn = std::function<void(result<std::string>)>;

    explicit peer_hub(peer_hub_options options);
    /// Closes all links; pending requests end as unavailable.
    ~peer_hub();
    peer_hub(peer_hub const&) = delete;
    peer_hub& operator=(peer_hub const&) = delete;

    /// Sets handlers by topic; call before start().
    void on_request(std::string topic, request_handler handler);
    void on_note(std::string topic, note_handler handler);
    /// Listens and starts the hub's thread.
    /// \return the port, or errc::unavailable when it cannot listen.
    result<std::uint16_t> start();

    /// Asks the node at "host:port"; a link is opened on demand. `reply` is
    /// called exactly once. When the link cannot be opened, breaks or falls
    /// silent, it gets unavailable with certainty not_run if no byte of the
    /// request was handed to the link, else outcome_unknown. After a failed
    /// attempt requests are refused until the next one is due (100 ms,
    /// doubled up to 5 s). Cancelled, it gets canceled at once, with the same
    /// certainties.
    cancel_fn request(
        std::string_view address, std::string_view topic, std::string body,
        event_fn event, reply_fn reply);
    /// Sends a note; it is dropped when the link is down or too slow.
    void
    note(std::string_view address, std::string_view topic, std::string body);
    /// Bytes sent to and received from peers since the start.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class implementation;
    // Shared with responders, which may outlive the hub.
    std::shared_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_PEER_HUB_HPP
#define WALNUTMILL_PEER_HUB_HPP

/// \file
/// Links between nodes: requests with events and one reply, and one-way
/// notes, as CBOR frames over websocketpp. Both ends prove that they hold the
/// shared key before any frame is taken.

#include <walnutmill/result.hpp>

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
    std::string address = "127.0.0.1";
    /// Zero picks a free port.
    std::uint16_t port = 0;
    std::string key;
    std::size_t max_frame_bytes = 8u << 20;
    std::size_t max_pending_requests = 4'096;
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

    /// Asks the node at "host:port". `reply` is called exactly once, with
    /// certainty not_run if no byte of the request was handed to the link,
    /// else outcome_unknown, when the link breaks.
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
    std::unique_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_PEER_SOCKETS_HPP
#define WALNUTMILL_SRC_PEER_SOCKETS_HPP

/// \file
/// WebSocket links on one thread, both dialled and taken; the one place that
/// includes websocketpp.

#include <walnutmill/clock.hpp>
#include <walnutmill/result.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace walnutmill
{
namespace detail
{

/// Number of a link, never used again.
using link_id = std::uint64_t;

/// What happens to links; all run on the thread of run().
struct socket_events
{
    /// A link is open; `dialled` tells which end this is.
    std::function<void(link_id link, bool dialled)> opened;
    std::function<void(link_id link, std::string_view message)> message;
    /// The other end answered a ping.
    std::function<void(link_id link)> pong;
    /// The link has ended or could not be opened; not told after close().
    std::function<void(link_id link)> closed;
};

/// post() may be called from any thread, all else from that of run(), and
/// listen() before it.
class peer_sockets
{
public:
    explicit peer_sockets(socket_events events);
    ~peer_sockets();
    peer_sockets(peer_sockets const&) = delete;
    peer_sockets& operator=(peer_sockets const&) = delete;

    /// \return the port.
    result<std::uint16_t>
    listen(std::string const& address, std::uint16_t port);
    /// Runs until stop().
    void run();
    /// Runs what was posted so far, also after stop(), without waiting.
    void poll();
    void stop();
    void post(std::function<void()> work);
    /// Runs `work` again and again.
    void every(duration interval, std::function<void()> const& work);

    /// Begins to open a link to "host:port"; zero when that is no address.
    link_id dial(std::string const& address);
    void send(link_id link, std::string_view message);
    void ping(link_id link);
    /// Ends the link at once.
    void close(link_id link);
    /// Bytes handed to send() that the socket has not taken yet.
    std::size_t buffered(link_id link) const;
    /// Longer messages end the link.
    void set_max_message_bytes(link_id link, std::size_t bytes);

    /// Bytes with frame headers, since the start; from any thread.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace detail
} // namespace walnutmill

#endif

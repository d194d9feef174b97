#ifndef WALNUTMILL_SRC_ENTRY_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_EXCHANGE_HPP

/// \file
/// What the clients of the store and of other nodes run on: short HTTP
/// exchanges, a clock and timers. Tests replace them by a simulated network.

#include <walnutmill/clock.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace walnutmill
{

/// Result of an exchange.
struct http_reply
{
    /// A complete answer was received.
    bool answered = false;
    /// The server may have read the request.
    bool sent = false;
    /// 0: the head of the answer was not received.
    int status = 0;
    /// As much as was received.
    std::string body;
    /// Time from the call to the end of its exchange; zero after a timeout.
    duration took{0};
};

/// Sends a complete HTTP request to IP:PORT.
/// \param timeout time until the exchange ends without an answer
/// \param done called once, asynchronously
using exchange_fn = std::function<void(
    std::string const& address, std::string request, duration timeout,
    std::function<void(http_reply)> done)>;

/// Calls a function after a delay, asynchronously also without one.
using schedule_fn =
    std::function<void(duration after, std::function<void()> what)>;

struct exchange_runtime
{
    exchange_fn exchange;
    clock_fn clock;
    schedule_fn schedule_after;
};

/// \return exchanges over TCP, with a pool of connections of their own
exchange_runtime network_runtime(boost::asio::io_context& io);

} // namespace walnutmill

#endif

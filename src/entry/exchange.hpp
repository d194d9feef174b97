#ifndef WALNUTMILL_SRC_ENTRY_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_EXCHANGE_HPP

/// \file
/// What the clients of the store and of other nodes run on: short HTTP
/// exchanges, a clock and timers. Tests replace them by a simulated network.

#include <walnutmill/clock.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace walnutmill
{

/// Longest pause in a transfer that has begun. Packets wait up to half a second
/// at a link that is not overloaded.
constexpr std::chrono::milliseconds max_transfer_pause{500};

/// How long an exchange may take. It ends when a pause exceeds its limit, not
/// after a fixed time: how long a transfer takes depends on its size, on the
/// link and on what else the link carries.
struct exchange_limits
{
    /// Until the answer begins, from the last byte of the request that was
    /// sent.
    duration response{0};
    /// Between the bytes of the answer.
    duration pause = max_transfer_pause;
    /// For the whole exchange.
    duration total = duration::max();
};

/// \return limits of an exchange whose request and answer are small
inline exchange_limits small_exchange(duration total)
{
    return {total, total, total};
}

/// A complete HTTP request.
struct exchange_request
{
    /// IP:PORT
    std::string address;
    std::string bytes;
    exchange_limits limits;
    /// Called when bytes of the answer arrive. May be null.
    std::function<void()> on_progress{};
};

/// Result of an exchange.
struct exchange_reply
{
    /// A complete answer was received.
    bool answered = false;
    /// The server may have read the request.
    bool sent = false;
    /// 0: the head of the answer was not received.
    int status = 0;
    /// As much as was received.
    std::string body;
    /// Time from the call until its answer began; zero if it did not.
    duration latency{0};
};

/// Sends a request.
/// \param done called once, asynchronously
using exchange_fn = std::function<void(
    exchange_request request, std::function<void(exchange_reply)> done)>;

/// Tells by the progress of an exchange when its limits are exceeded.
class exchange_watch
{
public:
    exchange_watch(exchange_limits limits, time_point began)
        : limits_(limits), began_(began), last_progress_(began)
    {
    }

    void on_sent(time_point now) { last_progress_ = now; }
    void on_received(time_point now)
    {
        last_progress_ = now;
        if (!answer_began_at_)
            answer_began_at_ = now;
    }

    /// \return when the exchange ends unless there is progress before
    time_point expiry() const;
    /// \return see exchange_reply::latency
    duration latency() const
    {
        return answer_began_at_ ? *answer_began_at_ - began_ : duration(0);
    }

private:
    exchange_limits limits_;
    time_point began_;
    time_point last_progress_;
    std::optional<time_point> answer_began_at_;
};

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

#ifndef WALNUTMILL_TEST_ENDLESS_SERVER_HPP
#define WALNUTMILL_TEST_ENDLESS_SERVER_HPP

/// \file
/// A server in trouble: it answers a request with bytes that do not end until
/// its peer closes the connection.

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace walnutmill
{
namespace testing
{

/// What the server sends after a request.
struct endless_answer
{
    /// Sent first. "$id" stands for the request's id.
    std::string begin;
    /// Sent again and again. "$counter" stands for a number of eight
    /// digits that increases.
    std::string piece;
    /// Number of pieces; further ones would only slow the test.
    std::size_t pieces = std::size_t(-1);
    /// Sent after the pieces.
    std::string end{};
    /// Pause before each piece.
    std::chrono::milliseconds pause{0};
};

/// Serves one connection after the other, on its own thread. It stops sending
/// by itself after some 48 MB or 1.5 s without pauses of its own.
class endless_server
{
public:
    explicit endless_server(endless_answer answer)
        : answer_(std::move(answer)),
          acceptor_(
              io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          thread_([this] { serve(); })
    {
    }
    ~endless_server()
    {
        stopping_ = true;
        boost::system::error_code ignored; // the thread may have ended
        boost::asio::io_context io;
        tcp::socket(io).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    endless_server(endless_server const&) = delete;
    endless_server& operator=(endless_server const&) = delete;

    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return acceptor_.local_endpoint();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint().port());
    }
    int connections() const { return connections_; }
    /// \return the most bytes that were sent on one connection
    std::size_t sent() const { return sent_; }

    static constexpr std::size_t max_sent_bytes = 48'000'000;
    /// Bytes that the kernel may hold between the server and its peer.
    static constexpr std::size_t kernel_bytes = 8'000'000;

private:
    using tcp = boost::asio::ip::tcp;
    using steady = std::chrono::steady_clock;

    void serve()
    {
        for (;;)
        {
            boost::system::error_code error;
            tcp::socket socket(io_);
            acceptor_.accept(socket, error);
            if (stopping_ || error)
                return;
            ++connections_;
            answer_request(socket);
        }
    }

    static std::string in_eight_digits(std::size_t number)
    {
        auto const digits = std::to_string(number);
        return std::string(8 - std::min<std::size_t>(digits.size(), 8), '0') +
               digits;
    }

    static std::string
    with(std::string text, std::string const& name, std::string const& value)
    {
        for (auto at = text.find(name); at != std::string::npos;
             at = text.find(name, at + value.size()))
            text.replace(at, name.size(), value);
        return text;
    }

    void answer_request(tcp::socket& socket)
    {
        constexpr int send_buffer_bytes = 65'536;
        socket.set_option(
            boost::asio::socket_base::send_buffer_size(send_buffer_bytes));
        boost::system::error_code error;
        std::string head;
        boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", error);
        if (error)
            return;
        std::string id;
        auto const at = head.find("Request-Id: ");
        if (at != std::string::npos)
            id = head.substr(at + 12, head.find('\r', at) - at - 12);
        std::size_t sent = 0;
        auto const send = [&](std::string const& bytes)
        {
            sent +=
                boost::asio::write(socket, boost::asio::buffer(bytes), error);
            sent_ = std::max<std::size_t>(sent_, sent);
        };
        send(with(answer_.begin, "$id", id));
        send_pieces(socket, send, sent, error);
        if (!error)
            send(answer_.end);
        // The peer closes the connection, or the test ends.
        auto const end = steady::now() + std::chrono::milliseconds(1'500);
        char byte = 0;
        socket.non_blocking(true, error);
        while (!stopping_ && steady::now() < end)
        {
            socket.read_some(boost::asio::buffer(&byte, 1), error);
            if (error && error != boost::asio::error::would_block)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }

    void send_pieces(
        tcp::socket& socket,
        std::function<void(std::string const&)> const& send,
        std::size_t const& sent, boost::system::error_code const& error)
    {
        (void)socket;
        auto const end = steady::now() + std::chrono::milliseconds(1'500);
        auto const is_paced = answer_.pause.count() > 0;
        std::size_t number = 0;
        while (number < answer_.pieces && !error && !stopping_ &&
               (is_paced || (sent < max_sent_bytes && steady::now() < end)))
        {
            if (is_paced)
                std::this_thread::sleep_for(answer_.pause);
            std::string block;
            do
                block +=
                    with(answer_.piece, "$counter", in_eight_digits(++number));
            while (!is_paced && block.size() < 16'384 &&
                   number < answer_.pieces);
            send(block);
        }
    }

    endless_answer answer_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<int> connections_{0};
    std::atomic<std::size_t> sent_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace testing
} // namespace walnutmill

#endif

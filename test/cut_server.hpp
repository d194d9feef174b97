#ifndef WALNUTMILL_TEST_CUT_SERVER_HPP
#define WALNUTMILL_TEST_CUT_SERVER_HPP

/// \file
/// A server that closes or resets its connection at a set byte of its answer.

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>

namespace walnutmill
{
namespace testing
{

enum class cut_kind
{
    /// Orderly: all bytes arrive, then the end of the connection.
    close,
    reset,
    /// Orderly, then a reset of what the peer still sends.
    close_then_reset
};

/// What the server sends after a request, and how it then ends the connection.
struct cut_answer
{
    /// "$id" stands for the request's id.
    std::string bytes;
    cut_kind end = cut_kind::close;
    /// Leaves the request's body unread, or reads it behind the answer where
    /// the connection is closed orderly.
    bool reads_head_only = false;
};

/// Serves one connection after the other, on its own thread.
class cut_server
{
public:
    cut_server()
        : acceptor_(
              io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          thread_([this] { serve(); })
    {
    }
    ~cut_server()
    {
        stopping_ = true;
        boost::system::error_code ignored; // the thread may have ended
        boost::asio::io_context io;
        tcp::socket(io).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    cut_server(cut_server const&) = delete;
    cut_server& operator=(cut_server const&) = delete;

    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return acceptor_.local_endpoint();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint().port());
    }
    void answer_with(cut_answer answer)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        answer_ = std::move(answer);
    }
    /// \return the number of requests read
    int requests() const { return requests_; }

private:
    using tcp = boost::asio::ip::tcp;

    void serve()
    {
        for (;;)
        {
            boost::system::error_code error;
            tcp::socket socket(io_);
            acceptor_.accept(socket, error);
            if (stopping_ || error)
                return;
            answer_request(socket);
        }
    }

    static std::string
    field_of(std::string const& head, std::string const& name)
    {
        auto const at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        auto const begin = at + name.size() + 4;
        return head.substr(begin, head.find('\r', begin) - begin);
    }

    void answer_request(tcp::socket& socket)
    {
        cut_answer answer;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            answer = answer_;
        }
        boost::system::error_code error;
        if (answer.reads_head_only && answer.end != cut_kind::close)
        {
            // The rest of a long body stays at the peer.
            constexpr int small_buffer_bytes = 4'096;
            socket.set_option(boost::asio::socket_base::receive_buffer_size(
                small_buffer_bytes));
        }
        std::string request;
        auto const head_size = boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return;
        auto const head = request.substr(0, head_size);
        auto const length = field_of(head, "Content-Length");
        if (!answer.reads_head_only && !length.empty())
        {
            auto const left = std::stoul(length) + head_size - request.size();
            boost::asio::read(
                socket, boost::asio::dynamic_buffer(request),
                boost::asio::transfer_exactly(left), error);
        }
        ++requests_;
        auto const id = field_of(head, "Request-Id");
        for (auto at = answer.bytes.find("$id"); at != std::string::npos;
             at = answer.bytes.find("$id"))
            answer.bytes.replace(at, 3, id);
        boost::asio::write(socket, boost::asio::buffer(answer.bytes), error);
        if (answer.end == cut_kind::reset)
        {
            if (answer.reads_head_only)
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            socket.close(error);
            return;
        }
        socket.shutdown(tcp::socket::shutdown_send, error);
        if (answer.end == cut_kind::close_then_reset)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            socket.close(error);
            return;
        }
        if (answer.reads_head_only)
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        constexpr std::chrono::seconds patience_for_request{2};
        await_close(
            socket, answer.reads_head_only ? patience_for_request
                                           : std::chrono::milliseconds(200));
    }

    /// Reads until the peer closes, so that no unread byte resets the
    /// connection.
    /// \param patience longest time without a byte
    void await_close(tcp::socket& socket, std::chrono::milliseconds patience)
    {
        auto end = std::chrono::steady_clock::now() + patience;
        std::array<char, 4'096> chunk{};
        boost::system::error_code error;
        socket.non_blocking(true, error);
        while (!stopping_ && std::chrono::steady_clock::now() < end)
        {
            socket.read_some(boost::asio::buffer(chunk), error);
            if (!error)
            {
                end = std::chrono::steady_clock::now() + patience;
                continue;
            }
            if (error != boost::asio::error::would_block)
                return;
            std::this_thread::sleep_for(std::chrono::microseconds(100));
        }
    }

    std::mutex mutex_;
    cut_answer answer_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::atomic<int> requests_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace testing
} // namespace walnutmill

#endif

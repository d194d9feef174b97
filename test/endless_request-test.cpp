/// \file
/// Requests without end: what a connection from a caller reads of them until it
/// refuses the request.

#include "entry/caller_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace
{

using namespace walnutmill;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t max_header_bytes = 4'096;
constexpr std::size_t max_body_bytes = 100'000;
/// The link's read-ahead limit, its last read, and what the kernel may hold.
constexpr std::size_t max_unparsed_bytes = 65'536 + 16'384 + 1'500'000;

/// A caller's socket and the node's side of its connection, on one event loop.
struct endless_request_fixture
{
    asio::io_context io;
    tcp::socket caller{io};
    std::shared_ptr<caller_link> link;
    int requests = 0;
    int refused = 0;
    bool ended = false;
    std::size_t sent = 0;

    endless_request_fixture()
    {
        constexpr int buffer_bytes = 65'536;
        tcp::endpoint const any(asio::ip::address_v4::loopback(), 0);
        tcp::acceptor acceptor(io);
        acceptor.open(any.protocol());
        acceptor.set_option(
            asio::socket_base::receive_buffer_size(buffer_bytes));
        acceptor.bind(any);
        acceptor.listen();
        caller.open(any.protocol());
        caller.set_option(asio::socket_base::send_buffer_size(buffer_bytes));
        caller.connect(acceptor.local_endpoint());
        caller.non_blocking(true);
        caller_link::hooks hooks;
        hooks.on_request = [this](
                               std::shared_ptr<caller_link> const&,
                               caller_link::request_type&&) { ++requests; };
        hooks.refuse = [this](int status, std::string_view)
        {
            refused = status;
            return std::string();
        };
        hooks.limits = []
        {
            caller_limits limits;
            limits.max_header_bytes = max_header_bytes;
            limits.max_body_bytes = max_body_bytes;
            limits.header_timeout = milliseconds(300);
            limits.idle_timeout = milliseconds(300);
            return limits;
        };
        hooks.on_end = [this](caller_link*) { ended = true; };
        link = std::make_shared<caller_link>(acceptor.accept(), hooks);
        link->start();
    }

    /// Sends until the request is refused or the connection has ended, at least
    /// `block_bytes` at a time, so that reads may end where a piece does.
    void send(
        std::string const& begin, std::string const& piece,
        std::size_t block_bytes = 4'096)
    {
        std::string block;
        while (block.size() < block_bytes)
            block += piece;
        auto const end = std::chrono::steady_clock::now() + milliseconds(2'000);
        auto left = begin + block;
        while (refused == 0 && !ended && requests == 0 &&
               std::chrono::steady_clock::now() < end)
        {
            boost::system::error_code error;
            auto const size = caller.write_some(asio::buffer(left), error);
            sent += size;
            left.erase(0, size);
            if (left.empty())
                left = block;
            io.restart();
            if (error)
                io.run_for(milliseconds(1));
            else
                io.poll();
        }
    }
};

std::string const chunked_head =
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE_METHOD(
    endless_request_fixture, "endless request: chunk extensions and trailers "
                             "are not read on without end")
{
    auto const begin = GENERATE(
        std::string("1;x="), std::string("1\r\nx\r\n0;x="),
        std::string("0\r\nX: "));
    send(chunked_head + begin, "a");
    CHECK(refused != 0);
    CHECK(requests == 0);
    CHECK(sent <= max_unparsed_bytes);
}

TEST_CASE_METHOD(
    endless_request_fixture, "endless request: trailer fields are limited")
{
    send(chunked_head + "0\r\n", "X-Trouble: aaa\r\n");
    CHECK(refused != 0);
    CHECK(requests == 0);
    CHECK(sent <= max_unparsed_bytes);
}

TEST_CASE_METHOD(
    endless_request_fixture,
    "endless request: a head of fields without end is refused with 431")
{
    // Packets below the limit of a head are parsed one by one.
    auto const block_bytes = GENERATE(1'024U, 4'096U, 16'384U);
    send("POST /x HTTP/1.1\r\nHost: h\r\n", "X-Trouble: aaa\r\n", block_bytes);
    CHECK(refused == 431);
    CHECK(sent <= max_header_bytes + max_unparsed_bytes);
}

TEST_CASE_METHOD(
    endless_request_fixture, "endless request: a body without end is refused")
{
    send(chunked_head, "400\r\n" + std::string(1'024, 'x') + "\r\n");
    CHECK(refused == 413);
    CHECK(sent <= 2 * max_body_bytes + max_unparsed_bytes);
}

TEST_CASE_METHOD(
    endless_request_fixture,
    "endless request: chunks of little else than extensions are refused")
{
    send(chunked_head, "1;x=" + std::string(4'000, 'x') + "\r\nx\r\n");
    CHECK(refused != 0);
    CHECK(requests == 0);
}

#include "entry/caller_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace
{

using namespace walnutmill;
namespace asio = boost::asio;
using asio::ip::tcp;

/// Exceeds the kernel's socket buffers of a loopback connection.
constexpr std::size_t large_answer_bytes = 33'554'432;

/// A caller's socket and the node's side of its connection, on one event loop.
/// The caller reads nothing before read_all().
struct link_fixture
{
    asio::io_context io;
    tcp::socket caller{io};
    std::shared_ptr<caller_link> link;
    int requests = 0;
    bool ended = false;

    link_fixture()
    {
        tcp::acceptor acceptor(
            io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        caller.connect(acceptor.local_endpoint());
        caller_link::hooks hooks;
        hooks.on_request = [this](
                               std::shared_ptr<caller_link> const&,
                               caller_link::request_type&&) { ++requests; };
        hooks.refuse = [](int, std::string_view) { return std::string(); };
        hooks.limits = [] { return caller_limits(); };
        hooks.on_end = [this](caller_link*) { ended = true; };
        link = std::make_shared<caller_link>(acceptor.accept(), hooks);
        link->start();
    }

    void send_request()
    {
        std::string const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        asio::write(caller, asio::buffer(request));
        while (requests == 0)
            io.run_one();
    }

    /// Reads until the connection closes. \return the number of bytes, and
    /// whether the close was orderly.
    std::pair<std::size_t, bool> read_all()
    {
        std::string received;
        boost::system::error_code how;
        bool done = false;
        asio::async_read(
            caller, asio::dynamic_buffer(received),
            [&](boost::system::error_code const& error, std::size_t)
            {
                how = error;
                done = true;
            });
        while (!done)
            io.run_one();
        return {received.size(), how == asio::error::eof};
    }
};

} // namespace

TEST_CASE_METHOD(
    link_fixture, "caller link: closing when idle first writes the last answer")
{
    send_request();
    link->write(std::string(large_answer_bytes, 'x'));
    link->finish_answer(false);
    CHECK(link->unsent() > 0);
    CHECK_FALSE(link->idle());
    link->close_when_idle();
    auto const [size, orderly] = read_all();
    CHECK(size == large_answer_bytes);
    CHECK(orderly);
}

TEST_CASE_METHOD(
    link_fixture, "caller link: closing when idle waits for the current answer")
{
    send_request();
    link->write("first ");
    link->close_when_idle();
    link->write("last");
    link->finish_answer(false);
    auto const [size, orderly] = read_all();
    CHECK(size == 10);
    CHECK(orderly);
}

TEST_CASE_METHOD(
    link_fixture, "caller link: one without a request closes at once")
{
    CHECK(link->idle());
    link->close_when_idle();
    auto const [size, orderly] = read_all();
    CHECK(size == 0);
    CHECK(orderly);
}

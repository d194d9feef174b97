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

/// More than the kernel's buffers of a connection on the loopback hold.
constexpr std::size_t large = 33'554'432;

/// A caller and a node's side of its connection, on one loop. The caller reads
/// nothing until it is told to.
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

    /// Reads to the end of the connection. \return the bytes, and whether it
    /// ended properly.
    std::pair<std::size_t, bool> read_all()
    {
        std::string got;
        boost::system::error_code how;
        bool done = false;
        asio::async_read(
            caller, asio::dynamic_buffer(got),
            [&](boost::system::error_code const& error, std::size_t)
            {
                how = error;
                done = true;
            });
        while (!done)
            io.run_one();
        return {got.size(), how == asio::error::eof};
    }
};

} // namespace

TEST_CASE_METHOD(
    link_fixture, "caller link: one that retires writes out its last answer")
{
    send_request();
    link->write(std::string(large, 'x'));
    link->finish_answer(false);
    CHECK(link->unsent() > 0);
    CHECK_FALSE(link->idle());
    link->retire();
    auto const [size, proper] = read_all();
    CHECK(size == large);
    CHECK(proper);
}

TEST_CASE_METHOD(
    link_fixture, "caller link: one that retires lets its answer end")
{
    send_request();
    link->write("first ");
    link->retire();
    link->write("last");
    link->finish_answer(false);
    auto const [size, proper] = read_all();
    CHECK(size == 10);
    CHECK(proper);
}

TEST_CASE_METHOD(
    link_fixture, "caller link: one without a request retires at once")
{
    CHECK(link->idle());
    link->retire();
    auto const [size, proper] = read_all();
    CHECK(size == 0);
    CHECK(proper);
}

#include "entry/caller_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace
{

using namespace walnutmill;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Fits into the kernel's send buffer, but not into a small receive buffer.
constexpr std::size_t buffered_answer_bytes = 200'000;
/// Exceeds the kernel's socket buffers of a loopback connection.
constexpr std::size_t large_answer_bytes = 33'554'432;

std::string const refusal =
    "HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
std::string const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

caller_limits limits_with_idle_timeout(milliseconds timeout)
{
    caller_limits to;
    to.idle_timeout = timeout;
    return to;
}

/// A caller's socket and the node's side of its connection, on one event loop.
/// The caller reads nothing before read_all().
struct link_fixture
{
    asio::io_context io;
    tcp::socket caller{io};
    std::shared_ptr<caller_link> link;
    int requests = 0;
    int refusals = 0;
    int refused_with = 0;
    caller_limits limits = limits_with_idle_timeout(milliseconds(1'000));
    bool stopping = false;
    bool ended = false;
    std::size_t unanswered_bytes = 0;
    std::string unanswered_why;

    link_fixture()
    {
        tcp::acceptor acceptor(
            io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        caller.connect(acceptor.local_endpoint());
        caller_link::hooks hooks;
        hooks.on_request = [this](
                               std::shared_ptr<caller_link> const&,
                               caller_link::request_type&&) { ++requests; };
        hooks.refuse = [this](int status, std::string_view)
        {
            ++refusals;
            refused_with = status;
            return refusal;
        };
        hooks.limits = [this] { return limits; };
        hooks.is_stopping = [this] { return stopping; };
        hooks.on_end = [this](caller_link*) { ended = true; };
        hooks.on_unanswered = [this](std::size_t bytes, std::string_view why)
        {
            unanswered_bytes += bytes;
            unanswered_why = why;
        };
        link = std::make_shared<caller_link>(acceptor.accept(), hooks);
        link->start();
    }

    void send(std::string const& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
    }

    void send_request()
    {
        send(request);
        while (requests == 0)
            io.run_one();
    }

    /// Runs the event loop until the condition holds; fails after 10 s.
    template<class Condition>
    bool run_until(Condition const& holds)
    {
        auto const end = steady_clock::now() + std::chrono::seconds(10);
        while (!holds() && steady_clock::now() < end)
            io.run_one_for(milliseconds(10));
        return holds();
    }

    void run_for(milliseconds time)
    {
        auto const end = steady_clock::now() + time;
        while (steady_clock::now() < end)
            io.run_one_until(end);
    }

    /// \return whether the node has shut its sending side
    bool caller_sees_close()
    {
        char one = 0;
        auto const size =
            ::recv(caller.native_handle(), &one, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0;
    }

    bool caller_is_reset()
    {
        pollfd state{caller.native_handle(), 0, 0};
        ::poll(&state, 1, 0);
        return (state.revents & POLLERR) != 0;
    }

    /// Runs the event loop until the caller can read.
    /// \return how reading ends once all bytes that came before were read
    boost::system::error_code closed_how()
    {
        boost::system::error_code how;
        bool done = false;
        std::string received;
        asio::async_read(
            caller, asio::dynamic_buffer(received),
            [&](boost::system::error_code const& error, std::size_t)
            {
                how = error;
                done = true;
            });
        run_until([&] { return done; });
        REQUIRE(done);
        return how;
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
    link->finish_answer();
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
    link->finish_answer();
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

TEST_CASE_METHOD(
    link_fixture,
    "caller link: bytes read behind a broken-off answer are reported")
{
    send(request + "POST /second");
    REQUIRE(run_until([&] { return requests == 1; }));
    link->abort();
    CHECK(unanswered_bytes == std::string("POST /second").size());
    CHECK(unanswered_why == "behind a broken-off answer");
}

TEST_CASE_METHOD(
    link_fixture, "caller link: a request cut by the exit is reported")
{
    send(request);
    REQUIRE(run_until([&] { return requests == 1; }));
    link->close_for_exit();
    CHECK(ended);
    CHECK(unanswered_bytes == request.size());
    CHECK(unanswered_why == "process exit");
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a body that comes behind its refusal is discarded, reported, "
    "and does not cut off the refusal")
{
    std::string const too_large =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n";
    send(too_large);
    REQUIRE(run_until([&] { return refusals == 1; }));
    send(std::string(1'000, 'x'));
    CHECK(closed_how() == asio::error::eof);
    send(std::string(1'000, 'x'));
    caller.close();
    REQUIRE(run_until([&] { return ended; }));
    CHECK(unanswered_bytes >= 2'000);
    CHECK(unanswered_why == "rest of a refused request");
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a request that arrives behind an unannounced close is not "
    "read and dropped")
{
    send_request();
    link->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    link->close_when_idle();
    link->finish_answer();
    send(request);
    CHECK(run_until([&] { return requests == 2 || unanswered_bytes > 0; }));
    CHECK(requests == 2);
    CHECK(unanswered_bytes == 0);
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a request that crosses the close of an idle connection is "
    "reset, not read")
{
    link->close_when_idle();
    REQUIRE(run_until([&] { return caller_sees_close(); }));
    send(request);
    CHECK(run_until([&] { return caller_is_reset(); }));
    CHECK(requests == 0);
    CHECK(unanswered_why == "left unread");
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a request that crosses an announced close does not cut off "
    "the answer")
{
    send_request();
    stopping = true;
    CHECK(link->begin_answer());
    link->write(std::string(large_answer_bytes, 'x'));
    send(request);
    link->finish_answer();
    CHECK(read_all().first == large_answer_bytes);
    CHECK(run_until([&] { return ended; }));
    CHECK(requests == 1);
    CHECK(unanswered_why == "left unread");
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: an answer that began before a stop does not close its "
    "connection")
{
    send_request();
    CHECK_FALSE(link->begin_answer());
    stopping = true;
    link->finish_answer();
    send(request);
    REQUIRE(run_until([&] { return requests == 2; }));
    CHECK(link->begin_answer());
    link->finish_answer();
    CHECK(closed_how() == asio::error::eof);
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a request that was read behind another is answered before a "
    "stop closes the connection")
{
    send(request + request);
    REQUIRE(run_until([&] { return requests == 1; }));
    stopping = true;
    CHECK_FALSE(link->begin_answer());
    link->finish_answer();
    REQUIRE(run_until([&] { return requests == 2; }));
    CHECK(link->begin_answer());
    link->finish_answer();
    CHECK(closed_how() == asio::error::eof);
    CHECK(unanswered_bytes == 0);
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a caller that leaves behind a request left unread is noticed")
{
    send_request();
    bool left = false;
    link->on_disconnect = [&] { left = true; };
    stopping = true;
    CHECK(link->begin_answer());
    link->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    send(request);
    run_for(milliseconds(20));
    CHECK_FALSE(left);
    caller.close();
    CHECK(run_until([&] { return left; }));
    CHECK(requests == 1);
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a request that is half read at the exit is refused")
{
    send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
    REQUIRE(run_until([&] { return !link->idle(); }));
    link->end_for_exit();
    link->end_for_exit();
    CHECK(refusals == 1);
    CHECK(refused_with == 503);
    auto const [size, orderly] = read_all();
    CHECK(size == refusal.size());
    CHECK(orderly);
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a connection is held for the idle timeout that its caller "
    "knows")
{
    send_request();
    link->finish_answer();
    limits.idle_timeout = milliseconds(0);
    send(request);
    REQUIRE(run_until([&] { return requests == 2; }));
    link->finish_answer();
    run_for(milliseconds(1'500));
    CHECK_FALSE(caller_sees_close());
    CHECK(run_until([&] { return caller_sees_close(); }));
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: an aborted answer is not discarded for input behind it")
{
    caller.set_option(tcp::socket::receive_buffer_size(4'096));
    send_request();
    link->write(std::string(buffered_answer_bytes, 'x'));
    REQUIRE(run_until([&] { return link->unsent() == 0; }));
    send(request);
    link->abort();
    CHECK(read_all().first == buffered_answer_bytes);
    CHECK(run_until([&] { return ended; }));
    CHECK(requests == 1);
}

TEST_CASE_METHOD(
    link_fixture,
    "caller link: a request on a kept connection is not refused by limits that "
    "have changed since the one before")
{
    constexpr std::size_t body_bytes = 1'000;
    limits.max_body_bytes = body_bytes / 2;
    send_request();
    link->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    link->finish_answer();
    limits.max_body_bytes = 2 * body_bytes;
    send(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'));
    REQUIRE(run_until([&] { return requests == 2 || refusals > 0; }));
    CHECK(requests == 2);
    CHECK(refusals == 0);
}

// Guards against connections that a caller which never reads holds for good.
TEST_CASE_METHOD(
    link_fixture,
    "caller link: an answer that is not read is given up after the time "
    "allowed")
{
    limits.idle_timeout = milliseconds(15'000);
    caller.set_option(tcp::socket::receive_buffer_size(4'096));
    link->allow_unread_for(milliseconds(2'400));
    send_request();
    link->write(std::string(buffered_answer_bytes, 'x'));
    link->finish_answer();
    run_for(milliseconds(2'000));
    CHECK_FALSE(ended);
    CHECK(run_until([&] { return ended; }));
    CHECK(unanswered_why == "not read by its caller");
}

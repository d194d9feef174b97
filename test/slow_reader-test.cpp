/// \file
/// Guards against connections that are reset because a live peer keeps its
/// receive window closed for a while.

#include "entry_world.hpp"

#include "entry/http_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Below the deadline of the calls, 3 s.
constexpr milliseconds pause_before_reading{2'300};
/// The least that the system grants is a few times larger.
constexpr int small_buffer_bytes = 1'024;
constexpr std::size_t long_body_bytes = 90'000;

/// A caller that leaves its answers unread for a while.
struct slow_caller
{
    asio::io_context io;
    tcp::socket socket{io, tcp::v4()};
    std::string buffer;

    explicit slow_caller(
        std::string const& address, bool has_small_buffer = true)
    {
        if (has_small_buffer)
        {
            socket.set_option(
                tcp::socket::receive_buffer_size(small_buffer_bytes));
        }
        socket.connect(endpoint_of(address).value());
    }

    /// Sends a call and reads nothing for a time.
    /// \return how the connection ended before all of the answer was read;
    /// empty if it was read
    boost::system::error_code
    call(std::string const& bytes, milliseconds pause, std::size_t body)
    {
        asio::write(socket, asio::buffer(bytes));
        std::this_thread::sleep_for(pause);
        boost::system::error_code error;
        auto const head = asio::read_until(
            socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
        if (error)
            return error;
        auto const whole = head + body;
        if (buffer.size() < whole)
        {
            asio::read(
                socket, asio::dynamic_buffer(buffer),
                asio::transfer_exactly(whole - buffer.size()), error);
        }
        buffer.erase(0, whole);
        return error;
    }
};

/// A service that leaves the body of a request unread for a while. It serves
/// one connection.
class slow_service
{
public:
    slow_service() : acceptor_(io_, tcp::v4())
    {
        // Accepted connections inherit the size.
        acceptor_.set_option(
            tcp::acceptor::receive_buffer_size(small_buffer_bytes));
        acceptor_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        acceptor_.listen();
        thread_ = std::thread([this] { serve(); });
    }
    ~slow_service()
    {
        boost::system::error_code ignored; // the thread may have ended
        asio::io_context io;
        tcp::socket(io).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    slow_service(slow_service const&) = delete;
    slow_service& operator=(slow_service const&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void serve()
    {
        tcp::socket socket(io_);
        acceptor_.accept(socket);
        std::string request;
        boost::system::error_code error;
        auto const head = asio::read_until(
            socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return;
        std::this_thread::sleep_for(pause_before_reading);
        asio::read(
            socket, asio::dynamic_buffer(request),
            asio::transfer_exactly(head + long_body_bytes - request.size()),
            error);
        if (error)
            return;
        asio::write(
            socket,
            asio::buffer(standin_target::answer(
                200, "Request-Id: r1\r\nResponse-Stamp: s\r\n", "done")),
            error);
        asio::read_until(socket, asio::dynamic_buffer(request), "end", error);
    }

    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace

// Guards against a kernel timeout that counts the time for which a caller
// keeps its window closed.
TEST_CASE_METHOD(
    entry_world,
    "slow reader: a caller that leaves its answer unread within its deadline "
    "gets all of it")
{
    for (auto* one : {&service_a, &service_b})
    {
        one->set_handler(
            [](link_ptr const& link, http_request const& request)
            {
                auto const id = std::string(request["Request-Id"]);
                link->write(standin_target::answer(
                    200, "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
                    std::string(long_body_bytes, 'x')));
                link->finish_answer();
                return true;
            });
    }
    auto& node = start_node();
    slow_caller caller(node.settings.listen_callers);
    CHECK_FALSE(
        caller.call(post("/orders/x", "r1"), milliseconds(0), long_body_bytes));
    CHECK_FALSE(caller.call(
        post("/orders/x", "r2"), pause_before_reading, long_body_bytes));
    CHECK_FALSE(
        caller.call(post("/orders/x", "r3"), milliseconds(0), long_body_bytes));
    CHECK(service_a.calls().size() + service_b.calls().size() == 3);
}

// The same timeout on the connection to an engine.
TEST_CASE_METHOD(
    entry_world,
    "slow reader: an order that its service leaves unread for a while is "
    "answered")
{
    slow_service service;
    store.remove("servers", "db");
    store.put(
        "servers", "da",
        engine_row("desk", service.address(), 1'700'000'000'000));
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(
        post("/orders/x", "r1", {}, std::string(long_body_bytes, 'x')));
    CHECK(got.status == 200);
    CHECK(got.body == "done");
}

// Guards against callers that read slowly and together hold more answers than
// the node has memory for.
TEST_CASE_METHOD(
    entry_world,
    "slow reader: answers that callers leave unread share a part of the node's "
    "memory")
{
    constexpr std::size_t answer_bytes = 8'000'000;
    constexpr int callers = 10;
    std::string const body(answer_bytes, 'x');
    for (auto* one : {&service_a, &service_b})
    {
        one->set_handler(
            [&body](link_ptr const& link, http_request const& request)
            {
                auto const id = std::string(request["Request-Id"]);
                link->write(standin_target::answer(
                    200, "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
                    id == "last" ? "done" : body));
                link->finish_answer();
                return true;
            });
    }
    auto& node = start_node();
    std::vector<std::unique_ptr<slow_caller>> all;
    for (int i = 0; i < callers; ++i)
    {
        all.push_back(
            std::make_unique<slow_caller>(node.settings.listen_callers, false));
        auto& one = *all.back();
        asio::write(
            one.socket,
            asio::buffer(post("/orders/x", "r" + std::to_string(i))));
        boost::system::error_code ignored; // it may be dropped by then
        asio::read_until(
            one.socket, asio::dynamic_buffer(one.buffer), "\r\n\r\n", ignored);
    }
    int whole = 0;
    for (auto const& one : all)
    {
        boost::system::error_code error;
        asio::read(
            one->socket, asio::dynamic_buffer(one->buffer),
            asio::transfer_at_least(answer_bytes - one->buffer.size()), error);
        if (!error)
            ++whole;
    }
    CHECK(whole > 0);
    CHECK(whole < callers);
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(post("/orders/x", "last")).status == 200);
}

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

struct stalled_call_fixture : entry_world
{
    /// Requests received by the targets that stall.
    std::atomic<int> requests{0};

    stalled_call_fixture() { min_stall_timeout = milliseconds(200); }

    /// Makes the targets stall on the first request that either of them
    /// receives, after sending the given number of events.
    void stall_first_request(standin_target& a, standin_target& b, int events)
    {
        for (auto* one : {&a, &b})
        {
            one->set_handler(
                [this, events](link_ptr const& link, http_request const& sent)
                {
                    if (++requests > 1)
                        return false;
                    std::string const id(sent["Request-Id"]);
                    if (events > 0)
                        link->write(
                            standin_target::stream(id, 1, events, false));
                    return true;
                });
        }
    }
};

/// A target behind a slow link: reads a request at a limited rate, with little
/// room for what it has not read, and answers at its end.
class slow_reader
{
public:
    slow_reader(std::size_t request_bytes, std::size_t bytes_per_s)
        : request_bytes_(request_bytes), bytes_per_s_(bytes_per_s)
    {
        constexpr int buffer_bytes = 16'384;
        tcp::endpoint const any(boost::asio::ip::address_v4::loopback(), 0);
        acceptor_.open(any.protocol());
        acceptor_.set_option(
            boost::asio::socket_base::receive_buffer_size(buffer_bytes));
        acceptor_.bind(any);
        acceptor_.listen();
        address_ =
            "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        thread_ = std::thread([this] { serve(); });
    }
    ~slow_reader()
    {
        stopping_ = true;
        boost::system::error_code ignored; // the thread may have ended
        tcp::socket(io_).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    slow_reader(slow_reader const&) = delete;
    slow_reader& operator=(slow_reader const&) = delete;

    std::string const& address() const { return address_; }
    int connections() const { return connections_; }

private:
    using tcp = boost::asio::ip::tcp;
    using steady = std::chrono::steady_clock;

    void serve()
    {
        while (true)
        {
            auto socket = acceptor_.accept();
            if (stopping_)
                return;
            ++connections_;
            read_and_answer(socket);
        }
    }

    void read_and_answer(tcp::socket& socket) const
    {
        auto const began = steady::now();
        std::array<char, 65'536> chunk{};
        boost::system::error_code error;
        std::size_t received = 0;
        while (received < request_bytes_ && !error)
        {
            received += socket.read_some(boost::asio::buffer(chunk), error);
            std::this_thread::sleep_until(
                began + milliseconds(received * 1'000 / bytes_per_s_));
        }
        auto const answer = standin_target::answer(
            200, "Request-Id: r1\r\nResponse-Stamp: s\r\n", "received");
        boost::asio::write(socket, boost::asio::buffer(answer), error);
    }

    std::size_t request_bytes_;
    std::size_t bytes_per_s_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_{io_};
    std::string address_;
    std::atomic<int> connections_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace

TEST_CASE_METHOD(
    stalled_call_fixture,
    "stalled call: a repeatable call is answered by another engine")
{
    stall_first_request(service_a, service_b, 0);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/safe/x", "r1"));
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(service_a.calls().size() == 1);
    CHECK(service_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture,
    "stalled call: a stream that stops midway resumes at another engine")
{
    std::atomic<int> attempts{0};
    for (auto* one : {&engine_a, &engine_b})
    {
        one->set_handler(
            [&](link_ptr const& link, http_request const& sent)
            {
                std::string const id(sent["Request-Id"]);
                if (++attempts == 1)
                {
                    link->write(standin_target::stream(id, 1, 2, false));
                    return true;
                }
                CHECK(sent["Last-Event-Id"] == "2");
                link->write(standin_target::stream(id, 3, 3, true));
                link->finish_answer();
                return true;
            });
    }
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1"));
    CHECK(got.whole);
    CHECK(
        got.body == standin_target::event(1) + standin_target::event(2) +
                        standin_target::event(3));
    CHECK(engine_a.calls().size() == 1);
    CHECK(engine_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture, "stalled call: an order is never retried")
{
    stall_first_request(service_a, service_b, 0);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/orders/x", "r1"));
    CHECK(got.status == 504);
    CHECK(service_a.calls().size() + service_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture,
    "stalled call: a turn that can't be resumed runs once and stays incomplete")
{
    stall_first_request(engine_a, engine_b, 1);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1", {}, "/kept/"));
    CHECK_FALSE(got.whole);
    CHECK(engine_a.calls().size() + engine_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture, "stalled call: a slow engine completes its call")
{
    store.remove("servers", "ib");
    engine_a.set_handler(
        [this](link_ptr const& link, http_request const& sent)
        {
            std::string const id(sent["Request-Id"]);
            engine_a.server().later(
                milliseconds(600),
                [link, id]
                {
                    link->write(standin_target::stream(id, 1, 3, true));
                    link->finish_answer();
                });
            return true;
        });
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(turn("t1")).whole);
}

TEST_CASE_METHOD(
    stalled_call_fixture,
    "stalled call: an engine that is still reading a large prompt is not left")
{
    constexpr std::size_t prompt_bytes = 24'000'000;
    constexpr std::size_t bytes_per_s = 6'000'000;
    min_stall_timeout = milliseconds(1'500);
    auto document = configuration();
    document["limits"]["max_body_bytes"] = 2 * prompt_bytes;
    document["limits"]["header_timeout_ms"] = 30'000;
    for (auto& route : document["routes"])
        route["timeout_ms"] = 30'000;
    store.put("op", "config", document);
    slow_reader engine(prompt_bytes, bytes_per_s);
    store.put(
        "servers", "da",
        engine_row("desk", engine.address(), 1'700'000'000'000));
    store.remove("servers", "db");
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
        "Deadline-Ms: 30000\r\nContent-Length: " +
        std::to_string(prompt_bytes) + "\r\n\r\n" +
        std::string(prompt_bytes, 'x'));
    CHECK(got.status == 200);
    CHECK(engine.connections() == 1);
}

/// \file
/// Limits of exchanges: a transfer may take as long as it makes progress.

#include "entry/exchange.hpp"
#include "entry/http_caller.hpp"

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct exchange_watch_fixture
{
    static constexpr milliseconds response{80};
    static constexpr milliseconds pause{500};
    time_point const began{seconds(10)};

    exchange_watch watch(duration total = duration::max()) const
    {
        return {{response, pause, total}, began};
    }
};

/// A server that sends its answer in parts, and a caller on the test's own
/// event loop.
struct exchange_fixture
{
    static constexpr std::size_t parts = 12;
    static constexpr std::string_view part = "part ";
    static constexpr milliseconds part_interval{40};
    static constexpr milliseconds response{150};

    boost::asio::io_context io;
    standin_server server;
    exchange_runtime runtime = network_runtime(io);
    int progress = 0;

    void send_parts(link_ptr const& link, std::size_t left)
    {
        if (left == 0)
        {
            link->finish_answer();
            return;
        }
        link->write(part);
        server.later(
            part_interval, [this, link, left] { send_parts(link, left - 1); });
    }

    void answer_in_parts()
    {
        server.on_request = [this](link_ptr const& link, http_request const&)
        {
            auto const first = "HTTP/1.1 200 OK\r\nContent-Length: " +
                               std::to_string(parts * part.size()) +
                               "\r\n\r\n" + std::string(part);
            link->write(first);
            send_parts(link, parts - 1);
        };
    }

    exchange_reply call(exchange_limits limits)
    {
        exchange_reply to;
        bool ended = false;
        exchange_request request{
            server.address(), "GET / HTTP/1.1\r\nHost: s\r\n\r\n", limits,
            [this] { ++progress; }};
        runtime.exchange(
            std::move(request),
            [&](exchange_reply reply)
            {
                to = std::move(reply);
                ended = true;
            });
        while (!ended)
        {
            io.run_for(milliseconds(20));
            io.restart();
        }
        return to;
    }
};

} // namespace

TEST_CASE_METHOD(
    exchange_watch_fixture,
    "exchange watch: a request without an answer expires after the response "
    "limit")
{
    CHECK(watch().expiry() == began + response);
}

TEST_CASE_METHOD(
    exchange_watch_fixture,
    "exchange watch: the response limit counts from the last byte sent")
{
    auto one = watch();
    one.on_sent(began + milliseconds(70));
    CHECK(one.expiry() == began + milliseconds(70) + response);
}

TEST_CASE_METHOD(
    exchange_watch_fixture,
    "exchange watch: an answer that arrives expires only after a pause")
{
    auto one = watch();
    for (int at = 60; at <= 6'000; at += 60)
        one.on_received(began + milliseconds(at));
    CHECK(one.expiry() == began + milliseconds(6'000) + pause);
    CHECK(one.latency() == milliseconds(60));
}

TEST_CASE_METHOD(
    exchange_watch_fixture,
    "exchange watch: an answer that arrives expires after the total limit")
{
    auto one = watch(milliseconds(700));
    one.on_received(began + milliseconds(600));
    CHECK(one.expiry() == began + milliseconds(700));
}

TEST_CASE_METHOD(
    exchange_fixture,
    "exchange: an answer that takes longer than the response limit is received")
{
    answer_in_parts();
    auto const reply = call({response, seconds(20)});
    CHECK(reply.answered);
    CHECK(reply.body.size() == parts * part.size());
    CHECK(progress > 1);
}

TEST_CASE_METHOD(
    exchange_fixture, "exchange: an answer that stalls is given up after the "
                      "longest pause")
{
    server.on_request = [](link_ptr const& link, http_request const&)
    { link->write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"); };
    auto const reply = call({seconds(20), milliseconds(100)});
    CHECK_FALSE(reply.answered);
    CHECK(reply.sent);
    CHECK(reply.status == 200);
    CHECK(reply.body == "part");
}

TEST_CASE_METHOD(
    exchange_fixture,
    "exchange: an answer whose head arrives before its body is received")
{
    server.on_request = [this](link_ptr const& link, http_request const&)
    {
        link->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        server.later(part_interval, [this, link] { send_parts(link, 1); });
    };
    auto const reply = call({seconds(20)});
    CHECK(reply.answered);
    CHECK(reply.body == part);
}

/// \file
/// Callers that keep using their connections while a node stops, reloads its
/// settings or gets a new configuration.

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// Streams pause behind their first event until they are released.
struct close_fixture : entry_world
{
    std::atomic<bool> released{false};

    close_fixture()
    {
        for (auto* engine : {&engine_a, &engine_b})
        {
            engine->set_handler(
                [this,
                 engine](link_ptr const& link, http_request const& request)
                {
                    std::string const id(request["Request-Id"]);
                    link->write(standin_target::stream(id, 1, 1, false));
                    finish_when_released(*engine, link);
                    return true;
                });
        }
    }

    void finish_when_released(standin_target& engine, link_ptr const& link)
    {
        if (released)
        {
            link->write(chunk(standin_target::event(2)) + "0\r\n\r\n");
            link->finish_answer();
            return;
        }
        engine.server().later(
            milliseconds(5),
            [this, &engine, link] { finish_when_released(engine, link); });
    }

    /// \return the bytes of requests left without an answer, for any reason
    double unanswered_bytes(node const& one) const
    {
        double sum = 0;
        for (auto const* why :
             {"left unread", "behind the last answer",
              "behind a broken-off answer", "rest of a refused request",
              "process exit"})
        {
            auto const name = "walnutmill_unanswered_bytes_total{why=\"" +
                              std::string(why) + "\"}";
            sum += metric(one, name).value_or(0);
        }
        return sum;
    }
};

} // namespace

TEST_CASE_METHOD(
    close_fixture,
    "connection close: the request behind a stream that began before a stop is "
    "answered")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(turn("t1"));
    CHECK(
        caller.receive_until("piece 1").find("Connection: close") ==
        std::string::npos);
    node.process->request_stop();
    REQUIRE(eventually([&] { return !is_ready(node); }));
    released = true;
    auto const stream = caller.receive();
    CHECK(stream.whole);
    auto const order = caller.call(post("/orders/x", "o1"));
    CHECK(order.whole);
    CHECK(order.status == 200);
    CHECK(order.headers.count("Connection") == 1);
    CHECK(unanswered_bytes(node) == 0);
}

TEST_CASE_METHOD(
    close_fixture,
    "connection close: a stop announces the close on answers that begin from "
    "then on")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    CHECK(
        caller.call(post("/orders/x", "o1")).headers.count("Connection") == 0);
    node.process->request_stop();
    REQUIRE(eventually([&] { return !is_ready(node); }));
    auto const last = caller.call(post("/orders/x", "o2"));
    CHECK(last.status == 200);
    CHECK(last.headers.at("Connection") == "close");
}

TEST_CASE_METHOD(
    close_fixture,
    "connection close: a reload breaks neither streams nor connections")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(turn("t1"));
    caller.receive_until("piece 1");
    REQUIRE(std::raise(SIGHUP) == 0);
    std::this_thread::sleep_for(milliseconds(100));
    released = true;
    auto const stream = caller.receive();
    CHECK(stream.whole);
    CHECK(stream.headers.count("Connection") == 0);
    for (auto const* id : {"o1", "o2"})
    {
        auto const order = caller.call(post("/orders/x", id));
        CHECK(order.status == 200);
        CHECK(order.headers.count("Connection") == 0);
    }
}

TEST_CASE_METHOD(
    close_fixture,
    "connection close: a shorter idle timeout does not close connections whose "
    "callers go by the former one")
{
    auto& node = start_node();
    auto shorter = configuration();
    shorter["version"] = 4;
    shorter["limits"]["idle_timeout_ms"] = 100;
    auto added = shorter["routes"].back();
    added["name"] = "added";
    added["prefix"] = "/added/";
    shorter["routes"].push_back(added);
    store.put("op", "config", shorter);
    int probes = 0;
    REQUIRE(eventually(
        [&]
        {
            test_caller probe(node.settings.listen_callers);
            auto const id = "p" + std::to_string(++probes);
            return probe.call(post("/added/x", id)).status == 200;
        }));
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(post("/orders/x", "o1")).status == 200);
    std::this_thread::sleep_for(milliseconds(1'600));
    CHECK(caller.call(post("/orders/x", "o2")).status == 200);
}

/// \file
/// Guards against calls that a stopping node takes, passes on and cuts at the
/// end of its grace period, although it could have refused them.

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Limit of the routes, and the time that the answers to late calls take.
constexpr milliseconds call_limit{4'000};
constexpr milliseconds slow_answer{3'600};

/// Engines and services whose answers the test begins and ends.
struct stop_fixture : entry_world
{
    std::mutex mutex;
    std::vector<std::pair<standin_target*, link_ptr>> begun;

    stop_fixture()
    {
        auto table = configuration();
        for (auto& route : table["routes"])
            route["timeout_ms"] = call_limit.count();
        table["version"] = 4;
        store.put("op", "config", table);
        for (auto* engine : {&engine_a, &engine_b})
        {
            engine->set_handler(
                [this, engine](link_ptr const& link, http_request const& call)
                { return begin_stream(*engine, link, call); });
        }
        for (auto* service : {&service_a, &service_b})
        {
            service->set_handler(
                [service](link_ptr const& link, http_request const& call)
                {
                    answer_late(*service, link, call);
                    return true;
                });
        }
    }

    bool begin_stream(
        standin_target& engine, link_ptr const& link, http_request const& call)
    {
        std::string const id(call["Request-Id"]);
        link->write(standin_target::stream(id, 1, 1, false));
        if (id.find("early") == 0)
        {
            std::lock_guard<std::mutex> const lock(mutex);
            begun.emplace_back(&engine, link);
        }
        else
        {
            engine.server().later(slow_answer, [link] { end_stream(link); });
        }
        return true;
    }

    static void end_stream(link_ptr const& link)
    {
        link->write("0\r\n\r\n");
        link->finish_answer();
    }

    static void answer_late(
        standin_target& service, link_ptr const& link, http_request const& call)
    {
        std::string const id(call["Request-Id"]);
        auto const after = id == "short" ? milliseconds(0) : slow_answer;
        service.server().later(
            after,
            [link, id]
            {
                link->write(standin_target::answer(
                    200, "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
                    "done"));
                link->finish_answer();
            });
    }

    void end_begun_streams()
    {
        std::lock_guard<std::mutex> const lock(mutex);
        for (auto const& [engine, link] : begun)
        {
            engine->server().later(
                milliseconds(0), [link = link] { end_stream(link); });
        }
        begun.clear();
    }

    static std::string with_deadline(std::string call, milliseconds deadline)
    {
        std::string const usual = "Deadline-Ms: 3000";
        return call.replace(
            call.find(usual), usual.size(),
            "Deadline-Ms: " + std::to_string(deadline.count()));
    }
};

} // namespace

// Guards against calls on connections kept since before the stop that are
// passed on with more time than the grace period has left.
TEST_CASE_METHOD(
    stop_fixture,
    "stop: a call whose limit exceeds the rest of the grace period is refused, "
    "not cut")
{
    auto& node =
        start_node([](entry_settings& to) { to.stop_grace = seconds(7); });
    test_caller stream(node.settings.listen_callers);
    test_caller order(node.settings.listen_callers);
    test_caller brief(node.settings.listen_callers);
    int number = 0;
    for (auto* one : {&stream, &order, &brief})
    {
        one->send(with_deadline(
            turn("early" + std::to_string(++number)), call_limit));
        REQUIRE(
            one->receive_until("piece 1").find("piece 1") != std::string::npos);
    }
    auto const stopped = steady_clock::now();
    node.process->request_stop();
    std::this_thread::sleep_until(stopped + milliseconds(2'800));
    end_begun_streams();
    for (auto* one : {&stream, &order, &brief})
    {
        auto const got = one->receive();
        CHECK(got.whole);
        CHECK(got.headers.count("Connection") == 0);
    }
    stream.send(with_deadline(turn("late-turn"), call_limit));
    order.send(with_deadline(post("/orders/x", "late-order"), call_limit));
    brief.send(with_deadline(post("/orders/x", "short"), milliseconds(1'500)));
    auto const refused_stream = stream.receive();
    auto const refused_order = order.receive();
    auto const short_answer = brief.receive();
    for (auto const& one : {refused_stream, refused_order})
    {
        CHECK(one.whole);
        CHECK(one.status == 503);
        CHECK(one.headers.count("Connection") == 1);
    }
    CHECK(short_answer.status == 200);
    CHECK(short_answer.whole);
    CHECK(service_a.calls().size() + service_b.calls().size() == 1);
    stop_node(node);
}

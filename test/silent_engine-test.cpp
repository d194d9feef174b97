/// \file
/// Tests that no answer ends sooner because a sound engine is silent for about
/// a second while it is full, draining or not listening.

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

constexpr milliseconds silence{1'000};

/// One engine and one plain service, on routes that permit one engine.
struct silent_engine_fixture : entry_world
{
    nlohmann::json document = configuration();
    /// Requests that the engine has received.
    std::atomic<int> requests{0};
    /// Used by the thread of one stand-in.
    std::chrono::steady_clock::time_point first_request_at;

    silent_engine_fixture()
    {
        min_stall_timeout = milliseconds(200);
        store.remove("servers", "ib");
        store.remove("servers", "db");
        for (auto& route : document["routes"])
            route["max_attempts"] = 1;
        store.put("op", "config", document);
    }

    static void
    continue_stream(link_ptr const& link, std::string const& id, int from)
    {
        auto const whole = standin_target::stream(id, from, 3, true);
        link->write(whole.substr(whole.find("\r\n\r\n") + 4));
        link->finish_answer();
    }

    static void reject(link_ptr const& link, std::string const& id)
    {
        link->write(standin_target::answer(
            503, "Request-Id: " + id + "\r\nNot-Executed: full\r\n", "full"));
        link->finish_answer();
    }

    /// The engine begins the first stream and sends nothing more of it. It
    /// rejects further requests for a second, and then serves them.
    void lose_stream_and_be_full()
    {
        engine_a.set_handler(
            [this](link_ptr const& link, http_request const& sent)
            {
                auto const now = std::chrono::steady_clock::now();
                std::string const id(sent["Request-Id"]);
                if (++requests == 1)
                {
                    first_request_at = now;
                    link->write(standin_target::stream(id, 1, 1, false));
                    return true;
                }
                if (now - first_request_at < silence)
                {
                    reject(link, id);
                    return true;
                }
                link->write(standin_target::stream(id, 2, 3, true));
                link->finish_answer();
                return true;
            });
    }

    /// The engine begins each stream, is silent for a time, and goes on.
    void fall_silent_in_stream(milliseconds time)
    {
        engine_a.set_handler(
            [this, time](link_ptr const& link, http_request const& sent)
            {
                ++requests;
                std::string const id(sent["Request-Id"]);
                link->write(standin_target::stream(id, 1, 1, false));
                engine_a.server().later(
                    time, [link, id] { continue_stream(link, id, 2); });
                return true;
            });
    }

    /// Starts two nodes. A call leaves a silent engine once another node has
    /// told what it knows of the request.
    node& start_nodes()
    {
        auto& first = start_node();
        auto& second = start_node();
        for (auto const* one : {&first, &second})
        {
            if (!eventually(
                    [&]
                    {
                        return knows_members(*one, 1) &&
                               metric(*one, "walnutmill_crash_records_known") ==
                                   1;
                    }))
                throw std::runtime_error("a node does not know the other one");
        }
        return first;
    }

    void set_engine_state(std::string const& state)
    {
        auto row = engine_row("llm", engine_a.address(), 1'700'000'000'000);
        row["state"] = state;
        store.put("servers", "ia", row);
    }

    static std::string whole_stream()
    {
        return standin_target::event(1) + standin_target::event(2) +
               standin_target::event(3);
    }
};

} // namespace

TEST_CASE_METHOD(
    silent_engine_fixture,
    "silent engine: a begun stream whose engine is full when it is asked again "
    "is completed")
{
    lose_stream_and_be_full();
    auto& node = start_nodes();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1"));
    CHECK(got.whole);
    CHECK(got.body == whole_stream());
}

TEST_CASE_METHOD(
    silent_engine_fixture,
    "silent engine: a begun stream whose engine starts to drain is completed")
{
    fall_silent_in_stream(milliseconds(1'500));
    // The state is known before the engine counts as silent.
    min_stall_timeout = milliseconds(900);
    auto& node = start_nodes();
    test_caller caller(node.settings.listen_callers);
    caller.send(turn("t1"));
    caller.receive_until("id: 1");
    set_engine_state("draining");
    auto const got = caller.receive();
    CHECK(got.whole);
    CHECK(got.body == whole_stream());
    CHECK(requests == 1);
}

TEST_CASE_METHOD(
    silent_engine_fixture,
    "silent engine: a call that was left there is answered once the engine has "
    "room")
{
    service_a.set_handler(
        [this](link_ptr const& link, http_request const& sent)
        {
            auto const now = std::chrono::steady_clock::now();
            if (++requests == 1)
            {
                first_request_at = now;
                return true;
            }
            if (now - first_request_at >= silence)
                return false;
            reject(link, std::string(sent["Request-Id"]));
            return true;
        });
    auto& node = start_nodes();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/safe/x", "r1"));
    INFO(got.body);
    CHECK(got.status == 200);
}

TEST_CASE_METHOD(
    silent_engine_fixture,
    "silent engine: a begun stream is not broken off before its caller's "
    "deadline")
{
    engine_a.set_handler(
        [](link_ptr const& link, http_request const& sent)
        {
            link->write(standin_target::stream(
                std::string(sent["Request-Id"]), 1, 1, false));
            return true;
        });
    min_stall_timeout = milliseconds(20'000);
    auto& node = start_nodes();
    auto request = turn("t1");
    std::string const name = "Deadline-Ms: ";
    auto const at = request.find(name) + name.size();
    request.replace(at, request.find("\r\n", at) - at, "400");
    test_caller caller(node.settings.listen_callers);
    auto const sent_at = std::chrono::steady_clock::now();
    auto const got = caller.call(request);
    CHECK_FALSE(got.whole);
    CHECK(std::chrono::steady_clock::now() - sent_at >= milliseconds(400));
}

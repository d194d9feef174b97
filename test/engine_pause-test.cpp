#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <ctime>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int engine_count = 6;
constexpr milliseconds pause{1'000};

/// Engines and plain services that are sound, and fall silent for a second
/// while they run a call: the thread of a stand-in stands still.
struct engine_pause_fixture : entry_world
{
    std::vector<std::unique_ptr<standin_target>> targets;
    /// Engines that are to fall silent at their next call.
    std::atomic<int> pauses_left{0};
    /// Events of a stream sent before its engine falls silent.
    std::atomic<int> events_before{0};

    engine_pause_fixture()
    {
        min_stall_timeout = milliseconds(200);
        for (auto const* id : {"ia", "ib", "da", "db"})
            store.remove("servers", id);
        for (int i = 0; i < engine_count; ++i)
        {
            add("llm", "e" + std::to_string(i));
            add("desk", "d" + std::to_string(i));
        }
        auto document = configuration();
        for (auto& route : document["routes"])
            route["max_attempts"] = engine_count;
        store.put("op", "config", document);
    }

    void add(std::string const& service, std::string const& id)
    {
        targets.push_back(std::make_unique<standin_target>(id));
        auto& one = *targets.back();
        one.set_handler(
            [this, service](link_ptr const& link, http_request const& request)
            { return fall_silent(service, link, request); });
        register_engine(one, service);
    }

    bool fall_silent(
        std::string const& service, link_ptr const& link,
        http_request const& request)
    {
        auto left = pauses_left.load();
        while (left > 0 && !pauses_left.compare_exchange_weak(left, left - 1))
        {
        }
        if (left <= 0)
            return false;
        auto const first = service == "llm" ? events_before.load() : 0;
        std::string const id(request["Request-Id"]);
        if (first > 0)
        {
            link->write(standin_target::stream(id, 1, first, false));
            // The stand-in's thread writes once it is free.
            server_of(id, service)
                .later(
                    milliseconds(5),
                    [] { std::this_thread::sleep_for(pause); });
            server_of(id, service)
                .later(
                    pause,
                    [link, id, first] { finish_stream(link, id, first + 1); });
            return true;
        }
        std::this_thread::sleep_for(pause);
        return false;
    }

    standin_server& server_of(std::string const& id, std::string const& service)
    {
        for (auto const& one : targets)
        {
            auto const is_plain = one->id()[0] == 'd';
            if (is_plain != (service == "desk"))
                continue;
            auto const calls = one->calls();
            if (!calls.empty() && calls.back().id == id)
                return one->server();
        }
        throw std::logic_error("no target has this call");
    }

    static void
    finish_stream(link_ptr const& link, std::string const& id, int from)
    {
        auto const whole = standin_target::stream(id, from, 3, true);
        link->write(whole.substr(whole.find("\r\n\r\n") + 4));
        link->finish_answer();
    }

    /// The same content under any id.
    static std::string request_of(
        std::string const& path, std::string const& id, int deadline_ms = 3'000)
    {
        auto const tokens =
            path == "/turns/x"
                ? "Token-Usage: 100,30\r\nPrompt-Prefix: ab:50,cd:50\r\n"
                : "";
        auto text = post(path, id, tokens, "one content");
        auto const name = std::string("Deadline-Ms: ");
        auto const at = text.find(name) + name.size();
        return text.replace(
            at, text.find("\r\n", at) - at, std::to_string(deadline_ms));
    }

    std::vector<caller_answer> call_together(
        node const& at, std::string const& path, std::string const& name,
        int count) const
    {
        std::vector<caller_answer> answers(static_cast<std::size_t>(count));
        std::vector<std::thread> callers;
        callers.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
        {
            callers.emplace_back(
                [&, i]
                {
                    test_caller caller(at.settings.listen_callers);
                    answers[static_cast<std::size_t>(i)] = caller.call(
                        request_of(path, name + "." + std::to_string(i)));
                });
        }
        for (auto& one : callers)
            one.join();
        return answers;
    }

    /// \return true once nodes that started together answer each other
    bool knows_others(node const& one) const
    {
        return knows_members(one, 1) &&
               metric(one, "walnutmill_crash_records_known") == 1;
    }

    static std::string suspects(node const& one)
    {
        test_caller caller(one.settings.listen_metrics);
        return caller.call("GET /suspects HTTP/1.1\r\nHost: x\r\n\r\n").body;
    }

    static bool has_no_suspects(node const& one)
    {
        return suspects(one).find("\"engine\"") == std::string::npos;
    }

    std::size_t runs_of(std::string const& id) const
    {
        std::size_t runs = 0;
        for (auto const& target : targets)
        {
            for (auto const& one : target->calls())
                runs += one.id == id ? 1 : 0;
        }
        return runs;
    }
};

} // namespace

TEST_CASE_METHOD(
    engine_pause_fixture,
    "engine pause: a call that meets three silent engines is answered")
{
    auto const* const path = GENERATE("/turns/x", "/safe/x");
    auto& node = start_node();
    pauses_left = 3;
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(request_of(path, "r1"));
    INFO(got.body);
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(eventually([&] { return has_no_suspects(node); }));
}

TEST_CASE_METHOD(
    engine_pause_fixture,
    "engine pause: a begun stream that meets silent engines is completed")
{
    auto& node = start_node();
    events_before = 1;
    pauses_left = 3;
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(request_of("/turns/x", "r1"));
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(
        got.body == standin_target::event(1) + standin_target::event(2) +
                        standin_target::event(3));
    CHECK(eventually([&] { return has_no_suspects(node); }));
}

TEST_CASE_METHOD(
    engine_pause_fixture,
    "engine pause: calls of one content beside silent engines are all answered")
{
    auto const* const path = GENERATE("/turns/x", "/safe/x", "/orders/x");
    auto& first = start_node();
    auto& second = start_node();
    for (auto* node : {&first, &second})
        REQUIRE(eventually([&] { return knows_others(*node); }));
    constexpr int calls = 8;
    for (auto const* round : {"a", "b", "c"})
    {
        // A third of the engines.
        pauses_left = 2;
        auto const answers = call_together(first, path, round, calls);
        for (auto const& one : answers)
        {
            INFO(one.body);
            CHECK(one.status == 200);
            CHECK(one.whole);
        }
        if (path == std::string("/orders/x"))
        {
            for (int i = 0; i < calls; ++i)
                CHECK(runs_of(round + ("." + std::to_string(i))) == 1);
        }
    }
    CHECK(eventually([&] { return has_no_suspects(first); }));
    CHECK(eventually([&] { return has_no_suspects(second); }));
}

TEST_CASE_METHOD(
    engine_pause_fixture,
    "engine pause: calls given up at silent engines cause no refusal")
{
    auto const* const path = GENERATE("/turns/x", "/safe/x", "/orders/x");
    auto& first = start_node();
    auto& second = start_node();
    for (auto* node : {&first, &second})
        REQUIRE(eventually([&] { return knows_others(*node); }));
    constexpr int given_up_after_ms = 400;
    for (int i = 0; i < 4; ++i)
    {
        pauses_left = 1;
        test_caller caller(
            (i % 2 == 0 ? first : second).settings.listen_callers);
        auto const got = caller.call(
            request_of(path, "r" + std::to_string(i), given_up_after_ms));
        INFO(got.body);
        CHECK((got.status == 504 || got.status == 502 || got.status == 200));
    }
    for (auto* node : {&first, &second})
    {
        pauses_left = 0;
        test_caller caller(node->settings.listen_callers);
        auto const got =
            caller.call(request_of(path, "late." + node->settings.node));
        INFO(got.body);
        CHECK(got.status == 200);
    }
    CHECK(eventually([&] { return has_no_suspects(first); }));
    CHECK(eventually([&] { return has_no_suspects(second); }));
}

TEST_CASE_METHOD(
    engine_pause_fixture,
    "engine pause: an order at an engine that stays silent ends in time")
{
    for (auto const& one : targets)
        one->set_handler([](link_ptr const&, http_request const&)
                         { return true; });
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const began = std::chrono::steady_clock::now();
    constexpr int deadline_ms = 1'200;
    caller.send(request_of("/orders/x", "r1", deadline_ms));
    // Whatever becomes of its route and engine.
    REQUIRE(eventually([&] { return runs_of("r1") == 1; }));
    for (auto const& one : targets)
        store.remove("servers", one->id());
    auto document = configuration();
    document["version"] = 4;
    document["routes"].erase(3);
    store.put("op", "config", document);
    auto const got = caller.receive();
    auto const took = std::chrono::steady_clock::now() - began;
    CHECK((got.status == 504 || got.status == 502));
    CHECK(got.whole);
    CHECK(took < milliseconds(deadline_ms + 500));
    CHECK(took > milliseconds(deadline_ms / 2));
    CHECK(runs_of("r1") == 1);
}

namespace
{

extern "C" void stand_still(int)
{
    timespec const left{1, 0};
    nanosleep(&left, nullptr);
}

} // namespace

TEST_CASE_METHOD(
    engine_pause_fixture,
    "engine pause: a node that stood still leaves no engine that answered")
{
    // More than the runtime reads at once.
    constexpr int calls = 300;
    constexpr milliseconds answer_time{100};
    min_stall_timeout = milliseconds(600);
    for (auto const& one : targets)
    {
        one->set_handler(
            [&one = *one,
             answer_time](link_ptr const& link, http_request const& request)
            {
                std::string const id(request["Request-Id"]);
                one.server().later(
                    answer_time,
                    [link, id]
                    {
                        link->write(standin_target::answer(
                            200,
                            "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
                            "done"));
                        link->finish_answer();
                    });
                return true;
            });
    }
    auto& node = start_node();
    std::vector<std::unique_ptr<test_caller>> callers;
    callers.reserve(static_cast<std::size_t>(calls));
    for (int i = 0; i < calls; ++i)
    {
        callers.push_back(
            std::make_unique<test_caller>(node.settings.listen_callers));
    }
    for (int i = 0; i < calls; ++i)
        callers[static_cast<std::size_t>(i)]->send(
            post("/safe/x", "r" + std::to_string(i), {}, std::to_string(i)));
    std::this_thread::sleep_for(answer_time / 2);
    auto const former = std::signal(SIGUSR2, stand_still);
    pthread_kill(node.thread.native_handle(), SIGUSR2);
    for (auto& one : callers)
        CHECK(one->receive().status == 200);
    std::signal(SIGUSR2, former);
    CHECK_FALSE(metric(
        node, "walnutmill_attempts_failed_total{outcome=\"stalled, left\"}"));
}

/// \file
/// Tests real nodes whose calls wait for a silent engine, the store or a newer
/// configuration while the configuration changes, the node reloads or stops.

#include <walnutmill/program_ledger.hpp>
#include <walnutmill/turn_history.hpp>

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time for which a sound engine may be silent.
constexpr milliseconds silence{1'000};

/// Collects the lines that nodes write to standard output, and passes them on
/// at its end.
class captured_lines
{
public:
    captured_lines() : file_(std::tmpfile()), output_(::dup(STDOUT_FILENO))
    {
        (void)std::fflush(stdout);
        ::dup2(::fileno(file_), STDOUT_FILENO);
    }
    ~captured_lines()
    {
        (void)std::fflush(stdout);
        ::dup2(output_, STDOUT_FILENO);
        ::close(output_);
        auto const all = text();
        (void)std::fwrite(all.data(), 1, all.size(), stdout);
        (void)std::fclose(file_);
    }
    captured_lines(captured_lines const&) = delete;
    captured_lines& operator=(captured_lines const&) = delete;

    std::string text() const
    {
        std::string all;
        char chunk[4'096];
        for (;;)
        {
            auto const size = ::pread(
                ::fileno(file_), chunk, sizeof(chunk),
                static_cast<off_t>(all.size()));
            if (size <= 0)
                return all;
            all.append(chunk, static_cast<std::size_t>(size));
        }
    }

    /// \return the line about the end of a call; empty if there is none
    std::string call_ended(std::string const& id) const
    {
        auto const all = text();
        std::size_t from = 0;
        while (from < all.size())
        {
            auto const end = std::min(all.find('\n', from), all.size());
            auto line = all.substr(from, end - from);
            if (line.find("\"event\":\"call.ended\"") != std::string::npos &&
                line.find("\"request\":\"" + id + "\"") != std::string::npos)
                return line;
            from = end + 1;
        }
        return {};
    }

private:
    std::FILE* file_;
    int output_;
};

struct changes_fixture : entry_world
{
    json document = configuration();

    void publish()
    {
        document["version"] = document["version"].get<int>() + 2;
        store.put("op", "config", document);
    }

    void set_all_handlers(standin_target::handler_fn const& handler)
    {
        for (auto* one : {&engine_a, &engine_b, &service_a, &service_b})
            one->set_handler(handler);
    }

    /// Lets each engine be silent for a second before it answers.
    void make_engines_pause()
    {
        for (auto* one : {&engine_a, &engine_b, &service_a, &service_b})
        {
            one->set_handler(
                [one](link_ptr const& link, http_request const& request)
                {
                    std::string const id(request["Request-Id"]);
                    auto const streams = request.target().find("/orders/") != 0;
                    one->server().later(
                        silence,
                        [link, id, streams]
                        {
                            link->write(
                                streams ? standin_target::stream(id, 1, 3, true)
                                        : standin_target::answer(
                                              200,
                                              "Request-Id: " + id +
                                                  "\r\nResponse-Stamp: s\r\n",
                                              "done"));
                            link->finish_answer();
                        });
                    return true;
                });
        }
    }

    std::size_t engine_calls() const
    {
        std::size_t sum = 0;
        for (auto const* one : {&engine_a, &engine_b, &service_a, &service_b})
            sum += one->calls().size();
        return sum;
    }
};

struct change_case
{
    std::string name;
    std::function<void(changes_fixture&, changes_fixture::node&)> apply;
};

change_case document_change(std::string name, std::function<void(json&)> what)
{
    return {
        std::move(name),
        [what = std::move(what)](changes_fixture& at, changes_fixture::node&)
        {
            what(at.document);
            at.publish();
        }};
}

std::vector<change_case> changes()
{
    return {
        document_change(
            "idle timeout",
            [](json& to) { to["limits"]["idle_timeout_ms"] = 200; }),
        document_change(
            "shorter timeout",
            [](json& to)
            {
                for (auto& one : to["routes"])
                    one["timeout_ms"] = 500;
            }),
        document_change(
            "weights",
            [](json& to)
            {
                for (auto& one : to["routes"])
                    one["split"] = {
                        {{"service", one["service"]}, {"weight", 1}},
                        {{"service", "none"}, {"weight", 0}}};
            }),
        document_change(
            "routes gone", [](json& to) { to["routes"] = json::array(); }),
        document_change(
            "services gone", [](json& to) { to["services"] = json::array(); }),
        document_change(
            "keys required",
            [](json& to) {
                to["tenants"] = {
                    {{"name", "archive"}, {"api_keys", {"key-of-archive"}}}};
            }),
        {"engines gone",
         [](changes_fixture& at, changes_fixture::node&)
         {
             for (auto const* id : {"ia", "ib", "da", "db"})
                 at.store.remove("servers", id);
         }},
        {"reload", [](changes_fixture&, changes_fixture::node&)
         { ::kill(::getpid(), SIGHUP); }},
        {"stop", [](changes_fixture&, changes_fixture::node& node)
         { node.process->request_stop(); }}};
}

/// A node of its own for each change, all at the same time. A reload comes by a
/// signal to the whole process, so it has its own run.
struct worlds
{
    struct one
    {
        std::size_t index = 0;
        change_case change;
        changes_fixture world;
        changes_fixture::node* node = nullptr;
        std::vector<std::unique_ptr<test_caller>> callers;

        one(std::size_t at, change_case what)
            : index(at), change(std::move(what))
        {
        }
        std::string id(std::string const& call) const
        {
            return call + std::to_string(index);
        }
        void send(std::string const& bytes)
        {
            callers.push_back(
                std::make_unique<test_caller>(node->settings.listen_callers));
            callers.back()->send(bytes);
        }
    };
    std::deque<one> each;

    explicit worlds(bool reloads)
    {
        for (auto& change : changes())
        {
            if ((change.name == "reload") == reloads)
                each.emplace_back(each.size(), std::move(change));
        }
    }

    void start()
    {
        for (auto& one : each)
            one.node = &one.world.start_node();
    }
    void check_answers(std::set<int> const& statuses)
    {
        for (auto& one : each)
        {
            INFO(one.change.name);
            for (auto const& caller : one.callers)
            {
                auto const got = caller->receive();
                INFO(got.status << " " << got.body);
                CHECK(got.whole);
                CHECK(statuses.count(got.status) == 1);
            }
        }
    }
    void stop()
    {
        for (auto& one : each)
            one.node->process->request_stop();
        for (auto& one : each)
            one.world.stop_node(*one.node);
    }
};

} // namespace

TEST_CASE(
    "changes: calls at engines that are silent for a second end with their "
    "answers")
{
    captured_lines const lines;
    worlds all(GENERATE(false, true));
    for (auto& one : all.each)
        one.world.make_engines_pause();
    all.start();
    for (auto& one : all.each)
    {
        one.send(entry_world::post("/orders/x", one.id("o")));
        one.send(entry_world::turn(one.id("s")));
        one.send(entry_world::turn(one.id("k"), {}, "/kept/"));
    }
    for (auto& one : all.each)
    {
        REQUIRE(entry_world::eventually(
            [&] { return one.world.engine_calls() == 3; }));
        one.change.apply(one.world, *one.node);
    }
    for (auto& one : all.each)
    {
        INFO(one.change.name);
        for (auto const& caller : one.callers)
        {
            auto const got = caller->receive();
            CHECK(got.whole);
            CHECK(got.status == 200);
        }
        CHECK(one.world.engine_calls() == 3);
    }
    all.stop();
    for (auto& one : all.each)
    {
        INFO(one.change.name);
        for (auto const* call : {"o", "s", "k"})
            CHECK(
                lines.call_ended(one.id(call))
                    .find("\"outcome\":\"answered\"") != std::string::npos);
    }
}

TEST_CASE(
    "changes: calls that may run once wait on at an engine that counts as "
    "stalled")
{
    captured_lines const lines;
    worlds all(false);
    for (auto& one : all.each)
    {
        one.world.min_stall_timeout = milliseconds(300);
        one.world.make_engines_pause();
    }
    all.start();
    for (auto& one : all.each)
    {
        one.send(entry_world::post("/orders/x", one.id("w")));
        one.send(entry_world::turn(one.id("v"), {}, "/kept/"));
    }
    for (auto& one : all.each)
    {
        REQUIRE(entry_world::eventually(
            [&] { return one.world.engine_calls() == 2; }));
        one.change.apply(one.world, *one.node);
    }
    all.check_answers({200});
    all.stop();
    for (auto& one : all.each)
    {
        INFO(one.change.name);
        CHECK(one.world.engine_calls() == 2);
        for (auto const* call : {"w", "v"})
            CHECK_FALSE(lines.call_ended(one.id(call)).empty());
    }
    CHECK(lines.text().find("stalled, waits on") != std::string::npos);
}

TEST_CASE(
    "changes: calls that wait for the store end with an answer or a refusal")
{
    captured_lines const lines;
    worlds all(GENERATE(false, true));
    all.start();
    for (auto& one : all.each)
    {
        one.world.store.silence_table(program_ledger::table());
        one.send(entry_world::turn(
            one.id("b"), "Program-Id: p1\r\nToken-Budget: 900\r\n"));
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (auto& one : all.each)
        one.change.apply(one.world, *one.node);
    std::this_thread::sleep_for(silence);
    for (auto& one : all.each)
        one.world.store.silence_table({});
    all.check_answers({200, 503});
    all.stop();
    for (auto& one : all.each)
        CHECK_FALSE(lines.call_ended(one.id("b")).empty());
}

TEST_CASE("changes: a call that waits for its history ends with an answer or a "
          "refusal")
{
    captured_lines const lines;
    worlds all(GENERATE(false, true));
    all.start();
    for (auto& one : all.each)
    {
        one.world.store.silence_table(turn_history::table());
        one.send(entry_world::turn(
            one.id("h"), "Previous-Turn: unknown\r\n", "/kept/"));
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (auto& one : all.each)
        one.change.apply(one.world, *one.node);
    std::this_thread::sleep_for(silence);
    for (auto& one : all.each)
        one.world.store.silence_table({});
    all.check_answers({404, 503});
    all.stop();
    for (auto& one : all.each)
        CHECK_FALSE(lines.call_ended(one.id("h")).empty());
}

TEST_CASE(
    "changes: a call that waits for a newer configuration ends with an answer "
    "or a refusal")
{
    captured_lines const lines;
    worlds all(GENERATE(false, true));
    for (auto& one : all.each)
    {
        one.world.document["tenants"] = {
            {{"name", "library"}, {"api_keys", {"key-of-library"}}}};
        one.world.publish();
        one.world.revoke = seconds(3);
    }
    all.start();
    for (auto& one : all.each)
    {
        one.send(entry_world::post(
            "/orders/x", one.id("c"), "X-Api-Key: key-of-archive\r\n"));
        one.change.apply(one.world, *one.node);
    }
    all.check_answers({200, 401, 404, 503});
    all.stop();
    for (auto& one : all.each)
        CHECK_FALSE(lines.call_ended(one.id("c")).empty());
}

TEST_CASE_METHOD(
    changes_fixture,
    "changes: calls under way when the node has to exit end with an answer of "
    "their own and a line")
{
    captured_lines lines;
    document["routes"][3]["timeout_ms"] = 20'000;
    document["routes"][0]["timeout_ms"] = 20'000;
    publish();
    auto& node = start_node();
    set_all_handlers(
        [](link_ptr const& link, http_request const& request)
        {
            if (request.target().find("/turns/") == 0)
                link->write(standin_target::stream(
                    std::string(request["Request-Id"]), 1, 1, false));
            return true;
        });
    auto const without_deadline = [](std::string text)
    {
        std::string const field = "Deadline-Ms: 3000\r\n";
        return text.erase(text.find(field), field.size());
    };
    test_caller order(node.settings.listen_callers);
    order.send(without_deadline(post("/orders/x", "o1")));
    test_caller stream(node.settings.listen_callers);
    stream.send(without_deadline(turn("s1")));
    CHECK(stream.receive_until("piece 1").find("piece 1") < std::string::npos);
    REQUIRE(eventually([&] { return engine_calls() == 2; }));
    stop_node(node);
    auto const got = order.receive();
    CHECK(got.whole);
    CHECK(got.status == 502);
    CHECK_FALSE(stream.receive().whole);
    for (auto const* id : {"o1", "s1"})
        CHECK(
            lines.call_ended(id).find("the node has to exit") !=
            std::string::npos);
}

/// \file
/// Tests the accounting of load: alone under a manual clock, and through nodes
/// on the loopback interface.

#include "entry/load_accounting.hpp"

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct accounting_fixture
{
    manual_clock clock;
    std::shared_ptr<load_accounting> accounting =
        std::make_shared<load_accounting>(clock.fn());

    call_labels
    labels_of(std::string const& route, std::string const& workspace = {}) const
    {
        return {
            accounting->route_index(route),
            accounting->workspace_index(workspace_name(workspace))};
    }
    call_wait wait(call_labels labels, wait_reason reason) const
    {
        return {accounting, labels, reason};
    }

    /// \return the value of a metric; empty if there is none
    std::string metric(std::string const& name) const
    {
        auto const text = "\n" + accounting->prometheus_text();
        auto const at = text.find("\n" + name + " ");
        if (at == std::string::npos)
            return {};
        auto const value = at + name.size() + 2;
        return text.substr(value, text.find('\n', value) - value);
    }
    /// \return the number of samples of a metric
    std::size_t samples(std::string const& metric) const
    {
        std::istringstream text(accounting->prometheus_text());
        std::size_t found = 0;
        for (std::string line; std::getline(text, line);)
            found += line.rfind(metric + "{", 0) == 0 ? 1 : 0;
        return found;
    }
    bool end_interval()
    {
        clock.advance(seconds(5));
        return accounting->end_interval();
    }
};

std::string const waiting_for_budget =
    "walnutmill_calls_waiting{route=\"r\",for=\"budget\"}";

} // namespace

TEST_CASE_METHOD(
    accounting_fixture, "load accounting: labels beyond the bound share one, "
                        "so that callers cannot "
                        "fill the memory")
{
    for (int i = 0; i < 300; ++i)
    {
        auto const number = std::to_string(i);
        auto const labels = labels_of("r" + number, "w" + number);
        accounting->count_refusal(labels, refusal_cause::store);
        accounting->count_late_turn(labels);
        accounting->add_engine_time(labels, seconds(1));
        accounting->count_engine_call(
            service_name("s" + number), zone_name("z" + number));
        wait(labels, wait_reason::place).end();
    }
    constexpr std::size_t bound = 101;
    CHECK(samples("walnutmill_refusals_total") == bound);
    CHECK(samples("walnutmill_workspace_refusals_total") == bound);
    CHECK(samples("walnutmill_late_turns_total") == bound);
    CHECK(samples("walnutmill_workspace_late_turns_total") == bound);
    CHECK(samples("walnutmill_workspace_engine_seconds_total") == bound);
    CHECK(samples("walnutmill_wait_seconds_count") == bound);
    CHECK(samples("walnutmill_calls_waiting") == bound);
    CHECK(samples("walnutmill_engine_calls_total") == 51);
    CHECK(
        metric("walnutmill_refusals_total{route=\"r99\",why=\"store\"}") ==
        "1");
    CHECK(
        metric("walnutmill_refusals_total{route=\"other\",why=\"store\"}") ==
        "200");
    CHECK(
        metric("walnutmill_engine_calls_total{service=\"other\",domain="
               "\"other\"}") == "250");
}

TEST_CASE_METHOD(
    accounting_fixture,
    "load accounting: names that are reserved or need an escape leave the "
    "metrics readable")
{
    accounting->count_refusal(
        labels_of("a\"b\\c\nd", "none"), refusal_cause::time);
    accounting->count_refusal(labels_of("other", "w"), refusal_cause::time);
    accounting->count_refusal(labels_of(""), refusal_cause::time);
    CHECK(
        metric("walnutmill_refusals_total{route=\"a\\\"b\\\\c\\nd\",why="
               "\"time\"}") == "1");
    CHECK(
        metric("walnutmill_refusals_total{route=\"other\",why=\"time\"}") ==
        "1");
    CHECK(
        metric("walnutmill_refusals_total{route=\"none\",why=\"time\"}") ==
        "1");
    CHECK(
        metric("walnutmill_workspace_refusals_total{workspace=\"other\",why="
               "\"time\"}") == "1");
    CHECK(samples("walnutmill_workspace_refusals_total") == 2);
}

TEST_CASE("load accounting: causes of refusals are a fixed set")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < refusal_cause_count; ++i)
        names.insert(to_string(static_cast<refusal_cause>(i)));
    CHECK(names.size() == refusal_cause_count);
    CHECK(
        refusal_cause_of(503, "the engines are full") ==
        refusal_cause::engines_full);
    CHECK(
        refusal_cause_of(503, "the node has to exit") ==
        refusal_cause::stopping);
    CHECK(refusal_cause_of(503, "a new reason") == refusal_cause::other);
    CHECK(refusal_cause_of(429, "any") == refusal_cause::over_limit);
    CHECK(refusal_cause_of(402, "any") == refusal_cause::budget_spent);
}

TEST_CASE(
    "load accounting: calls that are invalid or may have run are not refused")
{
    for (int const status : {400, 401, 404, 502, 504})
        CHECK_FALSE(refusal_cause_of(status, "time is up"));
}

TEST_CASE_METHOD(
    accounting_fixture,
    "load accounting: where nothing was refused or late, no line is due")
{
    CHECK_FALSE(end_interval());
    auto const labels = labels_of("r", "w");
    auto waiting = wait(labels, wait_reason::budget);
    clock.advance(seconds(1));
    waiting.end();
    accounting->count_engine_call(service_name("s"), zone_name("z"));
    accounting->add_engine_time(labels, seconds(1));
    CHECK_FALSE(end_interval());
    accounting->count_late_turn(labels);
    CHECK(end_interval());
    CHECK_FALSE(end_interval());
    accounting->count_refusal(labels, refusal_cause::store);
    CHECK(end_interval());
}

TEST_CASE_METHOD(
    accounting_fixture, "load accounting: no line is due within an interval")
{
    accounting->count_refusal(labels_of("r"), refusal_cause::store);
    clock.advance(milliseconds(4'999));
    CHECK_FALSE(accounting->end_interval());
    clock.advance(milliseconds(1));
    CHECK(accounting->end_interval());
}

TEST_CASE_METHOD(
    accounting_fixture,
    "load accounting: a line tells its own interval, and metrics go on")
{
    auto const labels = labels_of("r", "w");
    accounting->count_refusal(labels, refusal_cause::engines_full);
    accounting->count_refusal(labels, refusal_cause::engines_full);
    accounting->count_late_turn(labels);
    auto waiting = wait(labels, wait_reason::quota);
    clock.advance(milliseconds(30));
    waiting.end();
    accounting->add_engine_time(labels, milliseconds(700));
    REQUIRE(end_interval());
    auto const first = accounting->summary({{"llm", 1.25}});
    CHECK(first["interval_ms"] == 5'030);
    CHECK(first["refused"] == 2);
    CHECK(first["late"] == 1);
    CHECK(first["load_per_slot"] == json{{"llm", 1.25}});
    json const expected{
        {"name", "w"},
        {"late", 1},
        {"refused", {{"engines full", 2}}},
        {"waited_ms", {{"quota", 30}}},
        {"engine_ms", 700}};
    CHECK(first["workspaces"] == json::array({expected}));
    CHECK(first["routes"][0]["name"] == "r");
    CHECK(
        first["engine_users"] ==
        json::array({{{"name", "w"}, {"engine_ms", 700}}}));

    accounting->count_refusal(labels, refusal_cause::store);
    REQUIRE(end_interval());
    auto const second = accounting->summary({});
    CHECK(second["refused"] == 1);
    CHECK(second["late"] == 0);
    CHECK(second["routes"][0]["refused"] == json{{"store", 1}});
    CHECK(second["routes"][0]["waited_ms"] == json::object());
    CHECK(second["engine_users"] == json::array());
    CHECK(
        metric("walnutmill_refusals_total{route=\"r\",why=\"engines full\"}") ==
        "2");
}

TEST_CASE_METHOD(
    accounting_fixture,
    "load accounting: a line lists five at most, those refused most first")
{
    for (int i = 0; i < 9; ++i)
    {
        auto const labels = labels_of("r" + std::to_string(i));
        for (int n = 0; n < i; ++n)
            accounting->count_refusal(labels, refusal_cause::store);
    }
    auto waiting = wait(labels_of("r0"), wait_reason::place);
    clock.advance(seconds(60));
    waiting.end();
    REQUIRE(end_interval());
    auto const routes = accounting->summary({})["routes"];
    REQUIRE(routes.size() == 5);
    CHECK(routes[0]["name"] == "r8");
    CHECK(routes[4]["name"] == "r4");
}

TEST_CASE_METHOD(
    accounting_fixture,
    "load accounting: among those refused alike, the longest waits come first")
{
    for (auto const* route : {"a", "b", "c"})
    {
        auto waiting = wait(labels_of(route), wait_reason::place);
        clock.advance(milliseconds(route[0] == 'b' ? 90 : 10));
        waiting.end();
    }
    accounting->count_refusal(labels_of("c"), refusal_cause::store);
    REQUIRE(end_interval());
    auto const routes = accounting->summary({})["routes"];
    REQUIRE(routes.size() == 3);
    CHECK(routes[0]["name"] == "c");
    CHECK(routes[1]["name"] == "b");
    CHECK(routes[2]["name"] == "a");
}

TEST_CASE_METHOD(
    accounting_fixture, "load accounting: a wait counts once, however it ends")
{
    auto const labels = labels_of("r");
    {
        auto first = wait(labels, wait_reason::budget);
        auto const second = wait(labels, wait_reason::budget);
        CHECK(metric(waiting_for_budget) == "2");
        clock.advance(milliseconds(20));
        first.end();
        first.end();
        CHECK(metric(waiting_for_budget) == "1");
        // The second is destroyed.
    }
    CHECK(metric(waiting_for_budget) == "0");
    auto moved_from = wait(labels, wait_reason::budget);
    auto moved_to = std::move(moved_from);
    CHECK(metric(waiting_for_budget) == "1");
    clock.advance(milliseconds(10));
    moved_to = wait(labels, wait_reason::history);
    CHECK(metric(waiting_for_budget) == "0");
    CHECK(
        metric("walnutmill_calls_waiting{route=\"r\",for=\"history\"}") == "1");
    moved_to = call_wait();
    CHECK(
        metric("walnutmill_calls_waiting{route=\"r\",for=\"history\"}") == "0");
    CHECK(
        metric("walnutmill_wait_seconds_count{route=\"r\",for=\"budget\"}") ==
        "3");
    CHECK(
        metric("walnutmill_wait_seconds_sum{route=\"r\",for=\"budget\"}") ==
        "0.05");
}

namespace
{

/// Collects what the process writes to standard output, which is where nodes
/// write their log.
class captured_output
{
public:
    captured_output() : file_(std::tmpfile()), former_(::dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        ::dup2(::fileno(file_), STDOUT_FILENO);
    }
    /// Passes on what was collected, which includes reports of failed checks.
    ~captured_output()
    {
        std::fflush(stdout);
        ::dup2(former_, STDOUT_FILENO);
        ::close(former_);
        auto const collected = text();
        std::fwrite(collected.data(), 1, collected.size(), stdout);
        std::fclose(file_);
    }
    captured_output(captured_output const&) = delete;
    captured_output& operator=(captured_output const&) = delete;

    /// \return the log lines of an event
    std::vector<json> lines(std::string const& event) const
    {
        std::vector<json> found;
        std::istringstream stream(text());
        for (std::string line; std::getline(stream, line);)
        {
            auto one = json::parse(line, nullptr, false);
            if (one.is_object() && one.value("event", "") == event)
                found.push_back(std::move(one));
        }
        return found;
    }

private:
    std::string text() const
    {
        std::string read;
        std::array<char, 4'096> chunk{};
        for (;;)
        {
            auto const size = ::pread(
                ::fileno(file_), chunk.data(), chunk.size(),
                static_cast<off_t>(read.size()));
            if (size <= 0)
                return read;
            read.append(chunk.data(), static_cast<std::size_t>(size));
        }
    }

    std::FILE* file_;
    int former_;
};

struct accounted_node_fixture : entry_world
{
    // The nodes write to it until they end.
    captured_output output;
    std::string const key = "X-Api-Key: key-of-archive\r\n";
    int last_id = 0;

    accounted_node_fixture()
    {
        auto document = configuration();
        document["tenants"] = {
            {{"name", "archive"},
             {"api_keys", {"key-of-archive"}},
             {"rate_per_s", 1},
             {"burst", 2}}};
        document["version"] = 5;
        store.put("op", "config", document);
    }
    ~accounted_node_fixture()
    {
        for (auto& one : nodes)
            stop_node(*one);
    }

    /// Sends calls until one has the status. \return the number sent, or 0 if
    /// none has it within 30 s
    template<class Request>
    int call_until(node const& at, int status, Request const& request)
    {
        int sent = 0;
        auto last = 0;
        auto const got = eventually(
            [&]
            {
                if (last != status)
                {
                    test_caller caller(at.settings.listen_callers);
                    last = caller.call(request("r" + std::to_string(++last_id)))
                               .status;
                    ++sent;
                }
                return last == status;
            });
        return got ? sent : 0;
    }
    std::optional<double>
    count_of(node const& at, std::string const& metric_name) const
    {
        return metric(at, "walnutmill_" + metric_name);
    }
};

} // namespace

TEST_CASE_METHOD(
    accounted_node_fixture,
    "load accounting: a refused call and a late turn at a node are counted by "
    "route and workspace")
{
    auto& node = start_node();
    REQUIRE(
        call_until(
            node, 200,
            [&](std::string const& id)
            { return turn(id, key + "Finish-Ms: 0\r\n"); }) > 0);
    // Beyond the burst.
    REQUIRE(
        call_until(
            node, 429,
            [&](std::string const& id)
            { return post("/orders/x", id, key); }) > 0);
    CHECK(count_of(node, "late_turns_total{route=\"turns\"}") == 1.0);
    CHECK(
        count_of(node, "workspace_late_turns_total{workspace=\"archive\"}") ==
        1.0);
    CHECK(
        count_of(node, "refusals_total{route=\"orders\",why=\"over limit\"}") ==
        1.0);
    CHECK(
        count_of(
            node, "workspace_refusals_total{workspace=\"archive\",why=\"over "
                  "limit\"}") == 1.0);
    CHECK(
        count_of(node, "engine_calls_total{service=\"llm\",domain=\"z1\"}") ==
        1.0);
    CHECK(
        count_of(node, "workspace_engine_seconds_total{workspace=\"archive\"}")
            .value_or(0) > 0);
    for (std::string const reason : {"quota", "place"})
    {
        auto const labels = "{route=\"turns\",for=\"" + reason + "\"}";
        CHECK(count_of(node, "calls_waiting" + labels) == 0.0);
        CHECK(count_of(node, "wait_seconds_count" + labels).value_or(0) >= 1.0);
    }
    // One of the lines may tell only what came first.
    int late = 0;
    int over_limit = 0;
    std::size_t read = 0;
    REQUIRE(eventually(
        [&]
        {
            auto const lines = output.lines("load.summary");
            for (; read < lines.size(); ++read)
            {
                for (auto const& one : lines[read]["workspaces"])
                {
                    CHECK(one["name"] == "archive");
                    late += one["late"].get<int>();
                    over_limit += one["refused"].value("over limit", 0);
                }
            }
            return late == 1 && over_limit == 1;
        }));
    auto const lines = output.lines("load.summary");
    CHECK_FALSE(lines.back()["routes"].empty());
    CHECK(lines.back().contains("load_per_slot"));
    // What was refused and late is told once.
    std::this_thread::sleep_for(seconds(6));
    CHECK(output.lines("load.summary").size() == lines.size());
}

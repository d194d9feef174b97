#include "entry_world.hpp"

#include "entry/platform_view.hpp"
#include "entry/store_client.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A client of the simulated store, on the test's own event loop.
struct store_return_fixture
{
    boost::asio::io_context io;
    standin_store store;
    int recoveries = 0;
    store_client client{
        network_runtime(io),
        store.address(),
        seeded_random(3),
        {{}, [this] { ++recoveries; }, nullptr}};

    template<class Condition>
    bool eventually(Condition const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + seconds(30);
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            io.run_for(milliseconds(5));
            io.restart();
        }
        return condition();
    }

    store_outcome read_once()
    {
        auto outcome = store_outcome::done;
        bool ended = false;
        client.calls(store_client::unavailable_policy::fail_fast)
            .read(
                {"some", "", "", ""}, seconds(20),
                [&](range_result const& result)
                {
                    outcome = result.outcome;
                    ended = true;
                });
        REQUIRE(eventually([&] { return ended; }));
        return outcome;
    }
};

} // namespace

TEST_CASE_METHOD(
    store_return_fixture,
    "store client: recovery is detected without any pending call")
{
    store.set_down(true);
    REQUIRE(read_once() == store_outcome::unavailable);
    CHECK(recoveries == 0);
    store.set_down(false);
    CHECK(eventually([&] { return recoveries == 1; }));
    CHECK(read_once() == store_outcome::done);
}

TEST_CASE_METHOD(
    store_return_fixture, "store client: calls are counted by kind and table")
{
    metrics counters;
    store_client counted(
        network_runtime(io), store.address(), seeded_random(4),
        {{}, {}, &counters});
    int ended = 0;
    auto const calls =
        counted.calls(store_client::unavailable_policy::retry_until_timeout);
    calls.read(
        {"some", "", "", ""}, seconds(20),
        [&](range_result const&) { ++ended; });
    row_transaction one;
    one.writes.push_back({{"other", "p1", "k"}, "v"});
    calls.commit(one, seconds(20), [&](transaction_result const&) { ++ended; });
    REQUIRE(eventually([&] { return ended == 2; }));
    auto const text = counters.prometheus_text();
    CHECK(
        text.find("walnutmill_store_calls_total{call=\"read\",table=\"some\"} "
                  "1") != std::string::npos);
    CHECK(
        text.find("walnutmill_store_calls_total{call=\"commit\",table="
                  "\"other\"} 1") != std::string::npos);
}

TEST_CASE("platform view: a refresh starts all reads at once")
{
    fake_store rows;
    manual_clock clock;
    line_log log(
        "n", clock.fn(), [](std::string_view bytes) { return bytes.size(); },
        log_limits());
    platform_view view(
        rows.calls(), clock.fn(), seeded_random(1), log,
        {"n", "127.0.0.1:1", "z", "n.1"}, milliseconds(450),
        {[](std::shared_ptr<routing_table const> const&) {},
         [](std::vector<engine_entry> const&) {},
         [](std::vector<entry_member> const&) {},
         [](duration, std::function<void()> const&) {}});
    view.start();
    rows.run();
    auto const before = rows.steps();
    view.refresh();
    rows.run();
    CHECK(rows.steps() == before + 4);
}

TEST_CASE_METHOD(
    entry_world, "entry: without a configuration callers are asked to retry")
{
    store.remove("op", "config");
    auto& node = launch_node();
    auto const get = [&]
    {
        test_caller caller(node.settings.listen_callers);
        return caller.call(post("/orders/x", "r1"));
    };
    caller_answer got;
    auto const end = std::chrono::steady_clock::now() + seconds(30);
    while (got.status == 0 && std::chrono::steady_clock::now() < end)
    {
        try
        {
            got = get();
        }
        catch (boost::system::system_error const&)
        {
            // The node does not listen yet.
            std::this_thread::sleep_for(milliseconds(20));
        }
    }
    CHECK(got.status == 503);
    // An outage lasts seconds; the caller bounds its own wait.
    CHECK(std::stod(got.headers.at("Retry-After")) >= 0.9);
}

TEST_CASE_METHOD(
    entry_world, "entry: a node is ready only after it has read the engines")
{
    store.silence_table("servers");
    auto& node = launch_node();
    // A path without a route gets status 404 once the configuration is loaded.
    auto const is_configured = [&]
    {
        try
        {
            test_caller caller(node.settings.listen_callers);
            return caller.call(post("/nowhere/x", "r1")).status == 404;
        }
        catch (boost::system::system_error const&)
        {
            return false;
        }
    };
    REQUIRE(eventually(is_configured));
    CHECK_FALSE(is_ready(node));
    store.silence_table({});
    REQUIRE(eventually([&] { return is_ready(node); }));
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(post("/orders/x", "r2")).status == 200);
}

TEST_CASE_METHOD(
    store_return_fixture,
    "store client: a store that rejects a request for changes has lost its "
    "history")
{
    constexpr int status_bad_request = 400;
    standin_server other;
    other.on_request = [](link_ptr const& link, http_request const&)
    {
        link->write(standin_target::answer(status_bad_request, {}, "{}"));
        link->finish_answer();
    };
    client.set_address(other.address());
    bool ended = false;
    client.calls(store_client::unavailable_policy::retry_until_timeout)
        .read_changes(
            "op", 5, seconds(20),
            [&](changes_result const& result)
            {
                CHECK(result.outcome == store_outcome::unavailable);
                CHECK(result.history_lost);
                ended = true;
            });
    REQUIRE(eventually([&] { return ended; }));
}

TEST_CASE_METHOD(
    store_return_fixture, "store client: a single attempt is not retried")
{
    store.silence({"p1"});
    row_transaction one;
    one.writes.push_back({{"some", "p1", "k"}, "v"});
    int ended = 0;
    client.calls(store_client::unavailable_policy::single_attempt)
        .commit(
            one, milliseconds(700),
            [&](transaction_result const& result)
            {
                CHECK(result.outcome == store_outcome::unavailable);
                CHECK(result.in_doubt);
                ++ended;
            });
    REQUIRE(eventually([&] { return ended == 1; }));
    CHECK(store.transactions_of("p1") == 1);
    client.calls(store_client::unavailable_policy::retry_until_timeout)
        .commit(
            one, milliseconds(700),
            [&](transaction_result const&) { ++ended; });
    REQUIRE(eventually([&] { return ended == 2; }));
    CHECK(store.transactions_of("p1") > 2);
}

TEST_CASE_METHOD(
    entry_world, "entry: a pending write of a node's row is not repeated "
                 "meanwhile")
{
    // The store executes queued attempts even after their senders time out.
    // Retries by 295 nodes keep a partition that takes 200 transactions a
    // second permanently saturated.
    store.silence({"members"});
    auto const began = std::chrono::steady_clock::now();
    start_node();
    std::this_thread::sleep_for(seconds(5));
    auto const took = std::chrono::steady_clock::now() - began;
    auto const tries = store.transactions_of("members");
    CHECK(tries >= 1);
    CHECK(tries <= 1 + static_cast<std::size_t>(took / seconds(2)));
}

#include "entry/history_exchange.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A node of which the clock is independent of those of other nodes.
struct history_node
{
    fake_store& store;
    manual_clock clock;
    boost::asio::io_context io;
    turn_history history{store.calls(), options()};
    history_exchange exchange;

    history_node(fake_store& shared, std::string const& name)
        : store(shared), exchange(io, history, clock.fn(), name, "z1")
    {
    }

    history_options options() const
    {
        history_options to;
        to.clock = clock.fn();
        return to;
    }

    std::string serve(std::string const& target, std::string const& body)
    {
        std::string answer;
        exchange.serve(
            target, body,
            [&](int status, std::string bytes)
            {
                CHECK(status == 200);
                answer = std::move(bytes);
            });
        return answer;
    }

    time_point removable_at(std::string const& id)
    {
        time_point at;
        history.load(
            request_id(id),
            [&](history_answer answer, turn_chain const& chain)
            {
                CHECK(answer == history_answer::found);
                at = chain.removable_at;
            });
        return at;
    }
};

std::string to_bytes(json const& value)
{
    auto const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

struct history_exchange_fixture
{
    fake_store store;
    history_node first{store, "a"};
    history_node second{store, "b"};

    /// \return the turns that the first node sends.
    std::string store_and_request()
    {
        stored_turn turn;
        turn.id = request_id("t1");
        turn.output = "out\n";
        turn.kept_for = seconds(60);
        first.history.store_turn(std::move(turn), seconds(1), [](bool) {});
        store.run();
        first.clock.advance(seconds(250));
        second.clock.advance(seconds(5'000));
        return first.serve("/history/turns", to_bytes({{"last", "t1"}}));
    }
};

} // namespace

// A turn of unknown age would be taken for a new one, and its row could be
// removed while later turns rely on it.
TEST_CASE_METHOD(
    history_exchange_fixture, "history exchange: turns keep their age")
{
    second.serve("/history/kept", store_and_request());
    auto const expected = second.clock.now() - seconds(250) + seconds(60) +
                          turn_history::removal_margin;
    CHECK(second.removable_at("t1") <= expected);
    CHECK(second.removable_at("t1") >= expected - milliseconds(2));
}

TEST_CASE_METHOD(
    history_exchange_fixture,
    "history exchange: turns of earlier versions are of unknown age")
{
    auto turns = json::from_cbor(store_and_request());
    turns[0].erase("age_ms");
    turns[0].erase("kept_s");
    second.serve("/history/kept", to_bytes(turns));
    CHECK(second.removable_at("t1") == time_point::min());
}

TEST_CASE_METHOD(
    history_exchange_fixture,
    "history exchange: implausible ages count as unknown")
{
    auto const turns = json::from_cbor(store_and_request());
    for (json const& age :
         {json(-1), json("250"), json(1e30), json(18'446'744'073'709'551'615U)})
    {
        history_node node(store, "c");
        auto changed = turns;
        changed[0]["age_ms"] = age;
        node.serve("/history/kept", to_bytes(changed));
        CHECK(node.removable_at("t1") == time_point::min());
    }
}

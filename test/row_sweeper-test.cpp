#include "entry/row_sweeper.hpp"

#include <walnutmill/program_ledger.hpp>
#include <walnutmill/turn_history.hpp>

#include "entry/partitions.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::seconds;

struct sweeper_fixture
{
    fake_store store;
    manual_clock clock;
    std::int64_t now = 1'000'000;
    utc_fn utc = [this] { return now; };
    row_sweeper sweeper{store.calls(), utc, swept_tables()};

    void write_turn(
        std::string const& id, std::size_t bytes, seconds kept_for = seconds(0))
    {
        history_options options;
        options.utc = utc;
        turn_history history(store.calls(), options);
        stored_turn turn;
        turn.id = request_id(id);
        turn.input = std::string(bytes, 'x');
        turn.kept_for = kept_for;
        history.store_turn(std::move(turn), seconds(1), [](bool) {});
        store.run();
    }

    void admit_program(std::string const& program)
    {
        ledger_options options;
        options.utc = utc;
        program_ledger ledger(store.calls(), clock.fn(), "n", options);
        ledger.admit(program_id(program), {900, 572}, [](admission_answer) {});
        store.run();
    }

    std::size_t sweep_all() { return sweep_all(sweeper); }

    std::size_t sweep_all(row_sweeper& by)
    {
        std::size_t removed = 0;
        for (auto const& partition : all_partitions())
        {
            by.sweep(
                partition, seconds(60),
                [&](std::size_t rows) { removed += rows; });
            store.run();
        }
        return removed;
    }
};

} // namespace

TEST_CASE_METHOD(sweeper_fixture, "sweeper: rows in use are retained")
{
    write_turn("t1", 100);
    admit_program("p1");
    now += 600;
    CHECK(sweep_all() == 0);
    CHECK(store.rows() == 2);
}

TEST_CASE_METHOD(
    sweeper_fixture,
    "sweeper: expired accounts and turns are removed with all pieces")
{
    write_turn("t1", 100);
    write_turn("t2", 200'000);
    admit_program("p1");
    now += 700;
    write_turn("t3", 100);
    CHECK(sweep_all() == 3);
    CHECK(store.rows() == 1);
}

TEST_CASE_METHOD(
    sweeper_fixture, "sweeper: many rows are removed in several transactions")
{
    for (int i = 0; i < 4'000; ++i)
        admit_program("p" + std::to_string(i));
    now += 700;
    CHECK(sweep_all() == 4'000);
    CHECK(store.rows() == 0);
}

TEST_CASE_METHOD(sweeper_fixture, "sweeper: store faults only delay removal")
{
    for (std::size_t step = 1; step <= 8; ++step)
    {
        for (auto const fault : all_store_faults)
        {
            write_turn("t" + std::to_string(step), 100);
            now += 700;
            store.fail_step(store.steps() + step, fault);
            sweep_all();
            sweep_all();
            CHECK(store.rows() == 0);
        }
    }
}

TEST_CASE_METHOD(
    sweeper_fixture,
    "sweeper: a turn outlives a configuration that retains turns for less")
{
    write_turn("t1", 100, seconds(3'000));
    now += 3'500;
    CHECK(sweep_all() == 0);
    now += 200;
    CHECK(sweep_all() == 1);
}

TEST_CASE("sweeper: a retention that a configuration promised outlives it")
{
    manual_clock clock;
    promised_retention retention(clock.fn());
    CHECK(retention.longest() == seconds(0));
    retention.configure(seconds(3'000));
    clock.advance(seconds(100));
    retention.configure(seconds(60));
    retention.configure(seconds(0));
    CHECK(retention.longest() == seconds(3'000));
    clock.advance(seconds(2'999));
    CHECK(retention.longest() == seconds(3'000));
    clock.advance(seconds(1));
    CHECK(retention.longest() == seconds(0));
    retention.configure(seconds(60));
    CHECK(retention.longest() == seconds(60));
}

namespace
{

/// A conversation whose turns are stored like those of calls, while a node
/// sweeps the store.
struct conversation_fixture : sweeper_fixture
{
    static constexpr seconds retention{60};

    std::unique_ptr<turn_history> node = start();
    std::map<std::string, std::string> texts;

    std::unique_ptr<turn_history> start()
    {
        history_options options;
        options.utc = utc;
        options.clock = clock.fn();
        return std::make_unique<turn_history>(store.calls(), options);
    }

    void pass(seconds time)
    {
        now += time.count();
        clock.advance(time);
    }

    std::pair<history_answer, turn_chain> load(std::string const& id)
    {
        std::pair<history_answer, turn_chain> to;
        node->load(
            request_id(id),
            [&](history_answer answer, turn_chain chain) {
                to = {answer, std::move(chain)};
            });
        store.run();
        return to;
    }

    bool continue_turn(
        std::string const& previous, std::string const& id,
        seconds kept_for = retention)
    {
        turn_chain chain;
        if (!previous.empty())
        {
            auto loaded = load(previous);
            if (loaded.first != history_answer::found)
                return false;
            chain = std::move(loaded.second);
            CHECK(chain.text == texts[previous]);
        }
        stored_turn turn;
        turn.id = request_id(id);
        turn.input = "in " + id + ";";
        turn.output = "out " + id + "\n";
        turn.kept_for = kept_for;
        texts[id] = texts[previous] + turn.input + turn.output;
        node->continue_chain(chain, turn);
        bool durable = false;
        node->store_turn(
            std::move(turn), seconds(1),
            [&](bool stored) { durable = stored; });
        store.run();
        return durable;
    }

    /// Stores turns "PREFIX1", "PREFIX2" and so on at intervals.
    /// \return the last turn
    std::string converse(
        std::string previous, std::string const& prefix, int turns,
        seconds interval)
    {
        for (int i = 1; i <= turns; ++i)
        {
            auto const id = prefix + std::to_string(i);
            REQUIRE(continue_turn(previous, id));
            previous = id;
            pass(interval);
            sweep_all();
        }
        return previous;
    }

    void check_kept_after_restart(std::string const& id)
    {
        node = start();
        auto const [answer, chain] = load(id);
        CHECK(answer == history_answer::found);
        CHECK(chain.text == texts[id]);
    }
};

} // namespace

// Guards against conversations that are lost at a restart of all nodes because
// the rows of their first turns expired.
TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: a conversation longer than its retention outlives all caches")
{
    for (auto const interval : {20, 50, 59})
    {
        auto const last = converse(
            {}, "i" + std::to_string(interval) + "-", 1'500 / interval,
            seconds(interval));
        check_kept_after_restart(last);
        // The conversation goes on from what the store holds.
        check_kept_after_restart(
            converse(last, last + "-", 5, seconds(interval)));
    }
}

TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: branches of a conversation outlive all caches each")
{
    auto const last = converse({}, "t", 8, seconds(50));
    auto const left = converse(last, "l", 1, seconds(40));
    auto const right = converse(last, "r", 1, seconds(0));
    auto const left_last = converse(left, "ll", 12, seconds(50));
    check_kept_after_restart(left_last);
    auto const deep = converse({}, "d", 10, seconds(50));
    REQUIRE(continue_turn(deep, "left"));
    REQUIRE(continue_turn(deep, "right"));
    REQUIRE(continue_turn("left", "left2"));
    pass(retention);
    sweep_all();
    check_kept_after_restart("left2");
    check_kept_after_restart("right");
}

TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: a turn that continues an expired cached one outlives all caches")
{
    REQUIRE(continue_turn({}, "a"));
    REQUIRE(continue_turn("a", "b"));
    pass(seconds(3'600));
    sweep_all();
    REQUIRE(store.rows() == 0);
    REQUIRE(continue_turn("b", "c"));
    pass(retention);
    sweep_all();
    check_kept_after_restart("c");
}

TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: a turn that is kept longer than its predecessors keeps them")
{
    REQUIRE(continue_turn({}, "a", seconds(60)));
    REQUIRE(continue_turn("a", "b", seconds(3'000)));
    pass(seconds(3'000));
    sweep_all();
    check_kept_after_restart("b");
}

TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: a short conversation costs one write and no copies per turn")
{
    std::string previous;
    for (int i = 1; i <= 18; ++i)
    {
        auto const id = "t" + std::to_string(i);
        auto const steps = store.steps();
        REQUIRE(continue_turn(previous, id));
        CHECK(store.steps() == steps + 1);
        CHECK(node->cached_chain(request_id(id)).size() == std::size_t(i));
        pass(seconds(10));
        previous = id;
    }
}

TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: a conversation goes on while its first rows are unreachable")
{
    auto const last = converse({}, "t", 10, seconds(50));
    store.set_partition_down(
        turn_history::partition(request_id("t1"), 0), true);
    REQUIRE(
        turn_history::partition(request_id("next"), 0) !=
        turn_history::partition(request_id("t1"), 0));
    REQUIRE(continue_turn(last, "next"));
    check_kept_after_restart("next");
}

TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: conversations of earlier versions outlive all caches")
{
    // Rows of earlier versions do not tell their retention.
    auto previous = std::string();
    for (int i = 1; i <= 5; ++i)
    {
        auto const id = "t" + std::to_string(i);
        REQUIRE(continue_turn(previous, id, seconds(0)));
        previous = id;
        pass(seconds(50));
    }
    node = start();
    check_kept_after_restart(converse(previous, "u", 20, seconds(50)));
}

TEST_CASE_METHOD(
    conversation_fixture,
    "sweeper: a conversation outlives all caches where clocks differ")
{
    // Each turn is stored by another node, of which the clocks differ.
    std::string previous;
    for (int i = 1; i <= 30; ++i)
    {
        auto const id = "t" + std::to_string(i);
        node = start();
        now += i % 2 == 0 ? 140 : -140;
        REQUIRE(continue_turn(previous, id));
        pass(seconds(50));
        sweep_all();
        previous = id;
    }
    check_kept_after_restart(previous);
}

namespace
{

/// A sweeper that also goes by the versions of rows.
struct version_sweeper_fixture : conversation_fixture
{
    row_sweeper versions_sweeper{
        store.calls(), utc, swept_tables(), options_with_clock()};

    sweep_options options_with_clock()
    {
        sweep_options to;
        to.clock = clock.fn();
        return to;
    }

    std::size_t sweep_versions() { return sweep_all(versions_sweeper); }

    /// Sweeps at intervals.
    std::size_t sweep_for(seconds time, seconds interval)
    {
        std::size_t removed = 0;
        for (seconds passed{0}; passed < time; passed += interval)
        {
            pass(interval);
            removed += sweep_versions();
        }
        return removed;
    }
};

} // namespace

// Guards against the loss of all turns where the time of day is set forward.
TEST_CASE_METHOD(
    version_sweeper_fixture,
    "sweeper: a step of the time of day removes no row early")
{
    sweep_for(seconds(1'000), seconds(50));
    REQUIRE(continue_turn({}, "a"));
    for (auto const step : {86'400, -700, 700})
    {
        now += step;
        CHECK(sweep_for(seconds(200), seconds(20)) == 0);
    }
    check_kept_after_restart("a");
    CHECK(sweep_for(seconds(100), seconds(20)) == 1);
}

TEST_CASE_METHOD(
    version_sweeper_fixture,
    "sweeper: a sweeper that has just started removes nothing")
{
    REQUIRE(continue_turn({}, "a"));
    pass(seconds(86'400));
    CHECK(sweep_versions() == 0);
    CHECK(sweep_for(seconds(640), seconds(20)) == 0);
    CHECK(sweep_for(seconds(40), seconds(20)) == 1);
}

TEST_CASE_METHOD(
    version_sweeper_fixture,
    "sweeper: a turn does not rely on rows that are dated in the future")
{
    sweep_for(seconds(1'000), seconds(50));
    REQUIRE(continue_turn({}, "a"));
    sweep_for(seconds(500), seconds(50));
    now -= 700;
    node = start();
    REQUIRE(continue_turn("a", "b"));
    now += 700;
    sweep_for(seconds(250), seconds(50));
    REQUIRE(
        store.find(
            {turn_history::table(), turn_history::partition(request_id("a"), 0),
             "a"}) == nullptr);
    check_kept_after_restart("b");
}

TEST_CASE("sweeper: ages of versions are never overstated")
{
    manual_clock clock;
    version_ages ages(clock.fn());
    CHECK_FALSE(ages.is_older(1, seconds(0)));
    std::vector<time_point> written;
    for (std::uint64_t version = 1; version <= 5'000; ++version)
    {
        written.push_back(clock.now());
        ages.observe(version);
        clock.advance(seconds(3));
    }
    for (std::uint64_t version = 1; version <= 5'000; version += 7)
    {
        for (auto const age : {60, 660, 4'200, 14'000})
        {
            if (ages.is_older(version, seconds(age)))
                CHECK(clock.now() - written[version - 1] >= seconds(age));
        }
    }
    CHECK(ages.is_older(4'700, seconds(660)));
}

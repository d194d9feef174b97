#include "entry/row_sweeper.hpp"

#include <walnutmill/program_ledger.hpp>
#include <walnutmill/turn_history.hpp>

#include "entry/partitions.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <string>

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
        ledger.admit(program_id(program), 900, 572, [](admission_answer) {});
        store.run();
    }

    std::size_t sweep_all()
    {
        std::size_t removed = 0;
        for (auto const& partition : all_partitions())
        {
            sweeper.sweep(
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

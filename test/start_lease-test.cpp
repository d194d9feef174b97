#include <walnutmill/program_ledger.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/start_lease.hpp>

#include "entry/partitions.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t most = 572;
constexpr std::uint64_t budget = 4'000;

/// Time of day that goes with a manual clock, and can be set apart from it.
struct day_clock
{
    manual_clock clock;
    std::int64_t ahead = 0;

    utc_fn utc()
    {
        return [this]
        {
            auto const since = clock.now().time_since_epoch();
            return 1'700'000'000 + ahead +
                   std::chrono::duration_cast<seconds>(since).count();
        };
    }
};

/// One node's leases and ledger. Which partitions it is home to, and whom it
/// believes to live, are set by the test.
struct lease_node
{
    lease_node(
        fake_store& store, day_clock& day, std::string const& self,
        duration members_settle = duration(0))
        : name(self),
          leases(
              store.calls(), day.clock.fn(), day.utc(), self,
              program_ledger::table(),
              {[this](std::string const& partition)
               { return home_of ? home_of(partition) : home(); },
               [this](std::string const& one) { return lives(one); },
               [this](lease_event const& one)
               { events.insert(std::string(one.what)); }},
              settling_in(members_settle)),
          ledger(store.calls(), day.clock.fn(), self, options_for(day), &leases)
    {
        // Without a time to settle it has known them all along.
        if (members_settle == duration(0))
            leases.members_known();
    }

    static lease_options settling_in(duration members_settle)
    {
        lease_options to;
        to.members_settle = members_settle;
        return to;
    }

    static ledger_options options_for(day_clock& day)
    {
        ledger_options to;
        to.utc = day.utc();
        return to;
    }

    std::string name;
    /// What happened to its leases.
    std::set<std::string> events;
    std::function<bool()> home = [] { return false; };
    /// Goes before \c home where it is set.
    std::function<bool(std::string const&)> home_of;
    std::function<bool(std::string const&)> lives = [](std::string const&)
    { return true; };
    start_leases leases;
    program_ledger ledger;
};

struct lease_fixture
{
    fake_store store;
    day_clock day;
    program_id const program{"p1"};
    std::string const partition = partition_of("p1");
    std::vector<std::unique_ptr<lease_node>> nodes;

    lease_node& start(std::string const& name)
    {
        nodes.push_back(std::make_unique<lease_node>(store, day, name));
        return *nodes.back();
    }

    /// Lets a node act on its leases for a while.
    void run(lease_node& node, int steps = 4)
    {
        for (int i = 0; i < steps; ++i)
        {
            node.leases.tick();
            store.run();
            day.clock.advance(seconds(1));
        }
    }

    lease_node& start_home(std::string const& name)
    {
        auto& node = start(name);
        node.home = [] { return true; };
        run(node);
        return node;
    }

    admission_answer
    ask(lease_node& node, program_id const& one, bool needs_store = false,
        std::uint64_t of = budget)
    {
        auto answer = admission_answer::not_begun;
        node.ledger.admit(
            one, of, most, [&](admission_answer what) { answer = what; },
            needs_store);
        store.run();
        return answer;
    }

    program_account account(program_id const& one) const
    {
        auto const* row = store.find(
            {program_ledger::table(), partition_of(one.str()), one.str()});
        return row == nullptr ? program_account()
                              : decode_account(row->value).value();
    }
};

} // namespace

TEST_CASE_METHOD(
    lease_fixture, "leases: a home starts programs without the store")
{
    auto& home = start_home("h.1");
    store.set_down(true);
    CHECK(ask(home, program) == admission_answer::admitted);
    home.ledger.settle(program, most, 264);
    // Half of the budget, 572 of it for each turn at its start.
    int turns = 1;
    while (ask(home, program) == admission_answer::admitted)
    {
        home.ledger.settle(program, most, 264);
        ++turns;
    }
    CHECK(turns == 6);
    store.set_down(false);
    CHECK(ask(home, program) == admission_answer::admitted);
    CHECK(account(program).spent == 1'584);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: what was spent without the store is settled after")
{
    auto& home = start_home("h.1");
    store.set_down(true);
    REQUIRE(ask(home, program) == admission_answer::admitted);
    home.ledger.settle(program, most, 264);
    store.set_down(false);
    day.clock.advance(seconds(1));
    home.ledger.tick();
    store.run();
    CHECK(account(program).spent == 264);
    CHECK(account(program).reserved_by_others("") == 0);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a node without the lease starts nothing")
{
    start_home("h.1");
    auto& other = start("n.1");
    store.set_down(true);
    CHECK(ask(other, program) == admission_answer::store_unavailable);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: one that was released is not said to be lost")
{
    auto& home = start_home("h.1");
    home.leases.release_all();
    store.run();
    CHECK(home.leases.usable() == 0);
    CHECK(home.events == std::set<std::string>{"taken", "released"});
}

TEST_CASE_METHOD(
    lease_fixture, "leases: one that another node took is said to be lost")
{
    auto& home = start_home("h.1");
    auto& next = start("n.1");
    next.home = [] { return true; };
    next.lives = [](std::string const&) { return false; };
    run(next);
    day.clock.advance(seconds(6));
    run(home);
    CHECK(home.events.count("lost") == 1);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a turn that needs the store starts no program")
{
    auto& home = start_home("h.1");
    store.set_down(true);
    CHECK(ask(home, program, true) == admission_answer::store_unavailable);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a program with an account is not started anew")
{
    auto& other = start("n.1");
    REQUIRE(ask(other, program) == admission_answer::admitted);
    auto& home = start_home("h.1");
    store.set_down(true);
    CHECK(ask(home, program) == admission_answer::store_unavailable);
    CHECK(ask(home, program_id("p1-2")) == admission_answer::admitted);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: an account written by another sets aside")
{
    start_home("h.1");
    auto& other = start("n.1");
    REQUIRE(ask(other, program) == admission_answer::admitted);
    CHECK(account(program).reserved.at("h.1").tokens == budget / 2);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a new home sets aside for the one before it")
{
    start_home("h.1");
    auto& next = start("n.1");
    next.home = [] { return true; };
    next.lives = [](std::string const&) { return false; };
    run(next);
    REQUIRE(ask(next, program) == admission_answer::admitted);
    CHECK(account(program).reserved.at("h.1").tokens == budget / 2);
    // One allowance at most may be open, so the new home starts none itself.
    store.set_down(true);
    CHECK(ask(next, program_id("p1-2")) == admission_answer::store_unavailable);
    store.set_down(false);
    day.clock.advance(seconds(160));
    run(next);
    store.set_down(true);
    CHECK(ask(next, program_id("p1-3")) == admission_answer::admitted);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a released lease leaves nothing set aside")
{
    auto& home = start_home("h.1");
    home.leases.release_all();
    store.run();
    home.home = [] { return false; };
    auto& next = start_home("n.1");
    REQUIRE(ask(next, program) == admission_answer::admitted);
    CHECK(account(program).reserved.count("h.1") == 0);
    store.set_down(true);
    CHECK(ask(home, program_id("p1-2")) == admission_answer::store_unavailable);
    CHECK(ask(next, program_id("p1-2")) == admission_answer::admitted);
}

TEST_CASE_METHOD(lease_fixture, "leases: a living holder keeps its lease")
{
    auto& home = start_home("h.1");
    start_home("n.1");
    store.set_down(true);
    CHECK(ask(home, program) == admission_answer::admitted);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: one that was not confirmed for long starts nothing")
{
    auto& home = start_home("h.1");
    store.set_down(true);
    day.clock.advance(seconds(31));
    CHECK(ask(home, program) == admission_answer::store_unavailable);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: time that a machine was suspended counts")
{
    auto& home = start_home("h.1");
    store.set_down(true);
    day.ahead += 31;
    CHECK(ask(home, program) == admission_answer::store_unavailable);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a time of day that is set back makes none younger")
{
    auto& home = start_home("h.1");
    store.set_down(true);
    day.ahead -= 3'600;
    day.clock.advance(seconds(31));
    CHECK(ask(home, program) == admission_answer::store_unavailable);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a release that may come late is made impossible")
{
    auto& home = start_home("h.1");
    auto at_home = false;
    home.home = [&at_home] { return at_home; };
    // The release of this program's partition is lost, and done later.
    for (std::size_t step = 1; step <= 64; ++step)
        store.fail_step(store.steps() + step, store_fault::lose);
    run(home, 1);
    at_home = true;
    store.set_down(true);
    CHECK(ask(home, program) == admission_answer::store_unavailable);
    store.set_down(false);
    run(home, 6);
    store.set_down(true);
    CHECK(ask(home, program_id("p1-2")) == admission_answer::admitted);
}

TEST_CASE("leases: unreadable bytes are no lease")
{
    CHECK(!decode_lease("nonsense"));
    start_lease one;
    one.holder = "h.1";
    one.former.push_back({"g.1", 17});
    auto const back = decode_lease(encode(one));
    REQUIRE(back);
    CHECK(back->holder == "h.1");
    CHECK(back->former.at(0).until == 17);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: a program of one turn starts beside a dead home's")
{
    start_home("h.1");
    auto& next = start("n.1");
    next.home = [] { return true; };
    next.lives = [](std::string const&) { return false; };
    run(next);
    // 450 of 900 are set aside, and the turn may need 572.
    CHECK(ask(next, program, false, 900) == admission_answer::admitted);
    CHECK(ask(next, program, false, 900) != admission_answer::admitted);
}

TEST_CASE_METHOD(
    lease_fixture, "ledger: a reservation of one known to be dead is passed")
{
    auto& dead = start("d.1");
    REQUIRE(ask(dead, program, false, 900) == admission_answer::admitted);
    auto& next = start("n.1");
    CHECK(ask(next, program, false, 900) == admission_answer::contended);
    next.lives = [](std::string const&) { return false; };
    CHECK(ask(next, program, false, 900) == admission_answer::admitted);
    CHECK(ask(next, program, false, 900) != admission_answer::admitted);
}

namespace
{

/// Programs over three nodes that are killed, frozen and wrong about who is
/// home and who lives, with outages of the store and a fault at a step.
/// \return the most that any program was handed beyond its budget.
std::int64_t play_outages(
    std::uint32_t seed, milliseconds pace,
    std::vector<std::pair<std::size_t, store_fault>> const& faults)
{
    lease_fixture world;
    for (auto const& [step, fault] : faults)
        world.store.fail_step(step, fault);
    auto random = seeded_random(seed);
    int incarnations = 0;
    // The first node is home, and most beliefs about that are right.
    auto const start = [&]
    {
        auto& node = world.start("n" + std::to_string(++incarnations));
        node.home = [&world, &random, self = &node]
        { return (world.nodes.front().get() == self) != (random() < 0.02); };
        node.lives = [&](std::string const& name)
        {
            auto const found = std::any_of(
                world.nodes.begin(), world.nodes.end(),
                [&](auto const& one) { return one->name == name; });
            return found != (random() < 0.02);
        };
    };
    for (int i = 0; i < 3; ++i)
        start();
    // Two programs at a time, which mostly begin while the store is down.
    constexpr int programs = 2;
    constexpr int turns_of_group = 24;
    constexpr std::uint64_t small_budget = 1'500;
    std::map<int, std::uint64_t> handed;
    for (int turn = 0; turn < 6 * turns_of_group; ++turn)
    {
        auto const at = static_cast<std::size_t>(random() * 3);
        auto* node = world.nodes[at].get();
        world.store.set_down(
            turn >= turns_of_group && turn % turns_of_group < 9);
        for (auto const& one : world.nodes)
        {
            if (random() < 0.8)
                one->leases.tick();
        }
        auto const chosen = turn / turns_of_group * programs + turn % programs;
        program_id const program("p" + std::to_string(chosen));
        node->ledger.admit(
            program, small_budget, most,
            [&, node, program, chosen](admission_answer answer)
            {
                if (answer != admission_answer::admitted)
                    return;
                auto const used =
                    static_cast<std::uint64_t>(random() * (most + 1));
                handed[chosen] += used;
                if (random() < 0.9)
                    node->ledger.settle(program, most, used);
            });
        if (random() < 0.8)
            world.store.run();
        // The home dies now and then, mostly with the store still away.
        auto const dies = turn % turns_of_group == 7 ? 0.4 : 0.01;
        if (random() < dies)
        {
            world.store.run();
            world.nodes.erase(world.nodes.begin());
            start();
        }
        world.day.clock.advance(pace);
        for (auto& one : world.nodes)
            one->ledger.tick();
    }
    world.store.run();
    std::int64_t beyond = 0;
    for (auto const& [chosen, sum] : handed)
        beyond = std::max(
            beyond, static_cast<std::int64_t>(sum) -
                        static_cast<std::int64_t>(small_budget));
    return beyond;
}

} // namespace

TEST_CASE("leases: the budget holds over outages, kills and wrong beliefs")
{
    for (std::uint32_t seed = 1; seed <= 120; ++seed)
    {
        INFO("seed " << seed);
        REQUIRE(
            play_outages(seed, milliseconds(400), {}) <
            static_cast<std::int64_t>(most));
        REQUIRE(
            play_outages(seed, milliseconds(1'500), {}) <
            static_cast<std::int64_t>(most));
    }
}

TEST_CASE("leases: the budget holds over outages with a fault at every step")
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
    {
        for (std::size_t step = 1; step <= 300; step += 12)
        {
            for (auto const fault : all_store_faults)
            {
                INFO(
                    "seed " << seed << " step " << step << " fault "
                            << static_cast<int>(fault));
                REQUIRE(
                    play_outages(
                        seed, milliseconds(400),
                        {{step, fault}, {step + 1, fault}}) <
                    static_cast<std::int64_t>(most));
            }
        }
    }
}

// Seven seconds of silence. Without the look at what answers each partition
// cost a reading a second.
TEST_CASE("leases: a silent partition's lease is left alone")
{
    day_clock day;
    int calls = 0;
    bool silent = true;
    versioned_store store;
    store.answers = [&](std::string const&) { return !silent; };
    store.commit = [&](row_transaction const&, milliseconds,
                       std::function<void(transaction_result)> const& done)
    {
        ++calls;
        done({});
    };
    store.read = [&](row_range const&, milliseconds,
                     std::function<void(range_result)> const& done)
    {
        ++calls;
        done({});
    };
    start_leases leases(
        store, day.clock.fn(), day.utc(), "n.1", program_ledger::table(),
        {[](std::string const&) { return true; },
         [](std::string const&) { return true; },
         {}});
    leases.members_known();
    for (int i = 0; i < 35; ++i)
    {
        leases.tick();
        day.clock.advance(milliseconds(200));
    }
    CHECK(calls == 0);
    silent = false;
    leases.tick();
    CHECK(calls > 0);
}

TEST_CASE_METHOD(
    lease_fixture, "leases: none is taken before the members are known")
{
    nodes.push_back(
        std::make_unique<lease_node>(store, day, "n.1", seconds(4)));
    auto& node = *nodes.back();
    node.home = [] { return true; };
    run(node, 10);
    CHECK(store.steps() == 0);
    node.leases.members_known();
    run(node, 4);
    CHECK(store.steps() == 0);
    run(node, 4);
    CHECK(node.events.count("taken") == 1);
}

// Load: 21 nodes come up while the store is away and learn of each other one
// after the other within 0.8 s of its return. Until then each is home to all 64
// partitions: 2,867 calls in 10 s, 1,398 of them writes; 256 and 64 where
// leases wait for the members. Aim: what 64 leases need, three calls each,
// twice over.
TEST_CASE_METHOD(
    lease_fixture,
    "leases: nodes that come up in an outage don't flood the store")
{
    constexpr std::size_t count = 21;
    constexpr std::size_t partitions = 64;
    std::vector<std::optional<time_point>> known_at(count);
    auto const all = all_partitions();
    for (std::size_t i = 0; i < count; ++i)
    {
        nodes.push_back(std::make_unique<lease_node>(
            store, day, "n." + std::to_string(i), seconds(4)));
        nodes.back()->home_of = [&, i](std::string const& partition)
        {
            auto const at = std::find(all.begin(), all.end(), partition);
            auto const number =
                static_cast<std::size_t>(std::distance(all.begin(), at));
            return !known_at[i] || number % count == i;
        };
    }
    auto const start = day.clock.now();
    for (int tick = 0; tick < 50; ++tick)
    {
        auto const since = day.clock.now() - start;
        for (std::size_t i = 0; i < count; ++i)
        {
            if (!known_at[i] && since >= milliseconds(40) * static_cast<int>(i))
            {
                known_at[i] = day.clock.now();
                nodes[i]->leases.members_known();
            }
            nodes[i]->leases.tick();
        }
        store.run();
        day.clock.advance(milliseconds(200));
    }
    INFO(store.steps() << " calls, " << store.commits() << " of them writes");
    CHECK(store.steps() <= 6 * partitions);
    std::size_t usable = 0;
    for (auto const& one : nodes)
        usable += one->leases.usable();
    CHECK(usable == partitions);
}

#include <walnutmill/turn_history.hpp>

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::seconds;

struct history_fixture
{
    fake_store store;
    std::unique_ptr<turn_history> node = start();

    std::unique_ptr<turn_history> start()
    {
        return std::make_unique<turn_history>(store.calls());
    }

    bool store_turn(
        std::string const& id, std::vector<std::string> const& before,
        std::string input, std::string output)
    {
        stored_turn turn;
        turn.id = request_id(id);
        for (auto const& one : before)
            turn.chain.emplace_back(one);
        turn.input = std::move(input);
        turn.output = std::move(output);
        bool durable = false;
        node->store_turn(
            std::move(turn), seconds(1),
            [&](bool stored) { durable = stored; });
        store.run();
        return durable;
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
};

} // namespace

TEST_CASE_METHOD(
    history_fixture, "history: a chain is found from the cache without reads")
{
    REQUIRE(store_turn("a", {}, "in1 ", "out1\n"));
    REQUIRE(store_turn("b", {"a"}, "in2 ", "out2\n"));
    auto const steps = store.steps();
    auto const [answer, chain] = load("b");
    CHECK(answer == history_answer::found);
    CHECK(chain.text == "in1 out1\nin2 out2\n");
    CHECK(chain.ids.size() == 2);
    CHECK(store.steps() == steps);
}

TEST_CASE_METHOD(
    history_fixture,
    "history: a chain is loaded by a node that has none of it cached")
{
    REQUIRE(store_turn("a", {}, "in1 ", "out1\n"));
    REQUIRE(store_turn("b", {"a"}, "in2 ", "out2\n"));
    REQUIRE(store_turn("c", {"a", "b"}, "in3 ", "out3\n"));
    node = start();
    auto const [answer, chain] = load("c");
    CHECK(answer == history_answer::found);
    CHECK(chain.text == "in1 out1\nin2 out2\nin3 out3\n");
}

TEST_CASE_METHOD(
    history_fixture, "history: two turns may continue the same turn")
{
    REQUIRE(store_turn("a", {}, "in1 ", "out1\n"));
    REQUIRE(store_turn("b", {"a"}, "left ", "l\n"));
    REQUIRE(store_turn("c", {"a"}, "right ", "r\n"));
    node = start();
    CHECK(load("b").second.text == "in1 out1\nleft l\n");
    CHECK(load("c").second.text == "in1 out1\nright r\n");
}

TEST_CASE_METHOD(
    history_fixture, "history: a turn larger than a row is loaded completely")
{
    std::string const large(1'300'000, 'x');
    REQUIRE(store_turn("a", {}, large + "end", "out\n"));
    CHECK(store.rows() > 20);
    node = start();
    auto const [answer, chain] = load("a");
    CHECK(answer == history_answer::found);
    CHECK(chain.text == large + "endout\n");
}

TEST_CASE_METHOD(
    history_fixture,
    "history: an unknown turn is distinguished from an unavailable store")
{
    CHECK(load("nowhere").first == history_answer::unknown_turn);
    store.set_down(true);
    CHECK(load("nowhere").first == history_answer::store_unavailable);
}

TEST_CASE_METHOD(
    history_fixture,
    "history: a turn is durable only once the store confirms it")
{
    for (auto const fault :
         {store_fault::refuse, store_fault::lose, store_fault::late})
    {
        store.fail_step(store.steps() + 1, fault);
        auto const id = "t" + std::to_string(static_cast<int>(fault));
        CHECK_FALSE(store_turn(id, {}, "in", "out\n"));
    }
}

TEST_CASE_METHOD(history_fixture, "history: a missing chunk fails the load")
{
    REQUIRE(store_turn("a", {}, std::string(100'000, 'x'), "out\n"));
    for (std::size_t step = 1; step <= 3; ++step)
    {
        node = start();
        store.fail_step(store.steps() + step, store_fault::lose);
        CHECK(load("a").first == history_answer::store_unavailable);
    }
}

TEST_CASE_METHOD(
    history_fixture, "history: the cache stays within its size limit")
{
    history_options options;
    options.cache_bytes = 50'000;
    node = std::make_unique<turn_history>(store.calls(), options);
    for (int i = 0; i < 40; ++i)
        REQUIRE(store_turn(
            "t" + std::to_string(i), {}, std::string(4'000, 'x'), "o\n"));
    CHECK(node->cached_bytes() <= 50'000);
    CHECK(load("t0").first == history_answer::found);
}

namespace
{

/// A store with unresponsive partitions: commits to them never complete and
/// reads fail.
struct unresponsive_partitions_fixture : history_fixture
{
    std::set<std::string> unresponsive;
    std::vector<std::function<void()>> timers;

    versioned_store calls()
    {
        auto to = store.calls();
        to.answers = [this](std::string const& partition)
        { return unresponsive.count(partition) == 0; };
        to.commit = [this, commit = to.commit](
                        row_transaction one, std::chrono::milliseconds timeout,
                        std::function<void(transaction_result)> done)
        {
            if (unresponsive.count(one.writes.front().at.partition) == 0)
                commit(std::move(one), timeout, std::move(done));
        };
        to.read = [this, read = to.read](
                      row_range range, std::chrono::milliseconds timeout,
                      std::function<void(range_result)> done)
        {
            if (unresponsive.count(range.partition) == 0)
                read(std::move(range), timeout, std::move(done));
            else
                done({});
        };
        return to;
    }

    void start_node()
    {
        history_options options;
        options.schedule_after =
            [this](std::chrono::milliseconds, std::function<void()> what)
        { timers.push_back(std::move(what)); };
        node = std::make_unique<turn_history>(calls(), options);
    }

    void make_unresponsive(std::string const& id, std::size_t candidate)
    {
        unresponsive.insert(turn_history::partition(request_id(id), candidate));
    }

    bool store_turn_after_timers(std::string const& id)
    {
        bool durable = false;
        stored_turn turn;
        turn.id = request_id(id);
        turn.input = "in ";
        turn.output = "out\n";
        node->store_turn(
            std::move(turn), seconds(3),
            [&](bool stored) { durable = stored; });
        store.run();
        auto due = std::move(timers);
        timers.clear();
        for (auto const& one : due)
            one();
        store.run();
        return durable;
    }
};

} // namespace

// Guards against losing turns while partitions are unavailable. With 29 of 100
// partitions unavailable, a single candidate partition loses 29 of 100 turns;
// three independent candidates lose 2 or 3.
TEST_CASE_METHOD(
    unresponsive_partitions_fixture,
    "history: turns are stored while some partitions are unavailable")
{
    for (int i = 0; i < 19; ++i)
        unresponsive.insert("p" + std::to_string(i));
    start_node();
    constexpr int turns = 500;
    int stored = 0;
    for (int i = 0; i < turns; ++i)
        stored += store_turn_after_timers("t" + std::to_string(i)) ? 1 : 0;
    CHECK(stored >= turns * 95 / 100);
    // Other nodes find the stored turns during the outage and after it.
    start_node();
    for (int i = 0; i < turns; ++i)
        stored -= load("t" + std::to_string(i)).first == history_answer::found
                      ? 1
                      : 0;
    CHECK(stored == 0);
    unresponsive.clear();
    start_node();
    CHECK(load("t0").first == history_answer::found);
}

TEST_CASE_METHOD(
    unresponsive_partitions_fixture,
    "history: a write falls back when its partition becomes unresponsive")
{
    start_node();
    bool durable = false;
    stored_turn turn;
    turn.id = request_id("a");
    turn.output = "out\n";
    auto const usual = turn_history::partition(turn.id, 0);
    auto unresponsive_store = calls();
    // The partition is reported as unresponsive only from the first check on.
    bool reported = false;
    unresponsive_store.answers = [&](std::string const& partition)
    { return !reported || partition != usual; };
    unresponsive.insert(usual);
    history_options options;
    options.schedule_after =
        [this](std::chrono::milliseconds, std::function<void()> what)
    { timers.push_back(std::move(what)); };
    node = std::make_unique<turn_history>(unresponsive_store, options);
    node->store_turn(
        std::move(turn), seconds(3), [&](bool stored) { durable = stored; });
    store.run();
    CHECK_FALSE(durable);
    reported = true;
    timers.at(0)();
    store.run();
    CHECK(durable);
}

TEST_CASE_METHOD(
    unresponsive_partitions_fixture,
    "history: a turn is unknown only if no partition can hold it")
{
    make_unresponsive("gone", 2);
    start_node();
    CHECK(load("gone").first == history_answer::store_unavailable);
    unresponsive.clear();
    CHECK(load("gone").first == history_answer::unknown_turn);
}

TEST_CASE_METHOD(
    history_fixture,
    "history: a chain cached by a peer takes no read of the store")
{
    REQUIRE(store_turn("a", {}, "in1 ", "out1\n"));
    REQUIRE(store_turn("b", {"a"}, "in2 ", "out2\n"));
    auto const peers_turns = node->cached_chain(request_id("b"));
    CHECK(peers_turns.size() == 2);
    node = start();
    history_peers peers;
    peers.request_chain = [&](std::string const& group, request_id const& last,
                              std::function<void()> const& done)
    {
        CHECK(group == "program");
        CHECK(last.str() == "b");
        for (auto const& one : peers_turns)
            node->add_to_cache(one);
        done();
    };
    node->set_peers(peers);
    auto const steps = store.steps();
    std::string text;
    node->load(
        request_id("b"),
        [&](history_answer, turn_chain const& chain) { text = chain.text; },
        "program");
    CHECK(text == "in1 out1\nin2 out2\n");
    CHECK(store.steps() == steps);
}

TEST_CASE_METHOD(
    history_fixture, "history: peers receive a turn only once it is durable")
{
    int announced = 0;
    history_peers peers;
    peers.announce = [&](std::string const&, turn_history::turn_ptr const&)
    { ++announced; };
    node->set_peers(peers);
    store.fail_step(1, store_fault::lose);
    for (int i = 0; i < 2; ++i)
    {
        stored_turn turn;
        turn.id = request_id("t" + std::to_string(i));
        node->store_turn(
            std::move(turn), seconds(1), [](bool) {}, "program");
        store.run();
        CHECK(announced == i);
    }
}

namespace
{

struct failed_load_fixture : history_fixture
{
    failed_load_fixture()
    {
        REQUIRE(store_turn("a", {}, "in1 ", "out1\n"));
        REQUIRE(store_turn("b", {"a"}, "in2 ", "out2\n"));
        REQUIRE(store_turn("c", {"a", "b"}, "in3 ", "out3\n"));
        node = start();
    }

    static row_address row_of(std::string const& id)
    {
        request_id const turn(id);
        return {
            turn_history::table(), turn_history::partition(turn, 0),
            turn_history::chunk_key(turn, 0)};
    }

    void change(row_transaction transaction)
    {
        store.calls().commit(
            std::move(transaction), seconds(1),
            [](transaction_result const&) {});
        store.run();
    }

    void check_failure(
        std::string const& id, turn_failure cause, std::size_t position)
    {
        auto const [answer, chain] = load("c");
        CHECK(answer == history_answer::store_unavailable);
        REQUIRE(chain.failure);
        CHECK(chain.failure->turn.str() == id);
        CHECK(to_string(chain.failure->cause) == to_string(cause));
        CHECK(chain.failure->position == position);
        CHECK(chain.failure->failed_turns == 1);
    }
};

} // namespace

TEST_CASE_METHOD(
    failed_load_fixture, "history: a failed read is reported with its turn")
{
    // The reads are those of c, a and b.
    store.fail_step(store.steps() + 1, store_fault::refuse);
    check_failure("c", turn_failure::refused, 1);
    store.fail_step(store.steps() + 1, store_fault::lose);
    check_failure("c", turn_failure::unanswered, 1);
    store.fail_step(store.steps() + 3, store_fault::refuse);
    check_failure("b", turn_failure::refused, 2);
    CHECK(load("c").first == history_answer::found);
    CHECK_FALSE(load("c").second.failure);
}

TEST_CASE_METHOD(
    failed_load_fixture,
    "history: a removed predecessor is reported as missing")
{
    row_transaction removal;
    removal.removals.push_back(row_of("a"));
    change(std::move(removal));
    check_failure("a", turn_failure::missing, 1);
}

TEST_CASE_METHOD(
    failed_load_fixture, "history: an invalid row is reported as malformed")
{
    for (auto const* value : {"no turn", "turn 1 1000000 60\nno turn"})
    {
        node = start();
        row_transaction garbage;
        garbage.writes.push_back({row_of("b"), value});
        change(std::move(garbage));
        check_failure("b", turn_failure::malformed, 2);
    }
}

TEST_CASE_METHOD(
    failed_load_fixture, "history: an unknown turn is reported as missing")
{
    auto const [answer, chain] = load("nowhere");
    CHECK(answer == history_answer::unknown_turn);
    REQUIRE(chain.failure);
    CHECK(chain.failure->cause == turn_failure::missing);
}

// Shows which reads of a failed load are spared by the next try.
TEST_CASE_METHOD(
    failed_load_fixture, "history: a failed load keeps the turns that it read")
{
    store.fail_step(store.steps() + 2, store_fault::refuse);
    check_failure("a", turn_failure::refused, 1);
    auto const steps = store.steps();
    CHECK(load("c").first == history_answer::found);
    CHECK(store.steps() == steps + 1);
}

namespace
{

/// A node without cached turns loads a chain of 18 turns within a time limit.
struct timed_load_fixture : history_fixture
{
    static constexpr std::size_t turns = 18;

    manual_clock clock;
    /// Delayed functions, with the time at which they are due.
    std::multimap<time_point, std::function<void()>> timers;
    /// Refuses a read if it returns true; called for each read.
    std::function<bool(row_range const&)> is_refused = [](row_range const&)
    { return false; };
    bool store_is_lost = false;
    std::size_t reads = 0;
    std::size_t reads_in_flight = 0;
    std::size_t most_reads_in_flight = 0;

    timed_load_fixture()
    {
        std::vector<std::string> chain;
        for (std::size_t i = 1; i <= turns; ++i)
        {
            auto const id = "t" + std::to_string(i);
            REQUIRE(store_turn(id, chain, "in" + id + " ", "out\n"));
            chain.push_back(id);
        }
        restart();
    }

    void restart()
    {
        history_options options;
        options.clock = clock.fn();
        options.schedule_after =
            [this](std::chrono::milliseconds after, std::function<void()> what)
        { timers.emplace(clock.now() + after, std::move(what)); };
        node = std::make_unique<turn_history>(limited_calls(), options);
        timers.clear();
        reads = 0;
        most_reads_in_flight = 0;
    }

    versioned_store limited_calls()
    {
        auto to = store.calls();
        to.answers = [this](std::string const&) { return !store_is_lost; };
        to.read = [this, read = to.read](
                      row_range range, std::chrono::milliseconds timeout,
                      std::function<void(range_result)> done)
        {
            ++reads;
            ++reads_in_flight;
            most_reads_in_flight =
                std::max(most_reads_in_flight, reads_in_flight);
            auto const refused = is_refused(range);
            read(
                std::move(range), timeout,
                [this, refused, done = std::move(done)](range_result result)
                {
                    --reads_in_flight;
                    if (refused)
                    {
                        result = {};
                        result.failure = call_failure::refused;
                    }
                    done(std::move(result));
                });
        };
        return to;
    }

    history_answer load_within(
        std::string const& id,
        std::chrono::milliseconds limit = std::chrono::milliseconds(1'500))
    {
        std::optional<history_answer> answered;
        auto const began = clock.now();
        node->load(
            request_id(id),
            [&](history_answer answer, turn_chain const& chain)
            {
                answered = answer;
                if (answer == history_answer::found)
                    CHECK(chain.ids.size() == turns);
            },
            {}, limit);
        store.run();
        while (!answered && !timers.empty())
        {
            auto const due = timers.begin()->first;
            if (due > clock.now())
                clock.advance(due - clock.now());
            auto const what = std::move(timers.begin()->second);
            timers.erase(timers.begin());
            what();
            store.run();
        }
        REQUIRE(answered);
        CHECK(clock.now() - began <= limit);
        return *answered;
    }

    static bool is_of(row_range const& range, std::string const& id)
    {
        return range.from == id;
    }
};

} // namespace

// Guards against refusing a turn for one lost answer after all caches are lost.
TEST_CASE_METHOD(
    timed_load_fixture, "history: a failed read of a long chain is repeated")
{
    for (auto const fault : {store_fault::refuse, store_fault::lose})
    {
        for (std::size_t step = 1; step <= turns; ++step)
        {
            restart();
            store.fail_step(store.steps() + step, fault);
            CHECK(load_within("t18") == history_answer::found);
            // The failed read, its repetition and the other two candidates.
            CHECK(reads <= turns + 3);
        }
    }
}

TEST_CASE_METHOD(
    timed_load_fixture, "history: a long chain loads at a store over its rate")
{
    auto window = clock.now();
    int in_window = 0;
    is_refused = [&](row_range const&)
    {
        if (clock.now() - window >= std::chrono::milliseconds(50))
        {
            window = clock.now();
            in_window = 0;
        }
        return ++in_window > 5;
    };
    CHECK(load_within("t18") == history_answer::found);
    CHECK(reads <= 5 * turns);
}

TEST_CASE_METHOD(
    timed_load_fixture, "history: the reads in flight of a load are limited")
{
    CHECK(load_within("t18") == history_answer::found);
    CHECK(reads == turns);
    CHECK(most_reads_in_flight <= 8);
}

TEST_CASE_METHOD(
    timed_load_fixture, "history: repeated reads end with the time of the load")
{
    is_refused = [](row_range const& range) { return is_of(range, "t7"); };
    CHECK(load_within("t18") == history_answer::store_unavailable);
    CHECK(timers.empty());
    restart();
    CHECK(
        load_within("t18", std::chrono::milliseconds(0)) ==
        history_answer::store_unavailable);
    CHECK(timers.empty());
    restart();
    is_refused = [](row_range const& range) { return is_of(range, "t18"); };
    CHECK(load_within("t18") == history_answer::store_unavailable);
}

TEST_CASE_METHOD(
    timed_load_fixture, "history: a turn is unknown only if all reads say so")
{
    auto const partition = turn_history::partition(request_id("nowhere"), 1);
    int refusals = 3;
    is_refused = [&](row_range const& range)
    { return range.partition == partition && refusals-- > 0; };
    CHECK(load_within("nowhere") == history_answer::unknown_turn);
    // The other two candidates are read once.
    CHECK(reads == 2 + 4);
    is_refused = [&](row_range const& range)
    { return range.partition == partition; };
    CHECK(load_within("nowhere") == history_answer::store_unavailable);
}

TEST_CASE_METHOD(
    timed_load_fixture, "history: reads of a lost store are not repeated")
{
    store.set_down(true);
    store_is_lost = true;
    CHECK(load_within("t18") == history_answer::store_unavailable);
    CHECK(reads == turn_history::partition_candidates);
    CHECK(timers.empty());
}

TEST_CASE_METHOD(
    timed_load_fixture, "history: a missing predecessor is not looked up again")
{
    row_transaction removal;
    removal.removals.push_back(
        {turn_history::table(), turn_history::partition(request_id("t3"), 0),
         "t3"});
    store.calls().commit(
        std::move(removal), seconds(1), [](transaction_result const&) {});
    store.run();
    CHECK(load_within("t18") == history_answer::store_unavailable);
    CHECK(timers.empty());
}

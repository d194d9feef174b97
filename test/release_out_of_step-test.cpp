#include "entry/version_register.hpp"

#include "fake_store.hpp"
#include "stream_cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Registers of several nodes on one store. The test decides when each node
/// learns of engines and when the store's answers are handled.
struct out_of_step_fixture
{
    using register_ptr = std::unique_ptr<version_register>;
    using found_version = std::optional<std::string>;

    manual_clock clock;
    fake_store store;
    version_register_options const options;
    service_name const llm{"llm"};

    out_of_step_fixture()
    {
        clock.advance(seconds(1'000));
        store.set_clock(clock.fn());
    }

    register_ptr make_register() { return make_register(store.calls()); }

    register_ptr make_register(versioned_store calls)
    {
        return std::make_unique<version_register>(
            std::move(calls), clock.fn(), [] { return 0.0; },
            version_register::hooks(), options);
    }

    /// Runs the store's calls, or the first of them if they do not end.
    void run_store()
    {
        constexpr int max_calls = 1'000;
        for (int i = 0; i < max_calls && store.run_one(); ++i)
        {
        }
    }

    void set_versions(
        version_register& one, std::vector<std::string> const& versions)
    {
        std::vector<engine_entry> engines;
        for (auto const& version : versions)
        {
            engine_entry entry;
            entry.id = target_name("e" + std::to_string(engines.size()));
            entry.service = llm;
            entry.version = version;
            engines.push_back(std::move(entry));
        }
        one.set_engines(engines);
        run_store();
    }

    void run_for(std::vector<version_register*> const& all, duration span)
    {
        constexpr milliseconds step{100};
        for (duration passed{0}; passed < span; passed += step)
        {
            clock.advance(step);
            for (auto* one : all)
            {
                one->tick();
                run_store();
            }
        }
    }

    /// \param found receives the decision once it is made
    void ask(version_register& one, std::optional<found_version>& found)
    {
        one.find_only_version(
            llm, [&found](found_version const& version) { found = version; });
    }

    found_version only_version(version_register& one)
    {
        std::optional<found_version> found;
        ask(one, found);
        run_store();
        REQUIRE(found);
        return *found;
    }

    row_address row() const
    {
        return {version_register::table(), {}, llm.str()};
    }

    void overwrite_row(std::string const& bytes)
    {
        row_transaction to;
        to.writes.push_back({row(), bytes});
        store.calls().commit(
            std::move(to), seconds(1), [](transaction_result const&) {});
        run_store();
    }

    void remove_row()
    {
        row_transaction to;
        to.removals.push_back(row());
        store.calls().commit(
            std::move(to), seconds(1), [](transaction_result const&) {});
        run_store();
    }
};

/// A store whose answers to one node are held back while it stands still, and
/// whose transactions reach the store late.
struct held_store
{
    explicit held_store(versioned_store to) : to_(std::move(to)) {}

    versioned_store calls()
    {
        versioned_store held;
        held.commit = [this](
                          row_transaction const& one, milliseconds timeout,
                          std::function<void(transaction_result)> const& done)
        {
            auto const send = [this, one, timeout, done]
            {
                to_.commit(
                    one, timeout,
                    [this, done](transaction_result const& result)
                    { answer([done, result] { done(result); }); });
            };
            if (delays_commits)
                unsent_.push_back(send);
            else
                send();
        };
        held.read = [this](
                        row_range const& range, milliseconds timeout,
                        std::function<void(range_result)> const& done)
        {
            to_.read(
                range, timeout,
                [this, done](range_result const& result)
                { answer([done, result] { done(result); }); });
        };
        return held;
    }

    void send_commits()
    {
        for (auto const& send : std::exchange(unsent_, {}))
            send();
    }

    /// Handles the answers, those of the last calls first.
    void release_reversed()
    {
        std::reverse(waiting_.begin(), waiting_.end());
        release();
    }

    void release()
    {
        holds_answers = false;
        for (auto const& one : std::exchange(waiting_, {}))
            one();
    }

    bool holds_answers = false;
    bool delays_commits = false;

private:
    void answer(std::function<void()> what)
    {
        if (holds_answers)
            waiting_.push_back(std::move(what));
        else
            what();
    }

    versioned_store to_;
    std::vector<std::function<void()>> unsent_;
    std::vector<std::function<void()>> waiting_;
};

} // namespace

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: a read answered before a stop decides nothing for "
    "calls that come after it")
{
    for (auto const handled_first : {false, true})
    {
        for (int read_ms = 0; read_ms <= 1'200; read_ms += 50)
        {
            INFO(handled_first << ", " << read_ms << " ms");
            remove_row();
            auto const at = make_register();
            set_versions(*at, {"1.0"});
            held_store held(store.calls());
            auto const frozen = make_register(held.calls());
            set_versions(*frozen, {"1.0"});
            clock.advance(seconds(2));
            // The read falls before, into or after the announcement.
            auto const announce = [&] { set_versions(*at, {"1.0", "1.1"}); };
            constexpr int announced_at_ms = 600;
            if (read_ms > announced_at_ms)
                announce();
            std::optional<found_version> before;
            held.holds_answers = true;
            ask(*frozen, before);
            run_store();
            if (read_ms <= announced_at_ms)
                announce();
            while (!at->may_begin(llm, "1.1"))
                run_for({at.get()}, milliseconds(100));
            // A stream begins at the new version elsewhere and breaks.
            std::optional<found_version> after;
            if (handled_first)
                held.release();
            ask(*frozen, after);
            held.release();
            run_store();
            REQUIRE(after);
            CHECK_FALSE(*after);
        }
    }
}

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: a read that is handled after a later transaction "
    "decides nothing")
{
    auto const at = make_register();
    set_versions(*at, {"1.0"});
    held_store held(store.calls());
    auto const frozen = make_register(held.calls());
    set_versions(*frozen, {"1.0"});
    clock.advance(seconds(2));
    set_versions(*at, {"1.0", "1.1"});
    // This node reads the row before the version counts, and announces another
    // one, which the store takes in late.
    clock.advance(options.announcement_margin - milliseconds(50));
    held.delays_commits = true;
    set_versions(*frozen, {"1.0", "1.1", "1.2"});
    clock.advance(options.announcement_margin + milliseconds(60));
    REQUIRE(at->may_begin(llm, "1.1"));
    // A stream that began there is to be taken up here.
    held.holds_answers = true;
    std::optional<found_version> found;
    ask(*frozen, found);
    run_store();
    held.send_commits();
    run_store();
    clock.advance(seconds(3));
    held.release_reversed();
    run_store();
    REQUIRE(found);
    CHECK_FALSE(*found);
}

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: a node without the store decides nothing once its "
    "read is old")
{
    auto const at = make_register();
    set_versions(*at, {"1.0"});
    held_store held(store.calls());
    auto const cut = make_register(held.calls());
    set_versions(*cut, {"1.0"});
    clock.advance(seconds(2));
    REQUIRE(only_version(*cut) == "1.0");
    held.holds_answers = true;
    set_versions(*at, {"1.0", "1.1"});
    std::optional<found_version> found;
    while (!at->may_begin(llm, "1.1"))
    {
        run_for({at.get()}, milliseconds(50));
        cut->tick();
    }
    ask(*cut, found);
    run_store();
    CHECK_FALSE(found);
    held.release();
    run_store();
    REQUIRE(found);
    CHECK_FALSE(*found);
}

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: a lost row names no only version at a node that "
    "knew it")
{
    for (auto const announced : {false, true})
    {
        INFO(announced);
        auto const at = make_register();
        auto const other = make_register();
        remove_row();
        set_versions(*at, {"1.0"});
        set_versions(*other, {"1.0"});
        clock.advance(seconds(2));
        REQUIRE(only_version(*other) == "1.0");
        set_versions(*at, {"1.0", "1.1"});
        if (announced)
            REQUIRE(only_version(*other) == "1.0");
        run_for({at.get()}, options.announcement * 2);
        REQUIRE(at->may_begin(llm, "1.1"));
        remove_row();
        CHECK_FALSE(only_version(*other));
        run_for({at.get(), other.get()}, seconds(5));
        CHECK_FALSE(only_version(*other));
        CHECK_FALSE(only_version(*at));
    }
}

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: nodes that knew a lost row write it again and go on")
{
    auto const at = make_register();
    set_versions(*at, {"1.0"});
    set_versions(*at, {"1.0", "1.1"});
    run_for({at.get()}, options.announcement * 2);
    // The old version's last engine leaves.
    set_versions(*at, {"1.1"});
    remove_row();
    auto const steps = store.steps();
    only_version(*at);
    set_versions(*at, {"1.1", "1.2"});
    run_for({at.get()}, seconds(5));
    CHECK(store.steps() < steps + 20);
    REQUIRE(store.find(row()) != nullptr);
    CHECK(at->may_begin(llm, "1.1"));
    CHECK(at->may_begin(llm, "1.2"));
    auto const fresh = make_register();
    set_versions(*fresh, {"1.1"});
    CHECK_FALSE(only_version(*fresh));
    CHECK(fresh->has_several(llm));
}

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: a row rewritten by a node that did not know the lost "
    "one is completed")
{
    auto const at = make_register();
    set_versions(*at, {"1.0"});
    set_versions(*at, {"1.0", "1.1"});
    run_for({at.get()}, options.announcement * 2);
    set_versions(*at, {"1.1"});
    remove_row();
    auto const fresh = make_register();
    set_versions(*fresh, {"1.1"});
    CHECK_FALSE(only_version(*at));
    run_store();
    clock.advance(seconds(1));
    CHECK_FALSE(only_version(*fresh));
}

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: a row that cannot be decoded names no only version "
    "until its streams have ended")
{
    for (auto const* bytes : {"", "\xff", "\x81\x81\x63", "\xa0"})
    {
        for (auto const has_memory : {false, true})
        {
            INFO(std::string(bytes).size() << ' ' << has_memory);
            remove_row();
            auto const at = make_register();
            set_versions(*at, {"1.0"});
            set_versions(*at, {"1.0", "1.1"});
            run_for({at.get()}, options.announcement * 2);
            // The old version's last engine leaves.
            set_versions(*at, {"1.1"});
            auto const fresh = make_register();
            if (has_memory)
                set_versions(*fresh, {"1.0", "1.1"});
            overwrite_row(bytes);
            set_versions(*fresh, {"1.1"});
            CHECK_FALSE(only_version(*fresh));
            for (int i = 0; i < 10; ++i)
            {
                run_for({fresh.get()}, options.stream_lifetime / 10);
                CHECK_FALSE(only_version(*fresh));
                CHECK_FALSE(only_version(*at));
            }
            CHECK(fresh->may_begin(llm, "1.1"));
            CHECK(fresh->has_several(llm));
            run_for(
                {fresh.get()}, options.registration + options.stream_lifetime +
                                   options.late_transaction + seconds(10));
            CHECK(only_version(*fresh) == "1.1");
        }
    }
}

TEST_CASE_METHOD(
    out_of_step_fixture,
    "release out of step: a row that cannot be decoded stops no streams at a "
    "node that began them")
{
    auto const at = make_register();
    set_versions(*at, {"1.0"});
    clock.advance(seconds(2));
    overwrite_row("\xff");
    CHECK_FALSE(only_version(*at));
    CHECK(at->may_begin(llm, "1.0"));
    run_for({at.get()}, seconds(1));
    CHECK(at->may_begin(llm, "1.0"));
    CHECK(decode_registered_versions(store.find(row())->value));
}

namespace
{

enum class disturbance
{
    no_nodes,
    no_nodes_no_store,
    frozen,
    old_engines,
    old_engines_no_nodes
};

void disturb_first(stream_cluster& cluster, disturbance how, duration span)
{
    auto const cut_from_nodes = how == disturbance::no_nodes ||
                                how == disturbance::no_nodes_no_store ||
                                how == disturbance::old_engines_no_nodes;
    if (cut_from_nodes)
        cluster.cut_off_from_nodes(0, span);
    if (how == disturbance::no_nodes_no_store)
        cluster.cut_off_from_store(0, span);
    if (how == disturbance::old_engines ||
        how == disturbance::old_engines_no_nodes)
        cluster.keep_engines(0, span);
    if (how == disturbance::frozen)
        cluster.freeze(0, span);
}

/// Disturbs the first node at moments around the join of a new version, while
/// most broken streams are resumed there.
void run_release(disturbance how, bool replaces_all)
{
    constexpr std::uint64_t seeds = 2;
    std::size_t at_disturbed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        // From two seconds before the first engine of the version joins until
        // the last one of the old version has left.
        for (int start_ms = -2'000; start_ms <= 3'000; start_ms += 500)
        {
            INFO("seed " << seed << ", " << start_ms << " ms");
            stream_cluster_options options;
            options.seed = seed;
            options.streams_per_s = 200;
            options.broken = 0.5;
            options.resumed_at_first = 0.7;
            options.frozen_nodes_queue = true;
            stream_cluster cluster(options);
            cluster.run_for(seconds(5));
            auto const span =
                milliseconds(500 + 700 * static_cast<int>(seed) - start_ms % 7);
            if (start_ms < 0)
                disturb_first(cluster, how, span);
            cluster.run_for(milliseconds(std::max(0, -start_ms)));
            cluster.release("1.1", replaces_all ? 1 : 0.5, milliseconds(100));
            cluster.run_for(milliseconds(std::max(0, start_ms)));
            if (start_ms >= 0)
                disturb_first(cluster, how, span);
            cluster.run_for(seconds(8));
            CHECK(cluster.result().mixed == 0);
            CHECK(cluster.result().owed_resumed * 2 > cluster.result().owed);
            at_disturbed += cluster.result().at_disturbed;
        }
    }
    CHECK(at_disturbed > 500);
}

} // namespace

TEST_CASE("release out of step: a node cut off from the others joins no two "
          "versions")
{
    for (auto const replaces_all : {false, true})
        run_release(disturbance::no_nodes, replaces_all);
}

TEST_CASE("release out of step: a node cut off from the others and the store "
          "joins no two versions")
{
    for (auto const replaces_all : {false, true})
        run_release(disturbance::no_nodes_no_store, replaces_all);
}

TEST_CASE("release out of step: a node that stood still joins no two versions")
{
    for (auto const replaces_all : {false, true})
        run_release(disturbance::frozen, replaces_all);
}

TEST_CASE("release out of step: a node with an old list of engines joins no "
          "two versions")
{
    for (auto const replaces_all : {false, true})
    {
        run_release(disturbance::old_engines, replaces_all);
        run_release(disturbance::old_engines_no_nodes, replaces_all);
    }
}

/// \file
/// The load balancer's use of engine speeds.

#include "balancer_play.hpp"

#include <walnutmill/engine_balancer.hpp>
#include <walnutmill/hash.hpp>

#include "entry/load_summary.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct speeds_balancer_fixture
{
    manual_clock clock;
    balancer_options options;
    engine_balancer balancer{zone_name("z0"), clock.fn(), seeded_random(7)};
    std::vector<engine_entry> engines;

    void start(int count)
    {
        clock.advance(seconds(100));
        for (int i = 0; i < count; ++i)
        {
            engine_entry one;
            one.id = target_name("e" + std::to_string(i));
            one.incarnation.started_at_ms = 1;
            one.service = service_name("llm");
            one.address = "10.0.0.1:1";
            one.zone = zone_name("z0");
            one.slots = 12;
            engines.push_back(one);
        }
        balancer.set_engines(engines);
    }

    engine_ref ref(int engine) const
    {
        auto const& one = engines.at(static_cast<std::size_t>(engine));
        return {one.id, one.incarnation};
    }

    static balancer_request turn()
    {
        balancer_request need;
        need.service = service_name("llm");
        need.prompt_tokens = 1'680;
        need.output_tokens = 257;
        return need;
    }

    void report(int engine, std::optional<std::uint32_t> percent)
    {
        engine_load load;
        load.slots = 12;
        load.machine_percent = percent;
        balancer.report_load(ref(engine), load);
    }

    void finish_call(int engine, milliseconds took)
    {
        balancer.sent(ref(engine), turn());
        clock.advance(took);
        balancer.ended(ref(engine), turn(), engine_outcome::answered, took);
    }

    std::map<std::string, int> choose_repeatedly(int repetitions)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < repetitions; ++i)
            ++chosen[balancer.choose(turn())->engine.str()];
        return chosen;
    }

    engine_placement place_at(int engine)
    {
        auto need = turn();
        need.only = ref(engine).id;
        return *balancer.choose(need);
    }

    std::uint32_t key(int engine) const { return short_key(ref(engine).id); }
};

void check_same(
    std::vector<engine_placement> const& a,
    std::vector<engine_placement> const& b)
{
    REQUIRE(a.size() == b.size());
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        INFO("placement " << i);
        REQUIRE(a[i].engine == b[i].engine);
        REQUIRE(a[i].cost_ms == b[i].cost_ms);
        REQUIRE(a[i].wait == b[i].wait);
        REQUIRE(a[i].time_to_first_byte == b[i].time_to_first_byte);
        REQUIRE(a[i].load == b[i].load);
        REQUIRE(a[i].cached_tokens == b[i].cached_tokens);
        REQUIRE_FALSE(a[i].base_slowdown);
        REQUIRE_FALSE(b[i].base_slowdown);
        REQUIRE_FALSE(b[i].machine_slowdown);
    }
}

} // namespace

TEST_CASE("engine speeds: without figures decisions are as without the feature")
{
    // Decisions of a balancer that has no engine speeds, by seed: a digest of
    // the engines chosen, and sums of the estimates.
    struct expected_play
    {
        unsigned seed;
        std::size_t placements;
        std::uint64_t digest;
        double cost_ms;
        std::int64_t wait_ms;
        std::int64_t first_byte_ms;
    };
    auto const expected = GENERATE(
        expected_play{
            1, 703, 0xd73bbb9107959fe6U, 625'092.173, 76'075, 160'386},
        expected_play{
            2, 680, 0xf8e5691086c0e28dU, 542'731.018, 47'376, 125'796},
        expected_play{
            3, 701, 0x3a6465c6d0b4f928U, 594'040.288, 78'449, 161'363},
        expected_play{
            4, 642, 0x82ac6347cd698c70U, 504'730.812, 39'861, 118'251},
        expected_play{
            5, 680, 0x300883edc5c38828U, 555'284.275, 49'004, 144'112},
        expected_play{
            6, 637, 0x4de184635dbb1a13U, 444'866.389, 20'935, 90'073});
    INFO("seed " << expected.seed);
    balancer_play play;
    play.seed = expected.seed;
    play.after_exchange = [](engine_balancer& balancer)
    {
        // A sum without figures and speeds, and nothing to send.
        balancer.set_cluster_machine_figures({});
        balancer.set_cluster_speeds({});
        CHECK(balancer.own_machine_figures().empty());
        CHECK(balancer.own_speed_samples().empty());
    };
    auto const placements = play.run();
    std::string engines;
    double cost_ms = 0;
    milliseconds wait{0};
    milliseconds first_byte{0};
    for (auto const& one : placements)
    {
        engines += one.engine.str() + " ";
        cost_ms += one.cost_ms;
        wait += one.wait;
        first_byte += one.time_to_first_byte;
    }
    CHECK(placements.size() == expected.placements);
    CHECK(stable_hash(engines) == expected.digest);
    CHECK(cost_ms == Approx(expected.cost_ms).epsilon(1e-9));
    CHECK(wait.count() == expected.wait_ms);
    CHECK(first_byte.count() == expected.first_byte_ms);

    // Where the feature is excluded, figures change nothing either.
    balancer_play excluded;
    excluded.seed = expected.seed;
    excluded.options.use_engine_speeds = false;
    excluded.change_load = [](engine_load& load)
    { load.machine_percent = 100 + load.running * 20; };
    excluded.after_exchange = [](engine_balancer& balancer)
    {
        auto const key = short_key(target_name("e1"));
        balancer.set_cluster_machine_figures({{key, 250, 0}});
        balancer.set_cluster_speeds({{key, 2'000, 1'000}});
    };
    check_same(placements, excluded.run());
}

TEST_CASE("engine speeds: with figures decisions differ")
{
    // Guards the test above against plays in which figures have no effect.
    balancer_play without;
    auto with = without;
    with.change_load = [](engine_load& load)
    { load.machine_percent = 100 + load.running * 20; };
    auto const a = without.run();
    auto const b = with.run();
    REQUIRE(a.size() == b.size());
    int different = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        different += a[i].engine == b[i].engine ? 0 : 1;
    CHECK(different > 0);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture, "engine speeds: a slowed machine gets fewer calls")
{
    start(4);
    CHECK(choose_repeatedly(400)["e0"] > 60);
    report(0, 250);
    auto const slowed = choose_repeatedly(400);
    CHECK(slowed.count("e0") == 0);
    clock.advance(seconds(1));
    CHECK(choose_repeatedly(400)["e0"] > 60);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: a slowed machine is used where the others are full")
{
    start(3);
    report(0, 250);
    balancer.set_peer_loads([](target_name const& id)
                            { return id.str() == "e0" ? 0U : 30U; });
    CHECK(choose_repeatedly(100)["e0"] == 100);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: figures of other nodes count like own ones")
{
    start(4);
    balancer.set_cluster_machine_figures({{key(0), 250, 20}});
    CHECK(choose_repeatedly(400).count("e0") == 0);
    CHECK(balancer.own_machine_figures().empty());
    balancer.set_cluster_machine_figures({});
    CHECK(choose_repeatedly(400)["e0"] > 60);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: speeds of other nodes count from three calls on")
{
    start(4);
    report(1, 100);
    balancer.set_cluster_speeds({{key(0), 1'200, 200}});
    CHECK(choose_repeatedly(400)["e0"] > 60);
    balancer.set_cluster_speeds({{key(0), 1'200, 1'000}, {key(1), 550, 1'000}});
    auto const chosen = choose_repeatedly(400);
    CHECK(chosen.at("e1") > 250);
    CHECK(chosen.count("e0") == 0);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: cost, wait and first byte go by both slowdowns")
{
    start(2);
    balancer.set_peer_loads([](target_name const&) { return 24U; });
    report(0, 100);
    auto const usual = place_at(0);
    balancer.set_cluster_speeds({{key(0), 2'000, 1'000}});
    auto const slow_engine = place_at(0);
    CHECK(slow_engine.wait * 10 > usual.wait * 19);
    auto const first_byte = [](engine_placement const& one)
    { return (one.time_to_first_byte - one.wait).count(); };
    CHECK(first_byte(slow_engine) >= 2 * first_byte(usual));
    CHECK(slow_engine.cost_ms > 1.9 * usual.cost_ms);
    CHECK(slow_engine.base_slowdown == 2.0);
    CHECK(slow_engine.machine_slowdown == 1.0);
    report(0, 250);
    auto const both = place_at(0);
    CHECK(both.wait > slow_engine.wait);
    CHECK(first_byte(both) > 2 * first_byte(slow_engine));
    CHECK(both.cost_ms > slow_engine.cost_ms);
    CHECK(both.machine_slowdown == Approx(2.5));
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: the calls per slot don't depend on speeds")
{
    start(2);
    balancer.set_peer_loads([](target_name const&) { return 24U; });
    report(0, 1'000);
    balancer.set_cluster_speeds({{key(0), 2'000, 1'000}});
    CHECK(balancer.pressure(service_name("llm")) == 2.0);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: a slow machine doesn't make its engine slow")
{
    // Calls that took 2.5 times as long on a slowed machine would keep calls
    // away from the engine long after the slow period.
    start(2);
    report(0, 100);
    for (int i = 0; i < 10; ++i)
        finish_call(0, milliseconds(330));
    auto const usual = *place_at(0).base_slowdown;
    for (int i = 0; i < 10; ++i)
    {
        for (int part = 0; part < 10; ++part)
        {
            report(0, 250);
            clock.advance(milliseconds(60));
        }
        clock.advance(milliseconds(200));
        balancer.sent(ref(0), turn());
        balancer.ended(
            ref(0), turn(), engine_outcome::answered, milliseconds(825));
    }
    CHECK(*place_at(0).base_slowdown < usual * 1.3);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: an engine that claims to be fast is measured by its calls")
{
    start(2);
    for (int i = 0; i < 40; ++i)
    {
        for (int engine = 0; engine < 2; ++engine)
        {
            report(engine, engine == 0 ? 25 : 100);
            finish_call(engine, milliseconds(330));
        }
    }
    report(0, 25);
    report(1, 100);
    // By its claim alone it would cost a third of the other.
    CHECK(place_at(0).cost_ms > 0.6 * place_at(1).cost_ms);
    CHECK(*place_at(0).base_slowdown > 1.5 * *place_at(1).base_slowdown);
}

TEST_CASE_METHOD(
    speeds_balancer_fixture,
    "engine speeds: a restart discards figures and speeds")
{
    start(2);
    report(0, 250);
    balancer.set_cluster_speeds({{key(0), 3'000, 1'000}});
    ++engines[0].incarnation.started_at_ms;
    balancer.set_engines(engines);
    auto const placed = place_at(0);
    CHECK(placed.base_slowdown == 1.0);
    CHECK(placed.machine_slowdown == 1.0);
    // A late answer of the former incarnation tells nothing of the new one.
    engine_load load;
    load.machine_percent = 250;
    balancer.report_load({engines[0].id, engine_incarnation{1}}, load);
    CHECK(place_at(0).machine_slowdown == 1.0);
}

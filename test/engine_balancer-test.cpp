#include <walnutmill/engine_balancer.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct balancer_fixture
{
    manual_clock clock;
    engine_balancer balancer{zone_name("z0"), clock.fn(), seeded_random(7)};
    std::vector<engine_entry> engines;
    std::vector<prompt_part> prompt{{"shared", 12'600}, {"own", 1'500}};

    void start(int count, int domains = 2)
    {
        for (int i = 0; i < count; ++i)
        {
            engine_entry one;
            one.id = target_name("e" + std::to_string(i));
            one.service = service_name("llm");
            one.address = "10.0.0.1:1";
            one.zone = zone_name("z" + std::to_string(i % domains));
            one.slots = 16;
            engines.push_back(one);
        }
        balancer.set_engines(engines);
    }

    balancer_request turn() const
    {
        balancer_request need;
        need.service = service_name("llm");
        need.prompt_tokens = 14'100;
        need.output_tokens = 260;
        need.prompt = &prompt;
        return need;
    }

    balancer_request plain_call() const
    {
        balancer_request need;
        need.service = service_name("llm");
        return need;
    }

    std::map<std::string, int>
    choose_repeatedly(balancer_request const& need, int repetitions)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < repetitions; ++i)
            ++chosen[balancer.choose(need)->engine.str()];
        return chosen;
    }
};

} // namespace

TEST_CASE_METHOD(
    balancer_fixture, "board: without engines there is no placement")
{
    CHECK_FALSE(balancer.choose(plain_call()));
}

TEST_CASE_METHOD(balancer_fixture, "board: a draining engine is never chosen")
{
    start(4);
    engines[0].state = engine_state::draining;
    balancer.set_engines(engines);
    CHECK(choose_repeatedly(plain_call(), 200).count("e0") == 0);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: a turn returns to the engine that holds its conversation")
{
    start(12, 1);
    prompt[1].tokens = 8'000;
    auto need = turn();
    need.prompt_tokens = 20'600;
    auto const first = balancer.choose(need)->engine;
    balancer.sent(first, need);
    balancer.ended(first, need, engine_outcome::answered, milliseconds(320));
    auto const chosen = choose_repeatedly(need, 100);
    CHECK(chosen.at(first.str()) >= 95);
}

TEST_CASE_METHOD(
    balancer_fixture, "board: nodes agree on the engines of a shared prefix")
{
    start(24);
    engine_balancer other{zone_name("z0"), clock.fn(), seeded_random(99)};
    other.set_engines(engines);
    std::map<std::string, int> first_chosen;
    std::map<std::string, int> second_chosen;
    // Sixteen shared prefixes, requested in turn by two nodes that exchange
    // nothing.
    for (int i = 0; i < 3'200; ++i)
    {
        std::vector<prompt_part> const parts{
            {"shared" + std::to_string(i % 16), 12'600},
            {"own" + std::to_string(i), 1'500}};
        auto need = turn();
        need.prompt = &parts;
        auto const one = balancer.choose(need);
        auto const two = other.choose(need);
        if (i % 16 != 3 || i < 1'600)
            continue;
        ++first_chosen[one->engine.str()];
        ++second_chosen[two->engine.str()];
    }
    CHECK(first_chosen.size() <= 5);
    for (auto const& [engine, calls] : first_chosen)
    {
        if (calls > 10)
            CHECK(second_chosen.count(engine) == 1);
    }
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: an engine with free slots is preferred to a full one")
{
    start(2);
    auto const need = plain_call();
    balancer.set_peer_loads([](target_name const& id)
                            { return id.str() == "e0" ? 30U : 2U; });
    CHECK(choose_repeatedly(need, 100)["e1"] == 100);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: an engine that fails a part of its calls is avoided")
{
    start(4, 1);
    auto const need = plain_call();
    for (int i = 0; i < 20; ++i)
    {
        balancer.sent(target_name("e2"), need);
        balancer.ended(
            target_name("e2"), need,
            i % 2 == 0 ? engine_outcome::failed : engine_outcome::answered,
            milliseconds(60));
    }
    CHECK(choose_repeatedly(need, 200)["e2"] < 10);
}

TEST_CASE_METHOD(
    balancer_fixture, "board: an engine that became slow gets fewer calls")
{
    start(4, 1);
    auto const need = plain_call();
    for (int i = 0; i < 40; ++i)
    {
        for (auto const& one : engines)
        {
            balancer.sent(one.id, need);
            balancer.ended(
                one.id, need, engine_outcome::answered,
                milliseconds(one.id.str() == "e1" ? 400 : 60));
        }
    }
    CHECK(choose_repeatedly(need, 200)["e1"] < 10);
}

TEST_CASE_METHOD(
    balancer_fixture, "board: an unreachable engine is ejected, then returns")
{
    start(2, 1);
    auto const need = plain_call();
    balancer.sent(target_name("e0"), need);
    balancer.ended(
        target_name("e0"), need, engine_outcome::unreachable, milliseconds(1));
    CHECK(choose_repeatedly(need, 100).count("e0") == 0);
    clock.advance(seconds(4));
    CHECK(choose_repeatedly(need, 100).count("e0") == 1);
}

TEST_CASE_METHOD(
    balancer_fixture, "board: ejected engines are used when all are ejected")
{
    start(1);
    auto const need = plain_call();
    balancer.ended(
        target_name("e0"), need, engine_outcome::unreachable, milliseconds(1));
    CHECK(balancer.choose(need));
}

TEST_CASE_METHOD(
    balancer_fixture, "board: eighty nodes that see the same loads don't herd")
{
    start(45, 1);
    balancer.set_peer_loads([](target_name const& id)
                            { return id.str() == "e7" ? 0U : 8U; });
    // The calls that eighty nodes place between two load exchanges: 200 turns.
    auto const chosen = choose_repeatedly(plain_call(), 200);
    CHECK(chosen.at("e7") < 40);
}

TEST_CASE_METHOD(
    balancer_fixture, "board: a stalled engine is avoided, then tried again")
{
    start(4, 1);
    auto const share_of_e0 = [&]
    {
        auto const chosen = choose_repeatedly(plain_call(), 400);
        return chosen.count("e0") > 0 ? chosen.at("e0") : 0;
    };
    auto const before = share_of_e0();
    for (int i = 0; i < 3; ++i)
        balancer.call_stalled(target_name("e0"));
    auto const after = share_of_e0();
    clock.advance(seconds(60));
    auto const later = share_of_e0();
    CHECK(before > 60);
    CHECK(after <= 20);
    CHECK(later > 60);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: a failed engine gets calls again without a success")
{
    start(4, 1);
    for (int i = 0; i < 6; ++i)
    {
        balancer.sent(target_name("e0"), plain_call());
        balancer.ended(
            target_name("e0"), plain_call(), engine_outcome::failed,
            milliseconds(10));
    }
    auto const after = choose_repeatedly(plain_call(), 400);
    clock.advance(seconds(60));
    auto const later = choose_repeatedly(plain_call(), 400);
    CHECK((after.count("e0") > 0 ? after.at("e0") : 0) <= 20);
    CHECK(later.at("e0") > 60);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: the first byte is expected after wait and prefill")
{
    start(1, 1);
    auto const idle = balancer.choose(turn());
    for (int i = 0; i < 24; ++i)
        balancer.sent(target_name("e0"), turn());
    auto const full = balancer.choose(turn());
    REQUIRE(idle);
    REQUIRE(full);
    CHECK(idle->time_to_first_byte >= milliseconds(10));
    CHECK(idle->time_to_first_byte <= milliseconds(60));
    CHECK(full->time_to_first_byte > full->wait);
    CHECK(full->wait > milliseconds(100));
}

TEST_CASE_METHOD(
    balancer_fixture, "board: a new engine is assumed as fast as the others")
{
    start(8, 1);
    // The engines take five times as long as predicted.
    for (int i = 0; i < 400; ++i)
    {
        auto const to = balancer.choose(turn());
        balancer.sent(to->ref(), turn());
        balancer.ended(to->ref(), turn(), engine_outcome::answered, seconds(2));
    }
    auto added = engines.front();
    added.id = target_name("new");
    engines.push_back(added);
    balancer.set_engines(engines);
    // Its fair share is one in nine. Nodes that took it to be five times as
    // fast would send it nearly all calls.
    CHECK(choose_repeatedly(plain_call(), 180)["new"] <= 40);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: a conversation continues where another node left it")
{
    start(8, 1);
    balancer.add_prefix_location({"own", 1'500, target_name("e5")});
    auto const chosen = choose_repeatedly(turn(), 100);
    CHECK(chosen.at("e5") >= 90);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: a cached beginning of a conversation counts its tokens")
{
    start(8, 1);
    balancer.add_prefix_location({"own", 500, target_name("e2")});
    auto need = turn();
    need.only = target_name("e2");
    auto const before = balancer.choose(need);
    balancer.add_prefix_location({"own", 2'000, target_name("e2")});
    auto const after = balancer.choose(need);
    REQUIRE(before);
    REQUIRE(after);
    CHECK(after->cached_tokens - before->cached_tokens == 1'000);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: a sub-agent's first turn goes where its parent's prompt is cached")
{
    start(8, 1);
    balancer.add_prefix_location({"own", 1'500, target_name("e5")});
    prompt.push_back({"sub-agent", 300});
    CHECK(choose_repeatedly(turn(), 100).at("e5") >= 90);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: a conversation cached at a former incarnation is ignored")
{
    start(8, 1);
    for (auto& one : engines)
        one.incarnation = {2'000};
    balancer.set_engines(engines);
    // Long enough for every engine to have read the shared prefix again.
    clock.advance(seconds(3));
    engine_ref const former(target_name("e5"), engine_incarnation{1'000});
    balancer.add_prefix_location({"own", 1'500, former});
    CHECK(balancer.choose(turn())->cached_tokens == 12'600);
    CHECK(choose_repeatedly(turn(), 100)["e5"] < 50);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: an engine that closes without an answer is ejected")
{
    start(4, 1);
    auto const down_engine = target_name("e0");
    // The other engines are full, so the one that is down has the lowest cost.
    for (auto const* id : {"e1", "e2", "e3"})
        balancer.report_load(target_name(id), {16, 200, 16});
    CHECK(choose_repeatedly(plain_call(), 50)["e0"] > 25);
    balancer.sent(down_engine, plain_call());
    balancer.ended(
        down_engine, plain_call(), engine_outcome::closed_without_answer,
        milliseconds(5));
    CHECK(choose_repeatedly(plain_call(), 50)["e0"] == 0);
    clock.advance(milliseconds(310));
    CHECK(choose_repeatedly(plain_call(), 50)["e0"] > 25);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: an engine that fails most nodes' calls is ejected")
{
    start(4, 1);
    auto const report = [this](double failed, double answered)
    {
        return balancer.set_cluster_outcomes(
            [=](target_name const& engine)
            {
                return engine.str() == "e0" ? recent_outcomes{failed, answered}
                                            : recent_outcomes{0, 30};
            });
    };
    CHECK(report(1, 0).empty());
    CHECK(report(4, 40).empty());
    auto const ejected = report(8, 2);
    REQUIRE(ejected.size() == 1);
    CHECK(ejected[0].first == target_name("e0"));
    // The engine is already ejected.
    CHECK(report(8, 2).empty());
    CHECK(choose_repeatedly(plain_call(), 200).count("e0") == 0);
}

TEST_CASE_METHOD(
    balancer_fixture, "board: outcomes reported to others decay within seconds")
{
    start(4, 1);
    auto const one = target_name("e1");
    balancer.sent(one, plain_call());
    balancer.ended(one, plain_call(), engine_outcome::failed, milliseconds(5));
    REQUIRE(balancer.own_outcomes().size() == 1);
    CHECK(balancer.own_outcomes()[0].second.failed == Approx(1));
    clock.advance(milliseconds(250));
    CHECK(balancer.own_outcomes()[0].second.failed == Approx(0.5));
    clock.advance(seconds(2));
    CHECK(balancer.own_outcomes().empty());
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: failures of a former incarnation don't eject the new one")
{
    start(4, 1);
    engines[0].incarnation = {2'000};
    balancer.set_engines(engines);
    auto const report = [this]
    {
        return balancer.set_cluster_outcomes(
            [](target_name const& engine)
            {
                return engine.str() == "e0" ? recent_outcomes{8, 0}
                                            : recent_outcomes{0, 30};
            });
    };
    CHECK(report().empty());
    clock.advance(seconds(3));
    CHECK(report().size() == 1);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: an idle connection breaks a tie but doesn't outweigh a queue")
{
    start(12, 1);
    balancer.is_connected = [](target_name const& engine)
    { return engine.str() == "e3"; };
    auto const idle = choose_repeatedly(plain_call(), 600);
    CHECK(idle.at("e3") > 2 * 600 / 12);
    balancer.set_peer_loads([](target_name const& engine)
                            { return engine.str() == "e3" ? 20U : 2U; });
    CHECK(choose_repeatedly(plain_call(), 600).count("e3") == 0);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: a node with few calls spreads a prompt by all nodes' demand")
{
    start(21, 1);
    // This node's first calls are all for one of many prompts.
    auto const need = turn();
    auto const distinct_engines = [&]
    {
        std::set<std::string> used;
        for (int i = 0; i < 100; ++i)
            used.insert(balancer.choose(need)->engine.str());
        return used.size();
    };
    CHECK(distinct_engines() > 10);
    // Across all nodes it is one call in sixteen.
    auto const own = balancer.own_demand();
    REQUIRE(own.size() == 2);
    prompt_demand all;
    for (auto const& [key, calls] : own)
        all[key] = 1'600;
    auto const of_part = own.front().first;
    all[of_part] = 100;
    balancer.set_cluster_demand(all);
    clock.advance(seconds(1));
    CHECK(distinct_engines() <= 4);
    // The reported demand has expired.
    clock.advance(seconds(5));
    CHECK(distinct_engines() > 10);
}

TEST_CASE_METHOD(
    balancer_fixture,
    "board: the demand reported to others halves within seconds")
{
    start(4, 1);
    for (int i = 0; i < 8; ++i)
        balancer.choose(turn());
    auto const calls = [&] { return balancer.own_demand().front().second; };
    CHECK(calls() == Approx(8));
    clock.advance(seconds(2));
    CHECK(calls() == Approx(4));
    clock.advance(seconds(60));
    CHECK(balancer.own_demand().empty());
}

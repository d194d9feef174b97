#include <walnutmill/engine_board.hpp>

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

struct board_fixture
{
    manual_clock clock;
    engine_board board{zone_name("z0"), clock.fn(), seeded_random(7)};
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
        board.set_engines(engines);
    }

    placement_need turn() const
    {
        placement_need need;
        need.service = service_name("llm");
        need.prompt_tokens = 14'100;
        need.output_tokens = 260;
        need.prompt = &prompt;
        return need;
    }

    placement_need plain() const
    {
        placement_need need;
        need.service = service_name("llm");
        return need;
    }

    std::map<std::string, int> choose_often(placement_need const& need, int n)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < n; ++i)
            ++chosen[board.choose(need)->engine.str()];
        return chosen;
    }
};

} // namespace

TEST_CASE_METHOD(board_fixture, "board: without engines there is no placement")
{
    CHECK_FALSE(board.choose(plain()));
}

TEST_CASE_METHOD(board_fixture, "board: a draining engine is never chosen")
{
    start(4);
    engines[0].state = engine_state::draining;
    board.set_engines(engines);
    CHECK(choose_often(plain(), 200).count("e0") == 0);
}

TEST_CASE_METHOD(
    board_fixture, "board: a turn returns to the engine that has its line")
{
    start(12, 1);
    prompt[1].tokens = 8'000;
    auto need = turn();
    need.prompt_tokens = 20'600;
    auto const first = board.choose(need)->engine;
    board.sent(first, need);
    board.ended(first, need, engine_outcome::answered, milliseconds(320));
    auto const chosen = choose_often(need, 100);
    CHECK(chosen.at(first.str()) >= 95);
}

TEST_CASE_METHOD(
    board_fixture, "board: nodes agree on the engines of a shared part")
{
    start(24);
    engine_board other{zone_name("z0"), clock.fn(), seeded_random(99)};
    other.set_engines(engines);
    std::map<std::string, int> here;
    std::map<std::string, int> there;
    // Sixteen shared parts, asked for in turn, by two nodes that never meet.
    for (int i = 0; i < 3'200; ++i)
    {
        std::vector<prompt_part> const parts{
            {"shared" + std::to_string(i % 16), 12'600},
            {"own" + std::to_string(i), 1'500}};
        auto need = turn();
        need.prompt = &parts;
        auto const one = board.choose(need);
        auto const two = other.choose(need);
        if (i % 16 != 3 || i < 1'600)
            continue;
        ++here[one->engine.str()];
        ++there[two->engine.str()];
    }
    CHECK(here.size() <= 5);
    for (auto const& [engine, calls] : here)
    {
        if (calls > 10)
            CHECK(there.count(engine) == 1);
    }
}

TEST_CASE_METHOD(
    board_fixture, "board: a full engine is left for one with free slots")
{
    start(2);
    auto const need = plain();
    board.set_peer_loads([](target_name const& id)
                         { return id.str() == "e0" ? 30U : 2U; });
    CHECK(choose_often(need, 100)["e1"] == 100);
}

TEST_CASE_METHOD(
    board_fixture, "board: an engine that fails a part of its calls is avoided")
{
    start(4, 1);
    auto const need = plain();
    for (int i = 0; i < 20; ++i)
    {
        board.sent(target_name("e2"), need);
        board.ended(
            target_name("e2"), need,
            i % 2 == 0 ? engine_outcome::failed : engine_outcome::answered,
            milliseconds(60));
    }
    CHECK(choose_often(need, 200)["e2"] < 10);
}

TEST_CASE_METHOD(
    board_fixture, "board: an engine that turned slow gets less than others")
{
    start(4, 1);
    auto const need = plain();
    for (int i = 0; i < 40; ++i)
    {
        for (auto const& one : engines)
        {
            board.sent(one.id, need);
            board.ended(
                one.id, need, engine_outcome::answered,
                milliseconds(one.id.str() == "e1" ? 400 : 60));
        }
    }
    CHECK(choose_often(need, 200)["e1"] < 10);
}

TEST_CASE_METHOD(
    board_fixture, "board: an engine that can't be reached rests, then returns")
{
    start(2, 1);
    auto const need = plain();
    board.sent(target_name("e0"), need);
    board.ended(
        target_name("e0"), need, engine_outcome::unreachable, milliseconds(1));
    CHECK(choose_often(need, 100).count("e0") == 0);
    clock.advance(seconds(4));
    CHECK(choose_often(need, 100).count("e0") == 1);
}

TEST_CASE_METHOD(board_fixture, "board: resting engines are used when all rest")
{
    start(1);
    auto const need = plain();
    board.ended(
        target_name("e0"), need, engine_outcome::unreachable, milliseconds(1));
    CHECK(board.choose(need));
}

TEST_CASE_METHOD(
    board_fixture, "board: eighty nodes that see the same loads don't herd")
{
    start(45, 1);
    board.set_peer_loads([](target_name const& id)
                         { return id.str() == "e7" ? 0U : 8U; });
    // What eighty nodes place between two sums of the loads: 200 turns.
    auto const chosen = choose_often(plain(), 200);
    CHECK(chosen.at("e7") < 40);
}

TEST_CASE_METHOD(
    board_fixture, "board: a stalled engine is left alone, then tried again")
{
    start(4, 1);
    auto const share_of_e0 = [&]
    {
        auto const chosen = choose_often(plain(), 400);
        return chosen.count("e0") > 0 ? chosen.at("e0") : 0;
    };
    auto const before = share_of_e0();
    for (int i = 0; i < 3; ++i)
        board.stalled(target_name("e0"));
    auto const after = share_of_e0();
    clock.advance(seconds(60));
    auto const later = share_of_e0();
    CHECK(before > 60);
    CHECK(after <= 20);
    CHECK(later > 60);
}

TEST_CASE_METHOD(
    board_fixture, "board: an engine that failed gets calls again without any")
{
    start(4, 1);
    for (int i = 0; i < 6; ++i)
    {
        board.sent(target_name("e0"), plain());
        board.ended(
            target_name("e0"), plain(), engine_outcome::failed,
            milliseconds(10));
    }
    auto const after = choose_often(plain(), 400);
    clock.advance(seconds(60));
    auto const later = choose_often(plain(), 400);
    CHECK((after.count("e0") > 0 ? after.at("e0") : 0) <= 20);
    CHECK(later.at("e0") > 60);
}

TEST_CASE_METHOD(
    board_fixture, "board: the first bytes are expected after wait and reading")
{
    start(1, 1);
    auto const idle = board.choose(turn());
    for (int i = 0; i < 24; ++i)
        board.sent(target_name("e0"), turn());
    auto const full = board.choose(turn());
    REQUIRE(idle);
    REQUIRE(full);
    CHECK(idle->first_bytes >= milliseconds(10));
    CHECK(idle->first_bytes <= milliseconds(60));
    CHECK(full->first_bytes > full->wait);
    CHECK(full->wait > milliseconds(100));
}

TEST_CASE_METHOD(
    board_fixture, "board: a new engine is taken to be as fast as the others")
{
    start(8, 1);
    // Engines that take five times as long as the figures say.
    for (int i = 0; i < 400; ++i)
    {
        auto const to = board.choose(turn());
        board.sent(to->ref(), turn());
        board.ended(to->ref(), turn(), engine_outcome::answered, seconds(2));
    }
    auto added = engines.front();
    added.id = target_name("new");
    engines.push_back(added);
    board.set_engines(engines);
    // One in nine would be its share; nodes that all took it to be five times
    // as fast would send it nearly all.
    CHECK(choose_often(plain(), 180)["new"] <= 40);
}

TEST_CASE_METHOD(
    board_fixture, "board: a line goes on where another node left it")
{
    start(8, 1);
    board.learn({"own", 1'500, target_name("e5")});
    auto const chosen = choose_often(turn(), 100);
    CHECK(chosen.at("e5") >= 90);
}

TEST_CASE_METHOD(
    board_fixture, "board: the beginning of a line counts for its tokens")
{
    start(8, 1);
    board.learn({"own", 500, target_name("e2")});
    auto need = turn();
    need.only = target_name("e2");
    auto const before = board.choose(need);
    board.learn({"own", 2'000, target_name("e2")});
    auto const after = board.choose(need);
    REQUIRE(before);
    REQUIRE(after);
    CHECK(after->cached_tokens - before->cached_tokens == 1'000);
}

TEST_CASE_METHOD(
    board_fixture,
    "board: a sub-agent's first turn goes where its parent's prompt lies")
{
    start(8, 1);
    board.learn({"own", 1'500, target_name("e5")});
    prompt.push_back({"sub-agent", 300});
    CHECK(choose_often(turn(), 100).at("e5") >= 90);
}

TEST_CASE_METHOD(
    board_fixture, "board: a line left at a former incarnation counts nothing")
{
    start(8, 1);
    for (auto& one : engines)
        one.incarnation = {2'000};
    board.set_engines(engines);
    // Long enough for the shared part to have been read again everywhere.
    clock.advance(seconds(3));
    engine_ref const former(target_name("e5"), engine_incarnation{1'000});
    board.learn({"own", 1'500, former});
    CHECK(board.choose(turn())->cached_tokens == 12'600);
    CHECK(choose_often(turn(), 100)["e5"] < 50);
}

TEST_CASE_METHOD(
    board_fixture, "board: an engine that ended without a word rests for a bit")
{
    start(4, 1);
    auto const down = target_name("e0");
    // The others are full, so that the one that is down looks best.
    for (auto const* id : {"e1", "e2", "e3"})
        board.told_load(target_name(id), {16, 200, 16});
    CHECK(choose_often(plain(), 50)["e0"] > 25);
    board.sent(down, plain());
    board.ended(down, plain(), engine_outcome::silent_end, milliseconds(5));
    CHECK(choose_often(plain(), 50)["e0"] == 0);
    clock.advance(milliseconds(310));
    CHECK(choose_often(plain(), 50)["e0"] > 25);
}

TEST_CASE_METHOD(
    board_fixture, "board: an engine at which most nodes' calls failed rests")
{
    start(4, 1);
    auto const told = [this](double failed, double answered)
    {
        return board.set_all_outcomes(
            [=](target_name const& engine)
            {
                return engine.str() == "e0" ? recent_outcomes{failed, answered}
                                            : recent_outcomes{0, 30};
            });
    };
    CHECK(told(1, 0).empty());
    CHECK(told(4, 40).empty());
    auto const resting = told(8, 2);
    REQUIRE(resting.size() == 1);
    CHECK(resting[0].first == target_name("e0"));
    // It rests already.
    CHECK(told(8, 2).empty());
    CHECK(choose_often(plain(), 200).count("e0") == 0);
}

TEST_CASE_METHOD(
    board_fixture, "board: outcomes told to others fade within a second")
{
    start(4, 1);
    auto const one = target_name("e1");
    board.sent(one, plain());
    board.ended(one, plain(), engine_outcome::failed, milliseconds(5));
    REQUIRE(board.own_outcomes().size() == 1);
    CHECK(board.own_outcomes()[0].second.failed == Approx(1));
    clock.advance(milliseconds(250));
    CHECK(board.own_outcomes()[0].second.failed == Approx(0.5));
    clock.advance(seconds(2));
    CHECK(board.own_outcomes().empty());
}

TEST_CASE_METHOD(
    board_fixture,
    "board: failures of a former incarnation don't make the new one rest")
{
    start(4, 1);
    engines[0].incarnation = {2'000};
    board.set_engines(engines);
    auto const told = [this]
    {
        return board.set_all_outcomes(
            [](target_name const& engine)
            {
                return engine.str() == "e0" ? recent_outcomes{8, 0}
                                            : recent_outcomes{0, 30};
            });
    };
    CHECK(told().empty());
    clock.advance(seconds(3));
    CHECK(told().size() == 1);
}

TEST_CASE_METHOD(
    board_fixture, "board: a kept connection breaks a tie, not a queue")
{
    start(12, 1);
    board.is_connected = [](target_name const& engine)
    { return engine.str() == "e3"; };
    auto const idle = choose_often(plain(), 600);
    CHECK(idle.at("e3") > 2 * 600 / 12);
    board.set_peer_loads([](target_name const& engine)
                         { return engine.str() == "e3" ? 20U : 2U; });
    CHECK(choose_often(plain(), 600).count("e3") == 0);
}

TEST_CASE_METHOD(
    board_fixture,
    "board: a node that sees few calls spreads a prompt by all nodes' demand")
{
    start(21, 1);
    // This node's first calls are all for one of many prompts.
    auto const need = turn();
    auto const engines_of = [&]
    {
        std::set<std::string> used;
        for (int i = 0; i < 100; ++i)
            used.insert(board.choose(need)->engine.str());
        return used.size();
    };
    CHECK(engines_of() > 10);
    // To all nodes it is one call in sixteen.
    auto const own = board.own_demand();
    REQUIRE(own.size() == 2);
    prompt_demand all;
    for (auto const& [key, calls] : own)
        all[key] = 1'600;
    auto const of_part = own.front().first;
    all[of_part] = 100;
    board.set_all_demand(all);
    clock.advance(seconds(1));
    CHECK(engines_of() <= 4);
    // The demand is no longer told.
    clock.advance(seconds(5));
    CHECK(engines_of() > 10);
}

TEST_CASE_METHOD(
    board_fixture, "board: the demand told to others halves within seconds")
{
    start(4, 1);
    for (int i = 0; i < 8; ++i)
        board.choose(turn());
    auto const calls = [&] { return board.own_demand().front().second; };
    CHECK(calls() == Approx(8));
    clock.advance(seconds(2));
    CHECK(calls() == Approx(4));
    clock.advance(seconds(60));
    CHECK(board.own_demand().empty());
}

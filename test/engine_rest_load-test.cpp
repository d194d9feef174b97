#include <walnutmill/engine_board.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// Load: many nodes place calls on a fleet of engines, each node a few a
/// second. Engines go down for seconds without leaving the registry: they end
/// each connection without a word. Others lose one answer in twenty.

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int nodes = 64;
constexpr int engine_count = 44;
constexpr int down_engines = 4;
/// Each node's calls come this far apart: 900 a second over all, 20 an engine.
constexpr milliseconds between_calls{70};
constexpr milliseconds call_lasts{350};
constexpr milliseconds exchange_every{200};
constexpr milliseconds tick{10};

struct call_under_way
{
    int node = 0;
    target_name engine;
    time_point ends_at{};
    time_point sent_at{};
    bool fails = false;
};

/// Nodes as real boards, engines as a rule that says whether a call fails.
struct fleet_fixture
{
    manual_clock clock;
    random_fn random = seeded_random(5);
    std::vector<std::unique_ptr<engine_board>> boards;
    std::vector<call_under_way> calls;
    bool exchanges = true;
    /// Engines e0 to e3 are down.
    bool down = false;
    /// Part of the answers that all other engines lose.
    double lost_part = 0;
    int sent = 0;
    int sent_to_down = 0;
    int rests = 0;

    fleet_fixture()
    {
        std::vector<engine_entry> engines;
        for (int i = 0; i < engine_count; ++i)
        {
            engine_entry one;
            one.id = target_name("e" + std::to_string(i));
            one.service = service_name("llm");
            one.address = "10.0.0.1:1";
            one.zone = zone_name("z" + std::to_string(i % 4));
            one.slots = 8;
            engines.push_back(one);
        }
        for (int i = 0; i < nodes; ++i)
        {
            boards.push_back(std::make_unique<engine_board>(
                zone_name("z" + std::to_string(i % 4)), clock.fn(),
                seeded_random(static_cast<std::uint32_t>(100 + i))));
            boards.back()->set_engines(engines);
        }
    }

    static int number_of(target_name const& engine)
    {
        return std::stoi(engine.str().substr(1));
    }

    void send(int node)
    {
        placement_need need;
        need.service = service_name("llm");
        auto& board = *boards[static_cast<std::size_t>(node)];
        auto const at = board.choose(need);
        REQUIRE(at);
        board.sent(at->ref(), need);
        auto const is_down = down && number_of(at->engine) < down_engines;
        auto const fails = is_down || random() < lost_part;
        auto const lasts = is_down ? tick : call_lasts;
        ++sent;
        sent_to_down += is_down ? 1 : 0;
        calls.push_back(
            {node, at->engine, clock.now() + lasts, clock.now(), fails});
    }

    void end_calls()
    {
        placement_need need;
        need.service = service_name("llm");
        for (std::size_t i = 0; i < calls.size();)
        {
            auto const one = calls[i];
            if (one.ends_at > clock.now())
            {
                ++i;
                continue;
            }
            boards[static_cast<std::size_t>(one.node)]->ended(
                one.engine, need,
                one.fails ? engine_outcome::silent_end
                          : engine_outcome::answered,
                clock.now() - one.sent_at);
            calls[i] = calls.back();
            calls.pop_back();
        }
    }

    void exchange()
    {
        std::unordered_map<std::string, std::uint32_t> loads;
        std::unordered_map<std::string, recent_outcomes> outcomes;
        for (auto const& board : boards)
        {
            for (auto const& [engine, count] : board->own_calls())
                loads[engine.str()] += count;
            for (auto const& [engine, seen] : board->own_outcomes())
            {
                outcomes[engine.str()].failed += seen.failed;
                outcomes[engine.str()].answered += seen.answered;
            }
        }
        for (auto const& board : boards)
        {
            std::unordered_map<std::string, std::uint32_t> own;
            for (auto const& [engine, count] : board->own_calls())
                own[engine.str()] = count;
            board->set_peer_loads(
                [&](target_name const& engine)
                { return loads[engine.str()] - own[engine.str()]; });
            if (!exchanges)
                continue;
            auto const resting =
                board->set_all_outcomes([&](target_name const& engine)
                                        { return outcomes[engine.str()]; });
            rests += static_cast<int>(resting.size());
        }
    }

    void play(duration length)
    {
        auto const from = clock.now();
        auto next_exchange = from;
        std::vector<time_point> next(nodes);
        for (int i = 0; i < nodes; ++i)
            next[static_cast<std::size_t>(i)] = from + milliseconds(i);
        while (clock.now() - from < length)
        {
            clock.advance(tick);
            end_calls();
            for (int i = 0; i < nodes; ++i)
            {
                auto& at = next[static_cast<std::size_t>(i)];
                while (at <= clock.now())
                {
                    send(i);
                    at += between_calls;
                }
            }
            if (clock.now() >= next_exchange)
            {
                exchange();
                next_exchange = clock.now() + exchange_every;
            }
        }
    }

    /// \return the part of the calls sent in 5 s that met an engine that was
    /// down, four engines of 44 being so.
    double part_lost()
    {
        play(seconds(2));
        down = true;
        sent = sent_to_down = 0;
        play(seconds(5));
        return static_cast<double>(sent_to_down) / sent;
    }
};

} // namespace

// Where each node learns of an engine by losing calls there itself, 0.065 of
// all calls meet one that is down, 0.091 of the engines being so; told by the
// others, 0.021. Aim: less than a quarter of what the engines' number would
// give.
TEST_CASE_METHOD(
    fleet_fixture, "board: engines that went down get few calls of many nodes")
{
    auto const lost = part_lost();
    INFO(lost);
    CHECK(lost < 0.25 * down_engines / engine_count);
    CHECK(rests > 0);
}

TEST_CASE_METHOD(
    fleet_fixture, "board: an engine that is up again soon has its share again")
{
    part_lost();
    down = false;
    // The longest rest, and two exchanges.
    play(seconds(4));
    sent = 0;
    std::unordered_map<int, int> at;
    for (int i = 0; i < 40; ++i)
    {
        play(milliseconds(50));
        for (auto const& one : calls)
            ++at[number_of(one.engine)];
    }
    for (int i = 0; i < down_engines; ++i)
        CHECK(at[i] > 0);
}

TEST_CASE_METHOD(
    fleet_fixture, "board: engines that lose one answer in twenty do not rest")
{
    lost_part = 0.05;
    play(seconds(10));
    CHECK(rests == 0);
}

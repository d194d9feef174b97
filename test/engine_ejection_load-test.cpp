#include <walnutmill/engine_balancer.hpp>
#include <walnutmill/stall_policy.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// Load test: many nodes place calls on a fleet of engines, each node a few a
/// second. Engines go down for seconds while still registered and close each
/// connection without an answer. Other engines lose one answer in twenty, or
/// fall silent for a second and go on.

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int node_count = 64;
constexpr int engine_count = 44;
constexpr int down_engine_count = 4;
/// Interval between a node's calls: 900 calls a second in total, 20 per engine.
constexpr milliseconds call_interval{70};
constexpr milliseconds call_duration{350};
constexpr milliseconds exchange_interval{200};
constexpr milliseconds tick{10};
constexpr milliseconds stall_time{400};

struct pending_call
{
    int node = 0;
    target_name engine;
    time_point ends_at{};
    time_point sent_at{};
    bool fails = false;
    bool is_watched = true;
};

/// Nodes with real load balancers, and simulated engines that only decide
/// whether a call fails.
struct fleet_fixture
{
    manual_clock clock;
    random_fn random = seeded_random(5);
    std::vector<std::unique_ptr<engine_balancer>> balancers;
    std::vector<pending_call> calls;
    bool exchanges_outcomes = true;
    /// Engines e0 to e3 are down.
    bool down = false;
    /// Fraction of the answers that all other engines lose.
    double lost_fraction = 0;
    /// Engines that are silent, and until when.
    std::vector<int> silent;
    time_point silent_until{};
    std::vector<retry_budget> budgets{node_count};
    int left = 0;
    int sent = 0;
    std::unordered_map<int, int> sent_to;
    int sent_to_down = 0;
    int ejections = 0;

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
        for (int i = 0; i < node_count; ++i)
        {
            balancers.push_back(std::make_unique<engine_balancer>(
                zone_name("z" + std::to_string(i % 4)), clock.fn(),
                seeded_random(static_cast<std::uint32_t>(100 + i))));
            balancers.back()->set_engines(engines);
        }
    }

    static int index_of(target_name const& engine)
    {
        return std::stoi(engine.str().substr(1));
    }

    void send(int node)
    {
        balancer_request need;
        need.service = service_name("llm");
        auto& balancer = *balancers[static_cast<std::size_t>(node)];
        auto const at = balancer.choose(need);
        REQUIRE(at);
        balancer.sent(at->ref(), need);
        auto const is_down = down && index_of(at->engine) < down_engine_count;
        auto const fails = is_down || random() < lost_fraction;
        duration call_time = is_down ? tick : call_duration;
        if (is_silent(at->engine))
            call_time += silent_until - clock.now();
        budgets[static_cast<std::size_t>(node)].call_sent();
        ++sent;
        ++sent_to[index_of(at->engine)];
        sent_to_down += is_down ? 1 : 0;
        calls.push_back(
            {node, at->engine, clock.now() + call_time, clock.now(), fails});
    }

    bool is_silent(target_name const& engine) const
    {
        return clock.now() < silent_until &&
               std::find(silent.begin(), silent.end(), index_of(engine)) !=
                   silent.end();
    }

    /// Lets the engines fall silent for a second in the midst of their calls.
    void fall_silent(std::vector<int> engines)
    {
        silent = std::move(engines);
        silent_until = clock.now() + seconds(1);
        for (auto& one : calls)
        {
            if (is_silent(one.engine))
                one.ends_at += seconds(1);
        }
    }

    /// Calls leave silent engines as far as their node's retry budget allows.
    void leave_silent_engines()
    {
        for (std::size_t i = 0; i < calls.size(); ++i)
        {
            auto const one = calls[i];
            if (!one.is_watched || !is_silent(one.engine) ||
                clock.now() - one.sent_at < stall_time)
                continue;
            auto const node = static_cast<std::size_t>(one.node);
            calls[i].is_watched = false;
            balancers[node]->call_stalled(one.engine);
            if (!budgets[node].try_spend())
                continue;
            balancer_request need;
            need.service = service_name("llm");
            balancers[node]->ended(
                one.engine, need, engine_outcome::abandoned,
                clock.now() - one.sent_at);
            calls[i] = calls.back();
            calls.pop_back();
            --i;
            ++left;
            send(one.node);
        }
    }

    /// \return calls sent to the given engines for the given time, as a
    /// multiple of their share
    double share_sent_to(std::vector<int> const& engines, duration length)
    {
        sent_to.clear();
        sent = 0;
        run_for(length);
        int there = 0;
        for (auto const one : engines)
            there += sent_to[one];
        return static_cast<double>(there) / sent * engine_count /
               static_cast<double>(engines.size());
    }

    void end_calls()
    {
        balancer_request need;
        need.service = service_name("llm");
        for (std::size_t i = 0; i < calls.size();)
        {
            auto const one = calls[i];
            if (one.ends_at > clock.now())
            {
                ++i;
                continue;
            }
            balancers[static_cast<std::size_t>(one.node)]->ended(
                one.engine, need,
                one.fails ? engine_outcome::closed_without_answer
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
        for (auto const& balancer : balancers)
        {
            for (auto const& [engine, count] : balancer->own_calls())
                loads[engine.str()] += count;
            for (auto const& [engine, seen] : balancer->own_outcomes())
            {
                outcomes[engine.str()].failed += seen.failed;
                outcomes[engine.str()].answered += seen.answered;
            }
        }
        for (auto const& balancer : balancers)
        {
            std::unordered_map<std::string, std::uint32_t> own;
            for (auto const& [engine, count] : balancer->own_calls())
                own[engine.str()] = count;
            balancer->set_peer_loads(
                [&](target_name const& engine)
                { return loads[engine.str()] - own[engine.str()]; });
            if (!exchanges_outcomes)
                continue;
            auto const ejected = balancer->set_cluster_outcomes(
                [&](target_name const& engine)
                { return outcomes[engine.str()]; });
            ejections += static_cast<int>(ejected.size());
        }
    }

    void run_for(duration length)
    {
        auto const from = clock.now();
        auto next_exchange = from;
        std::vector<time_point> next(node_count);
        for (int i = 0; i < node_count; ++i)
            next[static_cast<std::size_t>(i)] = from + milliseconds(i);
        while (clock.now() - from < length)
        {
            clock.advance(tick);
            end_calls();
            leave_silent_engines();
            for (int i = 0; i < node_count; ++i)
            {
                auto& at = next[static_cast<std::size_t>(i)];
                while (at <= clock.now())
                {
                    send(i);
                    at += call_interval;
                }
            }
            if (clock.now() >= next_exchange)
            {
                exchange();
                next_exchange = clock.now() + exchange_interval;
            }
        }
    }

    /// \return the fraction of the calls sent in 5 s that reached an engine
    /// that was down, with four engines of 44 down
    double fraction_sent_to_down()
    {
        run_for(seconds(2));
        down = true;
        sent = sent_to_down = 0;
        run_for(seconds(5));
        return static_cast<double>(sent_to_down) / sent;
    }
};

} // namespace

// A node that detects an engine that is down only by losing calls there sends
// 0.065 of all calls to such engines, with 0.091 of the engines down. With
// outcomes reported by other nodes the fraction is 0.021. The limit is a
// quarter of the fraction of engines that are down.
TEST_CASE_METHOD(
    fleet_fixture,
    "board: engines that went down get few calls from many nodes")
{
    auto const lost = fraction_sent_to_down();
    INFO(lost);
    CHECK(lost < 0.25 * down_engine_count / engine_count);
    CHECK(ejections > 0);
}

TEST_CASE_METHOD(
    fleet_fixture, "board: an engine that recovers soon gets its share again")
{
    fraction_sent_to_down();
    down = false;
    // The maximum ejection time and two exchanges.
    run_for(seconds(4));
    sent = 0;
    std::unordered_map<int, int> at;
    for (int i = 0; i < 40; ++i)
    {
        run_for(milliseconds(50));
        for (auto const& one : calls)
            ++at[index_of(one.engine)];
    }
    for (int i = 0; i < down_engine_count; ++i)
        CHECK(at[i] > 0);
}

TEST_CASE_METHOD(
    fleet_fixture,
    "board: engines that lose one answer in twenty are not ejected")
{
    lost_fraction = 0.05;
    run_for(seconds(10));
    CHECK(ejections == 0);
}

TEST_CASE_METHOD(
    fleet_fixture,
    "board: engines that fall silent for a second soon get their share again")
{
    // One engine, a failure domain, a third of all.
    auto const step = GENERATE(44, 4, 3);
    std::vector<int> engines;
    for (int i = 0; i < engine_count; i += step)
        engines.push_back(i);
    run_for(seconds(2));
    double share = 0;
    constexpr int rounds = 8;
    for (int round = 0; round < rounds; ++round)
    {
        fall_silent(engines);
        left = 0;
        sent = 0;
        run_for(seconds(1));
        INFO("of " << sent << " calls " << left << " went on elsewhere");
        CHECK(left * 4 < sent);
        // What remains of the ejection that the silence caused.
        run_for(milliseconds(400));
        share += share_sent_to(engines, milliseconds(1'600)) / rounds;
    }
    INFO("step " << step << ", share " << share);
    CHECK(share > 0.5);
}

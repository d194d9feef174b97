#ifndef WALNUTMILL_TEST_BALANCER_PLAY_HPP
#define WALNUTMILL_TEST_BALANCER_PLAY_HPP

/// \file
/// A seeded sequence of events at a load balancer, with all its decisions. Two
/// plays with the same seed have the same events, whatever is decided.

#include <walnutmill/engine_balancer.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace walnutmill
{
namespace testing
{

struct balancer_play
{
    unsigned seed = 1;
    int steps = 1'500;
    balancer_options options{};
    /// Changes the load that an engine reports; may be null.
    std::function<void(engine_load&)> change_load;
    /// Called after each exchange of loads; may be null.
    std::function<void(engine_balancer&)> after_exchange;

    /// \return the placements in order
    std::vector<engine_placement> run() const;
};

namespace detail
{

struct open_call
{
    engine_ref engine{target_name()};
    std::vector<prompt_part> prompt;
    balancer_request need;
};

inline std::vector<engine_entry> entries_of_play()
{
    constexpr int engines = 20;
    constexpr int model_engines = 16;
    constexpr int domains = 4;
    std::vector<engine_entry> entries;
    for (int i = 0; i < engines; ++i)
    {
        engine_entry one;
        one.id = target_name("e" + std::to_string(i));
        one.service = service_name(i < model_engines ? "llm" : "plain");
        one.address = "10.0.0.1:1";
        one.zone = zone_name("z" + std::to_string(i % domains));
        one.slots = 12;
        entries.push_back(one);
    }
    return entries;
}

inline void fill_request(open_call& one, random_fn const& random)
{
    one.need.service = service_name(random() < 0.8 ? "llm" : "plain");
    auto const shared = static_cast<int>(random() * 4);
    auto const own = static_cast<int>(random() * 60);
    auto const output = static_cast<std::uint32_t>(200 + random() * 100);
    if (one.need.service == service_name("plain"))
        return;
    one.prompt = {
        {"s" + std::to_string(shared), 12'600},
        {"c" + std::to_string(own), 1'500}};
    one.need.prompt = &one.prompt;
    one.need.prompt_tokens = 14'100;
    one.need.output_tokens = output;
    one.need.cache_tokens = 233'774;
}

} // namespace detail

inline std::vector<engine_placement> balancer_play::run() const
{
    using std::chrono::milliseconds;
    manual_clock clock;
    clock.advance(std::chrono::seconds(100));
    engine_balancer balancer(
        zone_name("z0"), clock.fn(), seeded_random(seed), options);
    auto const random = seeded_random(seed + 500);
    auto entries = detail::entries_of_play();
    balancer.set_engines(entries);
    auto const any_entry = [&]() -> engine_entry&
    {
        return entries[static_cast<std::size_t>(
            random() * static_cast<double>(entries.size()))];
    };
    std::vector<engine_placement> placements;
    std::list<detail::open_call> calls;
    for (int step = 0; step < steps; ++step)
    {
        clock.advance(milliseconds(1 + static_cast<int>(random() * 20)));
        auto const event = random();
        if (event < 0.45)
        {
            auto& call = calls.emplace_back();
            detail::fill_request(call, random);
            auto const chosen = balancer.choose(call.need);
            if (!chosen)
            {
                calls.pop_back();
                continue;
            }
            placements.push_back(*chosen);
            call.engine = chosen->ref();
            balancer.sent(call.engine, call.need);
        }
        else if (event < 0.85 && !calls.empty())
        {
            auto const& call = calls.front();
            engine_load load;
            load.running = static_cast<std::uint32_t>(random() * 14);
            load.waiting = static_cast<std::uint32_t>(random() * 3);
            load.slots = 12;
            if (change_load)
                change_load(load);
            balancer.report_load(call.engine, load);
            auto const fails = random() < 0.05;
            auto const took =
                milliseconds(150 + static_cast<int>(random() * 900));
            balancer.ended(
                call.engine, call.need,
                fails ? engine_outcome::failed : engine_outcome::answered,
                took);
            calls.pop_front();
        }
        else if (event < 0.95)
        {
            balancer.set_peer_loads(
                [step](target_name const& id)
                {
                    auto const engine = std::stoi(id.str().substr(1));
                    return static_cast<std::uint32_t>(engine * 7 + step) % 30;
                });
            if (after_exchange)
                after_exchange(balancer);
        }
        else if (event < 0.97)
        {
            ++any_entry().incarnation.started_at_ms;
            balancer.set_engines(entries);
        }
        else
        {
            auto const& entry = any_entry();
            balancer.call_stalled({entry.id, entry.incarnation});
        }
    }
    return placements;
}

} // namespace testing
} // namespace walnutmill

#endif

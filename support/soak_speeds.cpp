/// \file
/// Engines of different speed whose machines turn slow for some hundred
/// milliseconds, and tell so in `Server-Load`.

#include "soak_world.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;
using testing::standin_target;

/// Durations of the fast engine and of the others, in percent of those drawn:
/// three quarters of the engines take 2.2 times as long.
constexpr int fast_percent = 55;
constexpr int ordinary_percent = 120;
constexpr int usual_percent = 100;
constexpr int slow_percent = 250;
constexpr int least_slow_ms = 300;
constexpr int most_slow_ms = 900;
constexpr int least_gap_ms = 100;
constexpr int most_gap_ms = 500;
/// Part of the answers whose load is malformed or has further items.
constexpr double odd_load = 0.1;
constexpr int slots = 8;

} // namespace

void soak_world::add_machines()
{
    for (auto const* one : engines())
    {
        auto machine = std::make_shared<engine_machine>();
        machine->base_percent =
            one == &engine_a ? fast_percent : ordinary_percent;
        machines_[one->id()] = std::move(machine);
    }
}

std::vector<standin_target*> soak_world::engines()
{
    return {&engine_a, &engine_b, &engine_c_, &engine_d_};
}

/// \return the time that work of this duration takes on the engine now
milliseconds
soak_world::time_at(standin_target const& engine, milliseconds usual) const
{
    if (options_.basic_faults)
        return usual;
    auto const& machine = *machines_.at(engine.id());
    return usual * machine.base_percent * machine.percent.load() /
           (usual_percent * usual_percent);
}

/// Counts a call at the engine until the result is destroyed.
std::shared_ptr<void> soak_world::begin_call(standin_target const& engine)
{
    auto const machine = machines_.at(engine.id());
    ++machine->running;
    // The call may outlast this object.
    return {nullptr, [machine](void*) { --machine->running; }};
}

/// \return the header that tells the engine's load and how long work takes on
/// its machine, or none with basic faults
std::string soak_world::load_header(standin_target const& engine)
{
    if (options_.basic_faults)
        return {};
    auto const& machine = *machines_.at(engine.id());
    auto const running = machine.running.load();
    auto items = std::to_string(std::min(running, slots)) + "," +
                 std::to_string(std::max(running - slots, 0)) + "," +
                 std::to_string(slots);
    std::vector<std::string> const odd_items{"",   ",",    ",0",    ",10001",
                                             ",x", ",1e3", ",-250", ",100,7,x"};
    if (speed_dice_.chance(odd_load))
    {
        items += odd_items[static_cast<std::size_t>(
            speed_dice_.between(0, static_cast<int>(odd_items.size()) - 1))];
    }
    else
        items += "," + std::to_string(machine.percent.load());
    return "Server-Load: " + items + "\r\n";
}

/// Slows machines down, one or several at a time, until the faults end.
void soak_world::play_slow_machines()
{
    while (faults_)
    {
        std::this_thread::sleep_for(
            milliseconds(speed_dice_.between(least_gap_ms, most_gap_ms)));
        auto chosen = engines();
        auto const count_chosen = static_cast<std::size_t>(
            speed_dice_.between(1, static_cast<int>(chosen.size()) - 1));
        auto const first = speed_dice_.between(0, 3);
        std::rotate(chosen.begin(), chosen.begin() + first, chosen.end());
        chosen.resize(count_chosen);
        count("fault: machines slow");
        for (auto const* one : chosen)
            machines_.at(one->id())->percent = slow_percent;
        std::this_thread::sleep_for(
            milliseconds(speed_dice_.between(least_slow_ms, most_slow_ms)));
        for (auto const* one : chosen)
            machines_.at(one->id())->percent = usual_percent;
    }
}

} // namespace soak
} // namespace walnutmill

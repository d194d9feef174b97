/// \file
/// The faults of a soak. Two threads draw them, so that faults of different
/// nodes, of the store and of the targets overlap; a third one changes the
/// configuration meanwhile.

#include "soak_world.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <utility>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;

/// Between two faults, and how long one lasts.
constexpr milliseconds least_pause{50};
constexpr milliseconds most_pause{500};
constexpr milliseconds least_fault{200};
/// Longer than the store counts as lost and than a silent engine is borne.
constexpr milliseconds most_fault{2'000};
/// Between signals that come in series.
constexpr milliseconds signal_pause{20};
/// Index of the idempotent route in the configuration.
constexpr std::size_t safe_route = 2;
/// Between signals to one node and to the next.
constexpr int least_series_pause_ms = 20;
constexpr int most_series_pause_ms = 300;
/// Between two series.
constexpr int least_series_gap_ms = 300;
constexpr int most_series_gap_ms = 2'000;
/// Of planned stops in series, those of all nodes and those that come twice.
constexpr double all_nodes = 0.2;
constexpr double twice = 0.3;
/// From a planned stop on, until the node is at the end of its grace.
constexpr milliseconds usual_stop{7'200};
/// Between two changes of the configuration.
constexpr int least_change_pause_ms = 20;
constexpr int most_change_pause_ms = 400;

} // namespace

void soak_world::play_faults()
{
    auto const end = std::chrono::steady_clock::now() +
                     std::chrono::seconds(options_.seconds);
    auto const draw_until_end = [this, end]
    {
        while (std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(milliseconds(dice_.between(
                static_cast<int>(least_pause.count()),
                static_cast<int>(most_pause.count()))));
            draw_fault();
        }
    };
    std::thread changes([this] { change_configuration(); });
    std::vector<std::thread> others;
    if (!options_.basic_faults)
    {
        others.emplace_back([this] { play_pauses(); });
        others.emplace_back([this] { play_signals(); });
        others.emplace_back([this] { play_slow_machines(); });
    }
    if (options_.losses)
        others.emplace_back([this] { play_losses(); });
    std::thread second(draw_until_end);
    draw_until_end();
    second.join();
    faults_ = false;
    changes.join();
    for (auto& one : others)
        one.join();
    store.set_down(false);
    store.lose_answers(0);
}

std::string soak_world::added_path(int change)
{
    return "/added-" + std::to_string(change) + "/";
}

nlohmann::json soak_world::configuration_with_idle_routes() const
{
    auto document = base_configuration();
    auto idle = document["routes"][safe_route];
    for (int i = 0; i < options_.idle_routes; ++i)
    {
        auto const name = "idle-" + std::to_string(i);
        idle["name"] = name;
        idle["prefix"] = "/" + name + "/";
        document["routes"].push_back(idle);
    }
    return document;
}

void soak_world::change_configuration()
{
    auto const unchanged = configuration_with_idle_routes();
    while (faults_)
    {
        auto document = unchanged;
        if (!options_.basic_faults)
            vary(document);
        put_configuration(std::move(document));
        count("configuration changed");
        std::this_thread::sleep_for(milliseconds(
            dice_.between(least_change_pause_ms, most_change_pause_ms)));
    }
    if (!options_.basic_faults)
        put_configuration(unchanged);
}

/// Writes the document as the next version, with a route of its own.
void soak_world::put_configuration(nlohmann::json document)
{
    document["version"] = document["version"].get<int>() + 2 * ++changes_;
    auto added = document["routes"][safe_route];
    added["name"] = "added";
    added["prefix"] = added_path(changes_);
    document["routes"].push_back(std::move(added));
    if (!options_.basic_faults)
        add_workspaces(document);
    idle_timeout_ms_ = document["limits"]["idle_timeout_ms"].get<int>();
    store.put("op", "config", document);
}

void soak_world::draw_fault()
{
    auto& node = *processes_[static_cast<std::size_t>(
        dice_.between(0, options_.nodes - 1))];
    constexpr int node_faults = 4;
    constexpr int last_fault = 8;
    auto const kind = dice_.between(0, last_fault);
    if (kind < node_faults)
    {
        // The other thread may have a fault on the same node.
        std::unique_lock<std::mutex> const alone(node.mutex, std::try_to_lock);
        if (alone.owns_lock())
            disturb_node(node, kind);
        return;
    }
    switch (kind)
    {
    case node_faults:
        return store_away();
    case node_faults + 1:
        return store_loses_answers();
    case node_faults + 2:
        return target_leaves();
    default:
        return engine_released();
    }
}

void soak_world::disturb_node(soak_node& one, int kind)
{
    auto const fault = node_fault_began();
    switch (kind)
    {
    case 0:
        kill_node(one);
        break;
    case 1:
        freeze_node(one);
        break;
    case 2:
        reload_node(one);
        break;
    default:
        stop_node(one);
    }
    node_fault_ended(fault);
}

/// Starts a node that has ended, and not while all nodes are lost.
void soak_world::start_node(soak_node& one)
{
    std::lock_guard<std::mutex> const power(power_mutex_);
    // A node that is killed soon may not write its own line.
    testing::recorded_line line;
    line.node = one.name;
    line.time_ms = now_ms();
    line.event = "node.start";
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        history_.lines.push_back(std::move(line));
    }
    one.process->start();
}

void soak_world::kill_node(soak_node& one)
{
    count("fault: node killed");
    auto const trouble = trouble_began(one);
    one.process->signal(SIGKILL);
    one.process->wait();
    std::this_thread::sleep_for(least_fault);
    start_node(one);
    trouble_ended(trouble);
}

void soak_world::freeze_node(soak_node& one)
{
    count("fault: node frozen");
    auto const trouble = trouble_began(one);
    one.process->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(dice_.between(
        static_cast<int>(least_fault.count()),
        static_cast<int>(most_fault.count()))));
    one.process->signal(SIGCONT);
    trouble_ended(trouble);
}

void soak_world::reload_node(soak_node& one)
{
    count("fault: node reloaded in series");
    constexpr int times = 5;
    for (int i = 0; i < times; ++i)
    {
        one.process->signal(SIGHUP);
        std::this_thread::sleep_for(signal_pause);
    }
}

/// A planned stop, with a reload and a second stop while it is under way.
void soak_world::stop_node(soak_node& one)
{
    count("fault: node stopped as planned");
    auto const began = now_ms();
    for (auto const number : {SIGTERM, SIGHUP, SIGTERM})
    {
        one.process->signal(number);
        std::this_thread::sleep_for(signal_pause);
    }
    await_stop(one, began);
    start_node(one);
}

/// \param began_ms when the node was told to stop
void soak_world::await_stop(soak_node& one, std::int64_t began_ms)
{
    auto const code = one.process->wait();
    if (code != 0)
    {
        count(
            "planned stop that did not end well, code " + std::to_string(code));
    }
    auto const late = began_ms + usual_stop.count();
    if (now_ms() < late)
        return;
    count("planned stop that took all of its grace, " + one.name);
    add_trouble(one, late, now_ms());
}

void soak_world::play_signals()
{
    while (faults_)
    {
        std::this_thread::sleep_for(milliseconds(
            signal_dice_.between(least_series_gap_ms, most_series_gap_ms)));
        if (signal_dice_.chance(0.5))
            stop_in_series();
        else
            reload_in_series();
    }
}

/// Planned stops of several nodes that overlap.
void soak_world::stop_in_series()
{
    count("fault: nodes stopped in series");
    auto const most = signal_dice_.chance(all_nodes)
                          ? options_.nodes
                          : std::max(1, options_.nodes / 2);
    auto const nodes = signal_dice_.between(1, most);
    auto const first = signal_dice_.between(0, options_.nodes - 1);
    auto const times = signal_dice_.chance(twice) ? 2 : 1;
    std::vector<std::thread> stops;
    for (int i = 0; i < nodes; ++i)
    {
        auto& one =
            *processes_[static_cast<std::size_t>((first + i) % options_.nodes)];
        stops.emplace_back(
            [this, &one, times]
            {
                std::unique_lock<std::mutex> const alone(
                    one.mutex, std::try_to_lock);
                for (int time = 0; time < times && alone.owns_lock(); ++time)
                {
                    auto const fault = node_fault_began();
                    stop_node(one);
                    node_fault_ended(fault);
                }
            });
        std::this_thread::sleep_for(milliseconds(
            signal_dice_.between(least_series_pause_ms, most_series_pause_ms)));
    }
    for (auto& one : stops)
        one.join();
}

void soak_world::reload_in_series()
{
    count("fault: nodes reloaded in series");
    for (auto const& one : processes_)
    {
        std::unique_lock<std::mutex> const alone(one->mutex, std::try_to_lock);
        if (alone.owns_lock())
            reload_node(*one);
    }
}

/// Stops all nodes as planned, under the callers that are left.
void soak_world::end_nodes()
{
    std::vector<std::thread> stops;
    for (auto const& one : processes_)
    {
        one->process->signal(SIGTERM);
        stops.emplace_back([this, &one, began = now_ms()]
                           { await_stop(*one, began); });
        std::this_thread::sleep_for(milliseconds(
            signal_dice_.between(least_series_pause_ms, most_series_pause_ms)));
    }
    for (auto& one : stops)
        one.join();
}

void soak_world::store_away()
{
    count("fault: store away");
    store.set_down(true);
    std::this_thread::sleep_for(milliseconds(dice_.between(
        static_cast<int>(least_fault.count()),
        static_cast<int>(most_fault.count()))));
    store.set_down(false);
}

void soak_world::store_loses_answers()
{
    count("fault: store loses answers");
    constexpr unsigned every = 3;
    store.lose_answers(every);
    std::this_thread::sleep_for(most_fault / 2);
    store.lose_answers(0);
}

void soak_world::target_leaves()
{
    count("fault: engine leaves");
    std::string id;
    std::string version;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        id = registrations_[engine_c_.id()].id;
        version = version_of_id_[id];
    }
    store.remove("servers", id);
    std::this_thread::sleep_for(most_fault / 2);
    register_version(engine_c_, version);
}

/// An engine is replaced by one whose software has another version, or an
/// earlier one again.
void soak_world::engine_released()
{
    count("fault: engine released");
    testing::standin_target* const engines[] = {
        &engine_a, &engine_b, &engine_c_, &engine_d_};
    constexpr int last_engine = 3;
    constexpr int last_version = 2;
    auto const* const one = engines[dice_.between(0, last_engine)];
    register_version(
        *one, "1." + std::to_string(dice_.between(0, last_version)));
}

} // namespace soak
} // namespace walnutmill

#include "view_cluster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace testing
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds one_way{1};
constexpr milliseconds change_interval{50};
constexpr milliseconds check_interval{20};
constexpr milliseconds read_timeout{900};
/// Time until the store's client repeats a read once or twice that was not
/// answered.
constexpr milliseconds first_retry_after{110};
constexpr milliseconds second_retry_after{375};
/// Time for which a node still answers once its row is removed.
constexpr seconds drain_time{4};
constexpr milliseconds start_time{300};
constexpr std::size_t strong_nodes = 2;

json configuration_of(std::uint64_t number)
{
    return {
        {"version", number},
        {"routes", json::array()},
        {"services", json::array()}};
}

/// An engine whose number of slots is the number of the change.
json engine_of(std::uint64_t number)
{
    return {{"service", "llm"}, {"addr", "10.0.0.9:80"},
            {"zone", "z1"},     {"slots", number},
            {"state", "ready"}, {"born", 1'700'000'000'000}};
}

} // namespace

view_cluster::view_cluster(view_cluster_options options)
    : options_(options),
      random_(seeded_random(static_cast<std::uint32_t>(options.seed)))
{
    clock_.advance(seconds(1'000));
    nodes_.resize(options_.nodes);
    change_rows();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i].name = "node-" + std::to_string(i);
        nodes_[i].strength = i < strong_nodes ? 0.5 : 0.12;
        start(i);
    }
    check();
}

void view_cluster::run_for(duration span)
{
    auto const end = now() + span;
    while (!events_.empty() && events_.begin()->first <= end)
    {
        auto const first = events_.begin();
        clock_.advance(first->first - now());
        auto one = std::move(first->second);
        events_.erase(first);
        dispatch(std::move(one));
    }
    clock_.advance(end - now());
}

std::size_t view_cluster::random_node()
{
    return std::min(
        nodes_.size() - 1, static_cast<std::size_t>(
                               random_() * static_cast<double>(nodes_.size())));
}

duration view_cluster::random_between(duration least, duration most)
{
    return least +
           duration(static_cast<duration::rep>(
               random_() * static_cast<double>((most - least).count())));
}

void view_cluster::start(std::size_t index)
{
    auto& one = nodes_[index];
    ++one.incarnation;
    one.alive = true;
    disturb_until(index, now());
    auto const steady = [this, &one] { return now() - one.suspended_for; };
    one.log = std::make_unique<line_log>(
        one.name, steady, [](std::string_view bytes) { return bytes.size(); },
        log_limits());
    one.view = std::make_unique<platform_view>(
        store_of(index), steady, random_of(index), *one.log,
        entry_member{
            one.name, one.name, "z1",
            one.name + "." + std::to_string(one.incarnation), one.strength},
        options_.interval, hooks_of(index));
    one.view->start();
}

random_fn view_cluster::random_of(std::size_t index) const
{
    auto const seed =
        options_.seed * 1'000 + index * 100 + nodes_[index].incarnation;
    auto const random = seeded_random(static_cast<std::uint32_t>(seed));
    // Only the extreme values of the nodes' random delays.
    return [random] { return random() < 0.5 ? 0.0 : 0.999; };
}

platform_view::hooks view_cluster::hooks_of(std::size_t index)
{
    auto& one = nodes_[index];
    platform_view::hooks to;
    to.on_configuration = [&one](std::shared_ptr<routing_table const> const& is)
    { one.configuration = is->version; };
    to.on_engines = [&one](std::vector<engine_entry> const& engines)
    {
        if (!engines.empty())
            one.engines = engines.front().slots;
    };
    to.on_members = [](std::vector<entry_member> const&) {};
    to.schedule_after =
        [this, index](duration after, std::function<void()> what)
    { add_event(index, after, std::move(what), true); };
    to.ask = [this, index](
                 std::string const& address, std::string const& query,
                 platform_view::peer_answer_fn const& done)
    { ask(index, address, query, done); };
    to.boot_clock = [this] { return now(); };
    return to;
}

versioned_store view_cluster::store_of(std::size_t index)
{
    versioned_store to;
    to.read = [this, index](
                  row_range const& range, milliseconds,
                  std::function<void(range_result)> const& done)
    { read(index, range, done); };
    to.commit = [this, index](
                    row_transaction one, milliseconds,
                    std::function<void(transaction_result)> const& done)
    {
        rows_.calls().commit(
            std::move(one), milliseconds(0),
            [this, index, done](transaction_result const& result) {
                add_event(index, one_way * 2, [done, result] { done(result); });
            });
        rows_.run();
    };
    return to;
}

void view_cluster::read(
    std::size_t index, row_range const& range,
    std::function<void(range_result)> const& done)
{
    ++store_reads_;
    if (now() < nodes_[index].cut_off_until)
    {
        add_event(
            index, read_timeout, [done] { done({}); }, true);
        return;
    }
    auto const lost = [this] { return random_() < options_.lost_answers; };
    auto const retried_after = !lost()   ? milliseconds(0)
                               : !lost() ? first_retry_after
                                         : second_retry_after;
    auto const incarnation = nodes_[index].incarnation;
    auto const at_store = [this, index, incarnation, range, done]
    {
        rows_.calls().read(
            range, milliseconds(0),
            [this, index, incarnation, done](range_result const& result)
            {
                if (nodes_[index].incarnation == incarnation)
                    add_event(index, one_way, [done, result] { done(result); });
            });
        rows_.run();
    };
    add_event(nodes_.size(), one_way + retried_after, at_store);
}

void view_cluster::ask(
    std::size_t index, std::string const& address, std::string query,
    platform_view::peer_answer_fn done)
{
    auto const answered = std::make_shared<bool>(false);
    auto const finish = [answered, done = std::move(done)](
                            std::optional<std::string> const& answer)
    {
        if (!std::exchange(*answered, true))
            done(answer);
    };
    auto const found = std::find_if(
        nodes_.begin(), nodes_.end(),
        [&](node const& one) { return one.name == address; });
    auto const peer = static_cast<std::size_t>(found - nodes_.begin());
    reader_ = peer;
    add_event(
        index, platform_view::query_response_limit(options_.interval),
        [finish] { finish(std::nullopt); }, true);
    auto const incarnation = nodes_[index].incarnation;
    add_event(
        peer, one_way,
        [this, index, incarnation, peer, query = std::move(query), finish]
        {
            auto const answer = nodes_[peer].view->serve(query);
            if (nodes_[index].incarnation == incarnation)
                add_event(index, one_way, [finish, answer] { finish(answer); });
        });
}

void view_cluster::add_event(
    std::size_t index, duration after, std::function<void()> action,
    bool is_timer)
{
    event one;
    one.action = std::move(action);
    one.node = index;
    one.incarnation = index < nodes_.size() ? nodes_[index].incarnation : 0;
    one.is_timer = is_timer;
    events_.emplace(now() + after, std::move(one));
}

void view_cluster::dispatch(event one)
{
    if (one.node == nodes_.size())
    {
        one.action();
        return;
    }
    auto const& on = nodes_[one.node];
    if (!on.alive || on.incarnation != one.incarnation)
        return;
    if (now() < on.suspended_until)
    {
        events_.emplace(on.suspended_until, std::move(one));
        return;
    }
    if (on.lag.count() > 0 && !one.delayed)
    {
        one.delayed = true;
        events_.emplace(now() + on.lag, std::move(one));
        return;
    }
    one.action();
}

void view_cluster::disturb_until(std::size_t index, time_point until)
{
    auto& one = nodes_[index];
    one.disturbed_until =
        std::max(one.disturbed_until, until + options_.settling_time);
}

void view_cluster::stop_and_restart(std::size_t index)
{
    if (!nodes_[index].alive)
        return;
    disturb_until(index, now() + drain_time + start_time);
    nodes_[index].view->leave([] {});
    add_event(
        nodes_.size(), drain_time,
        [this, index] { kill_and_restart(index, start_time); });
}

void view_cluster::kill_and_restart(std::size_t index, duration down)
{
    auto& one = nodes_[index];
    if (!one.alive)
        return;
    disturb_until(index, now() + down);
    one.alive = false;
    ++one.incarnation;
    one.view.reset();
    one.lag = {};
    one.suspended_until = {};
    add_event(nodes_.size(), down, [this, index] { start(index); });
}

void view_cluster::suspend(std::size_t index, duration span)
{
    auto& one = nodes_[index];
    if (!one.alive || now() < one.suspended_until)
        return;
    disturb_until(index, now() + span);
    one.suspended_until = now() + span;
    one.suspended_for += span;
    // Timers of the steady clock are late by the time it missed.
    std::vector<std::pair<time_point, event>> timers;
    for (auto it = events_.begin(); it != events_.end();)
    {
        if (it->second.node == index && it->second.is_timer)
        {
            timers.emplace_back(it->first + span, std::move(it->second));
            it = events_.erase(it);
        }
        else
            ++it;
    }
    for (auto& [at, timer] : timers)
        events_.emplace(at, std::move(timer));
}

void view_cluster::slow_down(std::size_t index, duration lag, duration span)
{
    auto& one = nodes_[index];
    if (!one.alive)
        return;
    disturb_until(index, now() + span);
    one.lag = lag;
    add_event(nodes_.size(), span, [this, index] { nodes_[index].lag = {}; });
}

void view_cluster::cut_off_from_store(std::size_t index, duration span)
{
    disturb_until(index, now() + span);
    nodes_[index].cut_off_until = now() + span;
}

void view_cluster::disturb(std::size_t index)
{
    constexpr double kinds = 5;
    switch (static_cast<int>(random_() * kinds))
    {
    case 0:
        return stop_and_restart(index);
    case 1:
        return kill_and_restart(index, random_between(start_time, seconds(4)));
    case 2:
        return suspend(index, random_between(milliseconds(300), seconds(6)));
    case 3:
        return slow_down(
            index, random_between(milliseconds(50), milliseconds(850)),
            random_between(seconds(1), seconds(6)));
    default:
        return cut_off_from_store(
            index, random_between(seconds(1), seconds(6)));
    }
}

void view_cluster::put(
    std::string const& table, std::string const& key, std::string text)
{
    row_transaction one;
    one.writes.push_back({{table, "", key}, std::move(text)});
    rows_.calls().commit(
        std::move(one), milliseconds(0), [](transaction_result const&) {});
    rows_.run();
}

void view_cluster::change_rows()
{
    auto const number = changes_.empty() ? 1 : changes_.back().number + 1;
    put("op", "config", configuration_of(number).dump());
    put("servers", "e1", engine_of(number).dump());
    changes_.push_back({number, now()});
    add_event(nodes_.size(), change_interval, [this] { change_rows(); });
}

void view_cluster::check()
{
    // Older changes are in force everywhere but on disturbed nodes.
    constexpr std::size_t kept_changes = 1'000;
    while (changes_.size() > kept_changes)
        changes_.pop_front();
    for (auto const& one : nodes_)
    {
        if (!one.alive || now() < one.disturbed_until)
            continue;
        worst_configuration_ =
            std::max(worst_configuration_, staleness_of(one.configuration));
        worst_engines_ = std::max(worst_engines_, staleness_of(one.engines));
    }
    add_event(nodes_.size(), check_interval, [this] { check(); });
}

duration view_cluster::staleness_of(std::uint64_t known) const
{
    auto const missing = std::find_if(
        changes_.begin(), changes_.end(),
        [known](change const& each) { return each.number > known; });
    return missing == changes_.end() ? duration(0) : now() - missing->at;
}

} // namespace testing
} // namespace walnutmill

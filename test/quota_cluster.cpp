#include "quota_cluster.hpp"

#include <algorithm>
#include <cmath>

namespace walnutmill
{
namespace testing
{
namespace
{

constexpr std::chrono::microseconds min_network_delay{200};
constexpr double network_delay_spread_us = 900;
constexpr std::chrono::milliseconds tick_interval{200};
constexpr double strong_cores = 0.5;
constexpr double weak_cores = 0.12;

duration of_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

quota_cluster::quota_cluster(quota_cluster_options options)
    : options_(options), random_(seeded_random(options.seed))
{
    nodes_.resize(options_.nodes);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i].name = "n" + std::to_string(i);
        nodes_[i].strength =
            i < options_.strong_nodes ? strong_cores : weak_cores;
        create_node(i);
    }
    tick();
}

void quota_cluster::create_node(std::size_t index)
{
    auto& state = nodes_[index];
    auto const generation = ++state.generation;
    quota_exchange::hooks hooks;
    hooks.send = [this, index](std::string const& address, std::string bytes)
    { send(index, address, std::move(bytes)); };
    hooks.schedule_after =
        [this, index, generation](duration after, std::function<void()> action)
    {
        schedule_at(
            clock_.now() + after,
            [this, index, generation, action = std::move(action)]
            { run_on_node(index, generation, action); });
    };
    hooks.limit_of = [this](workspace_name const& owner)
    {
        auto const found = loads_.find(owner.str());
        quota_exchange::known_limit known{1, std::nullopt};
        if (found != loads_.end())
            known.limit = found->second->spec.limit;
        return known;
    };
    hooks.reachable_share = [this, index] { return reachable_share_of(index); };
    state.quotas = std::make_unique<quota_exchange>(
        clock_.fn(), state.name, state.strength, options_.bounds, hooks);
    state.quotas->set_reports_use(options_.reports_use);
    update_members(index);
}

void quota_cluster::update_members(std::size_t index)
{
    auto& state = nodes_[index];
    std::vector<coordinator_candidate> others;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto const is_strong = i < options_.strong_nodes;
        auto const name = "n" + std::to_string(i);
        if (i != index && state.unknown.count(i) == 0)
            others.push_back(
                {name, name, is_strong ? strong_cores : weak_cores});
    }
    state.quotas->set_nodes(std::move(others));
}

void quota_cluster::schedule_at(time_point when, std::function<void()> action)
{
    events_.emplace(when, std::move(action));
}

void quota_cluster::run_on_node(
    std::size_t index, std::uint64_t generation,
    std::function<void()> const& action)
{
    auto& state = nodes_[index];
    if (!state.alive || state.generation != generation)
        return;
    if (state.frozen)
        state.deferred.push_back(action);
    else
        action();
}

bool quota_cluster::is_separated(std::size_t a, std::size_t b) const
{
    return partitioned_.count(a) != partitioned_.count(b);
}

bool quota_cluster::serves(std::size_t index) const
{
    auto const& state = nodes_[index];
    auto const has_current_configuration =
        partitioned_.count(index) == 0 ||
        clock_.now() - partitioned_at_ <= options_.max_configuration_age;
    return state.alive && !state.frozen && has_current_configuration;
}

double quota_cluster::reachable_share_of(std::size_t index) const
{
    auto const detected =
        clock_.now() - partitioned_at_ > options_.detection_delay;
    std::size_t reachable = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto const is_running = nodes_[i].alive && !nodes_[i].frozen;
        if (is_running && (!detected || !is_separated(index, i)))
            ++reachable;
    }
    return static_cast<double>(reachable) / static_cast<double>(nodes_.size());
}

void quota_cluster::send(
    std::size_t from, std::string const& to, std::string bytes)
{
    auto const index = static_cast<std::size_t>(std::stoul(to.substr(1)));
    ++messages_;
    if (is_separated(from, index) || random_() < options_.loss)
        return;
    auto const delay = nodes_[index].added_delay + min_network_delay +
                       duration(static_cast<std::int64_t>(
                           random_() * network_delay_spread_us));
    schedule_at(
        clock_.now() + delay,
        [this, from, index, generation = nodes_[index].generation,
         bytes = std::move(bytes)]
        {
            run_on_node(
                index, generation,
                [this, from, index, bytes]
                {
                    nodes_[index].quotas->handle(
                        bytes, [this, from, index](std::string reply)
                        { send(index, nodes_[from].name, std::move(reply)); });
                });
        });
}

void quota_cluster::add_load(load spec)
{
    auto entry = std::make_unique<traffic>();
    entry->spec = std::move(spec);
    entry->reference_tokens = std::max(entry->spec.limit.burst, 1.0);
    entry->reference_refilled_at = clock_.now();
    auto& added = *(loads_[entry->spec.owner.str()] = std::move(entry));
    schedule_request(added);
}

void quota_cluster::set_limit(workspace_name const& owner, rate_limit limit)
{
    auto& entry = *loads_.at(owner.str());
    entry.spec.limit = limit;
    entry.limit_since = clock_.now();
    // A window is checked against a single limit, so counting restarts.
    entry.granted.clear();
}

void quota_cluster::schedule_request(traffic& entry)
{
    auto const pause = -std::log(1 - random_()) / entry.spec.demand;
    schedule_at(
        clock_.now() + of_seconds(pause),
        [this, &entry]
        {
            request(entry);
            schedule_request(entry);
        });
}

void quota_cluster::request(traffic& entry)
{
    auto const index = static_cast<std::size_t>(
        random_() * static_cast<double>(nodes_.size()));
    if (!serves(index))
        return;
    count_reference_grant(entry);
    nodes_[index].quotas->acquire(
        entry.spec.owner,
        [this, &entry](quota_answer const& answer, std::string const&)
        {
            record_use(entry, answer);
            if (answer.decision == quota_decision::granted)
                record_grant(entry);
            else if (answer.decision == quota_decision::over_limit)
                ++entry.result.over_limit;
            else
                ++entry.result.undecided;
        });
}

void quota_cluster::record_use(traffic& entry, quota_answer const& answer)
{
    if (answer.use)
    {
        entry.result.use_sum += *answer.use;
        ++entry.result.uses;
    }
    else if (answer.decision != quota_decision::undecided)
        ++entry.result.answers_without_use;
}

void quota_cluster::reset_uses(workspace_name const& owner)
{
    auto& result = loads_.at(owner.str())->result;
    result.answers_without_use = 0;
    result.use_sum = 0;
    result.uses = 0;
}

double quota_cluster::mean_use(workspace_name const& owner) const
{
    auto const& seen = result(owner);
    return static_cast<double>(seen.use_sum) / static_cast<double>(seen.uses);
}

void quota_cluster::record_grant(traffic& entry)
{
    ++entry.result.granted;
    auto const now = clock_.now();
    auto const& limit = entry.spec.limit;
    auto const& bounds = options_.bounds;
    entry.granted.push_back(now);
    while (now - entry.granted.front() >= bounds.window)
        entry.granted.pop_front();
    auto const seconds = std::chrono::duration<double>(bounds.window).count();
    entry.result.allowed_in_window =
        (limit.per_second * seconds + limit.burst) *
            (1 + bounds.excess_fraction) +
        bounds.slack;
    entry.result.max_in_window =
        std::max(entry.result.max_in_window, entry.granted.size());
}

void quota_cluster::count_reference_grant(traffic& entry)
{
    auto const now = clock_.now();
    auto const elapsed =
        std::chrono::duration<double>(now - entry.reference_refilled_at)
            .count();
    auto const& limit = entry.spec.limit;
    entry.reference_tokens = std::min(
        entry.reference_tokens + elapsed * limit.per_second,
        std::max(limit.burst, 1.0));
    entry.reference_refilled_at = now;
    if (entry.reference_tokens < 1)
        return;
    entry.reference_tokens -= 1;
    ++entry.result.granted_by_single_bucket;
}

void quota_cluster::tick()
{
    for (auto& state : nodes_)
    {
        if (state.alive && !state.frozen)
            state.quotas->tick();
    }
    schedule_at(clock_.now() + tick_interval, [this] { tick(); });
}

void quota_cluster::run_for(duration span)
{
    auto const end = clock_.now() + span;
    while (!events_.empty() && events_.begin()->first <= end)
    {
        auto const first = events_.begin();
        auto const action = std::move(first->second);
        if (first->first > clock_.now())
            clock_.advance(first->first - clock_.now());
        events_.erase(first);
        action();
    }
    clock_.advance(end - clock_.now());
}

std::size_t quota_cluster::coordinator_of(workspace_name const& owner) const
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].alive &&
            nodes_[i].quotas->is_preferred_coordinator_of(owner))
            return i;
    }
    return 0;
}

void quota_cluster::kill(std::size_t index)
{
    nodes_[index].alive = false;
    nodes_[index].deferred.clear();
}

void quota_cluster::start(std::size_t index)
{
    nodes_[index].alive = true;
    nodes_[index].frozen = false;
    create_node(index);
}

void quota_cluster::remove(std::size_t index)
{
    kill(index);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (i == index)
            continue;
        nodes_[i].unknown.insert(index);
        update_members(i);
    }
}

void quota_cluster::join(std::size_t index, duration spread)
{
    start(index);
    announce(index, spread);
}

void quota_cluster::announce(std::size_t index, duration spread)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        // The first nodes, which are the strong ones that coordinate, come
        // last.
        auto const part = static_cast<std::int64_t>(nodes_.size() - i);
        auto const delay =
            spread * part / static_cast<std::int64_t>(nodes_.size());
        schedule_at(
            clock_.now() + delay,
            [this, i, index]
            {
                nodes_[i].unknown.erase(index);
                update_members(i);
            });
    }
}

void quota_cluster::leave(std::size_t index, duration spread)
{
    nodes_[index].quotas->leave();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (i == index)
            continue;
        auto const part = static_cast<std::int64_t>(i + 1);
        schedule_at(
            clock_.now() +
                spread * part / static_cast<std::int64_t>(nodes_.size()),
            [this, i, index]
            {
                nodes_[i].unknown.insert(index);
                update_members(i);
            });
    }
}

void quota_cluster::slow_down(std::size_t index, duration delay)
{
    nodes_[index].added_delay = delay;
}

void quota_cluster::freeze(std::size_t index)
{
    nodes_[index].frozen = true;
}

void quota_cluster::resume(std::size_t index)
{
    nodes_[index].frozen = false;
    for (auto const& action : std::exchange(nodes_[index].deferred, {}))
        action();
}

void quota_cluster::partition(std::set<std::size_t> const& separated)
{
    partitioned_ = separated;
    partitioned_at_ = clock_.now();
}

void quota_cluster::heal()
{
    partitioned_.clear();
}

quota_cluster::outcome const&
quota_cluster::result(workspace_name const& owner) const
{
    return loads_.at(owner.str())->result;
}

} // namespace testing
} // namespace walnutmill

#include "quota_world.hpp"

#include <algorithm>
#include <cmath>

namespace walnutmill
{
namespace testing
{
namespace
{

constexpr std::chrono::microseconds shortest_way{200};
constexpr double way_spread_us = 900;
constexpr std::chrono::milliseconds tick_every{200};
constexpr double strong_cores = 0.5;
constexpr double weak_cores = 0.12;

duration of_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

quota_world::quota_world(quota_world_options options)
    : options_(options), random_(seeded_random(options.seed))
{
    nodes_.resize(options_.nodes);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i].name = "n" + std::to_string(i);
        nodes_[i].strength = i < options_.strong ? strong_cores : weak_cores;
        make(i);
    }
    tick();
}

void quota_world::make(std::size_t at)
{
    auto& one = nodes_[at];
    auto const life = ++one.life;
    quota_exchange::hooks to;
    to.send = [this, at](std::string const& address, std::string bytes)
    { send(at, address, std::move(bytes)); };
    to.later = [this, at, life](duration after, std::function<void()> what)
    {
        at_time(
            clock_.now() + after, [this, at, life, what = std::move(what)]
            { for_node(at, life, what); });
    };
    to.limit_of = [this](workspace_name const& owner)
    {
        auto const found = loads_.find(owner.str());
        quota_exchange::known_limit known{1, std::nullopt};
        if (found != loads_.end())
            known.limit = found->second->one.limit;
        return known;
    };
    to.reach = [this, at] { return reach_of(at); };
    one.quotas = std::make_unique<quota_exchange>(
        clock_.fn(), one.name, one.strength, options_.bounds, to);
    std::vector<home_candidate> others;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto const strong = i < options_.strong;
        auto const name = "n" + std::to_string(i);
        if (i != at)
            others.push_back({name, name, strong ? strong_cores : weak_cores});
    }
    one.quotas->set_nodes(std::move(others));
}

void quota_world::at_time(time_point when, std::function<void()> what)
{
    events_.emplace(when, std::move(what));
}

void quota_world::for_node(
    std::size_t at, std::uint64_t life, std::function<void()> const& what)
{
    auto& one = nodes_[at];
    if (!one.alive || one.life != life)
        return;
    if (one.frozen)
        one.waiting.push_back(what);
    else
        what();
}

bool quota_world::separated(std::size_t a, std::size_t b) const
{
    return cut_.count(a) != cut_.count(b);
}

bool quota_world::serves(std::size_t at) const
{
    auto const& one = nodes_[at];
    auto const trusts =
        cut_.count(at) == 0 || clock_.now() - cut_at_ <= options_.trusted;
    return one.alive && !one.frozen && trusts;
}

double quota_world::reach_of(std::size_t at) const
{
    auto const noticed = clock_.now() - cut_at_ > options_.notices_after;
    std::size_t heard = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto const there = nodes_[i].alive && !nodes_[i].frozen;
        if (there && (!noticed || !separated(at, i)))
            ++heard;
    }
    return static_cast<double>(heard) / static_cast<double>(nodes_.size());
}

void quota_world::send(
    std::size_t from, std::string const& to, std::string bytes)
{
    auto const at = static_cast<std::size_t>(std::stoul(to.substr(1)));
    ++messages_;
    if (separated(from, at) || random_() < options_.loss)
        return;
    auto const way =
        shortest_way +
        duration(static_cast<std::int64_t>(random_() * way_spread_us));
    at_time(
        clock_.now() + way,
        [this, from, at, life = nodes_[at].life, bytes = std::move(bytes)]
        {
            for_node(
                at, life,
                [this, from, at, bytes]
                {
                    nodes_[at].quotas->handle(
                        bytes, [this, from, at](std::string reply)
                        { send(at, nodes_[from].name, std::move(reply)); });
                });
        });
}

void quota_world::add_load(load one)
{
    auto of = std::make_unique<traffic>();
    of->one = std::move(one);
    of->central_tokens = std::max(of->one.limit.burst, 1.0);
    of->central_at = clock_.now();
    auto& placed = *(loads_[of->one.owner.str()] = std::move(of));
    schedule_request(placed);
}

void quota_world::set_limit(workspace_name const& owner, rate_limit limit)
{
    auto& of = *loads_.at(owner.str());
    of.one.limit = limit;
    of.limit_since = clock_.now();
    // Windows are judged by one limit: they begin anew.
    of.granted.clear();
}

void quota_world::schedule_request(traffic& of)
{
    auto const pause = -std::log(1 - random_()) / of.one.demand;
    at_time(
        clock_.now() + of_seconds(pause),
        [this, &of]
        {
            request(of);
            schedule_request(of);
        });
}

void quota_world::request(traffic& of)
{
    auto const at = static_cast<std::size_t>(
        random_() * static_cast<double>(nodes_.size()));
    if (!serves(at))
        return;
    count_centrally(of);
    nodes_[at].quotas->take(
        of.one.owner,
        [this, &of](quota_answer const& answer, std::string const&)
        {
            if (answer.decision == quota_decision::granted)
                note_granted(of);
            else if (answer.decision == quota_decision::over_limit)
                ++of.seen.over_limit;
            else
                ++of.seen.undecided;
        });
}

void quota_world::note_granted(traffic& of)
{
    ++of.seen.granted;
    auto const now = clock_.now();
    auto const& limit = of.one.limit;
    auto const& bounds = options_.bounds;
    of.granted.push_back(now);
    while (now - of.granted.front() >= bounds.window)
        of.granted.pop_front();
    auto const seconds = std::chrono::duration<double>(bounds.window).count();
    of.seen.allowed_in_window =
        (limit.per_second * seconds + limit.burst) * (1 + bounds.over) +
        bounds.slack;
    of.seen.most_in_window =
        std::max(of.seen.most_in_window, of.granted.size());
}

void quota_world::count_centrally(traffic& of)
{
    auto const now = clock_.now();
    auto const passed =
        std::chrono::duration<double>(now - of.central_at).count();
    auto const& limit = of.one.limit;
    of.central_tokens = std::min(
        of.central_tokens + passed * limit.per_second,
        std::max(limit.burst, 1.0));
    of.central_at = now;
    if (of.central_tokens < 1)
        return;
    of.central_tokens -= 1;
    ++of.seen.granted_centrally;
}

void quota_world::tick()
{
    for (auto& one : nodes_)
    {
        if (one.alive && !one.frozen)
            one.quotas->tick();
    }
    at_time(clock_.now() + tick_every, [this] { tick(); });
}

void quota_world::play(duration span)
{
    auto const end = clock_.now() + span;
    while (!events_.empty() && events_.begin()->first <= end)
    {
        auto const first = events_.begin();
        auto const what = std::move(first->second);
        if (first->first > clock_.now())
            clock_.advance(first->first - clock_.now());
        events_.erase(first);
        what();
    }
    clock_.advance(end - clock_.now());
}

std::size_t quota_world::coordinator_of(workspace_name const& owner) const
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        if (nodes_[i].quotas->is_first_for(owner))
            return i;
    }
    return 0;
}

void quota_world::kill(std::size_t at)
{
    nodes_[at].alive = false;
    nodes_[at].waiting.clear();
}

void quota_world::start(std::size_t at)
{
    nodes_[at].alive = true;
    nodes_[at].frozen = false;
    make(at);
}

void quota_world::freeze(std::size_t at)
{
    nodes_[at].frozen = true;
}

void quota_world::wake(std::size_t at)
{
    nodes_[at].frozen = false;
    for (auto const& what : std::exchange(nodes_[at].waiting, {}))
        what();
}

void quota_world::cut(std::set<std::size_t> const& some)
{
    cut_ = some;
    cut_at_ = clock_.now();
}

void quota_world::heal()
{
    cut_.clear();
}

quota_world::outcome const&
quota_world::result(workspace_name const& owner) const
{
    return loads_.at(owner.str())->seen;
}

} // namespace testing
} // namespace walnutmill

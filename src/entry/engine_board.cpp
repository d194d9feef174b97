#include <walnutmill/engine_board.hpp>

#include <walnutmill/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

/// Engines remembered for one part of a prompt: more copies of a part than
/// this need no memory, since a tie is broken by load anyway.
constexpr std::size_t places_a_part = 6;
/// Bounds of a learned speed, against one strange sample.
constexpr double fastest = 0.3;
constexpr double slowest = 12.0;
/// What other nodes said of their calls is used for this long.
constexpr std::chrono::milliseconds peer_load_lasts{1'000};
/// Random part of a cost in milliseconds, so that nodes that see the same
/// don't all choose the same.
constexpr double spread_ms = 4.0;

/// A part's engines are kept for each service: a route may lead to two.
std::string shared_key(placement_need const& need)
{
    return need.service.str() + "/" + need.prompt->front().id;
}

double ms_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

bool listed(std::vector<target_name> const& list, target_name const& one)
{
    return std::find(list.begin(), list.end(), one) != list.end();
}

} // namespace

engine_board::engine_board(
    zone_name own_domain, clock_fn clock, random_fn random,
    board_options options)
    : own_domain_(std::move(own_domain)), clock_(std::move(clock)),
      random_(std::move(random)), options_(options)
{
}

void engine_board::set_engines(std::vector<engine_entry> const& engines)
{
    std::unordered_map<target_name, engine_record> kept;
    by_service_.clear();
    for (auto const& entry : engines)
    {
        auto const found = engines_.find(entry.id);
        auto state = found == engines_.end() ? engine_record() : found->second;
        state.entry = entry;
        auto& group = by_service_[entry.service];
        (entry.zone == own_domain_ ? group.near : group.far)
            .push_back(entry.id);
        kept.emplace(entry.id, std::move(state));
    }
    auto const same =
        kept.size() == engines_.size() &&
        std::all_of(
            kept.begin(), kept.end(),
            [this](auto const& one) { return engines_.count(one.first) > 0; });
    if (!same)
        ++engines_version_;
    engines_ = std::move(kept);
}

bool engine_board::known(target_name const& engine) const
{
    return engines_.count(engine) > 0;
}

std::size_t engine_board::engines_of(service_name const& service) const
{
    auto const found = by_service_.find(service);
    return found == by_service_.end()
               ? 0
               : found->second.near.size() + found->second.far.size();
}

double engine_board::load_of(engine_record const& one, time_point now) const
{
    auto const own = static_cast<double>(one.own_calls);
    if (now - one.peers_told_at < peer_load_lasts)
        return own + one.peer_calls;
    auto const age = ms_of(now - one.told_at);
    auto const fresh = std::exp(-age / ms_of(options_.load_fades));
    return own + one.told_others * fresh + one.usual_others * (1 - fresh);
}

double engine_board::expected_ms(
    engine_record const& one, placement_need const& need, std::uint32_t cached,
    double load) const
{
    if (need.prompt_tokens == 0)
        return options_.plain_ms * one.speed;
    auto const slots = static_cast<double>(one.entry.slots);
    auto const batch = std::min(load + 1, slots);
    auto const unread = static_cast<double>(
        need.prompt_tokens - std::min(need.prompt_tokens, cached));
    auto const step = options_.step_ms + options_.step_ms_per_call * batch;
    return one.speed *
           (options_.first_ms + unread / options_.prefill_tokens_per_ms +
            static_cast<double>(need.output_tokens) * step);
}

double engine_board::wait_ms(
    engine_record const& one, double load, double call_ms) const
{
    auto const slots = static_cast<double>(std::max(one.entry.slots, 1U));
    return load < slots ? 0 : (load - slots + 1) / slots * call_ms;
}

double engine_board::cost_of(
    engine_record const& one, placement_need const& need, std::uint32_t cached,
    time_point now) const
{
    auto const load = load_of(one, now);
    auto const call_ms = expected_ms(one, need, cached, load);
    auto cost = call_ms + wait_ms(one, load, call_ms);
    if (need.prompt_tokens > 0)
    {
        // Each call beside it generates more slowly, and stands still while
        // its prompt is read.
        auto const unread = static_cast<double>(
            need.prompt_tokens - std::min(need.prompt_tokens, cached));
        cost += one.speed * load *
                (static_cast<double>(need.output_tokens) *
                     options_.step_ms_per_call +
                 unread / options_.prefill_tokens_per_ms);
    }
    else
    {
        // Slots left free are there for the next call, of whichever node.
        cost += options_.plain_ms * load /
                static_cast<double>(std::max(one.entry.slots, 1U));
    }
    if (one.entry.zone != own_domain_)
        cost += options_.other_domain_ms;
    return cost + one.failures * options_.failure_ms + random_() * spread_ms;
}

std::uint32_t engine_board::cached_tokens(
    target_name const& engine, placement_need const& need) const
{
    std::uint32_t tokens = 0;
    if (need.prompt == nullptr)
        return tokens;
    // A part counts only while all before it lie there too.
    for (auto const& part : *need.prompt)
    {
        auto const first = &part == &need.prompt->front();
        auto const found = parts_.find(part.id);
        auto const lies_there = first
                                    ? belongs(shared_key(need), engine)
                                    : found != parts_.end() &&
                                          listed(found->second.engines, engine);
        if (!lies_there)
            break;
        tokens += part.tokens;
    }
    return tokens;
}

bool engine_board::belongs(
    std::string const& part, target_name const& engine) const
{
    auto const found = shared_.find(part);
    return found != shared_.end() &&
           (listed(found->second.engines.near, engine) ||
            listed(found->second.engines.far, engine));
}

/// Keeps the share of a prompt's first part, and the order of its engines.
void engine_board::count_shared(placement_need const& need)
{
    if (need.prompt == nullptr || need.prompt->empty())
        return;
    auto const part = shared_key(need);
    auto const now = clock_();
    for (auto it = shared_.begin(); it != shared_.end();)
    {
        // Parts that no call asks for any more fade out.
        it->second.share *= 1 - options_.share_weight;
        constexpr double forgotten = 0.0005;
        if (it->second.share < forgotten && it->first != part)
            it = shared_.erase(it);
        else
            ++it;
    }
    auto& one = shared_[part];
    one.share += options_.share_weight;
    if (one.engines_version == engines_version_ &&
        now - one.ordered_at < options_.order_lasts)
        return;
    order_engines(one, part, need.service);
    one.ordered_at = now;
    one.engines_version = engines_version_;
}

void engine_board::order_engines(
    shared_part& one, std::string const& part,
    service_name const& service) const
{
    auto const found = by_service_.find(service);
    one.engines = {};
    if (found == by_service_.end())
        return;
    double all_shares = 0;
    for (auto const& [key, other] : shared_)
        all_shares += other.share;
    auto const share = one.share / std::max(all_shares, one.share);
    std::unordered_map<
        zone_name, std::vector<std::pair<std::uint64_t, target_name>>>
        by_domain;
    for (auto const* group : {&found->second.near, &found->second.far})
    {
        for (auto const& id : *group)
        {
            by_domain[engines_.at(id).entry.zone].emplace_back(
                rendezvous_weight(part, id.str()), id);
        }
    }
    for (auto& [domain, order] : by_domain)
    {
        std::sort(order.rbegin(), order.rend());
        auto const wanted = static_cast<std::size_t>(std::ceil(
            share * options_.share_margin * static_cast<double>(order.size())));
        auto& to = domain == own_domain_ ? one.engines.near : one.engines.far;
        for (std::size_t i = 0; i < std::min(wanted, order.size()); ++i)
            to.push_back(order[i].second);
    }
}

bool engine_board::usable(
    engine_record const& one, placement_need const& need, time_point now,
    bool even_resting) const
{
    return one.entry.state == engine_state::ready &&
           one.entry.service == need.service &&
           !listed(need.avoid, one.entry.id) &&
           (need.only.empty() || need.only == one.entry.id) &&
           (even_resting || one.rests_until <= now);
}

/// \return the engines to compare: those that have the call's line, and some
/// drawn at random from those that have its shared part and from all.
std::vector<target_name> engine_board::draw(
    engine_group const& all, placement_need const& need, time_point now)
{
    std::vector<target_name> drawn;
    auto const has_prompt = need.prompt != nullptr && !need.prompt->empty();
    if (!has_prompt)
    {
        draw_some(all.near, options_.near_candidates, need, now, drawn);
        draw_some(all.far, options_.far_candidates, need, now, drawn);
    }
    else
    {
        add_line(need, now, drawn);
        auto const& shared = shared_[shared_key(need)].engines;
        draw_some(shared.near, options_.near_candidates, need, now, drawn);
        draw_some(shared.far, options_.far_candidates, need, now, drawn);
        draw_some(all.near, 1, need, now, drawn);
    }
    if (!drawn.empty())
        return drawn;
    // Nearly all rest, are avoided or leave: look at each, then even at those
    // that rest.
    for (auto const even_resting : {false, true})
    {
        for (auto const* group : {&all.near, &all.far})
        {
            for (auto const& id : *group)
            {
                if (usable(engines_.at(id), need, now, even_resting))
                    drawn.push_back(id);
            }
        }
        if (!drawn.empty())
            break;
    }
    return drawn;
}

/// Adds up to so many usable engines drawn at random.
void engine_board::draw_some(
    std::vector<target_name> const& from, std::size_t most,
    placement_need const& need, time_point now, std::vector<target_name>& to)
{
    // Draws that hit an engine twice or an unusable one are made again, but
    // not for long.
    constexpr std::size_t draws_each = 4;
    std::size_t found = 0;
    for (std::size_t i = 0; i < most * draws_each && found < most; ++i)
    {
        if (from.empty() || found == from.size())
            return;
        auto const at = std::min(
            from.size() - 1, static_cast<std::size_t>(
                                 random_() * static_cast<double>(from.size())));
        if (listed(to, from[at]) ||
            !usable(engines_.at(from[at]), need, now, false))
            continue;
        to.push_back(from[at]);
        ++found;
    }
}

/// Adds the engines at which the call's last part was read.
void engine_board::add_line(
    placement_need const& need, time_point now,
    std::vector<target_name>& to) const
{
    auto const found = parts_.find(need.prompt->back().id);
    if (need.prompt->size() < 2 || found == parts_.end())
        return;
    for (auto const& id : found->second.engines)
    {
        auto const engine = engines_.find(id);
        if (engine != engines_.end() &&
            engine->second.entry.service == need.service &&
            usable(engine->second, need, now, false))
            to.push_back(id);
    }
}

std::optional<placement> engine_board::choose(placement_need const& need)
{
    auto const now = clock_();
    auto const service = by_service_.find(need.service);
    if (service == by_service_.end())
        return std::nullopt;
    count_shared(need);
    engine_record const* best = nullptr;
    double best_cost = 0;
    auto const consider = [&](target_name const& id)
    {
        auto const& one = engines_.at(id);
        auto const cost = cost_of(one, need, cached_tokens(id, need), now);
        if (best == nullptr || cost < best_cost)
        {
            best = &one;
            best_cost = cost;
        }
    };
    for (auto const& id : draw(service->second, need, now))
        consider(id);
    if (best == nullptr)
        return std::nullopt;
    placement to;
    to.engine = best->entry.id;
    to.address = best->entry.address;
    to.load = load_of(*best, now);
    to.slots = best->entry.slots;
    to.cost_ms = best_cost;
    to.cached_tokens = cached_tokens(best->entry.id, need);
    auto const call_ms = expected_ms(*best, need, to.cached_tokens, to.load);
    to.wait = std::chrono::milliseconds(
        static_cast<std::int64_t>(wait_ms(*best, to.load, call_ms)));
    if (best->told_at != time_point{})
    {
        to.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - best->told_at);
    }
    return to;
}

void engine_board::sent(target_name const& engine, placement_need const& need)
{
    auto const found = engines_.find(engine);
    if (found == engines_.end())
        return;
    ++found->second.own_calls;
    if (need.prompt == nullptr)
        return;
    for (auto const& part : *need.prompt)
        remember_part(part.id, engine);
}

void engine_board::remember_part(
    std::string const& key, target_name const& engine)
{
    auto const found = parts_.find(key);
    if (found == parts_.end())
    {
        auto const use = part_uses_.insert(part_uses_.end(), key);
        parts_.emplace(key, part_place{{engine}, use});
        if (parts_.size() > options_.remembered_parts)
        {
            parts_.erase(part_uses_.front());
            part_uses_.pop_front();
        }
        return;
    }
    auto& place = found->second;
    part_uses_.splice(part_uses_.end(), part_uses_, place.use);
    if (listed(place.engines, engine))
        return;
    if (place.engines.size() >= places_a_part)
        place.engines.erase(place.engines.begin());
    place.engines.push_back(engine);
}

void engine_board::rest(
    engine_record& one, duration first, time_point now) const
{
    if (one.rests_until > now)
        return;
    one.rest = one.rest.count() == 0
                   ? first
                   : std::min(one.rest * 2, options_.longest_rest);
    one.rests_until = now + one.rest;
}

void engine_board::ended(
    target_name const& engine, placement_need const& need,
    engine_outcome outcome, duration took)
{
    auto const found = engines_.find(engine);
    if (found == engines_.end())
        return;
    auto& one = found->second;
    auto const now = clock_();
    auto const load = load_of(one, now);
    one.own_calls -= std::min(one.own_calls, 1U);
    auto const weight = options_.failure_weight;
    switch (outcome)
    {
    case engine_outcome::answered:
    {
        one.rest = duration(0);
        one.failures *= 1 - weight / 2;
        auto const cached = cached_tokens(engine, need);
        auto const expected = expected_ms(one, need, cached, load) / one.speed;
        auto const ratio = std::clamp(ms_of(took) / expected, fastest, slowest);
        one.speed += (ratio - one.speed) * options_.speed_weight;
        break;
    }
    case engine_outcome::full:
        one.rests_until = std::max(one.rests_until, now + options_.full_rest);
        break;
    case engine_outcome::unreachable:
        rest(one, options_.first_rest, now);
        break;
    case engine_outcome::failed:
        one.failures += (1 - one.failures) * weight;
        break;
    case engine_outcome::abandoned:
        break;
    }
}

void engine_board::told_load(target_name const& engine, engine_load const& load)
{
    auto const found = engines_.find(engine);
    if (found == engines_.end())
        return;
    constexpr double usual_weight = 0.1;
    auto& one = found->second;
    auto const all = static_cast<double>(load.running + load.waiting);
    one.told_others = std::max(0.0, all - static_cast<double>(one.own_calls));
    one.usual_others += (one.told_others - one.usual_others) * usual_weight;
    one.told_at = clock_();
}

void engine_board::set_peer_loads(
    std::function<std::uint32_t(target_name const&)> const& calls_at)
{
    auto const now = clock_();
    pressures_.clear();
    pressures_at_ = now;
    for (auto& [id, one] : engines_)
    {
        one.peer_calls = calls_at(id);
        one.peers_told_at = now;
        if (one.entry.state != engine_state::ready)
            continue;
        auto& sum = pressures_[one.entry.service];
        sum.calls += one.peer_calls + static_cast<double>(one.own_calls);
        sum.slots += static_cast<double>(one.entry.slots);
    }
}

std::vector<std::pair<target_name, std::uint32_t>>
engine_board::own_calls() const
{
    std::vector<std::pair<target_name, std::uint32_t>> calls;
    for (auto const& [id, one] : engines_)
    {
        if (one.own_calls > 0)
            calls.emplace_back(id, one.own_calls);
    }
    return calls;
}

std::optional<double> engine_board::pressure(service_name const& service) const
{
    auto const found = pressures_.find(service);
    if (found == pressures_.end() || found->second.slots == 0 ||
        clock_() - pressures_at_ > peer_load_lasts)
        return std::nullopt;
    return found->second.calls / found->second.slots;
}

} // namespace walnutmill

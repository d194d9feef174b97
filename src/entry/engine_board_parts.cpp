/// \file
/// Where the parts of prompts lie, and which engines are compared for a call.

#include <walnutmill/engine_board.hpp>
#include <walnutmill/hash.hpp>

#include "entry/target_list.hpp"

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
/// After this an engine that started again has been sent each shared part that
/// belongs to it by some node: a part that is asked for less than once in two
/// seconds is not worth a place of its own.
constexpr std::chrono::seconds shared_read_again{2};
/// A part's engines are kept for each service: a route may lead to two.
std::uint32_t demand_key(std::string const& text)
{
    return static_cast<std::uint32_t>(stable_hash(text));
}

/// Recent calls of a service below which shares are not taken from them.
constexpr double least_demand = 20;
/// Recent calls for a prompt that are not worth telling.
constexpr double least_told_demand = 0.05;

std::string shared_key(placement_need const& need)
{
    return need.service.str() + "/" + need.prompt->front().id;
}

} // namespace

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
        auto const lies_there =
            first ? has_shared_part(part.id, shared_key(need), engine)
                        ? part.tokens
                        : 0
                  : held_tokens(part.id, engine);
        tokens += std::min(part.tokens, lies_there);
        if (lies_there < part.tokens)
            break;
    }
    return tokens;
}

/// A line's last part grows with each turn: an engine that read an earlier
/// turn has the beginning of it.
std::uint32_t engine_board::held_tokens(
    std::string const& part, target_name const& engine) const
{
    auto const found = parts_.find(part);
    auto const* held =
        found == parts_.end() ? nullptr : found->second.find(engine);
    return held == nullptr ? 0 : held->tokens;
}

engine_board::held_part const*
engine_board::part_place::find(target_name const& engine) const
{
    auto const found = std::find_if(
        at.begin(), at.end(),
        [&engine](held_part const& one) { return one.engine == engine; });
    return found == at.end() ? nullptr : &*found;
}

/// A shared part is taken to lie at the engines that it belongs to, as some
/// node's call has read it there, but not at one that started again just now,
/// unless this node's own call has read it since.
bool engine_board::has_shared_part(
    std::string const& part, std::string const& shared,
    target_name const& engine) const
{
    if (!belongs(shared, engine))
        return false;
    auto const& one = engines_.at(engine);
    if (one.restarted_at == time_point{} ||
        clock_() - one.restarted_at >= shared_read_again)
        return true;
    return held_tokens(part, engine) > 0;
}

void engine_board::forget_parts(target_name const& engine)
{
    for (auto& [id, place] : parts_)
    {
        auto& at = place.at;
        at.erase(
            std::remove_if(
                at.begin(), at.end(),
                [&engine](held_part const& one)
                { return one.engine == engine; }),
            at.end());
    }
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
    if (one.key == 0)
    {
        one.key = demand_key(part);
        one.service_key = demand_key(need.service.str());
    }
    one.recent = recent_calls(one, now) + 1;
    one.recent_at = now;
    if (one.engines_version == engines_version_ &&
        now - one.ordered_at < options_.order_lasts)
        return;
    order_engines(one, part, need);
    one.ordered_at = now;
    one.engines_version = engines_version_;
}

double engine_board::recent_calls(shared_part const& one, time_point now) const
{
    auto const halvings =
        std::chrono::duration<double>(now - one.recent_at).count() /
        std::chrono::duration<double>(options_.demand_halves).count();
    return one.recent * std::exp2(-halvings);
}

/// \return its share of its service's calls, of all nodes if they told.
double engine_board::share_of(shared_part const& one, time_point now) const
{
    auto const of_part = demand_.find(one.key);
    auto const of_service = demand_.find(one.service_key);
    auto const told = now - demand_at_ < options_.demand_lasts &&
                      of_part != demand_.end() && of_service != demand_.end() &&
                      of_service->second >= least_demand;
    if (told)
        return std::min(1.0, of_part->second / of_service->second);
    double all_shares = 0;
    for (auto const& [key, other] : shared_)
        all_shares += other.share;
    return one.share / std::max(all_shares, one.share);
}

void engine_board::set_all_demand(prompt_demand demand)
{
    demand_ = std::move(demand);
    demand_at_ = clock_();
}

std::vector<std::pair<std::uint32_t, double>> engine_board::own_demand() const
{
    auto const now = clock_();
    std::unordered_map<std::uint32_t, double> services;
    std::vector<std::pair<std::uint32_t, double>> to;
    for (auto const& [part, one] : shared_)
    {
        auto const calls = recent_calls(one, now);
        if (calls < least_told_demand)
            continue;
        to.emplace_back(one.key, calls);
        services[one.service_key] += calls;
    }
    to.insert(to.end(), services.begin(), services.end());
    return to;
}

void engine_board::order_engines(
    shared_part& one, std::string const& part, placement_need const& need) const
{
    auto const found = by_service_.find(need.service);
    one.engines = {};
    if (found == by_service_.end())
        return;
    auto const share = share_of(one, clock_());
    auto const margin = margin_of(need);
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
        auto const wanted = static_cast<std::size_t>(
            std::ceil(share * margin * static_cast<double>(order.size())));
        auto& to = domain == own_domain_ ? one.engines.near : one.engines.far;
        for (std::size_t i = 0; i < std::min(wanted, order.size()); ++i)
            to.push_back(order[i].second);
    }
}

double engine_board::margin_of(placement_need const& need) const
{
    auto const tokens =
        static_cast<double>(std::max(need.prompt->front().tokens, 1U));
    auto const cache = static_cast<double>(need.cache_tokens);
    return std::max(
        options_.share_margin, options_.shared_cache_part * cache / tokens);
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

/// Adds the engines at which the last part of the prompt that is known of was
/// read: the call's own or, for the first turn of a sub-agent, its parent's.
void engine_board::add_line(
    placement_need const& need, time_point now,
    std::vector<target_name>& to) const
{
    for (auto part = need.prompt->rbegin(); part + 1 < need.prompt->rend();
         ++part)
    {
        auto const found = parts_.find(part->id);
        if (found == parts_.end())
            continue;
        for (auto const& held : found->second.at)
        {
            auto const engine = engines_.find(held.engine);
            if (engine != engines_.end() &&
                engine->second.entry.service == need.service &&
                usable(engine->second, need, now, false))
                to.push_back(held.engine);
        }
        return;
    }
}

void engine_board::remember_part(
    prompt_part const& part, target_name const& engine)
{
    auto const found = parts_.find(part.id);
    if (found == parts_.end())
    {
        auto const use = part_uses_.insert(part_uses_.end(), part.id);
        parts_.emplace(part.id, part_place{{{engine, part.tokens}}, use});
        if (parts_.size() > options_.remembered_parts)
        {
            parts_.erase(part_uses_.front());
            part_uses_.pop_front();
        }
        return;
    }
    auto& place = found->second;
    part_uses_.splice(part_uses_.end(), part_uses_, place.use);
    auto& at = place.at;
    auto const before = std::find_if(
        at.begin(), at.end(),
        [&engine](held_part const& one) { return one.engine == engine; });
    if (before != at.end())
        at.erase(before);
    else if (at.size() >= places_a_part)
        at.erase(at.begin());
    at.push_back({engine, part.tokens});
}

} // namespace walnutmill

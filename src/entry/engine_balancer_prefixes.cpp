/// \file
/// Engine load balancer: prefix cache locations and the selection of candidate
/// engines.
///
/// Load pattern: many programs whose prompts share a first part, and
/// conversations that grow with each turn. Without the locations prompts would
/// be prefilled again on engine after engine.

#include <walnutmill/engine_balancer.hpp>
#include <walnutmill/hash.hpp>

#include "entry/target_list.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

/// Maximum number of locations stored for a prompt part. Further copies need no
/// entry, since load breaks a tie anyway.
constexpr std::size_t max_locations_per_part = 6;
/// Time after which a restarted engine has received each shared prefix assigned
/// to it from some node. A prefix requested less than once in two seconds does
/// not justify an assignment of its own.
constexpr std::chrono::seconds prefix_warmup_time{2};

/// Returns the key under which demand for a shared prefix or a service is
/// exchanged. Prefix keys include the service, because a route may lead to two
/// services.
std::uint32_t demand_key(std::string const& text)
{
    return static_cast<std::uint32_t>(stable_hash(text));
}

/// Minimum number of recent calls of a service for which shares are computed
/// from the reported demand.
constexpr double min_service_demand = 20;
/// Minimum number of recent calls for a prompt that is reported to other nodes.
constexpr double min_reported_demand = 0.05;

std::string shared_prefix_key(balancer_request const& need)
{
    return need.service.str() + "/" + need.prompt->front().id;
}

} // namespace

std::uint32_t engine_balancer::cached_tokens(
    target_name const& engine, balancer_request const& need) const
{
    std::uint32_t tokens = 0;
    if (need.prompt == nullptr)
        return tokens;
    // A part counts only if all preceding parts are cached there too.
    for (auto const& part : *need.prompt)
    {
        auto const first = &part == &need.prompt->front();
        auto const cached =
            first ? has_shared_prefix(part.id, shared_prefix_key(need), engine)
                        ? part.tokens
                        : 0
                  : cached_part_tokens(part.id, engine);
        tokens += std::min(part.tokens, cached);
        if (cached < part.tokens)
            break;
    }
    return tokens;
}

/// The last part of a conversation grows with each turn, so an engine that
/// processed an earlier turn has its beginning cached.
std::uint32_t engine_balancer::cached_part_tokens(
    std::string const& part, target_name const& engine) const
{
    auto const found = part_locations_.find(part);
    auto const* held =
        found == part_locations_.end() ? nullptr : found->second.find(engine);
    return held == nullptr ? 0 : held->tokens;
}

engine_balancer::cached_part const*
engine_balancer::part_locations::find(target_name const& engine) const
{
    auto const found = std::find_if(
        copies.begin(), copies.end(),
        [&engine](cached_part const& copy) { return copy.engine == engine; });
    return found == copies.end() ? nullptr : &*found;
}

/// A shared prefix is assumed to be cached at its assigned engines, since some
/// node's call has read it there. The exception is an engine that has just
/// restarted, unless this node's own call has read the prefix since.
bool engine_balancer::has_shared_prefix(
    std::string const& part, std::string const& shared,
    target_name const& engine) const
{
    if (!is_assigned(shared, engine))
        return false;
    auto const& record = engines_.at(engine);
    if (record.restarted_at == time_point{} ||
        clock_() - record.restarted_at >= prefix_warmup_time)
        return true;
    return cached_part_tokens(part, engine) > 0;
}

void engine_balancer::drop_cached_parts(target_name const& engine)
{
    for (auto& [id, locations] : part_locations_)
    {
        auto& copies = locations.copies;
        copies.erase(
            std::remove_if(
                copies.begin(), copies.end(),
                [&engine](cached_part const& copy)
                { return copy.engine == engine; }),
            copies.end());
    }
}

bool engine_balancer::is_assigned(
    std::string const& part, target_name const& engine) const
{
    auto const found = shared_prefixes_.find(part);
    return found != shared_prefixes_.end() &&
           (contains_target(found->second.engines.local, engine) ||
            contains_target(found->second.engines.remote, engine));
}

/// Updates the share of a prompt's shared prefix and the order of its engines.
void engine_balancer::count_shared_prefix(balancer_request const& need)
{
    if (need.prompt == nullptr || need.prompt->empty())
        return;
    auto const part = shared_prefix_key(need);
    auto const now = clock_();
    for (auto it = shared_prefixes_.begin(); it != shared_prefixes_.end();)
    {
        // The share of prefixes that are no longer requested decays.
        it->second.share *= 1 - options_.share_weight;
        constexpr double min_share = 0.0005;
        if (it->second.share < min_share && it->first != part)
            it = shared_prefixes_.erase(it);
        else
            ++it;
    }
    auto& prefix = shared_prefixes_[part];
    prefix.share += options_.share_weight;
    if (prefix.key == 0)
    {
        prefix.key = demand_key(part);
        prefix.service_key = demand_key(need.service.str());
    }
    prefix.recent_count = recent_calls(prefix, now) + 1;
    prefix.recent_at = now;
    if (prefix.engines_version == engines_version_ &&
        now - prefix.ordered_at < options_.order_max_age)
        return;
    order_engines(prefix, part, need);
    prefix.ordered_at = now;
    prefix.engines_version = engines_version_;
}

double
engine_balancer::recent_calls(shared_prefix const& prefix, time_point now) const
{
    auto const halvings =
        std::chrono::duration<double>(now - prefix.recent_at).count() /
        std::chrono::duration<double>(options_.demand_half_life).count();
    return prefix.recent_count * std::exp2(-halvings);
}

/// \return the prefix's share of its service's calls, from all nodes if their
/// demand is known
double
engine_balancer::share_of(shared_prefix const& prefix, time_point now) const
{
    auto const of_part = demand_.find(prefix.key);
    auto const of_service = demand_.find(prefix.service_key);
    auto const reported = now - demand_at_ < options_.demand_max_age &&
                          of_part != demand_.end() &&
                          of_service != demand_.end() &&
                          of_service->second >= min_service_demand;
    if (reported)
        return std::min(1.0, of_part->second / of_service->second);
    double all_shares = 0;
    for (auto const& [key, other] : shared_prefixes_)
        all_shares += other.share;
    return prefix.share / std::max(all_shares, prefix.share);
}

void engine_balancer::set_cluster_demand(prompt_demand demand)
{
    demand_ = std::move(demand);
    demand_at_ = clock_();
}

std::vector<std::pair<std::uint32_t, double>>
engine_balancer::own_demand() const
{
    auto const now = clock_();
    std::unordered_map<std::uint32_t, double> services;
    std::vector<std::pair<std::uint32_t, double>> to;
    for (auto const& [part, prefix] : shared_prefixes_)
    {
        auto const calls = recent_calls(prefix, now);
        if (calls < min_reported_demand)
            continue;
        to.emplace_back(prefix.key, calls);
        services[prefix.service_key] += calls;
    }
    to.insert(to.end(), services.begin(), services.end());
    return to;
}

void engine_balancer::order_engines(
    shared_prefix& prefix, std::string const& part,
    balancer_request const& need) const
{
    auto const found = by_service_.find(need.service);
    prefix.engines = {};
    if (found == by_service_.end())
        return;
    auto const share = share_of(prefix, clock_());
    auto const factor = replica_factor_of(need);
    std::unordered_map<
        zone_name, std::vector<std::pair<std::uint64_t, target_name>>>
        by_domain;
    for (auto const* group : {&found->second.local, &found->second.remote})
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
            std::ceil(share * factor * static_cast<double>(order.size())));
        auto& to = domain == own_domain_ ? prefix.engines.local
                                         : prefix.engines.remote;
        for (std::size_t i = 0; i < std::min(wanted, order.size()); ++i)
            to.push_back(order[i].second);
    }
}

double engine_balancer::replica_factor_of(balancer_request const& need) const
{
    auto const tokens =
        static_cast<double>(std::max(need.prompt->front().tokens, 1U));
    auto const cache = static_cast<double>(need.cache_tokens);
    return std::max(
        options_.min_replica_factor,
        options_.shared_cache_fraction * cache / tokens);
}

/// \return the candidate engines: those that hold the call's conversation, and
/// random samples of those assigned its shared prefix and of all engines
std::vector<target_name> engine_balancer::sample_candidates(
    engine_group const& all, balancer_request const& need, time_point now)
{
    std::vector<target_name> candidates;
    auto const has_prompt = need.prompt != nullptr && !need.prompt->empty();
    if (!has_prompt)
    {
        sample_engines(
            all.local, options_.local_candidates, need, now, candidates);
        sample_engines(
            all.remote, options_.remote_candidates, need, now, candidates);
    }
    else
    {
        add_conversation_engines(need, now, candidates);
        auto const& shared = shared_prefixes_[shared_prefix_key(need)].engines;
        sample_engines(
            shared.local, options_.local_candidates, need, now, candidates);
        sample_engines(
            shared.remote, options_.remote_candidates, need, now, candidates);
        sample_engines(all.local, 1, need, now, candidates);
    }
    if (!candidates.empty())
        return candidates;
    // No sampled engine is usable, since nearly all are ejected, excluded or
    // draining. Check every engine, and then the ejected ones too.
    for (auto const include_ejected : {false, true})
    {
        for (auto const* group : {&all.local, &all.remote})
        {
            for (auto const& id : *group)
            {
                if (usable(engines_.at(id), need, now, include_ejected))
                    candidates.push_back(id);
            }
        }
        if (!candidates.empty())
            break;
    }
    return candidates;
}

/// Adds up to \c most usable engines, sampled at random.
void engine_balancer::sample_engines(
    std::vector<target_name> const& from, std::size_t most,
    balancer_request const& need, time_point now, std::vector<target_name>& to)
{
    // A sample that repeats an engine or hits an unusable one is redrawn a
    // limited number of times.
    constexpr std::size_t draws_per_engine = 4;
    std::size_t found = 0;
    for (std::size_t i = 0; i < most * draws_per_engine && found < most; ++i)
    {
        if (from.empty() || found == from.size())
            return;
        auto const at = std::min(
            from.size() - 1, static_cast<std::size_t>(
                                 random_() * static_cast<double>(from.size())));
        if (contains_target(to, from[at]) ||
            !usable(engines_.at(from[at]), need, now, false))
            continue;
        to.push_back(from[at]);
        ++found;
    }
}

/// Adds the engines that processed the last known part of the prompt: the
/// call's own or, for the first turn of a sub-agent, its parent's.
void engine_balancer::add_conversation_engines(
    balancer_request const& need, time_point now,
    std::vector<target_name>& to) const
{
    for (auto part = need.prompt->rbegin(); part + 1 < need.prompt->rend();
         ++part)
    {
        auto const found = part_locations_.find(part->id);
        if (found == part_locations_.end())
            continue;
        for (auto const& held : found->second.copies)
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

void engine_balancer::record_cached_part(
    prompt_part const& part, target_name const& engine)
{
    auto const found = part_locations_.find(part.id);
    if (found == part_locations_.end())
    {
        auto const lru_entry = part_lru_.insert(part_lru_.end(), part.id);
        part_locations_.emplace(
            part.id, part_locations{{{engine, part.tokens}}, lru_entry});
        if (part_locations_.size() > options_.max_tracked_parts)
        {
            part_locations_.erase(part_lru_.front());
            part_lru_.pop_front();
        }
        return;
    }
    auto& locations = found->second;
    part_lru_.splice(part_lru_.end(), part_lru_, locations.lru_entry);
    auto& copies = locations.copies;
    auto const before = std::find_if(
        copies.begin(), copies.end(),
        [&engine](cached_part const& copy) { return copy.engine == engine; });
    if (before != copies.end())
        copies.erase(before);
    else if (copies.size() >= max_locations_per_part)
        copies.erase(copies.begin());
    copies.push_back({engine, part.tokens});
}

} // namespace walnutmill

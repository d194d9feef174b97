#include <walnutmill/placement.hpp>

#include "target_directory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{

namespace
{

bool contains(
    std::vector<pooled_target*> const& list, pooled_target const* target)
{
    return std::find(list.begin(), list.end(), target) != list.end();
}

std::uint32_t
cached_at(placement_request const& request, target_name const& target)
{
    std::uint32_t most = 0;
    for (auto const& location : request.cached)
        if (location.target == target)
            most = std::max(most, location.tokens);
    return most;
}

} // namespace

std::string_view to_string(placement_reason reason)
{
    switch (reason)
    {
    case placement_reason::affinity:
        return "affinity";
    case placement_reason::least_cost:
        return "least_cost";
    case placement_reason::probe:
        return "probe";
    case placement_reason::none_available:
        return "none_available";
    case placement_reason::all_full:
        return "all_full";
    case placement_reason::awaits_cache:
        return "awaits_cache";
    }
    return "none_available";
}

/// The parts of one placement, and the choice among the targets.
class placement::implementation
{
public:
    explicit implementation(placement_options const& given)
        : options_(given), targets_(options_)
    {
    }

    target_directory& targets() noexcept { return targets_; }

    placement_decision choose(
        placement_request const& request, time_point now,
        random_fn const& random) const;

private:
    using candidate_list = std::vector<pooled_target*>;

    static bool
    fits(pooled_target const& target, placement_request const& request);
    candidate_list candidates(
        target_pool const& pool, placement_request const& request,
        time_point now, random_fn const& random) const;
    void add_cached(
        candidate_list& chosen, target_pool const& pool,
        placement_request const& request) const;
    bool awaits_cache(
        target_pool const& pool, placement_request const& request) const;
    double cost_of(
        pooled_target const& target, target_pool const& pool,
        placement_request const& request) const;
    placement_decision cheapest(
        candidate_list const& candidates, target_pool const& pool,
        placement_request const& request) const;

    placement_options options_;
    target_directory targets_;
};

bool placement::implementation::fits(
    pooled_target const& target, placement_request const& request)
{
    auto const& avoid = request.avoid;
    return std::find(avoid.begin(), avoid.end(), target.state.view().name) ==
           avoid.end();
}

void placement::implementation::add_cached(
    candidate_list& chosen, target_pool const& pool,
    placement_request const& request) const
{
    for (auto const& location : request.cached)
    {
        auto* target = targets_.find(location.target);
        if (target && target->is_usable_in(pool) && fits(*target, request) &&
            targets_.takes_home_call(target->state) &&
            !contains(chosen, target))
            chosen.push_back(target);
    }
}

placement::implementation::candidate_list placement::implementation::candidates(
    target_pool const& pool, placement_request const& request, time_point now,
    random_fn const& random) const
{
    candidate_list chosen;
    add_cached(chosen, pool, request);
    auto const& open = pool.open();
    std::size_t cached = chosen.size();
    std::size_t wanted = cached + options_.fresh_candidates;
    for (std::uint32_t draw = 0; draw < options_.max_draws; ++draw)
    {
        if (chosen.size() >= std::min(wanted, open.size()))
            break;
        auto at = static_cast<std::size_t>(random() * open.size());
        auto* target = open[std::min(at, open.size() - 1)];
        if (draw == 0 && target->state.report_age(now) > options_.stale_after)
            wanted = cached + options_.stale_candidates;
        if (fits(*target, request) && !contains(chosen, target))
            chosen.push_back(target);
    }
    return chosen;
}

bool placement::implementation::awaits_cache(
    target_pool const& pool, placement_request const& request) const
{
    pooled_target const* home = nullptr;
    std::uint32_t most = 0;
    for (auto const& location : request.cached)
    {
        auto const* target = targets_.find(location.target);
        bool usable =
            target && target->is_usable_in(pool) && fits(*target, request);
        if (!usable || location.tokens <= most)
            continue;
        home = target;
        most = location.tokens;
    }
    if (!home || targets_.takes_home_call(home->state))
        return false;
    double waited = std::chrono::duration<double>(request.waited).count();
    double saved = most * options_.prefill_seconds;
    return waited < options_.affinity_patience * saved;
}

double placement::implementation::cost_of(
    pooled_target const& target, target_pool const& pool,
    placement_request const& request) const
{
    auto const& state = target.state;
    sent_call call;
    call.prompt_tokens = request.prompt_tokens;
    call.expected_tokens = request.expected_tokens;
    call.cached_tokens = cached_at(request, state.view().name);
    double slots = std::max(1u, state.view().slots);
    double load = targets_.load_of(state) + 1.0;
    double seconds = expected_seconds(options_, call, load / slots);
    double queued = std::max(0.0, load - slots) / slots;
    double prefill = prefill_seconds(options_, call);
    double cost =
        seconds * (1.0 + queued) + prefill * (options_.prefill_weight - 1.0);
    return cost * state.slowness() * std::exp(pool.median());
}

placement_decision placement::implementation::cheapest(
    candidate_list const& candidates, target_pool const& pool,
    placement_request const& request) const
{
    placement_decision decision;
    decision.considered = static_cast<std::uint32_t>(candidates.size());
    for (auto const* target : candidates)
    {
        double cost = cost_of(*target, pool, request);
        if (!decision.target.empty() && cost >= decision.expected_seconds)
            continue;
        decision.target = target->state.view().name;
        decision.expected_seconds = cost;
    }
    decision.reason = cached_at(request, decision.target) > 0
                          ? placement_reason::affinity
                          : placement_reason::least_cost;
    return decision;
}

placement_decision placement::implementation::choose(
    placement_request const& request, time_point now,
    random_fn const& random) const
{
    placement_decision decision;
    auto const* pool = targets_.pool_of(request.service);
    if (!pool || pool->available() == 0)
        return decision;
    auto const* probe = request.repeatable ? pool->due_probe(now) : nullptr;
    if (probe && targets_.has_room(probe->state) && fits(*probe, request))
    {
        decision.target = probe->state.view().name;
        decision.reason = placement_reason::probe;
        decision.expected_seconds = cost_of(*probe, *pool, request);
        decision.considered = 1;
        return decision;
    }
    if (awaits_cache(*pool, request))
    {
        decision.reason = placement_reason::awaits_cache;
        return decision;
    }
    auto drawn = candidates(*pool, request, now, random);
    if (!drawn.empty())
        return cheapest(drawn, *pool, request);
    decision.reason = placement_reason::all_full;
    return decision;
}

placement::placement(placement_options options)
    : impl_(std::make_unique<implementation>(options))
{
}

placement::~placement() = default;

void placement::set_pool(placement_pool pool)
{
    impl_->targets().set_pool(std::move(pool));
}

void placement::erase_pool(service_name const& service)
{
    impl_->targets().erase_pool(service);
}

void placement::on_report(target_view const& view, time_point now)
{
    impl_->targets().on_report(view, now);
}

void placement::set_peer_ratio(double others_per_own)
{
    impl_->targets().set_peer_ratio(others_per_own);
}

void placement::erase_target(target_name const& target)
{
    impl_->targets().erase_target(target);
}

placement_decision placement::choose(
    placement_request const& request, time_point now, random_fn const& random)
{
    return impl_->choose(request, now, random);
}

sent_ticket placement::on_sent(sent_call const& call, time_point now)
{
    return impl_->targets().on_sent(call, now);
}

void placement::on_first_token(sent_ticket ticket, time_point now)
{
    impl_->targets().on_first_token(ticket, now);
}

void placement::on_done(
    sent_ticket ticket, std::uint32_t tokens, time_point now)
{
    impl_->targets().on_done(ticket, tokens, now);
}

void placement::on_failed(sent_ticket ticket, time_point now)
{
    impl_->targets().on_failed(ticket, now);
}

void placement::on_canceled(sent_ticket ticket)
{
    impl_->targets().on_canceled(ticket);
}

target_health placement::health(target_name const& target) const
{
    auto const* found = impl_->targets().find(target);
    return found ? found->state.health() : target_health::healthy;
}

double placement::slowness(target_name const& target) const
{
    auto const* found = impl_->targets().find(target);
    return found ? found->state.slowness() : 1.0;
}

std::uint32_t placement::in_flight(target_name const& target) const
{
    auto const* found = impl_->targets().find(target);
    return found ? found->state.in_flight() : 0;
}

double placement::estimated_load(target_name const& target) const
{
    auto const* found = impl_->targets().find(target);
    return found ? impl_->targets().load_of(found->state) : 0.0;
}

} // namespace walnutmill

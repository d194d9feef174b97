#include <walnutmill/placement.hpp>

#include "target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{

namespace
{

// Fewer tokens than this tell little of a target's decoding speed.
constexpr std::uint32_t least_tokens = 8;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
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
    }
    return "none_available";
}

class placement::implementation
{
public:
    explicit implementation(placement_options options) : options_(options) {}

    void set_pool(placement_pool config);
    void erase_pool(service_name const& service);
    void on_report(target_view const& view, time_point now);
    void set_peer_ratio(double ratio);
    void erase_target(target_name const& name);
    placement_decision choose(
        placement_request const& request, time_point now,
        random_fn const& random) const;
    sent_ticket on_sent(sent_call const& call, time_point now);
    void on_first_token(sent_ticket ticket, time_point now);
    void on_done(sent_ticket ticket, std::uint32_t tokens, time_point now);
    void on_failed(sent_ticket ticket, time_point now);
    void on_canceled(sent_ticket ticket);
    target_state const* find(target_name const& name) const;
    double load_of(target_state const& target) const;

private:
    /// A call taken out of the books, and where it was.
    struct ended_flight
    {
        pooled_target* target = nullptr;
        flight call;
    };

    pooled_target& entry_of(target_name const& name);
    target_pool* pool_of(service_name const& service) const;
    void refresh(pooled_target& target) const;
    bool
    fits(pooled_target const& target, placement_request const& request) const;
    std::vector<pooled_target*> candidates(
        target_pool const& pool, placement_request const& request,
        time_point now, random_fn const& random) const;
    double cost_of(
        pooled_target const& target, target_pool const& pool,
        placement_request const& request) const;
    placement_decision cheapest(
        std::vector<pooled_target*> const& candidates, target_pool const& pool,
        placement_request const& request) const;
    ended_flight take(sent_ticket ticket);
    double
    log_ratio(flight const& call, std::uint32_t tokens, time_point now) const;
    void judge(pooled_target& target, time_point now);

    placement_options options_;
    double peer_ratio_ = 0.0;
    std::unordered_map<target_name, std::unique_ptr<pooled_target>> targets_;
    std::unordered_map<service_name, std::unique_ptr<target_pool>> pools_;
    std::unordered_map<sent_ticket, pooled_target*> flights_;
    sent_ticket last_ticket_ = 0;
};

pooled_target& placement::implementation::entry_of(target_name const& name)
{
    auto& entry = targets_[name];
    if (!entry)
        entry = std::make_unique<pooled_target>(options_);
    return *entry;
}

target_pool*
placement::implementation::pool_of(service_name const& service) const
{
    auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : found->second.get();
}

void placement::implementation::set_pool(placement_pool config)
{
    erase_pool(config.service);
    auto& pool = pools_[config.service];
    pool = std::make_unique<target_pool>(std::move(config));
    for (auto const& name : pool->config().targets)
    {
        auto& target = entry_of(name);
        target.places.emplace_back();
        target.places.back().pool = pool.get();
        refresh(target);
    }
}

void placement::implementation::erase_pool(service_name const& service)
{
    auto* pool = pool_of(service);
    if (!pool)
        return;
    for (auto const& name : pool->config().targets)
    {
        auto found = targets_.find(name);
        if (found == targets_.end())
            continue;
        auto& places = found->second->places;
        places.erase(
            std::remove_if(
                places.begin(), places.end(),
                [&](pool_place const& place) { return place.pool == pool; }),
            places.end());
    }
    pools_.erase(service);
}

void placement::implementation::erase_target(target_name const& name)
{
    auto found = targets_.find(name);
    if (found == targets_.end())
        return;
    auto& target = *found->second;
    for (auto& place : target.places)
        place.pool->leave(target, place);
    for (auto const& item : target.state.flights())
        flights_.erase(item.first);
    targets_.erase(found);
}

void placement::implementation::refresh(pooled_target& target) const
{
    for (auto& place : target.places)
        place.pool->refresh(target, place, peer_ratio_);
}

void placement::implementation::set_peer_ratio(double ratio)
{
    // Rooms follow with each target's next event.
    peer_ratio_ = std::max(0.0, ratio);
}

void placement::implementation::on_report(
    target_view const& view, time_point now)
{
    auto& target = entry_of(view.name);
    target.state.take_report(view, now);
    refresh(target);
    if (target.places.empty() ||
        target.state.health() == target_health::probation)
        return;
    double peers = std::exp(target.places.front().pool->median());
    double overdue = target.state.overdue(peers, now);
    if (overdue <= 0.0)
        return;
    target.state.take_sample(std::log(overdue));
    judge(target, now);
}

bool placement::implementation::fits(
    pooled_target const& target, placement_request const& request) const
{
    auto const& view = target.state.view();
    auto const& avoid = request.avoid;
    return std::find(avoid.begin(), avoid.end(), view.name) == avoid.end();
}

std::vector<pooled_target*> placement::implementation::candidates(
    target_pool const& pool, placement_request const& request, time_point now,
    random_fn const& random) const
{
    std::vector<pooled_target*> chosen;
    auto add = [&](pooled_target& target)
    {
        bool known =
            std::find(chosen.begin(), chosen.end(), &target) != chosen.end();
        if (!known && fits(target, request))
            chosen.push_back(&target);
    };
    for (auto const& location : request.cached)
    {
        auto found = targets_.find(location.target);
        if (found == targets_.end())
            continue;
        for (auto const& place : found->second->places)
            if (place.pool == &pool && place.open_at != pool_place::none)
                add(*found->second);
    }
    auto const& open = pool.open();
    std::size_t wanted = chosen.size() + options_.fresh_candidates;
    for (std::uint32_t draw = 0; draw < options_.max_draws; ++draw)
    {
        if (chosen.size() >= std::min(wanted, open.size()))
            break;
        auto at = static_cast<std::size_t>(random() * open.size());
        auto& target = *open[std::min(at, open.size() - 1)];
        if (draw == 0 && target.state.report_age(now) > options_.stale_after)
            wanted = chosen.size() + options_.stale_candidates;
        add(target);
    }
    return chosen;
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
    double load = load_of(state) / std::max(1u, state.view().slots);
    return expected_seconds(options_, call, load) * state.slowness() *
           std::exp(pool.median());
}

placement_decision placement::implementation::cheapest(
    std::vector<pooled_target*> const& candidates, target_pool const& pool,
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
    auto const* pool = pool_of(request.service);
    if (!pool || pool->available() == 0)
        return decision;
    auto* probe = request.repeatable ? pool->due_probe(now) : nullptr;
    if (probe && probe->state.has_room(peer_ratio_) && fits(*probe, request))
    {
        decision.target = probe->state.view().name;
        decision.reason = placement_reason::probe;
        decision.expected_seconds = cost_of(*probe, *pool, request);
        decision.considered = 1;
        return decision;
    }
    auto drawn = candidates(*pool, request, now, random);
    if (!drawn.empty())
        return cheapest(drawn, *pool, request);
    decision.reason = placement_reason::all_full;
    return decision;
}

sent_ticket
placement::implementation::on_sent(sent_call const& call, time_point now)
{
    auto& target = entry_of(call.target);
    flight item;
    item.call = call;
    item.sent = now;
    item.load = load_of(target.state) / std::max(1u, target.state.view().slots);
    item.probe = target.state.health() == target_health::probation;
    if (item.probe)
        target.state.start_probe(now);
    sent_ticket ticket = ++last_ticket_;
    target.state.add_flight(ticket, std::move(item));
    flights_.emplace(ticket, &target);
    refresh(target);
    return ticket;
}

void placement::implementation::on_first_token(
    sent_ticket ticket, time_point now)
{
    auto found = flights_.find(ticket);
    if (found == flights_.end())
        return;
    auto& call = found->second->state.flights().at(ticket);
    call.first_token = now;
    call.started = true;
}

placement::implementation::ended_flight
placement::implementation::take(sent_ticket ticket)
{
    ended_flight ended;
    auto found = flights_.find(ticket);
    if (found == flights_.end())
        return ended;
    ended.target = found->second;
    auto& flights = ended.target->state.flights();
    auto at = flights.find(ticket);
    ended.call = std::move(at->second);
    flights.erase(at);
    flights_.erase(found);
    refresh(*ended.target);
    return ended;
}

double placement::implementation::log_ratio(
    flight const& call, std::uint32_t tokens, time_point now) const
{
    sent_call done = call.call;
    done.expected_tokens = tokens;
    auto elapsed = now - call.sent;
    if (call.started && tokens >= least_tokens)
    {
        // Decoding alone: what a call waits before is not the target's speed.
        done.cached_tokens = done.prompt_tokens;
        elapsed = now - call.first_token;
    }
    double expected = expected_seconds(options_, done, call.load);
    double taken = std::max(seconds_of(elapsed), 1e-6);
    return std::log(taken / std::max(expected, 1e-6));
}

void placement::implementation::on_done(
    sent_ticket ticket, std::uint32_t tokens, time_point now)
{
    auto ended = take(ticket);
    if (!ended.target)
        return;
    auto& target = *ended.target;
    target.state.succeed();
    auto* pool = pool_of(ended.call.call.service);
    if (!pool)
        return;
    double ratio = log_ratio(ended.call, tokens, now);
    double against_peers = ratio - pool->median();
    if (target.state.health() == target_health::probation)
    {
        bool good = against_peers <= std::log(options_.recovered_ratio);
        if (ended.call.probe)
            target.state.end_probe(good, now);
        refresh(target);
        return;
    }
    pool->take_sample(ratio);
    target.state.take_sample(against_peers);
    judge(target, now);
}

void placement::implementation::on_failed(sent_ticket ticket, time_point now)
{
    auto ended = take(ticket);
    if (!ended.target)
        return;
    auto& target = *ended.target;
    target.state.fail();
    if (target.state.health() == target_health::healthy)
        judge(target, now);
    else if (ended.call.probe)
    {
        target.state.end_probe(false, now);
        refresh(target);
    }
}

void placement::implementation::on_canceled(sent_ticket ticket)
{
    take(ticket);
}

void placement::implementation::judge(pooled_target& target, time_point now)
{
    if (!target.state.is_outlier() && !target.state.failing())
        return;
    for (auto const& place : target.places)
        if (!place.pool->may_eject(options_.max_probation))
            return;
    target.state.enter_probation(now);
    refresh(target);
}

target_state const*
placement::implementation::find(target_name const& name) const
{
    auto found = targets_.find(name);
    return found == targets_.end() ? nullptr : &found->second->state;
}

double placement::implementation::load_of(target_state const& target) const
{
    return target.load(peer_ratio_);
}

placement::placement(placement_options options)
    : impl_(std::make_unique<implementation>(options))
{
}

placement::~placement() = default;

void placement::set_pool(placement_pool pool)
{
    impl_->set_pool(std::move(pool));
}

void placement::erase_pool(service_name const& service)
{
    impl_->erase_pool(service);
}

void placement::on_report(target_view const& view, time_point now)
{
    impl_->on_report(view, now);
}

void placement::set_peer_ratio(double others_per_own)
{
    impl_->set_peer_ratio(others_per_own);
}

void placement::erase_target(target_name const& target)
{
    impl_->erase_target(target);
}

placement_decision placement::choose(
    placement_request const& request, time_point now, random_fn const& random)
{
    return impl_->choose(request, now, random);
}

sent_ticket placement::on_sent(sent_call const& call, time_point now)
{
    return impl_->on_sent(call, now);
}

void placement::on_first_token(sent_ticket ticket, time_point now)
{
    impl_->on_first_token(ticket, now);
}

void placement::on_done(
    sent_ticket ticket, std::uint32_t tokens, time_point now)
{
    impl_->on_done(ticket, tokens, now);
}

void placement::on_failed(sent_ticket ticket, time_point now)
{
    impl_->on_failed(ticket, now);
}

void placement::on_canceled(sent_ticket ticket)
{
    impl_->on_canceled(ticket);
}

target_health placement::health(target_name const& target) const
{
    auto const* state = impl_->find(target);
    return state ? state->health() : target_health::healthy;
}

double placement::slowness(target_name const& target) const
{
    auto const* state = impl_->find(target);
    return state ? state->slowness() : 1.0;
}

std::uint32_t placement::in_flight(target_name const& target) const
{
    auto const* state = impl_->find(target);
    return state ? state->in_flight() : 0;
}

double placement::estimated_load(target_name const& target) const
{
    auto const* state = impl_->find(target);
    return state ? impl_->load_of(*state) : 0.0;
}

} // namespace walnutmill

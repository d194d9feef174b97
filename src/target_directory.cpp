#include "target_directory.hpp"

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

} // namespace

target_directory::target_directory(placement_options const& options)
    : options_(options)
{
}

pooled_target& target_directory::entry_of(target_name const& name)
{
    auto& entry = targets_[name];
    if (!entry)
        entry = std::make_unique<pooled_target>(options_);
    return *entry;
}

target_pool* target_directory::pool_of(service_name const& service) const
{
    auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : found->second.get();
}

void target_directory::set_pool(placement_pool config)
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

void target_directory::erase_pool(service_name const& service)
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

void target_directory::erase_target(target_name const& name)
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

void target_directory::refresh(pooled_target& target) const
{
    for (auto& place : target.places)
        place.pool->refresh(target, place, peer_ratio_);
}

void target_directory::set_peer_ratio(double ratio)
{
    // Rooms follow with each target's next event.
    peer_ratio_ = std::max(0.0, ratio);
}

void target_directory::on_report(target_view const& view, time_point now)
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

sent_ticket target_directory::on_sent(sent_call const& call, time_point now)
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

void target_directory::on_first_token(sent_ticket ticket, time_point now)
{
    auto found = flights_.find(ticket);
    if (found == flights_.end())
        return;
    auto& call = found->second->state.flights().at(ticket);
    call.first_token = now;
    call.started = true;
}

target_directory::ended_flight target_directory::take(sent_ticket ticket)
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

double target_directory::log_ratio(
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

void target_directory::on_done(
    sent_ticket ticket, std::uint32_t tokens, time_point now)
{
    auto ended = take(ticket);
    if (!ended.target)
        return;
    auto& target = *ended.target;
    target.state.succeed();
    auto* pool = pool_of(ended.call.call.service);
    if (!pool && !target.places.empty())
        pool = target.places.front().pool;
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

void target_directory::on_failed(sent_ticket ticket, time_point now)
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

void target_directory::on_canceled(sent_ticket ticket)
{
    take(ticket);
}

void target_directory::judge(pooled_target& target, time_point now) const
{
    if (!target.state.is_outlier() && !target.state.failing())
        return;
    for (auto const& place : target.places)
        if (!place.pool->may_eject(options_.max_probation))
            return;
    target.state.enter_probation(now);
    refresh(target);
}

pooled_target* target_directory::find(target_name const& name) const
{
    auto found = targets_.find(name);
    return found == targets_.end() ? nullptr : found->second.get();
}

bool target_directory::has_room(target_state const& target) const
{
    return target.has_room(peer_ratio_);
}

bool target_directory::takes_home_call(target_state const& target) const
{
    return target.takes_home_call(peer_ratio_);
}

double target_directory::load_of(target_state const& target) const
{
    return target.load(peer_ratio_);
}

} // namespace walnutmill

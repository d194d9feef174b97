#include <walnutmill/engine_board.hpp>

#include "entry/target_list.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

/// Bounds of a learned speed, against one strange sample.
constexpr double fastest = 0.3;
constexpr double slowest = 12.0;
/// What other nodes said of their calls is used for this long.
constexpr std::chrono::milliseconds peer_load_lasts{1'000};
/// Ends of calls that weigh less than this are not told other nodes: what is
/// left of one after a second.
constexpr double least_told = 0.05;
/// What nodes tell of an engine's calls may be of its former incarnation for
/// this long after it started again: until a failure has faded (1 s), the sum
/// has dropped a node's last word (1 s) and the sum is an exchange old.
constexpr std::chrono::milliseconds former_told{2'200};
/// Random part of a cost in milliseconds, so that nodes that see the same
/// don't all choose the same.
constexpr double spread_ms = 4.0;

double ms_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

duration part_of(duration whole, double part)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(whole.count()) * part));
}

} // namespace

engine_board::engine_board(
    zone_name own_domain, clock_fn clock, random_fn random,
    board_options options)
    : own_domain_(std::move(own_domain)), clock_(std::move(clock)),
      random_(std::move(random)), options_(options)
{
}

std::vector<target_name>
engine_board::set_engines(std::vector<engine_entry> const& engines)
{
    std::unordered_map<target_name, engine_record> kept;
    std::vector<target_name> restarted;
    by_service_.clear();
    for (auto const& entry : engines)
    {
        auto const found = engines_.find(entry.id);
        engine_record state;
        if (found != engines_.end() &&
            found->second.entry.incarnation == entry.incarnation)
            state = found->second;
        else if (found != engines_.end())
        {
            restarted.push_back(entry.id);
            forget_parts(entry.id);
            state.restarted_at = clock_();
        }
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
    return restarted;
}

engine_board::engine_record* engine_board::find(engine_ref const& engine)
{
    auto const found = engines_.find(engine.id);
    if (found == engines_.end())
        return nullptr;
    auto& one = found->second;
    auto const present =
        !engine.incarnation || *engine.incarnation == one.entry.incarnation;
    return present ? &one : nullptr;
}

bool engine_board::known(engine_ref const& engine) const
{
    auto const found = engines_.find(engine.id);
    return found != engines_.end() &&
           (!engine.incarnation ||
            *engine.incarnation == found->second.entry.incarnation);
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
        return options_.plain_ms * speed_of(one);
    auto const slots = static_cast<double>(one.entry.slots);
    auto const batch = std::min(load + 1, slots);
    auto const unread = static_cast<double>(
        need.prompt_tokens - std::min(need.prompt_tokens, cached));
    auto const step = options_.step_ms + options_.step_ms_per_call * batch;
    return speed_of(one) *
           (options_.first_ms + unread / options_.prefill_tokens_per_ms +
            static_cast<double>(need.output_tokens) * step);
}

double engine_board::wait_ms(
    engine_record const& one, double load, double call_ms) const
{
    auto const slots = static_cast<double>(std::max(one.entry.slots, 1U));
    return load < slots ? 0 : (load - slots + 1) / slots * call_ms;
}

double engine_board::first_bytes_ms(
    engine_record const& one, placement_need const& need,
    std::uint32_t cached) const
{
    // A plain answer comes whole.
    if (need.prompt_tokens == 0)
        return options_.plain_ms * speed_of(one);
    auto const unread = static_cast<double>(
        need.prompt_tokens - std::min(need.prompt_tokens, cached));
    return speed_of(one) *
           (options_.first_ms + unread / options_.prefill_tokens_per_ms);
}

double engine_board::failures_of(engine_record const& one, time_point now) const
{
    return one.failures *
           std::exp2(
               -ms_of(now - one.failures_at) / ms_of(options_.failures_halve));
}

void engine_board::add_failure(engine_record& one, time_point now) const
{
    auto const before = failures_of(one, now);
    one.failures = before + (1 - before) * options_.failure_weight;
    one.failures_at = now;
    count_outcome(one, true, now);
}

recent_outcomes
engine_board::outcomes_of(engine_record const& one, time_point now) const
{
    auto const fades = std::exp2(
        -ms_of(now - one.outcomes_at) / ms_of(options_.outcomes_halve));
    return {one.outcomes.failed * fades, one.outcomes.answered * fades};
}

void engine_board::count_outcome(
    engine_record& one, bool failed, time_point now) const
{
    one.outcomes = outcomes_of(one, now);
    one.outcomes_at = now;
    ++(failed ? one.outcomes.failed : one.outcomes.answered);
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
        cost += speed_of(one) * load *
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
    if (is_connected && !is_connected(one.entry.id))
        cost += options_.connect_ms;
    return cost + failures_of(one, now) * options_.failure_ms +
           random_() * spread_ms;
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
    to.incarnation = best->entry.incarnation;
    to.address = best->entry.address;
    to.load = load_of(*best, now);
    to.slots = best->entry.slots;
    to.cost_ms = best_cost;
    to.cached_tokens = cached_tokens(best->entry.id, need);
    auto const call_ms = expected_ms(*best, need, to.cached_tokens, to.load);
    to.wait = std::chrono::milliseconds(
        static_cast<std::int64_t>(wait_ms(*best, to.load, call_ms)));
    to.first_bytes =
        to.wait + std::chrono::milliseconds(static_cast<std::int64_t>(
                      first_bytes_ms(*best, need, to.cached_tokens)));
    if (best->told_at != time_point{})
    {
        to.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - best->told_at);
    }
    return to;
}

void engine_board::sent(engine_ref const& engine, placement_need const& need)
{
    auto* const found = find(engine);
    if (found == nullptr)
        return;
    ++found->own_calls;
    if (need.prompt == nullptr)
        return;
    for (auto const& part : *need.prompt)
        remember_part(part, engine.id);
}

void engine_board::learn(prompt_place const& place)
{
    if (find(place.engine) != nullptr)
        remember_part({place.part, place.tokens}, place.engine.id);
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
    engine_ref const& engine, placement_need const& need,
    engine_outcome outcome, duration took)
{
    auto* const found = find(engine);
    if (found == nullptr)
        return;
    auto& one = *found;
    auto const now = clock_();
    auto const load = load_of(one, now);
    one.own_calls -= std::min(one.own_calls, 1U);
    switch (outcome)
    {
    case engine_outcome::answered:
    {
        one.rest = duration(0);
        count_outcome(one, false, now);
        one.failures *= 1 - options_.failure_weight / 2;
        auto const cached = cached_tokens(engine.id, need);
        auto const expected =
            expected_ms(one, need, cached, load) / speed_of(one);
        learn_speed(one, std::clamp(ms_of(took) / expected, fastest, slowest));
        break;
    }
    case engine_outcome::full:
        one.rests_until = std::max(one.rests_until, now + options_.full_rest);
        break;
    case engine_outcome::unreachable:
        rest(one, options_.first_rest, now);
        break;
    case engine_outcome::failed:
        add_failure(one, now);
        break;
    case engine_outcome::silent_end:
        add_failure(one, now);
        rest(one, options_.first_rest, now);
        break;
    case engine_outcome::abandoned:
        break;
    }
}

double engine_board::speed_of(engine_record const& one) const
{
    if (one.speed)
        return *one.speed;
    auto const usual = usual_speeds_.find(one.entry.service);
    return usual == usual_speeds_.end() ? 1.0 : usual->second.speed;
}

void engine_board::learn_speed(engine_record& one, double sample)
{
    // The mean of the first samples, a moving one from then on.
    auto& usual = usual_speeds_[one.entry.service];
    ++usual.samples;
    auto const weight =
        std::max(options_.usual_speed_weight, 1.0 / usual.samples);
    usual.speed += (sample - usual.speed) * weight;
    auto const before = speed_of(one);
    one.speed = before + (sample - before) * options_.speed_weight;
}

void engine_board::stalled(engine_ref const& engine)
{
    if (auto* const found = find(engine))
        add_failure(*found, clock_());
}

void engine_board::told_load(engine_ref const& engine, engine_load const& load)
{
    auto* const found = find(engine);
    if (found == nullptr)
        return;
    constexpr double usual_weight = 0.1;
    auto& one = *found;
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

std::vector<std::pair<target_name, recent_outcomes>>
engine_board::set_all_outcomes(
    std::function<recent_outcomes(target_name const&)> const& at)
{
    auto const now = clock_();
    std::vector<std::pair<target_name, recent_outcomes>> resting;
    for (auto& [id, one] : engines_)
    {
        auto const is_new = one.restarted_at != time_point{} &&
                            now - one.restarted_at < former_told;
        if (is_new)
            continue;
        auto const all = at(id);
        // One that has not answered since its last rest is only on trial.
        auto const enough = one.rest.count() > 0
                                ? options_.failed_calls_to_rest / 2
                                : options_.failed_calls_to_rest;
        if (one.rests_until > now || all.failed < enough ||
            all.failed < all.answered * options_.failed_part_to_rest)
            continue;
        rest(one, options_.told_rest, now);
        // Nodes come back one after the other, so that few calls try it.
        one.rests_until += part_of(one.rest, random_());
        resting.emplace_back(id, all);
    }
    return resting;
}

std::vector<std::pair<target_name, recent_outcomes>>
engine_board::own_outcomes() const
{
    auto const now = clock_();
    std::vector<std::pair<target_name, recent_outcomes>> to;
    for (auto const& [id, one] : engines_)
    {
        auto const outcomes = outcomes_of(one, now);
        if (outcomes.failed + outcomes.answered >= least_told)
            to.emplace_back(id, outcomes);
    }
    return to;
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

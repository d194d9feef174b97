/// \file
/// Engine load balancer: cost estimates, outcome counts and ejection of failing
/// engines.
///
/// Load pattern: bursts of calls from many nodes while some engines are slow,
/// full or down. Without the estimates each node would herd on the engine that
/// looks idle and lose calls at the engines that are down.

#include <walnutmill/engine_balancer.hpp>

#include <walnutmill/crash_record.hpp>

#include "entry/target_list.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

/// Bounds of a slowdown sample, to limit the effect of outliers.
constexpr double min_slowdown = 0.3;
constexpr double max_slowdown = 12.0;
/// Maximum age of the call counts reported by other nodes.
constexpr std::chrono::milliseconds peer_load_max_age{1'000};
/// Minimum decayed outcome count that is reported to other nodes: what remains
/// of one outcome after a second.
constexpr double min_reported_outcomes = 0.05;
/// Time after a restart during which reported outcomes may still concern the
/// former incarnation: until a failure has decayed (1 s), the sum has dropped a
/// node's last report (1 s) and the sum is one exchange old.
constexpr std::chrono::milliseconds stale_outcome_window{2'200};
/// Random jitter of a cost, so that nodes with the same view don't all choose
/// the same engine.
constexpr double cost_jitter_ms = 4.0;

double ms_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

bool is_among(balancer_request const& need, engine_entry const& entry)
{
    return need.among.empty() ||
           std::find(
               need.among.begin(), need.among.end(),
               run_engine_name({entry.id, entry.incarnation})) !=
               need.among.end();
}

duration duration_of(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

duration scaled(duration whole, double part)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(whole.count()) * part));
}

} // namespace

engine_balancer::engine_balancer(
    zone_name own_domain, clock_fn clock, random_fn random,
    balancer_options options)
    : own_domain_(std::move(own_domain)), clock_(std::move(clock)),
      random_(std::move(random)), options_(options), speeds_(clock_)
{
}

std::vector<target_name>
engine_balancer::set_engines(std::vector<engine_entry> const& engines)
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
            drop_cached_parts(entry.id);
            state.restarted_at = clock_();
        }
        state.entry = entry;
        auto& group = by_service_[entry.service];
        (entry.zone == own_domain_ ? group.local : group.remote)
            .push_back(entry.id);
        kept.emplace(entry.id, std::move(state));
    }
    auto const same = kept.size() == engines_.size() &&
                      std::all_of(
                          kept.begin(), kept.end(),
                          [this](auto const& item)
                          { return engines_.count(item.first) > 0; });
    if (!same)
        ++engines_version_;
    engines_ = std::move(kept);
    speeds_.set_engines(engines);
    return restarted;
}

engine_balancer::engine_record* engine_balancer::find(engine_ref const& engine)
{
    auto const found = engines_.find(engine.id);
    if (found == engines_.end())
        return nullptr;
    auto& record = found->second;
    auto const present =
        !engine.incarnation || *engine.incarnation == record.entry.incarnation;
    return present ? &record : nullptr;
}

bool engine_balancer::known(engine_ref const& engine) const
{
    auto const found = engines_.find(engine.id);
    return found != engines_.end() &&
           (!engine.incarnation ||
            *engine.incarnation == found->second.entry.incarnation);
}

bool engine_balancer::is_replaced(engine_ref const& engine) const
{
    return engines_.count(engine.id) > 0 && !known(engine);
}

bool engine_balancer::is_ready(engine_ref const& engine) const
{
    return known(engine) &&
           engines_.at(engine.id).entry.state == engine_state::ready;
}

bool engine_balancer::has_ready_engine(
    service_name const& service, std::optional<std::string> const& version,
    std::vector<target_name> const& except) const
{
    auto const found = by_service_.find(service);
    if (found == by_service_.end())
        return false;
    auto const is_ready = [&](target_name const& id)
    {
        auto const& entry = engines_.at(id).entry;
        return !contains_target(except, id) &&
               entry.state == engine_state::ready &&
               (!version || entry.version == *version);
    };
    auto const& [local, remote] = found->second;
    return std::any_of(local.begin(), local.end(), is_ready) ||
           std::any_of(remote.begin(), remote.end(), is_ready);
}

double
engine_balancer::load_of(engine_record const& record, time_point now) const
{
    auto const own = static_cast<double>(record.own_calls);
    if (now - record.peer_calls_at < peer_load_max_age)
        return own + record.peer_calls;
    auto const age = ms_of(now - record.load_reported_at);
    auto const fresh = std::exp(-age / ms_of(options_.load_decay_time));
    return own + record.reported_other_calls * fresh +
           record.average_other_calls * (1 - fresh);
}

/// \return the duration of the call as predicted from the options
double engine_balancer::predicted_ms(
    engine_record const& record, balancer_request const& need,
    std::uint32_t cached, double load) const
{
    if (need.prompt_tokens == 0)
        return options_.plain_call_ms;
    auto const slots = static_cast<double>(record.entry.slots);
    auto const batch = std::min(load + 1, slots);
    auto const unread = static_cast<double>(
        need.prompt_tokens - std::min(need.prompt_tokens, cached));
    auto const step = options_.step_ms + options_.step_ms_per_call * batch;
    return options_.first_token_ms + unread / options_.prefill_tokens_per_ms +
           static_cast<double>(need.output_tokens) * step;
}

double engine_balancer::expected_ms(
    engine_record const& record, balancer_request const& need,
    std::uint32_t cached, double load) const
{
    auto const predicted = predicted_ms(record, need, cached, load);
    return slowdown_of(record, predicted) * predicted;
}

double engine_balancer::wait_ms(
    engine_record const& record, double load, double call_ms) const
{
    auto const slots = static_cast<double>(std::max(record.entry.slots, 1U));
    return load < slots ? 0 : (load - slots + 1) / slots * call_ms;
}

double engine_balancer::first_bytes_ms(
    engine_record const& record, balancer_request const& need,
    std::uint32_t cached) const
{
    // A plain answer is not streamed.
    if (need.prompt_tokens == 0)
        return expected_ms(record, need, cached, 0);
    auto const unread = static_cast<double>(
        need.prompt_tokens - std::min(need.prompt_tokens, cached));
    auto const predicted =
        options_.first_token_ms + unread / options_.prefill_tokens_per_ms;
    return slowdown_of(record, predicted) * predicted;
}

double
engine_balancer::failures_of(engine_record const& record, time_point now) const
{
    return record.failures * std::exp2(
                                 -ms_of(now - record.failures_at) /
                                 ms_of(options_.failure_half_life));
}

void engine_balancer::add_failure(engine_record& record, time_point now) const
{
    auto const before = failures_of(record, now);
    record.failures = before + (1 - before) * options_.failure_weight;
    record.failures_at = now;
    count_outcome(record, true, now);
}

recent_outcomes
engine_balancer::outcomes_of(engine_record const& record, time_point now) const
{
    auto const decay = std::exp2(
        -ms_of(now - record.outcomes_at) / ms_of(options_.outcome_half_life));
    return {record.outcomes.failed * decay, record.outcomes.answered * decay};
}

void engine_balancer::count_outcome(
    engine_record& record, bool failed, time_point now) const
{
    record.outcomes = outcomes_of(record, now);
    record.outcomes_at = now;
    ++(failed ? record.outcomes.failed : record.outcomes.answered);
}

double engine_balancer::cost_of(
    engine_record const& record, balancer_request const& need,
    std::uint32_t cached, time_point now) const
{
    auto const load = load_of(record, now);
    auto const call_ms = expected_ms(record, need, cached, load);
    auto cost = call_ms + wait_ms(record, load, call_ms);
    if (need.prompt_tokens > 0)
    {
        // Each other call in the batch decodes more slowly, and pauses during
        // the prefill of this prompt.
        auto const unread = static_cast<double>(
            need.prompt_tokens - std::min(need.prompt_tokens, cached));
        auto const slowdown =
            slowdown_of(record, predicted_ms(record, need, cached, load));
        cost += slowdown * load *
                (static_cast<double>(need.output_tokens) *
                     options_.step_ms_per_call +
                 unread / options_.prefill_tokens_per_ms);
    }
    else
    {
        // Free slots remain available to the next call from any node.
        cost += options_.plain_call_ms * load /
                static_cast<double>(std::max(record.entry.slots, 1U));
    }
    if (record.entry.zone != own_domain_)
        cost += options_.cross_domain_penalty_ms;
    if (is_connected && !is_connected(record.entry.id))
        cost += options_.connect_penalty_ms;
    if (need.apart)
        cost += load * options_.apart_penalty_ms_per_call;
    return cost + failures_of(record, now) * options_.failure_penalty_ms +
           random_() * cost_jitter_ms;
}

bool engine_balancer::usable(
    engine_record const& record, balancer_request const& need, time_point now,
    bool include_ejected) const
{
    return record.entry.state == engine_state::ready &&
           record.entry.service == need.service &&
           !contains_target(need.avoid, record.entry.id) &&
           (need.only.empty() || need.only == record.entry.id) &&
           is_among(need, record.entry) &&
           (!need.version || *need.version == record.entry.version) &&
           (!need.begins_resumable_stream || !may_begin_stream ||
            may_begin_stream(need.service, record.entry.version)) &&
           (include_ejected || record.ejected_until <= now);
}

std::optional<engine_placement>
engine_balancer::choose(balancer_request const& need)
{
    auto const now = clock_();
    auto const service = by_service_.find(need.service);
    if (service == by_service_.end())
        return std::nullopt;
    count_shared_prefix(need);
    engine_record const* best = nullptr;
    double best_cost = 0;
    auto const consider = [&](target_name const& id)
    {
        auto const& record = engines_.at(id);
        auto const cost = cost_of(record, need, cached_tokens(id, need), now);
        if (best == nullptr || cost < best_cost)
        {
            best = &record;
            best_cost = cost;
        }
    };
    for (auto const& id : sample_candidates(service->second, need, now))
        consider(id);
    if (best == nullptr)
        return std::nullopt;
    engine_placement to;
    to.engine = best->entry.id;
    to.incarnation = best->entry.incarnation;
    to.address = best->entry.address;
    to.domain = best->entry.zone;
    to.version = best->entry.version;
    to.load = load_of(*best, now);
    to.slots = best->entry.slots;
    to.cost_ms = best_cost;
    to.cached_tokens = cached_tokens(best->entry.id, need);
    auto const call_ms = expected_ms(*best, need, to.cached_tokens, to.load);
    to.wait = std::chrono::milliseconds(
        static_cast<std::int64_t>(wait_ms(*best, to.load, call_ms)));
    to.time_to_first_byte =
        to.wait + std::chrono::milliseconds(static_cast<std::int64_t>(
                      first_bytes_ms(*best, need, to.cached_tokens)));
    if (best->load_reported_at != time_point{})
    {
        to.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - best->load_reported_at);
    }
    if (speeds_.active(best->entry.service))
    {
        to.base_slowdown = base_slowdown_of(*best);
        to.machine_slowdown = speeds_.machine_slowdown(best->entry.id);
    }
    return to;
}

void engine_balancer::sent(
    engine_ref const& engine, balancer_request const& need)
{
    auto* const found = find(engine);
    if (found == nullptr)
        return;
    ++found->own_calls;
    if (need.prompt == nullptr)
        return;
    for (auto const& part : *need.prompt)
        record_cached_part(part, engine.id);
}

void engine_balancer::add_prefix_location(prefix_cache_location const& place)
{
    if (find(place.engine) != nullptr)
        record_cached_part({place.part, place.tokens}, place.engine.id);
}

void engine_balancer::eject(
    engine_record& record, duration first, time_point now) const
{
    if (record.ejected_until > now)
        return;
    record.ejection_time =
        record.ejection_time.count() == 0
            ? first
            : std::min(record.ejection_time * 2, options_.max_ejection_time);
    record.ejected_until = now + record.ejection_time;
    record.ejected_for_outcomes = false;
}

void engine_balancer::ended(
    engine_ref const& engine, balancer_request const& need,
    engine_outcome outcome, duration took)
{
    auto* const found = find(engine);
    if (found == nullptr)
        return;
    auto& record = *found;
    auto const now = clock_();
    auto const load = load_of(record, now);
    record.own_calls -= std::min(record.own_calls, 1U);
    switch (outcome)
    {
    case engine_outcome::answered:
    {
        record.ejection_time = duration(0);
        count_outcome(record, false, now);
        record.failures *= 1 - options_.failure_weight / 2;
        auto const cached = cached_tokens(engine.id, need);
        auto const slowdown =
            slowdown_of(record, predicted_ms(record, need, cached, load));
        auto const predicted =
            expected_ms(record, need, cached, load) / slowdown;
        auto const ratio = std::clamp(
            ms_of(took) / predicted /
                speeds_.machine_slowdown_during(engine.id, took),
            min_slowdown, max_slowdown);
        speeds_.record_call(engine.id, ratio);
        update_slowdown(record, ratio);
        break;
    }
    case engine_outcome::full:
        record.ejected_until =
            std::max(record.ejected_until, now + options_.full_engine_backoff);
        break;
    case engine_outcome::unreachable:
        eject(record, options_.base_ejection_time, now);
        break;
    case engine_outcome::failed:
        add_failure(record, now);
        break;
    case engine_outcome::closed_without_answer:
        add_failure(record, now);
        eject(record, options_.base_ejection_time, now);
        break;
    case engine_outcome::abandoned:
        break;
    }
}

/// \return the ratio of the duration to expect at the engine now to the
/// duration predicted from the options
/// \param predicted_ms predicted duration of the call
double engine_balancer::slowdown_of(
    engine_record const& record, double predicted_ms) const
{
    if (!speeds_.active(record.entry.service))
        return own_slowdown_of(record);
    auto const base = base_slowdown_of(record);
    return base * speeds_.expected_machine_slowdown(
                      record.entry.id, duration_of(base * predicted_ms));
}

double engine_balancer::base_slowdown_of(engine_record const& record) const
{
    auto const measured = speeds_.base_slowdown(record.entry.id);
    return measured ? *measured : own_slowdown_of(record);
}

/// \return the average of this node's calls at the engine or, without any, at
/// its service
double engine_balancer::own_slowdown_of(engine_record const& record) const
{
    if (record.slowdown)
        return *record.slowdown;
    auto const usual = service_slowdowns_.find(record.entry.service);
    return usual == service_slowdowns_.end() ? 1.0 : usual->second.slowdown;
}

void engine_balancer::update_slowdown(engine_record& record, double sample)
{
    // The mean of the first samples, then a moving average.
    auto& usual = service_slowdowns_[record.entry.service];
    ++usual.samples;
    auto const weight =
        std::max(options_.service_slowdown_weight, 1.0 / usual.samples);
    usual.slowdown += (sample - usual.slowdown) * weight;
    auto const before = own_slowdown_of(record);
    record.slowdown = before + (sample - before) * options_.slowdown_weight;
}

void engine_balancer::call_stalled(engine_ref const& engine)
{
    if (auto* const found = find(engine))
        add_failure(*found, clock_());
}

void engine_balancer::report_load(
    engine_ref const& engine, engine_load const& load)
{
    auto* const found = find(engine);
    if (found == nullptr)
        return;
    constexpr double average_weight = 0.1;
    auto& record = *found;
    auto const all = static_cast<double>(load.running + load.waiting);
    record.reported_other_calls =
        std::max(0.0, all - static_cast<double>(record.own_calls));
    record.average_other_calls +=
        (record.reported_other_calls - record.average_other_calls) *
        average_weight;
    record.load_reported_at = clock_();
    if (load.machine_percent && options_.use_engine_speeds)
        speeds_.report_machine(engine.id, *load.machine_percent);
}

void engine_balancer::set_peer_loads(
    std::function<std::uint32_t(target_name const&)> const& calls_at)
{
    auto const now = clock_();
    pressures_.clear();
    pressures_at_ = now;
    for (auto& [id, record] : engines_)
    {
        record.peer_calls = calls_at(id);
        record.peer_calls_at = now;
        if (record.entry.state != engine_state::ready)
            continue;
        auto& sum = pressures_[record.entry.service];
        sum.calls += record.peer_calls + static_cast<double>(record.own_calls);
        sum.slots += static_cast<double>(record.entry.slots);
    }
}

std::vector<std::pair<target_name, recent_outcomes>>
engine_balancer::set_cluster_outcomes(
    std::function<recent_outcomes(target_name const&)> const& at)
{
    auto const now = clock_();
    std::vector<std::pair<target_name, recent_outcomes>> ejected;
    for (auto& [id, record] : engines_)
    {
        auto const is_new = record.restarted_at != time_point{} &&
                            now - record.restarted_at < stale_outcome_window;
        if (is_new)
            continue;
        auto const all = at(id);
        // Failures and answers fade alike, so the ratio changes only if the
        // engine has answered since. Most nodes have no call there so soon.
        auto const answers_again =
            record.ejected_for_outcomes && record.ejected_until <= now &&
            all.answered >= 1 &&
            all.failed < all.answered * options_.ejection_failure_ratio;
        if (answers_again)
            record.ejection_time = duration(0);
        // An engine that has not answered since its last ejection is on
        // probation and needs fewer failures.
        auto const enough = record.ejection_time.count() > 0
                                ? options_.ejection_min_failures / 2
                                : options_.ejection_min_failures;
        if (record.ejected_until > now || all.failed < enough ||
            all.failed < all.answered * options_.ejection_failure_ratio)
            continue;
        eject(record, options_.reported_ejection_time, now);
        record.ejected_for_outcomes = true;
        // Nodes return to the engine one after the other, so that few calls
        // probe it.
        record.ejected_until += scaled(record.ejection_time, random_());
        ejected.emplace_back(id, all);
    }
    return ejected;
}

std::vector<std::pair<target_name, recent_outcomes>>
engine_balancer::own_outcomes() const
{
    auto const now = clock_();
    std::vector<std::pair<target_name, recent_outcomes>> to;
    for (auto const& [id, record] : engines_)
    {
        auto const outcomes = outcomes_of(record, now);
        if (outcomes.failed + outcomes.answered >= min_reported_outcomes)
            to.emplace_back(id, outcomes);
    }
    return to;
}

std::vector<std::pair<target_name, std::uint32_t>>
engine_balancer::own_calls() const
{
    std::vector<std::pair<target_name, std::uint32_t>> calls;
    for (auto const& [id, record] : engines_)
    {
        if (record.own_calls > 0)
            calls.emplace_back(id, record.own_calls);
    }
    return calls;
}

std::vector<machine_figure> engine_balancer::own_machine_figures() const
{
    return speeds_.own_figures();
}

std::vector<speed_sample> engine_balancer::own_speed_samples() const
{
    return speeds_.own_speeds();
}

void engine_balancer::set_cluster_machine_figures(
    std::vector<machine_figure> const& figures)
{
    if (options_.use_engine_speeds)
        speeds_.set_cluster_figures(figures);
}

void engine_balancer::set_cluster_speeds(
    std::vector<speed_sample> const& speeds)
{
    if (options_.use_engine_speeds)
        speeds_.set_cluster_speeds(speeds);
}

std::optional<double>
engine_balancer::pressure(service_name const& service) const
{
    auto const found = pressures_.find(service);
    if (found == pressures_.end() || found->second.slots == 0 ||
        clock_() - pressures_at_ > peer_load_max_age)
        return std::nullopt;
    return found->second.calls / found->second.slots;
}

} // namespace walnutmill

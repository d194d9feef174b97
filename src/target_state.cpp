#include "target_state.hpp"

#include <algorithm>
#include <cmath>

namespace walnutmill
{

namespace
{

constexpr std::size_t overdue_calls = 3;

/// Whether the name is loaded, if one is needed at all.
bool has(std::vector<std::string> const& loaded, std::string const& name)
{
    return name.empty() ||
           std::find(loaded.begin(), loaded.end(), name) != loaded.end();
}

} // namespace

double prefill_seconds(placement_options const& options, sent_call const& call)
{
    double tokens = call.prompt_tokens > call.cached_tokens
                        ? call.prompt_tokens - call.cached_tokens
                        : 0.0;
    return tokens * options.prefill_seconds;
}

double expected_seconds(
    placement_options const& options, sent_call const& call, double load)
{
    double batch = 1.0 + options.batch_slowdown * std::min(load, 1.0);
    double decode = call.expected_tokens * options.decode_seconds * batch;
    return options.base_seconds + prefill_seconds(options, call) + decode;
}

void target_state::take_report(target_view const& view, time_point now)
{
    bool const was_away = reported_ && !in_service();
    view_ = view;
    reported_ = true;
    if (was_away && in_service())
        start_afresh();
    taken_at_ = now - view.report_age;
    own_in_report_ = 0;
    for (auto const& item : flights_)
    {
        if (item.second.sent > taken_at_)
            break;
        ++own_in_report_;
    }
}

bool target_state::in_service() const
{
    return !view_.loading && view_.policy == target_policy::in_service;
}

void target_state::start_afresh()
{
    health_ = target_health::healthy;
    log_ratio_ = 0.0;
    samples_ = 0;
    failures_ = 0;
}

bool target_state::available(placement_pool const& pool) const
{
    return reported_ && in_service() && has(view_.models, pool.model) &&
           has(view_.adapters, pool.adapter);
}

double target_state::load(double peer_ratio) const
{
    double own = in_flight();
    double reported = view_.running + view_.queued;
    double others = std::max(0.0, reported - own_in_report_);
    // Other nodes saw the same report and did since as this one did.
    double own_since = std::max(0.0, own - own_in_report_);
    return own + others + own_since * peer_ratio;
}

bool target_state::has_room(double peer_ratio) const
{
    return load(peer_ratio) + 1.0 <= view_.slots * options_->open_load;
}

bool target_state::takes_home_call(double peer_ratio) const
{
    return load(peer_ratio) + 1.0 <= view_.slots * options_->home_load;
}

duration target_state::report_age(time_point now) const
{
    return now - taken_at_;
}

void target_state::add_flight(sent_ticket ticket, flight item)
{
    flights_.emplace(ticket, std::move(item));
}

std::uint32_t target_state::in_flight() const noexcept
{
    return static_cast<std::uint32_t>(flights_.size());
}

void target_state::take_sample(double log_ratio)
{
    // The first samples are averaged evenly.
    ++samples_;
    double weight = std::max(options_->sample_weight, 1.0 / samples_);
    log_ratio_ += weight * (log_ratio - log_ratio_);
}

double target_state::slowness() const
{
    return std::exp(log_ratio_);
}

bool target_state::is_outlier() const
{
    return samples_ >= options_->least_samples &&
           slowness() >= options_->outlier_ratio;
}

double target_state::overdue(double peer_seconds_factor, time_point now) const
{
    // A target that says its queue is long is slow for a known reason.
    if (flights_.size() < overdue_calls || view_.queued > 0)
        return 0.0;
    double least = 0.0;
    std::size_t seen = 0;
    for (auto const& item : flights_)
    {
        auto const& call = item.second;
        auto elapsed = now - call.sent;
        double expected = expected_seconds(*options_, call.call, call.load);
        double ratio = std::chrono::duration<double>(elapsed).count() /
                       std::max(1e-6, expected * peer_seconds_factor);
        if (elapsed < options_->least_overdue ||
            ratio < options_->overdue_ratio)
            return 0.0;
        least = seen == 0 ? ratio : std::min(least, ratio);
        if (++seen == overdue_calls)
            break;
    }
    return least;
}

void target_state::enter_probation(time_point now)
{
    health_ = target_health::probation;
    probe_interval_ = options_->probe_interval;
    next_probe_ = now + probe_interval_;
    good_probes_ = 0;
}

void target_state::start_probe(time_point now)
{
    // Also the limit for the probe's answer.
    next_probe_ = now + probe_interval_;
}

bool target_state::end_probe(bool good, time_point now)
{
    if (good && ++good_probes_ >= options_->good_probes)
    {
        start_afresh();
        return true;
    }
    if (!good)
    {
        good_probes_ = 0;
        probe_interval_ =
            std::min(2 * probe_interval_, options_->greatest_probe_interval);
    }
    next_probe_ = good ? now : now + probe_interval_;
    return false;
}

} // namespace walnutmill

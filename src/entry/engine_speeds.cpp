#include <walnutmill/engine_speeds.hpp>

#include "entry/load_summary.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

constexpr std::uint32_t usual_percent = 100;
constexpr std::uint32_t max_percent = 10'000;
constexpr double units_per_call = 100.0;
/// Bounds of an engine's base slowdown: those of a single call's sample. They
/// limit the effect of malformed sums from other nodes.
constexpr double min_base_slowdown = 0.3;
constexpr double max_base_slowdown = 12.0;
/// Minimum number of calls (decayed) that is reported to other nodes.
constexpr double min_reported_calls = 0.05;
/// Time after a restart for which sums of other nodes may still concern the
/// former incarnation: the load aggregator keeps a node's last report for 8 s,
/// sends speeds once a second, and computes their sums every half second.
constexpr std::chrono::milliseconds stale_sums_window{9'500};
/// Age and number of the figures kept to tell the slowdown during a call. Calls
/// take about half a second, and a figure arrives every 100 ms.
constexpr std::chrono::milliseconds recent_figures_age{2'000};
constexpr std::size_t max_recent_figures = 32;
/// A figure that arrives again by way of another node differs by the time of
/// its transfer.
constexpr std::chrono::milliseconds same_figure_distance{5};

double ratio_of(duration a, duration b)
{
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

std::uint32_t to_hundredths(double value)
{
    constexpr double max_value = 1'000'000.0;
    return static_cast<std::uint32_t>(
        std::llround(std::min(value, max_value) * units_per_call));
}

template<class Item>
void sort_by_engine(std::vector<Item>& items)
{
    std::sort(
        items.begin(), items.end(),
        [](Item const& a, Item const& b) { return a.engine < b.engine; });
}

} // namespace

engine_speeds::engine_speeds(clock_fn clock, engine_speeds_options options)
    : clock_(std::move(clock)), options_(options)
{
}

void engine_speeds::set_engines(std::vector<engine_entry> const& engines)
{
    std::unordered_map<target_name, engine_record> kept;
    by_key_.clear();
    for (auto const& entry : engines)
    {
        if (kept.count(entry.id) > 0)
            continue;
        auto const found = engines_.find(entry.id);
        engine_record record;
        if (found != engines_.end() &&
            found->second.incarnation == entry.incarnation)
            record = std::move(found->second);
        else if (found != engines_.end())
            record.restarted_at = clock_();
        record.service = entry.service;
        record.incarnation = entry.incarnation;
        record.key = short_key(entry.id);
        by_key_.emplace(record.key, entry.id);
        kept.insert_or_assign(entry.id, std::move(record));
    }
    engines_ = std::move(kept);
}

engine_speeds::engine_record* engine_speeds::find(target_name const& engine)
{
    auto const found = engines_.find(engine);
    return found == engines_.end() ? nullptr : &found->second;
}

engine_speeds::engine_record const*
engine_speeds::find(target_name const& engine) const
{
    auto const found = engines_.find(engine);
    return found == engines_.end() ? nullptr : &found->second;
}

engine_speeds::engine_record* engine_speeds::find_key(std::uint32_t key)
{
    auto const found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : find(found->second);
}

engine_speeds::speed_sums engine_speeds::decayed(speed_sums const& sums) const
{
    auto const now = clock_();
    auto const rest =
        std::exp2(-ratio_of(now - sums.at, options_.speed_half_life));
    return {sums.ratio * rest, sums.calls * rest, now};
}

/// \return the slowdown that a figure tells of a moment at this distance in
/// time; it fades toward 1
double engine_speeds::effect_of(figure const& one, duration distance) const
{
    if (distance >= options_.figure_max_age)
        return 1.0;
    auto const reported = std::clamp(
        static_cast<double>(one.percent) / usual_percent,
        options_.min_machine_slowdown, options_.max_machine_slowdown);
    return 1.0 + (reported - 1.0) *
                     std::exp(-ratio_of(distance, options_.figure_fade_time));
}

engine_speeds::figure const*
engine_speeds::latest_figure(engine_record const& record)
{
    auto const& own = record.own_figure;
    auto const& others = record.cluster_figure;
    if (own && (!others || others->at <= own->at))
        return &*own;
    return others ? &*others : nullptr;
}

void engine_speeds::note_figure(engine_record& record, figure const& one) const
{
    auto& recent = record.recent_figures;
    auto const oldest = clock_() - recent_figures_age;
    recent.erase(
        std::remove_if(
            recent.begin(), recent.end(),
            [oldest](figure const& old) { return old.at < oldest; }),
        recent.end());
    auto const behind = std::find_if(
        recent.begin(), recent.end(),
        [&one](figure const& other) { return other.at > one.at; });
    auto const is_repeated = std::any_of(
        recent.begin(), recent.end(),
        [&one](figure const& other)
        {
            return other.percent == one.percent &&
                   std::max(other.at, one.at) - std::min(other.at, one.at) <
                       same_figure_distance;
        });
    if (is_repeated)
        return;
    recent.insert(behind, one);
    if (recent.size() > max_recent_figures)
        recent.erase(recent.begin());
}

void engine_speeds::report_machine(
    target_name const& engine, std::uint32_t percent, duration age)
{
    auto* const record = find(engine);
    if (record == nullptr || percent < 1 || percent > max_percent ||
        age < duration(0) || age >= options_.figure_max_age)
        return;
    auto const now = clock_();
    figure const one{now - age, percent};
    if (record->own_figure && one.at < record->own_figure->at)
        return;
    record->own_figure = one;
    note_figure(*record, one);
    services_[record->service].figure_at = now;
}

void engine_speeds::record_call(target_name const& engine, double ratio)
{
    auto* const record = find(engine);
    if (record == nullptr || !has_recent_figure(record->service))
        return;
    auto& sums = record->own_sums;
    sums = decayed(sums);
    sums.ratio += std::clamp(ratio, min_base_slowdown, max_base_slowdown);
    ++sums.calls;
}

/// An engine that is no longer named works as usual again. A figure that
/// arrived at this node after the one that was named stays.
void engine_speeds::discard_cluster_figure(engine_record& record) const
{
    auto& known = record.cluster_figure;
    if (!known || known->percent == usual_percent)
        return;
    known->percent = usual_percent;
    if (latest_figure(record) == &*known)
        note_figure(record, {clock_(), usual_percent});
}

void engine_speeds::set_cluster_figures(
    std::vector<machine_figure> const& figures)
{
    auto const now = clock_();
    std::unordered_map<std::uint32_t, figure> named;
    for (auto const& one : figures)
    {
        auto const age = duration(std::chrono::milliseconds(one.age_ms));
        if (one.percent >= 1 && one.percent <= max_percent &&
            age < options_.figure_max_age)
            named[one.engine] = {now - age, one.percent};
    }
    for (auto& [id, record] : engines_)
    {
        auto const found = named.find(record.key);
        auto const is_stale = found != named.end() &&
                              record.restarted_at != time_point{} &&
                              found->second.at < record.restarted_at;
        if (found == named.end() || is_stale)
        {
            discard_cluster_figure(record);
            continue;
        }
        record.cluster_figure = found->second;
        note_figure(record, found->second);
        services_[record.service].figure_at = now;
    }
}

void engine_speeds::set_cluster_speeds(std::vector<speed_sample> const& speeds)
{
    auto const now = clock_();
    for (auto const& one : speeds)
    {
        auto* const record = find_key(one.engine);
        if (record == nullptr || one.calls_hundredths == 0)
            continue;
        services_[record->service].sums_at = now;
        auto const is_stale = record->restarted_at != time_point{} &&
                              now - record->restarted_at < stale_sums_window;
        if (is_stale)
            continue;
        record->cluster_sums = {
            one.ratio_hundredths / units_per_call,
            one.calls_hundredths / units_per_call, now};
    }
}

std::vector<machine_figure> engine_speeds::own_figures() const
{
    auto const now = clock_();
    std::vector<machine_figure> to;
    for (auto const& [id, record] : engines_)
    {
        auto const& own = record.own_figure;
        if (!own || now - own->at >= options_.figure_max_age)
            continue;
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - own->at);
        to.push_back(
            {record.key, own->percent,
             static_cast<std::uint32_t>(age.count())});
    }
    sort_by_engine(to);
    return to;
}

std::vector<speed_sample> engine_speeds::own_speeds() const
{
    std::vector<speed_sample> to;
    for (auto const& [id, record] : engines_)
    {
        if (record.own_sums.calls == 0 || !has_recent_figure(record.service))
            continue;
        auto const sums = decayed(record.own_sums);
        if (sums.calls >= min_reported_calls)
        {
            to.push_back(
                {record.key, to_hundredths(sums.ratio),
                 to_hundredths(sums.calls)});
        }
    }
    sort_by_engine(to);
    return to;
}

double engine_speeds::machine_slowdown(target_name const& engine) const
{
    auto const* const record = find(engine);
    auto const* const known =
        record == nullptr ? nullptr : latest_figure(*record);
    return known == nullptr ? 1.0 : effect_of(*known, clock_() - known->at);
}

double engine_speeds::expected_machine_slowdown(
    target_name const& engine, duration usual_time) const
{
    auto const now_slowed = machine_slowdown(engine);
    if (now_slowed == 1.0 || usual_time <= duration(0))
        return now_slowed;
    // With T the mean time to the end of the slow period, the call loses
    // (1 - 1/s) of the time for which it is slowed: T * (1 - exp(-s * t / T)).
    auto const time = ratio_of(usual_time, options_.figure_fade_time);
    auto const slowed_time = 1.0 - std::exp(-now_slowed * time);
    return 1.0 + (1.0 - 1.0 / now_slowed) * slowed_time / time;
}

/// Evaluates the slowdown at evenly spaced moments of the call, at each by the
/// figure nearest in time. The work done in a moment is the inverse of the
/// slowdown, so the call's slowdown is the harmonic mean.
double engine_speeds::machine_slowdown_during(
    target_name const& engine, duration took) const
{
    constexpr int moments = 16;
    auto const* const record = find(engine);
    if (record == nullptr || record->recent_figures.empty())
        return 1.0;
    auto const now = clock_();
    double work = 0;
    for (int i = 0; i < moments; ++i)
    {
        auto const at = now - took * (2 * i + 1) / (2 * moments);
        auto const distance = [at](figure const& one)
        { return one.at > at ? one.at - at : at - one.at; };
        auto const nearest = std::min_element(
            record->recent_figures.begin(), record->recent_figures.end(),
            [&distance](figure const& a, figure const& b)
            { return distance(a) < distance(b); });
        work += 1.0 / effect_of(*nearest, distance(*nearest));
    }
    return moments / work;
}

std::optional<double>
engine_speeds::base_slowdown(target_name const& engine) const
{
    auto const* const record = find(engine);
    if (record == nullptr)
        return std::nullopt;
    // The sums of all nodes contain this node's calls, so the two are not
    // added.
    auto const own = decayed(record->own_sums);
    auto const all = decayed(record->cluster_sums);
    auto const& sums = all.calls >= own.calls ? all : own;
    if (sums.calls < options_.min_calls)
        return std::nullopt;
    return std::clamp(
        sums.ratio / sums.calls, min_base_slowdown, max_base_slowdown);
}

bool engine_speeds::has_recent_figure(service_name const& service) const
{
    auto const found = services_.find(service);
    return found != services_.end() && found->second.figure_at &&
           clock_() - *found->second.figure_at < options_.active_time;
}

bool engine_speeds::active(service_name const& service) const
{
    if (has_recent_figure(service))
        return true;
    auto const found = services_.find(service);
    return found != services_.end() && found->second.sums_at &&
           clock_() - *found->second.sums_at < options_.active_time;
}

} // namespace walnutmill

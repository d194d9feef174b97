#include "entry/speed_summary.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

// Entries have a fixed size, big-endian: as CBOR integers, they would take up
// to twice as many bytes and exceed the bound on what a node exchanges.
/// Key (4 bytes), percent (2), age in units of 5 ms (1).
constexpr std::size_t figure_bytes = 7;
constexpr std::uint32_t age_unit_ms = 5;
constexpr std::uint32_t max_age_units = 255;
/// Key (4 bytes), mean ratio in thousandths (2), calls in hundredths (2).
constexpr std::size_t speed_bytes = 8;
constexpr std::uint64_t ratio_units = 1'000;

constexpr std::uint32_t max_percent = 10'000;
constexpr std::uint32_t usual_percent = 100;
constexpr char cbor_null = static_cast<char>(0xf6);

/// Time after the last figure during which sums contain figures and speeds.
constexpr std::chrono::seconds active_time{10};
constexpr std::chrono::seconds speed_half_life{4};
/// Two half-lives. It bounds the load aggregator's memory for speeds.
constexpr std::chrono::seconds speed_retention{8};
/// Speeds of fewer calls are not reported: what remains of one call after two
/// half-lives.
constexpr std::uint32_t min_reported_calls_hundredths = 25;
/// Times for which the choice of the slowest engines and the sums of the speeds
/// are reused: computing them for each of 1,000 nodes is quadratic.
constexpr milliseconds slowest_lifetime{5};
constexpr milliseconds speed_sums_lifetime{500};
constexpr std::chrono::seconds expiry_interval{1};

void append_number(std::uint64_t value, std::size_t size, json::binary_t& to)
{
    constexpr unsigned bits_per_byte = 8;
    for (std::size_t i = size; i > 0; --i)
        to.push_back(
            static_cast<std::uint8_t>(value >> ((i - 1) * bits_per_byte)));
}

/// Removes the number from the front of the bytes, which contain it.
std::uint32_t take_number(std::string_view& bytes, std::size_t size)
{
    constexpr unsigned bits_per_byte = 8;
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < size; ++i)
        value = value << bits_per_byte | static_cast<std::uint8_t>(bytes[i]);
    bytes.remove_prefix(size);
    return value;
}

void append_element(json::binary_t content, std::string& to)
{
    auto const bytes = json::to_cbor(json::binary(std::move(content)));
    to.append(bytes.begin(), bytes.end());
}

json::binary_t to_bytes(std::vector<machine_figure> const& figures)
{
    json::binary_t bytes;
    for (auto const& one : figures)
    {
        // Rounded up, so that a figure sent twice never looks fresher.
        auto const age = (one.age_ms + age_unit_ms - 1) / age_unit_ms;
        append_number(one.engine, 4, bytes);
        append_number(std::min(one.percent, max_percent), 2, bytes);
        append_number(std::min(age, max_age_units), 1, bytes);
    }
    return bytes;
}

json::binary_t to_bytes(std::vector<speed_sample> const& speeds)
{
    constexpr std::uint64_t max = std::numeric_limits<std::uint16_t>::max();
    json::binary_t bytes;
    for (auto const& one : speeds)
    {
        auto const mean =
            one.calls_hundredths == 0
                ? 0
                : one.ratio_hundredths * ratio_units / one.calls_hundredths;
        append_number(one.engine, 4, bytes);
        append_number(std::min(mean, max), 2, bytes);
        append_number(
            std::min(std::uint64_t(one.calls_hundredths), max), 2, bytes);
    }
    return bytes;
}

std::uint32_t ms_between(time_point from, time_point to)
{
    auto const age = std::chrono::duration_cast<milliseconds>(to - from);
    return static_cast<std::uint32_t>(
        std::max(age.count(), milliseconds::rep(0)));
}

bool elapsed(
    std::optional<time_point> const& since, duration interval, time_point now)
{
    return !since || now - *since >= interval;
}

/// \return up to max samples from next_engine on, continuing with the first
/// one after the last
/// \param all in order of the engines' keys
std::vector<speed_sample> take_in_turn(
    std::vector<speed_sample> const& all, std::size_t max,
    std::uint32_t& next_engine)
{
    std::vector<speed_sample> taken;
    auto at = std::lower_bound(
        all.begin(), all.end(), next_engine,
        [](speed_sample const& one, std::uint32_t key)
        { return one.engine < key; });
    while (taken.size() < std::min(max, all.size()))
    {
        if (at == all.end())
            at = all.begin();
        taken.push_back(*at++);
    }
    if (!taken.empty())
        next_engine = taken.back().engine + 1;
    return taken;
}

bool by_engine(speed_sample const& left, speed_sample const& right)
{
    return left.engine < right.engine;
}

} // namespace

speed_elements encode(speed_report const& report)
{
    speed_elements elements;
    if (!report.figures && report.speeds.empty())
        return elements;
    elements.count = 1;
    if (report.figures)
        append_element(to_bytes(*report.figures), elements.bytes);
    else
        elements.bytes.push_back(cbor_null);
    if (report.speeds.empty())
        return elements;
    elements.count = 2;
    append_element(to_bytes(report.speeds), elements.bytes);
    return elements;
}

std::optional<std::vector<machine_figure>>
decode_figures(std::string_view bytes)
{
    if (bytes.size() % figure_bytes != 0)
        return std::nullopt;
    std::vector<machine_figure> figures;
    while (!bytes.empty() && figures.size() < max_sum_figures)
    {
        machine_figure one;
        one.engine = take_number(bytes, 4);
        one.percent = take_number(bytes, 2);
        one.age_ms = take_number(bytes, 1) * age_unit_ms;
        if (one.percent >= 1 && one.percent <= max_percent)
            figures.push_back(one);
    }
    return figures;
}

std::vector<speed_sample> decode_speeds(std::string_view bytes)
{
    std::vector<speed_sample> speeds;
    if (bytes.size() % speed_bytes != 0)
        return speeds;
    while (!bytes.empty() && speeds.size() < max_sum_speeds)
    {
        speed_sample one;
        one.engine = take_number(bytes, 4);
        std::uint64_t const mean = take_number(bytes, 2);
        one.calls_hundredths = take_number(bytes, 2);
        one.ratio_hundredths = static_cast<std::uint32_t>(
            (mean * one.calls_hundredths + ratio_units / 2) / ratio_units);
        if (one.calls_hundredths > 0)
            speeds.push_back(one);
    }
    return speeds;
}

bool speed_reports::due(time_point now) const
{
    return elapsed(reported_at_, figure_interval, now);
}

speed_report speed_reports::next(
    std::vector<machine_figure> figures, std::vector<speed_sample> speeds,
    time_point now)
{
    reported_at_ = now;
    speed_report report;
    auto chosen = next_figures(std::move(figures), now);
    if (!chosen.empty())
    {
        report.figures = std::move(chosen);
        former_figures_at_ = figures_at_;
        figures_at_ = now;
    }
    if (!elapsed(speeds_at_, speed_interval, now))
        return report;
    speeds.erase(
        std::remove_if(
            speeds.begin(), speeds.end(),
            [](speed_sample const& one)
            { return one.calls_hundredths < min_reported_calls_hundredths; }),
        speeds.end());
    std::sort(speeds.begin(), speeds.end(), by_engine);
    report.speeds = take_in_turn(speeds, max_report_speeds, next_engine_);
    if (!report.speeds.empty())
        speeds_at_ = now;
    return report;
}

std::vector<machine_figure>
speed_reports::next_figures(std::vector<machine_figure> figures, time_point now)
{
    auto const max_age = former_figures_at_
                             ? ms_between(*former_figures_at_, now)
                             : std::numeric_limits<std::uint32_t>::max();
    figures.erase(
        std::remove_if(
            figures.begin(), figures.end(),
            [max_age](machine_figure const& one)
            { return one.age_ms > max_age; }),
        figures.end());
    std::sort(
        figures.begin(), figures.end(),
        [](machine_figure const& left, machine_figure const& right)
        { return left.age_ms < right.age_ms; });
    if (figures.size() > max_report_figures)
        figures.resize(max_report_figures);
    return figures;
}

void speed_reports::repeat_figures()
{
    figures_at_.reset();
    former_figures_at_.reset();
}

void speed_summary::add(
    std::string const& node, speed_report const& report, time_point now)
{
    if (report.figures)
        add_figures(*report.figures, now);
    if (!report.speeds.empty())
        add_speeds(node, report.speeds, now);
    if (elapsed(expired_removed_at_, expiry_interval, now))
        remove_expired(now);
}

void speed_summary::add_figures(
    std::vector<machine_figure> const& figures, time_point now)
{
    for (auto const& one : figures)
    {
        auto const age = milliseconds(one.age_ms);
        if (age > max_figure_age)
            continue;
        known_figure const figure{one.percent, now - age};
        auto const [known, is_new] = figures_.emplace(one.engine, figure);
        if (!is_new && figure.measured_at > known->second.measured_at)
            known->second = figure;
        if (!latest_figure_at_ || now - age > *latest_figure_at_)
            latest_figure_at_ = now - age;
    }
}

void speed_summary::add_speeds(
    std::string const& node, std::vector<speed_sample> const& speeds,
    time_point now)
{
    auto& known = speeds_[node];
    for (auto const& one : speeds)
    {
        auto const at = std::lower_bound(
            known.begin(), known.end(), one.engine,
            [](known_speed const& left, std::uint32_t key)
            { return left.engine < key; });
        known_speed const speed{
            one.engine, static_cast<float>(one.ratio_hundredths),
            static_cast<float>(one.calls_hundredths), now};
        if (at != known.end() && at->engine == one.engine)
            *at = speed;
        else
            known.insert(at, speed);
    }
}

bool speed_summary::is_active(time_point now) const
{
    return latest_figure_at_ && now - *latest_figure_at_ <= active_time;
}

speed_report speed_summary::next_for(std::string const& node, time_point now)
{
    speed_report report;
    if (!is_active(now))
        return report;
    auto& to = recipients_[node];
    if (elapsed(to.figures_at, figure_interval, now))
    {
        to.figures_at = now;
        report.figures = slowest(now);
    }
    if (elapsed(to.speeds_at, speed_interval, now))
    {
        to.speeds_at = now;
        report.speeds =
            take_in_turn(speed_sums(now), max_sum_speeds, to.next_engine);
    }
    return report;
}

std::vector<machine_figure> const& speed_summary::slowest(time_point now)
{
    if (!elapsed(slowest_at_, slowest_lifetime, now))
        return slowest_;
    slowest_at_ = now;
    slowest_.clear();
    for (auto const& [engine, one] : figures_)
    {
        if (one.percent != usual_percent &&
            now - one.measured_at <= max_figure_age)
            slowest_.push_back(
                {engine, one.percent, ms_between(one.measured_at, now)});
    }
    auto const kept = std::min(slowest_.size(), max_sum_figures);
    std::partial_sort(
        slowest_.begin(), slowest_.begin() + static_cast<std::ptrdiff_t>(kept),
        slowest_.end(),
        [](machine_figure const& left, machine_figure const& right)
        {
            return left.percent != right.percent ? left.percent > right.percent
                                                 : left.age_ms < right.age_ms;
        });
    slowest_.resize(kept);
    return slowest_;
}

std::vector<speed_sample> const& speed_summary::speed_sums(time_point now)
{
    if (!elapsed(speed_sums_at_, speed_sums_lifetime, now))
        return speed_sums_;
    speed_sums_at_ = now;
    struct sums
    {
        double ratio = 0;
        double calls = 0;
    };
    std::unordered_map<std::uint32_t, sums> totals;
    for (auto const& [node, speeds] : speeds_)
    {
        for (auto const& one : speeds)
        {
            if (now - one.at > speed_retention)
                continue;
            auto const half_lives =
                std::chrono::duration<double>(now - one.at) /
                std::chrono::duration<double>(speed_half_life);
            auto const remaining = std::exp2(-half_lives);
            auto& total = totals[one.engine];
            total.ratio += one.ratio * remaining;
            total.calls += one.calls * remaining;
        }
    }
    speed_sums_.clear();
    for (auto const& [engine, total] : totals)
        speed_sums_.push_back(
            {engine, static_cast<std::uint32_t>(std::lround(total.ratio)),
             static_cast<std::uint32_t>(std::lround(total.calls))});
    std::sort(speed_sums_.begin(), speed_sums_.end(), by_engine);
    return speed_sums_;
}

void speed_summary::remove_expired(time_point now)
{
    expired_removed_at_ = now;
    for (auto it = figures_.begin(); it != figures_.end();)
        it = now - it->second.measured_at > max_figure_age ? figures_.erase(it)
                                                           : std::next(it);
    for (auto it = speeds_.begin(); it != speeds_.end();)
    {
        auto& speeds = it->second;
        speeds.erase(
            std::remove_if(
                speeds.begin(), speeds.end(),
                [now](known_speed const& one)
                { return now - one.at > speed_retention; }),
            speeds.end());
        it = speeds.empty() ? speeds_.erase(it) : std::next(it);
    }
    for (auto it = recipients_.begin(); it != recipients_.end();)
        it = elapsed(it->second.figures_at, active_time, now)
                 ? recipients_.erase(it)
                 : std::next(it);
}

} // namespace walnutmill

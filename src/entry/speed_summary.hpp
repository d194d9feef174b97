#ifndef WALNUTMILL_SRC_ENTRY_SPEED_SUMMARY_HPP
#define WALNUTMILL_SRC_ENTRY_SPEED_SUMMARY_HPP

/// \file
/// Machine figures and speeds of engines as part of the load messages between
/// nodes: what a node reports, what the load aggregator keeps, and what it
/// sends to each node.
///
/// Load pattern: machines turn slow for some 600 ms, and a node gets an answer
/// from a given engine once in several seconds. Only all nodes together measure
/// each engine often enough.

#include <walnutmill/clock.hpp>
#include <walnutmill/engine_speeds.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// Maximum numbers of entries in a sum. They bound what a node receives to
/// 2.1 KB a second (docs/CAPACITY.md).
constexpr std::size_t max_sum_figures = 24;
constexpr std::size_t max_sum_speeds = 50;
/// Maximum numbers of entries in a node's report. They bound what a node sends
/// to 0.8 KB a second.
constexpr std::size_t max_report_figures = 8;
constexpr std::size_t max_report_speeds = 20;
/// Shortest interval between two messages with machine figures, and between two
/// with speeds, from one node to another.
constexpr std::chrono::milliseconds figure_interval{100};
constexpr std::chrono::seconds speed_interval{1};
/// Age at which a machine figure is dropped.
constexpr std::chrono::milliseconds max_figure_age{1'000};

/// Elements 8 and 9 of a load message.
struct speed_report
{
    /// Unset if the message contains no statement about machines. In a sum,
    /// engines that are not named work as usual; an empty list says so of all.
    std::optional<std::vector<machine_figure>> figures{};
    std::vector<speed_sample> speeds{};
};

/// CBOR elements that follow the seventh element of a load message.
struct speed_elements
{
    std::string bytes{};
    /// 0 to 2.
    std::uint8_t count = 0;
};

/// \return no elements for an empty report; a null as the eighth element if
/// there are speeds only
speed_elements encode(speed_report const& report);
/// Decodes the content of the eighth element. Figures outside 1 to 10,000 are
/// skipped, and so are all beyond \c max_sum_figures.
/// \return empty if the bytes are malformed
std::optional<std::vector<machine_figure>>
decode_figures(std::string_view bytes);
/// Decodes the content of the ninth element, \c max_sum_speeds at most.
/// \return no speeds if the bytes are malformed
std::vector<speed_sample> decode_speeds(std::string_view bytes);

/// Chooses what a node's next report to the load aggregator contains.
class speed_reports
{
public:
    /// \return true if figures may be sent at this time
    bool due(time_point now) const;
    /// Chooses figures that were measured since the last report but one, so
    /// that each is sent twice in case a datagram is lost, and, once a second,
    /// speeds in turn. Call it if due() is true.
    /// \param figures the node's figures, none older than \c max_figure_age
    speed_report next(
        std::vector<machine_figure> figures, std::vector<speed_sample> speeds,
        time_point now);
    /// The next report contains figures regardless of those sent before.
    /// Intended for a change of the load aggregator.
    void repeat_figures();

private:
    std::vector<machine_figure>
    next_figures(std::vector<machine_figure> figures, time_point now);

    std::optional<time_point> reported_at_;
    std::optional<time_point> figures_at_;
    std::optional<time_point> former_figures_at_;
    std::optional<time_point> speeds_at_;
    std::uint32_t next_engine_ = 0;
};

/// Combines the machine figures and speeds that nodes reported.
class speed_summary
{
public:
    /// Adds a node's report. Of each engine the freshest figure is kept; the
    /// speeds replace those of the same node for the same engines.
    void
    add(std::string const& node, speed_report const& report, time_point now);
    /// Adds figures of another load aggregator's sum.
    void
    add_figures(std::vector<machine_figure> const& figures, time_point now);
    /// \return what is to be sent to the node now. It is empty if no figure
    /// was received within the last 10 s, and contains nothing that was sent
    /// to the node within \c figure_interval or \c speed_interval.
    speed_report next_for(std::string const& node, time_point now);

private:
    struct known_figure
    {
        std::uint32_t percent = 0;
        time_point measured_at{};
    };
    /// One node's sums for an engine, as of their arrival.
    struct known_speed
    {
        std::uint32_t engine = 0;
        float ratio = 0;
        float calls = 0;
        time_point at{};
    };
    struct recipient
    {
        std::optional<time_point> figures_at;
        std::optional<time_point> speeds_at;
        std::uint32_t next_engine = 0;
    };

    void add_speeds(
        std::string const& node, std::vector<speed_sample> const& speeds,
        time_point now);
    bool is_active(time_point now) const;
    std::vector<machine_figure> const& slowest(time_point now);
    std::vector<speed_sample> const& speed_sums(time_point now);
    void remove_expired(time_point now);

    std::unordered_map<std::uint32_t, known_figure> figures_;
    /// Speeds by node, in order of the engines' keys.
    std::unordered_map<std::string, std::vector<known_speed>> speeds_;
    std::unordered_map<std::string, recipient> recipients_;
    /// Time at which the freshest of all figures was measured.
    std::optional<time_point> latest_figure_at_;
    std::optional<time_point> expired_removed_at_;
    std::vector<machine_figure> slowest_;
    std::optional<time_point> slowest_at_;
    std::vector<speed_sample> speed_sums_;
    std::optional<time_point> speed_sums_at_;
};

} // namespace walnutmill

#endif

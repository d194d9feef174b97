#ifndef WALNUTMILL_ENGINE_SPEEDS_HPP
#define WALNUTMILL_ENGINE_SPEEDS_HPP

/// \file
/// Speeds of engines: how much longer than predicted an engine takes as a rule,
/// and how much slower its machine is at this moment.
///
/// Load pattern: three quarters of the engines take 2.2 times as long as the
/// others, and 15 % of the machines work 2.5 times as slowly for 600 ms at a
/// time. A node places about 7 turns a second on 56 engines, so by its own
/// calls it measures an engine once in 8 s. Without the figures of other nodes
/// it needs more than a minute to learn that an engine is half as fast, and
/// never learns that a machine is slow for 600 ms.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/routing_table.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// Decaying sums over the calls that an engine answered.
struct speed_sample
{
    /// Short key of the engine.
    std::uint32_t engine = 0;
    /// Sum of the ratios of measured to predicted duration, in hundredths.
    std::uint32_t ratio_hundredths = 0;
    /// Number of calls, in hundredths.
    std::uint32_t calls_hundredths = 0;
};

/// How long work takes on an engine's machine, as the engine reported it.
struct machine_figure
{
    /// Short key of the engine.
    std::uint32_t engine = 0;
    /// Duration of work in percent of the usual.
    std::uint32_t percent = 100;
    std::uint32_t age_ms = 0;
};

struct engine_speeds_options
{
    /// Time constant with which the effect of a machine figure fades: half the
    /// time for which machines are slow.
    duration figure_fade_time = std::chrono::milliseconds(300);
    /// Age at which a machine figure is forgotten.
    duration figure_max_age = std::chrono::seconds(1);
    /// Bounds of a figure's effect, so that a wrong one can neither exclude an
    /// engine nor draw all calls to it.
    double min_machine_slowdown = 0.25;
    double max_machine_slowdown = 10.0;
    /// Half-life of the measured durations.
    duration speed_half_life = std::chrono::seconds(4);
    /// Number of calls (decayed) from which the measured durations are used.
    double min_calls = 3.0;
    /// Time for which one machine figure keeps the feature on for a service.
    duration active_time = std::chrono::seconds(10);
};

/// Keeps what is known of the engines' speeds, from this node and from others.
/// A service takes part only after one of its engines reported a machine
/// figure; until then nothing is kept and all slowdowns are 1. Engines that are
/// not registered are ignored.
class engine_speeds
{
public:
    explicit engine_speeds(clock_fn clock, engine_speeds_options options = {});

    /// Replaces the registered engines. What is known of an engine that
    /// restarted or left is discarded.
    void set_engines(std::vector<engine_entry> const& engines);

    /// Records the figure that an engine reported to this node. A figure older
    /// than the one known, or beyond the maximum age, is ignored.
    /// \param percent duration of work in percent of the usual, 1 to 10,000;
    /// other values are ignored
    /// \param age time since the engine's answer arrived
    void report_machine(
        target_name const& engine, std::uint32_t percent,
        duration age = duration(0));
    /// Records an answered call of this node.
    /// \param ratio its measured duration by the predicted one, with the
    /// machine's slowdown divided out
    void record_call(target_name const& engine, double ratio);

    /// Replaces the figures from other nodes. Engines that are not named work
    /// as usual, as far as other nodes know.
    void set_cluster_figures(std::vector<machine_figure> const& figures);
    /// Replaces the sums over the calls of all nodes, this one included, for
    /// the engines named.
    void set_cluster_speeds(std::vector<speed_sample> const& speeds);

    /// \return the figures that engines reported to this node within the
    /// maximum age, figures of 100 included, ordered by engine
    std::vector<machine_figure> own_figures() const;
    /// \return the sums over this node's calls, ordered by engine. They are
    /// left out where no machine figure arrived within \c active_time, so that
    /// nodes don't keep the feature on by exchanging sums only.
    std::vector<speed_sample> own_speeds() const;

    /// \return how many times longer than usual work takes on the engine's
    /// machine now; 1 where nothing is known
    double machine_slowdown(target_name const& engine) const;
    /// \return the expected slowdown over a call that begins now. A slow period
    /// is assumed to end at a random time, after \c figure_fade_time on
    /// average, so a long call is slowed for a part of its time only. \param
    /// usual_time duration of the call on a machine that works as usual
    double expected_machine_slowdown(
        target_name const& engine, duration usual_time) const;
    /// \return the slowdown that held over a call which ended just now: the
    /// ratio of its time to the time that its work takes usually
    /// \param took duration of the call
    double
    machine_slowdown_during(target_name const& engine, duration took) const;
    /// \return the mean ratio of measured to predicted duration; empty if it
    /// rests on too few calls
    std::optional<double> base_slowdown(target_name const& engine) const;
    /// \return true if a machine figure of one of the service's engines arrived
    /// recently, at this node or at others
    bool active(service_name const& service) const;

private:
    struct figure
    {
        time_point at{};
        std::uint32_t percent = 100;
    };
    /// Sums as of \c at.
    struct speed_sums
    {
        double ratio = 0;
        double calls = 0;
        time_point at{};
    };
    struct engine_record
    {
        service_name service;
        engine_incarnation incarnation;
        std::uint32_t key = 0;
        /// Time at which a restart was detected; the epoch if never.
        time_point restarted_at{};
        std::optional<figure> own_figure;
        std::optional<figure> cluster_figure;
        /// Figures of the last calls' duration, oldest first.
        std::vector<figure> recent_figures;
        speed_sums own_sums;
        speed_sums cluster_sums;
    };
    struct service_record
    {
        /// Arrival of the last machine figure, at any node.
        std::optional<time_point> figure_at;
        /// Arrival of the last sums from other nodes.
        std::optional<time_point> sums_at;
    };

    engine_record* find(target_name const& engine);
    engine_record const* find(target_name const& engine) const;
    engine_record* find_key(std::uint32_t key);
    speed_sums decayed(speed_sums const& sums) const;
    double effect_of(figure const& one, duration distance) const;
    static figure const* latest_figure(engine_record const& record);
    void note_figure(engine_record& record, figure const& one) const;
    void discard_cluster_figure(engine_record& record) const;
    bool has_recent_figure(service_name const& service) const;

    clock_fn clock_;
    engine_speeds_options options_;
    std::unordered_map<target_name, engine_record> engines_;
    std::unordered_map<std::uint32_t, target_name> by_key_;
    std::unordered_map<service_name, service_record> services_;
};

} // namespace walnutmill

#endif

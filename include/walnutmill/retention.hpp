#ifndef WALNUTMILL_RETENTION_HPP
#define WALNUTMILL_RETENTION_HPP

/// \file
/// What becomes of a program's cache while it waits for a tool.
///
/// Load pattern: tool pauses with heavy tails. Without it the cache is kept
/// until something else needs the room, so engines hold memory for programs
/// that come back late or never, and evict those that come back soon.
///
/// The time to hold minimizes the expected cost under the pauses observed
/// for the tool: waste_weight * memory * seconds held, and latency_weight *
/// seconds of prefill when the pause outlasts the hold. Where too little was
/// observed it holds until the holding has cost as much as the prefill,
/// which is at most twice the best in hindsight (ski rental; Karlin 1988).

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace walnutmill
{

/// The pauses seen of each tool, as histograms on a logarithmic scale that
/// forget old pauses. Not thread-safe.
class pause_statistics
{
public:
    pause_statistics();
    ~pause_statistics();
    pause_statistics(pause_statistics const&) = delete;
    pause_statistics& operator=(pause_statistics const&) = delete;

    /// A program came back after a tool's pause.
    void observe(std::string_view tool, duration pause);
    /// A program never came back; counted as longer than any hold.
    void observe_lost(std::string_view tool);
    /// \return pauses seen, old ones counting less; zero for a new tool.
    double samples(std::string_view tool) const;
    /// \return part of the pauses that last longer.
    double longer_than(std::string_view tool, duration time) const;
    /// \return the pause that the part `p` of all does not exceed; the
    /// longest that is told apart when it is unknown.
    duration quantile(std::string_view tool, double p) const;

private:
    friend class retention;
    class implementation;
    std::unique_ptr<implementation> impl_;
};

enum class retention_action
{
    keep,
    /// Export it, and import it at retention_request::other.
    move,
    drop
};

enum class retention_reason
{
    /// Holding is cheaper than prefilling again, by the pauses seen.
    expected_return,
    /// Few pauses seen: hold while it costs less than the prefill.
    unknown_tool,
    /// The engine is short of memory and another is not.
    memory_pressure,
    /// The target is leaving.
    target_leaving,
    /// Prefilling again is cheaper.
    not_worth_holding,
    /// The program has ended.
    program_ended
};
std::string_view to_string(retention_action action);
std::string_view to_string(retention_reason reason);

/// A program's cache at the start of a pause.
struct retention_request
{
    /// The tool called, or empty when it is not known.
    std::string tool;
    std::uint32_t cached_tokens = 0;
    /// Part of the engine's cache memory in use, 0 to 1.
    double memory_pressure = 0.0;
    /// Tokens that the engine's cache can hold.
    std::uint64_t cache_capacity = 0;
    bool program_ended = false;
    bool target_leaving = false;
    /// Another engine that could take the cache; empty when there is none.
    target_name other;
    double other_pressure = 0.0;
    /// As in service_config.
    double latency_weight = 1.0;
    double waste_weight = 1.0;
};

struct retention_decision
{
    retention_action action = retention_action::drop;
    retention_reason reason = retention_reason::not_worth_holding;
    /// How long to hold it; goes to the engine as hold_ms.
    std::chrono::milliseconds hold{0};
    /// Expected cost of this decision, in weighted seconds.
    double cost = 0.0;
};

struct retention_options
{
    /// Pauses of a tool to see before they are relied on: with 20 the
    /// standard error of any quantile's rank is at most 0.11.
    double least_samples = 20.0;
    /// Seconds of prefill per token.
    double prefill_seconds = 0.0002;
    /// Seconds per token to export, send and import; the link carries a
    /// token's cache several times faster than the engine computes it.
    double move_seconds = 0.00005;
    /// Seconds of latency that holding the whole cache for a second is
    /// worth, without and at full memory pressure. At full pressure each
    /// token held evicts one that another program would have used.
    double idle_price = 0.02;
    double full_price = 0.2;
    /// Pressure from which holding gets dearer, and from which it moves.
    double pressure_from = 0.7;
    double move_from = 0.9;
    std::chrono::milliseconds longest_hold{600'000};
};

/// Decides on one program's cache. Pure but for the statistics it reads.
class retention
{
public:
    explicit retention(
        pause_statistics const& pauses, retention_options options = {});

    retention_decision decide(retention_request const& request) const;

private:
    double price(retention_request const& request, double pressure) const;
    retention_decision
    best_hold(retention_request const& request, double pressure) const;
    retention_decision
    break_even(retention_request const& request, double pressure) const;
    retention_decision
    held_at(retention_request const& request, double pressure) const;
    retention_decision
    hold_for(double seconds, double cost, retention_reason reason) const;
    retention_decision moved(retention_request const& request) const;
    double prefill_cost(retention_request const& request) const;

    pause_statistics const& pauses_;
    retention_options options_;
};

} // namespace walnutmill

#endif

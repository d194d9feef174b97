#ifndef WALNUTMILL_BENCH_BACKENDS_HPP
#define WALNUTMILL_BENCH_BACKENDS_HPP

/// \file
/// The engines and plain services of a run with their late reports, faults
/// and power.

#include "bench_scenario.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace walnutmill::bench
{

/// Engines use power while they wake, serve and drain.
struct power_usage
{
    double engine_seconds = 0.0;
    std::uint32_t orders = 0;
    /// Calls that a stop cut off.
    std::uint32_t cut_calls = 0;
};

class backends
{
public:
    struct hooks
    {
        std::function<void(engine_index, engine_outcome const&)> ended;
        std::function<void(std::uint64_t id)> first_token;
    };

    backends(event_queue& events, scenario const& of, hooks call_hooks);

    /// The call arrives there after one way of the network.
    void send(engine_index to, engine_call const& call);
    void cancel(engine_index at, std::uint64_t id);
    void release(engine_index at, cache_key key);
    void hold(engine_index at, cache_key key, duration length);
    /// Exports from one engine and imports at the other.
    void
    move(engine_index from, engine_index to, cache_key key, duration length);

    void apply(fault const& what);
    void order(power_step const& step);
    power_view power() const;
    power_usage const& usage();
    /// Token-seconds over all engines so far.
    cache_usage idle_cache() const;

    /// \return the reports that nodes see now.
    reports const& seen() const { return history_.front(); }
    engine_load load(engine_index at) const;
    /// Whether it serves, and at its usual speed.
    bool in_service(engine_index at) const;

private:
    struct backend
    {
        std::unique_ptr<engine> model;
        power_view::power state = power_view::power::serving;
        time_point since;
        /// It reports what the engine before it does.
        bool slow = false;
    };

    void publish();
    void set_state(backend& of, power_view::power state);
    void count_power();

    event_queue& events_;
    scenario const& scenario_;
    hooks hooks_;
    std::vector<backend> all_;
    std::deque<reports> history_;
    power_usage usage_;
    time_point counted_;
};

} // namespace walnutmill::bench

#endif

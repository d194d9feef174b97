#ifndef WALNUTMILL_TARGET_STATE_HPP
#define WALNUTMILL_TARGET_STATE_HPP

/// \file
/// What one node knows of one target: its load as estimated and its latency
/// against its peers.

#include <walnutmill/placement.hpp>

#include <map>

namespace walnutmill
{

/// A call under way at a target.
struct flight
{
    sent_call call;
    time_point sent;
    time_point first_token;
    bool started = false;
    bool probe = false;
    /// Load of the target per slot when it was sent.
    double load = 0.0;
};

class target_state
{
public:
    explicit target_state(placement_options const& options) : options_(&options)
    {
    }

    void take_report(target_view const& view, time_point now);
    target_view const& view() const noexcept { return view_; }
    bool reported() const noexcept { return reported_; }

    /// Whether it is in service with the model and adapter of the pool.
    bool available(placement_pool const& pool) const;
    /// Whether a slot is free, as far as is known.
    bool has_room(double peer_ratio) const;
    /// Whether it takes one more call whose cache it has.
    bool takes_home_call(double peer_ratio) const;
    /// Calls there: the report, own ones, and what others sent since.
    double load(double peer_ratio) const;
    duration report_age(time_point now) const;

    void add_flight(sent_ticket ticket, flight item);
    /// Own calls under way, in the order of sending.
    std::map<sent_ticket, flight>& flights() noexcept { return flights_; }
    std::uint32_t in_flight() const noexcept;

    /// Takes in the logarithm of a latency against the peers' median.
    void take_sample(double log_ratio);
    double slowness() const;
    bool is_outlier() const;
    /// Whether the three oldest calls are overdue against the peers.
    /// \return how many times the expected time the third one takes; zero
    /// when they are not.
    double overdue(double peer_seconds_factor, time_point now) const;

    void fail() { ++failures_; }
    void succeed() { failures_ = 0; }
    bool failing() const { return failures_ >= options_->max_failures; }

    void enter_probation(time_point now);
    /// Takes in the end of a probe. \return whether the target recovered.
    bool end_probe(bool good, time_point now);
    void start_probe(time_point now);
    target_health health() const noexcept { return health_; }
    time_point next_probe() const noexcept { return next_probe_; }

private:
    bool in_service() const;
    /// Forgets what was measured; the target may be another one now.
    void start_afresh();

    placement_options const* options_;
    target_view view_;
    bool reported_ = false;
    time_point taken_at_;
    std::uint32_t own_in_report_ = 0;
    std::map<sent_ticket, flight> flights_;
    double log_ratio_ = 0.0;
    std::uint32_t samples_ = 0;
    std::uint32_t failures_ = 0;
    target_health health_ = target_health::healthy;
    time_point next_probe_;
    duration probe_interval_{0};
    std::uint32_t good_probes_ = 0;
};

/// \return seconds that the engine takes to prefill what it has not cached.
double prefill_seconds(placement_options const& options, sent_call const& call);

/// \return seconds that a call takes on an engine of usual speed at that
/// load per slot.
double expected_seconds(
    placement_options const& options, sent_call const& call, double load);

} // namespace walnutmill

#endif

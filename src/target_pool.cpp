#include "target_pool.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{

namespace
{

// A step of the running median of the peers' latencies, as a logarithm: it
// follows a change by half within some 20 samples.
constexpr double median_step = 0.03;

} // namespace

pool_place& pooled_target::place_in(target_pool const& pool)
{
    return *std::find_if(
        places.begin(), places.end(),
        [&](pool_place const& place) { return place.pool == &pool; });
}

bool pooled_target::is_usable_in(target_pool const& pool) const
{
    return std::any_of(
        places.begin(), places.end(),
        [&](pool_place const& place) {
            return place.pool == &pool && place.available &&
                   !place.on_probation;
        });
}

target_pool::target_pool(placement_pool config) : config_(std::move(config)) {}

pooled_target* target_pool::due_probe(time_point now) const
{
    if (probes_.empty() || probes_.begin()->at > now)
        return nullptr;
    return probes_.begin()->target;
}

bool target_pool::may_eject(double max_part) const
{
    auto ejected = static_cast<double>(probes_.size() + 1);
    return ejected <= max_part * static_cast<double>(available_);
}

void target_pool::leave(pooled_target& target, pool_place& place)
{
    if (place.open_at != pool_place::none)
    {
        // The last one takes the free place.
        auto* last = open_.back();
        open_[place.open_at] = last;
        last->place_in(*this).open_at = place.open_at;
        open_.pop_back();
        place.open_at = pool_place::none;
    }
    if (place.on_probation)
        probes_.erase({place.probe_at, &target});
    if (place.available)
        --available_;
    place.on_probation = false;
    place.available = false;
}

void target_pool::refresh(
    pooled_target& target, pool_place& place, double peer_ratio)
{
    leave(target, place);
    place.available = target.state.available(config_);
    if (!place.available)
        return;
    ++available_;
    if (target.state.health() == target_health::probation)
    {
        place.on_probation = true;
        place.probe_at = target.state.next_probe();
        probes_.insert({place.probe_at, &target});
    }
    else if (target.state.has_room(peer_ratio))
    {
        place.open_at = open_.size();
        open_.push_back(&target);
    }
}

void target_pool::take_sample(double log_ratio)
{
    if (!measured_)
        median_ = log_ratio;
    measured_ = true;
    median_ += log_ratio > median_ ? median_step : -median_step;
}

} // namespace walnutmill

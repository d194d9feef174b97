#ifndef WALNUTMILL_TARGET_POOL_HPP
#define WALNUTMILL_TARGET_POOL_HPP

/// \file
/// The targets of one service, arranged so that a choice among them does not
/// depend on their number.

#include "target_state.hpp"

#include <cstddef>
#include <set>
#include <vector>

namespace walnutmill
{

class target_pool;

/// A target's place in one pool.
struct pool_place
{
    target_pool* pool = nullptr;
    /// Index among the open targets; `none` when it is not open.
    std::size_t open_at = none;
    /// Whether it serves the pool's model and is in service.
    bool available = false;
    bool on_probation = false;
    time_point probe_at;

    static constexpr std::size_t none = static_cast<std::size_t>(-1);
};

/// A target and its places in pools.
struct pooled_target
{
    explicit pooled_target(placement_options const& options) : state(options) {}

    pool_place& place_in(target_pool const& pool);
    /// Whether it serves the pool and is healthy, also when it is full.
    bool is_usable_in(target_pool const& pool) const;

    target_state state;
    std::vector<pool_place> places;
};

class target_pool
{
public:
    explicit target_pool(placement_pool config);

    placement_pool const& config() const noexcept { return config_; }
    std::size_t available() const noexcept { return available_; }
    /// Healthy targets with room.
    std::vector<pooled_target*> const& open() const noexcept { return open_; }
    /// \return a target on probation that may get a probe, or nullptr.
    pooled_target* due_probe(time_point now) const;
    /// Whether one more target may be put on probation.
    bool may_eject(double max_part) const;

    /// Puts the target where its state says.
    void refresh(pooled_target& target, pool_place& place, double peer_ratio);
    void leave(pooled_target& target, pool_place& place);

    /// Logarithm of the peers' median latency against the expected one.
    double median() const noexcept { return median_; }
    void take_sample(double log_ratio);

private:
    struct probe_key
    {
        time_point at;
        pooled_target* target;
        friend bool operator<(probe_key const& a, probe_key const& b)
        {
            return a.at != b.at ? a.at < b.at : a.target < b.target;
        }
    };

    placement_pool config_;
    std::vector<pooled_target*> open_;
    std::set<probe_key> probes_;
    std::size_t available_ = 0;
    double median_ = 0.0;
    bool measured_ = false;
};

} // namespace walnutmill

#endif

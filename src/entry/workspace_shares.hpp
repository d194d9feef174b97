#ifndef WALNUTMILL_SRC_ENTRY_WORKSPACE_SHARES_HPP
#define WALNUTMILL_SRC_ENTRY_WORKSPACE_SHARES_HPP

/// \file
/// Shifts the thresholds of admission control by how much of its limit each
/// workspace uses.
///
/// Load pattern: one workspace sends many times its usual rate, still within
/// its request limit, and fills the model engines. Without shares the new
/// programs of all workspaces are refused with the same probability, so those
/// that send no more than usual pay for the demand of another one.
///
/// A workspace's use is the part of its limit's rate that its coordinator has
/// granted lately (`quota_coordinator`). It is compared with the mean use of
/// the workspaces whose requests this node has seen. Each workspace counts once
/// in the mean, so a large one does not define what is usual.
///
/// Workspaces below the mean are refused from a higher load on. For those above
/// it, the range of loads in which refusals grow from none to all becomes
/// narrower; it starts where it starts for all. Raising the thresholds of those
/// below the mean alone fills the engines' queues, so that more programs of all
/// workspaces are late (docs/design/workspace-shares.md). Refused requests do
/// not count as use, so the use of a workspace that is refused often falls to
/// the mean and refusals end there.

#include "entry/admission_control.hpp"

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace walnutmill
{

struct workspace_shares_options
{
    /// Time for which the last known use of a workspace counts.
    duration use_lifetime = std::chrono::seconds(5);
    /// Workspaces remembered; the one seen least recently is forgotten first.
    std::size_t max_workspaces = 4'096;
    /// Increases of `refusal_start_load` and `full_refusal_load` for a
    /// workspace that uses nothing; in proportion between that and the mean.
    double max_start_increase = 0.3;
    double max_full_increase = 0.15;
    /// Above the mean, the range between both thresholds is divided by the
    /// relative use raised to this exponent. With 4, the load settles at 1.05
    /// calls per slot in a burst and twice as many programs of the other
    /// workspaces are late as with 8, where it settles at 1.02.
    double range_exponent = 8;
    /// Least range, as a part of the usual one.
    double min_range = 0.05;
    /// Number of requests in the time over which the use is counted, if the
    /// workspace used as much of its limit as the mean, at which an excess
    /// above the mean counts half. Few requests exceed the mean by chance: with
    /// 6, 22 of 100 programs of small workspaces are refused where all send
    /// more than usual, 13 with 31, 12 without shares.
    double uncertain_requests = 31;
};

/// What one node knows of the use of workspaces. Holds some 200 bytes for each
/// of them.
class workspace_shares
{
public:
    explicit workspace_shares(workspace_shares_options options = {});

    /// While disabled, nothing is recorded and no threshold is shifted.
    void set_enabled(bool enabled);
    bool enabled() const { return enabled_; }

    /// Records what a workspace's coordinator reported.
    /// \param use in thousandths of the rate of the limit
    void record_use(
        workspace_name const& owner, std::uint32_t use, rate_limit const& limit,
        time_point now);

    /// \return the use in thousandths; empty if unknown
    std::optional<std::uint32_t>
    use_of(workspace_name const& owner, time_point now);

    /// \return the mean use of all known workspaces in thousandths; 0 if none
    /// is known
    double mean_use(time_point now);

    /// \return the use relative to the mean, 1 at the mean; empty if it is
    /// unknown, or if fewer than two workspaces are known
    std::optional<double>
    relative_use(workspace_name const& owner, time_point now);

    /// \return the thresholds for new programs of the workspace; `usual`
    /// itself where the relative use is unknown. `refusal_start_load` is never
    /// below the usual one.
    admission_control_options admission_options(
        workspace_name const& owner, time_point now,
        admission_control_options const& usual = {});

    /// \return the number of workspaces whose use is known
    std::size_t known(time_point now);

private:
    struct entry
    {
        workspace_name owner;
        std::uint32_t use = 0;
        double limit_per_second = 0;
        time_point reported_at{};
    };
    using entries = std::list<entry>;

    void forget_old(time_point now);
    double certain_excess(double relative_use, entry const& of) const;
    void forget_oldest();

    workspace_shares_options options_;
    bool enabled_ = false;
    /// Least recently reported first.
    entries reports_;
    std::unordered_map<workspace_name, entries::iterator> by_owner_;
    /// Sum of the uses of all entries.
    std::uint64_t sum_ = 0;
};

} // namespace walnutmill

#endif

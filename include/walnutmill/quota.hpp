#ifndef WALNUTMILL_QUOTA_HPP
#define WALNUTMILL_QUOTA_HPP

/// \file
/// Token buckets that enforce a workspace's rate limit over all nodes.
///
/// Load: most workspaces make a few requests per second spread over hundreds of
/// nodes, a few make hundreds per second, and any of them may exceed its limit.
/// With a fixed share per node, small workspaces would be refused far below
/// their limits. Therefore one node per workspace, its coordinator, holds the
/// token bucket in memory and decides each request. A coordinator that takes
/// over from a lost one does not know what was granted before, so its bucket
/// starts with a small part of the burst.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace walnutmill
{

/// Upper bound on how far all nodes together may exceed a workspace's rate
/// limit: a window may grant `limit * (1 + excess_fraction) + slack` requests,
/// where `limit` is the rate times the window plus the burst.
struct quota_bounds
{
    /// Length of the sliding window; zero: the excess is not checked.
    duration window{0};
    /// Allowed excess as a fraction of the limit.
    double excess_fraction = 0;
    /// Allowed excess in requests, in addition to the fraction.
    double slack = 0;
};

enum class quota_decision
{
    granted,
    over_limit,
    /// No coordinator is reachable.
    undecided
};

struct quota_answer
{
    quota_decision decision = quota_decision::undecided;
    /// Delay until a refused request can expect a token.
    std::chrono::milliseconds retry_after{0};
    /// Use of the workspace before this request: granted requests per second,
    /// in thousandths of the rate of its limit. Empty if unknown or not
    /// reported.
    std::optional<std::uint32_t> use{};
};

/// Rate-limit request: a workspace asks for one token.
struct quota_request
{
    workspace_name owner;
    /// From the newest known configuration; a lower limit applies at once.
    rate_limit limit;
};

/// \return the tokens of a new bucket, whose earlier grants are unknown.
double initial_tokens(rate_limit const& limit, quota_bounds const& bounds);

/// \return the tokens of a full bucket: the burst plus a part of the allowed
/// excess.
double bucket_capacity(rate_limit const& limit, quota_bounds const& bounds);

/// The token buckets of the workspaces that this node coordinates.
class quota_coordinator
{
public:
    explicit quota_coordinator(
        quota_bounds bounds, std::size_t max_buckets = 4'096);

    void set_bounds(quota_bounds bounds) { bounds_ = bounds; }

    /// Sets whether answers report the use of the workspace. The use is unknown
    /// for 2 s after this is enabled, after a bucket is created, and after this
    /// node was stalled.
    void set_reports_use(bool enabled);
    bool reports_use() const { return reports_use_; }

    /// Grants or refuses one request.
    /// \param share reachable share of members, 0 to 1; scales the refill,
    /// since unreachable members may use another coordinator
    /// \return the decision; with `over_limit`, also when to retry
    quota_answer
    acquire(quota_request const& request, time_point now, double share = 1);

    /// Counts the answer of another node to a request in this node's bucket, so
    /// that this node can go on from there as the coordinator.
    void observe(
        quota_request const& request, quota_decision decision, time_point now,
        double share = 1);

    /// Refills all buckets. Call it a few times per second, so that each refill
    /// uses the share of its own interval. A pause of 1 s or more means that
    /// this node was stalled and another one may have been the coordinator, so
    /// no tokens are added for it.
    void tick(time_point now, double share);

    /// Limits the buckets of workspaces that another node coordinates and that
    /// this one was not asked for lately: if it becomes their coordinator
    /// again, they hold no more tokens than new buckets. Erases them after a
    /// window.
    void retire_if(
        std::function<bool(workspace_name const&)> const& is_remote,
        time_point now);

    /// Returns the token of a granted request that never reached an engine.
    /// Such a request does not count as use.
    void refund(workspace_name const& owner);

    std::size_t size() const { return buckets_.size(); }

private:
    struct bucket
    {
        rate_limit limit;
        double tokens = 0;
        time_point refilled_at{};
        /// Time of the latest request.
        time_point used_at{};
        /// Another node may have granted requests since the latest one.
        bool retired = false;
        /// Time at which the latest refused request can expect a token.
        time_point next_retry_at{};
        /// Granted requests, decaying, as of `counted_at`. Counted only while
        /// the use is reported.
        double recent_grants = 0;
        time_point counted_at{};
        /// Start of the count; zero: not started.
        time_point counted_since{};
        /// Time of the latest answer with a use.
        time_point use_reported_at{};
        std::list<workspace_name>::iterator lru_position;
    };

    bucket&
    find_or_create(quota_request const& request, time_point now, double share);
    void refill(
        bucket& entry, rate_limit const& limit, time_point now,
        double share) const;
    static void decay_grants(bucket& entry, time_point now);
    static std::optional<std::uint32_t>
    use_of(bucket const& entry, time_point now, double share);
    quota_answer
    decide(bucket& entry, quota_request const& request, time_point now);

    quota_bounds bounds_;
    bool reports_use_ = false;
    std::size_t max_buckets_;
    time_point last_tick_{};
    std::unordered_map<workspace_name, bucket> buckets_;
    /// Least recently used first.
    std::list<workspace_name> lru_;
};

} // namespace walnutmill

#endif

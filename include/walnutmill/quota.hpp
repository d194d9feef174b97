#ifndef WALNUTMILL_QUOTA_HPP
#define WALNUTMILL_QUOTA_HPP

/// \file
/// How many requests a workspace may make through all nodes together.
///
/// Load pattern: most workspaces make a few requests a second over hundreds of
/// nodes, a few make hundreds, and any may go over its limit. A fixed share a
/// node refuses small workspaces far below their limits. So one node, the
/// coordinator of a workspace, holds its token bucket in memory and is asked
/// for each request. A coordinator without a past, as its predecessor was lost,
/// starts with a small part of a burst: what was granted before is not known.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace walnutmill
{

/// By how much all nodes together may exceed a workspace's limit.
struct quota_bounds
{
    /// Over which requests are counted; zero: not judged.
    duration window{0};
    /// Part of the limit.
    double over = 0;
    /// Requests besides.
    double slack = 0;
};

enum class quota_decision
{
    granted,
    over_limit,
    /// No node that may decide can be reached.
    undecided
};

struct quota_answer
{
    quota_decision decision = quota_decision::undecided;
    /// When a refused request will find room.
    std::chrono::milliseconds retry_after{0};
};

/// Who asks for one request.
struct quota_request
{
    workspace_name owner;
    /// As of the newest configuration; a lower one binds at once.
    rate_limit limit;
};

/// \return the requests that a coordinator without a past grants at once.
double first_tokens(rate_limit const& limit, quota_bounds const& bounds);

/// \return the requests that a full bucket grants at once: the burst, and a
/// part of what the limit may be exceeded by.
double bucket_capacity(rate_limit const& limit, quota_bounds const& bounds);

/// The token buckets of the workspaces that this node coordinates.
class quota_coordinator
{
public:
    explicit quota_coordinator(
        quota_bounds bounds, std::size_t most_buckets = 4'096);

    void set_bounds(quota_bounds bounds) { bounds_ = bounds; }

    /// Grants or refuses one request.
    /// \param share part of the nodes that this one can reach, 0 to 1: others
    /// may be coordinated elsewhere meanwhile
    quota_answer
    take(quota_request const& one, time_point now, double share = 1);

    /// Refills all buckets; call it a few times a second, so that each refill
    /// goes by the share of its own time. After a longer pause, in which this
    /// node stood still and another one coordinated, nothing is refilled.
    void tick(time_point now, double share);

    /// Drops the buckets of workspaces that another node coordinates by now:
    /// taken up again, they start without a past.
    void drop_if(std::function<bool(workspace_name const&)> const& elsewhere);

    /// A granted request was refused before any engine had it.
    void give_back(workspace_name const& owner);

    std::size_t size() const { return buckets_.size(); }

private:
    struct bucket
    {
        rate_limit limit;
        double tokens = 0;
        time_point filled_at{};
        /// When the refused request that comes last finds room.
        time_point room_at{};
        std::list<workspace_name>::iterator use;
    };

    bucket& find(quota_request const& one, time_point now, double share);
    void fill(
        bucket& one, rate_limit const& limit, time_point now,
        double share) const;

    quota_bounds bounds_;
    std::size_t most_buckets_;
    time_point ticked_at_{};
    std::unordered_map<workspace_name, bucket> buckets_;
    /// Least recently used first.
    std::list<workspace_name> uses_;
};

} // namespace walnutmill

#endif

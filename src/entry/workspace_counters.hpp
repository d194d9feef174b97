#ifndef WALNUTMILL_SRC_ENTRY_WORKSPACE_COUNTERS_HPP
#define WALNUTMILL_SRC_ENTRY_WORKSPACE_COUNTERS_HPP

/// \file
/// Counts the requests of each workspace by the decision of its rate limit, and
/// its new programs by what its share decided about them. The number of
/// workspace labels is bounded.

#include <walnutmill/metrics.hpp>
#include <walnutmill/quota.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>

namespace walnutmill
{

std::string_view to_string(quota_decision decision);

/// Decision about a new program while the engines are full, by the share of its
/// workspace.
enum class share_decision
{
    /// Admitted at a load at which it would have been refused without shares.
    admitted_by_share,
    /// Refused, and would have been refused without shares.
    refused,
    /// Refused at a load at which it would have been admitted without shares.
    refused_by_share
};

std::string_view to_string(share_decision decision);

class workspace_counters
{
public:
    /// \param max_labels number of workspaces with their own label; the first
    /// ones seen get it, all others are counted as "other"
    explicit workspace_counters(metrics& counters, std::size_t max_labels = 100)
        : counters_(counters), max_labels_(max_labels)
    {
    }

    void count(workspace_name const& owner, quota_decision decision);
    void count(workspace_name const& owner, share_decision decision);

private:
    std::string label_of(workspace_name const& owner);

    metrics& counters_;
    std::size_t max_labels_;
    std::unordered_set<std::string> labelled_workspaces_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_WORKSPACE_COUNTERS_HPP
#define WALNUTMILL_SRC_ENTRY_WORKSPACE_COUNTERS_HPP

/// \file
/// Counts the requests of each workspace by the decision of its rate limit. The
/// number of workspace labels is bounded.

#include <walnutmill/metrics.hpp>
#include <walnutmill/quota.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>

namespace walnutmill
{

std::string_view to_string(quota_decision decision);

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

private:
    metrics& counters_;
    std::size_t max_labels_;
    std::unordered_set<std::string> labelled_workspaces_;
};

} // namespace walnutmill

#endif

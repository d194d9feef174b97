#ifndef WALNUTMILL_SRC_ENTRY_WORKSPACE_COUNTERS_HPP
#define WALNUTMILL_SRC_ENTRY_WORKSPACE_COUNTERS_HPP

/// \file
/// Counts the requests of each workspace by what its limit said, with a bounded
/// number of labels.

#include <walnutmill/metrics.hpp>
#include <walnutmill/quota.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>

namespace walnutmill
{

std::string_view to_string(quota_decision one);

class workspace_counters
{
public:
    /// \param most_labels workspaces with a label of their own: those that came
    /// first; all others count as "other"
    explicit workspace_counters(
        metrics& counters, std::size_t most_labels = 100)
        : counters_(counters), most_labels_(most_labels)
    {
    }

    void count(workspace_name const& owner, quota_decision decision);

private:
    metrics& counters_;
    std::size_t most_labels_;
    std::unordered_set<std::string> labels_;
};

} // namespace walnutmill

#endif

#include "entry/workspace_counters.hpp"

namespace walnutmill
{
namespace
{

/// Characters that end a label's value, or escape in it.
bool is_plain(std::string const& text)
{
    return text.find_first_of("\"\\\n") == std::string::npos;
}

} // namespace

std::string_view to_string(quota_decision one)
{
    switch (one)
    {
    case quota_decision::granted:
        return "granted";
    case quota_decision::over_limit:
        return "over_limit";
    case quota_decision::undecided:
        break;
    }
    return "undecided";
}

void workspace_counters::count(
    workspace_name const& owner, quota_decision decision)
{
    auto const& name = owner.str();
    auto labelled = labels_.count(name) > 0;
    if (!labelled && labels_.size() < most_labels_ && is_plain(name))
        labelled = labels_.insert(name).second;
    counters_.count(
        "walnutmill_workspace_requests_total{workspace=\"" +
        (labelled ? name : "other") + "\",quota=\"" +
        std::string(to_string(decision)) + "\"}");
}

} // namespace walnutmill

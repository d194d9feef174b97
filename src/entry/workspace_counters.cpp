#include "entry/workspace_counters.hpp"

namespace walnutmill
{
namespace
{

/// \return false if the text holds a character that would have to be escaped in
/// a label value.
bool needs_no_escape(std::string const& text)
{
    return text.find_first_of("\"\\\n") == std::string::npos;
}

} // namespace

std::string_view to_string(quota_decision decision)
{
    switch (decision)
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

std::string_view to_string(share_decision decision)
{
    switch (decision)
    {
    case share_decision::admitted_by_share:
        return "admitted_by_share";
    case share_decision::refused_by_share:
        return "refused_by_share";
    case share_decision::refused:
        break;
    }
    return "refused";
}

std::string workspace_counters::label_of(workspace_name const& owner)
{
    auto const& name = owner.str();
    auto has_label = labelled_workspaces_.count(name) > 0;
    if (!has_label && labelled_workspaces_.size() < max_labels_ &&
        needs_no_escape(name))
        has_label = labelled_workspaces_.insert(name).second;
    return has_label ? name : "other";
}

void workspace_counters::count(
    workspace_name const& owner, quota_decision decision)
{
    counters_.count(
        "walnutmill_workspace_requests_total{workspace=\"" + label_of(owner) +
        "\",quota=\"" + std::string(to_string(decision)) + "\"}");
}

void workspace_counters::count(
    workspace_name const& owner, share_decision decision)
{
    counters_.count(
        "walnutmill_workspace_starts_total{workspace=\"" + label_of(owner) +
        "\",decision=\"" + std::string(to_string(decision)) + "\"}");
}

} // namespace walnutmill

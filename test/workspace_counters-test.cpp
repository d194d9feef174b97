#include "entry/workspace_counters.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;

std::string starts(std::string const& workspace, std::string const& decision)
{
    return "walnutmill_workspace_starts_total{workspace=\"" + workspace +
           "\",decision=\"" + decision + "\"}";
}

} // namespace

TEST_CASE("workspace counters: decisions by share are counted by workspace")
{
    metrics counters;
    workspace_counters by_workspace(counters);
    workspace_name const archive("archive");
    by_workspace.count(archive, share_decision::admitted_by_share);
    by_workspace.count(archive, share_decision::refused);
    by_workspace.count(archive, share_decision::refused_by_share);
    by_workspace.count(archive, share_decision::refused_by_share);
    CHECK(counters.counter(starts("archive", "admitted_by_share")) == 1);
    CHECK(counters.counter(starts("archive", "refused")) == 1);
    CHECK(counters.counter(starts("archive", "refused_by_share")) == 2);
}

// Guards against metrics that grow with the number of workspaces.
TEST_CASE("workspace counters: both metrics share a bounded set of labels")
{
    metrics counters;
    workspace_counters by_workspace(counters, 2);
    by_workspace.count(workspace_name("a"), quota_decision::granted);
    by_workspace.count(workspace_name("b"), share_decision::refused);
    by_workspace.count(workspace_name("c"), share_decision::refused);
    by_workspace.count(workspace_name("a"), share_decision::refused);
    CHECK(counters.counter(starts("a", "refused")) == 1);
    CHECK(counters.counter(starts("b", "refused")) == 1);
    CHECK(counters.counter(starts("other", "refused")) == 1);
    CHECK(counters.counter(starts("c", "refused")) == 0);
}

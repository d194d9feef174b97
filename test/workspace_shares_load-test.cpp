/// \file
/// Simulates 84 workspaces on engines that are full while the largest one sends
/// seven times its usual rate for 8 s, and compares what callers get with and
/// without workspace shares.

#include "workspace_competition.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::seconds;

/// Small workspaces begin one or two programs during a burst, so that results
/// of several runs are added.
constexpr std::uint32_t runs = 20;

struct competition_total
{
    std::vector<competition_result> by_workspace;
    /// Programs that arrive at usual rates, by workspace.
    std::vector<double> usual_arrivals;
    double mean_load = 0;
    double limit_factor = 0;
    std::size_t hot = 0;

    competition_result all() const { return sum(0, by_workspace.size(), true); }
    /// Workspaces that send at their usual rates.
    competition_result others() const
    {
        return sum(0, by_workspace.size(), false);
    }
    competition_result
    sum(std::size_t from, std::size_t to, bool with_hot) const
    {
        competition_result result;
        for (auto i = from; i < std::min(to, by_workspace.size()); ++i)
        {
            if (with_hot || i != hot)
                result.add(by_workspace[i]);
        }
        return result;
    }

    /// \return the served part of the programs that arrived within the limit
    double served_share(std::size_t workspace) const
    {
        auto const& one = by_workspace[workspace];
        auto const promised = std::min(
            static_cast<double>(one.arrived),
            limit_factor * usual_arrivals[workspace]);
        return promised > 0 ? static_cast<double>(one.served()) / promised : 1;
    }
    double mean_served_share() const
    {
        double total = 0;
        for (std::size_t i = 0; i < by_workspace.size(); ++i)
            total += served_share(i);
        return total / static_cast<double>(by_workspace.size());
    }
    double least_served_share() const
    {
        auto least = served_share(0);
        for (std::size_t i = 1; i < by_workspace.size(); ++i)
            least = std::min(least, served_share(i));
        return least;
    }
};

competition_total
run_competition(competition_options options, std::uint32_t count = runs)
{
    competition_total total;
    total.by_workspace.resize(options.workspaces);
    total.usual_arrivals.resize(options.workspaces);
    total.limit_factor = options.limit_factor;
    total.hot = options.hot;
    for (std::uint32_t seed = 1; seed <= count; ++seed)
    {
        options.seed = seed;
        workspace_competition competition(options);
        auto const results = competition.run();
        for (std::size_t i = 0; i < results.size(); ++i)
        {
            total.by_workspace[i].add(results[i]);
            total.usual_arrivals[i] += competition.usual_arrivals(i);
        }
        total.mean_load += competition.mean_load() / count;
    }
    return total;
}

double part(std::size_t count, competition_result const& of)
{
    return static_cast<double>(count) /
           static_cast<double>(std::max<std::size_t>(of.arrived, 1));
}

std::string describe(competition_result const& one)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << one.arrived << " arrived, "
         << part(one.in_time, one) << " in time, " << part(one.late, one)
         << " late, " << part(one.refused, one) << " refused, "
         << part(one.over_limit, one) << " over limit";
    return text.str();
}

/// Prints what callers got; `walnutmill-test -s` shows it.
std::string describe(competition_total const& total)
{
    std::ostringstream text;
    text << "load " << total.mean_load << ", in time " << total.all().in_time
         << " of all, served share " << total.least_served_share() << " to "
         << total.mean_served_share()
         << " (least, mean)\n  hot: " << describe(total.by_workspace[total.hot])
         << "\n  1-10: " << describe(total.sum(0, 10, false))
         << "\n  11-40: " << describe(total.sum(10, 40, false))
         << "\n  41-84: " << describe(total.sum(40, 84, false));
    return text.str();
}

competition_options with_shares(competition_options options = {})
{
    options.uses_shares = true;
    return options;
}

} // namespace

TEST_CASE(
    "workspace shares under load: workspaces at their usual rate keep their "
    "programs while another one fills the engines",
    "[workspace_shares]")
{
    auto const without = run_competition({});
    auto const with = run_competition(with_shares());
    INFO("without " << describe(without));
    INFO("with    " << describe(with));
    CHECK(without.mean_load > 1.0);
    auto const before = without.others();
    auto const after = with.others();
    CHECK(after.refused < before.refused);
    CHECK(after.in_time > before.in_time);
    CHECK(part(after.in_time, after) >= 0.85);
    CHECK(part(after.refused, after) <= 0.05);
    // Small ones apart, since they are few in the sum.
    auto const small_before = without.sum(40, 84, false);
    auto const small_after = with.sum(40, 84, false);
    CHECK(small_after.refused < small_before.refused);
    CHECK(small_after.in_time > small_before.in_time);
    CHECK(with.all().in_time >= without.all().in_time);
    CHECK(with.least_served_share() >= 0.5 * with.mean_served_share());
    CHECK(with.all().min_refused_load >= 1.0);
}

TEST_CASE(
    "workspace shares under load: new coordinators during the burst cost "
    "little",
    "[workspace_shares]")
{
    competition_options options;
    options.coordinators_lost_at = seconds(9);
    auto const without = run_competition(options, 10);
    auto const with = run_competition(with_shares(options), 10);
    INFO("without " << describe(without));
    INFO("with    " << describe(with));
    CHECK(with.others().refused < without.others().refused);
    CHECK(with.others().in_time > without.others().in_time);
    CHECK(with.all().in_time >= without.all().in_time);
}

// Guards against refusals by chance: without a large demand of one workspace,
// the shares must not make things worse.
TEST_CASE(
    "workspace shares under load: where all workspaces send more, no fewer "
    "programs "
    "are in time",
    "[workspace_shares]")
{
    competition_options options;
    options.usual_programs = 130;
    options.hot_factor = 1;
    auto const without = run_competition(options, 10);
    auto const with = run_competition(with_shares(options), 10);
    INFO("without " << describe(without));
    INFO("with    " << describe(with));
    CHECK(without.mean_load > 1.0);
    CHECK(with.all().in_time >= without.all().in_time);
    CHECK(with.all().min_refused_load >= 1.0);
}

TEST_CASE(
    "workspace shares under load: a workspace that alone fills the engines is "
    "served as without",
    "[workspace_shares]")
{
    competition_options options;
    options.workspaces = 1;
    auto const without = run_competition(options, 3);
    auto const with = run_competition(with_shares(options), 3);
    CHECK(without.mean_load > 1.0);
    auto const before = without.all();
    auto const after = with.all();
    CHECK(after.in_time == before.in_time);
    CHECK(after.late == before.late);
    CHECK(after.load_refusals == before.load_refusals);
    CHECK(after.load_refusals > 0);
    CHECK(after.min_refused_load >= 1.0);
}

TEST_CASE(
    "workspace shares under load: a workspace that fills the engines beside "
    "idle "
    "ones is not refused below 1.0 and leaves no slots free",
    "[workspace_shares]")
{
    competition_options options;
    options.workspaces = 5;
    // The largest one has nearly all of the demand.
    options.skew = 6;
    auto const without = run_competition(options, 5);
    auto const with = run_competition(with_shares(options), 5);
    INFO("without " << describe(without));
    INFO("with    " << describe(with));
    CHECK(with.by_workspace[0].load_refusals > 0);
    CHECK(with.all().min_refused_load >= 1.0);
    CHECK(with.mean_load > 0.95);
    CHECK(with.all().in_time >= without.all().in_time);
}

TEST_CASE(
    "workspace shares under load: while slots are free nothing changes",
    "[workspace_shares]")
{
    competition_options options;
    options.usual_programs = 50;
    auto const without = run_competition(options, 3);
    auto const with = run_competition(with_shares(options), 3);
    CHECK(without.all().load_refusals == 0);
    CHECK(with.all().load_refusals == 0);
    for (std::size_t i = 0; i < options.workspaces; ++i)
    {
        CHECK(with.by_workspace[i].in_time == without.by_workspace[i].in_time);
        CHECK(with.by_workspace[i].late == without.by_workspace[i].late);
    }
}

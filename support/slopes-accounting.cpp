/// \file
/// What the accounting of load costs a node: time of each call, memory, and
/// bytes of its metrics and of a log line.

#include "slopes-allocations.hpp"
#include "slopes-sections.hpp"

#include "entry/load_accounting.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{
namespace slopes
{
namespace
{

constexpr std::size_t measured_calls = 200'000;
constexpr std::size_t domains = 4;
constexpr std::size_t measured_services = 8;
constexpr wait_reason reasons[] = {
    wait_reason::quota, wait_reason::budget, wait_reason::history,
    wait_reason::place, wait_reason::store};

struct labels
{
    std::vector<std::string> routes;
    std::vector<workspace_name> workspaces;
    std::vector<zone_name> zones;
    service_name service{"quote-agents"};

    labels(std::size_t route_count, std::size_t workspace_count)
    {
        for (std::size_t i = 0; i < route_count; ++i)
            routes.push_back("r-route-" + std::to_string(i));
        for (std::size_t i = 0; i < workspace_count; ++i)
            workspaces.emplace_back("workspace-" + std::to_string(i));
        for (std::size_t i = 0; i < domains; ++i)
            zones.emplace_back("domain-" + std::to_string(i));
    }
};

/// What a call of a model engine that waits for everything is counted with.
void account_call(
    std::shared_ptr<load_accounting> const& accounting, labels const& all,
    std::size_t number)
{
    call_labels const of{
        accounting->route_index(all.routes[number % all.routes.size()]),
        accounting->workspace_index(
            all.workspaces[number % all.workspaces.size()])};
    call_wait wait;
    for (auto const reason : reasons)
    {
        wait = call_wait(accounting, of, reason);
        wait.end();
    }
    accounting->count_engine_call(
        all.service, all.zones[number % all.zones.size()]);
    accounting->add_engine_time(of, std::chrono::milliseconds(300));
}

double us_since(std::chrono::steady_clock::time_point began)
{
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - began)
        .count();
}

/// \param causes number of causes of refusals of each route and workspace
void measure(
    std::size_t route_count, std::size_t workspace_count, std::size_t causes)
{
    labels const all(route_count, workspace_count);
    accounting_options options;
    options.interval = duration(0);
    auto const before = allocations_so_far().live_bytes;
    auto const accounting =
        std::make_shared<load_accounting>(monotonic_clock(), options);
    for (std::size_t i = 0; i < std::max(route_count, workspace_count); ++i)
    {
        call_labels const of{
            accounting->route_index(all.routes[i % route_count]),
            accounting->workspace_index(all.workspaces[i % workspace_count])};
        for (std::size_t cause = 0; cause < causes; ++cause)
            accounting->count_refusal(of, static_cast<refusal_cause>(cause));
        accounting->count_late_turn(of);
    }
    auto const allocated = allocations_so_far().allocations;
    auto const calls_began = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < measured_calls; ++i)
        account_call(accounting, all, i);
    auto const us_a_call =
        us_since(calls_began) / static_cast<double>(measured_calls);
    auto const allocations = allocations_so_far().allocations - allocated;
    auto const memory = allocations_so_far().live_bytes - before;

    auto const metrics_began = std::chrono::steady_clock::now();
    auto const text = accounting->prometheus_text();
    auto const us_of_metrics = us_since(metrics_began);

    load_accounting::service_loads loads;
    for (std::size_t i = 0; i < measured_services; ++i)
        loads.emplace_back("service-" + std::to_string(i), 1.25);
    auto const line_began = std::chrono::steady_clock::now();
    accounting->end_interval();
    auto const line = accounting->summary(loads).dump();
    auto const us_of_line = us_since(line_began);
    std::printf(
        "| %zu | %zu | %zu | %.2f | %llu | %lld | %zu | %.0f | %zu | %.0f |\n",
        route_count, workspace_count, causes, us_a_call,
        static_cast<unsigned long long>(allocations),
        static_cast<long long>(memory / 1'024), text.size() / 1'024,
        us_of_metrics, line.size(), us_of_line);
}

} // namespace

void run_accounting_section()
{
    std::printf(
        "\n| routes | workspaces | causes | us a call | allocations | KB "
        "of memory | KB of metrics | us to write them | bytes of a line | us "
        "to write it |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- "
        "| --- |\n");
    measure(30, 84, 3);
    measure(300, 1'500, 3);
    measure(300, 1'500, refusal_cause_count);
}

} // namespace slopes
} // namespace walnutmill

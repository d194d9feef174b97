/// \file
/// What each decision costs in time, allocations and memory, from today's
/// size to that of 390 nodes, 3,000 engines and a million programs.

#include "slopes-decision-costs.hpp"
#include "slopes-sections.hpp"

#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

namespace walnutmill
{
namespace slopes
{

namespace
{

// Today's 12 + 7 engines; the size of two years ahead, of whose million
// programs a node has 2,564; and programs of one node up to 100,000.
constexpr node_size sizes[] = {{19, 1'000},     {19, 2'564},     {19, 10'000},
                               {19, 100'000},   {390, 2'564},    {3'000, 2'564},
                               {3'000, 10'000}, {3'000, 100'000}};

struct decision
{
    std::string name;
    std::function<cost(node_size, random_fn const&)> measure;
    bool by_targets = false;
    bool by_programs = false;
};

std::vector<decision> decisions()
{
    return {
        {"fair_queue: pop, charge, push", queue_cost, false, true},
        {"placement: choose, send, done", placement_cost, true, false},
        {"placement: report", report_cost, true, false},
        {"admission: end, decide", admission_cost, false, true},
        {"retention: observe, decide", retention_cost, false, false},
        {"retry: failure, success", retry_cost, true, true},
        {"budget_guard: check, answer", guard_cost, false, true},
        {"capacity: plan of all targets", capacity_cost, true, false}};
}

void print_row(
    decision const& of, node_size size, cost const& found, double exponent)
{
    std::cout << std::left << std::setw(32) << of.name << std::right
              << std::setw(8) << size.targets << std::setw(10) << size.programs
              << std::fixed << std::setprecision(3) << std::setw(11)
              << found.microseconds << std::setprecision(2) << std::setw(9)
              << found.allocations << std::setprecision(0) << std::setw(9)
              << found.bytes_each << std::setprecision(2) << std::setw(8)
              << exponent << '\n';
}

/// Whether the decision's cost can depend on what differs from the first.
bool worth_measuring(decision const& of, node_size size, node_size first)
{
    bool const more_targets = size.targets != first.targets;
    bool const more_programs = size.programs != first.programs;
    if (!more_targets && !more_programs)
        return true;
    return (of.by_targets || !more_targets) &&
           (of.by_programs || size.programs == sizes[1].programs) &&
           (of.by_targets || of.by_programs);
}

/// How much larger the size is than the first, in what the decision's cost
/// can depend on.
double growth_of(decision const& of, node_size size)
{
    double growth = 1.0;
    if (of.by_targets)
        growth *= static_cast<double>(size.targets) / sizes[0].targets;
    if (of.by_programs)
        growth *= static_cast<double>(size.programs) / sizes[0].programs;
    return growth;
}

} // namespace

void run_decisions_section(std::uint32_t seed)
{
    std::cout << "decisions (seed " << seed << "): time and allocations per "
              << "decision, bytes per program or target;\n"
              << "slope: exponent of the time against the first size\n"
              << std::left << std::setw(32) << "decision" << std::right
              << std::setw(8) << "targets" << std::setw(10) << "programs"
              << std::setw(11) << "us" << std::setw(9) << "allocs"
              << std::setw(9) << "bytes" << std::setw(8) << "slope" << '\n';
    for (auto const& each : decisions())
    {
        double first = 0.0;
        for (auto const& size : sizes)
        {
            if (!worth_measuring(each, size, sizes[0]))
                continue;
            auto const found = each.measure(size, seeded_random(seed));
            if (first == 0.0)
                first = found.microseconds;
            double const growth = growth_of(each, size);
            double const slope =
                growth > 1.0
                    ? std::log(found.microseconds / first) / std::log(growth)
                    : 0.0;
            print_row(each, size, found, slope);
        }
    }
}

} // namespace slopes
} // namespace walnutmill

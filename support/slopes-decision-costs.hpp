#ifndef WALNUTMILL_SUPPORT_SLOPES_DECISION_COSTS_HPP
#define WALNUTMILL_SUPPORT_SLOPES_DECISION_COSTS_HPP

/// \file
/// Measures what one decision costs at one size of a node.

#include <walnutmill/random.hpp>

#include <cstdint>

namespace walnutmill
{
namespace slopes
{

/// What one node sees: all targets, and its share of the programs.
struct node_size
{
    std::uint32_t targets = 0;
    std::uint32_t programs = 0;
};

struct cost
{
    double microseconds = 0.0;
    double allocations = 0.0;
    /// Memory that the structure takes per program or target.
    double bytes_each = 0.0;
};

/// All programs have a call waiting; one is taken and its next one comes.
cost queue_cost(node_size size, random_fn const& random);
/// Chooses for a call with its history at some target, sends it, and an
/// earlier one ends.
cost placement_cost(node_size size, random_fn const& random);
cost report_cost(node_size size, random_fn const& random);
cost admission_cost(node_size size, random_fn const& random);
cost retention_cost(node_size size, random_fn const& random);
cost retry_cost(node_size size, random_fn const& random);
cost guard_cost(node_size size, random_fn const& random);
/// A plan reads each target once; it is made every few seconds by one node.
cost capacity_cost(node_size size, random_fn const& random);

} // namespace slopes
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_BENCH_PATTERNS_HPP
#define WALNUTMILL_BENCH_PATTERNS_HPP

/// \file
/// The load patterns, what is measured under each, and the bounds.

#include "bench_measures.hpp"
#include "bench_walnutmill.hpp"

#include <optional>
#include <string>
#include <vector>

namespace walnutmill::bench
{

enum class better
{
    lower,
    higher
};

/// What a limit is compared with.
enum class limit_on
{
    /// The measured value itself.
    value,
    /// The value over the baseline's.
    per_baseline,
    /// The value over the oracle's.
    per_oracle
};

/// What is to be reached, and the bound that must not be broken.
struct limit
{
    limit_on on = limit_on::value;
    /// As the users ask; none where they ask nothing.
    std::optional<double> target;
    /// From measured figures with a margin; the target where it is met.
    std::optional<double> bound;
};

struct measure
{
    std::string name;
    measure_fn take = nullptr;
    better way = better::lower;
    limit bounds;
};

struct pattern
{
    std::string name;
    scenario of;
    /// Another scenario with the same callers, to compare with.
    std::optional<scenario> reference;
    std::vector<measure> measures;
    /// Modules whose switching off is shown under this pattern.
    std::vector<module> ablations;
};

/// One of the two users' sizes.
struct user_size
{
    std::string name;
    cluster_size size;
};
std::vector<user_size> user_sizes();

/// \return all patterns at that size, with their bounds.
std::vector<pattern> make_patterns(cluster_size const& size);

/// Sets the bounds that only guard against getting worse.
void set_regression_bounds(pattern& of);

std::string_view to_string(module of);

} // namespace walnutmill::bench

#endif

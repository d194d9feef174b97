#ifndef WALNUTMILL_BENCH_ROWS_HPP
#define WALNUTMILL_BENCH_ROWS_HPP

/// \file
/// Runs patterns under all policies and judges the figures.

#include "bench_patterns.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace walnutmill::bench
{

struct bench_options
{
    /// Runs with this seed and the ones that follow it.
    std::uint64_t first_seed = 1;
    /// Figures are medians over the seeds.
    std::uint32_t seeds = 1;
    /// Runs that go on at a time; does not change the figures.
    std::uint32_t threads = 4;
    /// Only this pattern; empty: all.
    std::string pattern;
    /// Only this user's size; empty: both.
    std::string user;
    bool ablations = true;
};

/// One pattern and measure.
struct row
{
    std::string user;
    std::string pattern;
    std::string measure;
    double naive = 0.0;
    /// The per-call policy.
    double baseline = 0.0;
    /// walnutmill.
    double value = 0.0;
    double oracle = 0.0;
    /// Value over baseline.
    double ratio = 0.0;
    /// How far the value stands from the baseline towards the oracle: zero
    /// and one.
    double towards_oracle = 0.0;
    limit bounds;
    /// What the bound is compared with.
    double judged = 0.0;
    bool ok = true;
    bool target_missed = false;
};

/// walnutmill with and without one module.
struct ablation_row
{
    std::string user;
    std::string pattern;
    std::string measure;
    module off = module::none;
    double with = 0.0;
    double without = 0.0;
};

struct bench_report
{
    std::vector<row> rows;
    std::vector<ablation_row> ablations;
    bool ok = true;
};

bench_report run_bench(bench_options const& options);

/// Both print to standard output.
void print_table(bench_report const& report);
void print_json(bench_report const& report);

} // namespace walnutmill::bench

#endif

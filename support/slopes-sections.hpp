#ifndef WALNUTMILL_SUPPORT_SLOPES_SECTIONS_HPP
#define WALNUTMILL_SUPPORT_SLOPES_SECTIONS_HPP

/// \file
/// The sections of walnutmill-slopes. Each prints a table of what it measured
/// to standard output.

#include <cstdint>

namespace walnutmill
{
namespace slopes
{

/// Time, allocations and memory of each decision, by targets and programs.
void run_decisions_section(std::uint32_t seed);
/// Gossip among 13 to 390 nodes in one process under a manual clock.
void run_members_section(std::uint32_t seed);

/// What programs cost their owner, and their recovery.
void run_owner_section(std::uint32_t seed);
/// What the origins of streams cost a node among 13 to 390.
void run_origins_section();
/// What requests under which engines ended cost a node among 13 to 390.
void run_crashes_section();
/// What the accounting of load costs a node's calls, memory and metrics.
void run_accounting_section();

} // namespace slopes
} // namespace walnutmill

#endif

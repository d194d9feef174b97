#ifndef WALNUTMILL_SRC_TARGET_LINK_HPP
#define WALNUTMILL_SRC_TARGET_LINK_HPP

/// \file
/// What a steward does with its target over HTTP (docs/PLATFORM.md). The
/// calls are hooks, so that tests put in their own; all block.

#include <walnutmill/target_steward.hpp>

#include <functional>
#include <string>
#include <vector>

namespace walnutmill
{

struct target_link
{
    /// \return not reachable when any part of the answer is missing.
    std::function<observed_target()> read;
    std::function<send_outcome(target_order const&)> send;
    /// Programs whose cache the target holds.
    std::function<result<std::vector<program_id>>()> holds;
    /// \return whether the target confirmed it.
    std::function<bool(program_id const&)> release;
};

/// \return a link to the engine at a base address like "http://10.0.0.9:9000".
target_link make_target_link(std::string const& address);

} // namespace walnutmill

#endif

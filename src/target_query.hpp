#ifndef WALNUTMILL_SRC_TARGET_QUERY_HPP
#define WALNUTMILL_SRC_TARGET_QUERY_HPP

/// \file
/// Blocking questions to engines about themselves.

#include <walnutmill/result.hpp>

#include "policy_scheduling.hpp"

#include <chrono>
#include <string>

namespace walnutmill
{

/// \return the engine's load without its name, or errc::target_failed.
result<target_load>
query_load(std::string const& address, std::chrono::milliseconds timeout);

} // namespace walnutmill

#endif

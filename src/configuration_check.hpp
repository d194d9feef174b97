#ifndef WALNUTMILL_SRC_CONFIGURATION_CHECK_HPP
#define WALNUTMILL_SRC_CONFIGURATION_CHECK_HPP

/// \file
/// Checks across the parts of a configuration: names that are taken twice
/// and references to what is not there.

#include <walnutmill/configuration.hpp>

namespace walnutmill
{
namespace detail
{

void check_references(configuration const& config, findings& problems);

} // namespace detail
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_CLI_CHECK_HPP
#define WALNUTMILL_SRC_CLI_CHECK_HPP

/// \file
/// `walnutmill check`: prints all that is wrong with settings and document.

#include <string>
#include <vector>

namespace walnutmill
{

/// \return the exit code: 0 sound, 2 with findings.
int run_check(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment);

} // namespace walnutmill

#endif

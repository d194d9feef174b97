#ifndef WALNUTMILL_SRC_CLI_CTL_HPP
#define WALNUTMILL_SRC_CLI_CTL_HPP

/// \file
/// `walnutmill ctl`: sends one statement of the operators' language.

#include <string>
#include <vector>

namespace walnutmill
{

/// \return the exit code: 0 done, 1 refused, 2 wrong flags, 3 no answer.
int run_ctl(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment);

} // namespace walnutmill

#endif

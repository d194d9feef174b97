#ifndef WALNUTMILL_SRC_CLI_SERVE_HPP
#define WALNUTMILL_SRC_CLI_SERVE_HPP

/// \file
/// `walnutmill serve` and `walnutmill init`.

#include <string>
#include <vector>

namespace walnutmill
{

/// \return the exit code: 0 after a planned stop, 1 when work was cut, 2 for
/// wrong settings.
int run_serve(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment);

/// Writes the first configuration of an installation.
int run_init(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment);

} // namespace walnutmill

#endif

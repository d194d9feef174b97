#ifndef WALNUTMILL_SRC_CLI_ENTRY_HPP
#define WALNUTMILL_SRC_CLI_ENTRY_HPP

/// \file
/// `walnutmill entry`.

#include <string>
#include <vector>

namespace walnutmill
{

/// \return the exit code: 0 after a planned stop, 1 where an address could
/// not be listened on, 2 for wrong settings.
int run_entry(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_CLI_EXPLAIN_HPP
#define WALNUTMILL_SRC_CLI_EXPLAIN_HPP

/// \file
/// `walnutmill explain`: why a program waited, moved or was refused.

#include <string>
#include <vector>

namespace walnutmill
{

/// \return the exit code: 0 done, 1 refused, 2 wrong flags, 3 no answer.
int run_explain(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment);

} // namespace walnutmill

#endif

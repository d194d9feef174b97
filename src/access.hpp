#ifndef WALNUTMILL_SRC_ACCESS_HPP
#define WALNUTMILL_SRC_ACCESS_HPP

/// \file
/// Who a token stands for, by the configuration in force.

#include <walnutmill/configuration.hpp>

#include "caller_server.hpp"

#include <string_view>

namespace walnutmill
{

/// \return errc::unauthorized for a token that no workspace knows.
result<principal>
authorize(configuration const& config, std::string_view token);

} // namespace walnutmill

#endif

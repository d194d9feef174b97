#ifndef WALNUTMILL_SRC_PLATFORM_CLIENT_HPP
#define WALNUTMILL_SRC_PLATFORM_CLIENT_HPP

/// \file
/// The platform's services over HTTP (docs/PLATFORM.md).

#include <walnutmill/platform.hpp>

#include <chrono>
#include <string>

namespace walnutmill
{

/// \param timeout of one request; a commit that exceeds it is in doubt
table_service
make_table_client(std::string const& url, std::chrono::milliseconds timeout);
object_store
make_object_client(std::string const& url, std::chrono::milliseconds timeout);

} // namespace walnutmill

#endif

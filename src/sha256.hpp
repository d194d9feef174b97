#ifndef WALNUTMILL_SRC_SHA256_HPP
#define WALNUTMILL_SRC_SHA256_HPP

/// \file
/// SHA-256 through OpenSSL, for tokens and derived ids.

#include <string>
#include <string_view>

namespace walnutmill
{

/// \return 64 lower-case hex digits.
std::string sha256_hex(std::string_view bytes);

} // namespace walnutmill

#endif

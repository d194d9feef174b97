#ifndef WALNUTMILL_SRC_BASE64_HPP
#define WALNUTMILL_SRC_BASE64_HPP

/// \file
/// Base64 of bytes in JSON, through the HTTP library's own routines.

#include <string>
#include <string_view>

namespace walnutmill
{

std::string to_base64(std::string_view bytes);
/// \throws std::runtime_error where the text is not base64
std::string from_base64(std::string const& text);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_CBOR_HPP
#define WALNUTMILL_SRC_CBOR_HPP

/// \file
/// Decodes CBOR of other processes.

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace walnutmill
{

/// Arrays and objects of CBOR may be nested up to this many levels.
constexpr std::size_t max_cbor_depth = 64;

/// \return the value; discarded if the bytes are not a single value of CBOR,
/// or one that is nested too deeply. Never throws json::exception.
nlohmann::json decode_cbor(std::string_view bytes);

/// Like decode_cbor(), and ignores bytes that follow the value.
nlohmann::json decode_cbor_prefix(std::string_view bytes);

} // namespace walnutmill

#endif

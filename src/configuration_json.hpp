#ifndef WALNUTMILL_SRC_CONFIGURATION_JSON_HPP
#define WALNUTMILL_SRC_CONFIGURATION_JSON_HPP

/// \file
/// The names that stand for enumerators in the configuration document, and
/// the document as a JSON value.

#include <walnutmill/configuration.hpp>

#include <nlohmann/json.hpp>

#include <array>

namespace walnutmill
{
namespace detail
{

constexpr std::array<char const*, 2> kind_names{{"engine", "plain"}};
constexpr std::array<char const*, 4> policy_names{
    {"in_service", "drain", "stop", "expunged"}};
constexpr std::array<char const*, 2> right_names{{"call", "operate"}};

nlohmann::json configuration_to_json(configuration const& config);

} // namespace detail
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_JSON_TEXT_HPP
#define WALNUTMILL_SRC_JSON_TEXT_HPP

/// \file
/// JSON text from outside, parsed within bounds.

#include <walnutmill/finding.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace walnutmill
{
namespace detail
{

struct json_bounds
{
    std::size_t max_bytes = 0;
    std::size_t max_depth = 0;
};

/// Parses a document. Findings: text that is too long, nested too deep or no
/// JSON, and keys that stand twice in one object. Never throws.
/// \return the document; null when it cannot be read at all.
nlohmann::json parse_json_text(
    std::string_view text, json_bounds const& bounds, findings& problems);

/// \return the pointer to a member of what `pointer` points to.
std::string child_pointer(std::string const& pointer, std::string_view key);
std::string child_pointer(std::string const& pointer, std::size_t index);

} // namespace detail
} // namespace walnutmill

#endif

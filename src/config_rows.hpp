#ifndef WALNUTMILL_SRC_CONFIG_ROWS_HPP
#define WALNUTMILL_SRC_CONFIG_ROWS_HPP

/// \file
/// The rows in which the configuration is kept; see config_store.hpp.

#include <walnutmill/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace walnutmill
{
namespace detail
{

constexpr char const* config_head_key = "config/head";
std::string config_document_key(std::uint64_t version);
std::string config_command_key(std::string_view command_id);
/// Key of the object of a document that is too long for a row; of one
/// command only, so that racing operators do not overwrite each other.
std::string
config_object_key(std::uint64_t version, std::string_view command_id);

struct config_head
{
    std::uint64_t version = 0;
    std::string command_id;
    std::string who;
};

struct config_document
{
    std::string command_id;
    /// The document, unless it is in the object.
    std::string text;
    std::string object;
};

struct config_command
{
    std::uint64_t version = 0;
    /// XXH64 of the document, to tell a repeat from an id used twice.
    std::uint64_t document_hash = 0;
};

std::string encode(config_head const& row);
std::string encode(config_document const& row);
std::string encode(config_command const& row);
/// \return the row, or errc::internal where the text is not one.
result<config_head> decode_config_head(std::string_view text);
result<config_document> decode_config_document(std::string_view text);
result<config_command> decode_config_command(std::string_view text);

} // namespace detail
} // namespace walnutmill

#endif

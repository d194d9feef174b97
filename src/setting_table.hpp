#ifndef WALNUTMILL_SRC_SETTING_TABLE_HPP
#define WALNUTMILL_SRC_SETTING_TABLE_HPP

/// \file
/// The table of all settings: name, help, range, how each is set and shown.

#include <walnutmill/settings.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{
namespace detail
{

/// One setting, known by its flag name without dashes.
struct setting_definition
{
    std::string name;
    std::string help;
    /// A key: its value is never shown.
    bool hidden = false;
    /// Must be given and not be empty.
    bool required = false;
    /// A flag that needs no value.
    bool is_switch = false;
    /// Takes the text. \return what is wrong with it; empty when sound.
    std::function<std::string(serve_settings&, std::string const&)> set;
    std::function<std::string(serve_settings const&)> get;
};

/// \return all settings in the order in which they are shown.
std::vector<setting_definition> const& serve_setting_table();

/// \return "WALNUTMILL_LEASE_MS" for "lease-ms".
std::string environment_name(std::string_view flag_name);

} // namespace detail
} // namespace walnutmill

#endif

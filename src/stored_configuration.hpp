#ifndef WALNUTMILL_SRC_STORED_CONFIGURATION_HPP
#define WALNUTMILL_SRC_STORED_CONFIGURATION_HPP

/// \file
/// The configuration in force, as nodes read it from the platform.

#include <walnutmill/configuration.hpp>
#include <walnutmill/platform.hpp>

#include <memory>
#include <string_view>

namespace walnutmill
{

/// Reads the head row and its document.
/// \return errc::not_found before the first version is written.
result<std::shared_ptr<configuration const>>
read_configuration(table_service const& table, object_store const& objects);

/// Writes the first version; refused with errc::conflict when there is one.
result<void>
write_first_configuration(table_service const& table, configuration config);

} // namespace walnutmill

#endif

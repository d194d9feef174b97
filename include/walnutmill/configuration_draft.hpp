#ifndef WALNUTMILL_CONFIGURATION_DRAFT_HPP
#define WALNUTMILL_CONFIGURATION_DRAFT_HPP

/// \file
/// From an order to the next configuration, checked as a whole, and the
/// difference between two configurations. Pure.

#include <walnutmill/command.hpp>
#include <walnutmill/configuration.hpp>
#include <walnutmill/result.hpp>

#include <string>
#include <vector>

namespace walnutmill
{

/// One value that differs; empty text: absent on that side.
struct configuration_difference
{
    /// Names rather than indices: "targets/bern-1/policy".
    std::string path;
    std::string before;
    std::string after;
};

using configuration_differences = std::vector<configuration_difference>;

configuration_differences
differences(configuration const& before, configuration const& after);

/// \return one line each, for example
/// "targets/bern-1/policy: in_service -> drain".
std::string to_text(configuration_differences const& differences);

/// Whether the order changes the configuration; others act on a program.
bool changes_configuration(order_body const& body);

/// What an order makes of a configuration.
struct configuration_draft
{
    /// Its version is one above the one drafted from.
    configuration next;
    configuration_differences changes;
};

/// \param workspace the operator's: other workspaces' parts may not change,
/// and a document that leaves them out keeps them
/// \return errc::not_found for an unknown name, errc::forbidden for another
/// workspace's part, errc::conflict where an expunged target would come back
/// and errc::bad_request with all findings otherwise
result<configuration_draft> draft_configuration(
    configuration const& current, order_statement const& order,
    workspace_name const& workspace);

} // namespace walnutmill

#endif

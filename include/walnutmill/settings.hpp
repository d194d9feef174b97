#ifndef WALNUTMILL_SETTINGS_HPP
#define WALNUTMILL_SETTINGS_HPP

/// \file
/// Settings of one process from flags and WALNUTMILL_ environment variables,
/// checked as a whole before anything starts.

#include <walnutmill/finding.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/logging.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace walnutmill
{

/// Settings of `walnutmill serve`. A flag --lease-ms is the variable
/// WALNUTMILL_LEASE_MS; a flag goes before the variable.
struct serve_settings
{
    node_name node;
    zone_name zone;
    /// Address and port of the callers' and operators' HTTP interface.
    std::string http_address = "127.0.0.1";
    std::uint16_t http_port = 8080;
    /// Address and port for other nodes.
    std::string peer_address = "127.0.0.1";
    std::uint16_t peer_port = 8081;
    /// Where other nodes reach this one, when not at its own address.
    std::string peer_advertise;
    /// Base addresses of the platform's services.
    std::string table_url;
    std::string object_url;
    /// The lagging list of VMs; a hint only, may be empty.
    std::string vm_list_url;
    /// Shared key of the nodes; never printed.
    std::string peer_key;
    std::uint32_t shards = 256;
    std::uint32_t http_threads = 32;
    std::uint32_t max_body_bytes = 4u << 20;
    std::chrono::milliseconds flush_interval{33};
    std::chrono::milliseconds lease{3'000};
    std::chrono::milliseconds gossip_interval{500};
    std::chrono::milliseconds stop_limit{60'000};
    severity log_level = severity::info;
    bool print_settings = false;
};

/// Where a setting's value came from.
enum class setting_origin
{
    built_in,
    environment,
    flag
};

struct setting_line
{
    std::string name;
    /// "(hidden)" for keys.
    std::string value;
    setting_origin origin = setting_origin::built_in;
};

struct parsed_settings
{
    serve_settings value;
    findings problems;
    std::vector<setting_line> lines;
    bool help = false;
};

/// Parses the arguments after the subcommand and the environment.
/// \param environment "NAME=value" entries; only WALNUTMILL_ ones are read
parsed_settings parse_serve_settings(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment);

/// \return the help text of `serve`.
std::string serve_help();

} // namespace walnutmill

#endif

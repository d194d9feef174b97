#ifndef WALNUTMILL_SRC_ENTRY_ENTRY_SETTINGS_HPP
#define WALNUTMILL_SRC_ENTRY_ENTRY_SETTINGS_HPP

/// \file
/// Settings of an entry node, read from flags, the environment, and a settings
/// file with the same names. The file is read again on SIGHUP.

#include <walnutmill/finding.hpp>
#include <walnutmill/quota.hpp>
#include <walnutmill/stall_policy.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace walnutmill
{

struct entry_settings
{
    std::string node;
    std::string domain;
    /// IP:PORT on which callers are served.
    std::string listen_callers;
    /// IP:PORT of the readiness endpoint.
    std::string listen_ready;
    /// IP:PORT for other nodes.
    std::string listen_peers;
    /// IP:PORT of the metrics; empty: none.
    std::string listen_metrics;
    /// IP:PORT of the platform's store.
    std::string store;
    /// Capacity weight: processor share of this VM, in cores.
    double capacity_weight = 1;
    /// Memory that the process may use, in MB.
    std::uint64_t memory_mb = 120;
    /// Time from SIGTERM until the process is killed.
    std::chrono::milliseconds stop_grace{8'000};
    /// Time within which a new configuration must be in force.
    std::chrono::milliseconds apply_within{2'000};
    /// Time within which a draining engine must get no new work.
    std::chrono::milliseconds drain_within{2'000};
    /// Time within which all nodes must reject a revoked key; zero: no bound.
    std::chrono::milliseconds revoke_within{0};
    /// How far all nodes together may exceed the limit of a workspace.
    quota_bounds quota;
    /// Whether new programs are admitted by their workspace's use of its limit
    /// (`workspace_shares`). By default it follows the rules in force.
    bool workspace_shares = false;
    /// Minimum timeout for an engine that sends nothing during a call.
    std::chrono::milliseconds min_stall_timeout = stall_options().min_timeout;
    /// Path of the settings file; empty: none.
    std::string file;
};

/// Description of one setting, for help and the configuration page.
struct entry_setting
{
    std::string name;
    /// Environment variable.
    std::string variable;
    std::string help;
};

/// \return all settings of an entry node.
std::vector<entry_setting> list_entry_settings();

/// Reads and checks the settings. Flags take precedence over the environment,
/// the environment over the settings file, and the file over defaults.
/// \param environment entries of the form NAME=VALUE
/// \param problems receives one finding for each invalid setting
entry_settings read_entry_settings(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment, findings& problems);

} // namespace walnutmill

#endif

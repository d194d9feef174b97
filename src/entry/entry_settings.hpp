#ifndef WALNUTMILL_SRC_ENTRY_ENTRY_SETTINGS_HPP
#define WALNUTMILL_SRC_ENTRY_ENTRY_SETTINGS_HPP

/// \file
/// Settings of an entry node: flags, environment, and a file of the same
/// names that may change while the node runs.

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
    /// IP:PORT that tells whether the node takes callers.
    std::string listen_ready;
    /// IP:PORT for other nodes.
    std::string listen_peers;
    /// IP:PORT of the metrics; empty: none.
    std::string listen_metrics;
    /// IP:PORT of the platform's store.
    std::string store;
    /// Processor share of this VM, in cores.
    double strength = 1;
    /// Bytes of memory that the process may use.
    std::uint64_t memory_mb = 120;
    /// From the signal to stop until the process is killed.
    std::chrono::milliseconds stop_grace{8'000};
    /// Within which a new configuration has to be in force.
    std::chrono::milliseconds apply_within{2'000};
    /// Within which an engine that leaves has to be left alone.
    std::chrono::milliseconds drain_within{2'000};
    /// Within which no node serves a key that was taken away; zero: no bound.
    std::chrono::milliseconds revoke_within{0};
    /// By how much nodes may exceed a workspace's limit together.
    quota_bounds quota;
    /// Silence that an engine may always keep during a call.
    std::chrono::milliseconds stall_least = stall_options().least;
    std::string file;
};

/// One setting, for help and for the settings page.
struct entry_setting
{
    std::string name;
    std::string variable;
    std::string help;
};

/// \return all settings of an entry node.
std::vector<entry_setting> list_entry_settings();

/// Reads settings: flags before environment before the file before built-in
/// values.
/// \param environment entries NAME=VALUE
entry_settings read_entry_settings(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment, findings& problems);

} // namespace walnutmill

#endif

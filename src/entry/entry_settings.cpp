#include "entry/entry_settings.hpp"

#include "entry/http_link.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <fstream>

namespace walnutmill
{
namespace
{

namespace po = boost::program_options;

constexpr std::string_view variable_prefix = "WALNUTMILL_";
constexpr char const* file_variable = "WALNUTMILL_NODE_FILE";
constexpr double ms_per_s = 1'000;
/// Below what a lost packet takes to be sent again, sound calls would count
/// as stalled.
constexpr std::uint32_t shortest_stall_ms = 200;

/// Values as read, before they are checked.
struct raw_settings
{
    entry_settings to;
    double stop_grace_s = 8;
    double cpu_share = 1;
    double cores = 1;
    std::uint32_t apply_ms = 2'000;
    std::uint32_t drain_ms = 2'000;
    std::uint32_t revoke_within_ms = 0;
    double quota_seconds = 0;
    std::uint32_t stall_least_ms =
        static_cast<std::uint32_t>(stall_options().least.count());
};

po::options_description describe(raw_settings& raw)
{
    auto& to = raw.to;
    po::options_description all("Settings of an entry node");
    auto add = all.add_options();
    add("node", po::value(&to.node), "name of this node");
    add("domain", po::value(&to.domain), "failure domain it runs in");
    add("listen-callers", po::value(&to.listen_callers), "IP:PORT for callers");
    add("listen-ready", po::value(&to.listen_ready),
        "IP:PORT that answers 200 while the node takes callers");
    add("listen-peers", po::value(&to.listen_peers),
        "IP:PORT for other entry nodes");
    add("listen-metrics", po::value(&to.listen_metrics),
        "IP:PORT of the metrics (empty: none)");
    add("store", po::value(&to.store), "IP:PORT of the platform's store");
    add("cpu-share", po::value(&raw.cpu_share),
        "share of each core that the process may use, above 0");
    add("cores", po::value(&raw.cores),
        "cores of the VM; with cpu-share, duties for other nodes go by it");
    add("memory-mb", po::value(&to.memory_mb),
        "memory that the process may use");
    add("stop-grace-s", po::value(&raw.stop_grace_s),
        "seconds from SIGTERM until the process is killed");
    add("apply-within-ms", po::value(&raw.apply_ms),
        "within which a configuration is in force");
    add("drain-within-ms", po::value(&raw.drain_ms),
        "within which a leaving engine gets no new work");
    add("revoke-within-ms", po::value(&raw.revoke_within_ms),
        "within which a key that was taken away is served nowhere (0: no "
        "bound)");
    add("quota-window-s", po::value(&raw.quota_seconds),
        "window over which workspaces' limits are judged (0: not judged)");
    add("quota-over", po::value(&to.quota.over),
        "part of a limit by which all nodes together may exceed it");
    add("quota-slack", po::value(&to.quota.slack),
        "requests by which they may exceed it besides");
    add("stall-least-ms", po::value(&raw.stall_least_ms),
        "silence of an engine that a call always bears");
    add("settings-file", po::value(&to.file),
        "file of NAME = VALUE lines, read again on SIGHUP");
    return all;
}

std::string variable_of(std::string const& name)
{
    if (name == "settings-file")
        return file_variable;
    std::string variable(variable_prefix);
    for (char const one : name)
    {
        variable.push_back(
            one == '-' ? '_'
                       : static_cast<char>(
                             std::toupper(static_cast<unsigned char>(one))));
    }
    return variable;
}

/// \return the setting of a variable; empty for variables of others.
std::string
setting_of(po::options_description const& all, std::string const& variable)
{
    for (auto const& one : all.options())
    {
        if (variable_of(one->long_name()) == variable)
            return one->long_name();
    }
    return {};
}

po::basic_parsed_options<char> parse_environment(
    po::options_description const& all,
    std::vector<std::string> const& environment)
{
    po::parsed_options parsed(&all);
    for (auto const& entry : environment)
    {
        auto const equals = entry.find('=');
        auto const name = setting_of(all, entry.substr(0, equals));
        if (!name.empty() && equals != std::string::npos)
            parsed.options.emplace_back(
                name, std::vector<std::string>{entry.substr(equals + 1)});
    }
    return parsed;
}

void check_address(
    std::string const& name, std::string const& value, bool needed,
    findings& problems)
{
    if (value.empty() ? needed : !endpoint_of(value))
        problems.add(name, "'" + value + "' is not IP:PORT");
}

void check(raw_settings const& raw, findings& problems)
{
    auto const& to = raw.to;
    if (to.node.empty())
        problems.add("node", "is missing");
    if (to.domain.empty())
        problems.add("domain", "is missing");
    check_address("listen-callers", to.listen_callers, true, problems);
    check_address("listen-ready", to.listen_ready, true, problems);
    check_address("listen-peers", to.listen_peers, true, problems);
    check_address("listen-metrics", to.listen_metrics, false, problems);
    check_address("store", to.store, true, problems);
    if (!(raw.cpu_share > 0))
        problems.add("cpu-share", "must be above 0");
    if (!(raw.cores > 0))
        problems.add("cores", "must be above 0");
    if (raw.stop_grace_s <= 1)
        problems.add("stop-grace-s", "must be above 1");
    if (raw.stall_least_ms < shortest_stall_ms)
        problems.add("stall-least-ms", "must be 200 at least");
    if (!(raw.quota_seconds >= 0))
        problems.add("quota-window-s", "must not be below 0");
    if (!(to.quota.over >= 0))
        problems.add("quota-over", "must not be below 0");
    if (!(to.quota.slack >= 0))
        problems.add("quota-slack", "must not be below 0");
    constexpr std::uint64_t least_memory_mb = 40;
    if (to.memory_mb < least_memory_mb)
        problems.add("memory-mb", "must be 40 at least");
}

void read_file(
    std::string const& path, po::options_description const& all,
    po::variables_map& values, findings& problems)
{
    std::ifstream file(path);
    if (!file)
    {
        problems.add("settings-file", "cannot read " + path);
        return;
    }
    constexpr bool allow_unregistered = true;
    po::store(po::parse_config_file(file, all, allow_unregistered), values);
}

} // namespace

std::vector<entry_setting> list_entry_settings()
{
    raw_settings raw;
    auto const all = describe(raw);
    std::vector<entry_setting> list;
    for (auto const& one : all.options())
    {
        list.push_back(
            {one->long_name(), variable_of(one->long_name()),
             one->description()});
    }
    return list;
}

entry_settings read_entry_settings(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment, findings& problems)
{
    raw_settings raw;
    auto const all = describe(raw);
    po::variables_map values;
    try
    {
        po::store(
            po::command_line_parser(arguments).options(all).run(), values);
        po::store(parse_environment(all, environment), values);
        if (values.count("settings-file") > 0)
        {
            read_file(
                values["settings-file"].as<std::string>(), all, values,
                problems);
        }
        po::notify(values);
    }
    catch (po::error const& error)
    {
        problems.add("settings", error.what());
        return raw.to;
    }
    check(raw, problems);
    raw.to.strength = raw.cpu_share * raw.cores;
    raw.to.stop_grace = std::chrono::milliseconds(
        static_cast<std::int64_t>(raw.stop_grace_s * ms_per_s));
    raw.to.apply_within = std::chrono::milliseconds(raw.apply_ms);
    raw.to.revoke_within = std::chrono::milliseconds(raw.revoke_within_ms);
    raw.to.quota.window = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(raw.quota_seconds));
    raw.to.stall_least = std::chrono::milliseconds(raw.stall_least_ms);
    raw.to.drain_within = std::chrono::milliseconds(raw.drain_ms);
    return raw.to;
}

} // namespace walnutmill

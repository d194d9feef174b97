#include "entry/entry_settings.hpp"

#include "entry/http_link.hpp"
#include "platform/rules.hpp"

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
/// A shorter timeout than the retransmission of a lost packet takes would make
/// healthy calls count as stalled.
constexpr std::uint32_t min_stall_timeout_ms = 200;

/// Settings as parsed, before validation and conversion of units.
struct parsed_settings
{
    entry_settings to;
    double stop_grace_s = 8;
    double cpu_share = 1;
    double cores = 1;
    std::uint32_t apply_ms = 2'000;
    std::uint32_t drain_ms = 2'000;
    std::uint32_t revoke_within_ms = 0;
    double quota_window_s = 0;
    bool workspace_shares = false;
    std::string rules;
    std::uint32_t stall_least_ms =
        static_cast<std::uint32_t>(stall_options().min_timeout.count());
};

po::options_description describe_options(parsed_settings& parsed_values)
{
    auto& to = parsed_values.to;
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
    add("cpu-share", po::value(&parsed_values.cpu_share),
        "share of each core that the process may use, above 0");
    add("cores", po::value(&parsed_values.cores),
        "cores of the VM; with cpu-share, duties for other nodes go by it");
    add("memory-mb", po::value(&to.memory_mb),
        "memory that the process may use");
    add("stop-grace-s", po::value(&parsed_values.stop_grace_s),
        "seconds from SIGTERM until the process is killed");
    add("apply-within-ms", po::value(&parsed_values.apply_ms),
        "within which a configuration is in force");
    add("drain-within-ms", po::value(&parsed_values.drain_ms),
        "within which a leaving engine gets no new work");
    add("revoke-within-ms", po::value(&parsed_values.revoke_within_ms),
        "within which a key that was taken away is served nowhere (0: no "
        "bound)");
    add("quota-window-s", po::value(&parsed_values.quota_window_s),
        "window over which workspaces' limits are judged (0: not judged)");
    add("quota-over", po::value(&to.quota.excess_fraction),
        "part of a limit by which all nodes together may exceed it");
    add("quota-slack", po::value(&to.quota.slack),
        "requests by which they may exceed it besides");
    add("workspace-shares", po::value(&parsed_values.workspace_shares),
        "whether full engines go first to workspaces that use less of their "
        "limits (default: by rules-in-force)");
    add("rules-in-force", po::value(&parsed_values.rules),
        "names of the platform's rules that hold for this deployment");
    add("stall-least-ms", po::value(&parsed_values.stall_least_ms),
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

/// \return the setting that an environment variable holds; empty for unrelated
/// variables.
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
    std::string const& name, std::string const& value, bool required,
    findings& problems)
{
    if (value.empty() ? required : !endpoint_of(value))
        problems.add(name, "'" + value + "' is not IP:PORT");
}

void check_settings(parsed_settings const& parsed_values, findings& problems)
{
    auto const& to = parsed_values.to;
    if (to.node.empty())
        problems.add("node", "is missing");
    if (to.domain.empty())
        problems.add("domain", "is missing");
    check_address("listen-callers", to.listen_callers, true, problems);
    check_address("listen-ready", to.listen_ready, true, problems);
    check_address("listen-peers", to.listen_peers, true, problems);
    check_address("listen-metrics", to.listen_metrics, false, problems);
    check_address("store", to.store, true, problems);
    if (!(parsed_values.cpu_share > 0))
        problems.add("cpu-share", "must be above 0");
    if (!(parsed_values.cores > 0))
        problems.add("cores", "must be above 0");
    if (parsed_values.stop_grace_s <= 1)
        problems.add("stop-grace-s", "must be above 1");
    if (parsed_values.stall_least_ms < min_stall_timeout_ms)
        problems.add("stall-least-ms", "must be 200 at least");
    if (!(parsed_values.quota_window_s >= 0))
        problems.add("quota-window-s", "must not be below 0");
    if (!(to.quota.excess_fraction >= 0))
        problems.add("quota-over", "must not be below 0");
    if (!(to.quota.slack >= 0))
        problems.add("quota-slack", "must not be below 0");
    constexpr std::uint64_t min_memory_mb = 40;
    if (to.memory_mb < min_memory_mb)
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
    parsed_settings parsed_values;
    auto const all = describe_options(parsed_values);
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
    parsed_settings parsed_values;
    auto const all = describe_options(parsed_values);
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
        return parsed_values.to;
    }
    check_settings(parsed_values, problems);
    parsed_values.to.capacity_weight =
        parsed_values.cpu_share * parsed_values.cores;
    parsed_values.to.stop_grace = std::chrono::milliseconds(
        static_cast<std::int64_t>(parsed_values.stop_grace_s * ms_per_s));
    parsed_values.to.apply_within =
        std::chrono::milliseconds(parsed_values.apply_ms);
    parsed_values.to.revoke_within =
        std::chrono::milliseconds(parsed_values.revoke_within_ms);
    parsed_values.to.quota.window = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(parsed_values.quota_window_s));
    parsed_values.to.workspace_shares =
        values.count("workspace-shares") > 0
            ? parsed_values.workspace_shares
            : platform::decode_rules(parsed_values.rules).workspaces_compete;
    parsed_values.to.min_stall_timeout =
        std::chrono::milliseconds(parsed_values.stall_least_ms);
    parsed_values.to.drain_within =
        std::chrono::milliseconds(parsed_values.drain_ms);
    return parsed_values.to;
}

} // namespace walnutmill

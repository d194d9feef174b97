#include <walnutmill/settings.hpp>

#include "setting_table.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace walnutmill
{
namespace
{

namespace po = boost::program_options;
using detail::environment_name;
using detail::serve_setting_table;
using detail::setting_definition;

constexpr std::string_view environment_prefix = "WALNUTMILL_";
/// A lease shorter than this many rounds of gossip would be lost to one
/// delayed round.
constexpr int gossip_rounds_in_lease = 3;

struct given_value
{
    std::string text;
    setting_origin origin = setting_origin::built_in;
    std::string place;
};

using given_values = std::map<std::string, given_value>;

po::options_description describe_options()
{
    po::options_description options("Settings of walnutmill serve");
    auto add = options.add_options();
    add("help", "show this text");
    for (auto const& one : serve_setting_table())
    {
        auto* value = po::value<std::string>()->value_name("VALUE");
        if (one.is_switch)
            value->implicit_value("true");
        add(one.name.c_str(), value, one.help.c_str());
    }
    return options;
}

/// Splits the arguments into one group for each flag, so that an error in one
/// does not hide errors in the others.
std::vector<std::vector<std::string>>
group_by_flag(std::vector<std::string> const& arguments)
{
    std::vector<std::vector<std::string>> groups;
    for (auto const& one : arguments)
    {
        if (groups.empty() || one.rfind("--", 0) == 0)
            groups.emplace_back();
        groups.back().push_back(one);
    }
    return groups;
}

void take_flag(
    po::option const& option, given_values& given, parsed_settings& parsed)
{
    if (option.position_key >= 0)
    {
        parsed.problems.add(option.value.front(), "is not a flag");
        return;
    }
    std::string const place = "--" + option.string_key;
    if (option.string_key == "help")
    {
        parsed.help = true;
        return;
    }
    if (option.unregistered)
    {
        parsed.problems.add(place, "unknown flag");
        return;
    }
    // An implicit value is filled in only when options are stored.
    auto text = option.value.empty() ? "true" : option.value.front();
    given_value value{std::move(text), setting_origin::flag, place};
    auto const put = given.emplace(option.string_key, std::move(value));
    if (!put.second)
        parsed.problems.add(place, "given twice");
}

void read_flags(
    std::vector<std::string> const& arguments, given_values& given,
    parsed_settings& parsed)
{
    namespace style = po::command_line_style;
    constexpr int exact_long_flags =
        style::allow_long | style::long_allow_adjacent | style::long_allow_next;
    auto const options = describe_options();
    for (auto const& group : group_by_flag(arguments))
    {
        try
        {
            auto const found = po::command_line_parser(group)
                                   .options(options)
                                   .style(exact_long_flags)
                                   .allow_unregistered()
                                   .run();
            for (auto const& one : found.options)
                take_flag(one, given, parsed);
        }
        catch (po::error const& error)
        {
            auto const flag = group.front().substr(0, group.front().find('='));
            parsed.problems.add(flag, error.what());
        }
    }
}

void read_environment(
    std::vector<std::string> const& environment, given_values& given,
    findings& problems)
{
    auto const& table = serve_setting_table();
    for (auto const& entry : environment)
    {
        if (entry.rfind(environment_prefix, 0) != 0)
            continue;
        auto const split = std::min(entry.find('='), entry.size());
        std::string const name = entry.substr(0, split);
        auto const known = std::find_if(
            table.begin(), table.end(),
            [&](setting_definition const& one)
            { return environment_name(one.name) == name; });
        if (known == table.end())
        {
            problems.add(name, "unknown setting");
            continue;
        }
        auto text = entry.substr(std::min(split + 1, entry.size()));
        // emplace leaves a flag's value in place.
        given.emplace(
            known->name,
            given_value{std::move(text), setting_origin::environment, name});
    }
}

std::string
shown_value(setting_definition const& one, serve_settings const& settings)
{
    auto value = one.get(settings);
    return one.hidden && !value.empty() ? "(hidden)" : value;
}

void apply(
    setting_definition const& one, given_values const& given,
    parsed_settings& parsed)
{
    auto origin = setting_origin::built_in;
    auto const at = given.find(one.name);
    if (at != given.end())
    {
        origin = at->second.origin;
        auto problem = one.set(parsed.value, at->second.text);
        if (!problem.empty())
            parsed.problems.add(at->second.place, std::move(problem));
    }
    else if (one.required)
        parsed.problems.add(
            "--" + one.name,
            "missing; also read from " + environment_name(one.name));
    parsed.lines.push_back({one.name, shown_value(one, parsed.value), origin});
}

void check_together(parsed_settings& parsed)
{
    auto const& settings = parsed.value;
    if (settings.lease < gossip_rounds_in_lease * settings.gossip_interval)
        parsed.problems.add(
            "--lease-ms", "must be at least three times gossip-interval-ms");
    if (settings.lease < gossip_rounds_in_lease * settings.flush_interval)
        parsed.problems.add(
            "--lease-ms", "must be at least three times flush-interval-ms");
    bool const same_port = settings.http_port == settings.peer_port &&
                           settings.http_port != 0 &&
                           settings.http_address == settings.peer_address;
    if (same_port)
        parsed.problems.add("--peer-port", "is the same as http-port");
}

} // namespace

parsed_settings parse_serve_settings(
    std::vector<std::string> const& arguments,
    std::vector<std::string> const& environment)
{
    parsed_settings parsed;
    given_values given;
    read_flags(arguments, given, parsed);
    read_environment(environment, given, parsed.problems);
    for (auto const& one : serve_setting_table())
        apply(one, given, parsed);
    check_together(parsed);
    return parsed;
}

std::string serve_help()
{
    std::ostringstream out;
    out << "Usage: walnutmill serve [--NAME VALUE]...\n\n"
        << describe_options()
        << "\nEach flag --some-name can be given as the environment variable\n"
           "WALNUTMILL_SOME_NAME; a flag goes before the variable. Durations\n"
           "are in milliseconds.\n";
    return out.str();
}

} // namespace walnutmill

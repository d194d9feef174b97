#include "setting_table.hpp"

#include "ip_endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace walnutmill
{
namespace detail
{
namespace
{

using definition = setting_definition;

/// A shorter key could be guessed by trying.
constexpr std::size_t shortest_key = 16;
constexpr std::size_t longest_name = 64;

constexpr std::array<std::string_view, 4> severity_names{
    {"debug", "info", "warning", "error"}};

bool is_name_character(unsigned char c)
{
    return std::isalnum(c) != 0 || c == '-' || c == '_';
}

std::string check_name(std::string const& text)
{
    // A dot would make session ids, "<node>.<incarnation>", ambiguous.
    bool const sound = !text.empty() && text.size() <= longest_name &&
                       std::all_of(text.begin(), text.end(), is_name_character);
    if (sound)
        return "";
    return "must be 1 to 64 letters, digits, '-' or '_'";
}

std::string check_address(std::string const& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return error ? "must be an IP number" : "";
}

std::string check_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    bool const sound = colon != std::string::npos &&
                       check_address(text.substr(0, colon)).empty() &&
                       parse_port(text.substr(colon + 1));
    return sound ? "" : "must be an IP number, ':' and a port";
}

std::string check_url(std::string const& text)
{
    bool const sound =
        text.rfind("http://", 0) == 0 || text.rfind("https://", 0) == 0;
    return sound ? "" : "must begin with http:// or https://";
}

std::string check_key(std::string const& text)
{
    return text.size() >= shortest_key ? "" : "must have at least 16 bytes";
}

using text_check = std::string (*)(std::string const&);

definition text_setting(
    std::string name, std::string help, std::string serve_settings::*member,
    text_check check)
{
    definition made;
    made.name = std::move(name);
    made.help = std::move(help);
    made.set = [member, check](serve_settings& into, std::string const& text)
    {
        into.*member = text;
        return check(text);
    };
    made.get = [member](serve_settings const& from) { return from.*member; };
    return made;
}

template<class Id>
definition
name_setting(std::string name, std::string help, Id serve_settings::*member)
{
    definition made;
    made.name = std::move(name);
    made.help = std::move(help);
    made.required = true;
    made.set = [member](serve_settings& into, std::string const& text)
    {
        into.*member = Id(text);
        return check_name(text);
    };
    made.get = [member](serve_settings const& from)
    { return (from.*member).str(); };
    return made;
}

/// Reads a whole number within bounds.
/// \return what is wrong with the text; empty when sound.
std::string read_number(
    std::string const& text, std::int64_t least, std::int64_t most,
    std::int64_t& number)
{
    bool const read = boost::conversion::try_lexical_convert(text, number);
    if (read && number >= least && number <= most)
        return "";
    return "must be a whole number from " + std::to_string(least) + " to " +
           std::to_string(most);
}

template<class Number>
definition number_setting(
    std::string name, std::string help, Number serve_settings::*member,
    std::int64_t least, std::int64_t most)
{
    definition made;
    made.name = std::move(name);
    made.help = std::move(help);
    made.set =
        [member, least, most](serve_settings& into, std::string const& text)
    {
        std::int64_t number = 0;
        auto problem = read_number(text, least, most, number);
        if (problem.empty())
            into.*member = static_cast<Number>(number);
        return problem;
    };
    made.get = [member](serve_settings const& from)
    { return std::to_string(from.*member); };
    return made;
}

definition milliseconds_setting(
    std::string name, std::string help,
    std::chrono::milliseconds serve_settings::*member, std::int64_t least,
    std::int64_t most)
{
    definition made;
    made.name = std::move(name);
    made.help = std::move(help);
    made.set =
        [member, least, most](serve_settings& into, std::string const& text)
    {
        std::int64_t number = 0;
        auto problem = read_number(text, least, most, number);
        if (problem.empty())
            into.*member = std::chrono::milliseconds(number);
        return problem;
    };
    made.get = [member](serve_settings const& from)
    { return std::to_string((from.*member).count()); };
    return made;
}

definition severity_setting()
{
    definition made;
    made.name = "log-level";
    made.help = "least severity logged: debug, info, warning or error";
    made.set = [](serve_settings& into, std::string const& text) -> std::string
    {
        auto const* at =
            std::find(severity_names.begin(), severity_names.end(), text);
        if (at == severity_names.end())
            return "must be debug, info, warning or error";
        into.log_level = static_cast<severity>(at - severity_names.begin());
        return "";
    };
    made.get = [](serve_settings const& from)
    {
        return std::string(
            severity_names.at(static_cast<std::size_t>(from.log_level)));
    };
    return made;
}

definition print_switch()
{
    definition made;
    made.name = "print-settings";
    made.help = "show each setting with its origin and exit";
    made.is_switch = true;
    made.set = [](serve_settings& into, std::string const& text) -> std::string
    {
        into.print_settings = text == "true";
        return text == "true" || text == "false" ? "" : "must be true or false";
    };
    made.get = [](serve_settings const& from) -> std::string
    { return from.print_settings ? "true" : "false"; };
    return made;
}

definition required(definition one)
{
    one.required = true;
    return one;
}

definition hidden(definition one)
{
    one.hidden = true;
    return one;
}

std::vector<definition> make_table()
{
    using s = serve_settings;
    constexpr std::int64_t minute_ms = 60'000;
    constexpr std::int64_t hour_ms = 60 * minute_ms;
    return {
        name_setting("node", "name of this node", &s::node),
        name_setting("zone", "failure domain of this node", &s::zone),
        text_setting(
            "http-address", "IP number for callers and operators",
            &s::http_address, check_address),
        number_setting(
            "http-port", "port for callers and operators", &s::http_port, 1,
            65'535),
        text_setting(
            "peer-address", "IP number for other nodes", &s::peer_address,
            check_address),
        number_setting(
            "peer-port", "port for other nodes; 0: any free one", &s::peer_port,
            0, 65'535),
        text_setting(
            "peer-advertise",
            "IP:PORT at which other nodes reach this one; its own by default",
            &s::peer_advertise, check_endpoint),
        required(text_setting(
            "table-url", "base address of the table service", &s::table_url,
            check_url)),
        required(text_setting(
            "object-url", "base address of the object store", &s::object_url,
            check_url)),
        text_setting(
            "vm-list-url", "address of the platform's list of VMs",
            &s::vm_list_url, check_url),
        hidden(required(text_setting(
            "peer-key", "shared key of all nodes; better by environment",
            &s::peer_key, check_key))),
        number_setting(
            "shards", "number of shards; the same at all nodes", &s::shards, 1,
            65'536),
        number_setting(
            "http-threads", "threads that serve HTTP", &s::http_threads, 1,
            256),
        number_setting(
            "max-body-bytes", "longest body of a request", &s::max_body_bytes,
            1'024, 256 << 20),
        milliseconds_setting(
            "flush-interval-ms", "longest wait of a record for its commit",
            &s::flush_interval, 1, 10'000),
        milliseconds_setting(
            "lease-ms", "standstill after which a session is fenced", &s::lease,
            500, 10 * minute_ms),
        milliseconds_setting(
            "gossip-interval-ms", "time between rounds of gossip",
            &s::gossip_interval, 10, minute_ms),
        milliseconds_setting(
            "stop-limit-ms", "longest time of a planned stop", &s::stop_limit,
            0, hour_ms),
        severity_setting(),
        print_switch()};
}

} // namespace

std::vector<setting_definition> const& serve_setting_table()
{
    static std::vector<setting_definition> const table = make_table();
    return table;
}

std::string environment_name(std::string_view flag_name)
{
    std::string name = "WALNUTMILL_";
    for (unsigned char const c : flag_name)
        name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
    return name;
}

} // namespace detail
} // namespace walnutmill

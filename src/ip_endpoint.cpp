#include "ip_endpoint.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>
#include <string>

namespace walnutmill
{

namespace asio = boost::asio;
using asio::ip::tcp;

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    // Unlike lexical_cast, from_chars wraps no negative number around. It
    // accepts no plus sign and no spaces.
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, port);
    if (text.empty() || text.front() == '0' || read.ec != std::errc() ||
        read.ptr != end)
        return std::nullopt;
    return port;
}

std::optional<tcp::endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto const host = text.substr(0, colon);
    auto const port = parse_port(text.substr(colon + 1));
    // The library reads up to a null character.
    if (!port || host.find_first_not_of("0123456789.") != host.npos)
        return std::nullopt;
    boost::system::error_code error;
    auto const address = asio::ip::make_address_v4(std::string(host), error);
    if (error)
        return std::nullopt;
    return tcp::endpoint(address, *port);
}

bool is_connectable(tcp::endpoint const& endpoint)
{
    auto const& address = endpoint.address();
    return !address.is_unspecified() && !address.is_multicast() &&
           address != asio::ip::address_v4::broadcast();
}

} // namespace walnutmill

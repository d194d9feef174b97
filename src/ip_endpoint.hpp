#ifndef WALNUTMILL_SRC_IP_ENDPOINT_HPP
#define WALNUTMILL_SRC_IP_ENDPOINT_HPP

/// \file
/// Parses the addresses that settings and other programs state.

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace walnutmill
{

/// \return the port; empty unless the text is a decimal number from 1 to
/// 65535, without a sign, spaces or leading zeros
std::optional<std::uint16_t> parse_port(std::string_view text);

/// \return the endpoint of an address IP:PORT (IPv4); empty if it is invalid
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view text);

/// \return true if connections to the endpoint are possible: its address is
/// neither unspecified nor that of a group
bool is_connectable(boost::asio::ip::tcp::endpoint const& endpoint);

} // namespace walnutmill

#endif

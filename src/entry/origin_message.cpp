#include "entry/origin_message.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// First element of each message. Other protocols share the address; their
/// messages begin with another text or a boolean.
constexpr char const* message_tag = "origin";
/// Longest name of a service, a version or a node.
constexpr std::size_t max_name_bytes = 200;

bool is_valid(origin_message const& message)
{
    auto const known_type = message.type == origin_message_type::copy ||
                            message.type == origin_message_type::query ||
                            message.type == origin_message_type::answer;
    if (!known_type || message.node.size() > max_name_bytes)
        return false;
    if (!message.origin)
        return message.type != origin_message_type::copy;
    return !message.origin->service.empty() &&
           message.origin->service.str().size() <= max_name_bytes &&
           message.origin->version.size() <= max_name_bytes;
}

} // namespace

std::string encode(origin_message const& message)
{
    auto body = json::array(
        {message_tag, static_cast<std::uint8_t>(message.type), message.stream,
         message.query, message.node});
    if (message.origin)
    {
        body.push_back(message.origin->service.str());
        body.push_back(message.origin->version);
    }
    auto const bytes = json::to_cbor(body);
    return {bytes.begin(), bytes.end()};
}

std::optional<origin_message> decode_origin_message(std::string_view bytes)
{
    try
    {
        auto const body = decode_cbor(bytes);
        if (!body.is_array() || body.empty() || body[0] != message_tag)
            return std::nullopt;
        origin_message message;
        message.type =
            static_cast<origin_message_type>(body.at(1).get<std::uint8_t>());
        message.stream = body.at(2).get<stream_key>();
        message.query = body.at(3).get<std::uint64_t>();
        message.node = body.at(4).get<std::string>();
        // A later version may add elements. It puts nulls in place of an absent
        // origin then.
        constexpr std::size_t origin_index = 5;
        if (body.size() > origin_index && !body[origin_index].is_null())
        {
            message.origin = {
                service_name(body[origin_index].get<std::string>()),
                body.at(origin_index + 1).get<std::string>()};
        }
        if (!is_valid(message))
            return std::nullopt;
        return message;
    }
    catch (std::exception const&)
    {
        // The caller counts undecodable datagrams.
        return std::nullopt;
    }
}

} // namespace walnutmill

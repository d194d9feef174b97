#include "entry/quota_message.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// First element of each message. Load reports arrive at the same address; they
/// are CBOR arrays of another length and start with a boolean.
constexpr char const* message_tag = "quota";
constexpr std::int64_t max_retry_after_ms = 60'000;

bool is_finite_non_negative(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool is_valid(quota_message const& message)
{
    auto const type = static_cast<std::uint8_t>(message.type);
    return type >=
               static_cast<std::uint8_t>(quota_message_type::request_token) &&
           type <= static_cast<std::uint8_t>(quota_message_type::pong) &&
           is_finite_non_negative(message.request.limit.per_second) &&
           is_finite_non_negative(message.request.limit.burst) &&
           message.answer.decision <= quota_decision::undecided &&
           message.answer.retry_after.count() >= 0 &&
           message.answer.retry_after.count() <= max_retry_after_ms;
}

quota_message parse_message(json const& body)
{
    quota_message message;
    std::size_t position = 1;
    auto const next = [&]() -> json const& { return body.at(position++); };
    message.type = static_cast<quota_message_type>(next().get<std::uint8_t>());
    message.node = next().get<std::string>();
    message.request_id = next().get<std::uint64_t>();
    message.request.owner = workspace_name(next().get<std::string>());
    message.request.limit.per_second = next().get<double>();
    message.request.limit.burst = next().get<double>();
    message.configuration = next().get<std::uint64_t>();
    message.hops = next().get<std::uint32_t>();
    message.answer.decision =
        static_cast<quota_decision>(next().get<std::uint8_t>());
    message.answer.retry_after =
        std::chrono::milliseconds(next().get<std::int64_t>());
    return message;
}

} // namespace

std::string encode(quota_message const& message)
{
    auto const bytes = json::to_cbor(json::array(
        {message_tag, static_cast<std::uint8_t>(message.type), message.node,
         message.request_id, message.request.owner.str(),
         message.request.limit.per_second, message.request.limit.burst,
         message.configuration, message.hops,
         static_cast<std::uint8_t>(message.answer.decision),
         message.answer.retry_after.count()}));
    return {bytes.begin(), bytes.end()};
}

std::optional<quota_message> decode_quota_message(std::string_view bytes)
{
    try
    {
        auto const body = json::from_cbor(bytes.begin(), bytes.end());
        if (!body.is_array() || body.empty() || body[0] != message_tag)
            return std::nullopt;
        auto const message = parse_message(body);
        if (!is_valid(message))
            return std::nullopt;
        return message;
    }
    catch (json::exception const&)
    {
        // The caller counts undecodable datagrams.
        return std::nullopt;
    }
}

} // namespace walnutmill

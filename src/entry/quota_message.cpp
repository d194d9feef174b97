#include "entry/quota_message.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// First element of each message. Load reports arrive at the same address; they
/// are CBOR arrays that start with a boolean.
constexpr char const* message_tag = "quota";
constexpr std::int64_t max_retry_after_ms = 60'000;
/// Positions of elements that may be absent. Elements behind them are ignored.
constexpr std::size_t use_position = 11;
constexpr std::size_t coordinator_position = 12;
/// Upper bound of a use that counts, in thousandths.
constexpr std::uint64_t max_use = 1'000'000;

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

/// \return the use; empty if it is absent or not a use, which leaves the rest
/// of the message valid
std::optional<std::uint32_t> parse_use(json const& body)
{
    if (body.size() <= use_position || !body[use_position].is_number_unsigned())
        return std::nullopt;
    auto const use = body[use_position].get<std::uint64_t>();
    if (use > max_use)
        return std::nullopt;
    return static_cast<std::uint32_t>(use);
}

std::optional<bool> parse_coordinator(json const& body)
{
    if (body.size() <= coordinator_position ||
        !body[coordinator_position].is_boolean())
        return std::nullopt;
    return body[coordinator_position].get<bool>();
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
    message.answer.use = parse_use(body);
    message.asker_is_coordinator = parse_coordinator(body);
    return message;
}

} // namespace

std::string encode(quota_message const& message)
{
    auto body = json::array(
        {message_tag, static_cast<std::uint8_t>(message.type), message.node,
         message.request_id, message.request.owner.str(),
         message.request.limit.per_second, message.request.limit.burst,
         message.configuration, message.hops,
         static_cast<std::uint8_t>(message.answer.decision),
         message.answer.retry_after.count()});
    if (message.answer.use)
        body.push_back(*message.answer.use);
    if (message.asker_is_coordinator)
    {
        if (!message.answer.use)
            body.push_back(nullptr);
        body.push_back(*message.asker_is_coordinator);
    }
    auto const bytes = json::to_cbor(body);
    return {bytes.begin(), bytes.end()};
}

std::optional<quota_message> decode_quota_message(std::string_view bytes)
{
    try
    {
        auto const body = decode_cbor(bytes);
        if (!body.is_array() || body.empty() || body[0] != message_tag)
            return std::nullopt;
        auto const message = parse_message(body);
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

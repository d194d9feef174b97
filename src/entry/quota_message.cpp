#include "entry/quota_message.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// Starts each message. Its length differs from that of load reports, which
/// come to the same address.
constexpr char const* mark = "quota";
constexpr std::int64_t longest_wait_ms = 60'000;

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

bool is_sound(quota_message const& one)
{
    auto const verb = static_cast<std::uint8_t>(one.verb);
    return verb >= static_cast<std::uint8_t>(quota_verb::ask) &&
           verb <= static_cast<std::uint8_t>(quota_verb::pong) &&
           is_amount(one.request.limit.per_second) &&
           is_amount(one.request.limit.burst) &&
           one.answer.decision <= quota_decision::undecided &&
           one.answer.retry_after.count() >= 0 &&
           one.answer.retry_after.count() <= longest_wait_ms;
}

quota_message message_of(json const& body)
{
    quota_message to;
    std::size_t at = 1;
    auto const next = [&]() -> json const& { return body.at(at++); };
    to.verb = static_cast<quota_verb>(next().get<std::uint8_t>());
    to.node = next().get<std::string>();
    to.number = next().get<std::uint64_t>();
    to.request.owner = workspace_name(next().get<std::string>());
    to.request.limit.per_second = next().get<double>();
    to.request.limit.burst = next().get<double>();
    to.configuration = next().get<std::uint64_t>();
    to.hops = next().get<std::uint32_t>();
    to.answer.decision =
        static_cast<quota_decision>(next().get<std::uint8_t>());
    to.answer.retry_after =
        std::chrono::milliseconds(next().get<std::int64_t>());
    return to;
}

} // namespace

std::string encode(quota_message const& message)
{
    auto const bytes = json::to_cbor(json::array(
        {mark, static_cast<std::uint8_t>(message.verb), message.node,
         message.number, message.request.owner.str(),
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
        if (!body.is_array() || body.empty() || body[0] != mark)
            return std::nullopt;
        auto const to = message_of(body);
        if (!is_sound(to))
            return std::nullopt;
        return to;
    }
    catch (json::exception const&)
    {
        // Counted by the caller.
        return std::nullopt;
    }
}

} // namespace walnutmill

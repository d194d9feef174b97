#include "peer_frame.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

json refusal_to_json(refusal const& error)
{
    json made;
    made["code"] = to_string(error.code);
    made["ran"] = to_string(error.ran);
    made["message"] = error.message;
    made["field"] = error.field;
    made["retry_ms"] = error.retry_after.count();
    return made;
}

refusal refusal_from_json(json const& value)
{
    refusal made;
    made.code = errc_from(value.value("code", ""));
    made.ran = certainty_from(value.value("ran", ""));
    made.message = value.value("message", "");
    made.field = value.value("field", "");
    made.retry_after =
        std::chrono::milliseconds(value.value("retry_ms", std::int64_t(0)));
    return made;
}

bool is_known(int kind)
{
    return kind >= static_cast<int>(frame_kind::request) &&
           kind <= static_cast<int>(frame_kind::note);
}

peer_frame frame_from_json(json const& value, int kind)
{
    peer_frame made;
    made.kind = static_cast<frame_kind>(kind);
    made.request = value.value("id", std::uint64_t(0));
    made.topic = value.value("topic", "");
    if (value.contains("body"))
    {
        auto const& body = value["body"].get_binary();
        made.body.assign(body.begin(), body.end());
    }
    if (value.contains("error"))
        made.error = refusal_from_json(value["error"]);
    return made;
}

} // namespace

std::string encode_frame(peer_frame const& frame)
{
    json made;
    made["kind"] = static_cast<int>(frame.kind);
    if (frame.request != 0)
        made["id"] = frame.request;
    if (!frame.topic.empty())
        made["topic"] = frame.topic;
    if (!frame.body.empty())
        made["body"] = json::binary({frame.body.begin(), frame.body.end()});
    if (frame.kind == frame_kind::refused)
        made["error"] = refusal_to_json(frame.error);
    std::string bytes;
    json::to_cbor(made, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<peer_frame> decode_frame(std::string_view bytes)
{
    try
    {
        auto const value = decode_cbor(bytes);
        int const kind = value.value("kind", 0);
        if (!is_known(kind))
            return std::nullopt;
        return frame_from_json(value, kind);
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace detail
} // namespace walnutmill

#include "entry/crash_message.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// First element of each message. Other protocols share the address; their
/// messages begin with another text or a boolean.
constexpr char const* message_tag = "crash";
/// Second element.
constexpr int kind_records = 0;
constexpr int kind_query = 1;
constexpr int kind_end_of_answer = 2;
constexpr std::size_t max_requests = 512;
constexpr std::size_t max_runs = 64;
constexpr std::size_t max_text_bytes = 256;
/// Ages beyond this are cut, so that no time overflows.
constexpr std::int64_t max_age_us = 86'400'000'000;

std::int64_t age_of(time_point when, time_point now)
{
    return std::clamp<std::int64_t>((now - when).count(), 0, max_age_us);
}

time_point time_of(json const& age, time_point now)
{
    return now - duration(std::clamp<std::int64_t>(
                     age.get<std::int64_t>(), 0, max_age_us));
}

std::string text_of(json const& from)
{
    auto text = from.get<std::string>();
    text.resize(std::min(text.size(), max_text_bytes));
    return text;
}

json encode_run(engine_run const& run, time_point now)
{
    return json::array(
        {run.id, run.engine, static_cast<std::uint8_t>(run.state),
         age_of(run.began, now), age_of(run.ended, now)});
}

// Further elements of a message, a request or a run are those of a later
// version and are ignored.

std::optional<engine_run> decode_run(json const& from, time_point now)
{
    constexpr std::size_t fields = 5;
    if (!from.is_array() || from.size() < fields)
        return std::nullopt;
    engine_run run;
    run.id = from[0].get<run_id>();
    run.engine = text_of(from[1]);
    auto const state = from[2].get<std::uint8_t>();
    if (state < static_cast<std::uint8_t>(run_state::running) ||
        state > static_cast<std::uint8_t>(run_state::survived))
        return std::nullopt;
    run.state = static_cast<run_state>(state);
    run.began = time_of(from[3], now);
    run.ended = time_of(from[4], now);
    return run;
}

json encode_request(
    request_digest digest, suspect_request const& one, time_point now)
{
    auto runs = json::array();
    for (auto const& run : one.runs)
        runs.push_back(encode_run(run, now));
    auto const& label = one.label;
    return json::array(
        {digest, one.generation, label.workspace, label.program, label.route,
         label.request, std::move(runs)});
}

std::optional<std::pair<request_digest, suspect_request>>
decode_request(json const& from, time_point now)
{
    constexpr std::size_t fields = 7;
    if (!from.is_array() || from.size() < fields || !from[6].is_array() ||
        from[6].size() > max_runs)
        return std::nullopt;
    suspect_request one;
    auto const digest = from[0].get<request_digest>();
    one.generation = from[1].get<std::uint32_t>();
    one.label = {
        text_of(from[2]), text_of(from[3]), text_of(from[4]), text_of(from[5])};
    for (auto const& each : from[6])
    {
        auto run = decode_run(each, now);
        if (!run)
            return std::nullopt;
        one.runs.push_back(std::move(*run));
    }
    return std::make_pair(digest, std::move(one));
}

} // namespace

std::string encode(crash_message const& message, time_point now)
{
    auto requests = json::array();
    for (auto const& [digest, one] : message.requests)
        requests.push_back(encode_request(digest, one, now));
    auto const kind = message.is_query           ? kind_query
                      : message.completes_answer ? kind_end_of_answer
                                                 : kind_records;
    auto const bytes =
        json::to_cbor(json::array({message_tag, kind, std::move(requests)}));
    return {bytes.begin(), bytes.end()};
}

std::optional<crash_message>
decode_crash_message(std::string_view bytes, time_point now)
{
    try
    {
        auto const body = decode_cbor(bytes);
        constexpr std::size_t fields = 3;
        if (!body.is_array() || body.size() < fields ||
            body[0] != message_tag || !body[2].is_array() ||
            body[2].size() > max_requests)
            return std::nullopt;
        crash_message message;
        auto const kind = body[1].get<int>();
        if (kind < kind_records || kind > kind_end_of_answer)
            return std::nullopt;
        message.is_query = kind == kind_query;
        message.completes_answer = kind == kind_end_of_answer;
        for (auto const& each : body[2])
        {
            auto one = decode_request(each, now);
            if (!one)
                return std::nullopt;
            message.requests.push_back(std::move(*one));
        }
        return message;
    }
    catch (std::exception const&)
    {
        // The caller counts undecodable datagrams.
        return std::nullopt;
    }
}

} // namespace walnutmill

#include "gossip_codec.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

constexpr std::uint64_t format_version = 1;

/// Places in the array of a message.
enum message_field : std::size_t
{
    field_version,
    field_sender,
    field_head,
    field_beats,
    field_entries,
    field_fenced,
    field_wanted,
    field_count
};

std::size_t cbor_bytes(std::uint64_t number)
{
    if (number < 24)
        return 1;
    if (number <= 0xff)
        return 2;
    if (number <= 0xffff)
        return 3;
    return number <= 0xffffffff ? 5 : 9;
}

std::size_t cbor_bytes(std::string const& text)
{
    return cbor_bytes(text.size()) + text.size();
}

std::size_t cbor_bytes(load_digest const& load)
{
    return cbor_bytes(load.queued) + cbor_bytes(load.running) +
           cbor_bytes(load.programs);
}

/// How far a member is behind the head: nearly always zero, one byte.
std::uint64_t lag_behind(std::uint64_t head, std::uint64_t version)
{
    return head > version ? head - version : 0;
}

json beat_to_json(beat const& one, std::uint64_t head)
{
    json made = json::array(
        {one.key, one.counter, lag_behind(head, one.configuration),
         one.load.queued, one.load.running, one.load.programs});
    if (one.leaving)
        made.push_back(true);
    return made;
}

beat beat_from_json(json const& value, std::uint64_t head)
{
    beat made;
    made.key = value.at(0).get<member_key>();
    made.counter = value.at(1).get<std::uint64_t>();
    auto const lag = value.at(2).get<std::uint64_t>();
    made.configuration = head > lag ? head - lag : 0;
    made.load.queued = value.at(3).get<std::uint32_t>();
    made.load.running = value.at(4).get<std::uint32_t>();
    made.load.programs = value.at(5).get<std::uint32_t>();
    made.leaving = value.size() > 6 && value[6].get<bool>();
    return made;
}

json entry_to_json(member_info const& one)
{
    return json::array(
        {one.node.str(), one.session.str(), one.incarnation, one.http_address,
         one.peer_address, one.zone.str(), one.counter, one.configuration,
         one.load.queued, one.load.running, one.load.programs, one.leaving});
}

member_info entry_from_json(json const& value)
{
    member_info made;
    made.node = node_name(value.at(0).get<std::string>());
    made.session = session_id(value.at(1).get<std::string>());
    made.incarnation = value.at(2).get<std::uint64_t>();
    made.http_address = value.at(3).get<std::string>();
    made.peer_address = value.at(4).get<std::string>();
    made.zone = zone_name(value.at(5).get<std::string>());
    made.counter = value.at(6).get<std::uint64_t>();
    made.configuration = value.at(7).get<std::uint64_t>();
    made.load.queued = value.at(8).get<std::uint32_t>();
    made.load.running = value.at(9).get<std::uint32_t>();
    made.load.programs = value.at(10).get<std::uint32_t>();
    made.leaving = value.at(11).get<bool>();
    return made;
}

gossip_body body_from_json(json const& value)
{
    gossip_body made;
    made.sender = value.at(field_sender).get<std::string>();
    made.head = value.at(field_head).get<std::uint64_t>();
    for (auto const& one : value.at(field_beats))
        made.beats.push_back(beat_from_json(one, made.head));
    for (auto const& one : value.at(field_entries))
        made.entries.push_back(entry_from_json(one));
    for (auto const& one : value.at(field_fenced))
        made.fenced.emplace_back(one.get<std::string>());
    for (auto const& one : value.at(field_wanted))
        made.wanted.push_back(one.get<member_key>());
    return made;
}

} // namespace

std::string encode_gossip(gossip_body const& body)
{
    json made = json::array();
    for (std::size_t i = 0; i < field_count; ++i)
        made.push_back(json::array());
    made[field_version] = format_version;
    made[field_sender] = body.sender;
    made[field_head] = body.head;
    for (auto const& one : body.beats)
        made[field_beats].push_back(beat_to_json(one, body.head));
    for (auto const& one : body.entries)
        made[field_entries].push_back(entry_to_json(one));
    for (auto const& one : body.fenced)
        made[field_fenced].push_back(one.str());
    for (auto const one : body.wanted)
        made[field_wanted].push_back(one);
    std::string bytes;
    json::to_cbor(made, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<gossip_body> decode_gossip(std::string_view bytes)
{
    try
    {
        auto const value = decode_cbor(bytes);
        return body_from_json(value);
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

std::size_t encoded_bytes(beat const& one, std::uint64_t head)
{
    constexpr std::size_t array_and_flag = 2;
    return array_and_flag + cbor_bytes(one.key) + cbor_bytes(one.counter) +
           cbor_bytes(lag_behind(head, one.configuration)) +
           cbor_bytes(one.load);
}

std::size_t encoded_bytes(member_info const& one)
{
    constexpr std::size_t array_and_flag = 2;
    return array_and_flag + cbor_bytes(one.node.str()) +
           cbor_bytes(one.session.str()) + cbor_bytes(one.incarnation) +
           cbor_bytes(one.http_address) + cbor_bytes(one.peer_address) +
           cbor_bytes(one.zone.str()) + cbor_bytes(one.counter) +
           cbor_bytes(one.configuration) + cbor_bytes(one.load);
}

std::size_t encoded_bytes(session_id const& one)
{
    return cbor_bytes(one.str());
}

std::size_t encoded_bytes(member_key one)
{
    return cbor_bytes(one);
}

std::size_t empty_message_bytes(std::string const& sender)
{
    // Arrays' own headers have up to three bytes, the head up to nine.
    constexpr std::size_t headers = 6 * 3 + 9;
    return headers + cbor_bytes(sender);
}

} // namespace detail
} // namespace walnutmill

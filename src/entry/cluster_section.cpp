#include "entry/cluster_section.hpp"

#include <walnutmill/hash.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

/// Place of the time since the newest reading in a told section.
constexpr std::size_t whole_age_at = 4;

std::string to_bytes(json const& body)
{
    auto const bytes = json::to_cbor(body);
    return {bytes.begin(), bytes.end()};
}

json binary_of(std::string const& bytes)
{
    return json::binary(
        json::binary_t::container_type(bytes.begin(), bytes.end()));
}

/// \throws json::exception where it is no byte string
std::string text_of(json const& one)
{
    auto const& bytes = one.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Decodes bytes of another node, which may be of another version.
template<class Value, class Decode>
std::optional<Value> decode_bytes(std::string_view bytes, Decode const& decode)
{
    try
    {
        return decode(json::from_cbor(bytes.begin(), bytes.end()));
    }
    catch (json::exception const&)
    {
        // The caller logs it and reads the store itself.
        return std::nullopt;
    }
}

engine_entry engine_of(json const& one)
{
    engine_entry to;
    to.id = target_name(one.at(0).get<std::string>());
    to.service = service_name(one.at(1).get<std::string>());
    to.address = one.at(2).get<std::string>();
    to.zone = zone_name(one.at(3).get<std::string>());
    to.slots = one.at(4).get<std::uint32_t>();
    to.state =
        one.at(5).get<bool>() ? engine_state::ready : engine_state::draining;
    to.incarnation.started_at_ms = one.at(6).get<std::int64_t>();
    return to;
}

entry_member member_of(json const& one)
{
    entry_member to;
    to.node = one.at(0).get<std::string>();
    to.address = one.at(1).get<std::string>();
    to.domain = one.at(2).get<std::string>();
    to.incarnation = one.at(3).get<std::string>();
    to.strength = one.at(4).get<double>();
    return to;
}

} // namespace

std::string encode(configuration_row const& one)
{
    return to_bytes(json::array({one.version, binary_of(one.document)}));
}

std::optional<configuration_row>
decode_configuration_row(std::string_view bytes)
{
    return decode_bytes<configuration_row>(
        bytes,
        [](json const& body)
        {
            return configuration_row{
                body.at(0).get<std::uint64_t>(), text_of(body.at(1))};
        });
}

std::string encode(std::vector<engine_entry> const& engines)
{
    auto body = json::array();
    for (auto const& one : engines)
    {
        body.push_back(json::array(
            {one.id.str(), one.service.str(), one.address, one.zone.str(),
             one.slots, one.state == engine_state::ready,
             one.incarnation.started_at_ms}));
    }
    return to_bytes(body);
}

std::optional<std::vector<engine_entry>>
decode_engine_list(std::string_view bytes)
{
    return decode_bytes<std::vector<engine_entry>>(
        bytes,
        [](json const& body)
        {
            std::vector<engine_entry> to;
            for (auto const& one : body)
                to.push_back(engine_of(one));
            return to;
        });
}

std::string encode(std::vector<entry_member> const& members)
{
    auto body = json::array();
    for (auto const& one : members)
    {
        body.push_back(json::array(
            {one.node, one.address, one.domain, one.incarnation,
             one.strength}));
    }
    return to_bytes(body);
}

std::optional<std::vector<entry_member>>
decode_member_list(std::string_view bytes)
{
    return decode_bytes<std::vector<entry_member>>(
        bytes,
        [](json const& body)
        {
            std::vector<entry_member> to;
            for (auto const& one : body)
                to.push_back(member_of(one));
            return to;
        });
}

cluster_section
make_section(std::uint64_t as_of, time_point read_at, std::string bytes)
{
    auto const digest = stable_hash(bytes);
    return {as_of, read_at, std::move(bytes), digest};
}

std::string encode(section_query const& one)
{
    return to_bytes(json(one.digests));
}

std::optional<section_query> decode_section_query(std::string_view bytes)
{
    return decode_bytes<section_query>(
        bytes,
        [](json const& body)
        {
            section_query to;
            for (std::size_t i = 0; i < cluster_tables; ++i)
                to.digests[i] = body.at(i).get<std::uint64_t>();
            return to;
        });
}

std::string encode(told_sections const& sections)
{
    auto body = json::array();
    for (auto const& one : sections)
    {
        body.push_back(json::array(
            {one.as_of, one.age.count(), one.digest,
             one.bytes ? binary_of(*one.bytes) : json(),
             one.whole_age ? json(one.whole_age->count()) : json()}));
    }
    return to_bytes(body);
}

std::optional<told_sections> decode_told_sections(std::string_view bytes)
{
    return decode_bytes<told_sections>(
        bytes,
        [](json const& body)
        {
            told_sections to;
            for (std::size_t i = 0; i < cluster_tables; ++i)
            {
                auto const& one = body.at(i);
                to[i].as_of = one.at(0).get<std::uint64_t>();
                to[i].age = milliseconds(one.at(1).get<std::int64_t>());
                to[i].digest = one.at(2).get<std::uint64_t>();
                if (!one.at(3).is_null())
                    to[i].bytes = text_of(one.at(3));
                // Nodes of an earlier version leave it out.
                if (one.size() > whole_age_at && !one[whole_age_at].is_null())
                {
                    to[i].whole_age =
                        milliseconds(one[whole_age_at].get<std::int64_t>());
                }
            }
            return to;
        });
}

std::optional<told_sections> answer_query(
    section_query const& query, cluster_sections const& known, time_point now,
    time_point boot_now)
{
    told_sections to;
    for (std::size_t i = 0; i < cluster_tables; ++i)
    {
        auto const& one = known[i];
        if (!one.known())
            return std::nullopt;
        to[i].as_of = one.as_of;
        to[i].age = std::chrono::duration_cast<milliseconds>(now - one.read_at);
        to[i].digest = one.digest;
        if (one.digest != query.digests[i])
            to[i].bytes = one.bytes;
        // Rounded up: a reading must not look newer than it is.
        if (one.whole_at != time_point{} && boot_now >= one.whole_at)
        {
            to[i].whole_age =
                std::chrono::ceil<milliseconds>(boot_now - one.whole_at);
        }
    }
    return to;
}

} // namespace walnutmill

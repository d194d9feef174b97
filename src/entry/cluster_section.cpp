#include "entry/cluster_section.hpp"

#include "cbor.hpp"

#include <walnutmill/hash.hpp>

#include <nlohmann/json.hpp>

#include <exception>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

/// Index of the read start age in an encoded peer section.
constexpr std::size_t read_start_age_index = 4;
/// Index of the compressed table, as its original size and its bytes.
constexpr std::size_t compressed_index = 5;
/// Smaller tables are sent plain.
constexpr std::size_t min_compressed_table = 4'096;

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

/// \throws json::exception if the value is not a byte string
std::string text_of(json const& one)
{
    auto const& bytes = one.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Decodes bytes from another node, which may run another version.
template<class Value, class Decode>
std::optional<Value> decode_bytes(std::string_view bytes, Decode const& decode)
{
    try
    {
        return decode(decode_cbor(bytes));
    }
    catch (std::exception const&)
    {
        // The caller logs the failure and reads the store itself.
        return std::nullopt;
    }
}

engine_entry engine_of(json const& one)
{
    engine_entry entry;
    entry.id = target_name(one.at(0).get<std::string>());
    entry.service = service_name(one.at(1).get<std::string>());
    entry.address = one.at(2).get<std::string>();
    entry.zone = zone_name(one.at(3).get<std::string>());
    entry.slots = one.at(4).get<std::uint32_t>();
    entry.state =
        one.at(5).get<bool>() ? engine_state::ready : engine_state::draining;
    entry.incarnation.started_at_ms = one.at(6).get<std::int64_t>();
    entry.version = one.at(7).get<std::string>();
    return entry;
}

entry_member member_of(json const& one)
{
    entry_member member;
    member.node = one.at(0).get<std::string>();
    member.address = one.at(1).get<std::string>();
    member.domain = one.at(2).get<std::string>();
    member.incarnation = one.at(3).get<std::string>();
    member.strength = one.at(4).get<double>();
    return member;
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
             one.incarnation.started_at_ms, one.version}));
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
            std::vector<engine_entry> engines;
            for (auto const& one : body)
                engines.push_back(engine_of(one));
            return engines;
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
            std::vector<entry_member> members;
            for (auto const& one : body)
                members.push_back(member_of(one));
            return members;
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
    json body(one.digests);
    body.push_back(one.accepts_compressed);
    return to_bytes(body);
}

std::optional<section_query> decode_section_query(std::string_view bytes)
{
    return decode_bytes<section_query>(
        bytes,
        [](json const& body)
        {
            section_query query;
            for (std::size_t i = 0; i < cluster_table_count; ++i)
                query.digests[i] = body.at(i).get<std::uint64_t>();
            // Nodes of an earlier version omit this field.
            if (body.size() > cluster_table_count)
            {
                query.accepts_compressed =
                    body[cluster_table_count].get<bool>();
            }
            return query;
        });
}

std::string encode(peer_sections const& sections)
{
    auto body = json::array();
    for (auto const& one : sections)
    {
        body.push_back(json::array(
            {one.as_of, one.age.count(), one.digest,
             one.bytes ? binary_of(*one.bytes) : json(),
             one.read_start_age ? json(one.read_start_age->count()) : json(),
             one.compressed
                 ? json::array(
                       {one.compressed->size, binary_of(one.compressed->bytes)})
                 : json()}));
    }
    return to_bytes(body);
}

std::optional<peer_sections> decode_peer_sections(std::string_view bytes)
{
    return decode_bytes<peer_sections>(
        bytes,
        [](json const& body)
        {
            peer_sections sections;
            for (std::size_t i = 0; i < cluster_table_count; ++i)
            {
                auto const& one = body.at(i);
                sections[i].as_of = one.at(0).get<std::uint64_t>();
                sections[i].age = milliseconds(one.at(1).get<std::int64_t>());
                sections[i].digest = one.at(2).get<std::uint64_t>();
                if (!one.at(3).is_null())
                    sections[i].bytes = text_of(one.at(3));
                // Nodes of an earlier version omit this field.
                if (one.size() > read_start_age_index &&
                    !one[read_start_age_index].is_null())
                {
                    sections[i].read_start_age = milliseconds(
                        one[read_start_age_index].get<std::int64_t>());
                }
                if (one.size() > compressed_index &&
                    !one[compressed_index].is_null())
                {
                    auto const& table = one[compressed_index];
                    sections[i].compressed = compressed_bytes{
                        table.at(0).get<std::uint64_t>(), text_of(table.at(1))};
                }
            }
            return sections;
        });
}

std::optional<peer_sections> answer_query(
    section_query const& query, cluster_sections const& known, time_point now,
    time_point boot_now, compress_table_fn const& compressed)
{
    peer_sections answer;
    for (std::size_t i = 0; i < cluster_table_count; ++i)
    {
        auto const& one = known[i];
        if (!one.known())
            return std::nullopt;
        answer[i].as_of = one.as_of;
        answer[i].age =
            std::chrono::duration_cast<milliseconds>(now - one.read_at);
        answer[i].digest = one.digest;
        auto const changed = one.digest != query.digests[i];
        if (changed && compressed && query.accepts_compressed &&
            one.bytes.size() >= min_compressed_table)
            answer[i].compressed = compressed(static_cast<cluster_table>(i));
        else if (changed)
            answer[i].bytes = one.bytes;
        // Rounded up so that a read never looks newer than it is.
        if (one.read_started_at != time_point{} &&
            boot_now >= one.read_started_at)
        {
            answer[i].read_start_age =
                std::chrono::ceil<milliseconds>(boot_now - one.read_started_at);
        }
    }
    return answer;
}

} // namespace walnutmill

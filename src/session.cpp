#include "session.hpp"

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;

refusal unreadable(char const* what, std::exception const& e)
{
    refusal bad;
    bad.message = std::string("unreadable ") + what + " row: " + e.what();
    return bad;
}

template<class Id>
Id id_at(json const& j, char const* key)
{
    return Id(j.at(key).get<std::string>());
}

std::string zero_padded(std::uint64_t number, int width)
{
    constexpr std::size_t largest_number = 24;
    char text[largest_number];
    std::snprintf(
        text, sizeof text, "%0*llu", width,
        static_cast<unsigned long long>(number));
    return text;
}

} // namespace

std::string session_key(session_id const& id)
{
    return std::string(session_prefix) + id.str();
}

std::string shard_key(shard_number number)
{
    // Padded, so that key order is number order.
    return std::string(shard_prefix) + zero_padded(number, 6);
}

std::string journal_prefix(session_id const& id)
{
    return "journal/" + id.str() + "/";
}

std::string journal_key(session_id const& id, std::uint64_t counter)
{
    return journal_prefix(id) + zero_padded(counter, 16);
}

std::uint64_t journal_counter(std::string_view key)
{
    auto const slash = key.rfind('/');
    if (slash == std::string_view::npos)
        return 0;
    return std::strtoull(
        std::string(key.substr(slash + 1)).c_str(), nullptr, 10);
}

std::string encode_session(session_state const& state)
{
    json const j = {
        {"id", state.id.str()},       {"node", state.node.str()},
        {"zone", state.zone.str()},   {"http", state.http_address},
        {"peer", state.peer_address}, {"counter", state.counter},
        {"txn", state.transaction},   {"config", state.configuration},
        {"leaving", state.leaving},   {"fenced", state.fenced}};
    return j.dump();
}

result<session_state> decode_session(std::string_view text)
{
    try
    {
        auto const j = json::parse(text);
        session_state state;
        state.id = id_at<session_id>(j, "id");
        state.node = id_at<node_name>(j, "node");
        state.zone = id_at<zone_name>(j, "zone");
        state.http_address = j.at("http");
        state.peer_address = j.at("peer");
        state.counter = j.at("counter");
        state.transaction = j.at("txn");
        state.configuration = j.at("config");
        state.leaving = j.at("leaving");
        state.fenced = j.at("fenced");
        return state;
    }
    catch (std::exception const& e)
    {
        return unreadable("session", e);
    }
}

std::string encode_shard(shard_state const& state)
{
    auto segments = json::array();
    for (auto const& segment : state.segments)
        segments.push_back(
            {{"session", segment.session.str()}, {"epoch", segment.epoch}});
    json const j = {
        {"number", state.number},
        {"owner", state.owner.str()},
        {"epoch", state.epoch},
        {"checkpoint", state.checkpoint},
        {"checkpoint_epoch", state.checkpoint_epoch},
        {"checkpoint_counter", state.checkpoint_counter},
        {"segments", segments}};
    return j.dump();
}

result<shard_state> decode_shard(std::string_view text)
{
    try
    {
        auto const j = json::parse(text);
        shard_state state;
        state.number = j.at("number");
        state.owner = id_at<session_id>(j, "owner");
        state.epoch = j.at("epoch");
        state.checkpoint = j.at("checkpoint");
        state.checkpoint_epoch = j.at("checkpoint_epoch");
        state.checkpoint_counter = j.at("checkpoint_counter");
        for (auto const& s : j.at("segments"))
            state.segments.push_back(
                {id_at<session_id>(s, "session"), s.at("epoch")});
        return state;
    }
    catch (std::exception const& e)
    {
        return unreadable("shard", e);
    }
}

} // namespace walnutmill

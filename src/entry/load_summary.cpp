#include "entry/load_summary.hpp"

#include <walnutmill/hash.hpp>

#include <nlohmann/json.hpp>

namespace walnutmill
{

using nlohmann::json;

std::uint32_t short_key(target_name const& engine)
{
    return static_cast<std::uint32_t>(stable_hash(engine.str()));
}

std::string encode(load_message const& message)
{
    json counts = json::array();
    for (auto const& [key, calls] : message.counts)
    {
        counts.push_back(key);
        counts.push_back(calls);
    }
    auto const bytes = json::to_cbor(
        json::array({message.asks, message.node, message.number, counts}));
    return {bytes.begin(), bytes.end()};
}

std::optional<load_message> decode_load_message(std::string_view bytes)
{
    try
    {
        auto const body = json::from_cbor(bytes.begin(), bytes.end());
        load_message to;
        to.asks = body.at(0).get<bool>();
        to.node = body.at(1).get<std::string>();
        to.number = body.at(2).get<std::uint64_t>();
        auto const& counts = body.at(3);
        for (std::size_t i = 0; i + 1 < counts.size(); i += 2)
        {
            to.counts.emplace_back(
                counts[i].get<std::uint32_t>(),
                counts[i + 1].get<std::uint32_t>());
        }
        return to;
    }
    catch (json::exception const&)
    {
        // A stray datagram; the next question is a fifth of a second away.
        return std::nullopt;
    }
}

load_summary::load_summary(duration keeps) : keeps_(keeps) {}

void load_summary::set(
    std::string const& node, engine_counts counts, time_point now)
{
    nodes_[node] = {now, std::move(counts)};
}

engine_counts load_summary::sum(time_point now)
{
    std::unordered_map<std::uint32_t, std::uint32_t> all;
    for (auto it = nodes_.begin(); it != nodes_.end();)
    {
        if (now - it->second.at > keeps_)
        {
            it = nodes_.erase(it);
            continue;
        }
        for (auto const& [key, calls] : it->second.counts)
            all[key] += calls;
        ++it;
    }
    return {all.begin(), all.end()};
}

} // namespace walnutmill

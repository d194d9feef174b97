#include "entry/load_summary.hpp"

#include <walnutmill/hash.hpp>

#include <nlohmann/json.hpp>

namespace walnutmill
{

using nlohmann::json;

namespace
{

/// CBOR's head of an array of seven: a message's fields and its report's.
constexpr char array_of_seven = static_cast<char>(0x87);
/// Age up to which a node's report tells that the node is in touch: two
/// intervals between reports, and what a slow node takes.
constexpr std::chrono::milliseconds heard_lately{500};

/// \return true for an array whose first element is a boolean, in CBOR:
/// messages of other protocols come to the same address.
bool starts_with_flag(std::string_view bytes)
{
    constexpr char cbor_false = static_cast<char>(0xf4);
    constexpr char cbor_true = static_cast<char>(0xf5);
    return bytes.size() > 1 &&
           (bytes[1] == cbor_false || bytes[1] == cbor_true);
}

void append(json const& one, std::string& to)
{
    auto const bytes = json::to_cbor(one);
    to.append(bytes.begin(), bytes.end());
}

} // namespace

std::uint32_t short_key(target_name const& engine)
{
    return static_cast<std::uint32_t>(stable_hash(engine.str()));
}

std::string encode(load_report const& report)
{
    json counts = json::array();
    for (auto const& [key, calls] : report.calls)
    {
        counts.push_back(key);
        counts.push_back(calls);
    }
    json outcomes = json::array();
    for (auto const& one : report.outcomes)
    {
        outcomes.push_back(one.engine);
        outcomes.push_back(one.failed);
        outcomes.push_back(one.answered);
    }
    json demand = json::array();
    for (auto const& one : report.demand)
    {
        demand.push_back(one.key);
        demand.push_back(one.calls);
    }
    std::string to;
    for (auto const* part : {&counts, &outcomes, &demand})
        append(*part, to);
    append(report.nodes, to);
    return to;
}

std::string encode_message(
    bool asks, std::string_view node, std::uint64_t number,
    std::string_view report)
{
    std::string to(1, array_of_seven);
    append(asks, to);
    append(node, to);
    append(number, to);
    return to.append(report);
}

std::string encode(load_message const& message)
{
    return encode_message(
        message.asks, message.node, message.number, encode(message.report));
}

std::optional<load_message> decode_load_message(std::string_view bytes)
{
    if (!starts_with_flag(bytes))
        return std::nullopt;
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
            to.report.calls.emplace_back(
                counts[i].get<std::uint32_t>(),
                counts[i + 1].get<std::uint32_t>());
        }
        // Nodes of an earlier version don't tell of outcomes.
        auto const outcomes = body.size() > 4 ? body.at(4) : json::array();
        for (std::size_t i = 0; i + 2 < outcomes.size(); i += 3)
        {
            to.report.outcomes.push_back(
                {outcomes[i].get<std::uint32_t>(),
                 outcomes[i + 1].get<std::uint32_t>(),
                 outcomes[i + 2].get<std::uint32_t>()});
        }
        auto const demand = body.size() > 5 ? body.at(5) : json::array();
        for (std::size_t i = 0; i + 1 < demand.size(); i += 2)
        {
            to.report.demand.push_back(
                {demand[i].get<std::uint32_t>(),
                 demand[i + 1].get<std::uint32_t>()});
        }
        if (body.size() > 6)
            to.report.nodes = body.at(6).get<std::uint32_t>();
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
    std::string const& node, load_report report, time_point now)
{
    nodes_[node] = {now, std::move(report)};
}

load_report load_summary::sum(time_point now)
{
    std::unordered_map<std::uint32_t, std::uint32_t> calls;
    std::unordered_map<std::uint32_t, outcome_count> outcomes;
    std::unordered_map<std::uint32_t, std::uint32_t> demand;
    load_report to;
    for (auto it = nodes_.begin(); it != nodes_.end();)
    {
        if (now - it->second.at > keeps_)
        {
            it = nodes_.erase(it);
            continue;
        }
        if (now - it->second.at <= heard_lately)
            ++to.nodes;
        for (auto const& [key, count] : it->second.report.calls)
            calls[key] += count;
        for (auto const& one : it->second.report.outcomes)
        {
            auto& all = outcomes[one.engine];
            all.engine = one.engine;
            all.failed += one.failed;
            all.answered += one.answered;
        }
        for (auto const& one : it->second.report.demand)
            demand[one.key] += one.calls;
        ++it;
    }
    to.calls.assign(calls.begin(), calls.end());
    for (auto const& [key, one] : outcomes)
    {
        if (one.failed > 0)
            to.outcomes.push_back(one);
    }
    for (auto const& [key, calls] : demand)
        to.demand.push_back({key, calls});
    return to;
}

std::string const& load_summary::encoded_sum(time_point now)
{
    if (encoded_.empty() || now - encoded_at_ >= encoded_lasts)
    {
        encoded_ = encode(sum(now));
        encoded_at_ = now;
    }
    return encoded_;
}

} // namespace walnutmill

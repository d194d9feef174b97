#include "entry/load_summary.hpp"

#include "cbor.hpp"

#include <walnutmill/hash.hpp>

#include <nlohmann/json.hpp>

namespace walnutmill
{

using nlohmann::json;

namespace
{

/// CBOR header of an array without elements; the number of elements, up to 23,
/// is added to it.
constexpr std::uint8_t array_header = 0x80;
constexpr std::uint8_t max_header_elements = 23;
/// The fields of a message followed by those of its report, without and with
/// speeds.
constexpr std::uint8_t load_elements = 7;
constexpr std::uint8_t known_elements = 9;
constexpr std::size_t figures_element = 7;
constexpr std::size_t speeds_element = 8;
/// Maximum age of the report of a node that counts as reachable: two report
/// intervals plus the delay of a slow node.
constexpr std::chrono::milliseconds max_reachable_report_age{500};

/// \return true if the bytes start a CBOR array whose first element is a
/// boolean. This distinguishes load messages from those of other protocols that
/// share the address.
bool starts_with_flag(std::string_view bytes)
{
    constexpr char cbor_false = static_cast<char>(0xf4);
    constexpr char cbor_true = static_cast<char>(0xf5);
    return bytes.size() > 1 &&
           (bytes[1] == cbor_false || bytes[1] == cbor_true);
}

void append_cbor(json const& value, std::string& to)
{
    auto const bytes = json::to_cbor(value);
    to.append(bytes.begin(), bytes.end());
}

/// \return the first elements of an array that contains more
json read_first_elements(std::string_view bytes, std::uint8_t count)
{
    std::string first(bytes);
    first[0] = static_cast<char>(array_header + count);
    return decode_cbor_prefix(first);
}

/// Reads the known elements of an array. Elements of later versions, which the
/// library may be unable to parse, are not read.
/// \return discarded if the bytes are malformed
json read_elements(std::string_view bytes)
{
    auto const header = static_cast<std::uint8_t>(bytes[0]);
    auto const is_short_array =
        header >= array_header && header <= array_header + max_header_elements;
    auto const count = is_short_array ? header - array_header : 0;
    auto body = count > known_elements
                    ? read_first_elements(bytes, known_elements)
                    : decode_cbor(bytes);
    if (body.is_discarded() && count > load_elements)
        body = read_first_elements(bytes, load_elements);
    return body;
}

/// \return the content of a byte string; empty if the element is missing or
/// another type
std::optional<std::string_view> bytes_at(json const& body, std::size_t element)
{
    if (body.size() <= element || !body[element].is_binary())
        return std::nullopt;
    auto const& content = body[element].get_binary();
    return std::string_view(
        reinterpret_cast<char const*>(content.data()), content.size());
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
    std::string encoded;
    for (auto const* part : {&counts, &outcomes, &demand})
        append_cbor(*part, encoded);
    append_cbor(report.nodes, encoded);
    return encoded;
}

std::string encode_message(
    bool is_report, std::string_view node, std::uint64_t number,
    std::string_view report, speed_elements const& speeds)
{
    std::string encoded(
        1, static_cast<char>(array_header + load_elements + speeds.count));
    append_cbor(is_report, encoded);
    append_cbor(node, encoded);
    append_cbor(number, encoded);
    return encoded.append(report).append(speeds.bytes);
}

std::string encode(load_message const& message)
{
    return encode_message(
        message.is_report, message.node, message.number, encode(message.report),
        encode(message.report.speeds));
}

std::optional<load_message> decode_load_message(std::string_view bytes)
{
    if (!starts_with_flag(bytes))
        return std::nullopt;
    try
    {
        auto const body = read_elements(bytes);
        load_message message;
        message.is_report = body.at(0).get<bool>();
        message.node = body.at(1).get<std::string>();
        message.number = body.at(2).get<std::uint64_t>();
        auto const& counts = body.at(3);
        for (std::size_t i = 0; i + 1 < counts.size(); i += 2)
        {
            message.report.calls.emplace_back(
                counts[i].get<std::uint32_t>(),
                counts[i + 1].get<std::uint32_t>());
        }
        // Nodes of an earlier version don't report outcomes.
        auto const outcomes = body.size() > 4 ? body.at(4) : json::array();
        for (std::size_t i = 0; i + 2 < outcomes.size(); i += 3)
        {
            message.report.outcomes.push_back(
                {outcomes[i].get<std::uint32_t>(),
                 outcomes[i + 1].get<std::uint32_t>(),
                 outcomes[i + 2].get<std::uint32_t>()});
        }
        auto const demand = body.size() > 5 ? body.at(5) : json::array();
        for (std::size_t i = 0; i + 1 < demand.size(); i += 2)
        {
            message.report.demand.push_back(
                {demand[i].get<std::uint32_t>(),
                 demand[i + 1].get<std::uint32_t>()});
        }
        if (body.size() > 6)
            message.report.nodes = body.at(6).get<std::uint32_t>();
        auto& speeds = message.report.speeds;
        if (auto const content = bytes_at(body, figures_element))
            speeds.figures = decode_figures(*content);
        if (auto const content = bytes_at(body, speeds_element))
            speeds.speeds = decode_speeds(*content);
        return message;
    }
    catch (std::exception const&)
    {
        // Malformed datagram. By default the next report follows in 200 ms.
        return std::nullopt;
    }
}

load_summary::load_summary(duration retention) : retention_(retention) {}

void load_summary::set(
    std::string const& node, load_report report, time_point now)
{
    speeds.add(node, report.speeds, now);
    nodes_[node] = {now, std::move(report)};
}

load_report load_summary::sum(time_point now)
{
    std::unordered_map<std::uint32_t, std::uint32_t> calls;
    std::unordered_map<std::uint32_t, outcome_count> outcomes;
    std::unordered_map<std::uint32_t, std::uint32_t> demand;
    load_report total;
    for (auto it = nodes_.begin(); it != nodes_.end();)
    {
        if (now - it->second.at > retention_)
        {
            it = nodes_.erase(it);
            continue;
        }
        if (now - it->second.at <= max_reachable_report_age)
            ++total.nodes;
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
    total.calls.assign(calls.begin(), calls.end());
    for (auto const& [key, one] : outcomes)
    {
        if (one.failed > 0)
            total.outcomes.push_back(one);
    }
    for (auto const& [key, calls] : demand)
        total.demand.push_back({key, calls});
    return total;
}

std::string const& load_summary::encoded_sum(time_point now)
{
    if (encoded_.empty() || now - encoded_at_ >= encoded_sum_lifetime)
    {
        encoded_ = encode(sum(now));
        encoded_at_ = now;
    }
    return encoded_;
}

} // namespace walnutmill

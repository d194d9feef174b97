/// \file
/// Binary encoding of turns, in rows of the store and between nodes.

#include <walnutmill/turn_history.hpp>

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <sstream>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using binary_type = json::binary_t;

/// Memory of a cached turn besides its text and chain, derived from the sizes
/// of its members.
constexpr std::size_t turn_overhead_bytes = 256;

json binary(std::string const& text)
{
    return json::binary(binary_type::container_type(text.begin(), text.end()));
}

std::string binary_to_string(json const& value)
{
    auto const& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Marks the first row of a turn, so that a later chunk is not mistaken for a
/// first row.
constexpr std::string_view header_tag = "turn";
/// A longer retention, of more than ten years, is not valid.
constexpr std::int64_t max_kept_s = 320'000'000;

} // namespace

std::size_t stored_turn::bytes() const
{
    constexpr std::size_t id_bytes = 48;
    return turn_overhead_bytes + chain.size() * id_bytes + input.size() +
           output.size();
}

std::string encode(stored_turn const& turn)
{
    json chain = json::array();
    for (auto const& id : turn.chain)
        chain.push_back(id.str());
    auto const bytes = json::to_cbor(json{
        {"chain", std::move(chain)},
        {"input", binary(turn.input)},
        {"output", binary(turn.output)}});
    return {bytes.begin(), bytes.end()};
}

std::shared_ptr<stored_turn const> decode_turn(
    request_id const& id, std::string_view bytes, std::chrono::seconds kept_for,
    time_point written_at)
{
    try
    {
        auto const body = decode_cbor(bytes);
        auto result = std::make_shared<stored_turn>();
        result->id = id;
        for (auto const& one : body.at("chain"))
            result->chain.emplace_back(one.get<std::string>());
        result->input = binary_to_string(body.at("input"));
        result->output = binary_to_string(body.at("output"));
        result->kept_for = kept_for;
        result->written_at = written_at;
        return result;
    }
    catch (std::exception const&)
    {
        // The caller reports the store as unavailable, and the request is
        // retried.
        return nullptr;
    }
}

std::optional<turn_header> decode_turn_header(std::string_view value)
{
    auto const line = value.substr(0, value.find('\n'));
    std::istringstream in{std::string(line)};
    std::string tag;
    turn_header result;
    if (line.size() == value.size() ||
        !(in >> tag >> result.chunk_count >> result.written_at) ||
        tag != header_tag)
        return std::nullopt;
    // Rows of earlier versions end here.
    std::int64_t kept_for = 0;
    if (in >> kept_for && kept_for >= 0 && kept_for <= max_kept_s)
        result.kept_for = std::chrono::seconds(kept_for);
    result.size = line.size() + 1;
    return result;
}

std::string encode_turn_header(
    std::size_t chunk_count, std::int64_t written_at,
    std::chrono::seconds kept_for)
{
    return std::string(header_tag) + " " + std::to_string(chunk_count) + " " +
           std::to_string(written_at) + " " + std::to_string(kept_for.count()) +
           "\n";
}

} // namespace walnutmill

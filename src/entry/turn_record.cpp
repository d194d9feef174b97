/// \file
/// Kept turns as bytes, in rows and between nodes.

#include <walnutmill/turn_history.hpp>

#include <nlohmann/json.hpp>

#include <sstream>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using bytes_type = json::binary_t;

/// Overhead of a cached turn beside its text, from the size of its parts.
constexpr std::size_t turn_overhead = 256;

json binary(std::string const& text)
{
    return json::binary(bytes_type::container_type(text.begin(), text.end()));
}

std::string text_of(json const& value)
{
    auto const& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// Starts the first row of a turn, so that no piece of another is taken for
/// one.
constexpr std::string_view head_mark = "turn";

} // namespace

std::size_t kept_turn::bytes() const
{
    constexpr std::size_t id_bytes = 48;
    return turn_overhead + chain.size() * id_bytes + input.size() +
           output.size();
}

std::string encode(kept_turn const& turn)
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

std::shared_ptr<kept_turn const>
decode_turn(request_id const& id, std::string_view bytes)
{
    try
    {
        auto const body = json::from_cbor(bytes.begin(), bytes.end());
        auto to = std::make_shared<kept_turn>();
        to->id = id;
        for (auto const& one : body.at("chain"))
            to->chain.emplace_back(one.get<std::string>());
        to->input = text_of(body.at("input"));
        to->output = text_of(body.at("output"));
        return to;
    }
    catch (json::exception const&)
    {
        // Callers answer that they can't tell, and come back.
        return nullptr;
    }
}

std::optional<turn_head> decode_turn_head(std::string_view value)
{
    auto const line = value.substr(0, value.find('\n'));
    std::istringstream in{std::string(line)};
    std::string mark;
    turn_head to;
    if (line.size() == value.size() ||
        !(in >> mark >> to.pieces >> to.written_at) || mark != head_mark)
        return std::nullopt;
    to.size = line.size() + 1;
    return to;
}

std::string encode_turn_head(std::size_t pieces, std::int64_t written_at)
{
    return std::string(head_mark) + " " + std::to_string(pieces) + " " +
           std::to_string(written_at) + "\n";
}

} // namespace walnutmill

#include "standin_generation.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace walnutmill::standin
{

namespace
{

using nlohmann::json;

/// An answer has this many tokens plus up to `extra_tokens`, by its hash.
constexpr std::uint64_t least_tokens = 8;
constexpr std::uint64_t extra_tokens = 24;
/// "[tokens=N]" in the last turn asks for an answer of N tokens.
constexpr std::string_view length_mark = "[tokens=";

std::uint64_t answer_length(json const& turns, std::uint64_t hash)
{
    if (!turns.empty())
    {
        auto const text = turns.back().at("text").get<std::string>();
        auto const mark = text.find(length_mark);
        if (mark != std::string::npos)
            return std::strtoull(
                text.c_str() + mark + length_mark.size(), nullptr, 10);
    }
    return least_tokens + hash % extra_tokens;
}

// The first token tells which history the engine saw: its hash and number of
// turns. The others are a function of it.
std::vector<std::string>
answer_tokens(std::uint64_t hash, std::size_t turns, std::uint64_t length)
{
    std::ostringstream first;
    first << '[' << std::hex << std::setw(16) << std::setfill('0') << hash
          << std::dec << '/' << turns << ']';
    std::vector<std::string> tokens{first.str()};
    auto const own = ' ' + std::to_string(hash % 1'000) + '.';
    while (tokens.size() < length)
        tokens.push_back(own + std::to_string(tokens.size() + 1));
    tokens.resize(length);
    return tokens;
}

std::string event(std::size_t id, std::string const& token)
{
    return "id: " + std::to_string(id) +
           "\ndata: " + json{{"text", token}}.dump() + "\n\n";
}

} // namespace

std::string generation::text() const
{
    std::string whole;
    for (std::size_t k = 0; k < done; ++k)
        whole += tokens[k];
    return whole;
}

std::string generation::take_unsent()
{
    std::string events;
    for (; sent < done; ++sent)
        events += event(sent + 1, tokens[sent]);
    return events;
}

std::string generation::closing_event() const
{
    json const whole{
        {"text", text()},
        {"prompt_tokens", prompt_tokens},
        {"cached_tokens", cached_tokens},
        {"tokens", done}};
    return "event: done\ndata: " + whole.dump() + "\n\n";
}

generation read_generation(json const& body, history const& seen)
{
    generation one;
    one.request = body.at("request").get<std::string>();
    one.program = body.value("program", "");
    one.epoch = body.value("epoch", std::uint64_t(0));
    one.priority = body.value("priority", std::int64_t(0));
    one.hold_ms = body.value("hold_ms", std::int64_t(0));
    one.prompt_tokens = seen.prompt_tokens();
    one.turns = seen.hashes.size();
    one.hash = seen.hash();
    auto const length = std::min(
        body.at("max_tokens").get<std::uint64_t>(),
        answer_length(body.at("turns"), one.hash));
    one.tokens = answer_tokens(one.hash, one.turns, length);
    return one;
}

} // namespace walnutmill::standin

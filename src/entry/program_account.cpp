/// \file
/// Encodes a program's account for the store, in CBOR.

#include <walnutmill/program_ledger.hpp>

#include "cbor.hpp"

#include <nlohmann/json.hpp>

namespace walnutmill
{

using nlohmann::json;

std::uint64_t program_account::reserved_by_others(std::string_view self) const
{
    std::uint64_t sum = 0;
    for (auto const& [node, one] : reserved)
    {
        if (node != self)
            sum += one.tokens;
    }
    return sum;
}

std::string encode(program_account const& account)
{
    json nodes = json::object();
    for (auto const& [node, one] : account.reserved)
        nodes[node] = {one.tokens, one.change};
    auto const bytes = json::to_cbor(json{
        {"spent", account.spent},
        {"at", account.written_at},
        {"nodes", nodes}});
    return {bytes.begin(), bytes.end()};
}

std::optional<program_account> decode_account(std::string_view bytes)
{
    try
    {
        auto const body = decode_cbor(bytes);
        program_account account;
        account.spent = body.at("spent").get<std::uint64_t>();
        account.written_at = body.at("at").get<std::int64_t>();
        for (auto const& [node, one] : body.at("nodes").items())
        {
            account.reserved[node] = {
                one.at(0).get<std::uint64_t>(), one.at(1).get<std::uint64_t>()};
        }
        return account;
    }
    catch (std::exception const&)
    {
        // The callers reject the turn rather than use a corrupt account.
        return std::nullopt;
    }
}

} // namespace walnutmill

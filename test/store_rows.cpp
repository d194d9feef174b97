#include "store_rows.hpp"

#include "base64.hpp"

#include <chrono>
#include <cstdint>
#include <utility>

namespace walnutmill
{
namespace testing
{

using nlohmann::json;

namespace
{

/// Time of the store's steady clock.
std::int64_t now_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

std::string query_value(std::string_view target, std::string const& name)
{
    auto const at = target.find(name + "=");
    if (at == std::string_view::npos)
        return {};
    auto const from = at + name.size() + 1;
    auto const raw = target.substr(from, target.find('&', from) - from);
    std::string text;
    for (std::size_t i = 0; i < raw.size(); ++i)
    {
        if (raw[i] != '%')
        {
            text.push_back(raw[i]);
            continue;
        }
        text.push_back(static_cast<char>(
            std::stoi(std::string(raw.substr(i + 1, 2)), nullptr, 16)));
        i += 2;
    }
    return text;
}

void store_rows::put(
    std::string const& table, std::string const& key, std::string value)
{
    rows_[{table, "", key}] = {std::move(value), ++version_};
}

void store_rows::remove(std::string const& table, std::string const& key)
{
    rows_.erase({table, "", key});
}

std::size_t store_rows::count(std::string const& table) const
{
    std::size_t found = 0;
    for (auto const& [at, row] : rows_)
        found += at[0] == table ? 1 : 0;
    return found;
}

store_rows::response
store_rows::respond(std::string const& target, std::string const& body)
{
    if (target == "/rows-tx")
        return transaction(json::parse(body));
    return target.find("/rows-feed") == 0 ? feed(target) : range(target);
}

json store_rows::row_json(row_key const& at) const
{
    auto const& row = rows_.at(at);
    return {
        {"table", at[0]},
        {"part", at[1]},
        {"key", at[2]},
        {"value", to_base64(row.value)},
        {"ver", row.version}};
}

store_rows::response store_rows::transaction(json const& body)
{
    constexpr int status_conflict = 412;
    response to;
    auto const key_of = [](json const& one) {
        return row_key{one["table"], one["part"], one["key"]};
    };
    json present = json::array();
    for (auto const& one : body["expect_rev"])
    {
        auto const found = rows_.find(key_of(one));
        auto const version = found == rows_.end() ? 0 : found->second.version;
        if (version != one["ver"].get<std::uint64_t>())
            to.status = status_conflict;
        if (found != rows_.end())
            present.push_back(row_json(found->first));
    }
    if (to.status == status_conflict)
    {
        to.body = {{"rows", present}, {"ver", version_}, {"now_ms", now_ms()}};
        return to;
    }
    ++version_;
    for (auto const& one : body["writes"])
    {
        rows_[key_of(one)] = {
            from_base64(one["value"].get<std::string>()), version_};
    }
    for (auto const& one : body["remove"])
        rows_.erase(key_of(one));
    to.body = {{"ver", version_}, {"now_ms", now_ms()}};
    return to;
}

store_rows::response store_rows::range(std::string const& target) const
{
    auto const from = query_value(target, "from");
    auto const end = query_value(target, "to");
    json rows = json::array();
    for (auto const& [at, row] : rows_)
    {
        if (at[0] == query_value(target, "table") &&
            at[1] == query_value(target, "part") && at[2] >= from &&
            (end.empty() || at[2] < end))
            rows.push_back(row_json(at));
    }
    response to;
    to.body = {
        {"rows", rows},
        {"truncated", false},
        {"ver", version_},
        {"now_ms", now_ms()}};
    return to;
}

store_rows::response store_rows::feed(std::string const& target) const
{
    constexpr int status_gone = 410;
    auto const after = std::stoull(query_value(target, "after"));
    response to;
    if (after < forgotten_before_)
    {
        to.status = status_gone;
        return to;
    }
    std::map<std::uint64_t, json> changes;
    for (auto const& [at, row] : rows_)
    {
        if (at[0] == query_value(target, "table") && row.version > after)
            changes[row.version] = row_json(at);
    }
    json rows = json::array();
    for (auto& [version, row] : changes)
        rows.push_back(std::move(row));
    to.body = {{"rows", rows}, {"ver", version_}, {"now_ms", now_ms()}};
    return to;
}

} // namespace testing
} // namespace walnutmill

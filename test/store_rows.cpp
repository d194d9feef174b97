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

void append_row(std::string& rows, std::string_view text)
{
    if (!rows.empty())
        rows += ',';
    rows += text;
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
    std::string const& table, std::string const& key, std::string_view value)
{
    ++version_;
    store({table, "", key}, value);
}

void store_rows::put_raw(
    std::string const& table, std::string const& key, std::string text)
{
    put(table, key, "");
    rows_[{table, "", key}].text = std::move(text);
}

void store_rows::remove(std::string const& table, std::string const& key)
{
    erase({table, "", key});
}

std::size_t store_rows::count(std::string const& table) const
{
    std::size_t found = 0;
    for (auto at = rows_.lower_bound({table, "", ""});
         at != rows_.end() && at->first[0] == table; ++at)
        ++found;
    return found;
}

/// Stores a row at the current version.
void store_rows::store(row_key const& at, std::string_view value)
{
    erase(at);
    changes_.emplace(at[0], version_, at);
    json const row{
        {"table", at[0]},
        {"part", at[1]},
        {"key", at[2]},
        {"value", to_base64(value)},
        {"ver", version_}};
    rows_[at] = {row.dump(), version_};
}

void store_rows::erase(row_key const& at)
{
    auto const found = rows_.find(at);
    if (found == rows_.end())
        return;
    changes_.erase({at[0], found->second.version, at});
    rows_.erase(found);
}

store_rows::response
store_rows::respond(std::string const& target, std::string const& body)
{
    if (target == "/rows-tx")
        return transaction(json::parse(body));
    return target.find("/rows-feed") == 0 ? feed(target) : range(target);
}

std::string
store_rows::answer_with(std::string_view rows, std::string_view more) const
{
    std::string body(R"({"rows":[)");
    body.append(rows).append("]").append(more);
    return body + R"(,"ver":)" + std::to_string(version_) + R"(,"now_ms":)" +
           std::to_string(now_ms()) + "}";
}

store_rows::response store_rows::transaction(json const& body)
{
    constexpr int status_conflict = 412;
    response to;
    auto const key_of = [](json const& one) {
        return row_key{one["table"], one["part"], one["key"]};
    };
    std::string present;
    for (auto const& one : body["expect_rev"])
    {
        auto const found = rows_.find(key_of(one));
        auto const version = found == rows_.end() ? 0 : found->second.version;
        if (version != one["ver"].get<std::uint64_t>())
            to.status = status_conflict;
        if (found != rows_.end())
            append_row(present, found->second.text);
    }
    if (to.status == status_conflict)
    {
        to.body = answer_with(present);
        return to;
    }
    ++version_;
    for (auto const& one : body["writes"])
        store(key_of(one), from_base64(one["value"].get<std::string>()));
    for (auto const& one : body["remove"])
        erase(key_of(one));
    to.body = json{{"ver", version_}, {"now_ms", now_ms()}}.dump();
    return to;
}

store_rows::response store_rows::range(std::string const& target) const
{
    row_key const from{
        query_value(target, "table"), query_value(target, "part"),
        query_value(target, "from")};
    auto const end = query_value(target, "to");
    std::string rows;
    for (auto row = rows_.lower_bound(from); row != rows_.end(); ++row)
    {
        auto const& at = row->first;
        if (at[0] != from[0] || at[1] != from[1] ||
            (!end.empty() && at[2] >= end))
            break;
        append_row(rows, row->second.text);
    }
    response to;
    to.body = answer_with(rows, R"(,"truncated":false)");
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
    auto const table = query_value(target, "table");
    std::string rows;
    for (auto change = changes_.lower_bound({table, after + 1, row_key()});
         change != changes_.end() && std::get<0>(*change) == table; ++change)
        append_row(rows, rows_.at(std::get<2>(*change)).text);
    to.body = answer_with(rows);
    return to;
}

} // namespace testing
} // namespace walnutmill

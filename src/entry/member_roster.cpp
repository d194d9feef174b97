#include "entry/member_roster.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// A member is dropped once its row, renewed every 3 s, has not changed for
/// this long.
constexpr std::chrono::milliseconds member_expiry{10'000};
/// A larger stated strength is implausible for a machine and is ignored.
constexpr double max_cores = 1'024;

/// \return the strength in cores. 0 if it is missing or implausible.
double strength_of(json const& body)
{
    auto const found = body.find("strength");
    if (found == body.end() || !found->is_number())
        return 0;
    auto const cores = found->get<double>();
    return std::isfinite(cores) && cores > 0 && cores <= max_cores ? cores : 0;
}

/// \return empty if the row does not decode to a member.
std::optional<entry_member> decode_member(stored_row const& row)
{
    auto const body = decode_cbor(row.value);
    entry_member member;
    member.node = row.at.key;
    for (auto const& [field, value] :
         {std::pair("address", &member.address),
          std::pair("domain", &member.domain),
          std::pair("incarnation", &member.incarnation)})
    {
        if (!body.is_object() || !body.contains(field) ||
            !body[field].is_string())
            return std::nullopt;
        *value = body[field].get<std::string>();
    }
    member.strength = strength_of(body);
    return member;
}

} // namespace

std::string encode(entry_member const& one)
{
    auto const bytes = json::to_cbor(json{
        {"address", one.address},
        {"domain", one.domain},
        {"incarnation", one.incarnation},
        {"strength", one.strength}});
    return {bytes.begin(), bytes.end()};
}

std::vector<entry_member>
member_roster::live_members(std::vector<stored_row> const& rows, time_point now)
{
    std::unordered_map<std::string, known_row> seen;
    std::vector<entry_member> members;
    for (auto const& row : rows)
    {
        auto const before = rows_.find(row.at.key);
        auto const is_new = before == rows_.end();
        auto const one = !is_new && before->second.version == row.version
                             ? before->second
                             : known_row{row.version, now};
        seen.emplace(row.at.key, one);
        auto member = decode_member(row);
        if (!member || now - one.changed_at >= member_expiry)
            continue;
        if (is_new && member->strength == 0)
            log_missing_strength(*member);
        members.push_back(std::move(*member));
    }
    rows_ = std::move(seen);
    return members;
}

void member_roster::log_missing_strength(entry_member const& one) const
{
    log_.write(
        log_priority::important, "member.strength_unstated",
        {{"member", one.node}, {"incarnation", one.incarnation}});
}

} // namespace walnutmill

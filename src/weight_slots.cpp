#include <walnutmill/weight_slots.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

using nlohmann::json;

// The value is compared as a whole by conditions: json sorts its keys.
std::string encode(weight_slot_holder const& holder)
{
    return json{
        {"session", holder.session.str()},
        {"epoch", holder.epoch},
        {"target", holder.target.str()}}
        .dump();
}

// A row that cannot be read has no holder that could be fenced: it stays
// taken, and an operator sees it.
session_id holder_session(std::string const& value)
{
    auto const j = json::parse(value, nullptr, false);
    if (!j.is_object() || !j.contains("session") || !j["session"].is_string())
        return session_id();
    return session_id(j["session"].get<std::string>());
}

std::string slot_key(std::uint32_t number)
{
    return std::string(weight_slot_prefix) + std::to_string(number);
}

row const* find_row(std::vector<row> const& rows, std::string const& key)
{
    auto const at = std::find_if(
        rows.begin(), rows.end(),
        [&](row const& item) { return item.key == key; });
    return at == rows.end() ? nullptr : &*at;
}

row const* find_own(std::vector<row> const& rows, std::string const& value)
{
    auto const at = std::find_if(
        rows.begin(), rows.end(),
        [&](row const& item) { return item.value == value; });
    return at == rows.end() ? nullptr : &*at;
}

} // namespace

std::optional<weight_slot_change> plan_slot_take(
    std::uint32_t slots, std::vector<row> const& rows,
    weight_slot_holder const& self, session_fenced_fn const& fenced)
{
    auto const own = encode(self);
    if (auto const* held = find_own(rows, own))
        return weight_slot_change{{held->key, own}, {held->key, own}};
    for (std::uint32_t number = 0; number < slots; ++number)
    {
        auto const key = slot_key(number);
        auto const* held = find_row(rows, key);
        if (held == nullptr)
            return weight_slot_change{{key, std::nullopt}, {key, own}};
        auto const session = holder_session(held->value);
        if (!session.empty() && fenced(session))
            return weight_slot_change{{key, held->value}, {key, own}};
    }
    return std::nullopt;
}

std::optional<weight_slot_change>
plan_slot_give(std::vector<row> const& rows, weight_slot_holder const& self)
{
    auto const own = encode(self);
    auto const* held = find_own(rows, own);
    if (held == nullptr)
        return std::nullopt;
    return weight_slot_change{{held->key, own}, {held->key, std::nullopt}};
}

} // namespace walnutmill

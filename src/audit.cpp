#include <walnutmill/audit.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>

namespace walnutmill
{
namespace
{

using nlohmann::json;

// Decimal digits of the largest version: keys sort as numbers do.
constexpr int version_digits = 20;

constexpr std::array<std::string_view, 3> subject_names{
    "configuration", "order", "program"};
constexpr std::array<std::string_view, 2> result_names{"accepted", "refused"};
constexpr std::array<std::string_view, 6> decision_names{
    "admitted", "waited", "placed", "moved", "retried", "refused"};

template<class Enum, std::size_t N>
Enum enum_from(
    std::array<std::string_view, N> const& names, std::string const& text)
{
    for (std::size_t i = 0; i < N; ++i)
    {
        if (names[i] == text)
            return static_cast<Enum>(i);
    }
    throw std::invalid_argument("unknown value " + text);
}

template<class Enum, std::size_t N>
std::string_view
name_of(std::array<std::string_view, N> const& names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

wall_time time_from(json const& j)
{
    return wall_time(
        std::chrono::milliseconds(j.at("at_ms").get<std::int64_t>()));
}

std::string padded(std::uint64_t version)
{
    auto digits = std::to_string(version);
    digits.insert(0, version_digits - digits.size(), '0');
    return digits;
}

// Text from callers may hold bytes that are not UTF-8: replaced, not thrown.
std::string one_line(json const& j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

refusal unreadable(std::exception const& e)
{
    refusal bad;
    bad.message = std::string("unreadable audit line: ") + e.what();
    return bad;
}

audit_entry entry_from(json const& j)
{
    audit_entry entry;
    entry.id = j.at("id");
    entry.at = time_from(j);
    entry.subject = enum_from<audit_subject>(subject_names, j.at("subject"));
    entry.who = j.at("who");
    entry.workspace = workspace_name(j.at("workspace").get<std::string>());
    entry.what = j.at("what");
    entry.reason = j.at("reason");
    entry.version_before = j.at("before");
    entry.version_after = j.at("after");
    entry.result = enum_from<audit_result>(result_names, j.at("result"));
    entry.detail = j.at("detail");
    return entry;
}

decision_entry decision_from(json const& j)
{
    decision_entry entry;
    entry.at = time_from(j);
    entry.node = node_name(j.at("node").get<std::string>());
    entry.program = program_id(j.at("program").get<std::string>());
    entry.call = j.at("call");
    entry.request = request_id(j.at("request").get<std::string>());
    entry.kind = enum_from<decision_kind>(decision_names, j.at("kind"));
    entry.target = target_name(j.at("target").get<std::string>());
    entry.reason = j.at("reason");
    return entry;
}

} // namespace

std::string to_text(wall_time at)
{
    auto const since = at.time_since_epoch();
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(since);
    std::time_t const whole = seconds.count();
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> text{};
    auto const millis = static_cast<int>((since - seconds).count());
    std::snprintf(text.data(), text.size(), "%s.%03dZ", date.data(), millis);
    return text.data();
}

std::string to_json_line(audit_entry const& entry)
{
    return one_line(
        {{"id", entry.id},
         {"at_ms", entry.at.time_since_epoch().count()},
         {"at", to_text(entry.at)},
         {"subject", name_of(subject_names, entry.subject)},
         {"who", entry.who},
         {"workspace", entry.workspace.str()},
         {"what", entry.what},
         {"reason", entry.reason},
         {"before", entry.version_before},
         {"after", entry.version_after},
         {"result", name_of(result_names, entry.result)},
         {"detail", entry.detail}});
}

result<audit_entry> audit_entry_from(std::string_view json_line)
{
    try
    {
        return entry_from(json::parse(json_line));
    }
    catch (std::exception const& e)
    {
        return unreadable(e);
    }
}

std::string audit_key(audit_entry const& entry)
{
    return std::string(audit_prefix) + padded(entry.version_after) + "/" +
           entry.id;
}

std::string audit_scan_start(std::uint64_t version)
{
    // '~' sorts after the '/' that follows the version in every key.
    return std::string(audit_prefix) + padded(version) + "~";
}

std::string_view to_string(decision_kind kind)
{
    return name_of(decision_names, kind);
}

std::string to_json_line(decision_entry const& entry)
{
    return one_line(
        {{"at_ms", entry.at.time_since_epoch().count()},
         {"at", to_text(entry.at)},
         {"node", entry.node.str()},
         {"program", entry.program.str()},
         {"call", entry.call},
         {"request", entry.request.str()},
         {"kind", to_string(entry.kind)},
         {"target", entry.target.str()},
         {"reason", entry.reason}});
}

result<decision_entry> decision_entry_from(std::string_view json_line)
{
    try
    {
        return decision_from(json::parse(json_line));
    }
    catch (std::exception const& e)
    {
        return unreadable(e);
    }
}

} // namespace walnutmill

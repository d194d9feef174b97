#include "command_row.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 5> state_names{
    "pending", "refused", "committed", "in_force", "done"};

command_state state_from(std::string const& text)
{
    for (std::size_t i = 0; i < state_names.size(); ++i)
    {
        if (state_names[i] == text)
            return static_cast<command_state>(i);
    }
    throw std::invalid_argument("unknown state " + text);
}

} // namespace

std::string_view to_string(command_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::string command_key(std::string const& id)
{
    return std::string(command_prefix) + id;
}

std::string encode_command(command_row const& row)
{
    auto targets = json::array();
    for (auto const& target : row.targets)
        targets.push_back(target.str());
    json const j{
        {"id", row.id},
        {"who", row.who},
        {"workspace", row.workspace.str()},
        {"text", row.text},
        {"hash", row.text_hash},
        {"state", to_string(row.state)},
        {"version", row.version},
        {"detail", row.detail},
        {"code", to_string(row.code)},
        {"targets", targets},
        {"target_state", row.target_state}};
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<command_row> decode_command(std::string_view text)
{
    try
    {
        auto const j = json::parse(text);
        command_row row;
        row.id = j.at("id");
        row.who = j.at("who");
        row.workspace = workspace_name(j.at("workspace").get<std::string>());
        row.text = j.at("text");
        row.text_hash = j.at("hash");
        row.state = state_from(j.at("state"));
        row.version = j.at("version");
        row.detail = j.at("detail");
        row.code = errc_from(j.at("code").get<std::string>());
        for (auto const& target : j.at("targets"))
            row.targets.emplace_back(target.get<std::string>());
        row.target_state = j.at("target_state");
        return row;
    }
    catch (std::exception const& e)
    {
        refusal bad;
        bad.message = std::string("unreadable command row: ") + e.what();
        return bad;
    }
}

} // namespace walnutmill

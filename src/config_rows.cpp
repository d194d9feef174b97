#include "config_rows.hpp"

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace detail
{
namespace
{

using nlohmann::json;

/// Digits of the largest version, so that keys sort by version.
constexpr std::size_t version_digits = 20;

std::string padded(std::uint64_t version)
{
    auto digits = std::to_string(version);
    digits.insert(0, version_digits - digits.size(), '0');
    return digits;
}

std::string to_text(json const& row)
{
    return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

template<class Row, class Read>
result<Row> decode(std::string_view text, Read read)
{
    try
    {
        return read(json::parse(text));
    }
    catch (json::exception const& error)
    {
        refusal bad;
        bad.message =
            std::string("unreadable row of the configuration: ") + error.what();
        return bad;
    }
}

} // namespace

std::string config_document_key(std::uint64_t version)
{
    return "config/doc/" + padded(version);
}

std::string config_command_key(std::string_view command_id)
{
    return "config/command/" + std::string(command_id);
}

std::string
config_object_key(std::uint64_t version, std::string_view command_id)
{
    return "config/" + padded(version) + "/" + std::string(command_id);
}

std::string encode(config_head const& row)
{
    json made;
    made["version"] = row.version;
    made["command"] = row.command_id;
    made["who"] = row.who;
    return to_text(made);
}

std::string encode(config_document const& row)
{
    json made;
    made["command"] = row.command_id;
    if (row.object.empty())
        made["document"] = row.text;
    else
        made["object"] = row.object;
    return to_text(made);
}

std::string encode(config_command const& row)
{
    json made;
    made["version"] = row.version;
    made["hash"] = row.document_hash;
    return to_text(made);
}

result<config_head> decode_config_head(std::string_view text)
{
    return decode<config_head>(
        text,
        [](json const& row)
        {
            config_head made;
            made.version = row.at("version").get<std::uint64_t>();
            made.command_id = row.at("command").get<std::string>();
            made.who = row.at("who").get<std::string>();
            return made;
        });
}

result<config_document> decode_config_document(std::string_view text)
{
    return decode<config_document>(
        text,
        [](json const& row)
        {
            config_document made;
            made.command_id = row.at("command").get<std::string>();
            made.text = row.value("document", "");
            made.object = row.value("object", "");
            return made;
        });
}

result<config_command> decode_config_command(std::string_view text)
{
    return decode<config_command>(
        text,
        [](json const& row)
        {
            config_command made;
            made.version = row.at("version").get<std::uint64_t>();
            made.document_hash = row.at("hash").get<std::uint64_t>();
            return made;
        });
}

} // namespace detail
} // namespace walnutmill

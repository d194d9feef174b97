#include "stored_configuration.hpp"

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr char const* head_key = "config/head";

refusal refuse(errc code, std::string message)
{
    refusal why;
    why.code = code;
    why.message = std::move(message);
    return why;
}

} // namespace

result<std::shared_ptr<configuration const>>
read_configuration(table_service const& table, object_store const&)
{
    auto const rows = table.read({head_key});
    if (!rows)
        return rows.error();
    if (rows.value().empty())
        return refuse(errc::not_found, "there is no configuration yet");
    auto const head = json::parse(rows.value().front().value, nullptr, false);
    if (!head.is_object() || !head.contains("document"))
        return refuse(errc::internal, "unreadable configuration head");
    auto parsed = parse_configuration(head["document"].get<std::string>());
    if (!parsed.problems.empty())
        return refuse(errc::internal, "the stored configuration is unsound");
    parsed.value.version = head.value("version", std::uint64_t(0));
    return std::make_shared<configuration const>(std::move(parsed.value));
}

result<void>
write_first_configuration(table_service const& table, configuration config)
{
    config.version = 1;
    json const head = {{"version", 1}, {"document", to_json_text(config)}};
    auto const answer = table.commit(
        {"init", {{head_key, std::nullopt}}, {{head_key, head.dump()}}});
    if (answer.status == commit_status::committed)
        return boost::outcome_v2::success();
    if (answer.status == commit_status::refused)
        return refuse(errc::conflict, "there is a configuration already");
    return refuse(errc::store_unavailable, "the table does not answer");
}

} // namespace walnutmill

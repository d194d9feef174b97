#include <walnutmill/target_rows.hpp>

#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;

std::string_view to_string(power_state power)
{
    return power == power_state::on ? "on" : "off";
}

power_state power_from(json const& j)
{
    auto const text = j.get<std::string>();
    if (text != "on" && text != "off")
        throw std::invalid_argument("unknown power state " + text);
    return text == "on" ? power_state::on : power_state::off;
}

json content_json(order_content const& content)
{
    auto desired = json::object();
    if (content.models)
        desired["models"] = *content.models;
    if (content.adapters)
        desired["adapters"] = *content.adapters;
    if (content.role)
        desired["role"] = *content.role;
    if (content.power)
        desired["power"] = to_string(*content.power);
    return desired;
}

order_content content_from(json const& desired)
{
    order_content content;
    if (desired.contains("models"))
        content.models = desired["models"].get<std::vector<std::string>>();
    if (desired.contains("adapters"))
        content.adapters = desired["adapters"].get<std::vector<std::string>>();
    if (desired.contains("role"))
        content.role = desired["role"].get<std::string>();
    if (desired.contains("power"))
        content.power = power_from(desired["power"]);
    return content;
}

std::string dump(json const& j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

refusal unreadable(errc code, char const* what, std::exception const& e)
{
    refusal bad;
    bad.code = code;
    bad.message = std::string("unreadable ") + what + ": " + e.what();
    return bad;
}

} // namespace

std::string target_row_key(target_name const& target)
{
    return std::string(target_row_prefix) + target.str();
}

std::string order_row_key(target_name const& target)
{
    return std::string(order_row_prefix) + target.str();
}

std::string encode_report(target_report const& report)
{
    return dump(
        {{"target", report.target.str()},
         {"state", to_string(report.state)},
         {"reason", report.reason},
         {"epoch", report.epoch},
         {"policy_since", report.policy_since}});
}

std::string encode_order(target_order const& order)
{
    return dump(
        {{"order", order.id},
         {"target", order.target.str()},
         {"fence", order.fence},
         {"desired", content_json(order.content)}});
}

result<target_report> decode_report(std::string_view text)
{
    try
    {
        auto const j = json::parse(text);
        target_report report;
        report.target = target_name(j.at("target").get<std::string>());
        report.state = target_condition_from(j.at("state").get<std::string>());
        report.reason = j.at("reason");
        report.epoch = j.at("epoch");
        report.policy_since = j.at("policy_since");
        return report;
    }
    catch (std::exception const& e)
    {
        return unreadable(errc::internal, "target row", e);
    }
}

result<target_order> decode_order(std::string_view text)
{
    try
    {
        auto const j = json::parse(text);
        target_order order;
        order.id = j.at("order");
        order.target = target_name(j.at("target").get<std::string>());
        order.fence = j.at("fence");
        order.content = content_from(j.at("desired"));
        return order;
    }
    catch (std::exception const& e)
    {
        return unreadable(errc::internal, "order row", e);
    }
}

std::string order_request_body(target_order const& order)
{
    return dump(
        {{"order", order.id},
         {"fence", order.fence},
         {"desired", content_json(order.content)}});
}

result<observed_target> observed_from_state(std::string_view json_text)
{
    try
    {
        auto const j = json::parse(json_text);
        observed_target seen;
        seen.reachable = true;
        seen.power = power_from(j.at("power"));
        seen.models = j.at("models").get<std::vector<std::string>>();
        seen.adapters = j.at("adapters").get<std::vector<std::string>>();
        seen.role = j.at("role");
        seen.fence = j.at("fence");
        seen.running = j.at("running");
        return seen;
    }
    catch (std::exception const& e)
    {
        return unreadable(errc::target_failed, "target state", e);
    }
}

} // namespace walnutmill

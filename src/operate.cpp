#include <walnutmill/operate.hpp>

#include "operate_parts.hpp"

namespace walnutmill
{

operator_desk::operator_desk(operate_hooks hooks) : hooks_(std::move(hooks)) {}

result<std::string> operator_desk::run(operator_request const& request) const
{
    refusal why;
    if (!request.may_operate)
    {
        why.code = errc::forbidden;
        why.message = "the token may not operate";
        return why;
    }
    auto const parsed = parse_statement(request.text);
    if (!parsed)
    {
        why.code = errc::bad_request;
        why.field = "text";
        why.message = to_text(parsed.error());
        return why;
    }
    if (auto const* order = std::get_if<order_statement>(&parsed.value()))
        return detail::run_order_statement(hooks_, request, *order);
    return detail::run_query_statement(
        hooks_, request, std::get<query>(parsed.value()));
}

namespace detail
{

std::string result_text(nlohmann::json const& value)
{
    using nlohmann::json;
    return json{{"result", value}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

} // namespace detail
} // namespace walnutmill

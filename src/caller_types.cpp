#include "caller_types.hpp"

#include <walnutmill/hash.hpp>

#include "cbor.hpp"

#include <array>
#include <initializer_list>
#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;

/// Deeper bodies are refused before they are built: the API needs one level.
constexpr int max_depth = 8;
constexpr std::size_t max_id_bytes = 128;

refusal bad_field(std::string field, std::string message)
{
    refusal bad;
    bad.code = errc::bad_request;
    bad.field = std::move(field);
    bad.message = std::move(message);
    return bad;
}

/// A body with the fields read so far; the first wrong field is kept.
class body_reader
{
public:
    explicit body_reader(std::string_view text)
    {
        bool too_deep = false;
        auto const watch = [&](int depth, json::parse_event_t, json&)
        {
            too_deep = too_deep || depth > max_depth;
            return depth <= max_depth;
        };
        body_ = json::parse(text, watch, false);
        if (too_deep)
            fail("", "nested too deeply");
        else if (body_.is_discarded() || !body_.is_object())
            fail("", "the body must be a JSON object");
    }

    /// Refuses any field that is not in the list.
    void allow_only(std::initializer_list<std::string_view> names)
    {
        if (problem_)
            return;
        for (auto const& item : body_.items())
        {
            bool known = false;
            for (auto name : names)
                known = known || item.key() == name;
            if (!known)
                fail(item.key(), "unknown field");
        }
    }

    std::string text(char const* name, bool required, std::size_t longest)
    {
        auto const* value = find(name, required);
        if (value == nullptr)
            return {};
        if (!value->is_string())
            return fail(name, "must be a string"), std::string();
        auto found = value->get<std::string>();
        if (required && found.empty())
            fail(name, "must not be empty");
        if (found.size() > longest)
            fail(name, "too long");
        return found;
    }

    std::uint64_t number(
        char const* name, bool required, std::uint64_t least,
        std::uint64_t most)
    {
        auto const* value = find(name, required);
        if (value == nullptr)
            return 0;
        if (!value->is_number_unsigned())
            return fail(name, "must be a whole number"), 0;
        auto const found = value->get<std::uint64_t>();
        if (found < least || found > most)
        {
            fail(
                name, "must be from " + std::to_string(least) + " to " +
                          std::to_string(most));
        }
        return found;
    }

    std::optional<bool> flag(char const* name)
    {
        auto const* value = find(name, false);
        if (value == nullptr)
            return std::nullopt;
        if (!value->is_boolean())
            return fail(name, "must be true or false"), std::nullopt;
        return value->get<bool>();
    }

    bool has(char const* name) const
    {
        return !problem_ && body_.contains(name);
    }
    std::optional<refusal> const& problem() const { return problem_; }
    void fail(std::string field, std::string message)
    {
        if (!problem_)
            problem_ = bad_field(std::move(field), std::move(message));
    }

private:
    json const* find(char const* name, bool required)
    {
        if (problem_)
            return nullptr;
        auto const found = body_.find(name);
        if (found != body_.end())
            return &*found;
        if (required)
            fail(name, "is missing");
        return nullptr;
    }

    json body_;
    std::optional<refusal> problem_;
};

constexpr std::uint64_t max_budget_units = std::uint64_t(1) << 53;
constexpr std::uint32_t max_call_number = 1u << 20;
constexpr std::uint32_t max_call_tokens = 1u << 20;
constexpr std::uint64_t max_deadline_ms = 24ull * 3600 * 1000;

json refusal_json(refusal const& why)
{
    return {
        {"code", to_string(why.code)},
        {"ran", to_string(why.ran)},
        {"message", why.message},
        {"field", why.field},
        {"retry_after_ms", why.retry_after.count()}};
}

refusal refusal_from(json const& j)
{
    refusal why;
    why.code = errc_from(j.at("code").get<std::string>());
    why.ran = certainty_from(j.at("ran").get<std::string>());
    why.message = j.at("message");
    why.field = j.at("field");
    why.retry_after =
        std::chrono::milliseconds(j.at("retry_after_ms").get<std::int64_t>());
    return why;
}

json answer_json(call_answer const& a)
{
    json j = {
        {"request_id", a.request.str()},
        {"output", a.output},
        {"cost", a.cost},
        {"target", a.target.str()}};
    // A direct call belongs to no program.
    if (!a.program.empty())
    {
        j["program"] = a.program.str();
        j["number"] = a.number;
    }
    return j;
}

json answer_json(program_view const& v)
{
    json j = {
        {"program", v.program.str()},
        {"root", v.root.str()},
        {"workspace", v.workspace.str()},
        {"budget", v.budget},
        {"spent", v.spent},
        {"reserved", v.reserved},
        {"calls", v.calls},
        {"state", v.ended ? "ended" : "running"}};
    if (v.ended)
        j["end_reason"] = to_string(*v.ended);
    return j;
}

constexpr std::array<end_reason, 4> all_end_reasons{
    end_reason::finished, end_reason::canceled, end_reason::exhausted,
    end_reason::abandoned};

caller_answer answer_from(json const& j)
{
    if (j.contains("output"))
    {
        call_answer a;
        a.program = program_id(j.at("program").get<std::string>());
        a.number = j.at("number");
        a.request = request_id(j.at("request_id").get<std::string>());
        a.output = j.at("output");
        a.cost = j.at("cost");
        a.target = target_name(j.at("target").get<std::string>());
        return a;
    }
    program_view v;
    v.program = program_id(j.at("program").get<std::string>());
    v.root = program_id(j.at("root").get<std::string>());
    v.workspace = workspace_name(j.at("workspace").get<std::string>());
    v.budget = j.at("budget");
    v.spent = j.at("spent");
    v.reserved = j.at("reserved");
    v.calls = j.at("calls");
    v.created_now = j.value("created_now", false);
    for (auto reason : all_end_reasons)
    {
        if (j.value("end_reason", "") == to_string(reason))
            v.ended = reason;
    }
    return v;
}

struct request_encoder
{
    json operator()(create_request const& r) const
    {
        return {{"k", "create"},
                {"p", r.program.str()},
                {"parent", r.parent.str()},
                {"ws", r.workspace.str()},
                {"budget", r.budget},
                {"req", r.request.str()}};
    }
    json operator()(call_request const& r) const
    {
        json j = {
            {"k", "call"},
            {"p", r.program.str()},
            {"ws", r.workspace.str()},
            {"n", r.number},
            {"req", r.request.str()},
            {"service", r.service.str()},
            {"in", r.input},
            {"max", r.max_tokens},
            {"stream", r.stream},
            {"deadline", r.deadline.count()},
            {"tool", r.next_tool}};
        if (r.repeatable)
            j["repeatable"] = *r.repeatable;
        return j;
    }
    json operator()(fetch_request const& r) const
    {
        return {{"k", "fetch"},
                {"p", r.program.str()},
                {"ws", r.workspace.str()},
                {"req", r.request.str()},
                {"after", r.after},
                {"stream", r.stream}};
    }
    json operator()(end_request const& r) const
    {
        return {
            {"k", "end"},
            {"p", r.program.str()},
            {"ws", r.workspace.str()},
            {"reason", to_string(r.reason)}};
    }
    json operator()(budget_request const& r) const
    {
        return {
            {"k", "budget"},
            {"p", r.program.str()},
            {"ws", r.workspace.str()},
            {"units", r.units}};
    }
    json operator()(view_request const& r) const
    {
        return {
            {"k", "view"}, {"p", r.program.str()}, {"ws", r.workspace.str()}};
    }
};

call_request call_from(json const& j)
{
    call_request r;
    r.program = program_id(j.at("p").get<std::string>());
    r.workspace = workspace_name(j.at("ws").get<std::string>());
    r.number = j.at("n");
    r.request = request_id(j.at("req").get<std::string>());
    r.service = service_name(j.at("service").get<std::string>());
    r.input = j.at("in");
    r.max_tokens = j.at("max");
    r.stream = j.at("stream");
    r.deadline =
        std::chrono::milliseconds(j.at("deadline").get<std::int64_t>());
    r.next_tool = j.at("tool");
    if (j.contains("repeatable"))
        r.repeatable = j.at("repeatable").get<bool>();
    return r;
}

caller_request request_from(json const& j)
{
    auto const kind = j.at("k").get<std::string>();
    auto const program = program_id(j.at("p").get<std::string>());
    auto const workspace = workspace_name(j.at("ws").get<std::string>());
    if (kind == "create")
    {
        return create_request{
            program, program_id(j.at("parent").get<std::string>()), workspace,
            j.at("budget"), request_id(j.at("req").get<std::string>())};
    }
    if (kind == "call")
        return call_from(j);
    if (kind == "fetch")
    {
        return fetch_request{
            program, workspace, request_id(j.at("req").get<std::string>()),
            j.at("after"), j.at("stream")};
    }
    if (kind == "end")
    {
        bool const canceled = j.at("reason") == "canceled";
        return end_request{
            program, workspace,
            canceled ? end_reason::canceled : end_reason::finished};
    }
    if (kind == "budget")
        return budget_request{program, workspace, j.at("units")};
    if (kind == "view")
        return view_request{program, workspace};
    throw std::invalid_argument("unknown request kind " + kind);
}

std::string to_bytes(json const& j)
{
    std::string bytes;
    json::to_cbor(j, bytes);
    return bytes;
}

/// \return JSON text; bytes that are not UTF-8 are replaced, never thrown at.
std::string to_text(json const& j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string_view to_string(end_reason reason)
{
    switch (reason)
    {
    case end_reason::finished:
        return "finished";
    case end_reason::canceled:
        return "canceled";
    case end_reason::exhausted:
        return "exhausted";
    case end_reason::abandoned:
        break;
    }
    return "abandoned";
}

program_id const& program_of(caller_request const& request)
{
    return std::visit(
        [](auto const& r) -> program_id const& { return r.program; }, request);
}

request_context context_of(caller_request const& request)
{
    request_context context;
    context.program = program_of(request);
    if (auto const* call = std::get_if<call_request>(&request))
    {
        context.number = call->number;
        context.request = call->request;
    }
    else if (auto const* fetch = std::get_if<fetch_request>(&request))
        context.request = fetch->request;
    else if (auto const* create = std::get_if<create_request>(&request))
        context.request = create->request;
    return context;
}

bool wants_stream(caller_request const& request)
{
    if (auto const* call = std::get_if<call_request>(&request))
        return call->stream;
    if (auto const* fetch = std::get_if<fetch_request>(&request))
        return fetch->stream;
    return false;
}

std::uint64_t body_hash(call_request const& request)
{
    json const body = {
        request.number,
        request.service.str(),
        request.input,
        request.max_tokens,
        request.repeatable.value_or(true),
        request.repeatable.has_value()};
    return stable_hash(to_bytes(body));
}

result<create_request> parse_create(std::string_view body)
{
    body_reader reader(body);
    reader.allow_only({"request_id", "workspace", "budget", "parent"});
    create_request r;
    r.request = request_id(reader.text("request_id", true, max_id_bytes));
    r.workspace = workspace_name(reader.text("workspace", false, max_id_bytes));
    r.parent = program_id(reader.text("parent", false, max_id_bytes));
    bool const root = r.parent.empty();
    r.budget = reader.number("budget", root, 1, max_budget_units);
    if (!root && reader.has("budget"))
        reader.fail("budget", "a sub-agent shares its root's budget");
    if (reader.problem())
        return *reader.problem();
    return r;
}

result<call_request> parse_call(std::string_view body)
{
    body_reader reader(body);
    reader.allow_only(
        {"number", "request_id", "service", "input", "max_tokens", "repeatable",
         "stream", "deadline_ms", "next_tool"});
    call_request r;
    r.number = static_cast<std::uint32_t>(
        reader.number("number", true, 1, max_call_number));
    r.request = request_id(reader.text("request_id", true, max_id_bytes));
    r.service = service_name(reader.text("service", true, max_id_bytes));
    r.input = reader.text("input", false, body.size());
    r.max_tokens = static_cast<std::uint32_t>(
        reader.number("max_tokens", false, 1, max_call_tokens));
    r.repeatable = reader.flag("repeatable");
    r.stream = reader.flag("stream").value_or(false);
    r.deadline = std::chrono::milliseconds(
        reader.number("deadline_ms", false, 1, max_deadline_ms));
    r.next_tool = reader.text("next_tool", false, max_id_bytes);
    if (reader.problem())
        return *reader.problem();
    return r;
}

std::string answer_text(caller_answer const& answer)
{
    return std::visit(
        [](auto const& a) { return to_text(answer_json(a)); }, answer);
}

std::string refusal_text(refusal const& why, request_context const& context)
{
    json j = {{"error", refusal_json(why)}};
    if (!context.program.empty())
        j["program"] = context.program.str();
    if (context.number != 0)
        j["number"] = context.number;
    if (!context.request.empty())
        j["request_id"] = context.request.str();
    return to_text(j);
}

std::string event_text(stream_event const& event)
{
    return to_text({{"text", event.text}});
}

std::string encode_request(caller_request const& request)
{
    return to_bytes(std::visit(request_encoder(), request));
}

result<caller_request> decode_request(std::string_view bytes)
{
    try
    {
        return request_from(decode_cbor(bytes));
    }
    catch (std::exception const& e)
    {
        return bad_field("", std::string("unreadable request: ") + e.what());
    }
}

std::string encode_event(stream_event const& event)
{
    return to_bytes(
        {{"r", event.restart}, {"i", event.index}, {"t", event.text}});
}

result<stream_event> decode_event(std::string_view bytes)
{
    try
    {
        auto const j = decode_cbor(bytes);
        return stream_event{j.at("r"), j.at("i"), j.at("t")};
    }
    catch (std::exception const& e)
    {
        return bad_field("", std::string("unreadable event: ") + e.what());
    }
}

std::string encode_reply(forward_reply const& reply)
{
    json j = {{"moved", reply.moved}};
    if (reply.result)
    {
        auto answer = std::visit(
            [](auto const& a) { return answer_json(a); }, reply.result.value());
        if (auto const* view = std::get_if<program_view>(&reply.result.value()))
            answer["created_now"] = view->created_now;
        j["ok"] = std::move(answer);
    }
    else
        j["error"] = refusal_json(reply.result.error());
    return to_bytes(j);
}

forward_reply decode_reply(std::string_view bytes)
{
    forward_reply reply;
    try
    {
        auto const j = decode_cbor(bytes);
        reply.moved = j.at("moved");
        if (j.contains("ok"))
            reply.result = answer_from(j.at("ok"));
        else
            reply.result = refusal_from(j.at("error"));
    }
    catch (std::exception const& e)
    {
        refusal bad;
        bad.ran = certainty::outcome_unknown;
        bad.message = std::string("unreadable reply: ") + e.what();
        reply.result = bad;
    }
    return reply;
}

} // namespace walnutmill

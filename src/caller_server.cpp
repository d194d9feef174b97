#include "caller_server.hpp"

#include "refusals.hpp"
#include "sha256.hpp"

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;
using web::http::experimental::listener::http_listener;
using path_parts = std::vector<std::string>;

constexpr std::size_t derived_id_digits = 32;

http_response json_response(web::http::status_code status, std::string body)
{
    http_response response(status);
    response.set_body(std::move(body), "application/json");
    return response;
}

http_response
refusal_response(refusal const& why, request_context const& context)
{
    auto response = json_response(
        static_cast<web::http::status_code>(http_status(why.code)),
        refusal_text(why, context));
    if (why.retry_after.count() > 0)
    {
        auto const seconds =
            std::chrono::ceil<std::chrono::seconds>(why.retry_after);
        response.headers().add("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

http_response answer_response(caller_answer const& answer)
{
    auto const* view = std::get_if<program_view>(&answer);
    bool const created = view != nullptr && view->created_now;
    return json_response(
        created ? status_codes::Created : status_codes::OK,
        answer_text(answer));
}

/// The same workspace and request id yield the same program. A sub-agent's
/// id starts with its parent's, which carries it to the root's shard.
program_id derive_program(create_request const& r)
{
    auto const digest = sha256_hex(
        r.workspace.str() + "\n" + r.parent.str() + "\n" + r.request.str());
    auto const own = digest.substr(0, derived_id_digits);
    if (r.parent.empty())
        return program_id("p" + own);
    return program_id(r.parent.str() + ".s" + own);
}

/// One response that is written as events arrive.
class event_stream : public std::enable_shared_from_this<event_stream>
{
public:
    explicit event_stream(request_context context)
        : context_(std::move(context))
    {
    }

    void
    start(http_request const& request, std::function<void()> const& finished)
    {
        http_response response(status_codes::OK);
        response.headers().set_content_type("text/event-stream");
        response.set_body(buffer_.create_istream());
        request.reply(response).then(
            [self = shared_from_this(), finished](pplx::task<void> const& sent)
            {
                try
                {
                    sent.get();
                }
                catch (std::exception const&)
                {
                    // The caller went away; the call itself goes on.
                    std::lock_guard<std::mutex> lock(self->mutex_);
                    self->closed_ = true;
                }
                finished();
            });
    }

    void event(stream_event const& event)
    {
        if (event.restart)
            return write("event: restart\ndata: {}\n\n");
        write(
            "id: " + std::to_string(event.index) +
            "\ndata: " + event_text(event) + "\n\n");
    }

    void done(caller_result const& result)
    {
        if (result)
            write("event: done\ndata: " + answer_text(result.value()) + "\n\n");
        else
            write(
                "event: error\ndata: " +
                refusal_text(result.error(), context_) + "\n\n");
        std::lock_guard<std::mutex> lock(mutex_);
        if (!closed_)
            buffer_.close(std::ios::out);
        closed_ = true;
    }

private:
    void write(std::string const& text)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (closed_)
            return;
        buffer_.putn_nocopy(
            reinterpret_cast<unsigned char const*>(text.data()), text.size());
        buffer_.sync();
    }

    request_context context_;
    std::mutex mutex_;
    bool closed_ = false;
    concurrency::streams::producer_consumer_buffer<unsigned char> buffer_;
};

} // namespace

class caller_server::implementation
    : public std::enable_shared_from_this<caller_server::implementation>
{
public:
    implementation(
        caller_server_options options, caller_server_hooks hooks,
        metrics& counters)
        : options_(std::move(options)), hooks_(std::move(hooks)),
          counters_(counters)
    {
    }

    result<void> start()
    {
        auto const address =
            "http://" + options_.address + ":" + std::to_string(options_.port);
        listener_ = std::make_unique<http_listener>(address);
        auto const self = shared_from_this();
        listener_->support([self](http_request const& request)
                           { self->handle(request); });
        try
        {
            listener_->open().get();
        }
        catch (std::exception const& e)
        {
            return refuse(errc::unavailable, e.what());
        }
        return boost::outcome_v2::success();
    }

    void close()
    {
        try
        {
            if (listener_)
                listener_->close().get();
        }
        catch (std::exception const&)
        {
            // Nothing listens any more either way.
            return;
        }
    }

    std::size_t in_flight() const { return in_flight_.load(); }

private:
    /// Counts a request until its answer is written.
    struct guard
    {
        explicit guard(implementation& server) : server_(server)
        {
            ++server_.in_flight_;
        }
        ~guard() { --server_.in_flight_; }
        guard(guard const&) = delete;
        guard& operator=(guard const&) = delete;
        implementation& server_;
    };
    using guard_ptr = std::shared_ptr<guard>;

    void handle(http_request const& request)
    {
        counters_.count("walnutmill_http_requests_total");
        auto const open = std::make_shared<guard>(*this);
        path_parts const parts = web::uri::split_path(
            web::uri::decode(request.relative_uri().path()));
        if (handle_probe(request, open, parts))
            return;
        auto const length = request.headers().content_length();
        if (length > options_.max_body_bytes)
        {
            return send(
                request, open,
                refusal_response(
                    refuse(errc::too_large, "the body is too long"), {}));
        }
        auto const self = shared_from_this();
        request.extract_vector().then(
            [self, request, open,
             parts](pplx::task<std::vector<unsigned char>> const& read)
            {
                try
                {
                    auto const bytes = read.get();
                    self->route(
                        request, open, parts,
                        std::string(bytes.begin(), bytes.end()));
                }
                catch (std::exception const& e)
                {
                    self->send(
                        request, open,
                        refusal_response(
                            refuse(errc::bad_request, e.what()), {}));
                }
            });
    }

    bool handle_probe(
        http_request const& request, guard_ptr const& open,
        path_parts const& parts)
    {
        if (parts.size() != 1)
            return false;
        if (parts[0] == "health")
            send(request, open, json_response(status_codes::OK, "{}"));
        else if (parts[0] == "ready")
        {
            bool const ready = hooks_.ready();
            send(
                request, open,
                json_response(
                    ready ? status_codes::OK : status_codes::ServiceUnavailable,
                    ready ? R"({"ready":true})" : R"({"ready":false})"));
        }
        else if (parts[0] == "metrics")
        {
            http_response response(status_codes::OK);
            response.set_body(hooks_.metrics_text(), "text/plain");
            send(request, open, response);
        }
        else
            return false;
        return true;
    }

    result<principal> authorize(http_request const& request) const
    {
        constexpr std::string_view scheme = "Bearer ";
        auto const header = request.headers().find("Authorization");
        if (header == request.headers().end() ||
            header->second.rfind(scheme, 0) != 0)
            return refuse(errc::unauthorized, "a bearer token is missing");
        return hooks_.authorize(header->second.substr(scheme.size()));
    }

    void route(
        http_request const& request, guard_ptr const& open,
        path_parts const& parts, std::string const& body)
    {
        auto const who = authorize(request);
        if (!who)
            return send(request, open, refusal_response(who.error(), {}));
        bool const v1 = parts.size() >= 2 && parts[0] == "v1";
        if (v1 && parts[1] == "operate" && parts.size() == 2)
            return operate(request, open, who.value(), body);
        if (!who.value().may_call)
        {
            return send(
                request, open,
                refusal_response(
                    refuse(errc::forbidden, "the token may not call"), {}));
        }
        if (v1 && parts[1] == "services" && parts.size() == 4)
            return direct(request, open, parts, who.value(), body);
        auto parsed =
            v1 && parts[1] == "programs"
                ? parse_program_request(request, parts, who.value(), body)
                : result<caller_request>(
                      refuse(errc::not_found, "no such path"));
        if (!parsed)
            return send(request, open, refusal_response(parsed.error(), {}));
        submit(request, open, std::move(parsed.value()));
    }

    result<caller_request> parse_program_request(
        http_request const& request, path_parts const& parts,
        principal const& who, std::string const& body)
    {
        bool const post = request.method() == web::http::methods::POST;
        bool const get = request.method() == web::http::methods::GET;
        if (parts.size() == 2 && post)
            return parse_creation(who, body);
        auto const program =
            program_id(parts.size() > 2 ? parts[2] : std::string());
        if (parts.size() == 3 && get)
            return caller_request(view_request{program, who.workspace});
        if (parts.size() == 4 && post && parts[3] == "calls")
        {
            auto call = parse_call(body);
            if (!call)
                return call.error();
            call.value().program = program;
            call.value().workspace = who.workspace;
            return caller_request(std::move(call.value()));
        }
        if (parts.size() == 4 && post &&
            (parts[3] == "end" || parts[3] == "cancel"))
        {
            auto const reason =
                parts[3] == "end" ? end_reason::finished : end_reason::canceled;
            return caller_request(end_request{program, who.workspace, reason});
        }
        if (parts.size() == 5 && get && parts[3] == "calls")
            return parse_fetch(request, program, parts[4], who);
        return refuse(errc::not_found, "no such path");
    }

    static result<caller_request>
    parse_creation(principal const& who, std::string const& body)
    {
        auto create = parse_create(body);
        if (!create)
            return create.error();
        auto& r = create.value();
        if (!r.workspace.empty() && r.workspace != who.workspace)
            return refuse(errc::not_found, "no such workspace", "workspace");
        r.workspace = who.workspace;
        r.program = derive_program(r);
        return caller_request(std::move(r));
    }

    static result<caller_request> parse_fetch(
        http_request const& request, program_id const& program,
        std::string const& id, principal const& who)
    {
        fetch_request fetch;
        fetch.program = program;
        fetch.workspace = who.workspace;
        fetch.request = request_id(id);
        auto const query =
            web::uri::split_query(request.relative_uri().query());
        auto const after = query.find("after");
        if (after == query.end())
            return caller_request(std::move(fetch));
        fetch.stream = true;
        char* end = nullptr;
        fetch.after = std::strtoull(after->second.c_str(), &end, 10);
        if (after->second.empty() || *end != '\0')
            return refuse(errc::bad_request, "must be a number", "after");
        return caller_request(std::move(fetch));
    }

    void submit(
        http_request const& request, guard_ptr const& open,
        caller_request parsed)
    {
        auto const context = context_of(parsed);
        auto const self = shared_from_this();
        if (!wants_stream(parsed))
        {
            hooks_.submit(
                std::move(parsed),
                {[](stream_event const&) {},
                 [self, request, open, context](caller_result const& result)
                 {
                     self->send(
                         request, open,
                         result ? answer_response(result.value())
                                : refusal_response(result.error(), context));
                 }});
            return;
        }
        auto const stream = std::make_shared<event_stream>(context);
        stream->start(request, [open] {});
        hooks_.submit(
            std::move(parsed),
            {[stream](stream_event const& event) { stream->event(event); },
             [stream](caller_result const& result) { stream->done(result); }});
    }

    void operate(
        http_request const& request, guard_ptr const& open,
        principal const& who, std::string const& body)
    {
        if (!who.may_operate)
        {
            return send(
                request, open,
                refusal_response(
                    refuse(errc::forbidden, "the token may not operate"), {}));
        }
        auto const j = json::parse(body, nullptr, false);
        if (!j.is_object() || !j.contains("text") || !j["text"].is_string())
        {
            return send(
                request, open,
                refusal_response(
                    refuse(errc::bad_request, "must be a string", "text"), {}));
        }
        operate_request asked;
        asked.who = who;
        asked.text = j["text"];
        if (j.contains("command_id") && j["command_id"].is_string())
            asked.command_id = j["command_id"];
        asked.dry_run = j.contains("dry_run") && j["dry_run"] == true;
        asked.json = j.contains("json") && j["json"] == true;
        auto const answer = hooks_.operate(asked);
        send(
            request, open,
            answer ? json_response(status_codes::OK, answer.value())
                   : refusal_response(answer.error(), {}));
    }

    void direct(
        http_request const& request, guard_ptr const& open,
        path_parts const& parts, principal const& who, std::string const& body)
    {
        auto const j = json::parse(body, nullptr, false);
        auto const text = [&](char const* name)
        {
            return j.is_object() && j.contains(name) && j[name].is_string()
                       ? j[name].get<std::string>()
                       : std::string();
        };
        direct_request asked;
        asked.service = service_name(parts[2]);
        asked.workspace = who.workspace;
        asked.request = request_id(text("request_id"));
        asked.input = text("input");
        if (parts[3] != "call" || asked.request.empty())
        {
            return send(
                request, open,
                refusal_response(
                    refuse(errc::bad_request, "is missing", "request_id"), {}));
        }
        if (j.contains("deadline_ms") && j["deadline_ms"].is_number_unsigned())
        {
            asked.deadline = std::chrono::milliseconds(
                j["deadline_ms"].get<std::uint32_t>());
        }
        request_context const context{{}, 0, asked.request};
        auto const self = shared_from_this();
        hooks_.direct(
            std::move(asked),
            [self, request, open, context](result<call_answer> const& result)
            {
                self->send(
                    request, open,
                    result ? answer_response(caller_answer(result.value()))
                           : refusal_response(result.error(), context));
            });
    }

    void send(
        http_request const& request, guard_ptr const& open,
        http_response const& response)
    {
        request.reply(response).then(
            [open](pplx::task<void> const& sent)
            {
                try
                {
                    sent.get();
                }
                catch (std::exception const&)
                {
                    // The caller went away; it can fetch the answer.
                    return;
                }
            });
    }

    caller_server_options options_;
    caller_server_hooks hooks_;
    metrics& counters_;
    std::unique_ptr<http_listener> listener_;
    std::atomic<std::size_t> in_flight_{0};
};

caller_server::caller_server(
    caller_server_options options, caller_server_hooks hooks, metrics& counters)
    : impl_(std::make_shared<implementation>(
          std::move(options), std::move(hooks), counters))
{
}

caller_server::~caller_server()
{
    impl_->close();
}

result<void> caller_server::start()
{
    return impl_->start();
}

std::size_t caller_server::in_flight() const
{
    return impl_->in_flight();
}

} // namespace walnutmill

#include "target_client.hpp"

#include <algorithm>
#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using web::http::http_exception;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;
namespace methods_ns = web::http;

constexpr std::chrono::seconds short_timeout{5};
constexpr std::chrono::milliseconds default_come_back{200};

refusal failed(errc code, certainty ran, std::string message)
{
    refusal why;
    why.code = code;
    why.ran = ran;
    why.message = std::move(message);
    return why;
}

/// What a broken request says about whether it ran.
refusal broken(std::exception_ptr const& error)
{
    try
    {
        std::rethrow_exception(error);
    }
    catch (http_exception const& e)
    {
        auto const& code = e.error_code();
        bool const connected = code != std::errc::connection_refused &&
                               code != std::errc::host_unreachable;
        return failed(
            errc::target_failed,
            connected ? certainty::outcome_unknown : certainty::not_run,
            e.what());
    }
    catch (std::exception const& e)
    {
        return failed(
            errc::target_failed, certainty::outcome_unknown, e.what());
    }
}

/// A status other than success: 429 and 503 declined, 404 knows no such
/// model, the rest ran.
refusal declined(http_response const& response)
{
    auto const code = response.status_code();
    bool const not_run = code == methods_ns::status_codes::TooManyRequests ||
                         code == methods_ns::status_codes::ServiceUnavailable ||
                         code == methods_ns::status_codes::NotFound;
    auto why = failed(
        errc::target_failed, not_run ? certainty::not_run : certainty::ran,
        "the target answered " + std::to_string(code));
    if (!not_run)
        return why;
    why.retry_after = default_come_back;
    auto const header = response.headers().find("Retry-After");
    if (header != response.headers().end())
    {
        auto const seconds = std::strtol(header->second.c_str(), nullptr, 10);
        if (seconds > 0)
            why.retry_after = std::chrono::seconds(seconds);
    }
    return why;
}

json turns_json(std::vector<turn> const& turns)
{
    auto list = json::array();
    for (auto const& one : turns)
        list.push_back({{"role", one.role}, {"text", one.text}});
    return list;
}

json generate_body(model_effect const& work)
{
    return {
        {"request", work.request.str()},
        {"program", work.program.str()},
        {"epoch", work.epoch},
        {"model", work.model},
        {"adapter", ""},
        {"priority", 0},
        {"turns", turns_json(work.turns)},
        {"max_tokens", work.max_tokens},
        {"resume_after", work.resume_after},
        {"hold_ms", work.hold.count()}};
}

/// Server-sent events of one engine stream, line by line.
class event_reader : public std::enable_shared_from_this<event_reader>
{
public:
    event_reader(concurrency::streams::istream const& body, attempt_hooks hooks)
        : body_(body), hooks_(std::move(hooks))
    {
    }

    void read_next()
    {
        auto const self = shared_from_this();
        concurrency::streams::container_buffer<std::string> line;
        body_.read_line(line).then(
            [self, line](pplx::task<std::size_t> const& done)
            { self->take(line, done); });
    }

private:
    void take(
        concurrency::streams::container_buffer<std::string> const& line,
        pplx::task<std::size_t> const& done)
    {
        try
        {
            auto const count = done.get();
            if (count == 0 && body_.is_eof())
            {
                return fail("the stream ended early");
            }
            if (take_line(line.collection()))
                return;
            read_next();
        }
        catch (std::exception const& e)
        {
            fail(e.what());
        }
    }

    void fail(std::string message) const
    {
        hooks_.failure(failed(
            errc::target_failed, certainty::outcome_unknown,
            std::move(message)));
    }

    /// \return whether the stream has ended.
    bool take_line(std::string text)
    {
        if (!text.empty() && text.back() == '\r')
            text.pop_back();
        if (text.rfind("id: ", 0) == 0)
            id_ = static_cast<std::uint32_t>(
                std::strtoul(text.c_str() + 4, nullptr, 10));
        else if (text.rfind("event: ", 0) == 0)
            event_ = text.substr(7);
        else if (text.rfind("data: ", 0) == 0)
            return take_data(json::parse(text.substr(6)));
        return false;
    }

    bool take_data(json const& data)
    {
        if (event_ == "done")
        {
            hooks_.answer(
                {data.at("text"), data.at("prompt_tokens"), data.at("tokens")});
            return true;
        }
        hooks_.token(id_, data.at("text"));
        event_.clear();
        return false;
    }

    concurrency::streams::istream body_;
    attempt_hooks hooks_;
    std::uint32_t id_ = 0;
    std::string event_;
};

} // namespace

class target_client::implementation
{
public:
    std::shared_ptr<http_client>
    client(std::string const& address, std::chrono::milliseconds timeout)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        auto& found = clients_[address + " " + std::to_string(timeout.count())];
        if (!found)
        {
            http_client_config config;
            config.set_timeout(timeout);
            found = std::make_shared<http_client>(address, config);
        }
        return found;
    }

    /// A client whose connection is new. The library sends a request again by
    /// itself when a connection that it had used before closes early; on a
    /// new one it never does.
    static std::shared_ptr<http_client>
    fresh_client(std::string const& address, std::chrono::milliseconds timeout)
    {
        http_client_config config;
        config.set_timeout(timeout);
        return std::make_shared<http_client>(address, config);
    }

    pplx::task<http_response> post(
        std::string const& address, std::string const& path, json const& body,
        std::chrono::milliseconds timeout)
    {
        return client(address, timeout)
            ->request(
                methods_ns::methods::POST, path,
                body.dump(-1, ' ', false, json::error_handler_t::replace),
                "application/json", source_.get_token());
    }

    pplx::cancellation_token token() { return source_.get_token(); }
    void cancel() { source_.cancel(); }

private:
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<http_client>> clients_;
    pplx::cancellation_token_source source_;
};

target_client::target_client() : impl_(std::make_shared<implementation>()) {}

target_client::~target_client()
{
    impl_->cancel();
}

void target_client::generate(
    std::string const& address, model_effect const& work,
    attempt_hooks const& hooks)
{
    impl_->post(address, "/v1/generate", generate_body(work), work.timeout)
        .then(
            [hooks](pplx::task<http_response> const& done)
            {
                try
                {
                    auto const response = done.get();
                    if (response.status_code() / 100 != 2)
                        return hooks.failure(declined(response));
                    std::make_shared<event_reader>(response.body(), hooks)
                        ->read_next();
                }
                catch (...)
                {
                    hooks.failure(broken(std::current_exception()));
                }
            });
}

namespace
{

/// Ends an attempt at a plain service.
void take_plain_answer(
    pplx::task<http_response> const& done, attempt_hooks const& hooks)
{
    try
    {
        auto const response = done.get();
        if (response.status_code() != methods_ns::status_codes::OK)
            return hooks.failure(declined(response));
        auto const bytes = response.extract_vector().get();
        auto const body = json::parse(bytes.begin(), bytes.end());
        hooks.answer({body.at("output"), 0, 0});
    }
    catch (...)
    {
        hooks.failure(broken(std::current_exception()));
    }
}

} // namespace

void target_client::run(
    std::string const& address, plain_effect const& work,
    attempt_hooks const& hooks)
{
    json const body = {
        {"request", work.request.str()},
        {"program", work.program.str()},
        {"number", work.number},
        {"input", work.input}};
    auto const client =
        work.repeatable ? impl_->client(address, work.timeout)
                        : implementation::fresh_client(address, work.timeout);
    auto const text = body.dump(-1, ' ', false, json::error_handler_t::replace);
    client
        ->request(
            methods_ns::methods::POST, "/run", text, "application/json",
            impl_->token())
        .then([hooks, client](pplx::task<http_response> const& done)
              { take_plain_answer(done, hooks); });
}

void target_client::query(
    std::string const& address, query_effect const& work,
    attempt_hooks const& hooks)
{
    auto const path = web::uri::encode_uri("/run/" + work.request.str());
    impl_->client(address, short_timeout)
        ->request(methods_ns::methods::GET, path, impl_->token())
        .then([hooks](pplx::task<http_response> const& done)
              { take_plain_answer(done, hooks); });
}

void target_client::cancel(
    std::string const& address, request_id const& request)
{
    impl_
        ->post(
            address, "/v1/cancel", {{"request", request.str()}}, short_timeout)
        .then(
            [](pplx::task<http_response> const& done)
            {
                try
                {
                    done.wait();
                }
                catch (std::exception const&)
                {
                    // The engine's own deadline ends the request.
                    return;
                }
            });
}

void target_client::release(
    std::string const& address, program_id const& program,
    std::function<void(bool)> const& done)
{
    impl_
        ->post(
            address, "/v1/holds/release", {{"program", program.str()}},
            short_timeout)
        .then(
            [done](pplx::task<http_response> const& answer)
            {
                try
                {
                    done(
                        answer.get().status_code() ==
                        methods_ns::status_codes::OK);
                }
                catch (std::exception const&)
                {
                    done(false);
                }
            });
}

} // namespace walnutmill

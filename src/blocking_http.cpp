#include "blocking_http.hpp"

#include <cpprest/http_client.h>

namespace walnutmill
{
namespace
{

using web::http::http_exception;
using web::http::http_request;
using web::http::client::http_client;
using web::http::client::http_client_config;

http_client_config config_with(std::chrono::milliseconds timeout)
{
    http_client_config config;
    config.set_timeout(timeout);
    return config;
}

refusal broken(certainty ran, std::string message)
{
    refusal why;
    why.code = errc::unavailable;
    why.ran = ran;
    why.message = std::move(message);
    return why;
}

bool never_connected(http_exception const& e)
{
    auto const& code = e.error_code();
    return code == std::errc::connection_refused ||
           code == std::errc::host_unreachable;
}

} // namespace

class blocking_http::implementation
{
public:
    implementation(
        std::string const& url, std::chrono::milliseconds timeout,
        std::string token)
        : client(url, config_with(timeout)), token_(std::move(token))
    {
    }

    result<http_reply> send(http_request request)
    {
        if (!token_.empty())
            request.headers().add("Authorization", "Bearer " + token_);
        try
        {
            auto const response = client.request(request).get();
            auto const bytes = response.extract_vector().get();
            return http_reply{
                response.status_code(), {bytes.begin(), bytes.end()}};
        }
        catch (http_exception const& e)
        {
            return broken(
                never_connected(e) ? certainty::not_run
                                   : certainty::outcome_unknown,
                e.what());
        }
        catch (std::exception const& e)
        {
            return broken(certainty::outcome_unknown, e.what());
        }
    }

    http_client client;

private:
    std::string token_;
};

blocking_http::blocking_http(
    std::string const& url, std::chrono::milliseconds timeout,
    std::string token)
    : impl_(std::make_unique<implementation>(url, timeout, std::move(token)))
{
}

blocking_http::~blocking_http() = default;

result<http_reply> blocking_http::get(std::string const& path)
{
    http_request request(web::http::methods::GET);
    request.set_request_uri(path);
    return impl_->send(request);
}

result<http_reply>
blocking_http::post(std::string const& path, std::string const& body)
{
    http_request request(web::http::methods::POST);
    request.set_request_uri(path);
    request.set_body(body, "application/json");
    return impl_->send(request);
}

} // namespace walnutmill

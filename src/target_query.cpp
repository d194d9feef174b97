#include "target_query.hpp"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>

namespace walnutmill
{

result<target_load>
query_load(std::string const& address, std::chrono::milliseconds timeout)
{
    try
    {
        web::http::client::http_client_config config;
        config.set_timeout(timeout);
        web::http::client::http_client client(address, config);
        auto const response =
            client.request(web::http::methods::GET, "/v1/load").get();
        auto const bytes = response.extract_vector().get();
        auto const body = nlohmann::json::parse(bytes.begin(), bytes.end());
        target_load load;
        load.running = body.at("running");
        load.queued = body.at("queued");
        load.cache_used = body.at("cache_used");
        load.cache_size = body.at("cache_size");
        load.age =
            std::chrono::milliseconds(body.value("age_ms", std::int64_t(0)));
        return load;
    }
    catch (std::exception const& e)
    {
        refusal why;
        why.code = errc::target_failed;
        why.message = e.what();
        return why;
    }
}

} // namespace walnutmill

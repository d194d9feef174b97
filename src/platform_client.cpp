#include "platform_client.hpp"

#include "base64.hpp"

#include <cpprest/http_client.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using web::http::http_exception;
using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;
namespace status = web::http;

using client_ptr = std::shared_ptr<http_client>;

client_ptr
make_client(std::string const& url, std::chrono::milliseconds timeout)
{
    http_client_config config;
    config.set_timeout(timeout);
    return std::make_shared<http_client>(url, config);
}

refusal store_down(std::string message)
{
    constexpr std::chrono::milliseconds come_back{500};
    refusal why;
    why.code = errc::store_unavailable;
    why.message = std::move(message);
    why.retry_after = come_back;
    return why;
}

http_response post(http_client& client, char const* path, json const& body)
{
    return client
        .request(
            web::http::methods::POST, path, body.dump(), "application/json")
        .get();
}

/// The whole body, whatever its content type says.
std::string body_of(http_response const& response)
{
    auto const bytes = response.extract_vector().get();
    return {bytes.begin(), bytes.end()};
}

/// Whether the connection was never made, so that nothing was sent.
bool never_connected(http_exception const& e)
{
    auto const& code = e.error_code();
    return code == std::errc::connection_refused ||
           code == std::errc::host_unreachable;
}

json optional_bytes(std::optional<std::string> const& bytes)
{
    return bytes ? json(to_base64(*bytes)) : json(nullptr);
}

json transaction_json(transaction const& txn)
{
    auto conditions = json::array();
    for (auto const& one : txn.conditions)
        conditions.push_back(
            {{"key", one.key}, {"equals", optional_bytes(one.equals)}});
    auto writes = json::array();
    for (auto const& one : txn.writes)
        writes.push_back(
            {{"key", one.key}, {"value", optional_bytes(one.value)}});
    return {
        {"id", txn.id},
        {"conditions", std::move(conditions)},
        {"writes", std::move(writes)}};
}

commit_result commit(http_client& client, transaction const& txn)
{
    commit_result done;
    try
    {
        auto const response =
            post(client, "/table/commit", transaction_json(txn));
        switch (response.status_code())
        {
        case status::status_codes::OK:
            done.status = commit_status::committed;
            break;
        case status::status_codes::Conflict:
            done.failed = json::parse(body_of(response))
                              .at("failed")
                              .get<std::vector<std::string>>();
            done.status = commit_status::refused;
            break;
        case status::status_codes::TooManyRequests:
        case status::status_codes::ServiceUnavailable:
            done.status = commit_status::not_sent;
            break;
        default:
            break;
        }
    }
    catch (http_exception const& e)
    {
        done.status = never_connected(e) ? commit_status::not_sent
                                         : commit_status::in_doubt;
    }
    catch (std::exception const&)
    {
        done.status = commit_status::in_doubt;
    }
    return done;
}

std::vector<row> rows_from(json const& body)
{
    std::vector<row> rows;
    for (auto const& one : body.at("rows"))
    {
        rows.push_back(
            {one.at("key"), from_base64(one.at("value").get<std::string>())});
    }
    return rows;
}

result<json> ask(http_client& client, char const* path, json const& body)
{
    try
    {
        auto const response = post(client, path, body);
        if (response.status_code() != status::status_codes::OK)
            return store_down("the table refuses to read");
        return json::parse(body_of(response));
    }
    catch (std::exception const& e)
    {
        return store_down(e.what());
    }
}

result<std::vector<row>>
read(http_client& client, std::vector<std::string> const& keys)
{
    auto const body = ask(client, "/table/read", {{"keys", keys}});
    if (!body)
        return body.error();
    return rows_from(body.value());
}

result<scan_page> scan(
    http_client& client, std::string_view prefix, std::string_view after,
    std::size_t limit)
{
    auto const body =
        ask(client, "/table/scan",
            {{"prefix", prefix}, {"after", after}, {"limit", limit}});
    if (!body)
        return body.error();
    return scan_page{
        rows_from(body.value()), body.value().value("more", false)};
}

result<std::string> object_request(
    http_client& client, web::http::method const& method, std::string_view key,
    std::string_view value)
{
    try
    {
        http_request request(method);
        auto const path = "/objects/" + std::string(key);
        request.set_request_uri(web::uri::encode_uri(path));
        if (method == web::http::methods::PUT)
        {
            request.set_body(
                std::vector<unsigned char>(value.begin(), value.end()));
        }
        auto const response = client.request(request).get();
        auto const code = response.status_code();
        if (code == status::status_codes::NotFound)
        {
            refusal missing;
            missing.code = errc::not_found;
            missing.message = "no such object";
            return missing;
        }
        if (code / 100 != 2)
            return store_down("the object store refuses");
        return body_of(response);
    }
    catch (std::exception const& e)
    {
        return store_down(e.what());
    }
}

result<void> without_body(result<std::string> const& answer)
{
    if (!answer)
        return answer.error();
    return boost::outcome_v2::success();
}

} // namespace

table_service
make_table_client(std::string const& url, std::chrono::milliseconds timeout)
{
    auto const client = make_client(url, timeout);
    table_service table;
    // A new connection for each commit: on one that it used before, the
    // library may send a request again by itself, and the second answer
    // ("refused") would hide that the first took effect.
    table.commit = [url, timeout](transaction const& txn)
    { return commit(*make_client(url, timeout), txn); };
    table.read = [client](std::vector<std::string> const& keys)
    { return read(*client, keys); };
    table.scan =
        [client](
            std::string_view prefix, std::string_view after, std::size_t limit)
    { return scan(*client, prefix, after, limit); };
    return table;
}

object_store
make_object_client(std::string const& url, std::chrono::milliseconds timeout)
{
    auto const client = make_client(url, timeout);
    object_store store;
    store.put = [client](std::string_view key, std::string_view value)
    {
        return without_body(
            object_request(*client, web::http::methods::PUT, key, value));
    };
    store.get = [client](std::string_view key)
    { return object_request(*client, web::http::methods::GET, key, {}); };
    store.erase = [client](std::string_view key)
    {
        return without_body(
            object_request(*client, web::http::methods::DEL, key, {}));
    };
    return store;
}

} // namespace walnutmill

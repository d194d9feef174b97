#ifndef WALNUTMILL_SRC_BLOCKING_HTTP_HPP
#define WALNUTMILL_SRC_BLOCKING_HTTP_HPP

/// \file
/// One HTTP request at a time, for duties and tools that wait for the answer.

#include <walnutmill/result.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace walnutmill
{

struct http_reply
{
    int status = 0;
    std::string body;
};

/// Talks to one base address. Not thread-safe.
class blocking_http
{
public:
    /// \param token for the Authorization header; empty: none
    blocking_http(
        std::string const& url, std::chrono::milliseconds timeout,
        std::string token = "");
    ~blocking_http();
    blocking_http(blocking_http const&) = delete;
    blocking_http& operator=(blocking_http const&) = delete;

    /// \return the reply with any status, or errc::unavailable: not_run where
    /// no connection was made, else outcome_unknown.
    result<http_reply> get(std::string const& path);
    result<http_reply> post(std::string const& path, std::string const& body);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif

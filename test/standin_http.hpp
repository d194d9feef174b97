#ifndef WALNUTMILL_TEST_STANDIN_HTTP_HPP
#define WALNUTMILL_TEST_STANDIN_HTTP_HPP

/// \file
/// The HTTP server of the stand-ins. Boost.Beast rather than cpprestsdk's
/// listener, which cannot break a connection before the first byte of an
/// answer; lost answers are what the stand-ins are for.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace walnutmill::standin
{

/// One request as a role sees it.
struct http_call
{
    std::string method;
    /// Path with percent escapes resolved, without the query.
    std::string path;
    std::string query;
    std::string body;

    /// \return a value of the query, unescaped; empty when it is missing.
    std::string query_value(std::string_view name) const;
};

class connection;

/// Answers one request from any thread; copies share the request. The
/// connection is closed when the last copy goes without an answer.
class responder
{
public:
    explicit responder(std::shared_ptr<connection> link);

    /// Answers as a whole with a JSON body.
    void reply(unsigned status, std::string const& body) const;
    /// Answers with raw bytes.
    void reply_bytes(std::string const& body) const;
    /// Declines with a time to come back.
    void refuse(unsigned status) const;
    /// Starts a stream of server-sent events.
    void begin_stream() const;
    /// Sends a piece of the stream.
    void write(std::string const& piece) const;
    /// Ends the stream; it is broken off instead when answers get lost.
    void end_stream(std::string const& last_piece) const;
    /// Closes the connection without a further byte.
    void drop() const;
    /// Whether the connection broke.
    bool gone() const;
    /// Makes the answer get lost once it is there.
    void lose_answer() const;

private:
    std::shared_ptr<connection> link_;
};

using http_handler = std::function<void(http_call, responder)>;

/// Listens on the loopback address; handlers must not block.
class http_server
{
public:
    /// \param port zero picks a free one
    explicit http_server(std::uint16_t port);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    std::uint16_t port() const;
    /// Serves until SIGTERM or SIGINT.
    void run(http_handler handler);
    /// Calls `then` on a server thread after the delay.
    void after(std::chrono::milliseconds delay, std::function<void()> then);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace walnutmill::standin

#endif

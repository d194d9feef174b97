#ifndef WALNUTMILL_SRC_ENTRY_HTTP_LINK_HPP
#define WALNUTMILL_SRC_ENTRY_HTTP_LINK_HPP

/// \file
/// One connection of ours to an HTTP server: an engine, the store or another
/// node. One exchange at a time.
///
/// Built on Boost.Beast, the foundation of the HTTP library: that library
/// repeats a request by itself when a kept connection turns out closed, and
/// cannot show bytes that follow an answer.

#include <walnutmill/ids.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

/// How an exchange ended.
enum class link_end
{
    /// The whole answer came.
    complete,
    /// No connection came about: not a byte of the request left.
    not_connected,
    /// The connection ended, or bytes came that are no answer, before the
    /// whole answer; the request may have been read.
    broken
};

/// The address IP:PORT; empty where the text is none.
std::optional<boost::asio::ip::tcp::endpoint>
endpoint_of(std::string_view text);

/// Makes a socket notice a peer that went silent without a reset.
void watch_for_silence(boost::asio::ip::tcp::socket& socket);

class http_link : public std::enable_shared_from_this<http_link>
{
public:
    using response_head = boost::beast::http::response_header<>;

    struct handlers
    {
        /// The head of the answer; its body follows.
        std::function<void(response_head const&)> on_head;
        /// Bytes of the body as they come.
        std::function<void(std::string_view)> on_body;
        /// Called once, last, and never after close().
        std::function<void(link_end)> on_end;
    };

    http_link(
        boost::asio::io_context& io, boost::asio::ip::tcp::endpoint peer,
        std::chrono::milliseconds connect_timeout);

    /// Sends a request, connecting first where needed.
    /// \param expected id that the answer has to echo; answers with another
    /// one are passed over. Empty: any answer is taken.
    void exchange(std::string bytes, request_id expected, handlers to);

    /// Ends the connection at once; no handler is called afterwards.
    void close();

    /// Ends the connection as if its peer had: for a peer that is known to be
    /// gone, whose silence no reset may ever end.
    void break_off();

    /// \return true while connected with no exchange under way and nothing
    /// that would spoil the next answer.
    bool reusable() const { return connected_ && !busy_ && !spoiled_; }

    /// Called when an idle connection ends or can't be used any more.
    std::function<void()> on_idle_end;

    std::chrono::steady_clock::time_point idle_since{};
    /// Idle time after which the peer said that it ends the connection.
    std::optional<std::chrono::milliseconds> idle_timeout;

private:
    using parser_type =
        boost::beast::http::response_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    void connect();
    void connected(error_code const& error);
    void send();
    void read();
    void received(error_code const& error, std::size_t size);
    void parse();
    bool parse_some();
    void start_parser();
    bool take_head();
    void deliver_body();
    void answer_done();
    void finish(link_end how);
    void drop_connection();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint peer_;
    boost::asio::steady_timer connect_timer_;
    std::chrono::milliseconds connect_timeout_;
    std::string outgoing_;
    std::string incoming_;
    std::array<char, 16'384> chunk_{};
    std::optional<parser_type> parser_;
    request_id expected_;
    /// Shared, so that a handler may end the exchange that it is called for.
    std::shared_ptr<handlers> handlers_;
    bool connected_ = false;
    bool busy_ = false;
    bool spoiled_ = false;
    bool closed_ = false;
    bool head_taken_ = false;
    /// The answer being read belongs to an earlier request.
    bool skipping_ = false;
    bool writing_ = false;
};

} // namespace walnutmill

#endif

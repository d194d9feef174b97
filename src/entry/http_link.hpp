#ifndef WALNUTMILL_SRC_ENTRY_HTTP_LINK_HPP
#define WALNUTMILL_SRC_ENTRY_HTTP_LINK_HPP

/// \file
/// One outgoing connection to an HTTP server: an engine, the store or another
/// node. It carries one exchange at a time.
///
/// It uses Boost.Beast directly rather than the HTTP library built on it. That
/// library resends a request by itself when a persistent connection turns out
/// to be closed, and does not expose bytes that follow an answer.

#include <walnutmill/ids.hpp>

#include "entry/byte_limits.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
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
    /// The complete answer was received.
    complete,
    /// The connection was not established; no byte of the request was sent.
    not_connected,
    /// The connection closed before the answer was complete. The server may
    /// have read the request.
    broken,
    /// Bytes arrived that are no answer. The server may have read the request,
    /// and has not ended.
    malformed,
    /// The server sent more than it may before the answer was complete. It may
    /// have read the request, and has not ended.
    too_long
};

/// Body of an answer as it arrives. Unlike \c http::string_body, it reserves no
/// memory for the length that the head declares.
struct partial_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& to)
            : to_(to)
        {
        }

        void init(
            boost::optional<std::uint64_t> const&,
            boost::system::error_code& error)
        {
            error = {};
        }

        template<class ConstBufferSequence>
        std::size_t
        put(ConstBufferSequence const& buffers,
            boost::system::error_code& error)
        {
            error = {};
            auto const before = to_.size();
            for (auto const one : boost::beast::buffers_range_ref(buffers))
                to_.append(static_cast<char const*>(one.data()), one.size());
            return to_.size() - before;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& to_;
    };
};

/// \return the endpoint of an address IP:PORT (IPv4); empty if it is invalid.
std::optional<boost::asio::ip::tcp::endpoint>
endpoint_of(std::string_view text);

/// Sets the socket options that detect a peer that stops responding without a
/// reset while nothing is sent to it. Options that the kernel lacks are
/// ignored.
void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket);

/// Client side of one HTTP/1.1 connection.
class http_link : public std::enable_shared_from_this<http_link>
{
public:
    using response_head = boost::beast::http::response_header<>;

    /// Callbacks of one exchange.
    struct handlers
    {
        /// Called when bytes of the request were sent, or of an answer
        /// received.
        std::function<void()> on_sent{};
        std::function<void()> on_received{};
        /// Called with the head of the answer, before its body.
        std::function<void(response_head const&)> on_head;
        /// Called with bytes of the body as they arrive.
        std::function<void(std::string_view)> on_body;
        /// Called once, after the other handlers, and never after close().
        std::function<void(link_end)> on_end;
        /// Limit of the answer's body. An answer that declares or sends more
        /// ends the exchange as too long.
        std::uint64_t max_body_bytes = max_answer_bytes;
    };

    http_link(
        boost::asio::io_context& io, boost::asio::ip::tcp::endpoint peer,
        std::chrono::milliseconds connect_timeout);

    /// Sends a request, connecting first if needed.
    /// \param bytes the complete request
    /// \param expected id that the answer has to echo; answers with another
    /// id are skipped. If empty, any answer is accepted.
    void exchange(std::string bytes, request_id expected, handlers to);

    /// Lifts the limit of the current answer's body, for a stream whose parts
    /// its reader limits. Called by on_head.
    void lift_body_limit();

    /// Closes the connection at once; no handler is called afterwards.
    void close();

    /// Closes the connection and ends the exchange, by default as if the peer
    /// had closed it. For a peer that is known to have failed and may never
    /// send a reset.
    void fail_exchange(link_end how = link_end::broken);

    /// \return true if the peer refused the connection; false if it has not
    /// answered in time
    bool was_refused() const { return refused_; }

    /// \return true while connected, with no exchange in progress and
    /// nothing pending that would corrupt the next answer.
    bool reusable() const { return connected_ && !busy_ && !not_reusable_; }

    /// \return the number of bytes held that belong to no complete head, chunk
    /// or answer
    std::size_t unparsed_bytes() const { return incoming_.size(); }

    /// Called when an idle connection closes or can no longer be used.
    std::function<void()> on_idle_close;

    /// When the last exchange ended.
    std::chrono::steady_clock::time_point idle_since{};
    /// Idle time after which the peer closes the connection, as it stated.
    std::optional<std::chrono::milliseconds> idle_timeout;

private:
    using parser_type = boost::beast::http::response_parser<partial_body>;
    using error_code = boost::system::error_code;

    void connect();
    void handle_connect(error_code const& error);
    void send();
    void limit_silence(bool enabled);
    void handle_sent(error_code const& error);
    void read();
    void handle_read(error_code const& error, std::size_t size);
    void parse();
    bool parse_some();
    bool exceeds_limits(bool is_incomplete) const;
    void fail(link_end how);
    void start_parser();
    bool process_head();
    bool may_end_with_connection() const;
    void end_with_connection(bool orderly_close);
    void deliver_body();
    void finish_answer();
    void finish(link_end how);
    void close_socket();

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint peer_;
    boost::asio::steady_timer connect_timer_;
    std::chrono::milliseconds connect_timeout_;
    std::string outgoing_;
    std::string incoming_;
    std::array<char, read_chunk_bytes> chunk_{};
    std::optional<parser_type> parser_;
    /// Bytes of the exchange that were parsed, by kind.
    std::uint64_t parsed_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
    std::uint64_t skipped_bytes_ = 0;
    request_id expected_;
    /// Shared, so that a handler may end the exchange that called it.
    std::shared_ptr<handlers> handlers_;
    bool connected_ = false;
    /// The system closes a connection whose peer acknowledges nothing.
    bool limits_silence_ = false;
    bool refused_ = false;
    bool busy_ = false;
    bool not_reusable_ = false;
    bool closed_ = false;
    bool head_received_ = false;
    /// The answer being read belongs to an earlier request.
    bool skipping_ = false;
    bool writing_ = false;
    /// Writing has failed because the connection was reset or timed out.
    bool reset_ = false;
    /// The server has closed its side of the connection while the request was
    /// still being sent.
    bool ends_after_sending_ = false;
};

} // namespace walnutmill

#endif

#include "entry/http_link.hpp"

#include "ip_endpoint.hpp"
#include "platform/answer_id.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Time that sent bytes may stay unacknowledged before the kernel closes the
/// connection. It is below the two seconds after which callers abandon a silent
/// stream, and above the time that retransmitting a lost packet takes.
constexpr int unacknowledged_timeout_ms = 1'500;
/// The receive window that a server usually has before it reads anything. A
/// request that fits into it is left unacknowledged by dead servers only.
constexpr std::size_t usual_window_bytes = 65'536;
/// Seconds without traffic before the first keepalive probe, and between
/// probes. An unresponsive peer is detected within about three seconds.
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

link_end end_of(boost::system::error_code const& error)
{
    namespace http = boost::beast::http;
    return error == http::error::body_limit ||
                   error == http::error::header_limit
               ? link_end::too_long
               : link_end::malformed;
}

void set_option(tcp::socket& socket, int level, int name, int value)
{
    // A kernel without the option only detects an unresponsive peer later.
    (void)::setsockopt(
        socket.native_handle(), level, name, &value, sizeof(value));
}

} // namespace

std::optional<tcp::endpoint> endpoint_of(std::string_view text)
{
    return parse_endpoint(text);
}

void enable_dead_peer_detection(tcp::socket& socket)
{
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

http_link::http_link(
    asio::io_context& io, tcp::endpoint peer,
    std::chrono::milliseconds connect_timeout)
    : io_(io), socket_(io), peer_(std::move(peer)), connect_timer_(io),
      connect_timeout_(connect_timeout)
{
}

void http_link::exchange(std::string bytes, request_id expected, handlers to)
{
    outgoing_ = std::move(bytes);
    expected_ = std::move(expected);
    handlers_ = std::make_shared<handlers>(std::move(to));
    busy_ = true;
    parsed_bytes_ = 0;
    body_bytes_ = 0;
    skipped_bytes_ = 0;
    start_parser();
    if (connected_)
        send();
    else
        connect();
}

void http_link::close()
{
    if (closed_)
        return;
    closed_ = true;
    busy_ = false;
    handlers_.reset();
    on_idle_close = {};
    close_socket();
}

void http_link::fail_exchange(link_end how)
{
    if (!closed_)
        fail(how);
}

void http_link::close_socket()
{
    connected_ = false;
    connect_timer_.cancel();
    boost::system::error_code ignored; // the connection is abandoned anyway
    socket_.close(ignored);
}

void http_link::connect()
{
    connect_timer_.expires_after(connect_timeout_);
    connect_timer_.async_wait(
        [self = shared_from_this()](error_code const& error)
        {
            if (!error && !self->connected_ && !self->closed_)
                self->close_socket();
        });
    socket_.async_connect(
        peer_, [self = shared_from_this()](error_code const& error)
        { self->handle_connect(error); });
}

void http_link::handle_connect(error_code const& error)
{
    connect_timer_.cancel();
    if (closed_)
        return;
    if (error || !socket_.is_open())
    {
        refused_ = error == asio::error::connection_refused;
        close_socket();
        finish(link_end::not_connected);
        return;
    }
    connected_ = true;
    boost::system::error_code ignored; // affects only latency
    socket_.set_option(tcp::no_delay(true), ignored);
    enable_dead_peer_detection(socket_);
    send();
    read();
}

void http_link::send()
{
    writing_ = true;
    limit_silence(outgoing_.size() <= usual_window_bytes);
    asio::async_write(
        socket_, asio::buffer(outgoing_),
        [self = shared_from_this()](error_code const& error, std::size_t sent)
        {
            if (sent > 0 && self->handlers_ && self->handlers_->on_sent)
                self->handlers_->on_sent();
            return asio::transfer_all()(error, sent);
        },
        [self = shared_from_this()](error_code const& error, std::size_t)
        { self->handle_sent(error); });
}

/// Linux also counts the time for which a live peer keeps its window closed, on
/// some connections that of earlier times. A server may be slow to read a long
/// request, so the time limit of its exchange bounds that one.
void http_link::limit_silence(bool enabled)
{
    if (limits_silence_ == enabled)
        return;
    limits_silence_ = enabled;
    set_option(
        socket_, IPPROTO_TCP, TCP_USER_TIMEOUT,
        enabled ? unacknowledged_timeout_ms : 0);
}

void http_link::handle_sent(error_code const& error)
{
    writing_ = false;
    if (closed_)
        return;
    if (error)
    {
        not_reusable_ = true;
        // The system reports a reset once, to reading or to writing. A broken
        // pipe follows an orderly close.
        reset_ = error != asio::error::broken_pipe;
    }
    // Otherwise the read side ends the exchange: an answer may have arrived
    // before the failure.
    if (ends_after_sending_ && busy_)
        end_with_connection(!error);
}

void http_link::read()
{
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code const& error, std::size_t size)
        { self->handle_read(error, size); });
}

void http_link::handle_read(error_code const& error, std::size_t size)
{
    if (closed_)
        return;
    if (error)
    {
        // An answer without a length ends with its connection. Only an
        // orderly close makes it complete, since bytes may be missing after
        // a reset.
        auto const orderly_close = error == asio::error::eof && !reset_;
        // A server that closes its side before it has read the request may
        // read on, or reset the connection next.
        if (busy_ && orderly_close && may_end_with_connection() && writing_)
            ends_after_sending_ = true;
        else
            end_with_connection(orderly_close);
        return;
    }
    incoming_.append(chunk_.data(), size);
    if (handlers_ && handlers_->on_received)
        handlers_->on_received();
    if (!busy_)
    {
        // Bytes that arrive outside an exchange belong to no request.
        not_reusable_ = true;
        fail(link_end::broken);
        return;
    }
    auto const self = shared_from_this();
    parse();
    if (connected_ && !closed_)
        read();
}

void http_link::end_with_connection(bool orderly_close)
{
    close_socket();
    if (busy_ && orderly_close && may_end_with_connection())
    {
        error_code at_end;
        parser_->put_eof(at_end);
        finish(at_end ? link_end::broken : link_end::complete);
        return;
    }
    finish(link_end::broken);
}

/// \return true if the connection's end completes the answer. A success without
/// a length and a body may be one whose engine ended in its head, behind a part
/// that lacks the length.
bool http_link::may_end_with_connection() const
{
    constexpr unsigned first_failure_status = 300;
    return parser_ && head_received_ && !skipping_ && parser_->need_eof() &&
           (body_bytes_ > 0 ||
            parser_->get().result_int() >= first_failure_status);
}

void http_link::start_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(max_framing_bytes);
    parser_->body_limit(handlers_->max_body_bytes);
    head_received_ = false;
    skipping_ = false;
}

void http_link::lift_body_limit()
{
    // Without a limit, the parser rejects an answer that declares its length.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
}

void http_link::parse()
{
    bool goes_on = true;
    while (goes_on && busy_ && !closed_ && !incoming_.empty())
    {
        goes_on = parse_some();
        if (busy_ && !closed_ && exceeds_limits(!goes_on))
            fail(link_end::too_long);
    }
}

/// The parser limits single heads, but not their number, chunk headers and
/// trailers.
/// \param is_incomplete the bytes that are left belong to an incomplete head,
/// chunk header or trailer
bool http_link::exceeds_limits(bool is_incomplete) const
{
    auto const framing =
        parsed_bytes_ - body_bytes_ + (is_incomplete ? incoming_.size() : 0);
    return framing > max_framing_with_body(body_bytes_) ||
           skipped_bytes_ > max_skipped_bytes;
}

void http_link::fail(link_end how)
{
    close_socket();
    finish(how);
}

/// \return false if more bytes are needed or the exchange has ended.
bool http_link::parse_some()
{
    error_code error;
    auto const used = parser_->put(asio::buffer(incoming_), error);
    incoming_.erase(0, used);
    parsed_bytes_ += used;
    if (error == boost::beast::http::error::need_more)
        error = {};
    if (error)
    {
        fail(end_of(error));
        return false;
    }
    if (parser_->is_header_done() && !head_received_ && !process_head())
        return true;
    if (head_received_)
        deliver_body();
    if (closed_ || !busy_)
        return false;
    if (parser_->is_done())
    {
        finish_answer();
        return true;
    }
    return used > 0;
}

/// \return false if the head is an interim (1xx) one and the parser was reset,
/// or if the exchange has ended.
bool http_link::process_head()
{
    constexpr unsigned first_status = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final_status = 200;
    constexpr unsigned status_end = 600;
    auto const status = parser_->get().result_int();
    // No request asks for another protocol.
    if (status < first_status || status >= status_end ||
        status == switching_protocols)
    {
        fail(link_end::malformed);
        return false;
    }
    if (status < first_final_status)
    {
        start_parser();
        return false;
    }
    // The parser forgets that a length exceeds its limit if bytes of the body
    // have come with the head.
    auto const length = parser_->content_length();
    if (length && *length > handlers_->max_body_bytes && !parser_->is_done())
    {
        fail(link_end::too_long);
        return false;
    }
    head_received_ = true;
    skipping_ = !platform::answers_request(parser_->get(), expected_);
    auto const to = handlers_;
    if (!skipping_ && to && to->on_head)
        to->on_head(parser_->get());
    return true;
}

void http_link::deliver_body()
{
    auto& body = parser_->get().body();
    if (body.empty())
        return;
    std::string piece;
    piece.swap(body);
    body_bytes_ += piece.size();
    if (skipping_)
        skipped_bytes_ += piece.size();
    auto const to = handlers_;
    if (!skipping_ && to && to->on_body)
        to->on_body(piece);
}

void http_link::finish_answer()
{
    if (skipping_)
    {
        start_parser();
        return;
    }
    // A server may answer before it has read all of a long request. It would
    // then take the next request for the remainder of this one.
    if (!parser_->keep_alive() || !incoming_.empty() || writing_)
        not_reusable_ = true;
    incoming_.clear();
    if (not_reusable_)
        close_socket();
    finish(link_end::complete);
}

void http_link::finish(link_end how)
{
    if (!busy_)
    {
        auto const notify = std::move(on_idle_close);
        if (notify)
            notify();
        return;
    }
    busy_ = false;
    idle_since = std::chrono::steady_clock::now();
    auto const to = std::move(handlers_);
    handlers_.reset();
    if (to && to->on_end)
        to->on_end(how);
}

} // namespace walnutmill

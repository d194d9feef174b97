#include "entry/http_link.hpp"

#include "platform/answer_id.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Unacknowledged bytes after which the kernel gives a connection up. Below
/// the two seconds after which callers abandon a silent stream, and above
/// what a retransmission of a lost packet takes.
constexpr int silence_ms = 1'500;
/// Seconds without a byte until a probe, and between probes; a silent peer
/// is found within about three seconds.
constexpr int keepalive_s = 1;
constexpr int keepalive_probes = 2;

/// An answer's head may be this large; engines' heads are below 1 KB.
constexpr std::uint32_t head_limit = 65'536;

void set_option(tcp::socket& socket, int level, int name, int value)
{
    // A kernel without the option only notices silence later.
    (void)::setsockopt(
        socket.native_handle(), level, name, &value, sizeof(value));
}

} // namespace

std::optional<tcp::endpoint> endpoint_of(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code error;
    auto const address =
        asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    auto const digits = text.substr(colon + 1);
    if (error || !boost::conversion::try_lexical_convert(
                     digits.data(), digits.size(), port))
        return std::nullopt;
    return tcp::endpoint(address, port);
}

void watch_for_silence(tcp::socket& socket)
{
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, silence_ms);
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
    on_idle_end = {};
    drop_connection();
}

void http_link::break_off()
{
    if (closed_)
        return;
    drop_connection();
    finish(link_end::broken);
}

void http_link::drop_connection()
{
    connected_ = false;
    connect_timer_.cancel();
    boost::system::error_code ignored; // the connection is given up anyway
    socket_.close(ignored);
}

void http_link::connect()
{
    connect_timer_.expires_after(connect_timeout_);
    connect_timer_.async_wait(
        [self = shared_from_this()](error_code const& error)
        {
            if (!error && !self->connected_ && !self->closed_)
                self->drop_connection();
        });
    socket_.async_connect(
        peer_, [self = shared_from_this()](error_code const& error)
        { self->connected(error); });
}

void http_link::connected(error_code const& error)
{
    connect_timer_.cancel();
    if (closed_)
        return;
    if (error || !socket_.is_open())
    {
        drop_connection();
        finish(link_end::not_connected);
        return;
    }
    connected_ = true;
    boost::system::error_code ignored; // only a matter of speed
    socket_.set_option(tcp::no_delay(true), ignored);
    watch_for_silence(socket_);
    send();
    read();
}

void http_link::send()
{
    writing_ = true;
    asio::async_write(
        socket_, asio::buffer(outgoing_),
        [self = shared_from_this()](error_code const& error, std::size_t)
        {
            self->writing_ = false;
            // An answer may have come before the failure: the reading side
            // ends the exchange.
            if (error && !self->closed_)
                self->spoiled_ = true;
        });
}

void http_link::read()
{
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code const& error, std::size_t size)
        { self->received(error, size); });
}

void http_link::received(error_code const& error, std::size_t size)
{
    if (closed_)
        return;
    if (error)
    {
        // An answer without a length ends with its connection, but only a
        // proper end makes it whole: after a reset bytes may be missing.
        auto const proper_end = error == asio::error::eof;
        drop_connection();
        if (busy_ && proper_end && parser_ && head_taken_ && !skipping_ &&
            parser_->need_eof())
        {
            error_code at_end;
            parser_->put_eof(at_end);
            finish(at_end ? link_end::broken : link_end::complete);
            return;
        }
        finish(link_end::broken);
        return;
    }
    incoming_.append(chunk_.data(), size);
    if (!busy_)
    {
        // Bytes that no request asked for belong to none.
        spoiled_ = true;
        drop_connection();
        finish(link_end::broken);
        return;
    }
    auto const self = shared_from_this();
    parse();
    if (connected_ && !closed_)
        read();
}

void http_link::start_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(head_limit);
    parser_->body_limit(boost::none);
    head_taken_ = false;
    skipping_ = false;
}

void http_link::parse()
{
    while (busy_ && !closed_ && !incoming_.empty())
    {
        if (!parse_some())
            return;
    }
}

/// \return false when more bytes are needed or the exchange has ended.
bool http_link::parse_some()
{
    error_code error;
    auto const used = parser_->put(asio::buffer(incoming_), error);
    incoming_.erase(0, used);
    if (error == boost::beast::http::error::need_more)
        error = {};
    if (error)
    {
        drop_connection();
        finish(link_end::broken);
        return false;
    }
    if (parser_->is_header_done() && !head_taken_ && !take_head())
        return true;
    if (head_taken_)
        deliver_body();
    if (closed_ || !busy_)
        return false;
    if (parser_->is_done())
    {
        answer_done();
        return true;
    }
    return used > 0;
}

/// \return false where the head is an interim one and the parser was reset.
bool http_link::take_head()
{
    constexpr unsigned first_final_status = 200;
    if (parser_->get().result_int() < first_final_status)
    {
        start_parser();
        return false;
    }
    head_taken_ = true;
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
    auto const to = handlers_;
    if (!skipping_ && to && to->on_body)
        to->on_body(piece);
}

void http_link::answer_done()
{
    if (skipping_)
    {
        start_parser();
        return;
    }
    // A server may answer before it has read all of a long request: the next
    // one would stand where the rest of this one is due.
    if (!parser_->keep_alive() || !incoming_.empty() || writing_)
        spoiled_ = true;
    incoming_.clear();
    if (spoiled_)
        drop_connection();
    finish(link_end::complete);
}

void http_link::finish(link_end how)
{
    if (!busy_)
    {
        auto const idle_end = std::move(on_idle_end);
        if (idle_end)
            idle_end();
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

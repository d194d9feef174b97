#include "entry/caller_link.hpp"

#include "entry/http_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

/// Bytes of pipelined requests that are buffered while one is answered. Past
/// this the link stops reading, and TCP flow control holds back the caller.
constexpr std::size_t max_read_ahead_bytes = 65'536;
/// How long a closing link waits for the caller to close its side, so that a
/// reset does not discard the last bytes of the answer.
constexpr milliseconds close_timeout{1'000};
/// Added to the idle timeout that callers are given, because a caller starts
/// its idle timer later than the node does.
constexpr milliseconds idle_timeout_margin{1'000};

// Why bytes of a request get no answer.
constexpr std::string_view read_after_close = "read after the close";
constexpr std::string_view behind_last_answer = "behind the last answer";
constexpr std::string_view behind_broken_answer = "behind a broken-off answer";
constexpr std::string_view rest_of_refused = "rest of a refused request";
constexpr std::string_view process_exit = "process exit";

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;

int status_of(boost::system::error_code const& error)
{
    if (error == http::error::body_limit)
        return status_too_large;
    if (error == http::error::header_limit ||
        error == http::error::buffer_overflow)
        return status_head_too_large;
    return status_bad_request;
}

} // namespace

caller_link::caller_link(asio::ip::tcp::socket socket, hooks to)
    : socket_(std::move(socket)), timer_(socket_.get_executor()),
      hooks_(std::move(to))
{
}

void caller_link::start()
{
    error_code ignored; // affects only latency
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    enable_dead_peer_detection(socket_);
    start_parser();
    arm_timer(hooks_.limits().idle_timeout + idle_timeout_margin);
    read();
}

void caller_link::start_parser()
{
    auto const limits = hooks_.limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(limits.max_header_bytes);
    parser_->body_limit(limits.max_body_bytes);
    head_begun_ = false;
    continue_sent_ = false;
}

void caller_link::read()
{
    if (read_pending_ || ended_ || incoming_.size() > max_read_ahead_bytes)
        return;
    read_pending_ = true;
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](error_code const& error, std::size_t size)
        { self->handle_read(error, size); });
}

void caller_link::handle_read(error_code const& error, std::size_t size)
{
    read_pending_ = false;
    if (ended_)
        return;
    if (error)
    {
        handle_disconnect();
        return;
    }
    if (shutting_down_)
        report_unanswered(size, refused_ ? rest_of_refused : read_after_close);
    else
    {
        incoming_.append(chunk_.data(), size);
        if (!answering_)
            parse();
    }
    read();
}

void caller_link::parse()
{
    if (incoming_.empty())
        return;
    if (!head_begun_)
    {
        head_begun_ = true;
        arm_timer(hooks_.limits().header_timeout);
    }
    while (!incoming_.empty() && !parser_->is_done())
    {
        error_code error;
        auto const used = parser_->put(asio::buffer(incoming_), error);
        incoming_.erase(0, used);
        request_bytes_ += used;
        if (error && error != http::error::need_more)
        {
            refuse_request(error);
            return;
        }
        if (used == 0)
            break;
    }
    if (parser_->is_done())
        request_done();
    else if (
        parser_->is_header_done() && !continue_sent_ &&
        parser_->get()[http::field::expect] == "100-continue")
    {
        continue_sent_ = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_link::request_done()
{
    timer_.cancel();
    answering_ = true;
    auto request = parser_->release();
    wants_close_ = !request.keep_alive();
    start_parser();
    hooks_.on_request(shared_from_this(), std::move(request));
}

void caller_link::refuse_request(error_code const& error)
{
    auto const status = status_of(error);
    answering_ = true;
    refused_ = true;
    report_unanswered(incoming_.size(), rest_of_refused);
    incoming_.clear();
    write(hooks_.refuse(status, error.message()));
    finish_answer(true);
}

void caller_link::write(std::string_view bytes)
{
    if (ended_)
        return;
    outgoing_.append(bytes);
    flush();
}

void caller_link::flush()
{
    if (!in_flight_.empty() || outgoing_.empty() || ended_)
        return;
    in_flight_.swap(outgoing_);
    asio::async_write(
        socket_, asio::buffer(in_flight_),
        [self = shared_from_this()](error_code const& error, std::size_t)
        { self->handle_write(error); });
}

void caller_link::handle_write(error_code const& error)
{
    in_flight_.clear();
    if (ended_)
        return;
    if (error)
    {
        handle_disconnect();
        return;
    }
    flush();
    if (in_flight_.empty() && close_after_answer_ && !answering_)
        end_gracefully();
}

void caller_link::finish_answer(bool close)
{
    answering_ = false;
    request_bytes_ = 0;
    on_disconnect = {};
    if (ended_)
        return;
    close_after_answer_ = close_after_answer_ || close || wants_close_;
    if (close_after_answer_)
    {
        if (in_flight_.empty() && outgoing_.empty())
            end_gracefully();
        return;
    }
    arm_timer(hooks_.limits().idle_timeout + idle_timeout_margin);
    // Deferred, because this may run inside the parse of the previous request.
    asio::post(
        socket_.get_executor(),
        [self = shared_from_this()]
        {
            if (self->ended_ || self->answering_)
                return;
            self->parse();
            self->read();
        });
}

void caller_link::end_gracefully()
{
    if (shutting_down_ || ended_)
        return;
    shutting_down_ = true;
    report_unanswered(incoming_.size(), behind_last_answer);
    incoming_.clear();
    error_code ignored; // the peer may already have disconnected
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    arm_timer(close_timeout);
    read();
}

void caller_link::close_when_idle()
{
    if (idle())
        end_gracefully();
    else
        close_after_answer_ = true;
}

void caller_link::abort()
{
    on_disconnect = {};
    answering_ = false;
    request_bytes_ = 0;
    report_unanswered(incoming_.size(), behind_broken_answer);
    incoming_.clear();
    if (in_flight_.empty() && outgoing_.empty())
    {
        close_socket();
        return;
    }
    // Bytes already queued are still sent. The caller detects the abort by the
    // missing end of the answer.
    close_after_answer_ = true;
}

void caller_link::close_for_exit()
{
    if (ended_)
        return;
    if (!shutting_down_)
        report_unanswered(request_bytes_ + incoming_.size(), process_exit);
    close_socket();
}

void caller_link::report_unanswered(
    std::size_t bytes, std::string_view why) const
{
    if (bytes > 0 && hooks_.on_unanswered)
        hooks_.on_unanswered(bytes, why);
}

void caller_link::arm_timer(milliseconds after)
{
    timer_.expires_after(after);
    timer_.async_wait(
        [self = shared_from_this()](error_code const& error)
        {
            if (!error && !self->ended_)
                self->timed_out();
        });
}

void caller_link::timed_out()
{
    // The timer may have expired just as its wait was replaced.
    if (answering_ || timer_.expiry() > std::chrono::steady_clock::now())
        return;
    if (head_begun_ && !shutting_down_)
    {
        answering_ = true;
        refused_ = true;
        write(hooks_.refuse(status_timeout, "the request came too slowly"));
        finish_answer(true);
        return;
    }
    if (!shutting_down_)
        end_gracefully();
    else
        close_socket();
}

void caller_link::handle_disconnect()
{
    auto const notify = std::move(on_disconnect);
    on_disconnect = {};
    close_socket();
    if (notify)
        notify();
}

void caller_link::close_socket()
{
    if (ended_)
        return;
    ended_ = true;
    timer_.cancel();
    error_code ignored; // the connection is abandoned anyway
    socket_.close(ignored);
    hooks_.on_end(this);
}

} // namespace walnutmill

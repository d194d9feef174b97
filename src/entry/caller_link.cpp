#include "entry/caller_link.hpp"

#include "entry/http_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
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
/// The least time for which an answer may stay unread. It lies above the time
/// that retransmitting a lost packet takes.
constexpr milliseconds min_unread_limit{1'500};
/// Unsent bytes that are reported as a backlog. Few answers are that long.
constexpr std::size_t backlog_bytes = 65'536;
/// How long a closing link waits for the caller to close its side, so that a
/// reset does not discard the last bytes of the answer.
constexpr milliseconds close_timeout{1'000};
/// Added to the idle timeout that callers are given, because a caller starts
/// its idle timer later than the node does.
constexpr milliseconds idle_timeout_margin{1'000};
/// Minimum idle time before a stop closes a connection. A caller sends its next
/// request within a network round trip after an answer, if at once.
constexpr milliseconds min_idle_time{250};
/// Interval at which a link whose input stays unread looks whether the caller
/// has closed its side, and one that is closing whether all has arrived there.
constexpr milliseconds unread_check_interval{100};
constexpr milliseconds close_check_interval{10};

// Why bytes of a request get no answer.
constexpr std::string_view left_unread = "left unread";
constexpr std::string_view behind_last_answer = "behind the last answer";
constexpr std::string_view behind_broken_answer = "behind a broken-off answer";
constexpr std::string_view cut_by_exit = "answer cut by the exit";
constexpr std::string_view rest_of_refused = "rest of a refused request";
constexpr std::string_view process_exit = "process exit";
constexpr std::string_view not_acknowledged = "not read by its caller";

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;
constexpr int status_unavailable = 503;

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
      input_timer_(socket_.get_executor()), hooks_(std::move(to)),
      unread_limit_(min_unread_limit)
{
}

void caller_link::start()
{
    error_code ignored; // affects only latency
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    enable_dead_peer_detection(socket_);
    socket_.non_blocking(true, ignored); // it is read only when readable
    start_parser();
    await_request();
    await_input();
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

/// Starts the time after which the connection closes if no request comes.
void caller_link::await_request()
{
    idle_since_ = clock::now();
    arm_timer(std::min<clock::duration>(
        idle_close_at() - idle_since_, unread_limit_));
}

/// Starts the time after which the connection closes if its caller has not
/// taken the last answer. TCP_USER_TIMEOUT would also end callers that are
/// alive and read slowly; without it the system keeps a dead one for many
/// minutes.
void caller_link::await_acknowledgement()
{
    idle_since_ = clock::now();
    arm_timer(unread_limit_);
}

/// \return false while bytes that arrive could not be answered.
bool caller_link::accepts_input() const
{
    return !closes_after_answer_ && !shutting_down_ &&
           incoming_.size() <= max_read_ahead_bytes;
}

/// Waits until the socket is readable. Whether its bytes are read is decided
/// only then.
void caller_link::await_input()
{
    if (input_awaited_ || ended_)
        return;
    input_awaited_ = true;
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](error_code const& error)
        {
            self->input_awaited_ = false;
            if (self->ended_)
                return;
            if (error)
                self->handle_disconnect();
            else
                self->handle_input();
        });
}

void caller_link::handle_input()
{
    // The rest of a refused request is discarded: a reset would reach the
    // caller before it has read the refusal.
    if (refused_ || accepts_input())
        read();
    else
        watch_unread_input();
}

void caller_link::read()
{
    error_code error;
    auto const size = socket_.read_some(asio::buffer(chunk_), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
    {
        await_input();
        return;
    }
    if (error)
    {
        handle_disconnect();
        return;
    }
    if (refused_)
        discarded_bytes_ += size;
    else
    {
        incoming_.append(chunk_.data(), size);
        if (!answering_)
            parse();
    }
    await_input();
}

/// Notices that the caller has closed its side, without reading its bytes. A
/// connection that is closing ends once the caller has received all that was
/// sent.
void caller_link::watch_unread_input()
{
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    auto const caller_closed = ::poll(&state, 1, 0) > 0;
    auto const is_broken = (state.revents & POLLERR) != 0;
    auto const unread = unread_bytes();
    if (is_broken || (caller_closed && (unread == 0 || !shutting_down_)))
    {
        handle_disconnect();
        return;
    }
    if (shutting_down_ && unread > 0 && all_acknowledged())
    {
        close_leaving_unread();
        return;
    }
    // Unread bytes keep the socket readable, so that waiting for it would
    // return at once.
    input_awaited_ = true;
    input_timer_.expires_after(
        shutting_down_ ? close_check_interval : unread_check_interval);
    input_timer_.async_wait(
        [self = shared_from_this()](error_code const&)
        {
            self->input_awaited_ = false;
            self->await_input();
        });
}

void caller_link::parse()
{
    if (incoming_.empty())
        return;
    if (!head_begun_)
    {
        // The limits may have changed since the request before.
        start_parser();
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
            refuse_request(status_of(error), error.message());
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
    closes_after_answer_ = !request.keep_alive();
    start_parser();
    hooks_.on_request(shared_from_this(), std::move(request));
}

void caller_link::refuse_request(int status, std::string_view why)
{
    answering_ = true;
    refused_ = true;
    head_begun_ = false;
    closes_after_answer_ = true;
    discarded_bytes_ += incoming_.size();
    incoming_.clear();
    write(hooks_.refuse(status, why));
    finish_answer();
}

bool caller_link::begin_answer()
{
    auto const stopping =
        closes_when_idle_ || (hooks_.is_stopping && hooks_.is_stopping());
    // A request that was read behind this one is still answered.
    if (stopping && incoming_.empty())
        closes_after_answer_ = true;
    return closes_after_answer_;
}

void caller_link::write(std::string_view bytes)
{
    if (ended_)
        return;
    outgoing_.append(bytes);
    flush();
    if (unsent() > backlog_bytes && hooks_.on_backlog)
        hooks_.on_backlog();
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
    if (answering_ || unsent() > 0)
        return;
    if (closes_after_answer_)
        end_gracefully();
    else if (idle())
        await_request();
}

void caller_link::finish_answer()
{
    answering_ = false;
    request_bytes_ = 0;
    on_disconnect = {};
    if (ended_)
        return;
    if (closes_after_answer_)
    {
        if (unsent() == 0)
            end_gracefully();
        else
            await_acknowledgement();
        return;
    }
    await_request();
    // Deferred, because this may run inside the parse of the previous request.
    asio::post(
        socket_.get_executor(),
        [self = shared_from_this()]
        {
            if (self->ended_ || self->answering_)
                return;
            self->parse();
            self->input_timer_.cancel();
            self->await_input();
        });
}

void caller_link::end_gracefully()
{
    if (shutting_down_ || ended_)
        return;
    shutting_down_ = true;
    drop_read_ahead(behind_last_answer);
    error_code ignored; // the peer may already have disconnected
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    arm_timer(close_timeout);
    await_input();
}

void caller_link::close_when_idle()
{
    if (closes_when_idle_ || ended_ || shutting_down_)
        return;
    closes_when_idle_ = true;
    if (idle())
        arm_timer(idle_close_at() - clock::now());
}

/// \return the time at which the connection closes if it stays idle.
caller_link::clock::time_point caller_link::idle_close_at()
{
    if (closes_when_idle_)
        return idle_since_ + min_idle_time;
    idle_timeout_ = std::max(idle_timeout_, hooks_.limits().idle_timeout);
    return idle_since_ + idle_timeout_ + idle_timeout_margin;
}

void caller_link::close_if_idle()
{
    auto const now = clock::now();
    // The limits may have changed while the connection was idle.
    auto const close_at = idle_close_at();
    if (idle() && unread_bytes() == 0 && now >= close_at)
        end_gracefully();
    else
        arm_timer(now < close_at ? close_at - now : min_idle_time);
}

void caller_link::abort()
{
    on_disconnect = {};
    answering_ = false;
    request_bytes_ = 0;
    if (ended_)
        return;
    drop_read_ahead(behind_broken_answer);
    // Bytes already queued are still sent. The caller detects the abort by the
    // missing end of the answer.
    closes_after_answer_ = true;
    if (unsent() > 0)
    {
        await_acknowledgement();
        return;
    }
    // Closing with unread input would reset the connection and discard what
    // the caller has not received yet.
    if (unread_bytes() > 0)
        end_gracefully();
    else
        close_socket();
}

void caller_link::end_for_exit()
{
    if (ended_ || shutting_down_ || answering_ || closes_after_answer_)
        return;
    if (reading_request())
        refuse_request(status_unavailable, "this node is about to exit");
    else if (unsent() > 0)
        closes_after_answer_ = true;
    else
        end_gracefully();
}

void caller_link::close_for_exit()
{
    if (ended_)
        return;
    if (!shutting_down_)
    {
        report_unanswered(request_bytes_ + incoming_.size(), process_exit);
        report_unanswered(unsent(), cut_by_exit);
    }
    close_socket();
}

void caller_link::allow_unread_for(milliseconds limit)
{
    unread_limit_ = std::max(unread_limit_, limit);
}

void caller_link::drop_unread(std::string_view why)
{
    if (ended_)
        return;
    report_unanswered(
        std::max(unacknowledged_bytes().value_or(0), unsent()), why);
    // What the system still holds for the caller is discarded too.
    error_code ignored; // the connection is abandoned anyway
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    handle_disconnect();
}

std::size_t caller_link::unread_bytes() const
{
    error_code error;
    auto const bytes = socket_.available(error);
    return error ? 0 : bytes;
}

/// \return the number of bytes that the caller's system has not acknowledged;
/// empty if the system does not tell
std::optional<std::size_t> caller_link::unacknowledged_bytes()
{
    int bytes = 0;
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) != 0)
        return std::nullopt;
    return static_cast<std::size_t>(std::max(bytes, 0));
}

/// \return true if the caller's system has acknowledged everything sent.
bool caller_link::all_acknowledged()
{
    return unacknowledged_bytes() == std::size_t{0};
}

void caller_link::drop_read_ahead(std::string_view why)
{
    report_unanswered(incoming_.size(), why);
    incoming_.clear();
}

void caller_link::report_unanswered(
    std::size_t bytes, std::string_view why) const
{
    if (bytes > 0 && hooks_.on_unanswered)
        hooks_.on_unanswered(bytes, why);
}

void caller_link::arm_timer(clock::duration after)
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
    if (answering_ || timer_.expiry() > clock::now())
        return;
    if (shutting_down_ && !refused_ && unread_bytes() > 0 &&
        !all_acknowledged())
        arm_timer(close_timeout);
    else if (shutting_down_)
        close_leaving_unread();
    else if (head_begun_)
        refuse_request(status_timeout, "the request came too slowly");
    else if (
        clock::now() - idle_since_ >= unread_limit_ &&
        unacknowledged_bytes().value_or(0) > 0)
        drop_unread(not_acknowledged);
    else
        close_if_idle();
}

void caller_link::handle_disconnect()
{
    auto const notify = std::move(on_disconnect);
    on_disconnect = {};
    close_socket();
    if (notify)
        notify();
}

/// Closes the connection after its sending side was shut. Bytes that have
/// arrived since are not read, which resets the connection.
void caller_link::close_leaving_unread()
{
    report_unanswered(unread_bytes(), left_unread);
    close_socket();
}

void caller_link::close_socket()
{
    if (ended_)
        return;
    ended_ = true;
    timer_.cancel();
    input_timer_.cancel();
    report_unanswered(discarded_bytes_, rest_of_refused);
    error_code ignored; // the connection is abandoned anyway
    socket_.close(ignored);
    hooks_.on_end(this);
}

} // namespace walnutmill

#include "soak_connection.hpp"

#include "entry/http_link.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace walnutmill
{
namespace soak
{
namespace
{

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using testing::attempt_end;
using parser_type = http::response_parser<http::string_body>;

/// The time that callers allow a new connection.
constexpr milliseconds connect_timeout{1'000};
/// Longer than a node keeps a connection that it has closed on its side.
constexpr milliseconds reset_patience{3'000};
constexpr int status_ok = 200;
constexpr int status_informational_end = 200;

int poll_for(int socket, short events, milliseconds timeout)
{
    pollfd one{socket, events, 0};
    auto const left = std::max<milliseconds::rep>(timeout.count(), 0);
    if (::poll(&one, 1, static_cast<int>(left)) <= 0)
        return 0;
    return one.revents;
}

[[noreturn]] void fail(char const* what, int error)
{
    throw std::system_error(error, std::generic_category(), what);
}

void keep_answer(parser_type const& parser, exchange_result& to)
{
    to.status = static_cast<int>(parser.get().result_int());
    for (auto const& field : parser.get())
    {
        to.headers[std::string(field.name_string())] =
            std::string(field.value());
    }
    to.body = parser.get().body();
}

/// \return true if the answer is a stream that has begun with a whole event
bool has_event(parser_type const& parser)
{
    return parser.is_header_done() && parser.get().result_int() == status_ok &&
           parser.get().body().find("\n\n") != std::string::npos;
}

} // namespace

soak_connection::soak_connection(std::string const& address)
{
    auto const to = endpoint_of(address).value();
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_ < 0)
        fail("socket", errno);
    if (::connect(socket_, to.data(), static_cast<socklen_t>(to.size())) == 0)
        return;
    auto error = errno;
    if (error == EINPROGRESS)
    {
        error = ETIMEDOUT;
        if (poll_for(socket_, POLLOUT, connect_timeout) != 0)
        {
            socklen_t size = sizeof(error);
            ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
        }
    }
    if (error == 0)
        return;
    ::close(socket_);
    fail("connect", error);
}

soak_connection::~soak_connection()
{
    ::close(socket_);
}

bool soak_connection::closed() const
{
    return (poll_for(socket_, POLLRDHUP, milliseconds(0)) &
            (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

milliseconds soak_connection::idle_time() const
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - last_used_);
}

bool soak_connection::send(std::string const& request) const
{
    std::size_t sent = 0;
    while (sent < request.size())
    {
        auto const size = ::send(
            socket_, request.data() + sent, request.size() - sent,
            MSG_NOSIGNAL);
        if (size > 0)
            sent += static_cast<std::size_t>(size);
        else if (
            (errno != EAGAIN && errno != EINTR) ||
            poll_for(socket_, POLLOUT, connect_timeout) == 0)
            return false;
    }
    return true;
}

soak_connection::read_result soak_connection::read(clock::time_point until)
{
    std::array<char, 4'096> chunk{};
    while (true)
    {
        auto const size = ::recv(socket_, chunk.data(), chunk.size(), 0);
        if (size > 0)
        {
            buffer_.append(chunk.data(), static_cast<std::size_t>(size));
            return read_result::bytes;
        }
        if (size == 0)
            return read_result::closed;
        if (errno != EAGAIN && errno != EINTR)
            return read_result::reset;
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        if (left.count() <= 0)
            return read_result::timed_out;
        poll_for(socket_, POLLIN, left);
    }
}

/// A connection that is closed with unread bytes is reset; one whose bytes were
/// read and thrown away is not.
bool soak_connection::is_reset_after_close() const
{
    // POLLIN holds from the close on, so only errors are waited for.
    return (poll_for(socket_, 0, reset_patience) & (POLLERR | POLLHUP)) != 0;
}

attempt_end soak_connection::end_of(read_result how, bool answer_began) const
{
    if (how == read_result::timed_out)
        return attempt_end::silent;
    if (answer_began)
        return attempt_end::broken_off;
    if (how == read_result::reset)
        return attempt_end::reset;
    return is_reset_after_close() ? attempt_end::crossed_close
                                  : attempt_end::closed;
}

/// Notes until when the node lets the connection be used.
void soak_connection::respect(exchange_result const& answer)
{
    auto const close = answer.headers.find("Connection");
    if (close != answer.headers.end() && close->second == "close")
        usable_until_ = clock::time_point::min();
    auto const kept = answer.headers.find("Keep-Alive");
    static std::string const name = "timeout=";
    auto const at = kept == answer.headers.end() ? std::string::npos
                                                 : kept->second.find(name);
    if (at == std::string::npos)
        return;
    std::chrono::duration<double> const stated(
        std::strtod(kept->second.c_str() + at + name.size(), nullptr));
    usable_until_ = std::min(
        usable_until_,
        clock::now() + std::chrono::duration_cast<clock::duration>(stated));
}

exchange_result soak_connection::call(
    std::string const& request, milliseconds patience, bool leaves)
{
    exchange_result to;
    usable_until_ = clock::time_point::max();
    if (!send(request))
    {
        to.end = attempt_end::not_sent;
        return to;
    }
    auto const until = clock::now() + patience;
    auto began = false;
    std::optional<parser_type> parser(std::in_place);
    parser->eager(true);
    while (!parser->is_done())
    {
        boost::system::error_code error;
        auto const used =
            buffer_.empty() ? 0
                            : parser->put(boost::asio::buffer(buffer_), error);
        buffer_.erase(0, used);
        if (error && error != http::error::need_more)
        {
            to.end = attempt_end::broken_off;
            break;
        }
        if (parser->is_done() &&
            parser->get().result_int() < status_informational_end)
        {
            parser.emplace();
            parser->eager(true);
            continue;
        }
        if (leaves && has_event(*parser))
        {
            to.end = attempt_end::left;
            break;
        }
        if (used > 0 || parser->is_done())
            continue;
        auto const how = read(until);
        if (how != read_result::bytes)
        {
            to.ended_at = clock::now();
            to.end = end_of(how, began);
            break;
        }
        began = true;
    }
    if (parser->is_header_done())
        keep_answer(*parser, to);
    to.whole = parser->is_done();
    if (to.whole)
        to.end = attempt_end::answered;
    respect(to);
    last_used_ = clock::now();
    if (to.ended_at == clock::time_point())
        to.ended_at = last_used_;
    return to;
}

} // namespace soak
} // namespace walnutmill

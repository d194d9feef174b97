#include "standin_http.hpp"

#include <atomic>
#include <csignal>
#include <deque>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace walnutmill::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

// Handlers do not block, so a few threads serve hundreds of connections.
constexpr unsigned server_threads = 4;
constexpr std::size_t max_body_bytes = 256u << 20;
constexpr unsigned status_ok = 200;
constexpr std::string_view chunk_end = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string unescape(std::string_view text)
{
    std::string plain;
    plain.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            std::string const digits(text.substr(i + 1, 2));
            plain += static_cast<char>(std::stoi(digits, nullptr, 16));
            i += 2;
        }
        else
        {
            plain += text[i] == '+' ? ' ' : text[i];
        }
    }
    return plain;
}

std::string chunk(std::string const& piece)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    return size + piece + std::string(chunk_end);
}

} // namespace

std::string http_call::query_value(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty())
    {
        auto const end = std::min(rest.find('&'), rest.size());
        auto const pair = rest.substr(0, end);
        auto const equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name && equals < pair.size())
            return unescape(pair.substr(equals + 1));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

/// One connection: reads a request, waits for its answer, reads the next.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, http_handler const& handler)
        : socket_(std::move(socket)), handler_(handler)
    {
    }

    void read()
    {
        // A responder that outlives this request would keep the connection.
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        lose_answer_ = false;
        http::async_read(
            socket_, buffer_, *parser_,
            [self = shared_from_this()](error_code failed, std::size_t)
            {
                if (failed)
                    self->gone_ = true;
                else
                    self->dispatch();
            });
    }

    void answer(unsigned status, std::string const& body, std::string_view type)
    {
        if (lose_answer_)
            return close();
        std::string text = head(status, type);
        text += "Content-Length: " + std::to_string(body.size());
        text += "\r\n\r\n" + body;
        send(std::move(text), true);
    }

    void begin_stream()
    {
        std::string text = head(status_ok, "text/event-stream");
        send(text + "Transfer-Encoding: chunked\r\n\r\n", false);
    }

    void write(std::string const& piece) { send(chunk(piece), false); }

    void end_stream(std::string const& piece)
    {
        if (lose_answer_)
            return close();
        send(chunk(piece) + std::string(last_chunk), true);
    }

    void close()
    {
        gone_ = true;
        asio::post(
            socket_.get_executor(),
            [self = shared_from_this()]
            {
                error_code ignored;
                self->socket_.close(ignored);
            });
    }

    bool gone() const { return gone_; }
    void lose_answer() { lose_answer_ = true; }

private:
    static std::string head(unsigned status, std::string_view type)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
        text += std::string(http::obsolete_reason(http::int_to_status(status)));
        text += "\r\nContent-Type: " + std::string(type) + "\r\n";
        if (status == 429 || status == 503)
            text += "Retry-After: 1\r\n";
        return text;
    }

    void dispatch()
    {
        auto request = parser_->release();
        http_call call;
        call.method = std::string(request.method_string());
        std::string const target(request.target());
        auto const mark = std::min(target.find('?'), target.size());
        call.path = unescape(target.substr(0, mark));
        if (mark < target.size())
            call.query = target.substr(mark + 1);
        call.body = std::move(request.body());
        handler_(std::move(call), responder(shared_from_this()));
    }

    // Keeps the order of pieces that any thread hands over.
    void send(std::string bytes, bool last)
    {
        asio::post(
            socket_.get_executor(),
            [self = shared_from_this(), bytes = std::move(bytes), last]
            {
                bool const idle = self->pieces_.empty();
                self->pieces_.push_back({bytes, last});
                if (idle)
                    self->send_next();
            });
    }

    void send_next()
    {
        asio::async_write(
            socket_, asio::buffer(pieces_.front().bytes),
            [self = shared_from_this()](error_code failed, std::size_t)
            { self->sent(failed); });
    }

    void sent(error_code failed)
    {
        bool const last = pieces_.front().last;
        pieces_.pop_front();
        if (failed)
        {
            gone_ = true;
            pieces_.clear();
        }
        else if (last)
        {
            read();
        }
        else if (!pieces_.empty())
        {
            send_next();
        }
    }

    struct piece
    {
        std::string bytes;
        bool last = false;
    };

    tcp::socket socket_;
    http_handler const& handler_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<piece> pieces_;
    std::atomic<bool> gone_{false};
    std::atomic<bool> lose_answer_{false};
};

responder::responder(std::shared_ptr<connection> link) : link_(std::move(link))
{
}

void responder::reply(unsigned status, std::string const& body) const
{
    link_->answer(status, body, "application/json");
}

void responder::reply_bytes(std::string const& body) const
{
    link_->answer(status_ok, body, "application/octet-stream");
}

void responder::refuse(unsigned status) const
{
    link_->answer(status, R"({"error":"refused"})", "application/json");
}

void responder::begin_stream() const
{
    link_->begin_stream();
}

void responder::write(std::string const& piece) const
{
    link_->write(piece);
}

void responder::end_stream(std::string const& last_piece) const
{
    link_->end_stream(last_piece);
}

void responder::drop() const
{
    link_->close();
}

bool responder::gone() const
{
    return link_->gone();
}

void responder::lose_answer() const
{
    link_->lose_answer();
}

class http_server::implementation
{
public:
    explicit implementation(std::uint16_t port)
        : acceptor_(context_, {asio::ip::address_v4::loopback(), port}),
          signals_(context_, SIGTERM, SIGINT)
    {
        signals_.async_wait([this](error_code, int) { context_.stop(); });
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void run(http_handler handler)
    {
        handler_ = std::move(handler);
        accept();
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < server_threads; ++i)
            threads.emplace_back([this] { context_.run(); });
        for (auto& thread : threads)
            thread.join();
    }

    void after(std::chrono::milliseconds delay, std::function<void()> then)
    {
        auto timer = std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait(
            [timer, then = std::move(then)](error_code failed)
            {
                if (!failed)
                    then();
            });
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            asio::make_strand(context_),
            [this](error_code failed, tcp::socket socket)
            {
                if (!failed)
                {
                    error_code ignored;
                    socket.set_option(tcp::no_delay(true), ignored);
                    std::make_shared<connection>(std::move(socket), handler_)
                        ->read();
                }
                accept();
            });
    }

    http_handler handler_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    asio::signal_set signals_;
};

http_server::http_server(std::uint16_t port)
    : impl_(std::make_unique<implementation>(port))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return impl_->port();
}

void http_server::run(http_handler handler)
{
    impl_->run(std::move(handler));
}

void http_server::after(
    std::chrono::milliseconds delay, std::function<void()> then)
{
    impl_->after(delay, std::move(then));
}

} // namespace walnutmill::standin

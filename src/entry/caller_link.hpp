#ifndef WALNUTMILL_SRC_ENTRY_CALLER_LINK_HPP
#define WALNUTMILL_SRC_ENTRY_CALLER_LINK_HPP

/// \file
/// One connection of a caller: reads requests one after the other, tells when
/// the caller leaves, and writes answers.

#include <walnutmill/routing_table.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

class caller_link : public std::enable_shared_from_this<caller_link>
{
public:
    using request_type =
        boost::beast::http::request<boost::beast::http::string_body>;

    struct hooks
    {
        /// A whole request has come; answer it through the link.
        std::function<void(std::shared_ptr<caller_link>, request_type&&)>
            on_request;
        /// A request could not be read: the status that says why.
        std::function<std::string(int status, std::string_view why)> refuse;
        /// Limits in force now.
        std::function<caller_limits()> limits;
        std::function<void(caller_link*)> on_end;
    };

    caller_link(boost::asio::ip::tcp::socket socket, hooks to);

    void start();

    /// Sends part of an answer, or all of it.
    void write(std::string_view bytes);
    /// The answer is whole: reads the next request, or ends the connection
    /// once all is written.
    void finish_answer(bool close);
    /// Ends the connection in the middle of an answer, which must not look
    /// whole to the caller.
    void abort();

    /// Called once if the caller leaves before its answer is whole.
    std::function<void()> on_gone;

    /// \return true while no request is being read or answered and all of the
    /// last answer has been written.
    bool idle() const
    {
        return !answering_ && !reading_request() && unsent() == 0;
    }
    /// The caller asked to end the connection after this answer.
    bool wants_close() const { return wants_close_; }
    /// Bytes waiting to be written.
    std::size_t unsent() const { return outgoing_.size() + in_flight_.size(); }
    /// No more requests are expected: ends the connection if idle, after the
    /// answer under way otherwise.
    void retire();

private:
    using error_code = boost::system::error_code;
    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool reading_request() const { return !incoming_.empty() || head_begun_; }
    void start_parser();
    void read();
    void received(error_code const& error, std::size_t size);
    void parse();
    void request_done();
    void refuse_request(error_code const& error);
    void flush();
    void written(error_code const& error);
    void arm_timer(std::chrono::milliseconds after);
    void timed_out();
    void end_gracefully();
    void gone();
    void drop();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    hooks hooks_;
    std::array<char, 16'384> chunk_{};
    std::string incoming_;
    std::optional<parser_type> parser_;
    std::string outgoing_;
    std::string in_flight_;
    bool read_pending_ = false;
    bool head_begun_ = false;
    bool continue_sent_ = false;
    bool answering_ = false;
    bool wants_close_ = false;
    bool close_after_ = false;
    bool shutting_ = false;
    bool ended_ = false;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_CALLER_LINK_HPP
#define WALNUTMILL_SRC_ENTRY_CALLER_LINK_HPP

/// \file
/// One connection from a caller: reads requests one at a time, reports when
/// the caller disconnects, and writes answers.

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

/// Server side of one HTTP/1.1 connection from a caller.
class caller_link : public std::enable_shared_from_this<caller_link>
{
public:
    using request_type =
        boost::beast::http::request<boost::beast::http::string_body>;

    /// Callbacks into the owner of the link.
    struct hooks
    {
        /// Called for each complete request; the answer goes through the link.
        std::function<void(std::shared_ptr<caller_link>, request_type&&)>
            on_request;
        /// Called when a request cannot be read or times out. \return the
        /// bytes of the error answer with this status.
        std::function<std::string(int status, std::string_view why)> refuse;
        /// \return the limits currently in force.
        std::function<caller_limits()> limits;
        /// Called once, after the connection is closed.
        std::function<void(caller_link*)> on_end;
        /// Called when bytes of requests were read that get no answer; may be
        /// null.
        std::function<void(std::size_t bytes, std::string_view why)>
            on_unanswered{};
    };

    caller_link(boost::asio::ip::tcp::socket socket, hooks to);

    /// Starts reading requests; the link stays alive until it is closed.
    void start();

    /// Queues part or all of an answer for sending; ignored once closed.
    void write(std::string_view bytes);
    /// Marks the answer as complete, then reads the next request or, once
    /// everything is written, closes the connection.
    /// \param close whether to close it even if the caller did not ask to
    void finish_answer(bool close);
    /// Closes the connection in the middle of an answer, which must not look
    /// complete to the caller.
    void abort();

    /// Called once if the caller disconnects before its answer is complete.
    std::function<void()> on_disconnect;

    /// \return true while no request is being read or answered and all of the
    /// last answer has been written.
    bool idle() const
    {
        return !answering_ && !reading_request() && unsent() == 0;
    }
    /// \return true if the caller asked to close the connection after this
    /// answer.
    bool wants_close() const { return wants_close_; }
    /// \return the number of bytes waiting to be written.
    std::size_t unsent() const { return outgoing_.size() + in_flight_.size(); }
    /// Closes the connection at once if it is idle, and after the current
    /// answer otherwise.
    void close_when_idle();
    /// Closes the connection at once because the process exits.
    void close_for_exit();

private:
    using error_code = boost::system::error_code;
    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool reading_request() const { return !incoming_.empty() || head_begun_; }
    void start_parser();
    void read();
    void handle_read(error_code const& error, std::size_t size);
    void parse();
    void request_done();
    void refuse_request(error_code const& error);
    void flush();
    void handle_write(error_code const& error);
    void arm_timer(std::chrono::milliseconds after);
    void timed_out();
    void end_gracefully();
    void handle_disconnect();
    void close_socket();
    void report_unanswered(std::size_t bytes, std::string_view why) const;

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
    bool close_after_answer_ = false;
    /// The last request was refused before it was read completely.
    bool refused_ = false;
    /// Bytes of the request that is being read or answered.
    std::size_t request_bytes_ = 0;
    bool shutting_down_ = false;
    bool ended_ = false;
};

} // namespace walnutmill

#endif

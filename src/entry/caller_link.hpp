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
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace walnutmill
{

/// Server side of one HTTP/1.1 connection from a caller.
///
/// Whether the connection closes after an answer is decided once, when the head
/// of the answer is written, and the head says so. Other than that it closes
/// only when idle. Once it has shut its sending side it reads nothing more, so
/// that a request in transit ends with a reset: its caller then knows that it
/// was not read.
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
        /// Called when a request is refused before it was read completely.
        /// \return the bytes of an answer with this status, which announces
        /// that the connection closes.
        std::function<std::string(int status, std::string_view why)> refuse;
        /// \return the limits currently in force.
        std::function<caller_limits()> limits;
        /// Called once, after the connection is closed.
        std::function<void(caller_link*)> on_end;
        /// \return true while answers announce that their connection closes;
        /// may be null.
        std::function<bool()> is_stopping{};
        /// Called when bytes of requests get no answer; may be null.
        std::function<void(std::size_t bytes, std::string_view why)>
            on_unanswered{};
        /// Called when many bytes are unsent; may be null.
        std::function<void()> on_backlog{};
    };

    caller_link(boost::asio::ip::tcp::socket socket, hooks to);

    /// Starts reading requests; the link stays alive until it is closed.
    void start();

    /// Decides whether the connection closes after the answer; to be called
    /// when the head of the answer is encoded.
    /// \return true if the head must announce the close
    bool begin_answer();
    /// Queues part or all of an answer for sending; ignored once closed.
    void write(std::string_view bytes);
    /// Marks the answer as complete, then reads the next request or, as
    /// decided by begin_answer(), closes the connection once everything is
    /// written.
    void finish_answer();
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
    /// \return the number of bytes waiting to be written.
    std::size_t unsent() const { return outgoing_.size() + in_flight_.size(); }
    /// Closes the connection once it has been idle for a moment in which the
    /// caller's next request may be in transit.
    void close_when_idle();
    /// Ends the connection because the process is about to exit: refuses a
    /// request that is not read completely, and closes behind the last answer.
    /// An answer that is being written goes on.
    void end_for_exit();
    /// Closes the connection at once because the process exits.
    void close_for_exit();
    /// Lets the caller leave an answer unread for this long after its end
    /// before the connection is closed. A longer time that was set before stays
    /// in force.
    void allow_unread_for(std::chrono::milliseconds limit);
    /// Closes the connection although the caller has not read all of its
    /// answer.
    void drop_unread(std::string_view why);

private:
    using error_code = boost::system::error_code;
    using clock = std::chrono::steady_clock;
    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    bool reading_request() const { return !incoming_.empty() || head_begun_; }
    bool accepts_input() const;
    void start_parser();
    void await_request();
    void await_input();
    void handle_input();
    void read();
    void watch_unread_input();
    void parse();
    void request_done();
    void refuse_request(int status, std::string_view why);
    void flush();
    void handle_write(error_code const& error);
    void arm_timer(clock::duration after);
    void timed_out();
    clock::time_point idle_close_at();
    void close_if_idle();
    void await_acknowledgement();
    void end_gracefully();
    void handle_disconnect();
    void close_leaving_unread();
    void close_socket();
    std::size_t unread_bytes() const;
    std::optional<std::size_t> unacknowledged_bytes();
    bool all_acknowledged();
    void drop_read_ahead(std::string_view why);
    void report_unanswered(std::size_t bytes, std::string_view why) const;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer input_timer_;
    hooks hooks_;
    std::array<char, 16'384> chunk_{};
    std::string incoming_;
    std::optional<parser_type> parser_;
    std::string outgoing_;
    std::string in_flight_;
    clock::time_point idle_since_{};
    /// Longest idle timeout in force during the connection.
    std::chrono::milliseconds idle_timeout_{0};
    /// How long an answer may stay unread after its end.
    std::chrono::milliseconds unread_limit_;
    /// Bytes of the request that is being read or answered.
    std::size_t request_bytes_ = 0;
    /// Bytes dropped because the request before them was refused.
    std::size_t discarded_bytes_ = 0;
    bool input_awaited_ = false;
    bool head_begun_ = false;
    bool continue_sent_ = false;
    bool answering_ = false;
    /// Whether the connection closes after the answer, as its head announced
    /// or the caller asked for.
    bool closes_after_answer_ = false;
    bool closes_when_idle_ = false;
    /// A request was refused before it was read completely.
    bool refused_ = false;
    bool shutting_down_ = false;
    bool ended_ = false;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SUPPORT_SOAK_CONNECTION_HPP
#define WALNUTMILL_SUPPORT_SOAK_CONNECTION_HPP

/// \file
/// A caller's connection that is kept for many requests and tells how each of
/// them ended.

#include "soak_history.hpp"

#include <chrono>
#include <map>
#include <string>

namespace walnutmill
{
namespace soak
{

/// How one request on a connection ended.
struct exchange_result
{
    testing::attempt_end end = testing::attempt_end::silent;
    int status = 0;
    bool whole = false;
    std::map<std::string, std::string> headers;
    std::string body;
    /// When it ended, without the time in which a reset was waited for.
    std::chrono::steady_clock::time_point ended_at{};
};

class soak_connection
{
public:
    /// \throws std::system_error if no connection is established within the
    /// time that callers allow
    explicit soak_connection(std::string const& address);
    ~soak_connection();
    soak_connection(soak_connection const&) = delete;
    soak_connection& operator=(soak_connection const&) = delete;

    /// \return true if the node has said that it may have closed the
    /// connection by now
    bool announced_close() const { return clock::now() >= usable_until_; }
    /// \return true if the node has closed the connection
    bool closed() const;
    /// \return the time since the last request ended
    std::chrono::milliseconds idle_time() const;

    /// Sends a request and receives its answer.
    /// \param patience time after which an answer that is not complete counts
    /// as silent
    /// \param leaves whether to leave after the first event of a stream
    exchange_result call(
        std::string const& request, std::chrono::milliseconds patience,
        bool leaves);

private:
    using clock = std::chrono::steady_clock;

    bool send(std::string const& request) const;
    enum class read_result
    {
        bytes,
        closed,
        reset,
        timed_out
    };
    read_result read(clock::time_point until);
    bool is_reset_after_close() const;
    testing::attempt_end end_of(read_result how, bool answer_began) const;
    void respect(exchange_result const& answer);

    int socket_ = -1;
    std::string buffer_;
    clock::time_point last_used_ = clock::now();
    /// From then on the node may close the connection.
    clock::time_point usable_until_ = clock::time_point::max();
};

} // namespace soak
} // namespace walnutmill

#endif

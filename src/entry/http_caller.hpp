#ifndef WALNUTMILL_SRC_ENTRY_HTTP_CALLER_HPP
#define WALNUTMILL_SRC_ENTRY_HTTP_CALLER_HPP

/// \file
/// Short HTTP calls to the store and to other nodes over persistent
/// connections, each with a timeout.

#include <walnutmill/clock.hpp>

#include "entry/exchange.hpp"
#include "entry/http_link.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace walnutmill
{

/// \return a POST request with a CBOR body, in the form nodes exchange.
std::string cbor_request(
    std::string_view path, std::string const& address,
    nlohmann::json const& body);
/// Like cbor_request(), for a body that is already encoded as CBOR.
std::string cbor_bytes_request(
    std::string_view path, std::string const& address, std::string_view body);

/// HTTP client with a pool of idle connections per address.
class http_caller
{
public:
    using done_fn = std::function<void(exchange_reply)>;

    /// Idle time after which a connection is not used again. It is below the
    /// time for which nodes hold their idle connections to others, so that no
    /// request crosses their close.
    static constexpr std::chrono::milliseconds default_max_idle_time{10'000};

    explicit http_caller(
        boost::asio::io_context& io,
        std::chrono::milliseconds max_idle_time = default_max_idle_time);
    ~http_caller();
    http_caller(http_caller const&) = delete;
    http_caller& operator=(http_caller const&) = delete;

    /// A reply that exceeds \c max_reply_bytes, or the limit of all replies
    /// being received, counts as unanswered.
    /// \param done called once, asynchronously; not called after the
    /// http_caller is destroyed
    void call(exchange_request request, done_fn done);

private:
    using link_ptr = std::shared_ptr<http_link>;
    struct pending_call;
    using pending_ptr = std::shared_ptr<pending_call>;

    void await_progress(pending_ptr const& pending);

    link_ptr idle_or_new_link(std::string const& address);
    void keep_or_close_link(std::string const& address, link_ptr link);

    boost::asio::io_context& io_;
    std::chrono::milliseconds max_idle_time_;
    std::unordered_map<std::string, std::vector<link_ptr>> idle_;
    /// Links with a call in progress. Their handlers keep them alive, so the
    /// destructor closes them explicitly.
    std::unordered_set<link_ptr> in_use_;
    /// Bytes of replies that are being received.
    std::size_t held_bytes_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

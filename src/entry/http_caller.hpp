#ifndef WALNUTMILL_SRC_ENTRY_HTTP_CALLER_HPP
#define WALNUTMILL_SRC_ENTRY_HTTP_CALLER_HPP

/// \file
/// Short HTTP calls to the store and to other nodes, over kept connections,
/// each with a time limit.

#include <walnutmill/clock.hpp>

#include "entry/http_link.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace walnutmill
{

/// What became of a short call.
struct http_reply
{
    /// A whole answer came.
    bool answered = false;
    /// The request may have been read.
    bool sent = false;
    int status = 0;
    std::string body;
    duration took{0};
};

/// \return a POST request with a CBOR body, as nodes send it to each other.
std::string cbor_request(
    std::string_view path, std::string const& address,
    nlohmann::json const& body);
/// The same of a body that is CBOR already.
std::string cbor_bytes_request(
    std::string_view path, std::string const& address, std::string_view body);

class http_caller
{
public:
    using done_fn = std::function<void(http_reply)>;

    explicit http_caller(boost::asio::io_context& io);
    ~http_caller();
    http_caller(http_caller const&) = delete;
    http_caller& operator=(http_caller const&) = delete;

    /// \param address IP:PORT
    /// \param bytes the whole request
    /// \param done called once, later; not after the caller's end
    void call(
        std::string const& address, std::string bytes, duration patience,
        done_fn done);

private:
    using link_ptr = std::shared_ptr<http_link>;

    link_ptr take_link(std::string const& address);
    void return_link(std::string const& address, link_ptr link);

    boost::asio::io_context& io_;
    std::unordered_map<std::string, std::vector<link_ptr>> idle_;
    /// Links with a call under way: each is held by its own handlers, so they
    /// are closed when the caller ends.
    std::unordered_set<link_ptr> in_use_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_CALLER_SERVER_HPP
#define WALNUTMILL_SRC_CALLER_SERVER_HPP

/// \file
/// The callers' and operators' interface over HTTP (docs/API.md).

#include <walnutmill/metrics.hpp>
#include <walnutmill/result.hpp>

#include "caller_types.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace walnutmill
{

/// Whom a token stands for in one workspace.
struct principal
{
    std::string name;
    workspace_name workspace;
    bool may_call = false;
    bool may_operate = false;
};

/// A repeatable call of a plain service that belongs to no program.
struct direct_request
{
    service_name service;
    workspace_name workspace;
    request_id request;
    std::string input;
    std::chrono::milliseconds deadline{0};
};

/// A command of an operator.
struct operate_request
{
    principal who;
    std::string text;
    std::string command_id;
    bool dry_run = false;
    bool json = false;
};

/// Where requests go. All but `operate` must not block.
struct caller_server_hooks
{
    /// \return errc::unauthorized for an unknown token.
    std::function<result<principal>(std::string_view token)> authorize;
    std::function<void(caller_request, answer_sink)> submit;
    std::function<void(
        direct_request, std::function<void(result<call_answer>)>)>
        direct;
    /// \return JSON text. Runs on a thread of the HTTP library.
    std::function<result<std::string>(operate_request const&)> operate;
    std::function<bool()> ready;
    std::function<std::string()> metrics_text;
};

struct caller_server_options
{
    std::string address;
    std::uint16_t port = 0;
    std::size_t max_body_bytes = 0;
};

/// Serves until closed. Thread-safe.
class caller_server
{
public:
    caller_server(
        caller_server_options options, caller_server_hooks hooks,
        metrics& counters);
    /// Closes the listener; wait for in_flight() to be zero before, since
    /// closing cuts what is under way.
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// \return errc::unavailable when it cannot listen.
    result<void> start();
    /// Requests that are not answered in full yet.
    std::size_t in_flight() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif

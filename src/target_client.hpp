#ifndef WALNUTMILL_SRC_TARGET_CLIENT_HPP
#define WALNUTMILL_SRC_TARGET_CLIENT_HPP

/// \file
/// Model engines and plain services over HTTP (docs/PLATFORM.md).

#include <walnutmill/result.hpp>

#include "program_owner.hpp"

#include <functional>
#include <memory>
#include <string>

namespace walnutmill
{

/// What becomes of an attempt. Called on threads of the HTTP library; exactly
/// one of `answer` and `failure` is called.
struct attempt_hooks
{
    std::function<void(std::uint32_t index, std::string text)> token;
    std::function<void(attempt_answer)> answer;
    std::function<void(refusal)> failure;
};

/// Sends to targets. Thread-safe; nothing blocks.
class target_client
{
public:
    target_client();
    /// Cancels what is under way.
    ~target_client();
    target_client(target_client const&) = delete;
    target_client& operator=(target_client const&) = delete;

    void generate(
        std::string const& address, model_effect const& work,
        attempt_hooks const& hooks);
    void
    run(std::string const& address, plain_effect const& work,
        attempt_hooks const& hooks);
    /// Asks for the outcome of a request; not found is a failure `not_run`.
    void query(
        std::string const& address, query_effect const& work,
        attempt_hooks const& hooks);
    /// Tells an engine to stop; errors are ignored, the deadline ends it too.
    void cancel(std::string const& address, request_id const& request);
    /// Drops a program's memory. \param done told whether it is confirmed
    void release(
        std::string const& address, program_id const& program,
        std::function<void(bool)> const& done);

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif

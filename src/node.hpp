#ifndef WALNUTMILL_SRC_NODE_HPP
#define WALNUTMILL_SRC_NODE_HPP

/// \file
/// One entry node: its duties joined together for the time of one session.

#include <walnutmill/result.hpp>
#include <walnutmill/settings.hpp>

#include <atomic>
#include <functional>

namespace walnutmill
{

/// How a session of a node ended.
enum class session_end
{
    /// Planned stop: shards handed over, nothing cut.
    stopped,
    /// The stop's limit passed with work under way.
    stop_limit,
    /// Another node fenced it; a new session may begin.
    fenced
};

/// Runs one session until it is fenced or `stop_signals` is above zero (above
/// one: at once). \return errc::unavailable where an address is taken.
result<session_end> run_session(
    serve_settings const& settings, std::atomic<int> const& stop_signals);

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_PEER_REFUSAL_HPP
#define WALNUTMILL_SRC_PEER_REFUSAL_HPP

/// \file
/// The refusals that a hub makes itself.

#include <walnutmill/result.hpp>

#include <string>
#include <utility>

namespace walnutmill
{
namespace detail
{

inline refusal make_refusal(errc code, certainty ran, std::string message)
{
    refusal made;
    made.code = code;
    made.ran = ran;
    made.message = std::move(message);
    return made;
}

inline refusal overloaded_link()
{
    auto made = make_refusal(
        errc::overloaded, certainty::not_run,
        "too much is waiting for the peer");
    made.retry_after = std::chrono::milliseconds(100);
    return made;
}

} // namespace detail
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_REFUSALS_HPP
#define WALNUTMILL_SRC_REFUSALS_HPP

/// \file
/// Refusals of requests that did not run.

#include <walnutmill/result.hpp>

#include <string>
#include <utility>

namespace walnutmill
{

/// \param field the offending field, if one is to blame
inline refusal refuse(errc code, std::string message, std::string field = {})
{
    refusal why;
    why.code = code;
    why.message = std::move(message);
    why.field = std::move(field);
    return why;
}

/// \param after when to come back
inline refusal
come_back(errc code, std::string message, std::chrono::milliseconds after)
{
    auto why = refuse(code, std::move(message));
    why.retry_after = after;
    return why;
}

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_REQUEST_DIGEST_HPP
#define WALNUTMILL_REQUEST_DIGEST_HPP

/// \file
/// Digests that identify a request by its content. Each attempt of a caller has
/// an ID of its own, and a turn that is sent again is a new call, but what an
/// engine is to run stays the same.

#include <walnutmill/call.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace walnutmill
{

/// 64 bits suffice: a digest is only looked up among those of requests under
/// which engines ended lately.
using request_digest = std::uint64_t;

/// \return a digest of what an engine runs for this call: the workspace, host,
/// method, target, previous turn, prompt parts, subject and body. Requests
/// without a body look alike, so theirs include the program and its line.
request_digest digest_of(call const& request, std::string_view body);

/// \return the digest as 16 hexadecimal digits
std::string to_text(request_digest digest);

} // namespace walnutmill

#endif

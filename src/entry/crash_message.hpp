#ifndef WALNUTMILL_SRC_ENTRY_CRASH_MESSAGE_HPP
#define WALNUTMILL_SRC_ENTRY_CRASH_MESSAGE_HPP

/// \file
/// Datagrams by which nodes share the requests under which engines ended.

#include <walnutmill/crash_record.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace walnutmill
{

struct crash_message
{
    /// The sender asks for what the receiver knows of the requests, or of all
    /// if there are none.
    bool is_query = false;
    /// The sender, which lacks no other's records, has told all that it knows
    /// of the requests, or of all if there are none.
    bool completes_answer = false;
    /// Times are of the clock that was passed to encode() or decode().
    std::vector<std::pair<request_digest, suspect_request>> requests;
};

/// Encodes times as ages, since the clocks of two nodes differ.
std::string encode(crash_message const& message, time_point now);
/// \return empty if the bytes are not a valid message of this protocol
std::optional<crash_message>
decode_crash_message(std::string_view bytes, time_point now);

} // namespace walnutmill

#endif

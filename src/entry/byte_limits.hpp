#ifndef WALNUTMILL_SRC_ENTRY_BYTE_LIMITS_HPP
#define WALNUTMILL_SRC_ENTRY_BYTE_LIMITS_HPP

/// \file
/// Limits of what a server may send in one exchange. A server in trouble may
/// send bytes without end; each place that reads them has a limit here.
///
/// The smallest supported node has 88 MB and 0.12 cores, and a call ends after
/// some 3 s. A quarter of its memory is for answers that are sent whole, a
/// quarter for streams, a quarter for what callers have not read, and a tenth
/// for replies of the store and of other nodes.

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace walnutmill
{

/// Heads, interim heads and trailers in one exchange. Heads are below 1 KB.
constexpr std::size_t max_framing_bytes = 16'384;

/// \return the limit of all bytes of an exchange that belong to no body. It
/// grows with the body, which may come in chunks of a few bytes at first, and
/// later in chunks that exceed their own framing.
constexpr std::uint64_t max_framing_with_body(std::uint64_t body_bytes)
{
    constexpr std::uint64_t chunk_framing_bytes = 16;
    constexpr std::uint64_t small_chunks_bytes = 65'536;
    return max_framing_bytes + body_bytes +
           chunk_framing_bytes * std::min(body_bytes, small_chunks_bytes);
}

/// Body of an answer that is not streamed.
constexpr std::size_t max_answer_bytes = 8'388'608;
/// Bodies of answers to earlier requests in one exchange: one late answer.
constexpr std::size_t max_skipped_bytes = max_answer_bytes;
/// One event of a stream. Events hold some 22 tokens, below 1 KB.
constexpr std::size_t max_event_bytes = 262'144;
/// Bytes of a stream since its last new event: comments, unknown fields and
/// events that were forwarded before.
constexpr std::size_t max_idle_stream_bytes = 1'048'576;
/// Such events; the shortest of them has two bytes.
constexpr std::size_t max_idle_stream_events = 1'024;
/// Text of a turn that is stored once it is complete: some thousand tokens take
/// a hundredth of it.
constexpr std::size_t max_turn_output_bytes = 1'048'576;
/// Body of a reply of the store or of another node. A page of rows has at most
/// 1 MB, a configuration 1.1 MB, both in base64.
constexpr std::size_t max_reply_bytes = 4'194'304;
/// Replies that are being received, of all calls of one client.
constexpr std::size_t max_held_reply_bytes = 2 * max_reply_bytes;
/// Answers that a node holds until they are complete, of all calls.
constexpr std::size_t max_held_answer_bytes = 20'971'520;

/// Bytes of answers that callers have not read, of all calls. Answers that were
/// held until they were complete have to fit.
constexpr std::size_t max_unsent_answer_bytes = max_held_answer_bytes;

/// Bytes that one read of a connection takes.
constexpr std::size_t read_chunk_bytes = 16'384;
/// What a stream may hold: an incomplete event, an incomplete head or chunk
/// header, and three copies of what was read last.
constexpr std::size_t max_held_stream_bytes =
    max_event_bytes + max_framing_bytes + 3 * read_chunk_bytes;

} // namespace walnutmill

#endif

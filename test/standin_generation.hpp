#ifndef WALNUTMILL_TEST_STANDIN_GENERATION_HPP
#define WALNUTMILL_TEST_STANDIN_GENERATION_HPP

/// \file
/// One request at the stand-in engine. Its answer is a function of the turns
/// that the engine saw, so that a checker can tell from an answer which
/// history it came from.

#include "standin_cache.hpp"
#include "standin_http.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace walnutmill::standin
{

/// One request of a model, running, waiting or ended.
struct generation
{
    std::string request;
    std::string program;
    std::uint64_t epoch = 0;
    std::int64_t priority = 0;
    std::int64_t hold_ms = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    /// Prompt tokens not taken in yet.
    std::uint64_t prefill = 0;
    std::size_t turns = 0;
    std::uint64_t hash = 0;
    /// The answer's tokens, a function of the turns, and how many are out.
    std::vector<std::string> tokens;
    std::size_t done = 0;
    bool ended = false;
    bool canceled = false;
    /// Who listens, if anybody, and the last token they were sent.
    std::optional<responder> listener;
    std::size_t sent = 0;

    /// \return the text of the tokens that are out.
    std::string text() const;
    /// \return an event for each token that is out and was not sent yet.
    std::string take_unsent();
    /// \return the event that closes the stream.
    std::string closing_event() const;
};

/// \return the request of that body, with the history it brings.
generation read_generation(nlohmann::json const& body, history const& seen);

} // namespace walnutmill::standin

#endif

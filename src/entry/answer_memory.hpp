#ifndef WALNUTMILL_SRC_ENTRY_ANSWER_MEMORY_HPP
#define WALNUTMILL_SRC_ENTRY_ANSWER_MEMORY_HPP

/// \file
/// Answers that a node holds until they are complete. Each of them is limited,
/// but so many may come at a time that the sum has to be limited as well. The
/// longest one then gives way, rather than the next to arrive: an engine that
/// sends without end would otherwise end the short answers of others.

#include "entry/byte_limits.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace walnutmill
{

class held_answer;

/// The memory that the answers of a node share. Copies share it too.
class answer_memory
{
public:
    explicit answer_memory(std::size_t limit = max_held_answer_bytes);

    /// \return the number of bytes held
    std::size_t size() const;

private:
    friend class held_answer;
    struct state;
    std::shared_ptr<state> state_;
};

/// Bytes of one answer.
class held_answer
{
public:
    held_answer() = default;
    ~held_answer();
    held_answer(held_answer const&) = delete;
    held_answer& operator=(held_answer const&) = delete;

    /// \param on_dropped called when the answer gives way; its bytes are gone
    void append(
        answer_memory& memory, std::string_view bytes,
        std::function<void()> const& on_dropped);
    std::string const& text() const { return text_; }
    void clear();

private:
    std::shared_ptr<answer_memory::state> memory_;
    std::function<void()> on_dropped_;
    std::string text_;
};

} // namespace walnutmill

#endif

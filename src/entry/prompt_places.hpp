#ifndef WALNUTMILL_SRC_ENTRY_PROMPT_PLACES_HPP
#define WALNUTMILL_SRC_ENTRY_PROMPT_PLACES_HPP

/// \file
/// Where the prompts of a program's lines lie cached, as its home knows it.
///
/// Load pattern: a program's next turn comes through another node than the
/// one before (two of three do at 64 nodes), which does not know the engine
/// that has read all the earlier turns. Without it 27 turns of 100 ran where
/// the former one ran, and 53.4 M prompt tokens were read in 36,321 turns; with
/// it 40.8 M (64 nodes, 44 engines, the same day played once each).

#include <walnutmill/clock.hpp>
#include <walnutmill/engine_board.hpp>
#include <walnutmill/ids.hpp>

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

struct places_options
{
    /// Lines of a program that are kept, the latest ones: its own and those of
    /// three sub-agents, the mean number of those that start together.
    std::size_t lines = 4;
    /// A program that has run no turn for this long is forgotten: pauses and
    /// tools take up to a second, and parts unused for longer have yielded
    /// their memory to others.
    std::chrono::seconds kept_for{5};
    /// Programs kept at most: ten times what a node of 390 is the home of at
    /// 67 turns a second and 5 s, at 0.4 KB each.
    std::size_t programs = 4'096;
};

class prompt_places
{
public:
    explicit prompt_places(clock_fn clock, places_options options = {});

    /// A turn of the program ended and left its prompt at an engine.
    void note(program_id const& program, prompt_place place);

    /// \return the latest last; empty where nothing is known.
    std::vector<prompt_place> of(program_id const& program) const;

    /// Forgets programs that have run no turn for long.
    void sweep();

private:
    struct known_lines
    {
        std::vector<prompt_place> lines;
        time_point noted_at{};
    };

    clock_fn clock_;
    places_options options_;
    std::unordered_map<program_id, known_lines> programs_;
};

} // namespace walnutmill

#endif

#include "entry/prompt_places.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace walnutmill
{

prompt_places::prompt_places(clock_fn clock, places_options options)
    : clock_(std::move(clock)), options_(options)
{
}

void prompt_places::note(program_id const& program, prompt_place place)
{
    if (programs_.count(program) == 0 && programs_.size() >= options_.programs)
        return;
    auto& known = programs_[program];
    known.noted_at = clock_();
    auto& lines = known.lines;
    lines.erase(
        std::remove_if(
            lines.begin(), lines.end(),
            [&place](prompt_place const& one)
            { return one.part == place.part; }),
        lines.end());
    if (lines.size() >= options_.lines)
        lines.erase(lines.begin());
    lines.push_back(std::move(place));
}

std::vector<prompt_place> prompt_places::of(program_id const& program) const
{
    auto const found = programs_.find(program);
    return found == programs_.end() ? std::vector<prompt_place>()
                                    : found->second.lines;
}

void prompt_places::sweep()
{
    auto const now = clock_();
    for (auto it = programs_.begin(); it != programs_.end();)
    {
        it = now - it->second.noted_at > options_.kept_for ? programs_.erase(it)
                                                           : std::next(it);
    }
}

} // namespace walnutmill

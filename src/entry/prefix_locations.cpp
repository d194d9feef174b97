#include "entry/prefix_locations.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace walnutmill
{

prefix_locations::prefix_locations(
    clock_fn clock, prefix_location_options options)
    : clock_(std::move(clock)), options_(options)
{
}

void prefix_locations::record_location(
    program_id const& program, prefix_cache_location new_location)
{
    if (programs_.count(program) == 0 &&
        programs_.size() >= options_.max_programs)
        return;
    auto& entry = programs_[program];
    entry.recorded_at = clock_();
    auto& locations = entry.locations;
    locations.erase(
        std::remove_if(
            locations.begin(), locations.end(),
            [&new_location](prefix_cache_location const& location)
            { return location.part == new_location.part; }),
        locations.end());
    if (locations.size() >= options_.max_conversations)
        locations.erase(locations.begin());
    locations.push_back(std::move(new_location));
}

std::vector<prefix_cache_location>
prefix_locations::locations_of(program_id const& program) const
{
    auto const found = programs_.find(program);
    return found == programs_.end() ? std::vector<prefix_cache_location>()
                                    : found->second.locations;
}

void prefix_locations::sweep()
{
    auto const now = clock_();
    for (auto it = programs_.begin(); it != programs_.end();)
    {
        it = now - it->second.recorded_at > options_.retention
                 ? programs_.erase(it)
                 : std::next(it);
    }
}

} // namespace walnutmill

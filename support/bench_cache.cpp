#include "bench_cache.hpp"

#include "bench_events.hpp"

#include <algorithm>

namespace walnutmill::bench
{

namespace
{

double token_seconds(std::uint64_t tokens, time_point from, time_point to)
{
    return static_cast<double>(tokens) * to_seconds(to - from);
}

} // namespace

std::uint64_t prefix_cache::pin(cache_key key, time_point now)
{
    auto const it = entries_.find(key);
    if (it == entries_.end())
        return 0;
    auto& found = it->second;
    if (found.pins == 0)
        usage_.useful += token_seconds(found.tokens, found.last_use, now);
    ++found.pins;
    found.last_use = now;
    found.hold_until = {};
    return found.tokens;
}

void prefix_cache::grow(cache_key key, std::uint64_t tokens, time_point now)
{
    auto& grown = entries_[key];
    if (grown.pins == 0)
        grown.pins = 1;
    used_ += tokens - grown.tokens;
    grown.tokens = tokens;
    grown.last_use = now;
}

void prefix_cache::unpin(cache_key key, time_point now)
{
    auto const it = entries_.find(key);
    if (it == entries_.end() || it->second.pins == 0)
        return;
    --it->second.pins;
    it->second.last_use = now;
}

void prefix_cache::hold(cache_key key, time_point until)
{
    auto const it = entries_.find(key);
    if (it != entries_.end())
        it->second.hold_until = until;
}

std::uint64_t prefix_cache::drop(cache_key key, time_point now)
{
    auto const it = entries_.find(key);
    if (it == entries_.end() || it->second.pins > 0)
        return 0;
    auto const tokens = it->second.tokens;
    erase(it, now);
    return tokens;
}

void prefix_cache::expire(time_point now)
{
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto const until = it->second.hold_until;
        bool const lapsed = until != time_point{} && until <= now;
        it = lapsed && it->second.pins == 0 ? erase(it, until) : ++it;
    }
}

bool prefix_cache::make_room(std::uint64_t tokens, time_point now)
{
    expire(now);
    while (used_ + tokens > capacity_)
    {
        auto const it = victim(now);
        if (it == entries_.end())
            return false;
        erase(it, now);
    }
    return true;
}

void prefix_cache::clear(time_point now)
{
    expire(now);
    for (auto it = entries_.begin(); it != entries_.end();)
        it = it->second.pins == 0 ? erase(it, now) : ++it;
}

std::uint64_t prefix_cache::tokens_of(cache_key key) const
{
    auto const it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.tokens;
}

prefix_cache::entries::iterator prefix_cache::victim(time_point now)
{
    auto best = entries_.end();
    for (auto it = entries_.begin(); it != entries_.end(); ++it)
    {
        if (it->second.pins > 0)
            continue;
        if (best == entries_.end())
        {
            best = it;
            continue;
        }
        bool const held = it->second.hold_until > now;
        bool const best_held = best->second.hold_until > now;
        bool const older = it->second.last_use < best->second.last_use;
        if (held != best_held ? best_held : older)
            best = it;
    }
    return best;
}

prefix_cache::entries::iterator
prefix_cache::erase(entries::iterator it, time_point idle_end)
{
    auto const& gone = it->second;
    usage_.wasted += token_seconds(gone.tokens, gone.last_use, idle_end);
    used_ -= gone.tokens;
    return entries_.erase(it);
}

} // namespace walnutmill::bench

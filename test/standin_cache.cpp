#include "standin_cache.hpp"

#include <walnutmill/hash.hpp>

namespace walnutmill::standin
{

namespace
{

constexpr std::uint64_t bytes_per_token = 4;

} // namespace

std::uint64_t count_tokens(std::string const& text)
{
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

history::history(nlohmann::json const& turns)
{
    std::uint64_t hash = 0;
    std::uint64_t sum = 0;
    for (auto const& turn : turns)
    {
        auto const text = turn.at("text").get<std::string>();
        auto const role = turn.at("role").get<std::string>();
        auto link = std::to_string(hash);
        link += role;
        link += ':';
        link += text;
        hash = stable_hash(link);
        sum += count_tokens(text);
        hashes.push_back(hash);
        tokens.push_back(sum);
    }
}

std::uint64_t prefix_cache::find(
    std::string const& program, history const& seen, std::int64_t now)
{
    auto const found = prefixes_.find(program);
    if (found == prefixes_.end())
        return 0;
    auto& prefix = found->second;
    bool const fits = prefix.turns > 0 && prefix.turns <= seen.hashes.size() &&
                      seen.hashes[prefix.turns - 1] == prefix.hash;
    if (!fits)
        return 0;
    prefix.used_us = now;
    return prefix.tokens;
}

bool prefix_cache::store(
    std::string const& program, cached_prefix prefix, std::int64_t now)
{
    auto const old = prefixes_.find(program);
    if (old != prefixes_.end())
    {
        used_ -= old->second.tokens;
        prefixes_.erase(old);
    }
    if (!make_room(prefix.tokens, now))
        return false;
    used_ += prefix.tokens;
    events_.push_back({program, true, prefix.tokens, now});
    prefixes_[program] = prefix;
    return true;
}

bool prefix_cache::release(std::string const& program)
{
    auto const found = prefixes_.find(program);
    if (found == prefixes_.end() || found->second.held_until_us == 0)
        return false;
    found->second.held_until_us = 0;
    return true;
}

std::vector<std::string> prefix_cache::lapse(std::int64_t now)
{
    std::vector<std::string> lapsed;
    for (auto& entry : prefixes_)
    {
        auto& until = entry.second.held_until_us;
        if (until == 0 || until > now)
            continue;
        until = 0;
        lapsed.push_back(entry.first);
    }
    return lapsed;
}

void prefix_cache::clear(std::int64_t now)
{
    while (!prefixes_.empty())
        evict(std::string(prefixes_.begin()->first), now);
}

cached_prefix const* prefix_cache::prefix_of(std::string const& program) const
{
    auto const found = prefixes_.find(program);
    return found == prefixes_.end() ? nullptr : &found->second;
}

void prefix_cache::evict(std::string const& program, std::int64_t now)
{
    auto const found = prefixes_.find(program);
    used_ -= found->second.tokens;
    events_.push_back({program, false, found->second.tokens, now});
    prefixes_.erase(found);
}

bool prefix_cache::make_room(std::uint64_t tokens, std::int64_t now)
{
    while (used_ + tokens > size_)
    {
        auto oldest = prefixes_.end();
        for (auto it = prefixes_.begin(); it != prefixes_.end(); ++it)
        {
            bool const older = oldest == prefixes_.end() ||
                               it->second.used_us < oldest->second.used_us;
            if (it->second.held_until_us == 0 && older)
                oldest = it;
        }
        if (oldest == prefixes_.end())
            return false;
        evict(std::string(oldest->first), now);
    }
    return true;
}

} // namespace walnutmill::standin

#ifndef WALNUTMILL_TEST_STANDIN_CACHE_HPP
#define WALNUTMILL_TEST_STANDIN_CACHE_HPP

/// \file
/// The prefix cache of the stand-in engine: one prefix a program, least
/// recently used out first, holds kept until they lapse.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace walnutmill::standin
{

/// Hashes and token sums of a program's history after each of its turns.
struct history
{
    std::vector<std::uint64_t> hashes;
    std::vector<std::uint64_t> tokens;

    /// \param turns the array of the request, oldest first
    explicit history(nlohmann::json const& turns);
    std::uint64_t hash() const { return hashes.empty() ? 0 : hashes.back(); }
    std::uint64_t prompt_tokens() const
    {
        return tokens.empty() ? 0 : tokens.back();
    }
};

/// About four bytes of text.
std::uint64_t count_tokens(std::string const& text);

/// The prefix that an engine keeps of one program.
struct cached_prefix
{
    std::uint64_t epoch = 0;
    /// Turns that are covered, and their hash.
    std::size_t turns = 0;
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;
    std::int64_t used_us = 0;
    std::int64_t held_since_us = 0;
    /// Zero: not held.
    std::int64_t held_until_us = 0;
};

/// An entry of the cache's event stream.
struct cache_event
{
    std::string program;
    bool stored = false;
    std::uint64_t tokens = 0;
    std::int64_t at_us = 0;
};

/// Not thread-safe.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t size) : size_(size) {}

    /// \return tokens of the longest prefix that is cached of this history.
    std::uint64_t
    find(std::string const& program, history const& seen, std::int64_t now);
    /// Keeps a prefix, throwing out others; one that does not fit beside
    /// those that are held is not kept. \return whether it is kept.
    bool
    store(std::string const& program, cached_prefix prefix, std::int64_t now);
    /// \return whether the program had a hold.
    bool release(std::string const& program);
    /// Ends holds that lapsed. \return their programs.
    std::vector<std::string> lapse(std::int64_t now);
    void clear(std::int64_t now);

    cached_prefix const* prefix_of(std::string const& program) const;
    std::map<std::string, cached_prefix> const& all() const
    {
        return prefixes_;
    }
    std::vector<cache_event> const& events() const { return events_; }
    std::uint64_t used() const { return used_; }
    std::uint64_t size() const { return size_; }

private:
    void evict(std::string const& program, std::int64_t now);
    bool make_room(std::uint64_t tokens, std::int64_t now);

    std::uint64_t size_;
    std::uint64_t used_ = 0;
    std::map<std::string, cached_prefix> prefixes_;
    std::vector<cache_event> events_;
};

} // namespace walnutmill::standin

#endif

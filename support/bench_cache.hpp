#ifndef WALNUTMILL_BENCH_CACHE_HPP
#define WALNUTMILL_BENCH_CACHE_HPP

/// \file
/// Model of an engine's prefix cache: limited memory, least recently used
/// goes first, holds go last.

#include <walnutmill/clock.hpp>

#include <cstdint>
#include <unordered_map>

namespace walnutmill::bench
{

/// Names a conversation's history or a shared prefix.
using cache_key = std::uint64_t;

/// Token-seconds that entries lay idle, by how the idle time ended.
struct cache_usage
{
    /// The entry was used again.
    double useful = 0.0;
    /// It was dropped, was evicted, or lay there at the end of the run.
    double wasted = 0.0;
};

class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacity) : capacity_(capacity) {}

    /// Takes an entry into use, so that it can't be evicted.
    /// \return its tokens; zero when it is absent.
    std::uint64_t pin(cache_key key, time_point now);
    /// Sets the size of an entry in use, or adds a pinned one.
    void grow(cache_key key, std::uint64_t tokens, time_point now);
    void unpin(cache_key key, time_point now);
    /// Keeps an idle entry until then; afterwards it is dropped.
    void hold(cache_key key, time_point until);
    /// Drops an idle entry. \return its tokens.
    std::uint64_t drop(cache_key key, time_point now);
    /// Drops holds that have lapsed.
    void expire(time_point now);
    /// Evicts idle entries until `tokens` more fit.
    /// \return whether they fit.
    bool make_room(std::uint64_t tokens, time_point now);
    /// Drops everything that is idle; for an engine that stops.
    void clear(time_point now);

    std::uint64_t used() const { return used_; }
    std::uint64_t capacity() const { return capacity_; }
    std::uint64_t tokens_of(cache_key key) const;
    cache_usage const& usage() const { return usage_; }

private:
    struct entry
    {
        std::uint64_t tokens = 0;
        std::uint32_t pins = 0;
        time_point last_use;
        /// Zero: no hold.
        time_point hold_until{};
    };
    using entries = std::unordered_map<cache_key, entry>;

    entries::iterator victim(time_point now);
    entries::iterator erase(entries::iterator it, time_point idle_end);

    std::uint64_t capacity_;
    std::uint64_t used_ = 0;
    entries entries_;
    cache_usage usage_;
};

} // namespace walnutmill::bench

#endif

#ifndef WALNUTMILL_DENIED_KEYS_HPP
#define WALNUTMILL_DENIED_KEYS_HPP

/// \file
/// Negative cache of recently denied API keys.
///
/// Load: a caller ttl using a revoked key, or somebody guesses keys. An
/// unknown key may just have been added, so its first call waits for the next
/// read of the configuration. Later calls with the key are denied at once.
/// Without the cache, each of them would wait for a read.

#include <walnutmill/clock.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

namespace walnutmill
{

/// Bounded, expiring set of key digests.
class denied_keys
{
public:
    /// \param ttl lifetime of an entry
    /// \param max_entries maximum number of entries; the oldest are evicted
    /// first
    explicit denied_keys(
        duration ttl = std::chrono::seconds(5),
        std::size_t max_entries = 1'024);

    void add(key_digest const& key, time_point now);
    /// \return true if the key was denied within the lifetime of an entry.
    bool holds(key_digest const& key, time_point now);

private:
    void evict_old(time_point now);

    duration ttl_;
    std::size_t max_entries_;
    std::deque<std::pair<time_point, std::string>> entries_by_age_;
    std::unordered_set<std::string> keys_;
};

} // namespace walnutmill

#endif

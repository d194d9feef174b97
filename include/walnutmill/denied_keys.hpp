#ifndef WALNUTMILL_DENIED_KEYS_HPP
#define WALNUTMILL_DENIED_KEYS_HPP

/// \file
/// Keys that were denied a short time ago.
///
/// Load pattern: a caller goes on with a key that was taken away, or somebody
/// tries keys. A key that no workspace holds may just have been added, so its
/// first call waits for the next reading of the configuration; later ones are
/// denied at once.

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

class denied_keys
{
public:
    /// \param keeps time for which a denial holds
    /// \param most keys kept; the oldest yield
    explicit denied_keys(
        duration keeps = std::chrono::seconds(5), std::size_t most = 1'024);

    void add(key_digest const& key, time_point now);
    /// \return true where the key was denied lately.
    bool holds(key_digest const& key, time_point now);

private:
    void drop_old(time_point now);

    duration keeps_;
    std::size_t most_;
    std::deque<std::pair<time_point, std::string>> order_;
    std::unordered_set<std::string> keys_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_STORE_PATHS_HPP
#define WALNUTMILL_SRC_ENTRY_STORE_PATHS_HPP

/// \file
/// Which way a call to the store takes: straight, or through another node
/// that the store still serves.
///
/// Load pattern: the store turns some machines away (at once, or by silence)
/// while it serves the others. Without this module those machines refuse all
/// new programs for as long as that lasts (nine seconds seen), although a
/// neighbor one millisecond away could carry their calls.

#include <walnutmill/clock.hpp>
#include <walnutmill/random.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// One way to the store.
struct store_path
{
    /// IP:PORT of the node that carries the call; empty: straight.
    std::string relay;

    bool direct() const { return relay.empty(); }
};

struct store_path_options
{
    /// How long a way that failed is left alone: doubles from the first to
    /// the second. The store is back for all within two seconds of an outage
    /// (platform's page), so a longer rest would add to it.
    duration first_rest = std::chrono::milliseconds(100);
    duration longest_rest = std::chrono::milliseconds(1'000);
};

class store_paths
{
public:
    store_paths(random_fn random, store_path_options options = {});

    /// Nodes that may carry calls.
    void set_relays(std::vector<std::string> relays);

    /// \return the way for the next attempt; a way that rests only where all
    /// do: then the straight one.
    store_path choose(time_point now);

    void succeeded(store_path const& path, time_point now);
    void failed(store_path const& path, time_point now);

    /// \return false while the straight way rests after a failure.
    bool direct_works(time_point now) const;

private:
    struct health
    {
        time_point rests_until{};
        duration rest{0};
    };

    std::optional<std::string> resting_free_relay(time_point now);

    random_fn random_;
    store_path_options options_;
    std::vector<std::string> relays_;
    /// Keyed by relay; the empty key is the straight way.
    std::unordered_map<std::string, health> health_;
};

} // namespace walnutmill

#endif

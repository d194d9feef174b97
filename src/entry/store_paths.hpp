#ifndef WALNUTMILL_SRC_ENTRY_STORE_PATHS_HPP
#define WALNUTMILL_SRC_ENTRY_STORE_PATHS_HPP

/// \file
/// Selects the path of a call to the store: direct, or relayed by a peer node
/// that the store still serves.
///
/// Load pattern: the store rejects some machines, or does not reply to them,
/// while it serves the others. Without this module those machines reject all
/// new programs for the duration of the fault, which can last nine seconds,
/// although a peer one millisecond away could relay their calls.

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

/// A path to the store.
struct store_path
{
    /// IP:PORT of the node that relays the call; empty for the direct path.
    std::string relay;

    bool direct() const { return relay.empty(); }
};

struct store_path_options
{
    /// Backoff of a failed path: doubles with each failure from the initial to
    /// the maximum value. According to the platform's documentation the store
    /// serves all nodes again within two seconds of an outage, so a longer
    /// backoff would prolong the outage.
    duration initial_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::milliseconds(1'000);
};

class store_paths
{
public:
    store_paths(random_fn random, store_path_options options = {});

    /// Sets IP:PORT of the nodes that may relay calls.
    void set_relays(std::vector<std::string> relays);

    /// \return the path for the next attempt: direct if available, else an
    /// available relay. Falls back to the direct path if no relay is found.
    store_path choose(time_point now);

    /// Ends the path's backoff.
    void succeeded(store_path const& path, time_point now);
    /// Starts a backoff of the path, unless one is in progress.
    void failed(store_path const& path, time_point now);

    /// \return false while the direct path is in backoff after a failure.
    bool direct_available(time_point now) const;

private:
    struct health
    {
        time_point retry_at{};
        duration backoff{0};
    };

    std::optional<std::string> pick_available_relay(time_point now);

    random_fn random_;
    store_path_options options_;
    std::vector<std::string> relays_;
    /// Keyed by relay; the empty key is the direct path.
    std::unordered_map<std::string, health> health_;
};

} // namespace walnutmill

#endif

#include "entry/store_paths.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{

store_paths::store_paths(random_fn random, store_path_options options)
    : random_(std::move(random)), options_(options)
{
}

void store_paths::set_relays(std::vector<std::string> relays)
{
    relays_ = std::move(relays);
}

bool store_paths::direct_available(time_point now) const
{
    auto const found = health_.find(std::string());
    return found == health_.end() || found->second.retry_at <= now;
}

std::optional<std::string> store_paths::pick_available_relay(time_point now)
{
    // A few random draws find an available relay unless nearly all relays are
    // in backoff.
    constexpr int max_draws = 4;
    for (int i = 0; i < max_draws && !relays_.empty(); ++i)
    {
        auto const index = std::min(
            relays_.size() - 1,
            static_cast<std::size_t>(
                random_() * static_cast<double>(relays_.size())));
        auto const found = health_.find(relays_[index]);
        if (found == health_.end() || found->second.retry_at <= now)
            return relays_[index];
    }
    return std::nullopt;
}

store_path store_paths::choose(time_point now)
{
    if (direct_available(now))
        return {};
    if (auto relay = pick_available_relay(now))
        return {std::move(*relay)};
    return {};
}

void store_paths::succeeded(store_path const& path, time_point)
{
    health_.erase(path.relay);
}

void store_paths::failed(store_path const& path, time_point now)
{
    auto& state = health_[path.relay];
    if (state.retry_at > now)
        return;
    state.backoff = state.backoff.count() == 0
                        ? options_.initial_backoff
                        : std::min(state.backoff * 2, options_.max_backoff);
    state.retry_at = now + state.backoff;
}

} // namespace walnutmill

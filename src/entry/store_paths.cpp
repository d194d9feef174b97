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

bool store_paths::direct_works(time_point now) const
{
    auto const found = health_.find(std::string());
    return found == health_.end() || found->second.rests_until <= now;
}

std::optional<std::string> store_paths::resting_free_relay(time_point now)
{
    // A few draws find a free relay unless nearly all rest.
    constexpr int draws = 4;
    for (int i = 0; i < draws && !relays_.empty(); ++i)
    {
        auto const at = std::min(
            relays_.size() - 1,
            static_cast<std::size_t>(
                random_() * static_cast<double>(relays_.size())));
        auto const found = health_.find(relays_[at]);
        if (found == health_.end() || found->second.rests_until <= now)
            return relays_[at];
    }
    return std::nullopt;
}

store_path store_paths::choose(time_point now)
{
    if (direct_works(now))
        return {};
    if (auto relay = resting_free_relay(now))
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
    if (state.rests_until > now)
        return;
    state.rest = state.rest.count() == 0
                     ? options_.first_rest
                     : std::min(state.rest * 2, options_.longest_rest);
    state.rests_until = now + state.rest;
}

} // namespace walnutmill

#include "entry/program_home.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

/// Number of nodes in a cached ranking. All of them are rarely skipped at once;
/// in that case all nodes are ranked again.
constexpr std::size_t cached_ranking_length = 4;
/// Number of keys with a cached ranking: the partitions of the store and the
/// duties that a single node performs.
constexpr std::size_t max_cached_rankings = 256;
/// Lower capacity weights are raised to this value.
constexpr double min_capacity_weight = 0.001;

} // namespace

program_homes::program_homes(std::string self, home_options options)
    : self_(std::move(self)), options_(options), self_seed_(stable_hash(self_))
{
}

double program_homes::hash_weight(double capacity_weight) const
{
    return std::pow(
        std::max(capacity_weight, min_capacity_weight),
        options_.strength_power);
}

/// \return a negative score; the node with the highest score ranks first.
double program_homes::score(
    std::string_view key, std::uint64_t seed, double weight) const
{
    // Maps the upper 53 bits of the hash to a uniform number between 0 and 1,
    // both excluded.
    constexpr unsigned dropped_bits = 11;
    constexpr double scale = 0x1p-53;
    auto const bits =
        static_cast<double>(rendezvous_weight(key, seed) >> dropped_bits);
    return std::log((bits + 0.5) * scale) / weight;
}

void program_homes::set_nodes(std::vector<home_candidate> others)
{
    others_ = std::move(others);
    knows_nodes_ = true;
    seeds_.clear();
    weights_.clear();
    rankings_.clear();
    for (auto const& one : others_)
    {
        seeds_.push_back(stable_hash(one.node));
        weights_.push_back(hash_weight(one.capacity_weight));
    }
}

program_homes::ranking
program_homes::rank(std::string_view key, std::size_t limit) const
{
    std::vector<std::pair<double, std::uint32_t>> higher_ranked;
    auto const own = score(key, self_seed_, hash_weight(options_.own_strength));
    for (std::uint32_t i = 0; i < others_.size(); ++i)
    {
        auto const one = score(key, seeds_[i], weights_[i]);
        if (self_.empty() || one > own)
            higher_ranked.emplace_back(one, i);
    }
    auto const kept = std::min(limit, higher_ranked.size());
    std::partial_sort(
        higher_ranked.begin(),
        higher_ranked.begin() + static_cast<std::ptrdiff_t>(kept),
        higher_ranked.end(),
        [](auto const& a, auto const& b) { return a > b; });
    ranking result;
    result.truncated = kept < higher_ranked.size();
    for (std::size_t i = 0; i < kept; ++i)
        result.nodes.push_back(higher_ranked[i].second);
    return result;
}

home_candidate const*
program_homes::first_available(ranking const& order, time_point now) const
{
    for (auto const at : order.nodes)
    {
        auto const found = unresponsive_until_.find(others_[at].node);
        if (found == unresponsive_until_.end() || found->second <= now)
            return &others_[at];
    }
    return nullptr;
}

program_homes::ranking const&
program_homes::cached_ranking(std::string_view key) const
{
    auto found = rankings_.find(std::string(key));
    if (found == rankings_.end())
    {
        if (rankings_.size() >= max_cached_rankings)
            rankings_.clear();
        found = rankings_
                    .emplace(std::string(key), rank(key, cached_ranking_length))
                    .first;
    }
    return found->second;
}

home_candidate const*
program_homes::home_of(std::string_view key, time_point now) const
{
    auto const& order = cached_ranking(key);
    auto const* first = first_available(order, now);
    if (first != nullptr || !order.truncated)
        return first;
    return first_available(rank(key, others_.size()), now);
}

bool program_homes::is_first(std::string_view key) const
{
    return cached_ranking(key).nodes.empty();
}

void program_homes::did_not_answer(std::string const& node, time_point now)
{
    unresponsive_until_[node] = now + options_.passed_over_for;
}

void program_homes::answered(std::string const& node)
{
    unresponsive_until_.erase(node);
}

} // namespace walnutmill

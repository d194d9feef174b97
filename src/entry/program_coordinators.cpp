#include "entry/program_coordinators.hpp"

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

program_coordinators::program_coordinators(
    std::string self, coordinator_options options)
    : self_(std::move(self)), options_(options), self_seed_(stable_hash(self_))
{
}

double program_coordinators::hash_weight(double capacity_weight) const
{
    return std::pow(
        std::max(capacity_weight, min_capacity_weight),
        options_.capacity_exponent);
}

/// \return a negative score; the node with the highest score ranks first.
double program_coordinators::score(
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

double program_coordinators::own_score(std::string_view key) const
{
    return score(key, self_seed_, hash_weight(options_.own_capacity_weight));
}

void program_coordinators::set_nodes(std::vector<coordinator_candidate> others)
{
    others_ = std::move(others);
    knows_nodes_ = true;
    seeds_.clear();
    weights_.clear();
    rankings_.clear();
    names_.clear();
    for (auto const& one : others_)
    {
        names_.insert(one.node);
        seeds_.push_back(stable_hash(one.node));
        weights_.push_back(hash_weight(one.capacity_weight));
    }
}

program_coordinators::ranking
program_coordinators::rank(std::string_view key, std::size_t limit) const
{
    std::vector<std::pair<double, std::uint32_t>> higher_ranked;
    auto const own = own_score(key);
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

coordinator_candidate const* program_coordinators::first_available(
    ranking const& order, time_point now) const
{
    for (auto const at : order.nodes)
    {
        if (!is_skipped(others_[at].node, now))
            return &others_[at];
    }
    return nullptr;
}

bool program_coordinators::is_skipped(
    std::string const& node, time_point now) const
{
    auto const found = unresponsive_until_.find(node);
    return found != unresponsive_until_.end() && found->second > now;
}

program_coordinators::ranking const&
program_coordinators::cached_ranking(std::string_view key) const
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

coordinator_candidate const*
program_coordinators::coordinator_of(std::string_view key, time_point now) const
{
    auto const& order = cached_ranking(key);
    auto const* first = first_available(order, now);
    if (first != nullptr || !order.truncated)
        return first;
    return first_available(rank(key, others_.size()), now);
}

coordinator_candidate const*
program_coordinators::next_below(std::string_view key, time_point now) const
{
    auto const own = own_score(key);
    coordinator_candidate const* next = nullptr;
    double next_score = 0;
    for (std::size_t i = 0; i < others_.size(); ++i)
    {
        auto const one = score(key, seeds_[i], weights_[i]);
        if (one > own || (next != nullptr && one <= next_score) ||
            is_skipped(others_[i].node, now))
            continue;
        next = &others_[i];
        next_score = one;
    }
    return next;
}

std::size_t program_coordinators::nodes_above(std::string_view key) const
{
    return cached_ranking(key).nodes.size();
}

bool program_coordinators::ranks_above(
    std::string_view node, std::string_view key) const
{
    auto const& above = cached_ranking(key).nodes;
    return std::any_of(
        above.begin(), above.end(),
        [&](std::uint32_t at) { return others_[at].node == node; });
}

bool program_coordinators::knows(std::string const& node) const
{
    return names_.count(node) > 0;
}

bool program_coordinators::is_top_ranked(std::string_view key) const
{
    return cached_ranking(key).nodes.empty();
}

void program_coordinators::mark_unresponsive(
    std::string const& node, time_point now)
{
    unresponsive_until_[node] = now + options_.unresponsive_skip_time;
}

void program_coordinators::answered(std::string const& node)
{
    unresponsive_until_.erase(node);
}

} // namespace walnutmill

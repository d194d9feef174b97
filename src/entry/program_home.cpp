#include "entry/program_home.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

/// Nodes kept in the order of a key: the chance that all are passed over at
/// once is small, and then all nodes are looked at.
constexpr std::size_t ranked_nodes = 4;
/// Keys whose order is kept: the store's partitions and single duties.
constexpr std::size_t most_rankings = 256;
/// Below this a strength counts as this.
constexpr double least_strength = 0.001;

} // namespace

program_homes::program_homes(std::string self, home_options options)
    : self_(std::move(self)), options_(options), self_seed_(stable_hash(self_))
{
}

double program_homes::weight_of(double strength) const
{
    return std::pow(
        std::max(strength, least_strength), options_.strength_power);
}

/// \return the higher, the earlier; below zero.
double program_homes::score(
    std::string_view key, std::uint64_t seed, double weight) const
{
    // A uniform number above 0 and below 1 from the hash's upper 53 bits.
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
        weights_.push_back(weight_of(one.strength));
    }
}

program_homes::ranking
program_homes::rank(std::string_view key, std::size_t most) const
{
    std::vector<std::pair<double, std::uint32_t>> above;
    auto const own = score(key, self_seed_, weight_of(options_.own_strength));
    for (std::uint32_t i = 0; i < others_.size(); ++i)
    {
        auto const one = score(key, seeds_[i], weights_[i]);
        if (self_.empty() || one > own)
            above.emplace_back(one, i);
    }
    auto const kept = std::min(most, above.size());
    std::partial_sort(
        above.begin(), above.begin() + static_cast<std::ptrdiff_t>(kept),
        above.end(), [](auto const& a, auto const& b) { return a > b; });
    ranking to;
    to.more = kept < above.size();
    for (std::size_t i = 0; i < kept; ++i)
        to.first.push_back(above[i].second);
    return to;
}

home_candidate const*
program_homes::first_present(ranking const& order, time_point now) const
{
    for (auto const at : order.first)
    {
        auto const found = passed_over_until_.find(others_[at].node);
        if (found == passed_over_until_.end() || found->second <= now)
            return &others_[at];
    }
    return nullptr;
}

program_homes::ranking const&
program_homes::ranking_of(std::string_view key) const
{
    auto found = rankings_.find(std::string(key));
    if (found == rankings_.end())
    {
        if (rankings_.size() >= most_rankings)
            rankings_.clear();
        found =
            rankings_.emplace(std::string(key), rank(key, ranked_nodes)).first;
    }
    return found->second;
}

home_candidate const*
program_homes::home_of(std::string_view key, time_point now) const
{
    auto const& order = ranking_of(key);
    auto const* first = first_present(order, now);
    if (first != nullptr || !order.more)
        return first;
    return first_present(rank(key, others_.size()), now);
}

bool program_homes::is_first(std::string_view key) const
{
    return ranking_of(key).first.empty();
}

void program_homes::did_not_answer(std::string const& node, time_point now)
{
    passed_over_until_[node] = now + options_.passed_over_for;
}

void program_homes::answered(std::string const& node)
{
    passed_over_until_.erase(node);
}

} // namespace walnutmill

#ifndef WALNUTMILL_SRC_ENTRY_PROGRAM_HOME_HPP
#define WALNUTMILL_SRC_ENTRY_PROGRAM_HOME_HPP

/// \file
/// Which node has a duty for all others, such as keeping a program's account
/// in its memory: the home of the store's partition that the account lies in.
///
/// Load pattern: a program's turns, tool calls and sub-agents come through
/// two nodes on average, some through all of them. Without a home each node
/// reserves and settles for itself, more writes than the store takes at 80
/// nodes. Nodes differ in processor share by a factor of four and more: with
/// equal weights most duties fall to the weakest.
///
/// Weighted rendezvous hashing (Schindelhauer and Schomaker 2005). Each node
/// chooses from those it knows, and the choice is never needed for safety: the
/// account in the store decides, and two nodes that take themselves for the
/// home both reserve there.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

struct home_candidate
{
    std::string node;
    /// IP:PORT for other nodes.
    std::string address;
    /// Processor share, in cores.
    double strength = 1;
};

struct home_options
{
    /// How long a home that did not answer is passed over: a frozen or cut
    /// node costs each program one wait in that time.
    duration passed_over_for = std::chrono::seconds(2);
    /// Processor share of this node, in cores.
    double own_strength = 1;
    /// Weight of a node is its strength to this power: 1 spreads many duties
    /// in proportion, a higher one keeps a single duty off weak nodes.
    double strength_power = 1;
};

/// Strength power for a duty that a single node performs.
constexpr double single_duty_power = 4;

class program_homes
{
public:
    /// \param self empty: this node is never the home
    explicit program_homes(std::string self, home_options options = {});

    /// \param others the other nodes
    void set_nodes(std::vector<home_candidate> others);
    /// \return false until the other nodes were told: until then this node
    /// takes itself for the home of all.
    bool knows_nodes() const { return knows_nodes_; }

    /// \param key of what has a home: a partition of the store, say
    /// \return the node that is its home; null: this one.
    home_candidate const* home_of(std::string_view key, time_point now) const;

    /// \return true where no other node goes before this one, whether or not
    /// it answers.
    bool is_first(std::string_view key) const;

    void did_not_answer(std::string const& node, time_point now);
    void answered(std::string const& node);

private:
    /// Nodes that go before this one for a key, the first ones.
    struct ranking
    {
        std::vector<std::uint32_t> first;
        bool more = false;
    };

    double score(std::string_view key, std::uint64_t seed, double weight) const;
    double weight_of(double strength) const;
    ranking rank(std::string_view key, std::size_t most) const;
    home_candidate const*
    first_present(ranking const& order, time_point now) const;
    ranking const& ranking_of(std::string_view key) const;

    std::string self_;
    home_options options_;
    std::uint64_t self_seed_;
    std::vector<home_candidate> others_;
    /// By index of the node: hash of its name, and its weight.
    std::vector<std::uint64_t> seeds_;
    std::vector<double> weights_;
    bool knows_nodes_ = false;
    std::unordered_map<std::string, time_point> passed_over_until_;
    mutable std::unordered_map<std::string, ranking> rankings_;
};

} // namespace walnutmill

#endif

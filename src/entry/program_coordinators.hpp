#ifndef WALNUTMILL_SRC_ENTRY_PROGRAM_COORDINATORS_HPP
#define WALNUTMILL_SRC_ENTRY_PROGRAM_COORDINATORS_HPP

/// \file
/// Selects the coordinator of a key: the one node that performs a duty for all
/// others, such as keeping the account of a program in memory. The key of an
/// account is the store partition that it lies in.
///
/// Load: the turns, tool calls and sub-agents of a program arrive through two
/// nodes on average, in some cases through all of them. Without a coordinator
/// each node reserves and settles on its own, which at 80 nodes takes more
/// writes than the store can handle. The processor shares of nodes differ by a
/// factor of four and more. With equal weights most duties are assigned to the
/// weakest nodes.
///
/// Uses weighted rendezvous hashing (Schindelhauer and Schomaker 2005). Each
/// node selects from the nodes it knows. Safety never depends on the selection:
/// the account in the store is authoritative, and two nodes that both select
/// themselves both reserve there.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace walnutmill
{

/// A node that can be selected as coordinator.
struct coordinator_candidate
{
    std::string node;
    /// IP:PORT at which other nodes reach it.
    std::string address;
    /// Processor share, in cores.
    double capacity_weight = 1;
};

struct coordinator_options
{
    /// How long a coordinator that did not answer is skipped. A frozen or
    /// partitioned node costs each program one timeout in that time.
    duration unresponsive_skip_time = std::chrono::seconds(2);
    /// Processor share of this node, in cores.
    double own_capacity_weight = 1;
    /// The hash weight of a node is its capacity weight raised to this power.
    /// 1 distributes many duties in proportion to capacity; a higher value
    /// keeps a single duty off weak nodes.
    double capacity_exponent = 1;
};

/// Exponent of the capacity weight for a duty that a single node performs.
constexpr double single_duty_exponent = 4;

/// Selects coordinators among this node and the other nodes it knows.
class program_coordinators
{
public:
    /// \param self name of this node; empty if it is never the coordinator
    explicit program_coordinators(
        std::string self, coordinator_options options = {});

    /// Replaces the list of the other nodes.
    void set_nodes(std::vector<coordinator_candidate> others);
    /// \return false until \c set_nodes was called. Until then this node
    /// selects itself for all keys.
    bool knows_nodes() const { return knows_nodes_; }

    /// \param key identifies the duty, for example a partition of the store
    /// \return the coordinator of the key; null if it is this node.
    coordinator_candidate const*
    coordinator_of(std::string_view key, time_point now) const;

    /// \return the highest-ranked node that ranks below this one for the key
    /// and is not skipped; null if there is none.
    coordinator_candidate const*
    next_below(std::string_view key, time_point now) const;

    /// \return the number of nodes that rank above this one for the key,
    /// including those that are skipped, up to a few.
    std::size_t nodes_above(std::string_view key) const;
    /// \return true if the node is one of the few highest-ranked for the key,
    /// and ranks above this one.
    bool ranks_above(std::string_view node, std::string_view key) const;

    /// \return true if the node is among the others.
    bool knows(std::string const& node) const;

    /// \return true if this node ranks first for the key among all nodes,
    /// including those that are skipped.
    bool is_top_ranked(std::string_view key) const;

    /// Skips the node for \c unresponsive_skip_time.
    void mark_unresponsive(std::string const& node, time_point now);
    /// Stops skipping the node.
    void answered(std::string const& node);

private:
    /// The highest-ranked of the nodes that rank above this one for a key, as
    /// indices into \c others_.
    struct ranking
    {
        std::vector<std::uint32_t> nodes;
        /// More nodes rank above this one than are listed.
        bool truncated = false;
    };

    double score(std::string_view key, std::uint64_t seed, double weight) const;
    double own_score(std::string_view key) const;
    bool is_skipped(std::string const& node, time_point now) const;
    double hash_weight(double capacity_weight) const;
    ranking rank(std::string_view key, std::size_t limit) const;
    coordinator_candidate const*
    first_available(ranking const& order, time_point now) const;
    ranking const& cached_ranking(std::string_view key) const;

    std::string self_;
    coordinator_options options_;
    std::uint64_t self_seed_;
    std::vector<coordinator_candidate> others_;
    /// Hash of the name and hash weight of each node in \c others_.
    std::vector<std::uint64_t> seeds_;
    std::vector<double> weights_;
    std::unordered_set<std::string> names_;
    bool knows_nodes_ = false;
    std::unordered_map<std::string, time_point> unresponsive_until_;
    mutable std::unordered_map<std::string, ranking> rankings_;
};

} // namespace walnutmill

#endif

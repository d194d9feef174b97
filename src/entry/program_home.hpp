#ifndef WALNUTMILL_SRC_ENTRY_PROGRAM_HOME_HPP
#define WALNUTMILL_SRC_ENTRY_PROGRAM_HOME_HPP

/// \file
/// Which node keeps a program's account in its memory: the home of the
/// store's partition that the account lies in.
///
/// Load pattern: a program's turns, tool calls and sub-agents come through
/// two nodes on average, some through all of them. Without a home each node
/// reserves and settles for itself: 4.5 writes a program were measured at 13
/// nodes, more than the store takes at 80, against two with a home.
///
/// The home is chosen anew by each node from those it knows, and is never
/// needed for safety: the account in the store decides, and two nodes that
/// take themselves for the home both reserve there.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

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
};

struct home_options
{
    /// How long a home that did not answer is passed over: a frozen or cut
    /// node costs each program one wait in that time.
    duration passed_over_for = std::chrono::seconds(2);
};

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

    void did_not_answer(std::string const& node, time_point now);
    void answered(std::string const& node);

private:
    std::string self_;
    home_options options_;
    std::vector<home_candidate> others_;
    bool knows_nodes_ = false;
    std::unordered_map<std::string, time_point> passed_over_until_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_MEMBER_TABLE_HPP
#define WALNUTMILL_SRC_MEMBER_TABLE_HPP

/// \file
/// What one node knows of all nodes, and how it is merged. For each node the
/// highest incarnation counts, within it the highest counter; fences only
/// ever grow. So merging is commutative, associative and idempotent.

#include "gossip_codec.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace walnutmill
{
namespace detail
{

struct member_entry
{
    member_info info;
    /// When the counter last advanced, by this node's clock.
    time_point changed;
    /// Round in which its beat was last sent.
    std::uint64_t sent_round = 0;
    /// Messages that are still to carry the beat since it changed.
    unsigned beats_left = 0;
    /// Messages that are still to carry the whole entry.
    unsigned news_left = 0;
};

/// A beat that changed is put into this many messages by each node that
/// hears of it. Four reach about 98 of 100 nodes (z = 1 - exp(-4 z)); the
/// next change, or room left in messages, reaches the others.
constexpr unsigned beat_repeats = 4;

struct fence_entry
{
    time_point since;
    /// Messages that are still to carry it.
    unsigned news_left = 0;
};

member_key key_of(session_id const& session);
beat beat_of(member_info const& info);

class member_table
{
public:
    member_table(member_info self, duration forget_after);

    member_entry& own() { return entries_.at(self_); }
    void update_own(member_update const& update);
    /// Merges what another node says of itself or of a third one.
    void merge(member_info const& info, time_point now);
    /// Merges what is known from elsewhere, where others can read it too: it
    /// is no news to pass on.
    void seed(member_info const& info, time_point now);
    /// \return false when no such session is known.
    bool merge(beat const& one, time_point now);
    void fence(session_id const& session, time_point now);
    bool is_fenced(session_id const& session) const;
    /// Drops members that stood still and fences that are old.
    void forget_old(time_point now);

    /// \return nullptr when there is none.
    member_info const* find(member_key key) const;
    std::size_t size() const { return entries_.size(); }
    /// \return the entries of all members that are not fenced, by name; the
    /// first is not always this node.
    std::vector<member_entry*> live();
    std::vector<member_entry const*> live() const;
    std::map<session_id, fence_entry>& fences() { return fences_; }
    bool is_self(member_entry const& entry) const
    {
        return entry.info.node == self_;
    }

private:
    /// A member that stood still for too long. It is taken back only when
    /// its counter advances, or old messages would bring it back for ever.
    struct forgotten_entry
    {
        std::uint64_t counter = 0;
        time_point since;
    };

    bool replaces(member_info const& info) const;
    member_entry& put(member_info info, time_point now);
    void forget(member_entry const& entry, time_point now);
    unsigned news_messages() const;

    node_name self_;
    member_key own_key_;
    duration forget_after_;
    std::map<node_name, member_entry> entries_;
    std::unordered_map<member_key, node_name> by_key_;
    std::map<session_id, fence_entry> fences_;
    std::map<session_id, forgotten_entry> forgotten_;
};

} // namespace detail
} // namespace walnutmill

#endif

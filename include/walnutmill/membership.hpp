#ifndef WALNUTMILL_MEMBERSHIP_HPP
#define WALNUTMILL_MEMBERSHIP_HPP

/// \file
/// Which nodes there are, by gossip with a fixed fan-out. A pure state
/// machine: time and messages are passed in and out.
///
/// What a node knows is merged entry by entry; merging is commutative,
/// associative and idempotent, so messages may come late, twice or in any
/// order. Ownership never rests on it: it tells where to send a request and
/// whom to suspect, and the table decides.
///
/// A message is bounded, whatever the number of members. It carries *beats*
/// (what changes all the time) of the members sent least recently, and whole
/// entries only of members that are new or that the receiver asked for. A
/// new version of the configuration is passed on at once, not at the next
/// round.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/random.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// How loaded a node is.
struct load_digest
{
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t programs = 0;
};

/// One node as it describes itself.
struct member_info
{
    node_name node;
    session_id session;
    /// Of the node; a higher one replaces lower ones.
    std::uint64_t incarnation = 0;
    std::string http_address;
    std::string peer_address;
    zone_name zone;
    /// The session's counter; it stands still when the node does.
    std::uint64_t counter = 0;
    /// Version of the configuration that the node has in force.
    std::uint64_t configuration = 0;
    load_digest load;
    /// Takes no new programs; set by a planned stop.
    bool leaving = false;
};

/// What a member changes of itself from time to time.
struct member_update
{
    std::uint64_t counter = 0;
    std::uint64_t configuration = 0;
    load_digest load;
    bool leaving = false;
};

struct membership_options
{
    /// Members that get a message in a round.
    std::size_t fan_out = 2;
    /// Bound of a round's message. With rounds every 500 ms, two messages
    /// and 60 bytes of frame around each, a node sends less than 3 KB/s.
    std::size_t max_message_bytes = 640;
    /// Bound of the answer to a node that asked for whole entries.
    std::size_t max_answer_bytes = 8'192;
    /// A member that stood still for this long is forgotten, and so is a
    /// fence: long after its session could still be heard of.
    duration forget_after = std::chrono::minutes(10);
};

/// Bytes to send as a note to the node at an address.
struct gossip_message
{
    std::string address;
    std::string bytes;
};

/// Not thread-safe.
class membership
{
public:
    /// \param self this node; its session must differ from earlier ones
    /// \param random draws the members that get a message
    membership(
        membership_options options, member_info const& self, random_fn random);
    ~membership();
    membership(membership const&) = delete;
    membership& operator=(membership const&) = delete;

    void update_self(member_update const& update);
    /// Takes members from elsewhere, for example the table's session rows.
    /// They are not passed on, as others can read them too.
    void seed(std::vector<member_info> const& known, time_point now);
    /// Addresses that may be nodes; one of them gets a message in each round
    /// while fewer members than addresses are known.
    void seed_addresses(std::vector<std::string> addresses);
    /// Learns that a session was fenced in the table. It never comes back.
    void mark_fenced(session_id const& session, time_point now);
    /// Learns of a version of the configuration.
    /// \return messages that pass it on, if it is new.
    std::vector<gossip_message> note_head(std::uint64_t version);

    /// One round of gossip.
    std::vector<gossip_message> tick(time_point now);
    /// Takes a message; what cannot be read is ignored.
    /// \return answers and news to pass on.
    std::vector<gossip_message> receive(std::string_view bytes, time_point now);

    /// \return all members but fenced ones, this node among them, by name.
    std::vector<member_info> members() const;
    /// \return sessions whose counter stood still here for the whole lease.
    /// A hint only, and coarser the more members there are: a beat's gap was
    /// at most 4 s among 13 members and 51 s among 390 (walnutmill-slopes),
    /// and a shorter lease suspects members that live.
    std::vector<session_id> stale(time_point now, duration lease) const;
    bool is_fenced(session_id const& session) const;
    /// \return the highest version of the configuration heard of.
    std::uint64_t head_version() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif

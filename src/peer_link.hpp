#ifndef WALNUTMILL_SRC_PEER_LINK_HPP
#define WALNUTMILL_SRC_PEER_LINK_HPP

/// \file
/// What a hub knows of one link and of the requests on it.

#include "peer_auth.hpp"
#include "peer_frame.hpp"
#include "peer_sockets.hpp"

#include <walnutmill/clock.hpp>
#include <walnutmill/peer_hub.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace walnutmill
{
namespace detail
{

/// A request of this node that waits for its reply.
struct asked_request
{
    link_id link = 0;
    /// Handed to the link.
    bool sent = false;
    peer_hub::event_fn event;
    peer_hub::reply_fn reply;
};

/// Set when the asker of a request has gone or has cancelled.
using gone_flag = std::shared_ptr<std::atomic<bool>>;

struct peer_link
{
    peer_link(link_id number, peer_handshake proof)
        : id(number), handshake(std::move(proof))
    {
    }

    link_id id;
    /// Empty where the other end dialled.
    std::string address;
    peer_handshake handshake;
    /// Both ends have proved themselves; the seals are valid.
    bool up = false;
    frame_seal outgoing{""};
    frame_seal incoming{""};
    /// When the link was begun, something was heard of the peer, or the link
    /// became busy after having been idle.
    time_point last_heard;
    time_point last_used;
    /// Frames that wait for the link to be up.
    std::deque<peer_frame> waiting;
    std::size_t waiting_bytes = 0;
    /// Requests asked on this link and not ended.
    std::size_t asked = 0;
    /// Requests of the peer that are under way, by its numbers.
    std::map<std::uint64_t, gone_flag> taken;

    bool busy() const { return asked != 0 || !taken.empty() || !up; }
};

/// When an address may be dialled again.
struct dial_backoff
{
    time_point next;
    duration wait{0};
};

} // namespace detail
} // namespace walnutmill

#endif

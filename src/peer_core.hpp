#ifndef WALNUTMILL_SRC_PEER_CORE_HPP
#define WALNUTMILL_SRC_PEER_CORE_HPP

/// \file
/// The hub's logic. All members but those marked run on the hub's thread.

#include "peer_link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace walnutmill
{
namespace detail
{

class peer_core
{
public:
    peer_core(peer_hub_options options, peer_sockets& sockets, clock_fn clock);

    std::map<std::string, peer_hub::request_handler> request_handlers_;
    std::map<std::string, peer_hub::note_handler> note_handlers_;
    /// Makes the responder of a request taken; set by the hub.
    std::function<peer_responder(link_id, std::uint64_t, gone_flag)>
        make_responder_;

    /// Address that peers must have dialled; empty: any.
    void set_own_address(std::string address);

    void
    ask(std::string const& address, peer_frame frame, peer_hub::event_fn event,
        peer_hub::reply_fn reply);
    void cancel(std::uint64_t request);
    void note(std::string const& address, peer_frame frame);
    /// Sends an event or the end of a request that a peer asked.
    void answer(link_id link, peer_frame frame);

    void opened(link_id id, bool dialled);
    void message(link_id id, std::string_view bytes);
    void pong(link_id id);
    void closed(link_id id);
    /// Pings busy links, ends silent and idle ones.
    void tick();
    /// Ends every link and request; further ones are refused.
    void end_all();

private:
    peer_link* find(link_id id);
    peer_link* link_to(std::string const& address);
    peer_link* dial(std::string const& address);
    void schedule_redial(std::string const& address);
    duration redial_wait(std::string const& address) const;
    bool queue_or_send(peer_link& link, peer_frame frame);
    bool transmit(peer_link& link, peer_frame const& frame);
    void flush(peer_link& link);
    void prove(peer_link& link, std::string_view bytes);
    void raise(peer_link& link);
    void dispatch(peer_link& link, peer_frame frame);
    void take_request(peer_link& link, peer_frame frame);
    void take_answer(peer_link const& link, peer_frame frame);
    void take_cancel(peer_link& link, peer_frame const& frame);
    void refuse(peer_link& link, std::uint64_t request, refusal error);
    void watch(peer_link& link);
    void forget_old_backoffs();
    void drop(link_id id, std::string const& reason);
    void forget(link_id id, std::string const& reason);
    void finish(std::uint64_t request, result<std::string> reply);
    void touch(peer_link& link) const;

    peer_hub_options options_;
    peer_sockets& sockets_;
    clock_fn clock_;
    std::string own_address_;
    std::map<link_id, std::unique_ptr<peer_link>> links_;
    std::unordered_map<std::string, link_id> by_address_;
    std::unordered_map<std::string, dial_backoff> backoffs_;
    std::map<std::uint64_t, asked_request> asked_;
    std::size_t unproved_ = 0;
    bool stopping_ = false;
    time_point last_tick_;
    std::minstd_rand random_{std::random_device()()};
};

} // namespace detail
} // namespace walnutmill

#endif

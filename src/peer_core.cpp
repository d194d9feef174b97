#include "peer_core.hpp"

#include "peer_refusal.hpp"

#include <walnutmill/logging.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace walnutmill
{
namespace detail
{
namespace
{

constexpr duration first_redial_wait = std::chrono::milliseconds(100);
constexpr duration longest_redial_wait = std::chrono::seconds(5);
/// A wait that is over for this long says nothing about the peer any more.
constexpr duration backoff_kept = std::chrono::minutes(1);
/// Links that others opened and have not proved; more are ended at once.
constexpr std::size_t max_unproved_links = 256;
/// A tick later than this many intervals means that this process itself
/// stood still, so that a peer's silence proves nothing.
constexpr int late_tick_intervals = 3;
/// The end that took a link waits longer for it to be ended as idle.
constexpr int idle_factor_of_taker = 2;

} // namespace

peer_core::peer_core(
    peer_hub_options options, peer_sockets& sockets, clock_fn clock)
    : options_(std::move(options)), sockets_(sockets), clock_(std::move(clock)),
      last_tick_(clock_())
{
}

void peer_core::set_own_address(std::string address)
{
    own_address_ = std::move(address);
}

void peer_core::opened(link_id id, bool dialled)
{
    if (dialled)
    {
        auto* const link = find(id);
        if (link != nullptr)
            sockets_.send(id, link->handshake.hello());
        return;
    }
    if (unproved_ >= max_unproved_links)
    {
        sockets_.close(id);
        return;
    }
    ++unproved_;
    auto link = std::make_unique<peer_link>(
        id, peer_handshake::server(options_.key, own_address_));
    link->last_heard = clock_();
    link->last_used = link->last_heard;
    links_.emplace(id, std::move(link));
}

void peer_core::message(link_id id, std::string_view bytes)
{
    auto* const link = find(id);
    if (link == nullptr)
        return;
    link->last_heard = clock_();
    if (!link->up)
    {
        prove(*link, bytes);
        return;
    }
    auto const body = link->incoming.open(bytes);
    if (!body)
    {
        drop(id, "frame is not the next one that the peer sealed");
        return;
    }
    // A frame of a kind unknown here comes from a later version.
    auto frame = decode_frame(*body);
    if (frame)
        dispatch(*link, std::move(*frame));
}

void peer_core::pong(link_id id)
{
    auto* const link = find(id);
    if (link != nullptr)
        link->last_heard = clock_();
}

void peer_core::closed(link_id id)
{
    forget(id, "link ended");
}

void peer_core::tick()
{
    auto const now = clock_();
    bool const stood_still =
        now - last_tick_ > late_tick_intervals * options_.ping_interval;
    last_tick_ = now;
    std::vector<link_id> ids;
    for (auto const& one : links_)
        ids.push_back(one.first);
    for (auto const id : ids)
    {
        auto* const link = find(id);
        if (link == nullptr)
            continue;
        if (stood_still)
            link->last_heard = now;
        watch(*link);
    }
    forget_old_backoffs();
}

void peer_core::end_all()
{
    stopping_ = true;
    while (!links_.empty())
    {
        auto const id = links_.begin()->first;
        sockets_.close(id);
        forget(id, "this node is stopping");
    }
}

peer_link* peer_core::find(link_id id)
{
    auto const at = links_.find(id);
    return at == links_.end() ? nullptr : at->second.get();
}

peer_link* peer_core::link_to(std::string const& address)
{
    auto const at = by_address_.find(address);
    if (at != by_address_.end())
        return find(at->second);
    if (stopping_ || redial_wait(address) > duration::zero())
        return nullptr;
    return dial(address);
}

peer_link* peer_core::dial(std::string const& address)
{
    auto const id = sockets_.dial(address);
    if (id == 0)
        return nullptr;
    auto link = std::make_unique<peer_link>(
        id, peer_handshake::client(options_.key, address));
    link->address = address;
    link->last_heard = clock_();
    link->last_used = link->last_heard;
    by_address_[address] = id;
    return links_.emplace(id, std::move(link)).first->second.get();
}

void peer_core::schedule_redial(std::string const& address)
{
    auto& backoff = backoffs_[address];
    backoff.wait =
        std::clamp(2 * backoff.wait, first_redial_wait, longest_redial_wait);
    // Half of the wait at random, so that nodes do not dial in step.
    auto const half = backoff.wait.count() / 2;
    std::uniform_int_distribution<duration::rep> spread(0, half);
    backoff.next = clock_() + duration(half + spread(random_));
}

duration peer_core::redial_wait(std::string const& address) const
{
    auto const at = backoffs_.find(address);
    if (at == backoffs_.end())
        return duration::zero();
    return std::max(at->second.next - clock_(), duration::zero());
}

void peer_core::forget_old_backoffs()
{
    auto const now = clock_();
    for (auto at = backoffs_.begin(); at != backoffs_.end();)
    {
        if (now - at->second.next > backoff_kept)
            at = backoffs_.erase(at);
        else
            ++at;
    }
}

void peer_core::prove(peer_link& link, std::string_view bytes)
{
    auto const answer = link.handshake.take(bytes);
    if (link.handshake.state() == handshake_state::failed)
    {
        drop(link.id, "handshake: " + link.handshake.reason());
        return;
    }
    if (answer)
        sockets_.send(link.id, *answer);
    if (link.handshake.state() == handshake_state::proved)
        raise(link);
}

void peer_core::raise(peer_link& link)
{
    link.up = true;
    link.outgoing = link.handshake.outgoing();
    link.incoming = link.handshake.incoming();
    sockets_.set_max_message_bytes(
        link.id, options_.max_frame_bytes + max_frame_header_bytes +
                     frame_seal::overhead);
    if (link.address.empty())
        --unproved_;
    else
        backoffs_.erase(link.address);
    flush(link);
}

void peer_core::watch(peer_link& link)
{
    auto const now = clock_();
    if (link.busy())
    {
        if (now - link.last_heard > options_.silence_limit)
            drop(link.id, "peer is silent");
        else if (link.up)
            sockets_.ping(link.id);
        return;
    }
    int const factor = link.address.empty() ? idle_factor_of_taker : 1;
    if (now - link.last_used > factor * options_.idle_limit)
    {
        sockets_.close(link.id);
        forget(link.id, "link was idle");
    }
}

void peer_core::drop(link_id id, std::string const& reason)
{
    auto const* const link = find(id);
    if (link != nullptr)
        write_log(
            severity::warning, "peer", "link dropped",
            {{"reason", reason}, {"address", link->address}});
    sockets_.close(id);
    forget(id, reason);
}

void peer_core::forget(link_id id, std::string const& reason)
{
    auto const at = links_.find(id);
    if (at == links_.end())
        return;
    auto const link = std::move(at->second);
    links_.erase(at);
    if (!link->address.empty())
        by_address_.erase(link->address);
    if (!link->up && link->address.empty())
        --unproved_;
    if (!link->up && !link->address.empty())
        schedule_redial(link->address);
    for (auto const& one : link->taken)
        *one.second = true;
    std::vector<std::uint64_t> broken;
    for (auto const& one : asked_)
        if (one.second.link == id)
            broken.push_back(one.first);
    for (auto const request : broken)
    {
        auto const found = asked_.find(request);
        auto const ran = found->second.sent ? certainty::outcome_unknown
                                            : certainty::not_run;
        finish(request, make_refusal(errc::unavailable, ran, reason));
    }
}

} // namespace detail
} // namespace walnutmill

#include "peer_core.hpp"

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

refusal make_refusal(errc code, certainty ran, std::string message)
{
    refusal made;
    made.code = code;
    made.ran = ran;
    made.message = std::move(message);
    return made;
}

refusal overloaded_link()
{
    auto made = make_refusal(
        errc::overloaded, certainty::not_run,
        "too much is waiting for the peer");
    made.retry_after = std::chrono::milliseconds(100);
    return made;
}

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

void peer_core::ask(
    std::string const& address, peer_frame frame, peer_hub::event_fn event,
    peer_hub::reply_fn reply)
{
    if (frame.body.size() > options_.max_frame_bytes)
    {
        reply(make_refusal(
            errc::too_large, certainty::not_run, "body is over the bound"));
        return;
    }
    if (asked_.size() >= options_.max_pending_requests)
    {
        reply(overloaded_link());
        return;
    }
    auto* const link = link_to(address);
    if (link == nullptr)
    {
        auto error = make_refusal(
            errc::unavailable, certainty::not_run, "peer cannot be reached");
        error.retry_after =
            std::chrono::ceil<std::chrono::milliseconds>(redial_wait(address));
        reply(std::move(error));
        return;
    }
    touch(*link);
    ++link->asked;
    auto const number = frame.request;
    asked_.emplace(
        number,
        asked_request{link->id, false, std::move(event), std::move(reply)});
    if (!queue_or_send(*link, std::move(frame)))
        finish(number, overloaded_link());
}

void peer_core::cancel(std::uint64_t request)
{
    auto const at = asked_.find(request);
    if (at == asked_.end())
        return;
    bool const sent = at->second.sent;
    auto* const link = find(at->second.link);
    if (sent && link != nullptr)
    {
        peer_frame frame;
        frame.kind = frame_kind::cancel;
        frame.request = request;
        transmit(*link, frame);
    }
    finish(
        request, make_refusal(
                     errc::canceled,
                     sent ? certainty::outcome_unknown : certainty::not_run,
                     "canceled"));
}

void peer_core::note(std::string const& address, peer_frame frame)
{
    if (frame.body.size() > options_.max_frame_bytes)
        return;
    auto* const link = link_to(address);
    if (link == nullptr)
        return;
    link->last_used = clock_();
    queue_or_send(*link, std::move(frame));
}

void peer_core::answer(link_id id, peer_frame frame)
{
    auto* const link = find(id);
    if (link == nullptr)
        return;
    auto const taken = link->taken.find(frame.request);
    if (taken == link->taken.end())
        return;
    if (frame.body.size() > options_.max_frame_bytes)
    {
        frame.body.clear();
        frame.kind = frame_kind::refused;
        frame.error = make_refusal(
            errc::too_large, certainty::ran, "answer is over the bound");
    }
    link->last_used = clock_();
    if (frame.kind != frame_kind::event)
    {
        *taken->second = true;
        link->taken.erase(taken);
    }
    // An answer must not get lost unnoticed: better the link ends.
    if (!transmit(*link, frame))
        drop(id, "peer does not take its answers");
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

bool peer_core::queue_or_send(peer_link& link, peer_frame frame)
{
    if (link.up)
    {
        auto const sent = transmit(link, frame);
        auto const asked = asked_.find(frame.request);
        if (sent && asked != asked_.end())
            asked->second.sent = true;
        return sent;
    }
    auto const size = frame.body.size() + max_frame_header_bytes;
    if (link.waiting_bytes + size > options_.max_send_buffer_bytes)
        return false;
    link.waiting_bytes += size;
    link.waiting.push_back(std::move(frame));
    return true;
}

bool peer_core::transmit(peer_link& link, peer_frame const& frame)
{
    auto const bytes = encode_frame(frame);
    if (sockets_.buffered(link.id) + bytes.size() >
        options_.max_send_buffer_bytes)
        return false;
    sockets_.send(link.id, link.outgoing.seal(bytes));
    return true;
}

void peer_core::flush(peer_link& link)
{
    auto const waiting = std::exchange(link.waiting, {});
    link.waiting_bytes = 0;
    for (auto const& frame : waiting)
    {
        bool const is_request = frame.kind == frame_kind::request;
        // A request that was cancelled meanwhile is not sent.
        if (is_request && asked_.count(frame.request) == 0)
            continue;
        if (!queue_or_send(link, frame) && is_request)
            finish(frame.request, overloaded_link());
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

void peer_core::dispatch(peer_link& link, peer_frame frame)
{
    link.last_used = clock_();
    switch (frame.kind)
    {
    case frame_kind::request:
        take_request(link, std::move(frame));
        break;
    case frame_kind::event:
    case frame_kind::reply:
    case frame_kind::refused:
        take_answer(link, std::move(frame));
        break;
    case frame_kind::cancel:
        take_cancel(link, frame);
        break;
    case frame_kind::note:
    {
        auto const handler = note_handlers_.find(frame.topic);
        if (handler != note_handlers_.end())
            handler->second(frame.body);
        break;
    }
    }
}

void peer_core::take_request(peer_link& link, peer_frame frame)
{
    auto const handler = request_handlers_.find(frame.topic);
    if (handler == request_handlers_.end())
    {
        refuse(
            link, frame.request,
            make_refusal(
                errc::not_found, certainty::not_run,
                "unknown topic '" + frame.topic + "'"));
        return;
    }
    if (link.taken.size() >= options_.max_pending_requests)
    {
        refuse(link, frame.request, overloaded_link());
        return;
    }
    touch(link);
    auto gone = std::make_shared<std::atomic<bool>>(false);
    if (!link.taken.emplace(frame.request, gone).second)
    {
        drop(link.id, "request number stands twice");
        return;
    }
    handler->second(
        frame.body, make_responder_(link.id, frame.request, std::move(gone)));
}

void peer_core::refuse(peer_link& link, std::uint64_t request, refusal error)
{
    peer_frame frame;
    frame.kind = frame_kind::refused;
    frame.request = request;
    frame.error = std::move(error);
    if (!transmit(link, frame))
        drop(link.id, "peer does not take its answers");
}

void peer_core::take_answer(peer_link const& link, peer_frame frame)
{
    auto const at = asked_.find(frame.request);
    // Another link's request is none of this peer's business.
    if (at == asked_.end() || at->second.link != link.id)
        return;
    if (frame.kind == frame_kind::refused)
        finish(frame.request, std::move(frame.error));
    else if (frame.kind == frame_kind::reply)
        finish(frame.request, std::move(frame.body));
    else if (at->second.event)
        at->second.event(frame.body);
}

void peer_core::take_cancel(peer_link& link, peer_frame const& frame)
{
    auto const at = link.taken.find(frame.request);
    if (at == link.taken.end())
        return;
    *at->second = true;
    link.taken.erase(at);
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

void peer_core::finish(std::uint64_t request, result<std::string> reply)
{
    auto const at = asked_.find(request);
    if (at == asked_.end())
        return;
    auto const ended = std::move(at->second);
    asked_.erase(at);
    auto* const link = find(ended.link);
    if (link != nullptr)
        --link->asked;
    ended.reply(std::move(reply));
}

void peer_core::touch(peer_link& link) const
{
    link.last_used = clock_();
    // Silence counts only while an answer is due.
    if (!link.busy())
        link.last_heard = link.last_used;
}

} // namespace detail
} // namespace walnutmill

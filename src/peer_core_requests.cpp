#include "peer_core.hpp"

#include "peer_refusal.hpp"

#include <utility>

namespace walnutmill
{
namespace detail
{

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

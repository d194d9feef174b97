#include <walnutmill/peer_hub.hpp>

#include "peer_core.hpp"

#include <atomic>
#include <thread>

namespace walnutmill
{

using detail::frame_kind;
using detail::gone_flag;
using detail::link_id;
using detail::peer_core;
using detail::peer_frame;
using detail::peer_sockets;

class peer_hub::implementation
    : public std::enable_shared_from_this<peer_hub::implementation>
{
public:
    explicit implementation(peer_hub_options options)
        : options_(options), sockets_(socket_handlers()),
          core_(std::move(options), sockets_, monotonic_clock())
    {
    }

    detail::socket_events socket_handlers()
    {
        detail::socket_events events;
        events.opened = [this](link_id id, bool dialled)
        { core_.opened(id, dialled); };
        events.message = [this](link_id id, std::string_view bytes)
        { core_.message(id, bytes); };
        events.pong = [this](link_id id) { core_.pong(id); };
        events.closed = [this](link_id id) { core_.closed(id); };
        return events;
    }

    result<std::uint16_t> start()
    {
        auto port = sockets_.listen(options_.address, options_.port);
        if (!port)
            return port;
        bool const any_address =
            options_.address == "0.0.0.0" || options_.address == "::";
        if (!options_.advertise.empty())
            core_.set_own_address(options_.advertise);
        else if (!any_address)
            core_.set_own_address(
                options_.address + ":" + std::to_string(port.value()));
        sockets_.every(options_.ping_interval, [this] { core_.tick(); });
        thread_ = std::thread([this] { sockets_.run(); });
        return port;
    }

    void stop()
    {
        if (thread_.joinable())
        {
            sockets_.post(
                [this]
                {
                    core_.end_all();
                    sockets_.stop();
                });
            thread_.join();
        }
        core_.end_all();
        // Requests that came in meanwhile are refused rather than lost.
        sockets_.poll();
    }

    void post_answer(link_id link, peer_frame frame)
    {
        sockets_.post([this, link, frame = std::move(frame)]() mutable
                      { core_.answer(link, std::move(frame)); });
    }

    peer_hub_options options_;
    peer_sockets sockets_;
    peer_core core_;
    std::atomic<std::uint64_t> last_request_{0};
    std::thread thread_;
};

namespace
{

peer_frame
make_frame(frame_kind kind, std::uint64_t request, std::string_view body)
{
    peer_frame made;
    made.kind = kind;
    made.request = request;
    made.body = std::string(body);
    return made;
}

/// One request of a peer, shared by the copies of its responder.
template<class Hub>
class taken_request
{
public:
    taken_request(
        std::weak_ptr<Hub> hub, link_id link, std::uint64_t request,
        gone_flag gone)
        : hub_(std::move(hub)), link_(link), request_(request),
          gone_(std::move(gone))
    {
    }
    ~taken_request()
    {
        if (ended_.exchange(true))
            return;
        // The asker must not wait for an answer that nobody will give.
        auto frame = make_frame(frame_kind::refused, request_, "");
        frame.error.code = errc::internal;
        frame.error.ran = certainty::outcome_unknown;
        frame.error.message = "the handler gave no answer";
        post(std::move(frame));
    }
    taken_request(taken_request const&) = delete;
    taken_request& operator=(taken_request const&) = delete;

    void event(std::string_view body)
    {
        if (!ended_)
            post(make_frame(frame_kind::event, request_, body));
    }
    void reply(std::string_view body)
    {
        if (!ended_.exchange(true))
            post(make_frame(frame_kind::reply, request_, body));
    }
    bool gone() const { return *gone_ || hub_.expired(); }

private:
    void post(peer_frame frame)
    {
        auto const hub = hub_.lock();
        if (hub != nullptr)
            hub->post_answer(link_, std::move(frame));
    }

    std::weak_ptr<Hub> hub_;
    link_id link_;
    std::uint64_t request_;
    gone_flag gone_;
    std::atomic<bool> ended_{false};
};

} // namespace

peer_hub::peer_hub(peer_hub_options options)
    : impl_(std::make_shared<implementation>(std::move(options)))
{
    auto const weak = std::weak_ptr<implementation>(impl_);
    impl_->core_.make_responder_ =
        [weak](link_id link, std::uint64_t request, gone_flag gone)
    {
        auto const state = std::make_shared<taken_request<implementation>>(
            weak, link, request, std::move(gone));
        peer_responder made;
        made.event = [state](std::string_view body) { state->event(body); };
        made.reply = [state](std::string_view body) { state->reply(body); };
        made.gone = [state] { return state->gone(); };
        return made;
    };
}

peer_hub::~peer_hub()
{
    impl_->stop();
}

void peer_hub::on_request(std::string topic, request_handler handler)
{
    impl_->core_.request_handlers_[std::move(topic)] = std::move(handler);
}

void peer_hub::on_note(std::string topic, note_handler handler)
{
    impl_->core_.note_handlers_[std::move(topic)] = std::move(handler);
}

result<std::uint16_t> peer_hub::start()
{
    return impl_->start();
}

cancel_fn peer_hub::request(
    std::string_view address, std::string_view topic, std::string body,
    event_fn event, reply_fn reply)
{
    peer_frame frame;
    frame.kind = frame_kind::request;
    frame.request = ++impl_->last_request_;
    frame.topic = std::string(topic);
    frame.body = std::move(body);
    auto const number = frame.request;
    auto* const impl = impl_.get();
    impl->sockets_.post(
        [impl, to = std::string(address), frame = std::move(frame),
         event = std::move(event), reply = std::move(reply)]() mutable {
            impl->core_.ask(
                to, std::move(frame), std::move(event), std::move(reply));
        });
    return [weak = std::weak_ptr<implementation>(impl_), number]
    {
        auto const hub = weak.lock();
        if (hub == nullptr)
            return;
        auto* const alive = hub.get();
        alive->sockets_.post([alive, number] { alive->core_.cancel(number); });
    };
}

void peer_hub::note(
    std::string_view address, std::string_view topic, std::string body)
{
    peer_frame frame;
    frame.kind = frame_kind::note;
    frame.topic = std::string(topic);
    frame.body = std::move(body);
    auto* const impl = impl_.get();
    impl->sockets_.post(
        [impl, to = std::string(address), frame = std::move(frame)]() mutable
        { impl->core_.note(to, std::move(frame)); });
}

std::uint64_t peer_hub::bytes_sent() const
{
    return impl_->sockets_.bytes_sent();
}

std::uint64_t peer_hub::bytes_received() const
{
    return impl_->sockets_.bytes_received();
}

} // namespace walnutmill

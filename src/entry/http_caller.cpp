#include "entry/http_caller.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

/// An address that does not accept a connection within this time is considered
/// down; the longest network latency within a region is 3 ms.
constexpr std::chrono::milliseconds connect_timeout{300};
/// Maximum number of idle connections to one address; few calls run
/// concurrently.
constexpr std::size_t max_idle_links = 4;

time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

} // namespace

std::string cbor_request(
    std::string_view path, std::string const& address,
    nlohmann::json const& body)
{
    auto const bytes = nlohmann::json::to_cbor(body);
    return cbor_bytes_request(
        path, address, std::string(bytes.begin(), bytes.end()));
}

std::string cbor_bytes_request(
    std::string_view path, std::string const& address, std::string_view body)
{
    std::string out = "POST ";
    out.append(path).append(" HTTP/1.1\r\nHost: ").append(address);
    out.append("\r\nContent-Type: application/cbor\r\nContent-Length: ");
    out.append(std::to_string(body.size())).append("\r\n\r\n");
    return out.append(body);
}

http_caller::http_caller(
    boost::asio::io_context& io, std::chrono::milliseconds max_idle_time)
    : io_(io), max_idle_time_(max_idle_time)
{
}

http_caller::~http_caller()
{
    *alive_ = false;
    for (auto const& link : in_use_)
        link->close();
    for (auto& [address, links] : idle_)
    {
        for (auto& link : links)
            link->close();
    }
}

struct http_caller::pending_call
{
    pending_call(boost::asio::io_context& io, exchange_limits limits)
        : watch(limits, now()), timer(io)
    {
    }

    exchange_reply reply;
    /// Bytes of the reply that count towards those held by all calls.
    std::size_t held = 0;
    link_ptr link;
    exchange_watch watch;
    boost::asio::steady_timer timer;
    done_fn done;
    bool ended = false;
};

void http_caller::call(exchange_request request, done_fn done)
{
    auto const link = idle_or_new_link(request.address);
    if (!link)
    {
        boost::asio::post(io_, [done = std::move(done)] { done({}); });
        return;
    }
    in_use_.insert(link);
    auto const pending = std::make_shared<pending_call>(io_, request.limits);
    pending->link = link;
    pending->done = std::move(done);
    await_progress(pending);
    http_link::handlers to;
    to.on_sent = [pending] { pending->watch.on_sent(now()); };
    to.on_received = [this, alive = alive_, pending,
                      on_progress = std::move(request.on_progress)]
    {
        if (pending->ended || !*alive)
            return;
        pending->watch.on_received(now());
        // The limit of pauses may be below the one of the response.
        if (pending->watch.expiry() < pending->timer.expiry())
            await_progress(pending);
        if (on_progress)
            on_progress();
    };
    to.on_head = [pending](http_link::response_head const& head)
    { pending->reply.status = static_cast<int>(head.result_int()); };
    to.max_body_bytes = max_reply_bytes;
    to.on_body = [this, alive = alive_, pending](std::string_view part)
    {
        if (pending->ended || !*alive)
            return;
        if (held_bytes_ + part.size() > max_held_reply_bytes)
        {
            pending->link->fail_exchange(link_end::too_long);
            return;
        }
        held_bytes_ += part.size();
        pending->held += part.size();
        pending->reply.body.append(part);
    };
    to.on_end =
        [this, alive = alive_, pending, address = request.address](link_end how)
    {
        if (pending->ended || !*alive)
            return;
        pending->ended = true;
        held_bytes_ -= std::exchange(pending->held, 0);
        pending->timer.cancel();
        pending->reply.answered = how == link_end::complete;
        pending->reply.sent = how != link_end::not_connected;
        pending->reply.latency = pending->watch.latency();
        in_use_.erase(pending->link);
        keep_or_close_link(address, std::exchange(pending->link, {}));
        pending->done(std::move(pending->reply));
    };
    link->exchange(std::move(request.bytes), request_id(), std::move(to));
}

/// Ends the call when its limits are exceeded.
void http_caller::await_progress(pending_ptr const& pending)
{
    pending->timer.expires_at(pending->watch.expiry());
    pending->timer.async_wait(
        [this, alive = alive_, pending](boost::system::error_code const& error)
        {
            if (error || pending->ended || !*alive)
                return;
            if (now() < pending->watch.expiry())
            {
                await_progress(pending);
                return;
            }
            pending->ended = true;
            held_bytes_ -= std::exchange(pending->held, 0);
            in_use_.erase(pending->link);
            std::exchange(pending->link, {})->close();
            pending->reply.sent = true;
            pending->reply.latency = pending->watch.latency();
            pending->done(std::move(pending->reply));
        });
}

http_caller::link_ptr http_caller::idle_or_new_link(std::string const& address)
{
    auto& links = idle_[address];
    while (!links.empty())
    {
        auto link = std::move(links.back());
        links.pop_back();
        auto const idle_time =
            std::chrono::steady_clock::now() - link->idle_since;
        if (link->reusable() && idle_time < max_idle_time_)
            return link;
        link->close();
    }
    auto const peer = endpoint_of(address);
    if (!peer)
        return nullptr;
    return std::make_shared<http_link>(io_, *peer, connect_timeout);
}

void http_caller::keep_or_close_link(std::string const& address, link_ptr link)
{
    auto& links = idle_[address];
    if (!link->reusable() || links.size() >= max_idle_links)
        link->close();
    else
        links.push_back(std::move(link));
}

exchange_runtime network_runtime(boost::asio::io_context& io)
{
    exchange_runtime to;
    to.exchange =
        [caller = std::make_shared<http_caller>(io)](
            exchange_request request, std::function<void(exchange_reply)> done)
    { caller->call(std::move(request), std::move(done)); };
    to.clock = now;
    to.schedule_after = [&io](duration after, std::function<void()> what)
    {
        if (after <= duration(0))
        {
            boost::asio::post(io, std::move(what));
            return;
        }
        auto const timer =
            std::make_shared<boost::asio::steady_timer>(io, after);
        timer->async_wait(
            [timer,
             what = std::move(what)](boost::system::error_code const& error)
            {
                if (!error)
                    what();
            });
    };
    return to;
}

} // namespace walnutmill

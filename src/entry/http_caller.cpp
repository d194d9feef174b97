#include "entry/http_caller.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

/// An address at which nothing answers within this is taken for dead; the
/// longest way within a region is 3 ms.
constexpr std::chrono::milliseconds connect_patience{300};
/// Idle connections kept to one address: calls at the same moment are few.
constexpr std::size_t idle_links = 4;

time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

struct call_state
{
    http_reply reply;
    std::shared_ptr<boost::asio::steady_timer> timer;
    time_point began;
    bool ended = false;
};

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

http_caller::http_caller(boost::asio::io_context& io) : io_(io) {}

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

void http_caller::call(
    std::string const& address, std::string bytes, duration patience,
    done_fn done)
{
    auto const link = take_link(address);
    if (!link)
    {
        boost::asio::post(io_, [done = std::move(done)] { done({}); });
        return;
    }
    in_use_.insert(link);
    auto const one = std::make_shared<call_state>();
    one->began = now();
    one->timer = std::make_shared<boost::asio::steady_timer>(io_, patience);
    one->timer->async_wait(
        [this, alive = alive_, one, link,
         done](boost::system::error_code const& error)
        {
            if (error || one->ended || !*alive)
                return;
            one->ended = true;
            in_use_.erase(link);
            link->close();
            one->reply.sent = true;
            done(std::move(one->reply));
        });
    http_link::handlers to;
    to.on_head = [one](http_link::response_head const& head)
    { one->reply.status = static_cast<int>(head.result_int()); };
    to.on_body = [one](std::string_view part) { one->reply.body.append(part); };
    to.on_end = [this, alive = alive_, one, link, address, done](link_end how)
    {
        if (one->ended || !*alive)
            return;
        one->ended = true;
        one->timer->cancel();
        one->reply.answered = how == link_end::complete;
        one->reply.sent = how != link_end::not_connected;
        one->reply.took = now() - one->began;
        in_use_.erase(link);
        return_link(address, link);
        done(std::move(one->reply));
    };
    link->exchange(std::move(bytes), request_id(), std::move(to));
}

http_caller::link_ptr http_caller::take_link(std::string const& address)
{
    auto& links = idle_[address];
    while (!links.empty())
    {
        auto link = std::move(links.back());
        links.pop_back();
        if (link->reusable())
            return link;
        link->close();
    }
    auto const peer = endpoint_of(address);
    if (!peer)
        return nullptr;
    return std::make_shared<http_link>(io_, *peer, connect_patience);
}

void http_caller::return_link(std::string const& address, link_ptr link)
{
    auto& links = idle_[address];
    if (!link->reusable() || links.size() >= idle_links)
        link->close();
    else
        links.push_back(std::move(link));
}

} // namespace walnutmill

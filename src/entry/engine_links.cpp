#include "entry/engine_links.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace walnutmill
{
namespace
{

using clock_type = std::chrono::steady_clock;

/// If an engine does not accept a connection within this time, the call tries
/// another engine. The network latency is at most 3 ms and the handshake takes
/// 1 ms. A call can spare at most a third of the shortest target latency
/// (150 ms).
constexpr std::chrono::milliseconds connect_timeout{250};
/// Maximum idle time of a connection whose engine does not state a timeout.
constexpr std::chrono::milliseconds default_idle_timeout{3'500};
/// Subtracted from the idle timeout that an engine states. If a connection
/// closes just as a call is sent, it is unknown whether the call was executed.
constexpr std::chrono::milliseconds idle_margin{500};
constexpr std::chrono::milliseconds max_idle_timeout{30'000};

bool usable(http_link const& link, clock_type::time_point now)
{
    auto const idle_limit =
        link.idle_timeout
            ? std::min(*link.idle_timeout - idle_margin, max_idle_timeout)
            : default_idle_timeout;
    return link.reusable() && now - link.idle_since < idle_limit;
}

} // namespace

engine_links::engine_links(boost::asio::io_context& io) : io_(io) {}

engine_links::~engine_links()
{
    close_all();
}

void engine_links::close_all()
{
    auto const all = std::move(engines_);
    engines_.clear();
    for (auto const& [id, pool] : all)
    {
        for (auto const& link : pool.idle)
            link->close();
        for (auto const& link : pool.in_use)
            link->close();
    }
}

engine_links::link_ptr engine_links::acquire_link(
    engine_ref const& engine, std::string const& address, std::uint32_t limit)
{
    auto& pool = engines_[engine.id];
    auto const now = clock_type::now();
    if (pool.incarnation != engine.incarnation)
        close_former_incarnations(engine.id);
    pool.incarnation = engine.incarnation;
    while (!pool.idle.empty())
    {
        // The engine is least likely to close the most recently used one.
        auto link = std::move(pool.idle.back());
        pool.idle.pop_back();
        if (usable(*link, now))
        {
            pool.in_use.push_back(link);
            return link;
        }
        link->close();
    }
    auto const peer = endpoint_of(address);
    if (!peer || pool.in_use.size() >= limit)
        return nullptr;
    pool.in_use.push_back(
        std::make_shared<http_link>(io_, *peer, connect_timeout));
    return pool.in_use.back();
}

void engine_links::release_link(engine_ref const& engine, link_ptr const& link)
{
    auto& pool = engines_[engine.id];
    pool.in_use.erase(
        std::remove(pool.in_use.begin(), pool.in_use.end(), link),
        pool.in_use.end());
    if (link->reusable() && pool.incarnation == engine.incarnation)
        pool.idle.push_back(link);
    else
        link->close();
}

bool engine_links::has_idle(target_name const& engine) const
{
    auto const found = engines_.find(engine);
    return found != engines_.end() && !found->second.idle.empty() &&
           usable(*found->second.idle.back(), clock_type::now());
}

void engine_links::check_listening(
    std::string const& address, std::function<void(bool)> done)
{
    using boost::asio::ip::tcp;
    struct check
    {
        tcp::socket socket;
        boost::asio::steady_timer timer;
    };
    auto const peer = endpoint_of(address);
    if (!peer)
    {
        done(false);
        return;
    }
    auto const one = std::make_shared<check>(
        check{tcp::socket(io_), boost::asio::steady_timer(io_)});
    one->timer.expires_after(connect_timeout);
    one->timer.async_wait(
        [one](boost::system::error_code const& error)
        {
            boost::system::error_code ignored; // the check ends either way
            if (!error)
                one->socket.close(ignored);
        });
    one->socket.async_connect(
        *peer,
        [one, done = std::move(done)](boost::system::error_code const& error)
        {
            one->timer.cancel();
            done(!error && one->socket.is_open());
        });
}

void engine_links::close_idle(target_name const& engine)
{
    auto const found = engines_.find(engine);
    if (found == engines_.end())
        return;
    for (auto& link : found->second.idle)
        link->close();
    found->second.idle.clear();
}

void engine_links::close_former_incarnations(target_name const& engine)
{
    close_idle(engine);
    auto const found = engines_.find(engine);
    if (found == engines_.end())
        return;
    found->second.incarnation.reset();
    // Calls that end remove their link from in_use, so it is moved out first.
    auto const in_use = std::move(found->second.in_use);
    found->second.in_use.clear();
    for (auto const& link : in_use)
        link->fail_exchange();
}

void engine_links::sweep(
    std::function<bool(target_name const&)> const& still_registered)
{
    auto const now = clock_type::now();
    for (auto it = engines_.begin(); it != engines_.end();)
    {
        auto& pool = it->second;
        auto const registered = still_registered(it->first);
        std::vector<link_ptr> kept;
        for (auto& link : pool.idle)
        {
            if (registered && usable(*link, now))
                kept.push_back(std::move(link));
            else
                link->close();
        }
        pool.idle = std::move(kept);
        if (!registered && pool.in_use.empty())
            it = engines_.erase(it);
        else
            ++it;
    }
}

} // namespace walnutmill

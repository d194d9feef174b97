#include "entry/engine_links.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using clock_type = std::chrono::steady_clock;

/// An engine that does not take a connection within this is left for another
/// one: the way is at most 3 ms long, the handshake 1 ms, and a third of the
/// shortest target latency (150 ms) is all that a call can spare.
constexpr std::chrono::milliseconds connect_patience{250};
/// Idle time of a connection whose engine does not say when it ends it.
constexpr std::chrono::milliseconds idle_unsaid{3'500};
/// Before the time that an engine states: a connection that ends just as a
/// call is sent leaves the call's fate open.
constexpr std::chrono::milliseconds idle_margin{500};
constexpr std::chrono::milliseconds idle_longest{30'000};

bool may_carry(http_link const& link, clock_type::time_point now)
{
    auto const idle_at_most =
        link.idle_timeout
            ? std::min(*link.idle_timeout - idle_margin, idle_longest)
            : idle_unsaid;
    return link.reusable() && now - link.idle_since < idle_at_most;
}

} // namespace

engine_links::engine_links(boost::asio::io_context& io) : io_(io) {}

engine_links::~engine_links()
{
    end_all();
}

void engine_links::end_all()
{
    auto const all = std::move(engines_);
    engines_.clear();
    for (auto const& [id, conns] : all)
    {
        for (auto const& link : conns.idle)
            link->close();
        for (auto const& link : conns.in_use)
            link->close();
    }
}

engine_links::link_ptr engine_links::take(
    engine_ref const& engine, std::string const& address, std::uint32_t limit)
{
    auto& conns = engines_[engine.id];
    auto const now = clock_type::now();
    if (conns.incarnation != engine.incarnation)
        restarted(engine.id);
    conns.incarnation = engine.incarnation;
    while (!conns.idle.empty())
    {
        // The one used last is the least likely to be ended by the engine.
        auto link = std::move(conns.idle.back());
        conns.idle.pop_back();
        if (may_carry(*link, now))
        {
            conns.in_use.push_back(link);
            return link;
        }
        link->close();
    }
    auto const peer = endpoint_of(address);
    if (!peer || conns.in_use.size() >= limit)
        return nullptr;
    conns.in_use.push_back(
        std::make_shared<http_link>(io_, *peer, connect_patience));
    return conns.in_use.back();
}

void engine_links::give_back(engine_ref const& engine, link_ptr const& link)
{
    auto& conns = engines_[engine.id];
    conns.in_use.erase(
        std::remove(conns.in_use.begin(), conns.in_use.end(), link),
        conns.in_use.end());
    if (link->reusable() && conns.incarnation == engine.incarnation)
        conns.idle.push_back(link);
    else
        link->close();
}

bool engine_links::has_idle(target_name const& engine) const
{
    auto const found = engines_.find(engine);
    return found != engines_.end() && !found->second.idle.empty() &&
           may_carry(*found->second.idle.back(), clock_type::now());
}

void engine_links::drop_idle(target_name const& engine)
{
    auto const found = engines_.find(engine);
    if (found == engines_.end())
        return;
    for (auto& link : found->second.idle)
        link->close();
    found->second.idle.clear();
}

void engine_links::restarted(target_name const& engine)
{
    drop_idle(engine);
    auto const found = engines_.find(engine);
    if (found == engines_.end())
        return;
    found->second.incarnation.reset();
    // Calls that end take themselves off the list.
    auto const in_use = std::move(found->second.in_use);
    found->second.in_use.clear();
    for (auto const& link : in_use)
        link->break_off();
}

void engine_links::sweep(
    std::function<bool(target_name const&)> const& still_registered)
{
    auto const now = clock_type::now();
    for (auto it = engines_.begin(); it != engines_.end();)
    {
        auto& conns = it->second;
        auto const registered = still_registered(it->first);
        std::vector<link_ptr> kept;
        for (auto& link : conns.idle)
        {
            if (registered && may_carry(*link, now))
                kept.push_back(std::move(link));
            else
                link->close();
        }
        conns.idle = std::move(kept);
        if (!registered && conns.in_use.empty())
            it = engines_.erase(it);
        else
            ++it;
    }
}

} // namespace walnutmill

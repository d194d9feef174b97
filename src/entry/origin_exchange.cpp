#include "entry/origin_exchange.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace walnutmill
{

origin_exchange::origin_exchange(
    clock_fn clock, std::string self, std::string domain, hooks callbacks,
    origin_exchange_options options)
    : self_(std::move(self)), domain_(std::move(domain)),
      hooks_(std::move(callbacks)), options_(options),
      own_(clock, options.table), copies_(std::move(clock), options.table)
{
}

origin_exchange::~origin_exchange()
{
    *alive_ = false;
}

void origin_exchange::set_nodes(std::vector<entry_member> others)
{
    peers_.clear();
    peers_.reserve(others.size());
    for (auto& one : others)
    {
        auto const hash = stable_hash(one.node);
        peers_.push_back(
            {std::move(one.node), std::move(one.address), std::move(one.domain),
             hash});
    }
}

/// \param excluded_domain its nodes come last
/// \return the nodes in the order in which they get copies: the highest-ranked
/// node of each failure domain, then all others by rank
std::vector<origin_exchange::peer const*> origin_exchange::nodes_for(
    stream_key stream, std::string_view excluded_domain) const
{
    auto const key = std::to_string(stream);
    std::vector<std::pair<std::uint64_t, peer const*>> ranked;
    ranked.reserve(peers_.size());
    for (auto const& one : peers_)
        ranked.emplace_back(rendezvous_weight(key, one.name_hash), &one);
    std::sort(
        ranked.begin(), ranked.end(),
        [](auto const& a, auto const& b) { return a.first > b.first; });
    std::set<std::string_view> domains;
    if (!excluded_domain.empty())
        domains.insert(excluded_domain);
    std::vector<peer const*> nodes;
    std::vector<peer const*> others;
    nodes.reserve(ranked.size());
    for (auto const& [weight, node] : ranked)
    {
        auto const is_first_of_domain = domains.insert(node->domain).second;
        (is_first_of_domain ? nodes : others).push_back(node);
    }
    nodes.insert(nodes.end(), others.begin(), others.end());
    return nodes;
}

void origin_exchange::record(stream_key stream, stream_origin const& origin)
{
    own_.put(stream, origin);
}

void origin_exchange::copy(stream_key stream, stream_origin const& origin)
{
    origin_message message;
    message.type = origin_message_type::copy;
    message.stream = stream;
    message.origin = origin;
    auto const bytes = encode(message);
    auto const nodes = nodes_for(stream, domain_);
    for (std::size_t i = 0; i < std::min(options_.copies, nodes.size()); ++i)
        hooks_.send(nodes[i]->address, bytes);
}

void origin_exchange::publish(service_name const& service)
{
    std::size_t left = options_.max_published;
    own_.for_each_newest(
        [&](stream_key stream, stream_origin const& origin)
        {
            if (origin.service != service)
                return true;
            copy(stream, origin);
            return --left > 0;
        });
}

std::optional<stream_origin>
origin_exchange::find_local(stream_key stream) const
{
    auto const own = own_.find(stream);
    return own ? own : copies_.find(stream);
}

void origin_exchange::find(stream_key stream, answer_fn done)
{
    auto const nodes = nodes_for(stream, {});
    if (nodes.empty() || pending_.size() >= options_.max_pending)
    {
        done(std::nullopt);
        return;
    }
    auto const query = ++last_query_;
    auto& one = pending_[query];
    one.stream = stream;
    one.done = std::move(done);
    for (std::size_t i = 0; i < std::min(options_.queried, nodes.size()); ++i)
        one.unanswered.emplace(nodes[i]->node, nodes[i]->address);
    send_query(query);
    hooks_.schedule_after(
        options_.resend_after,
        [this, alive = alive_, query]
        {
            if (*alive)
                send_query(query);
        });
    hooks_.schedule_after(
        options_.timeout,
        [this, alive = alive_, query]
        {
            if (*alive)
                finish(query, std::nullopt);
        });
}

void origin_exchange::send_query(std::uint64_t query)
{
    auto const found = pending_.find(query);
    if (found == pending_.end())
        return;
    origin_message message;
    message.type = origin_message_type::query;
    message.stream = found->second.stream;
    message.query = query;
    auto const bytes = encode(message);
    for (auto const& [node, address] : found->second.unanswered)
        hooks_.send(address, bytes);
}

void origin_exchange::finish(
    std::uint64_t query, std::optional<stream_origin> const& found)
{
    auto const at = pending_.find(query);
    if (at == pending_.end())
        return;
    auto const done = std::move(at->second.done);
    pending_.erase(at);
    done(found);
}

void origin_exchange::handle_answer(origin_message const& message)
{
    auto const found = pending_.find(message.query);
    if (found == pending_.end() || found->second.stream != message.stream)
        return;
    found->second.unanswered.erase(message.node);
    if (message.origin || found->second.unanswered.empty())
        finish(message.query, message.origin);
}

bool origin_exchange::handle(
    std::string_view bytes, std::function<void(std::string)> const& reply)
{
    auto const message = decode_origin_message(bytes);
    if (!message)
        return false;
    switch (message->type)
    {
    case origin_message_type::copy:
        copies_.put(message->stream, *message->origin);
        break;
    case origin_message_type::query:
    {
        origin_message answer;
        answer.type = origin_message_type::answer;
        answer.stream = message->stream;
        answer.query = message->query;
        answer.node = self_;
        answer.origin = find_local(message->stream);
        reply(encode(answer));
        break;
    }
    case origin_message_type::answer:
        handle_answer(*message);
        break;
    }
    return true;
}

} // namespace walnutmill

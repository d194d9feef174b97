#include "entry/history_exchange.hpp"

#include <nlohmann/json.hpp>

#include <iterator>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr std::string_view ask_path = "/history/turns";
constexpr std::string_view offer_path = "/history/kept";

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

json encode_turns(std::vector<std::shared_ptr<kept_turn const>> const& turns)
{
    auto to = json::array();
    for (auto const& one : turns)
    {
        auto const bytes = encode(*one);
        to.push_back(
            {{"id", one->id.str()},
             {"turn", json::binary(json::binary_t::container_type(
                          bytes.begin(), bytes.end()))}});
    }
    return to;
}

/// \return those that can be read; a peer's mistake costs a read of the store.
std::vector<std::shared_ptr<kept_turn const>>
decode_turns(std::string_view bytes)
{
    std::vector<std::shared_ptr<kept_turn const>> to;
    auto const body = json::from_cbor(bytes, true, false);
    if (!body.is_array())
        return to;
    for (auto const& one : body)
    {
        if (!one.is_object() || !one.contains("id") || !one["id"].is_string() ||
            !one.contains("turn") || !one["turn"].is_binary())
            continue;
        auto const& turn = one["turn"].get_binary();
        auto decoded = decode_turn(
            request_id(one["id"].get<std::string>()),
            std::string(turn.begin(), turn.end()));
        if (decoded)
            to.push_back(std::move(decoded));
    }
    return to;
}

} // namespace

history_exchange::history_exchange(
    boost::asio::io_context& io, turn_history& history, clock_fn clock,
    std::string self, std::string domain, exchange_options options)
    : history_(history), clock_(std::move(clock)), caller_(io),
      self_(std::move(self)), domain_(std::move(domain)), options_(options)
{
    history_peers peers;
    peers.ask = [this](
                    std::string const& group, request_id const& last,
                    std::function<void()> const& done)
    { ask(group, last, done); };
    peers.offer = [this](std::string const& group, turn_history::turn_ptr turn)
    { offer(group, {std::move(turn)}); };
    history_.set_peers(std::move(peers));
}

history_exchange::~history_exchange()
{
    *alive_ = false;
    history_.set_peers({});
}

void history_exchange::set_nodes(
    std::map<std::string, std::vector<home_candidate>> others)
{
    others[domain_];
    for (auto it = homes_.begin(); it != homes_.end();)
        it = others.count(it->first) > 0 ? std::next(it) : homes_.erase(it);
    for (auto& [domain, nodes] : others)
    {
        // Only in its own domain may a node be a program's peer itself.
        auto const self = domain == domain_ ? self_ : std::string();
        homes_.emplace(domain, program_homes(self))
            .first->second.set_nodes(std::move(nodes));
    }
}

void history_exchange::ask(
    std::string const& group, request_id const& last,
    std::function<void()> const& done)
{
    auto const own = homes_.find(domain_);
    auto const* peer =
        own == homes_.end() ? nullptr : own->second.home_of(group, clock_());
    if (peer == nullptr)
    {
        ask_other_domains(group, last, done);
        return;
    }
    ask_peer(
        *peer, last,
        [this, group, last, done]
        {
            if (history_.has_chain(last))
                done();
            else
                ask_other_domains(group, last, done);
        });
}

/// Goes on once one of them had all, or none has.
void history_exchange::ask_other_domains(
    std::string const& group, request_id const& last,
    std::function<void()> const& done)
{
    struct round
    {
        std::size_t open = 1;
        bool ended = false;
    };
    auto const all = std::make_shared<round>();
    auto const answered = [this, all, group, last, done]
    {
        --all->open;
        auto const complete = history_.has_chain(last);
        if (all->ended || (all->open > 0 && !complete))
            return;
        all->ended = true;
        // The program's next turns are likely to come through here.
        if (complete)
            offer(group, history_.cached(last));
        done();
    };
    for (auto const& [domain, homes] : homes_)
    {
        if (domain == domain_)
            continue;
        if (auto const* peer = homes.home_of(group, clock_()))
        {
            ++all->open;
            ask_peer(*peer, last, answered);
        }
    }
    answered();
}

void history_exchange::ask_peer(
    home_candidate const& peer, request_id const& last,
    std::function<void()> const& done)
{
    caller_.call(
        peer.address,
        cbor_request(ask_path, peer.address, {{"last", last.str()}}),
        options_.patience,
        [this, alive = alive_, node = peer.node, done](http_reply const& reply)
        {
            if (!*alive)
                return;
            auto const answered = reply.answered && reply.status == status_ok;
            for (auto& [domain, homes] : homes_)
            {
                if (answered)
                    homes.answered(node);
                else
                    homes.did_not_answer(node, clock_());
            }
            if (answered)
            {
                for (auto const& one : decode_turns(reply.body))
                    history_.remember(one);
            }
            done();
        });
}

void history_exchange::offer(std::string const& group, turns_type const& turns)
{
    auto const own = homes_.find(domain_);
    auto const* peer =
        own == homes_.end() ? nullptr : own->second.home_of(group, clock_());
    if (peer == nullptr)
        return;
    // Untold, the turn is read from the store.
    caller_.call(
        peer->address,
        cbor_request(offer_path, peer->address, encode_turns(turns)),
        options_.patience, [](http_reply const&) {});
}

bool history_exchange::is_request(std::string_view target)
{
    return target == ask_path || target == offer_path;
}

void history_exchange::serve(
    std::string_view target, std::string_view body,
    std::function<void(int, std::string)> const& reply)
{
    if (target == offer_path)
    {
        for (auto const& one : decode_turns(body))
            history_.remember(one);
        reply(status_ok, {});
        return;
    }
    auto const asked = json::from_cbor(body, true, false);
    if (target != ask_path)
        reply(status_not_found, {});
    else if (
        !asked.is_object() || !asked.contains("last") ||
        !asked["last"].is_string())
        reply(status_bad_request, {});
    else
    {
        auto const bytes = json::to_cbor(encode_turns(
            history_.cached(request_id(asked["last"].get<std::string>()))));
        reply(status_ok, std::string(bytes.begin(), bytes.end()));
    }
}

} // namespace walnutmill

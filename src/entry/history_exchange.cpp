#include "entry/history_exchange.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr std::string_view chain_path = "/history/turns";
constexpr std::string_view announce_path = "/history/kept";

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

/// The longest age or retention of a turn that is plausible, ten years.
constexpr std::int64_t max_seconds = 320'000'000;

json encode_turns(
    std::vector<std::shared_ptr<stored_turn const>> const& turns,
    time_point now)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto result = json::array();
    for (auto const& one : turns)
    {
        auto const bytes = encode(*one);
        json item{
            {"id", one->id.str()},
            {"turn", json::binary(json::binary_t::container_type(
                         bytes.begin(), bytes.end()))}};
        if (one->written_at != time_point::min())
        {
            auto const age = std::max(now - one->written_at, duration(0));
            item["age_ms"] = duration_cast<milliseconds>(age).count() + 1;
            item["kept_s"] = one->kept_for.count();
        }
        result.push_back(std::move(item));
    }
    return result;
}

/// \return the number of a field; -1 if it is missing or not valid.
std::int64_t
bounded_number(json const& item, char const* field, std::int64_t max)
{
    auto const found = item.find(field);
    if (found == item.end() || !found->is_number_integer())
        return -1;
    auto const number = found->get<std::int64_t>();
    return number > max ? -1 : number;
}

/// \return the valid turns. Invalid ones are skipped and read from the store.
std::vector<std::shared_ptr<stored_turn const>>
decode_turns(std::string_view bytes, time_point now)
{
    std::vector<std::shared_ptr<stored_turn const>> result;
    auto const body = decode_cbor(bytes);
    if (!body.is_array())
        return result;
    for (auto const& one : body)
    {
        if (!one.is_object() || !one.contains("id") || !one["id"].is_string() ||
            !one.contains("turn") || !one["turn"].is_binary())
            continue;
        auto const& turn = one["turn"].get_binary();
        // Nodes of earlier versions do not send the age.
        auto const age = bounded_number(one, "age_ms", max_seconds * 1'000);
        auto const kept = bounded_number(one, "kept_s", max_seconds);
        auto const dated = age >= 0 && kept >= 0;
        auto decoded = decode_turn(
            request_id(one["id"].get<std::string>()),
            std::string(turn.begin(), turn.end()),
            std::chrono::seconds(dated ? kept : 0),
            dated ? now - std::chrono::milliseconds(age) : time_point::min());
        if (decoded)
            result.push_back(std::move(decoded));
    }
    return result;
}

} // namespace

history_exchange::history_exchange(
    boost::asio::io_context& io, turn_history& history, clock_fn clock,
    std::string self, std::string domain, history_exchange_options options)
    : history_(history), clock_(std::move(clock)), caller_(io),
      self_(std::move(self)), domain_(std::move(domain)), options_(options)
{
    history_peers peers;
    peers.request_chain = [this](
                              std::string const& group, request_id const& last,
                              std::function<void()> const& done)
    { request_chain(group, last, done); };
    peers.announce =
        [this](std::string const& group, turn_history::turn_ptr turn)
    { announce(group, {std::move(turn)}); };
    history_.set_peers(std::move(peers));
}

history_exchange::~history_exchange()
{
    *alive_ = false;
    history_.set_peers({});
}

void history_exchange::set_nodes(
    std::map<std::string, std::vector<coordinator_candidate>> others)
{
    others[domain_];
    for (auto it = domain_coordinators_.begin();
         it != domain_coordinators_.end();)
        it = others.count(it->first) > 0 ? std::next(it)
                                         : domain_coordinators_.erase(it);
    for (auto& [domain, nodes] : others)
    {
        // This node is a candidate coordinator in its own domain only.
        auto const self = domain == domain_ ? self_ : std::string();
        domain_coordinators_.emplace(domain, program_coordinators(self))
            .first->second.set_nodes(std::move(nodes));
    }
}

void history_exchange::request_chain(
    std::string const& group, request_id const& last,
    std::function<void()> const& done)
{
    auto const own = domain_coordinators_.find(domain_);
    auto const* peer = own == domain_coordinators_.end()
                           ? nullptr
                           : own->second.coordinator_of(group, clock_());
    if (peer == nullptr)
    {
        request_from_other_domains(group, last, done);
        return;
    }
    request_from_peer(
        *peer, last,
        [this, group, last, done]
        {
            if (history_.has_cached_chain(last))
                done();
            else
                request_from_other_domains(group, last, done);
        });
}

/// Calls \c done once the chain is complete or all coordinators have answered.
void history_exchange::request_from_other_domains(
    std::string const& group, request_id const& last,
    std::function<void()> const& done)
{
    struct round
    {
        std::size_t pending = 1;
        bool finished = false;
    };
    auto const all = std::make_shared<round>();
    auto const answered = [this, all, group, last, done]
    {
        --all->pending;
        auto const complete = history_.has_cached_chain(last);
        if (all->finished || (all->pending > 0 && !complete))
            return;
        all->finished = true;
        // Later turns of the program are likely to arrive in this domain.
        if (complete)
            announce(group, history_.cached_chain(last));
        done();
    };
    for (auto const& [domain, coordinators] : domain_coordinators_)
    {
        if (domain == domain_)
            continue;
        if (auto const* peer = coordinators.coordinator_of(group, clock_()))
        {
            ++all->pending;
            request_from_peer(*peer, last, answered);
        }
    }
    answered();
}

void history_exchange::request_from_peer(
    coordinator_candidate const& peer, request_id const& last,
    std::function<void()> const& done)
{
    caller_.call(
        {peer.address,
         cbor_request(chain_path, peer.address, {{"last", last.str()}}),
         {options_.timeout}},
        [this, alive = alive_, node = peer.node,
         done](exchange_reply const& reply)
        {
            if (!*alive)
                return;
            auto const answered = reply.answered && reply.status == status_ok;
            for (auto& [domain, coordinators] : domain_coordinators_)
            {
                if (answered)
                    coordinators.answered(node);
                else
                    coordinators.mark_unresponsive(node, clock_());
            }
            if (answered)
            {
                for (auto const& one : decode_turns(reply.body, clock_()))
                    history_.add_to_cache(one);
            }
            done();
        });
}

void history_exchange::announce(
    std::string const& group, turns_type const& turns)
{
    auto const own = domain_coordinators_.find(domain_);
    auto const* peer = own == domain_coordinators_.end()
                           ? nullptr
                           : own->second.coordinator_of(group, clock_());
    if (peer == nullptr)
        return;
    // If the request fails, the turn is read from the store when needed.
    caller_.call(
        {peer->address,
         cbor_request(
             announce_path, peer->address, encode_turns(turns, clock_())),
         {options_.timeout}},
        [](exchange_reply const&) {});
}

bool history_exchange::is_request(std::string_view target)
{
    return target == chain_path || target == announce_path;
}

void history_exchange::serve(
    std::string_view target, std::string_view body,
    std::function<void(int, std::string)> const& reply)
{
    if (target == announce_path)
    {
        for (auto const& one : decode_turns(body, clock_()))
            history_.add_to_cache(one);
        reply(status_ok, {});
        return;
    }
    auto const request = decode_cbor(body);
    if (target != chain_path)
        reply(status_not_found, {});
    else if (
        !request.is_object() || !request.contains("last") ||
        !request["last"].is_string())
        reply(status_bad_request, {});
    else
    {
        auto const turns = history_.cached_chain(
            request_id(request["last"].get<std::string>()));
        auto const bytes = json::to_cbor(encode_turns(turns, clock_()));
        reply(status_ok, std::string(bytes.begin(), bytes.end()));
    }
}

} // namespace walnutmill

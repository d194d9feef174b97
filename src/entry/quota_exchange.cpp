#include "entry/quota_exchange.hpp"

#include <walnutmill/hash.hpp>

#include <utility>

namespace walnutmill
{
namespace
{

/// Groups of workspaces that share a coordinator.
constexpr std::uint64_t groups = 64;
/// Nodes that pass an ask on at most.
constexpr std::uint32_t most_hops = 1;
/// Retry-After while no coordinator can be reached.
constexpr std::chrono::milliseconds retry_undecided{150};

home_options options_of(double own_strength, duration passed_over_for)
{
    home_options to;
    to.passed_over_for = passed_over_for;
    to.own_strength = own_strength;
    to.strength_power = single_duty_power;
    return to;
}

/// \return the key whose home coordinates the workspace.
std::string key_of(workspace_name const& owner)
{
    return "quota-" + std::to_string(stable_hash(owner.str()) % groups);
}

quota_answer undecided()
{
    return {quota_decision::undecided, retry_undecided};
}

} // namespace

quota_exchange::quota_exchange(
    clock_fn clock, std::string self, double own_strength, quota_bounds bounds,
    hooks to, quota_exchange_options options)
    : clock_(std::move(clock)), self_(self), coordinator_(bounds),
      homes_(
          std::move(self), options_of(own_strength, options.passed_over_for)),
      hooks_(std::move(to)), options_(options)
{
}

quota_exchange::~quota_exchange()
{
    *alive_ = false;
}

void quota_exchange::set_nodes(std::vector<home_candidate> others)
{
    std::map<std::string, std::string> still_silent;
    for (auto const& one : others)
    {
        if (silent_.count(one.node) > 0)
            still_silent.emplace(one.node, one.address);
    }
    silent_ = std::move(still_silent);
    homes_.set_nodes(std::move(others));
}

bool quota_exchange::is_first_for(workspace_name const& owner) const
{
    return homes_.is_first(key_of(owner));
}

quota_message quota_exchange::own_message(quota_verb verb) const
{
    quota_message to;
    to.verb = verb;
    to.node = self_;
    return to;
}

void quota_exchange::take(workspace_name const& owner, answer_fn done)
{
    auto const known = hooks_.limit_of(owner);
    if (!known.limit || known.limit->unlimited())
    {
        done({quota_decision::granted}, {});
        return;
    }
    auto message = own_message(quota_verb::ask);
    message.request.owner = owner;
    message.request.limit = *known.limit;
    message.configuration = known.configuration;
    decide(std::move(message), options_.most_candidates, std::move(done));
}

void quota_exchange::decide(
    quota_message message, int candidates_left, answer_fn done)
{
    auto const* home = homes_.home_of(key_of(message.request.owner), clock_());
    if (home == nullptr)
    {
        done(decide_here(message), {});
        return;
    }
    auto const passed_on_enough = message.hops > most_hops;
    if (passed_on_enough || candidates_left == 0 ||
        pending_.size() >= options_.most_pending)
    {
        done(undecided(), {});
        return;
    }
    auto const number = ++last_number_;
    message.node = self_;
    message.number = number;
    auto const patience =
        message.hops > 0 ? options_.patience_passed_on : options_.patience;
    pending_.emplace(
        number,
        open_ask{
            std::move(message), *home, candidates_left - 1, std::move(done)});
    send_ask(number);
    await_answer(number, patience);
}

quota_answer quota_exchange::decide_here(quota_message const& message)
{
    if (!homes_.knows_nodes())
        return undecided();
    auto request = message.request;
    request.limit = newest_limit(message);
    return coordinator_.take(request, clock_(), hooks_.reach());
}

/// \return the limit of the newer one of the sender's and the own
/// configuration.
rate_limit quota_exchange::newest_limit(quota_message const& message) const
{
    auto const own = hooks_.limit_of(message.request.owner);
    return own.limit && own.configuration >= message.configuration
               ? *own.limit
               : message.request.limit;
}

void quota_exchange::send_ask(std::uint64_t number)
{
    auto const found = pending_.find(number);
    if (found != pending_.end())
        hooks_.send(found->second.to.address, encode(found->second.message));
}

void quota_exchange::await_answer(std::uint64_t number, duration patience)
{
    if (patience > options_.resend_after)
    {
        hooks_.later(
            options_.resend_after,
            [this, alive = alive_, number]
            {
                if (*alive)
                    send_ask(number);
            });
    }
    hooks_.later(
        patience,
        [this, alive = alive_, number]
        {
            if (*alive && pending_.count(number) > 0)
                next_candidate(number);
        });
}

/// The one that was asked did not answer, or can't decide.
void quota_exchange::next_candidate(std::uint64_t number)
{
    auto const found = pending_.find(number);
    auto one = std::move(found->second);
    pending_.erase(found);
    suspect(one.to);
    decide(std::move(one.message), one.candidates_left, std::move(one.done));
}

void quota_exchange::suspect(home_candidate const& node)
{
    homes_.did_not_answer(node.node, clock_());
    auto const is_new = silent_.emplace(node.node, node.address).second;
    if (is_new && hooks_.on_change)
        hooks_.on_change(node.node, false);
}

void quota_exchange::present(std::string const& node)
{
    if (silent_.erase(node) == 0)
        return;
    homes_.answered(node);
    if (hooks_.on_change)
        hooks_.on_change(node, true);
}

void quota_exchange::give_back(workspace_name const& owner)
{
    auto const* home = homes_.home_of(key_of(owner), clock_());
    if (home == nullptr)
    {
        coordinator_.give_back(owner);
        return;
    }
    auto message = own_message(quota_verb::give_back);
    message.request.owner = owner;
    hooks_.send(home->address, encode(message));
}

bool quota_exchange::handle(
    std::string_view bytes, std::function<void(std::string)> const& reply)
{
    auto const message = decode_quota_message(bytes);
    if (!message)
        return false;
    switch (message->verb)
    {
    case quota_verb::ask:
    {
        auto passed_on = *message;
        ++passed_on.hops;
        decide(
            std::move(passed_on), options_.most_candidates,
            [this, number = message->number,
             reply](quota_answer const& answer, std::string const&)
            {
                auto to = own_message(quota_verb::answer);
                to.number = number;
                to.answer = answer;
                reply(encode(to));
            });
        break;
    }
    case quota_verb::answer:
        answered(*message);
        break;
    case quota_verb::give_back:
        coordinator_.give_back(message->request.owner);
        break;
    case quota_verb::ping:
        // Without the members a node can't coordinate yet.
        if (homes_.knows_nodes())
            reply(encode(own_message(quota_verb::pong)));
        break;
    case quota_verb::pong:
        present(message->node);
        break;
    }
    return true;
}

void quota_exchange::answered(quota_message const& message)
{
    auto const found = pending_.find(message.number);
    if (found == pending_.end() || found->second.to.node != message.node)
        return;
    if (message.answer.decision == quota_decision::undecided)
    {
        next_candidate(message.number);
        return;
    }
    auto const one = std::move(found->second);
    pending_.erase(found);
    present(message.node);
    one.done(message.answer, message.node);
}

void quota_exchange::tick()
{
    auto const now = clock_();
    coordinator_.drop_if(
        [this, now](workspace_name const& owner)
        { return homes_.home_of(key_of(owner), now) != nullptr; });
    coordinator_.tick(now, hooks_.reach());
    if (silent_.empty() || now - pinged_at_ < options_.ping_every)
        return;
    pinged_at_ = now;
    for (auto const& [node, address] : silent_)
        hooks_.send(address, encode(own_message(quota_verb::ping)));
}

} // namespace walnutmill

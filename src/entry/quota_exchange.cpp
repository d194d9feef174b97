#include "entry/quota_exchange.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

/// Number of groups that workspaces are hashed into; the workspaces of a group
/// share a coordinator.
constexpr std::uint64_t coordinator_groups = 64;
/// Maximum number of times that a rate-limit request is forwarded: to the
/// coordinator by a node that is falsely thought to be it, and down by nodes
/// that have just started.
constexpr std::uint32_t max_forwards = 4;
/// Number of highest-ranked nodes that leave decisions to the next one while
/// they have just started. It bounds the hops after all nodes restart.
constexpr std::size_t max_deferring_nodes = 3;
/// Retry-after time while no coordinator is reachable.
constexpr std::chrono::milliseconds undecided_retry_after{150};

coordinator_options
placement_options(double own_capacity_weight, duration unresponsive_skip_time)
{
    coordinator_options result;
    result.unresponsive_skip_time = unresponsive_skip_time;
    result.own_capacity_weight = own_capacity_weight;
    result.capacity_exponent = single_duty_exponent;
    return result;
}

/// \return the rendezvous hashing key that selects a group's coordinator.
std::string group_key(std::uint64_t group)
{
    return "quota-" + std::to_string(group);
}

/// \return the rendezvous hashing key that selects the workspace's coordinator.
std::string group_key(workspace_name const& owner)
{
    return group_key(stable_hash(owner.str()) % coordinator_groups);
}

quota_answer undecided()
{
    return {quota_decision::undecided, undecided_retry_after};
}

} // namespace

quota_exchange::quota_exchange(
    clock_fn clock, std::string self, double own_capacity_weight,
    quota_bounds bounds, hooks callbacks, quota_exchange_options options)
    : clock_(std::move(clock)), self_(self), coordinator_(bounds),
      placement_(
          std::move(self),
          placement_options(own_capacity_weight, options.skip_unreachable_for)),
      hooks_(std::move(callbacks)), options_(options)
{
}

quota_exchange::~quota_exchange()
{
    *alive_ = false;
}

void quota_exchange::set_nodes(std::vector<coordinator_candidate> others)
{
    std::map<std::string, std::string> still_unreachable;
    for (auto const& candidate : others)
    {
        if (unreachable_.count(candidate.node) > 0)
            still_unreachable.emplace(candidate.node, candidate.address);
    }
    unreachable_ = std::move(still_unreachable);
    if (!nodes_known_since_)
        nodes_known_since_ = clock_();
    placement_.set_nodes(std::move(others));
}

bool quota_exchange::is_preferred_coordinator_of(
    workspace_name const& owner) const
{
    return placement_.is_top_ranked(group_key(owner));
}

quota_message quota_exchange::make_message(quota_message_type type) const
{
    quota_message message;
    message.type = type;
    message.node = self_;
    return message;
}

void quota_exchange::acquire(workspace_name const& owner, answer_fn done)
{
    auto const known = hooks_.limit_of(owner);
    if (!known.limit || known.limit->unlimited())
    {
        done({quota_decision::granted}, {});
        return;
    }
    auto message = make_message(quota_message_type::request_token);
    message.request.owner = owner;
    message.request.limit = *known.limit;
    message.configuration = known.configuration;
    decide(std::move(message), options_.max_candidates, std::move(done));
}

/// \return true if the other nodes have had the time to learn of this one
bool quota_exchange::has_joined() const
{
    return nodes_known_since_ &&
           clock_() - *nodes_known_since_ >= options_.join_time;
}

bool quota_exchange::is_settled() const
{
    return has_joined() && clock_() - *nodes_known_since_ >=
                               options_.join_time + options_.count_time;
}

/// \return true if this node leaves the decisions on the group's workspaces to
/// the node ranked below it, although it ranks first
bool quota_exchange::defers(std::string const& group) const
{
    if (leaving_ || !is_settled())
        return true;
    auto const found = handovers_.find(group);
    return found != handovers_.end() && !found->second.is_complete;
}

/// \return true if all requests for the group's workspaces pass through this
/// node, which does not decide them yet
bool quota_exchange::observes(std::string const& group) const
{
    if (!has_joined() || leaving_ || !defers(group))
        return false;
    auto const found = handovers_.find(group);
    return found == handovers_.end() || found->second.accepted.value_or(true);
}

/// Leaves the groups in which this node is among the first to the nodes ranked
/// below it until those have learned of it, however long that takes.
void quota_exchange::await_handovers()
{
    if (awaits_handovers_ || !has_joined())
        return;
    awaits_handovers_ = true;
    for (std::uint64_t i = 0; i < coordinator_groups; ++i)
    {
        auto const group = group_key(i);
        if (placement_.nodes_above(group) < max_deferring_nodes)
            handovers_.try_emplace(group);
    }
}

/// \param accepted whether the node sends the group's requests to this one
void quota_exchange::record_handover(
    std::string const& group, std::string const& node,
    std::optional<bool> accepted)
{
    auto const found = handovers_.find(group);
    if (found == handovers_.end() || found->second.is_complete ||
        placement_.ranks_above(node, group))
        return;
    auto& one = found->second;
    auto const now = clock_();
    if (one.predecessor != node || one.accepted != accepted)
    {
        one.predecessor = node;
        one.accepted = accepted;
        one.since = now;
    }
    one.is_complete = accepted.value_or(true) && is_settled() &&
                      now - one.since >= options_.count_time;
    if (one.is_complete && hooks_.on_takeover)
        hooks_.on_takeover(group, node);
}

/// \return whether requests for the group reach the asker from all nodes that
/// know this one; empty if the asker is known to rank below this one
std::optional<bool> quota_exchange::is_coordinator_for(
    std::string const& asker, std::string const& group) const
{
    if (placement_.ranks_above(asker, group))
    {
        auto const found = handovers_.find(group);
        return found == handovers_.end() || found->second.is_complete ||
               found->second.accepted.value_or(true);
    }
    if (placement_.knows(asker))
        return std::nullopt;
    return false;
}

/// \return the timeout of a request, which is shorter than that of the node
/// from which it was received
duration quota_exchange::timeout_of(quota_message const& message) const
{
    auto const hops = std::min(message.hops, max_forwards - 1);
    return options_.timeout - hops * options_.timeout_per_hop;
}

/// \return the node to ask for a decision; null if this one decides
coordinator_candidate const*
quota_exchange::node_to_ask(quota_message const& message) const
{
    auto const key = group_key(message.request.owner);
    auto const now = clock_();
    auto const is_left_to_this =
        message.hops > 0 && placement_.ranks_above(message.node, key);
    auto const* coordinator =
        is_left_to_this ? nullptr : placement_.coordinator_of(key, now);
    auto const may_defer =
        leaving_ || placement_.nodes_above(key) < max_deferring_nodes;
    if (coordinator != nullptr || !may_defer || !defers(key))
        return coordinator;
    return placement_.next_below(key, now);
}

void quota_exchange::decide(
    quota_message message, int candidates_left, answer_fn done)
{
    auto const* coordinator = node_to_ask(message);
    if (coordinator == nullptr)
    {
        done(decide_locally(message), {});
        return;
    }
    auto const forward_limit_reached = message.hops > max_forwards;
    if (forward_limit_reached || candidates_left == 0 ||
        pending_.size() >= options_.max_pending)
    {
        // Also where this node only leaves the decision to another one, which
        // may go on granting.
        done(undecided(), {});
        return;
    }
    auto const request_id = ++last_request_id_;
    auto const timeout = timeout_of(message);
    pending_.emplace(
        request_id, pending_request{
                        std::move(message), *coordinator, candidates_left - 1,
                        std::move(done)});
    send_request(request_id);
    schedule_timeouts(request_id, timeout);
}

quota_answer quota_exchange::decide_locally(quota_message const& message)
{
    if (!placement_.knows_nodes())
        return undecided();
    auto request = message.request;
    request.limit = newer_limit(message);
    return coordinator_.acquire(request, clock_(), hooks_.reachable_share());
}

/// \return the limit from the newer of the sender's and this node's
/// configurations.
rate_limit quota_exchange::newer_limit(quota_message const& message) const
{
    auto const own = hooks_.limit_of(message.request.owner);
    return own.limit && own.configuration >= message.configuration
               ? *own.limit
               : message.request.limit;
}

void quota_exchange::send_request(std::uint64_t request_id)
{
    auto const found = pending_.find(request_id);
    if (found == pending_.end())
        return;
    auto message = found->second.message;
    message.node = self_;
    message.request_id = request_id;
    hooks_.send(found->second.candidate.address, encode(message));
}

void quota_exchange::schedule_timeouts(
    std::uint64_t request_id, duration timeout)
{
    if (timeout > options_.resend_after)
    {
        hooks_.schedule_after(
            options_.resend_after,
            [this, is_alive = alive_, request_id]
            {
                if (*is_alive)
                    send_request(request_id);
            });
    }
    hooks_.schedule_after(
        timeout,
        [this, is_alive = alive_, request_id]
        {
            if (*is_alive && pending_.count(request_id) > 0)
                try_next_candidate(request_id);
        });
}

/// Called if the asked node timed out or answered `undecided`.
void quota_exchange::try_next_candidate(std::uint64_t request_id)
{
    auto const found = pending_.find(request_id);
    auto pending = std::move(found->second);
    pending_.erase(found);
    mark_unreachable(pending.candidate);
    decide(
        std::move(pending.message), pending.candidates_left,
        std::move(pending.done));
}

void quota_exchange::mark_unreachable(coordinator_candidate const& node)
{
    placement_.mark_unresponsive(node.node, clock_());
    auto const is_new = unreachable_.emplace(node.node, node.address).second;
    if (is_new && hooks_.on_reachability_change)
        hooks_.on_reachability_change(node.node, false);
}

void quota_exchange::mark_reachable(std::string const& node)
{
    if (unreachable_.erase(node) == 0)
        return;
    placement_.answered(node);
    if (hooks_.on_reachability_change)
        hooks_.on_reachability_change(node, true);
}

void quota_exchange::refund(workspace_name const& owner)
{
    auto message = make_message(quota_message_type::refund);
    message.request.owner = owner;
    route_refund(std::move(message));
}

void quota_exchange::route_refund(quota_message message)
{
    auto const* coordinator = node_to_ask(message);
    if (coordinator == nullptr)
    {
        coordinator_.refund(message.request.owner);
        return;
    }
    if (message.hops > max_forwards)
        return;
    message.node = self_;
    hooks_.send(coordinator->address, encode(message));
}

bool quota_exchange::handle(
    std::string_view bytes, std::function<void(std::string)> const& reply)
{
    auto const message = decode_quota_message(bytes);
    if (!message)
        return false;
    switch (message->type)
    {
    case quota_message_type::request_token:
    {
        auto forwarded = *message;
        ++forwarded.hops;
        decide(
            std::move(forwarded), options_.max_candidates,
            [this, request_id = message->request_id, asker = message->node,
             group = group_key(message->request.owner),
             reply](quota_answer const& answer, std::string const&)
            {
                auto answer_message = make_message(quota_message_type::answer);
                answer_message.request_id = request_id;
                answer_message.asker_is_coordinator =
                    is_coordinator_for(asker, group);
                answer_message.answer = answer;
                // A forwarded answer may have a use although this node is to
                // send none.
                if (!coordinator_.reports_use())
                    answer_message.answer.use.reset();
                reply(encode(answer_message));
            });
        break;
    }
    case quota_message_type::answer:
        handle_answer(*message);
        break;
    case quota_message_type::refund:
    {
        auto forwarded = *message;
        ++forwarded.hops;
        route_refund(std::move(forwarded));
        break;
    }
    case quota_message_type::ping:
        // A node that does not know the members yet can't be a coordinator.
        if (placement_.knows_nodes())
            reply(encode(make_message(quota_message_type::pong)));
        break;
    case quota_message_type::pong:
        mark_reachable(message->node);
        break;
    }
    return true;
}

void quota_exchange::handle_answer(quota_message const& message)
{
    auto const found = pending_.find(message.request_id);
    if (found == pending_.end() || found->second.candidate.node != message.node)
        return;
    if (message.answer.decision == quota_decision::undecided)
    {
        try_next_candidate(message.request_id);
        return;
    }
    auto const pending = std::move(found->second);
    pending_.erase(found);
    mark_reachable(message.node);
    record_handover(
        group_key(pending.message.request.owner), message.node,
        message.asker_is_coordinator);
    observe(pending, message.answer.decision);
    pending.done(message.answer, message.node);
}

/// Counts an answer in this node's own bucket if this node is about to decide
/// itself.
void quota_exchange::observe(
    pending_request const& pending, quota_decision decision)
{
    auto const now = clock_();
    auto const& request = pending.message.request;
    auto const group = group_key(request.owner);
    if (!observes(group) || placement_.coordinator_of(group, now) != nullptr)
        return;
    coordinator_.observe(
        {request.owner, newer_limit(pending.message)}, decision, now,
        hooks_.reachable_share());
}

void quota_exchange::tick()
{
    auto const now = clock_();
    await_handovers();
    coordinator_.retire_if(
        [this, now](workspace_name const& owner)
        {
            auto const group = group_key(owner);
            return placement_.coordinator_of(group, now) != nullptr ||
                   (defers(group) && !observes(group));
        },
        now);
    coordinator_.tick(now, hooks_.reachable_share());
    if (unreachable_.empty() || now - last_ping_ < options_.ping_interval)
        return;
    last_ping_ = now;
    for (auto const& [node, address] : unreachable_)
        hooks_.send(address, encode(make_message(quota_message_type::ping)));
}

} // namespace walnutmill

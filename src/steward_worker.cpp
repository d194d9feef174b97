#include "steward_worker.hpp"

#include <walnutmill/logging.hpp>
#include <walnutmill/target_rows.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

// Actions of one target in a row before the others get their turn.
constexpr int most_actions = 16;
// Targets of a worker are looked at least this often for a new desired state.
constexpr duration longest_pause = std::chrono::milliseconds(500);

} // namespace

steward_worker::steward_worker(
    steward_options options, steward_hooks const& hooks, metrics& counters)
    : options_(std::move(options)), hooks_(hooks), counters_(counters)
{
}

void steward_worker::assign(std::vector<stewarded_target> const& targets)
{
    std::map<target_name, served_target> next;
    for (auto const& wanted : targets)
    {
        auto const& name = wanted.config.name;
        auto const at = served_.find(name);
        if (at != served_.end() && at->second.epoch == wanted.epoch)
        {
            update(at->second, wanted.config);
            next.emplace(name, std::move(at->second));
            continue;
        }
        auto const now = options_.clock();
        next.emplace(
            name, served_target{
                      wanted.config,
                      target_steward(name, wanted.epoch, options_.limits, now),
                      hooks_.connect(wanted.config.address),
                      wanted.epoch,
                      now,
                      now + options_.sweep_period,
                      {name, target_condition::unknown, "", {}, now}});
    }
    served_ = std::move(next);
}

void steward_worker::update(served_target& target, target_config const& config)
{
    if (config.address != target.config.address)
        target.link = hooks_.connect(config.address);
    // A settled target's pause is longer than an order may wait.
    if (!(desired_of(config) == desired_of(target.config)))
        target.next_look = options_.clock();
    target.config = config;
}

time_point steward_worker::round()
{
    auto next = options_.clock() + longest_pause;
    for (auto& item : served_)
    {
        auto& target = item.second;
        if (target.next_look <= options_.clock())
            look(target);
        if (target.next_sweep <= options_.clock())
            sweep(target);
        next = std::min(next, target.next_look);
    }
    return next;
}

std::vector<steward_status> steward_worker::status() const
{
    std::vector<steward_status> all;
    all.reserve(served_.size());
    for (auto const& item : served_)
        all.push_back(item.second.status);
    return all;
}

void steward_worker::look(served_target& target)
{
    target.next_look = options_.clock();
    for (int i = 0; i < most_actions; ++i)
    {
        steward_input const input{
            desired_of(target.config), hooks_.version(),
            hooks_.accepted_version()};
        auto const action = target.steward.next(input, options_.clock());
        bool const more = std::visit(
            [&](auto const& wanted) { return perform(target, wanted); },
            action);
        if (!more)
            break;
    }
    target.status.state = target.steward.last_step().state;
    target.status.reason = target.steward.last_step().reason;
}

bool steward_worker::perform(served_target& target, read_action const&)
{
    // The state is at least as new as the moment of asking.
    auto const asked = options_.clock();
    auto observed = target.link.read();
    if (!observed.reachable)
        counters_.count("walnutmill_target_reads_failed_total");
    target.status.observed = observed;
    target.status.read_at = asked;
    target.steward.on_read(std::move(observed), asked);
    return true;
}

bool steward_worker::perform(served_target& target, commit_action const& wanted)
{
    auto const& name = target.config.name;
    steward_commit commit{name, target.epoch, {}, {}};
    if (wanted.report)
        commit.writes.push_back(
            {target_row_key(name), encode_report(*wanted.report)});
    if (wanted.intent)
    {
        commit.writes.push_back(
            {order_row_key(name), encode_order(*wanted.intent)});
        auto const entry = entry_of(target, *wanted.intent);
        // A claim changes nothing at the target.
        if (!(wanted.intent->content == order_content{}))
            commit.writes.push_back({audit_key(entry), to_json_line(entry)});
    }
    target.steward.on_commit(hooks_.commit(commit), options_.clock());
    return true;
}

bool steward_worker::perform(served_target& target, send_action const& wanted)
{
    if (!target.steward.may_send(options_.clock()))
        return true;
    auto const outcome = target.link.send(wanted.order);
    counters_.count("walnutmill_orders_total");
    if (outcome == send_outcome::unknown)
        counters_.count("walnutmill_orders_unknown_total");
    if (outcome == send_outcome::fenced)
        write_log(
            severity::warning, "steward", "target refused an old order",
            {{"target", target.config.name.str()}, {"order", wanted.order.id}});
    target.steward.on_sent(outcome, options_.clock());
    return true;
}

bool steward_worker::perform(served_target& target, take_slot_action const&)
{
    auto const rows = hooks_.scan(weight_slot_prefix);
    std::optional<weight_slot_change> change;
    if (rows)
        change = plan_slot_take(
            hooks_.weight_loads(), rows.value(), holder(target),
            hooks_.session_fenced);
    bool const taken =
        change && commit_slot(target, *change) == commit_status::committed;
    target.steward.on_slot(taken, options_.clock());
    return true;
}

bool steward_worker::perform(served_target& target, give_slot_action const&)
{
    auto const rows = hooks_.scan(weight_slot_prefix);
    if (!rows)
    {
        target.next_look = options_.clock() + options_.limits.poll;
        return false;
    }
    auto const change = plan_slot_give(rows.value(), holder(target));
    if (change && commit_slot(target, *change) != commit_status::committed)
    {
        target.next_look = options_.clock() + options_.limits.poll;
        return false;
    }
    target.steward.on_slot_given();
    return true;
}

bool steward_worker::perform(served_target& target, release_action const&)
{
    auto const held = target.link.holds();
    if (held)
    {
        for (auto const& program : held.value())
            release(target, program);
    }
    target.steward.on_released(options_.clock());
    return true;
}

bool steward_worker::perform(served_target& target, pause_action const& wanted)
{
    target.next_look = wanted.until;
    return false;
}

bool steward_worker::perform(served_target& target, retire_action const&) const
{
    target.next_look = options_.clock() + options_.limits.settled_poll;
    return false;
}

void steward_worker::sweep(served_target& target)
{
    target.next_sweep = options_.clock() + options_.sweep_period;
    if (target.steward.retired() || !target.status.observed.reachable)
        return;
    auto const held = target.link.holds();
    if (!held || held.value().empty())
        return;
    auto const states = hooks_.liveness(held.value());
    for (std::size_t i = 0; i < states.size() && i < held.value().size(); ++i)
    {
        if (states[i] == program_liveness::ended)
            release(target, held.value()[i]);
    }
}

void steward_worker::release(served_target& target, program_id const& program)
{
    if (target.link.release(program))
        counters_.count("walnutmill_holds_released_total");
}

commit_status steward_worker::commit_slot(
    served_target const& target, weight_slot_change const& change)
{
    return hooks_.commit(
        {target.config.name, target.epoch, {change.expected}, {change.write}});
}

weight_slot_holder steward_worker::holder(served_target const& target) const
{
    return {options_.session, target.epoch, target.config.name};
}

audit_entry steward_worker::entry_of(
    served_target const& target, target_order const& order) const
{
    audit_entry entry;
    entry.id = order.id;
    entry.at = hooks_.wall_clock();
    entry.subject = audit_subject::order;
    entry.who = "steward:" + options_.node.str();
    entry.what = to_text(order.content) + " at " + target.config.name.str();
    entry.reason = target.steward.last_step().reason;
    entry.version_before = hooks_.version();
    entry.version_after = entry.version_before;
    entry.detail = "fencing number " + std::to_string(order.fence);
    return entry;
}

} // namespace walnutmill

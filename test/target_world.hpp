#ifndef WALNUTMILL_TEST_TARGET_WORLD_HPP
#define WALNUTMILL_TEST_TARGET_WORLD_HPP

/// \file
/// One target, its stewards, two nodes that send it work and an operator, in
/// virtual time. Orders may come late, twice, or lose their answer; stewards
/// may stand still between any two actions.

#include <walnutmill/target_steward.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace walnutmill
{
namespace testing
{

constexpr duration tick = std::chrono::milliseconds(100);

class target_world
{
public:
    explicit target_world(std::uint32_t seed, bool checks_fencing)
        : random_(seed)
    {
        config.name = target_name("t");
        config.models = {"a"};
        config.checks_fencing = checks_fencing;
        config.policy_since = version;
        take_over();
    }

    // ---- what tests set and read ----

    target_config config;
    std::uint64_t version = 1;
    /// Chances in percent: that a steward stands still between two actions,
    /// that a commit's answer is lost, that a copy of an order comes late.
    int freeze_percent = 0;
    int commit_percent = 0;
    int late_percent = 0;
    /// Chance that a node has work to send in a tick.
    int work_percent = 25;
    observed_target target{true, power_state::off, {}, {}, "", 0, 0, 0, {}};
    /// Orders that took effect: epoch and content.
    struct effect
    {
        epoch_number epoch;
        order_content content;
    };
    std::vector<effect> effects;
    std::vector<std::string> violations;
    std::size_t refused_orders = 0;
    std::size_t served = 0;

    void set_policy(target_policy policy, bool now = false)
    {
        ++version;
        config.policy = policy;
        config.policy_since = version;
        config.stop_now = now;
    }
    void alter() { ++version; }
    void take_over()
    {
        ++epoch_;
        stewards_.push_back(
            {target_steward(config.name, epoch_, {}, now_),
             epoch_,
             now_,
             {},
             view()});
    }
    /// Lets the current steward stand still.
    void freeze(duration how_long)
    {
        stewards_.back().frozen_until = now_ + how_long;
    }
    void run(duration how_long)
    {
        for (auto const end = now_ + how_long; now_ < end; now_ += tick)
            one_tick();
    }
    /// Runs until the current steward's next action would be a send.
    bool run_to_send(duration longest)
    {
        stop_at_send_ = true;
        run(longest);
        stop_at_send_ = false;
        return held_at_send_;
    }
    target_condition reported() const { return row_.state; }
    int pick(int from, int to)
    {
        return boost::random::uniform_int_distribution<int>(from, to)(random_);
    }
    bool chance(int percent) { return pick(1, 100) <= percent; }

private:
    struct steward_process
    {
        target_steward steward;
        epoch_number epoch;
        time_point frozen_until;
        time_point next_look{};
        steward_input view;
    };
    struct delivery
    {
        target_order order;
        epoch_number epoch;
        bool may_cut;
    };
    struct work
    {
        time_point arrives;
        time_point ends;
    };
    struct node_view
    {
        time_point frozen_until;
        target_config config;
        std::uint64_t version = 0;
        target_report row;
    };

    steward_input view() const
    {
        auto const oldest = std::min(nodes_[0].version, nodes_[1].version);
        return {desired_of(config), version, oldest};
    }

    void one_tick()
    {
        for (; !wire_.empty() && wire_.begin()->first <= now_;
             wire_.erase(wire_.begin()))
            deliver(wire_.begin()->second);
        end_work();
        for (auto& node : nodes_)
            run_node(node);
        for (auto& process : stewards_)
            run_steward(process);
    }

    void run_node(node_view& node)
    {
        if (node.frozen_until > now_)
            return;
        if (chance(freeze_percent))
            node.frozen_until = now_ + tick * pick(1, 100);
        // Each node is behind for itself, and about rows more than about the
        // configuration, which nobody waits for.
        if (pick(1, 5) == 1)
        {
            node.config = config;
            node.version = version;
        }
        if (pick(1, 30) == 1)
            node.row = row_;
        if (node.version > 0 && may_receive_work(node.config, node.row) &&
            chance(work_percent))
        {
            auto const arrives = now_ + tick * pick(0, 3);
            sent_.push_back({arrives, arrives + tick * pick(1, 30)});
        }
    }

    void end_work()
    {
        std::vector<work> waiting;
        for (auto const& item : sent_)
        {
            if (item.arrives > now_)
                waiting.push_back(item);
            else if (target.power == power_state::on)
                running_.push_back(item);
            else if (!cut_allowed_)
                violations.emplace_back("work sent to a target that is off");
        }
        sent_ = waiting;
        auto const left = std::remove_if(
            running_.begin(), running_.end(),
            [&](work const& item) { return item.ends <= now_; });
        served += static_cast<std::size_t>(running_.end() - left);
        running_.erase(left, running_.end());
        target.running = static_cast<std::uint32_t>(running_.size());
    }

    void run_steward(steward_process& process)
    {
        if (process.frozen_until > now_ || process.next_look > now_)
            return;
        if (pick(1, 3) == 1)
            process.view = view();
        constexpr int most_actions = 12;
        for (int i = 0; i < most_actions; ++i)
        {
            if (chance(freeze_percent))
            {
                process.frozen_until = now_ + tick * pick(1, 200);
                return;
            }
            if (!act(process))
                return;
        }
    }

    bool act(steward_process& process)
    {
        auto const action = process.steward.next(process.view, now_);
        return std::visit(
            [&](auto const& wanted) { return perform(process, wanted); },
            action);
    }

    bool perform(steward_process& process, read_action)
    {
        process.steward.on_read(target, now_);
        return true;
    }
    bool perform(steward_process& process, commit_action const& wanted)
    {
        if (chance(commit_percent))
        {
            // The answer is lost; the effect may have taken place.
            if (pick(0, 1) == 1 && process.epoch == epoch_ && wanted.report)
                row_ = *wanted.report;
            process.steward.on_commit(commit_status::in_doubt, now_);
            return true;
        }
        bool const current = process.epoch == epoch_;
        if (current && wanted.report)
            row_ = *wanted.report;
        process.steward.on_commit(
            current ? commit_status::committed : commit_status::refused, now_);
        return true;
    }
    bool perform(steward_process& process, send_action const& wanted)
    {
        if (stop_at_send_)
        {
            held_at_send_ = true;
            return false;
        }
        if (!process.steward.may_send(now_))
            return true;
        delivery const sent{
            wanted.order, process.epoch, process.view.desired.stop_now};
        // Within what longest_order leaves after the send window.
        if (chance(late_percent))
            wire_.emplace(now_ + tick * pick(1, 89), sent);
        if (chance(late_percent))
        {
            wire_.emplace(now_ + tick * pick(1, 89), sent);
            process.steward.on_sent(send_outcome::unknown, now_);
            return true;
        }
        process.steward.on_sent(
            deliver(sent) ? send_outcome::accepted : send_outcome::fenced,
            now_);
        return true;
    }
    bool perform(steward_process& process, take_slot_action)
    {
        process.steward.on_slot(!chance(commit_percent), now_);
        return true;
    }
    bool perform(steward_process& process, give_slot_action)
    {
        process.steward.on_slot_given();
        return true;
    }
    bool perform(steward_process& process, release_action)
    {
        target.holds = 0;
        process.steward.on_released(now_);
        return true;
    }
    static bool perform(steward_process& process, pause_action wanted)
    {
        process.next_look = wanted.until;
        return false;
    }
    static bool perform(steward_process&, retire_action) { return false; }

    bool deliver(delivery const& arrived)
    {
        if (config.checks_fencing && arrived.order.fence < target.fence)
        {
            ++refused_orders;
            return false;
        }
        target.fence = std::max(target.fence, arrived.order.fence);
        if (!effects.empty() && arrived.epoch < effects.back().epoch)
            violations.emplace_back("order of an earlier steward took effect");
        effects.push_back({arrived.epoch, arrived.order.content});
        apply(arrived);
        return true;
    }

    void apply(delivery const& arrived)
    {
        auto const& content = arrived.order.content;
        auto const unloads = [&](std::string const& model)
        {
            return std::find(
                       content.models->begin(), content.models->end(), model) ==
                   content.models->end();
        };
        bool const cuts =
            content.power == power_state::off || content.role ||
            (content.models &&
             std::any_of(target.models.begin(), target.models.end(), unloads));
        if (cuts && !running_.empty() && target.power == power_state::on)
        {
            if (!arrived.may_cut)
                violations.emplace_back("cut by " + to_text(content));
            running_.clear();
        }
        cut_allowed_ = arrived.may_cut;
        target.models = content.models.value_or(target.models);
        target.adapters = content.adapters.value_or(target.adapters);
        target.role = content.role.value_or(target.role);
        target.power = content.power.value_or(target.power);
        target.running = static_cast<std::uint32_t>(running_.size());
    }

    boost::random::mt19937 random_;
    time_point now_{std::chrono::seconds(1)};
    epoch_number epoch_ = 0;
    std::deque<steward_process> stewards_;
    std::array<node_view, 2> nodes_;
    target_report row_;
    std::multimap<time_point, delivery> wire_;
    std::vector<work> sent_;
    std::vector<work> running_;
    bool cut_allowed_ = false;
    bool stop_at_send_ = false;
    bool held_at_send_ = false;
};

} // namespace testing
} // namespace walnutmill

#endif

// The naive and the per-call baseline.

#include "bench_policy.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <deque>
#include <memory>

namespace walnutmill::bench
{

namespace
{

constexpr std::uint32_t baseline_retries = 3;
constexpr duration naive_delay = std::chrono::milliseconds(100);
constexpr duration first_delay = std::chrono::milliseconds(200);
// The cache outweighs the load until the engine is this much over its slots:
// the best of 1, 1.25, 1.5, 2.5, 4 and 6 for this baseline.
constexpr double affinity_limit = 4.0;

/// Sends every call at once; engines queue.
struct baseline_node
{
    cluster_size size;
    random_source random;
    std::deque<call_view> waiting;
    reports seen;
    /// Round robin, by pool.
    std::uint32_t turn[2] = {0, 0};

    bool usable(engine_index at) const
    {
        return seen.engines.empty() || seen.engines[at].in_service;
    }

    engine_index round_robin(pool on)
    {
        auto const first = size.first_of(on);
        auto const count = size.count_of(on);
        auto& last = turn[static_cast<std::size_t>(on)];
        for (std::uint32_t i = 0; i < count; ++i)
        {
            last = (last + 1) % count;
            if (usable(first + last))
                break;
        }
        return first + last;
    }

    double load_of(engine_index at, pool on) const
    {
        if (seen.engines.empty())
            return 0.0;
        auto const& load = seen.engines[at].load;
        return (load.running + load.queued) /
               static_cast<double>(size.spec_of(on).slots);
    }

    engine_index draw(pool on)
    {
        boost::random::uniform_int_distribution<engine_index> any(
            size.first_of(on), size.first_of(on) + size.count_of(on) - 1);
        auto const drawn = any(random);
        return usable(drawn) ? drawn : round_robin(on);
    }

    engine_index least_of_two(call_view const& call)
    {
        auto const last = call.last_engine;
        if (last != no_engine && usable(last) &&
            load_of(last, call.on) < affinity_limit)
            return last;
        auto const one = draw(call.on);
        auto const other = draw(call.on);
        return load_of(other, call.on) < load_of(one, call.on) ? other : one;
    }

    void withdraw(call_handle handle)
    {
        for (auto it = waiting.begin(); it != waiting.end(); ++it)
            if (it->handle == handle)
            {
                waiting.erase(it);
                return;
            }
    }
};

using baseline_ptr = std::shared_ptr<baseline_node>;
using choose_fn = std::function<engine_index(baseline_node&, call_view const&)>;

node_policy make_baseline(baseline_ptr const& node, choose_fn choose)
{
    node_policy policy;
    policy.submit = [node](call_view const& call, time_point)
    { node->waiting.push_back(call); };
    policy.next = [node, choose = std::move(choose)](
                      time_point) -> std::optional<dispatch>
    {
        if (node->waiting.empty())
            return std::nullopt;
        auto const call = node->waiting.front();
        node->waiting.pop_front();
        return dispatch{call.handle, choose(*node, call), 0.0};
    };
    policy.withdraw = [node](call_handle handle) { node->withdraw(handle); };
    policy.reported = [node](reports const& seen, time_point)
    { node->seen = seen; };
    return policy;
}

baseline_ptr
make_node(cluster_size const& size, std::uint64_t seed, std::uint32_t number)
{
    auto node = std::make_shared<baseline_node>();
    node->size = size;
    node->random.seed(seed * 1'000 + number);
    // Nodes do not walk round in step.
    node->turn[0] = number % size.engines;
    node->turn[1] = number % size.services;
    return node;
}

} // namespace

std::vector<power_step> wake_all(power_view const& view, time_point /*now*/)
{
    std::vector<power_step> steps;
    for (engine_index i = 0; i < view.targets.size(); ++i)
        if (view.targets[i].state == power_view::power::off)
            steps.push_back({i, power_order::wake});
    return steps;
}

policy_set make_naive(
    cluster_size const& size, world_knowledge const& /*knowledge*/,
    std::uint64_t seed)
{
    policy_set all;
    all.power = wake_all;
    for (std::uint32_t i = 0; i < size.nodes; ++i)
    {
        auto policy = make_baseline(
            make_node(size, seed, i),
            [](baseline_node& node, call_view const& call)
            { return node.round_robin(call.on); });
        policy.failed = [](call_view const& call, call_result const&,
                           time_point) {
            return failure_answer{
                call.attempts <= baseline_retries, naive_delay};
        };
        policy.pause = [](pause_view const&, time_point) {
            return pause_answer{cache_action::drop, duration(0), no_engine};
        };
        policy.cancels = false;
        policy.drops_at_end = true;
        policy.recovers = false;
        all.nodes.push_back(std::move(policy));
    }
    return all;
}

policy_set make_per_call(
    cluster_size const& size, world_knowledge const& /*knowledge*/,
    std::uint64_t seed)
{
    policy_set all;
    all.power = wake_all;
    for (std::uint32_t i = 0; i < size.nodes; ++i)
    {
        auto policy = make_baseline(
            make_node(size, seed, i),
            [](baseline_node& node, call_view const& call)
            { return node.least_of_two(call); });
        policy.failed =
            [](call_view const& call, call_result const&, time_point)
        {
            return failure_answer{
                call.attempts <= baseline_retries,
                first_delay * (1 << call.attempts)};
        };
        all.nodes.push_back(std::move(policy));
    }
    return all;
}

} // namespace walnutmill::bench

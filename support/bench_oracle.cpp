// The oracle: one queue for all nodes, with the shapes and pauses of all
// programs and the engines' true state known in advance. A limit to compare
// with, not a policy that could be built; being a heuristic it is near the
// best there is, not above it for certain.

#include "bench_policy.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <unordered_map>

namespace walnutmill::bench
{

namespace
{

// Demand is weighed against capacity over this span around an arrival: about
// the patience of a short program.
constexpr duration window = std::chrono::seconds(60);
constexpr duration window_step = std::chrono::seconds(10);
// The part of the full rate that engines reach beside prefills.
constexpr double usable_rate = 0.85;
// Latency beside a full batch, against an idle engine.
constexpr double crowded = 1.45;
// A pause for sub-agents lasts about as long as a short program.
constexpr duration sub_agents_pause = std::chrono::seconds(20);
constexpr duration longest_hold = std::chrono::seconds(120);
constexpr std::uint32_t oracle_retries = 20;
constexpr duration oracle_delay = std::chrono::seconds(1);

struct ranked_call
{
    double remaining = 0.0;
    call_handle handle = 0;

    friend bool operator<(ranked_call const& a, ranked_call const& b)
    {
        return a.remaining != b.remaining ? a.remaining < b.remaining
                                          : a.handle < b.handle;
    }
};

class oracle
{
public:
    oracle(cluster_size const& size, world_knowledge knowledge)
        : size_(size), knowledge_(std::move(knowledge)), sent_(size.all(), 0),
          at_home_(size.all(), 0)
    {
        plan_sizes();
    }

    admission_answer admit(program_view const& program, time_point now)
    {
        if (program.on == pool::services)
            return {};
        auto const& spec = (*knowledge_.programs)[program.program];
        bool const fits = !spec.endless && spec.work <= largest_at(now) &&
                          feasible(program, spec, now);
        if (fits)
            under_way_.insert(program.program);
        return {fits, duration(0)};
    }
    void submit(call_view const& call)
    {
        calls_[call.handle] = call;
        auto const rank = knowledge_.remaining_work(call.program);
        waiting_.insert({rank, call.handle});
    }
    std::optional<dispatch> next()
    {
        for (auto const& each : waiting_)
        {
            auto const& call = calls_.at(each.handle);
            auto const to = place(call);
            if (to == no_engine)
                continue;
            dispatch const chosen{each.handle, to, each.remaining};
            ++sent_[to];
            at_[each.handle] = to;
            settle(call, to);
            waiting_.erase(each);
            return chosen;
        }
        return std::nullopt;
    }
    void ended(call_handle handle)
    {
        auto const it = at_.find(handle);
        if (it != at_.end())
        {
            --sent_[it->second];
            at_.erase(it);
        }
        for (auto each = waiting_.begin(); each != waiting_.end(); ++each)
            if (each->handle == handle)
            {
                waiting_.erase(each);
                return;
            }
    }
    pause_answer pause(pause_view const& view) const
    {
        auto length = knowledge_.pause_length(view);
        if (view.tool == tool_kind::sub_agents)
            length = sub_agents_pause;
        if (length > longest_hold)
            return {cache_action::drop, duration(0), no_engine};
        return {cache_action::hold, length + seconds(5), no_engine};
    }
    void forget(std::uint32_t program)
    {
        under_way_.erase(program);
        for (auto const& each : homes_[program])
            --at_home_[each.second];
        homes_.erase(program);
    }

private:
    double rate() const
    {
        return size_.engines * size_.engine.full_rate() * usable_rate;
    }
    std::size_t step_of(time_point at) const
    {
        return static_cast<std::size_t>(at.time_since_epoch() / window_step);
    }
    double largest_at(time_point at) const
    {
        auto const step = std::min(step_of(at), largest_.size() - 1);
        return largest_[step];
    }

    /// For each step the largest program that can be served when the smaller
    /// ones that arrive around it are served first.
    void plan_sizes()
    {
        auto const& all = *knowledge_.programs;
        auto const last = all.empty() ? time_point{} : all.back().arrival;
        for (std::size_t step = 0; step <= step_of(last); ++step)
        {
            auto const middle = time_point(window_step * step);
            std::vector<double> works;
            for (auto const& each : all)
                if (each.on == pool::engines && !each.endless &&
                    each.arrival > middle - window / 2 &&
                    each.arrival < middle + window / 2)
                    works.push_back(each.work);
            largest_.push_back(largest_of(std::move(works)));
        }
    }
    double largest_of(std::vector<double> works) const
    {
        std::sort(works.begin(), works.end());
        auto left = rate() * to_seconds(window);
        for (auto const work : works)
        {
            left -= work;
            if (left < 0.0)
                return work;
        }
        return 1e9;
    }

    bool feasible(
        program_view const& program, program_spec const& spec,
        time_point now) const
    {
        double before = 0.0;
        for (auto const other : under_way_)
        {
            auto const work = knowledge_.remaining_work(other);
            before += work <= spec.work ? work : 0.0;
        }
        auto const needed =
            before / rate() + crowded * to_seconds(spec.idle_latency);
        return needed <= to_seconds(program.deadline - now);
    }

    bool has_slot(engine_index at, pool on) const
    {
        return knowledge_.in_service(at) && sent_[at] < size_.spec_of(on).slots;
    }

    /// Notes where a chain's history lies.
    void settle(call_view const& call, engine_index at)
    {
        auto const added = homes_[call.program].emplace(call.chain, at);
        if (!added.second)
            --at_home_[added.first->second];
        added.first->second = at;
        ++at_home_[at];
    }

    /// A chain stays with its history; a new one goes where fewest are.
    engine_index place(call_view const& call) const
    {
        auto const last = call.last_engine;
        if (last != no_engine && knowledge_.in_service(last))
            return has_slot(last, call.on) ? last : no_engine;
        auto const first = size_.first_of(call.on);
        auto best = no_engine;
        for (auto at = first; at < first + size_.count_of(call.on); ++at)
            if (has_slot(at, call.on) &&
                (best == no_engine || at_home_[at] < at_home_[best]))
                best = at;
        return best;
    }

    cluster_size size_;
    world_knowledge knowledge_;
    std::vector<double> largest_;
    std::set<std::uint32_t> under_way_;
    std::set<ranked_call> waiting_;
    std::unordered_map<call_handle, call_view> calls_;
    std::unordered_map<call_handle, engine_index> at_;
    std::vector<std::uint32_t> sent_;
    std::unordered_map<
        std::uint32_t, std::unordered_map<std::uint32_t, engine_index>>
        homes_;
    /// Chains whose history lies at an engine.
    std::vector<std::uint32_t> at_home_;
};

node_policy make_oracle_node(std::shared_ptr<oracle> const& all)
{
    node_policy policy;
    policy.admit = [all](program_view const& program, time_point now)
    { return all->admit(program, now); };
    policy.submit = [all](call_view const& call, time_point)
    { all->submit(call); };
    policy.next = [all](time_point) { return all->next(); };
    policy.done = [all](call_view const& call, call_result const&, time_point)
    { all->ended(call.handle); };
    policy.failed = [all](call_view const& call, call_result const&, time_point)
    {
        all->ended(call.handle);
        return failure_answer{call.attempts <= oracle_retries, oracle_delay};
    };
    policy.withdraw = [all](call_handle handle) { all->ended(handle); };
    policy.pause = [all](pause_view const& view, time_point)
    { return all->pause(view); };
    policy.ended = [all](program_view const& program, time_point)
    { all->forget(program.program); };
    policy.drops_at_end = true;
    return policy;
}

} // namespace

policy_set make_oracle(
    cluster_size const& size, world_knowledge const& knowledge,
    std::uint64_t /*seed*/)
{
    policy_set all;
    auto const shared = std::make_shared<oracle>(size, knowledge);
    all.power = wake_all;
    all.nodes.assign(size.nodes, make_oracle_node(shared));
    return all;
}

} // namespace walnutmill::bench

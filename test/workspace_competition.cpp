#include "workspace_competition.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace walnutmill
{
namespace testing
{
namespace
{

using std::chrono::milliseconds;

constexpr quota_bounds bounds{std::chrono::seconds(5), 0.1, 20};
constexpr int min_turns = 3;
constexpr int max_turns = 7;
constexpr double mean_turns = 5;
/// Duration of a turn on an idle engine, drawn for each program.
constexpr milliseconds min_turn{600};
constexpr double turn_spread_ms = 400;
constexpr milliseconds pause{80};
/// A turn takes this part longer if all slots of its engine are taken.
constexpr double full_batch_slowdown = 0.35;
/// Target time of a program, as a multiple of its time on idle engines.
constexpr double target_time_factor = 1.6;
/// Delay of callers that were refused for load, as in call_flow, and its
/// random part.
constexpr milliseconds retry_after_when_full{600};
constexpr double retry_spread_ms = 250;
/// A program is lost with its third refusal.
constexpr int max_refusals = 3;
/// Burst of a limit, in seconds of its rate.
constexpr double burst_s = 2;
constexpr double min_burst = 8;
constexpr milliseconds tick_interval{200};
constexpr milliseconds end_after_arrivals{20'000};

duration of_ms(double ms)
{
    return duration(static_cast<std::int64_t>(ms * 1'000));
}

} // namespace

void competition_result::add(competition_result const& other)
{
    arrived += other.arrived;
    in_time += other.in_time;
    late += other.late;
    refused += other.refused;
    over_limit += other.over_limit;
    load_refusals += other.load_refusals;
    min_refused_load = std::min(min_refused_load, other.min_refused_load);
}

workspace_competition::workspace_competition(competition_options options)
    : options_(options), started_(clock_.now()),
      arrival_random_(seeded_random(options.seed)),
      random_(seeded_random(options.seed + 1'000)), coordinator_(bounds),
      engines_(options.engines), results_(options.workspaces)
{
    double sum = 0;
    for (std::size_t k = 1; k <= options_.workspaces; ++k)
        sum += std::pow(static_cast<double>(k), -options_.skew);
    for (std::size_t k = 1; k <= options_.workspaces; ++k)
    {
        auto const weight = std::pow(static_cast<double>(k), -options_.skew);
        usual_.push_back(options_.usual_programs * weight / sum);
        names_.emplace_back("w" + std::to_string(k));
        auto const per_second =
            usual_.back() * mean_turns * options_.limit_factor;
        limits_.push_back(
            {per_second, std::max(per_second * burst_s, min_burst)});
    }
    coordinator_.set_reports_use(options_.uses_shares);
    for (std::size_t i = 0; i < options_.nodes; ++i)
    {
        shares_.emplace_back(options_.shares);
        shares_.back().set_enabled(options_.uses_shares);
    }
}

void workspace_competition::schedule(
    duration after, std::function<void()> action)
{
    events_.push({clock_.now() + after, ++sequence_, std::move(action)});
}

double workspace_competition::rate_of(std::size_t workspace) const
{
    auto const is_hot = workspace == options_.hot &&
                        elapsed() >= options_.hot_from &&
                        elapsed() < options_.hot_to;
    return usual_[workspace] * (is_hot ? options_.hot_factor : 1);
}

void workspace_competition::schedule_arrival(std::size_t workspace)
{
    // The rate may change before the next arrival, so the wait is drawn again
    // after a short time; its distribution has no memory.
    auto const step = milliseconds(100);
    auto const wait =
        of_ms(-std::log(1 - arrival_random_()) * 1'000 / rate_of(workspace));
    if (wait >= step)
    {
        if (elapsed() < options_.arrivals_to)
            schedule(step, [this, workspace] { schedule_arrival(workspace); });
        return;
    }
    schedule(
        wait,
        [this, workspace]
        {
            if (elapsed() >= options_.arrivals_to)
                return;
            arrive(workspace);
            schedule_arrival(workspace);
        });
}

void workspace_competition::arrive(std::size_t workspace)
{
    program one;
    one.workspace = workspace;
    one.arrived_at = clock_.now();
    one.turn = min_turn + of_ms(arrival_random_() * turn_spread_ms);
    one.turns_left =
        min_turns +
        static_cast<int>(arrival_random_() * (max_turns - min_turns + 1));
    one.idle_time = one.turns_left * one.turn + (one.turns_left - 1) * pause;
    one.counted = elapsed() >= options_.hot_from && elapsed() < options_.hot_to;
    if (one.counted)
        ++results_[workspace].arrived;
    programs_.push_back(one);
    request_turn(programs_.size() - 1);
}

void workspace_competition::request_turn(std::size_t index)
{
    auto const workspace = programs_[index].workspace;
    auto const node = static_cast<std::size_t>(
        random_() * static_cast<double>(options_.nodes));
    if (options_.limit_factor > 0)
    {
        auto const answer = coordinator_.acquire(
            {names_[workspace], limits_[workspace]}, clock_.now());
        if (answer.use)
        {
            shares_[node].record_use(
                names_[workspace], *answer.use, limits_[workspace],
                clock_.now());
        }
        if (answer.decision != quota_decision::granted)
        {
            refuse(index, answer.retry_after, true);
            return;
        }
    }
    if (!programs_[index].begun && !may_begin(programs_[index], node))
    {
        coordinator_.refund(names_[workspace]);
        auto& result = results_[workspace];
        ++result.load_refusals;
        result.min_refused_load =
            std::min(result.min_refused_load, load_per_slot());
        refuse(index, retry_after_when_full, false);
        return;
    }
    programs_[index].begun = true;
    run_turn(index);
}

bool workspace_competition::may_begin(program const& one, std::size_t node)
{
    auto const chance = refusal_probability(
        load_per_slot(), 0, false,
        shares_[node].admission_options(names_[one.workspace], clock_.now()));
    return random_() >= chance;
}

void workspace_competition::refuse(
    std::size_t index, duration retry_after, bool over_limit)
{
    auto& one = programs_[index];
    if (++one.refusals < max_refusals)
    {
        schedule(
            retry_after + of_ms(random_() * retry_spread_ms),
            [this, index] { request_turn(index); });
        return;
    }
    if (!one.counted)
        return;
    auto& result = results_[one.workspace];
    ++(over_limit ? result.over_limit : result.refused);
}

void workspace_competition::run_turn(std::size_t index)
{
    ++calls_;
    auto const load = [](engine const& one)
    { return one.running + one.waiting.size(); };
    auto const least = std::min_element(
        engines_.begin(), engines_.end(),
        [&](engine const& a, engine const& b) { return load(a) < load(b); });
    auto const at = static_cast<std::size_t>(least - engines_.begin());
    if (least->running < options_.slots_per_engine)
        start_turn(at, index);
    else
        least->waiting.push(index);
}

void workspace_competition::start_turn(std::size_t at, std::size_t index)
{
    auto& one = engines_[at];
    ++one.running;
    auto const fullness = static_cast<double>(one.running) /
                          static_cast<double>(options_.slots_per_engine);
    auto const time =
        std::chrono::duration<double, std::milli>(programs_[index].turn);
    schedule(
        of_ms(time.count() * (1 + full_batch_slowdown * fullness)),
        [this, at, index] { end_turn(at, index); });
}

void workspace_competition::end_turn(std::size_t at, std::size_t index)
{
    --calls_;
    --engines_[at].running;
    if (!engines_[at].waiting.empty())
    {
        auto const next = engines_[at].waiting.front();
        engines_[at].waiting.pop();
        start_turn(at, next);
    }
    auto& one = programs_[index];
    if (--one.turns_left > 0)
        schedule(pause, [this, index] { request_turn(index); });
    else
        end_program(one);
}

void workspace_competition::end_program(program const& one)
{
    if (!one.counted)
        return;
    auto& result = results_[one.workspace];
    auto const target =
        std::chrono::duration<double>(one.idle_time) * target_time_factor;
    ++(clock_.now() - one.arrived_at <= target ? result.in_time : result.late);
}

double workspace_competition::load_per_slot() const
{
    return static_cast<double>(calls_) /
           static_cast<double>(options_.engines * options_.slots_per_engine);
}

double workspace_competition::mean_load() const
{
    return load_sum_ /
           static_cast<double>(std::max<std::size_t>(load_samples_, 1));
}

double workspace_competition::usual_arrivals(std::size_t workspace) const
{
    return usual_[workspace] *
           std::chrono::duration<double>(options_.hot_to - options_.hot_from)
               .count();
}

std::vector<competition_result> workspace_competition::run()
{
    for (std::size_t i = 0; i < options_.workspaces; ++i)
        schedule_arrival(i);
    for (duration at(0); at < options_.arrivals_to; at += tick_interval)
    {
        schedule(
            at,
            [this]
            {
                coordinator_.tick(clock_.now(), 1);
                if (elapsed() < options_.hot_from ||
                    elapsed() >= options_.hot_to)
                    return;
                load_sum_ += load_per_slot();
                ++load_samples_;
            });
    }
    if (options_.coordinators_lost_at)
    {
        schedule(
            *options_.coordinators_lost_at,
            [this]
            {
                coordinator_ = quota_coordinator(bounds);
                coordinator_.set_reports_use(options_.uses_shares);
            });
    }
    auto const end = started_ + options_.arrivals_to + end_after_arrivals;
    while (!events_.empty() && events_.top().at <= end)
    {
        auto const at = events_.top().at;
        auto const action = events_.top().action;
        events_.pop();
        clock_.advance(at - clock_.now());
        action();
    }
    return results_;
}

} // namespace testing
} // namespace walnutmill

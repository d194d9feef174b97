/// \file
/// Losses of all nodes at the same moment, alone and in series, and programs
/// with small budgets whose kept turns are continued before and after them.

#include "soak_world.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <utility>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;
using testing::call_kind;
using testing::http_request;
using testing::link_ptr;
using testing::standin_target;

/// Between two series of losses.
constexpr int least_gap_ms = 700;
constexpr int most_gap_ms = 3'500;
constexpr double is_single = 0.5;
constexpr int most_in_series = 4;
/// Between the return of all nodes and the next loss of a series.
constexpr int least_series_pause_ms = 100;
constexpr int most_series_pause_ms = 1'500;
/// For how long all nodes are down.
constexpr int least_down_ms = 50;
constexpr int most_down_ms = 1'000;
/// A process that has just started gets no signal before it handles them.
constexpr milliseconds time_to_start{100};

/// The most of a turn, in tokens and as whole events; each generates less.
constexpr std::uint64_t turn_sizes[] = {40, 60, 90};
/// Budgets as multiples of the most of a turn.
constexpr std::uint64_t budget_factors[] = {2, 3, 8};
constexpr int last_size = 2;
constexpr int least_turns = 1;
constexpr int most_turns = 8;
constexpr int tries_of_a_turn = 3;
constexpr int least_retry_pause_ms = 100;
constexpr int most_retry_pause_ms = 400;
constexpr int most_tool_ms = 250;
constexpr double continues_earlier_turn = 0.2;
constexpr double runs_two_at_once = 0.25;
constexpr double is_parked = 0.6;
constexpr double returns = 0.4;
/// Part of the new programs that continue a turn of another one.
constexpr double continues_another = 0.4;
/// Well within the time for which turns are kept.
constexpr std::int64_t most_parked_ms = 30'000;
constexpr std::size_t most_parked = 16;
/// Callers whose programs begin after the last loss.
constexpr int new_programs = 4;

constexpr int least_event_ms = 5;
constexpr int most_event_ms = 100;
constexpr double stops_midway = 0.03;
constexpr double cuts_midway = 0.05;

constexpr int status_ok = 200;
constexpr int status_budget = 402;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;

} // namespace

/// Ends all nodes again and again until the other faults end.
void soak_world::play_losses()
{
    while (faults_)
    {
        std::this_thread::sleep_for(
            milliseconds(loss_dice_.between(least_gap_ms, most_gap_ms)));
        lose_in_series();
    }
}

void soak_world::lose_in_series()
{
    auto const times = loss_dice_.chance(is_single)
                           ? 1
                           : loss_dice_.between(2, most_in_series);
    count("fault: all nodes lost, " + std::to_string(times) + " in series");
    for (int i = 0; i < times; ++i)
    {
        if (i > 0)
        {
            std::this_thread::sleep_for(milliseconds(loss_dice_.between(
                least_series_pause_ms, most_series_pause_ms)));
        }
        lose_all_nodes();
    }
}

/// Kills all nodes at the same moment, also those that another fault holds, and
/// starts them again.
void soak_world::lose_all_nodes()
{
    std::vector<std::thread> restores;
    {
        std::lock_guard<std::mutex> const power(power_mutex_);
        for (auto const& one : processes_)
        {
            restores.emplace_back(
                [this, &one, trouble = trouble_began(*one),
                 fault = node_fault_began(), starts = one->process->starts()]
                {
                    restore_node(*one, starts);
                    trouble_ended(trouble);
                    node_fault_ended(fault);
                });
        }
        for (auto const& one : processes_)
            one->process->signal(SIGKILL);
        std::this_thread::sleep_for(
            milliseconds(loss_dice_.between(least_down_ms, most_down_ms)));
    }
    for (auto& one : restores)
        one.join();
}

/// Starts a node that was lost, unless the fault that held it did so.
/// \param starts how often it had been started before the loss
void soak_world::restore_node(soak_node& one, int starts)
{
    std::lock_guard<std::mutex> const alone(one.mutex);
    if (one.process->starts() != starts)
        return;
    one.process->wait();
    start_node(one);
    std::this_thread::sleep_for(time_to_start);
}

/// The last loss, after all other faults, and the time for recovery.
void soak_world::play_recovery()
{
    lose_in_series();
    auto const back = now_ms();
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        history_.back_ms = back;
    }
    back_ms_ = back;
    // Programs that stopped before the loss return after it.
    while (auto parked = take_parked(most_parked_ms))
    {
        program_callers_.emplace_back(
            [this, one = std::move(*parked)]() mutable
            {
                dice chances(options_.seed + (++last_id_));
                continue_program(one, chances);
            });
    }
    for (int i = 0; i < new_programs; ++i)
    {
        program_callers_.emplace_back([this, i]
                                      { keep_programs(small_programs + i); });
    }
    for (auto& one : program_callers_)
        one.join();
}

/// \return true while programs may begin a turn: after the last loss, as long
/// as it may take to reach an engine
bool soak_world::may_begin_turn() const
{
    auto const back = back_ms_.load();
    return back == 0 || now_ms() < back + testing::soak_recovery_ms -
                                       testing::soak_recovery_end_ms;
}

bool soak_world::may_try_again(int tries) const
{
    auto const back = back_ms_.load();
    return back == 0 ? tries < tries_of_a_turn
                     : now_ms() < back + testing::soak_recovery_ms;
}

/// Runs programs one after another until the recovery is over.
void soak_world::keep_programs(int number)
{
    constexpr std::uint64_t seed_step = 1'000'003;
    dice chances(
        options_.seed + static_cast<std::uint64_t>(number) * seed_step);
    while (may_begin_turn())
    {
        auto one = draw_program(chances);
        continue_program(one, chances);
    }
}

/// \return a program that has stopped, or a new one, which may continue from a
/// kept turn of another one
soak_world::small_program soak_world::draw_program(dice& chances)
{
    if (chances.chance(returns))
    {
        if (auto parked = take_parked(most_parked_ms))
            return std::move(*parked);
    }
    small_program to;
    to.run.id = "s" + std::to_string(++last_id_);
    to.run.turn_tokens = turn_sizes[chances.between(0, last_size)];
    to.run.budget =
        to.run.turn_tokens * budget_factors[chances.between(0, last_size)];
    to.run.keeps = true;
    to.last_turn_ms = now_ms();
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const may_continue =
        !ended_turns_.empty() &&
        ended_turns_.back().ended_ms >= now_ms() - most_parked_ms;
    if (may_continue && chances.chance(continues_another))
        to.kept.push_back(ended_turns_.back().id);
    return to;
}

std::optional<soak_world::small_program>
soak_world::take_parked(std::int64_t most_age_ms)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    parked_.erase(
        std::remove_if(
            parked_.begin(), parked_.end(),
            [oldest = now_ms() - most_age_ms](small_program const& one)
            { return one.last_turn_ms < oldest; }),
        parked_.end());
    if (parked_.empty())
        return std::nullopt;
    auto to = std::move(parked_.front());
    parked_.erase(parked_.begin());
    return to;
}

/// Runs some turns of a program, which may return later.
void soak_world::continue_program(small_program& one, dice& chances)
{
    auto const is_recovering = [this] { return back_ms_.load() != 0; };
    auto const turns = chances.between(least_turns, most_turns);
    auto is_refused = false;
    for (int i = 0; !is_refused && may_begin_turn(); ++i)
    {
        if (i >= turns && !is_recovering())
            break;
        is_refused = small_turn(one, chances) == turn_result::refused_for_good;
        std::this_thread::sleep_for(
            milliseconds(chances.between(0, most_tool_ms)));
    }
    if (one.kept.empty())
        return;
    std::lock_guard<std::mutex> const lock(mutex_);
    ended_turns_.push_back({one.kept.back(), one.last_turn_ms});
    if (!is_refused && parked_.size() < most_parked &&
        chances.chance(is_parked))
        parked_.push_back(std::move(one));
}

/// Runs a turn, or two at once that continue from the same one.
soak_world::turn_result
soak_world::small_turn(small_program& one, dice& chances)
{
    if (!one.kept.empty())
    {
        auto const last = static_cast<int>(one.kept.size()) - 1;
        auto const from = chances.chance(continues_earlier_turn)
                              ? chances.between(0, last)
                              : last;
        one.run.last_kept = one.kept[static_cast<std::size_t>(from)];
    }
    auto other = one.run;
    auto other_result = turn_result::failed;
    std::thread second;
    if (chances.chance(runs_two_at_once))
    {
        second = std::thread([this, &other, &other_result, &chances]
                             { other_result = try_turn(other, chances); });
    }
    auto const result = try_turn(one.run, chances);
    if (second.joinable())
        second.join();
    if (other_result == turn_result::kept)
        one.kept.push_back(other.last_kept);
    if (result == turn_result::kept)
        one.kept.push_back(one.run.last_kept);
    one.last_turn_ms = now_ms();
    return other_result == turn_result::refused_for_good ? other_result
                                                         : result;
}

/// Tries a turn until it reaches an engine or is refused for good. After the
/// last loss it is tried as long as the time for recovery lasts.
soak_world::turn_result soak_world::try_turn(program_run& one, dice& chances)
{
    one.turn = "turn" + std::to_string(++last_id_);
    for (int tries = 0; may_try_again(tries); ++tries)
    {
        auto const got = attempt(
            one, call_kind::kept_turn, chances.between(0, options_.nodes - 1),
            paced_path, {});
        auto const after = back_ms_.load() != 0;
        count(
            std::string(one.last_kept.empty() ? "first" : "continuing") +
            " turn of a small budget" + (after ? " after the loss" : "") +
            ": " +
            (got.status == 0 ? name_of(got.end)
                             : std::to_string(got.status) +
                                   (got.status == status_ok ? "" : " ") +
                                   (got.status == status_ok ? "" : got.body)));
        if (got.status == status_ok && !got.whole)
            return turn_result::failed;
        if (got.status == status_ok)
        {
            one.last_kept = got.id;
            return turn_result::kept;
        }
        if (got.status == status_budget || got.status == status_not_found ||
            got.status == status_gone)
            return turn_result::refused_for_good;
        std::this_thread::sleep_for(milliseconds(
            chances.between(least_retry_pause_ms, most_retry_pause_ms)));
    }
    return turn_result::failed;
}

/// Answers a kept turn with events that come one after another.
void soak_world::answer_paced(
    link_ptr const& link, http_request const& request, standin_target& at)
{
    std::string const id(request["Request-Id"]);
    auto const running = begin_call(at);
    auto const stops = faults_ && dice_.chance(stops_midway);
    auto const cuts = faults_ && dice_.chance(cuts_midway);
    link->write(stream_head(id, load_header(at)));
    milliseconds time{0};
    for (int i = 1; i <= testing::soak_events; ++i)
    {
        time += time_at(
            at,
            milliseconds(loss_dice_.between(least_event_ms, most_event_ms)));
        if (i == testing::soak_events && (stops || cuts))
            break;
        at.server().later(
            time, [link, id, i, running]
            { link->write(sized_chunk(testing::soak_event(id, i))); });
    }
    if (stops)
    {
        count("target stopped midway");
        return;
    }
    if (cuts)
        count("target cut in the middle");
    at.server().later(
        time,
        [link, cuts, running]
        {
            if (cuts)
            {
                standin_target::cut(link);
                return;
            }
            link->write("0\r\n\r\n");
            link->finish_answer();
        });
}

} // namespace soak
} // namespace walnutmill

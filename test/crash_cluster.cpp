#include "crash_cluster.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace testing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds one_way{1};
constexpr milliseconds tick_interval{200};
constexpr milliseconds stall_time{450};
constexpr milliseconds start_time{300};
/// Time after which the entry of an engine that has ended is gone for a node.
constexpr milliseconds entry_lapses_after{3'600};
constexpr milliseconds entry_read_interval{60};
constexpr milliseconds choose_again_after{100};
/// Longest time for which a node serves before it has read the members.
constexpr milliseconds members_known_after{1'200};
constexpr milliseconds min_run{30};
constexpr milliseconds max_run{400};
/// Time after which a caller gives an attempt up.
constexpr seconds caller_patience{2};
constexpr seconds longest_fault{4};
constexpr int max_sends_of_attempt = 6;
/// Number of contents that popular requests share.
constexpr std::size_t popular_contents = 5;

} // namespace

crash_cluster::crash_cluster(crash_cluster_options options)
    : options_(options),
      random_(seeded_random(static_cast<std::uint32_t>(options.seed)))
{
    clock_.advance(seconds(1'000));
    for (std::size_t i = 0; i < options_.engines; ++i)
        engines_.push_back({"e" + std::to_string(++last_id_)});
    nodes_.resize(options_.nodes);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        nodes_[i].name = "node-" + std::to_string(i);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        start(i);
    at(now() + seconds(1), [this] { begin_requests(); });
    at(now() + seconds(1), [this] { crash_engines(); });
}

void crash_cluster::run_for(duration span)
{
    auto const end = now() + span;
    while (!events_.empty() && events_.begin()->first <= end)
    {
        auto const first = events_.begin();
        clock_.advance(first->first - now());
        auto const action = std::move(first->second);
        events_.erase(first);
        action();
    }
    clock_.advance(end - now());
}

crash_cluster::outcome crash_cluster::result()
{
    auto result = result_;
    for (auto const& one : deadly_)
    {
        ++result.deadly;
        result.ended += one->ended;
        result.sent_on += one->sent_on;
        result.most_ended = std::max(result.most_ended, one->ended);
        auto const meanwhile = static_cast<std::size_t>(std::count_if(
            disturbances_.begin(), disturbances_.end(),
            [&one](time_point begin)
            {
                return begin >= one->first_attempt_at - longest_fault &&
                       begin <= one->last_attempt_at;
            }));
        result.beyond_bound +=
            one->ended > max_request_crashes + meanwhile ? 1 : 0;
    }
    return result;
}

duration crash_cluster::between(duration least, duration most)
{
    return least + duration(static_cast<duration::rep>(
                       draw() * static_cast<double>((most - least).count())));
}

std::size_t crash_cluster::below(std::size_t count)
{
    return std::min(
        count - 1,
        static_cast<std::size_t>(draw() * static_cast<double>(count)));
}

void crash_cluster::at(time_point when, std::function<void()> action)
{
    events_.emplace(when, std::move(action));
}

void crash_cluster::on_node(
    std::size_t index, std::uint64_t incarnation, duration after,
    std::function<void()> action)
{
    at(now() + after,
       [this, index, incarnation, action = std::move(action)]
       {
           auto const& one = nodes_[index];
           if (!one.alive || one.incarnation != incarnation)
               return;
           if (now() < one.frozen_until)
               on_node(index, incarnation, one.frozen_until - now(), action);
           else
               action();
       });
}

void crash_cluster::start(std::size_t index)
{
    auto& one = nodes_[index];
    ++one.incarnation;
    one.alive = true;
    crash_exchange::hooks hooks;
    hooks.send = [this, index](std::string const& to, std::string bytes)
    { send(index, to, std::move(bytes)); };
    hooks.schedule_after = [this, index, incarnation = one.incarnation](
                               duration after, std::function<void()> what)
    { on_node(index, incarnation, after, std::move(what)); };
    one.crashes = std::make_unique<crash_exchange>(
        clock_.fn(), random_, std::move(hooks));
    on_node(
        index, one.incarnation, between(duration(0), members_known_after),
        [this, index] { tell_members(index); });
    tick(index);
}

void crash_cluster::tell_members(std::size_t index)
{
    std::vector<entry_member> others;
    for (auto const& other : nodes_)
    {
        if (&other != &nodes_[index])
            others.push_back({other.name, other.name, "z", "", 1});
    }
    nodes_[index].crashes->set_nodes(others);
}

void crash_cluster::tick(std::size_t index)
{
    nodes_[index].crashes->tick();
    on_node(
        index, nodes_[index].incarnation, tick_interval,
        [this, index] { tick(index); });
}

void crash_cluster::send(
    std::size_t from, std::string const& to, std::string bytes)
{
    ++datagrams_;
    datagram_bytes_ += bytes.size();
    auto const found = std::find_if(
        nodes_.begin(), nodes_.end(),
        [&to](node const& one) { return one.name == to; });
    auto const target = static_cast<std::size_t>(found - nodes_.begin());
    auto const is_cut = now() < nodes_[from].cut_off_until ||
                        now() < nodes_[target].cut_off_until;
    if (is_cut || draw() < options_.loss || !nodes_[target].alive)
        return;
    on_node(
        target, nodes_[target].incarnation, between(one_way, one_way * 3),
        [this, from, target, bytes = std::move(bytes)]
        {
            nodes_[target].crashes->handle(
                bytes, nodes_[from].name,
                [this, from, target](std::string reply)
                { send(target, nodes_[from].name, std::move(reply)); });
        });
}

void crash_cluster::begin_requests()
{
    auto const one = std::make_shared<request>();
    auto const is_popular = draw() < options_.popular;
    one->digest = is_popular ? 1 + below(popular_contents) : 1'000 + ++last_id_;
    one->deadly = !is_popular && draw() < options_.deadly;
    one->silent = draw() < options_.silent;
    ++result_.requests;
    if (one->deadly)
        deadly_.push_back(one);
    begin(one);
    at(now() + duration(static_cast<duration::rep>(
                   2 * draw() / options_.requests_per_s * 1e6)),
       [this] { begin_requests(); });
}

void crash_cluster::send_copies(std::size_t copies)
{
    auto const digest = 1'000 + ++last_id_;
    for (std::size_t i = 0; i < copies; ++i)
    {
        auto const one = std::make_shared<request>();
        one->digest = digest;
        one->deadly = true;
        deadly_.push_back(one);
        begin(one);
    }
}

void crash_cluster::crash_engines()
{
    if (options_.crashes_per_s <= 0)
        return;
    end_engine(below(engines_.size()));
    at(now() + duration(static_cast<duration::rep>(
                   2 * draw() / options_.crashes_per_s * 1e6)),
       [this] { crash_engines(); });
}

/// Another incarnation starts after some time.
void crash_cluster::end_engine(std::size_t index)
{
    if (!engines_[index].alive)
        return;
    engines_[index].alive = false;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        on_node(
            i, nodes_[i].incarnation,
            entry_lapses_after + i * entry_read_interval,
            [this, i, id = engines_[index].id]
            { nodes_[i].crashes->engine_ended(target_name(id)); });
    }
    at(now() + between(seconds(1), seconds(3)),
       [this, index] { engines_[index] = {"e" + std::to_string(++last_id_)}; });
}

void crash_cluster::lose_domain(std::size_t domain)
{
    for (std::size_t i = domain; i < engines_.size(); i += options_.domains)
        end_engine(i);
}

void crash_cluster::lose_all_engines()
{
    for (std::size_t i = 0; i < engines_.size(); ++i)
        end_engine(i);
}

/// The caller's next attempt.
void crash_cluster::begin(request_ptr const& one)
{
    auto const index = below(nodes_.size());
    auto const& on = nodes_[index];
    if (one->attempts == 0)
        one->first_attempt_at = now();
    ++one->attempts;
    auto const next = std::make_shared<attempt>();
    next->of = one;
    next->node = index;
    next->incarnation = on.incarnation;
    next->began_at = now();
    next->id = "r" + std::to_string(++last_id_);
    if (!on.alive || now() < on.frozen_until)
        fail(next, milliseconds(300));
    else
        send_to_engine(next);
}

void crash_cluster::fail(attempt_ptr const& one, duration after)
{
    if (std::exchange(one->over, true))
        return;
    auto const& request = one->of;
    request->last_attempt_at = now();
    if (request->attempts >= options_.attempts)
        return;
    at(now() + after, [this, request] { begin(request); });
}

/// Follows call_flow::choose_engine().
void crash_cluster::send_to_engine(attempt_ptr const& one)
{
    auto& on = nodes_[one->node];
    auto& request = *one->of;
    auto const verdict = on.crashes->verdict(request.digest);
    if (verdict == send_verdict::quarantined ||
        verdict == send_verdict::awaits_other_run)
    {
        if (!request.deadly && !std::exchange(request.refused, true))
            ++result_.harmless_refused;
        fail(one, between(milliseconds(120), milliseconds(400)));
        return;
    }
    if (verdict == send_verdict::awaits_records)
    {
        if (one->over)
            return;
        if (!on.crashes->await_records(
                request.digest, [this, one] { send_to_engine(one); }))
            fail(one, between(milliseconds(120), milliseconds(400)));
        at(now() + caller_patience, [this, one] { give_up(one); });
        return;
    }
    auto const is_limited = verdict == send_verdict::limited_to_its_engines;
    auto const its_engines =
        on.crashes->record().running_engines(request.digest);
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        auto const has_it =
            std::find(its_engines.begin(), its_engines.end(), engines_[i].id) !=
            its_engines.end();
        if (engines_[i].alive && (has_it || !is_limited))
            candidates.push_back(i);
    }
    if (candidates.empty() && is_limited)
    {
        on_node(
            one->node, one->incarnation, choose_again_after,
            [this, one]
            {
                if (!one->over)
                    send_to_engine(one);
            });
        return;
    }
    if (candidates.empty() || ++one->sends > max_sends_of_attempt)
    {
        fail(one, between(milliseconds(10), milliseconds(600)));
        return;
    }
    auto const engine = candidates[below(candidates.size())];
    request_run const run{
        request.digest,
        {"w", "p", "turns", one->id},
        ++last_id_,
        target_name(engines_[engine].id),
        now()};
    one->current = run.id;
    one->run = run;
    if (verdict != send_verdict::allowed)
        on.crashes->run_began(run);
    if (request.deadly)
    {
        request.sent_on += request.ended >= max_request_crashes ? 1 : 0;
        at(now() + between(milliseconds(10), milliseconds(60)),
           [this, one, engine, run]
           {
               auto& of = *one->of;
               of.ended += engines_[engine].id == run.engine.id.str() &&
                                   engines_[engine].alive
                               ? 1
                               : 0;
               end_engine(engine);
               if (of.silent)
               {
                   on_node(
                       one->node, one->incarnation, stall_time,
                       [this, one, run] { check_silence(one, run); });
                   return;
               }
               on_node(
                   one->node, one->incarnation, one_way,
                   [this, one, run] { interrupted(one, run); });
           });
    }
    else
        run_harmless(one, engine, run, now() + between(min_run, max_run));
    // A caller whose node ends or stands still tries another one.
    at(now() + caller_patience, [this, one] { give_up(one); });
}

/// \param until when the engine has run the request, if it is not silent then
void crash_cluster::run_harmless(
    attempt_ptr const& one, std::size_t engine, request_run const& run,
    time_point until)
{
    auto const breaks = draw() < options_.broken_runs;
    at(until,
       [this, one, engine, run, breaks]
       {
           auto const& at_work = engines_[engine];
           auto const is_up =
               at_work.alive && at_work.id == run.engine.id.str();
           if (is_up && now() < at_work.silent_until)
           {
               on_node(
                   one->node, one->incarnation,
                   std::max(run.began + stall_time - now(), duration(0)),
                   [this, one, run] { check_silence(one, run); });
               at(at_work.silent_until, [this, one, engine, run, breaks]
                  { end_harmless(one, engine, run, breaks); });
               return;
           }
           end_harmless(one, engine, run, breaks);
       });
}

void crash_cluster::end_harmless(
    attempt_ptr const& one, std::size_t engine, request_run const& run,
    bool breaks)
{
    auto const is_up =
        engines_[engine].alive && engines_[engine].id == run.engine.id.str();
    on_node(
        one->node, one->incarnation, one_way,
        [this, one, run, answers = is_up && !breaks]
        {
            // The engine drops a request whose connection was closed.
            if (one->current != run.id)
                return;
            auto& crashes = *nodes_[one->node].crashes;
            if (!answers)
            {
                one->met_ended_engine = true;
                interrupted(one, run);
                return;
            }
            one->current = 0;
            crashes.engine_responded(run.engine, run.began);
            crashes.run_answered(run.request);
            result_.answered += std::exchange(one->over, true) ? 0 : 1;
        });
}

/// Follows call_flow::check_progress() and leave_silent_engine().
void crash_cluster::check_silence(
    attempt_ptr const& one, request_run const& run)
{
    if (one->current != run.id)
        return;
    auto& crashes = *nodes_[one->node].crashes;
    // The route allows two engines.
    if (!one->over &&
        (one->sends >= 2 || !crashes.may_leave(run.request, run.engine)))
        return;
    if (!one->over && crashes.lacks_confirmation(run.request))
    {
        crashes.await_records(
            run.request, [this, one, run] { check_silence(one, run); });
        return;
    }
    fell_silent(one, run);
    if (!one->over)
        send_to_engine(one);
}

void crash_cluster::fell_silent(attempt_ptr const& one, request_run const& run)
{
    one->current = 0;
    nodes_[one->node].crashes->run_fell_silent(run, run.began);
}

/// The caller leaves.
void crash_cluster::give_up(attempt_ptr const& one)
{
    if (one->over)
        return;
    auto const& request = *one->of;
    auto const& on = nodes_[one->node];
    auto const is_served = on.alive && on.incarnation == one->incarnation &&
                           on.frozen_until <= one->began_at;
    if (!request.deadly && is_served && !one->met_ended_engine)
        ++result_.harmless_lost;
    fail(one, duration(0));
    if (one->current == 0 || now() - one->run.began < stall_time)
        return;
    on_node(
        one->node, one->incarnation, one_way,
        [this, one, run = one->run]
        {
            if (one->current == run.id)
                fell_silent(one, run);
        });
}

void crash_cluster::interrupted(attempt_ptr const& one, request_run const& run)
{
    one->current = 0;
    // A node records the crash even if the caller has left.
    nodes_[one->node].crashes->run_interrupted(run);
    if (one->over)
        return;
    // The route allows two engines.
    if (one->sends < 2)
        send_to_engine(one);
    else
        fail(one, between(milliseconds(3), milliseconds(600)));
}

void crash_cluster::pause(std::size_t engine, duration span)
{
    auto& one = engines_[engine];
    one.silent_until = std::max(one.silent_until, now() + span);
}

void crash_cluster::pause_domain(std::size_t domain, duration span)
{
    for (std::size_t i = domain; i < engines_.size(); i += options_.domains)
        pause(i, span);
}

void crash_cluster::kill(std::size_t index, duration down)
{
    auto& one = nodes_[index];
    if (!one.alive)
        return;
    disturbances_.push_back(now());
    one.alive = false;
    ++one.incarnation;
    one.crashes.reset();
    one.frozen_until = {};
    at(now() + down + start_time, [this, index] { start(index); });
}

void crash_cluster::freeze(std::size_t index, duration span)
{
    disturbances_.push_back(now());
    nodes_[index].frozen_until =
        std::max(nodes_[index].frozen_until, now() + span);
}

/// Counts as one disturbance.
void crash_cluster::freeze_all(duration span)
{
    disturbances_.push_back(now());
    for (auto& one : nodes_)
        one.frozen_until = std::max(one.frozen_until, now() + span);
}

void crash_cluster::cut_off(std::size_t index, duration span)
{
    disturbances_.push_back(now());
    nodes_[index].cut_off_until =
        std::max(nodes_[index].cut_off_until, now() + span);
}

void crash_cluster::disturb()
{
    auto const span = between(milliseconds(300), seconds(3));
    constexpr std::size_t kinds = 4;
    switch (below(kinds))
    {
    case 0:
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (draw() < 0.33)
                kill(i, span / 4);
        }
        return;
    case 1:
        return kill(below(nodes_.size()), span);
    case 2:
        return freeze(below(nodes_.size()), span);
    default:
        return cut_off(below(nodes_.size()), span);
    }
}

} // namespace testing
} // namespace walnutmill

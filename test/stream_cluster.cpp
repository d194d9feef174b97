#include "stream_cluster.hpp"

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

service_name const service("llm");
constexpr milliseconds one_way{1};
constexpr milliseconds tick_interval{200};
constexpr milliseconds store_latency{5};
/// Time after a disturbance from which a node counts as in touch.
constexpr seconds contact_time{3};
constexpr milliseconds start_time{300};
/// Until a caller notices that its stream is lost and resumes it.
constexpr milliseconds min_retry_delay{10};
constexpr milliseconds max_retry_delay{600};
constexpr milliseconds min_stream_time{100};
constexpr milliseconds max_stream_time{900};
constexpr int max_attempts = 3;
/// Part of the store's calls that stay unanswered; half of the transactions
/// among them take effect, some late.
constexpr double unanswered_calls = 0.05;

} // namespace

stream_cluster::stream_cluster(stream_cluster_options options)
    : options_(options),
      random_(seeded_random(static_cast<std::uint32_t>(options.seed)))
{
    clock_.advance(seconds(1'000));
    rows_.set_clock(clock_.fn());
    for (std::size_t i = 0; i < options_.engines; ++i)
        engines_.push_back({"e" + std::to_string(++last_engine_), "1.0"});
    nodes_.resize(options_.nodes);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i].name = "node-" + std::to_string(i);
        nodes_[i].domain = "z" + std::to_string(i % options_.domains);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        start(i);
    at(now() + seconds(1), [this] { begin_streams(); });
}

void stream_cluster::run_for(duration span)
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

std::size_t stream_cluster::max_origins() const
{
    std::size_t most = 0;
    for (auto const& one : nodes_)
        most = std::max(most, one.origins ? one.origins->size() : 0);
    return most;
}

duration stream_cluster::between(duration least, duration most)
{
    return least + duration(static_cast<duration::rep>(
                       draw() * static_cast<double>((most - least).count())));
}

std::size_t stream_cluster::random_node()
{
    return std::min(
        nodes_.size() - 1,
        static_cast<std::size_t>(draw() * static_cast<double>(nodes_.size())));
}

void stream_cluster::at(time_point when, std::function<void()> action)
{
    events_.emplace(when, std::move(action));
}

void stream_cluster::on_node(
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
           {
               auto const order = options_.frozen_nodes_queue
                                      ? between({}, one_way)
                                      : duration(0);
               on_node(
                   index, incarnation, one.frozen_until - now() + order,
                   action);
               return;
           }
           action();
       });
}

void stream_cluster::disturb_until(std::size_t index, time_point until)
{
    auto& one = nodes_[index];
    one.disturbed_until = std::max(one.disturbed_until, until + contact_time);
}

bool stream_cluster::reaches_store(std::size_t index) const
{
    return now() >= store_away_until_ && now() >= nodes_[index].no_store_until;
}

void stream_cluster::start(std::size_t index)
{
    auto& one = nodes_[index];
    ++one.incarnation;
    one.alive = true;
    one.view.clear();
    auto const incarnation = one.incarnation;
    origin_exchange::hooks hooks;
    hooks.send = [this, index](std::string const& to, std::string bytes)
    { send(index, to, std::move(bytes)); };
    hooks.schedule_after =
        [this, index, incarnation](duration after, std::function<void()> what)
    { on_node(index, incarnation, after, std::move(what)); };
    one.origins = std::make_unique<origin_exchange>(
        clock_.fn(), one.name, one.domain, std::move(hooks), options_.origins);
    std::vector<entry_member> others;
    for (auto const& other : nodes_)
    {
        if (&other != &one)
            others.push_back({other.name, other.name, other.domain, "", 1});
    }
    one.origins->set_nodes(std::move(others));
    version_register::hooks version_hooks;
    version_hooks.on_several_versions = [&one](service_name const& of)
    { one.origins->publish(of); };
    one.versions = std::make_unique<version_register>(
        store_of(index), clock_.fn(), random_, std::move(version_hooks),
        options_.versions);
    read_engines(index);
    tick(index);
}

void stream_cluster::tick(std::size_t index)
{
    nodes_[index].versions->tick();
    on_node(
        index, nodes_[index].incarnation, tick_interval,
        [this, index] { tick(index); });
}

void stream_cluster::read_engines(std::size_t index)
{
    auto& one = nodes_[index];
    if (reaches_store(index) && now() >= one.no_engines_until)
    {
        std::vector<engine_entry> entries;
        for (auto const& engine : engines_)
        {
            engine_entry entry;
            entry.id = target_name(engine.id);
            entry.service = service;
            entry.version = engine.version;
            entries.push_back(std::move(entry));
        }
        // The answer takes some time, in which the engines change.
        on_node(
            index, one.incarnation, between(one_way, store_latency * 4),
            [&one, engines = engines_, entries = std::move(entries)]
            {
                one.view = engines;
                one.versions->set_engines(entries);
            });
    }
    on_node(
        index, one.incarnation,
        between(options_.max_view_age / 4, options_.max_view_age),
        [this, index] { read_engines(index); });
}

versioned_store stream_cluster::store_of(std::size_t index)
{
    auto const incarnation = nodes_[index].incarnation;
    // Calls back on the node, or tells it after the timeout that there is no
    // answer.
    auto const answer =
        [this, index, incarnation](
            bool answered, duration timeout, std::function<void(bool)> done)
    {
        on_node(
            index, incarnation, answered ? duration(one_way) : timeout,
            [answered, done = std::move(done)] { done(answered); });
    };
    versioned_store to;
    to.read = [this, index, answer](
                  row_range const& range, milliseconds timeout,
                  std::function<void(range_result)> const& done)
    {
        ++store_reads_;
        auto const result = std::make_shared<range_result>();
        at(now() + between(one_way, store_latency * 3),
           [this, index, answer, range, timeout, done, result]
           {
               auto const answered =
                   reaches_store(index) && draw() >= unanswered_calls;
               rows_.calls().read(
                   range, timeout,
                   [result](range_result const& read) { *result = read; });
               rows_.run();
               answer(
                   answered, timeout,
                   [done, result](bool is_answered)
                   { done(is_answered ? *result : range_result()); });
           });
    };
    to.commit = [this, index, answer](
                    row_transaction const& one, milliseconds timeout,
                    std::function<void(transaction_result)> const& done)
    {
        ++store_writes_;
        auto const result = std::make_shared<transaction_result>();
        auto const answered = draw() >= unanswered_calls;
        auto const takes_effect = answered || draw() < 0.5;
        auto const late = !answered && draw() < 0.5;
        auto const apply = [this, one, timeout, result]
        {
            rows_.calls().commit(
                one, timeout,
                [result](transaction_result const& is) { *result = is; });
            rows_.run();
        };
        at(now() + between(one_way, store_latency * 3),
           [this, index, answer, answered, takes_effect, late, apply, timeout,
            done, result]
           {
               auto const reached = reaches_store(index);
               if (reached && takes_effect && late)
                   at(now() + between(seconds(1), seconds(6)), apply);
               else if (reached && takes_effect)
                   apply();
               answer(
                   reached && answered, timeout,
                   [done, result](bool is_answered)
                   { done(is_answered ? *result : transaction_result()); });
           });
    };
    return to;
}

void stream_cluster::send(
    std::size_t from, std::string const& to, std::string bytes)
{
    ++datagrams_;
    datagram_bytes_ += bytes.size();
    auto const found = std::find_if(
        nodes_.begin(), nodes_.end(),
        [&to](node const& one) { return one.name == to; });
    auto const target = static_cast<std::size_t>(found - nodes_.begin());
    auto const is_cut = now() < nodes_[from].no_nodes_until ||
                        now() < nodes_[target].no_nodes_until;
    if (is_cut || draw() < options_.loss || !nodes_[target].alive)
        return;
    on_node(
        target, nodes_[target].incarnation, between(one_way, one_way * 3),
        [this, from, target, bytes = std::move(bytes)]
        {
            nodes_[target].origins->handle(
                bytes, [this, from, target](std::string reply)
                { send(target, nodes_[from].name, std::move(reply)); });
        });
}

std::vector<stream_cluster::engine>
stream_cluster::engines_of(std::size_t index, std::string const& version) const
{
    std::vector<engine> found;
    for (auto const& one : nodes_[index].view)
    {
        auto const is_up = std::any_of(
            engines_.begin(), engines_.end(),
            [&one](engine const& other) { return other.id == one.id; });
        if (is_up && (version.empty() || one.version == version))
            found.push_back(one);
    }
    return found;
}

void stream_cluster::begin_streams()
{
    begin(random_node());
    at(now() + duration(static_cast<duration::rep>(
                   2 * draw() / options_.streams_per_s *
                   static_cast<double>(duration(seconds(1)).count()))),
       [this] { begin_streams(); });
}

void stream_cluster::begin(std::size_t index)
{
    auto const& one = nodes_[index];
    if (!one.alive || now() < one.frozen_until)
        return;
    auto candidates = engines_of(index, {});
    candidates.erase(
        std::remove_if(
            candidates.begin(), candidates.end(),
            [&one](engine const& each)
            { return !one.versions->may_begin(service, each.version); }),
        candidates.end());
    if (candidates.empty())
    {
        ++result_.not_begun;
        return;
    }
    ++result_.begun;
    auto const fresh = std::make_shared<stream>();
    fresh->id = "s" + std::to_string(++last_stream_);
    fresh->is_named = draw() >= options_.unnamed;
    fresh->version =
        candidates[std::min(
                       candidates.size() - 1,
                       static_cast<std::size_t>(
                           draw() * static_cast<double>(candidates.size())))]
            .version;
    serve(index, fresh);
}

void stream_cluster::serve(std::size_t index, stream_ptr const& one)
{
    auto& on = nodes_[index];
    one->node = index;
    one->incarnation = on.incarnation;
    ++one->attempts;
    stream_origin const origin{service, one->version};
    auto const key = stream_key_of(one->id);
    on.origins->record(key, origin);
    if (on.versions->has_several(service) || !reaches_store(index))
        on.origins->copy(key, origin);
    active_.push_back(one);
    auto const serving = one->attempts;
    auto const breaks = draw() < options_.broken;
    at(now() + between(min_stream_time, max_stream_time),
       [this, one, serving, breaks]
       {
           if (one->attempts != serving || one->ended)
               return;
           if (breaks)
               lose(one);
           else
               one->ended = true;
       });
}

/// The caller has lost its connection.
void stream_cluster::lose(stream_ptr const& one)
{
    ++one->attempts;
    one->node = nodes_.size();
    if (one->attempts >= 2 * max_attempts)
    {
        one->ended = true;
        return;
    }
    at(now() + between(min_retry_delay, max_retry_delay),
       [this, one] { resume(one); });
}

void stream_cluster::resume(stream_ptr const& one)
{
    auto const at_first =
        options_.resumed_at_first > 0 && draw() < options_.resumed_at_first;
    auto const index = at_first ? 0 : random_node();
    auto const& on = nodes_[index];
    auto const is_frozen = now() < on.frozen_until;
    if (on.alive && is_frozen && options_.frozen_nodes_queue)
    {
        on_node(
            index, on.incarnation, {},
            [this, index, one] { resume_on(index, one); });
        return;
    }
    if (!on.alive || is_frozen)
    {
        lose(one);
        return;
    }
    resume_on(index, one);
}

void stream_cluster::resume_on(std::size_t index, stream_ptr const& one)
{
    auto const& on = nodes_[index];
    auto const key = stream_key_of(one->id);
    if (one->is_named)
    {
        if (auto const origin = on.origins->find_local(key))
        {
            resume_at(index, one, origin->version);
            return;
        }
    }
    struct search
    {
        int pending = 0;
        bool found = false;
    };
    auto const state = std::make_shared<search>();
    state->pending = one->is_named ? 2 : 1;
    auto const answer = [this, index, one, state, incarnation = on.incarnation](
                            std::optional<std::string> const& version)
    {
        --state->pending;
        if (state->found || nodes_[index].incarnation != incarnation ||
            (!version && state->pending > 0))
            return;
        state->found = true;
        resume_at(index, one, version);
    };
    if (one->is_named)
    {
        on.origins->find(
            key,
            [answer](std::optional<stream_origin> const& origin)
            {
                answer(
                    origin ? std::optional<std::string>(origin->version)
                           : std::nullopt);
            });
    }
    on.versions->find_only_version(service, answer);
}

void stream_cluster::resume_at(
    std::size_t index, stream_ptr const& one,
    std::optional<std::string> const& version)
{
    auto const serving = std::count_if(
        engines_.begin(), engines_.end(),
        [&one](engine const& each) { return each.version == one->version; });
    constexpr int engines_needed = 2;
    auto const is_owed = one->is_named && serving >= engines_needed &&
                         now() >= nodes_[index].disturbed_until;
    auto const goes_on = version && !engines_of(index, *version).empty();
    result_.owed += is_owed ? 1 : 0;
    result_.at_disturbed += now() < nodes_[index].disturbed_until ? 1 : 0;
    if (!goes_on)
    {
        ++result_.refused;
        one->ended = true;
        return;
    }
    ++result_.resumed;
    result_.owed_resumed += is_owed ? 1 : 0;
    if (*version != one->version)
    {
        ++result_.mixed;
        one->ended = true;
        return;
    }
    serve(index, one);
}

void stream_cluster::release(
    std::string const& version, double share, duration gap)
{
    auto const count =
        static_cast<std::size_t>(share * static_cast<double>(engines_.size()));
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const when = now() + gap * static_cast<int>(i);
        at(when,
           [this, version] {
               engines_.push_back(
                   {"e" + std::to_string(++last_engine_), version});
           });
        at(when + seconds(1),
           [this, version]
           {
               auto const other = std::find_if(
                   engines_.begin(), engines_.end(),
                   [&version](engine const& one)
                   { return one.version != version; });
               if (other != engines_.end())
                   engines_.erase(other);
           });
    }
}

void stream_cluster::keep_only(std::string const& version)
{
    for (auto& one : engines_)
    {
        if (one.version != version)
            one = {"e" + std::to_string(++last_engine_), version};
    }
}

void stream_cluster::reset_connections(std::size_t index)
{
    auto const active = std::exchange(active_, {});
    for (auto const& one : active)
    {
        if (one->ended)
            continue;
        if (one->node == index)
            lose(one);
        else
            active_.push_back(one);
    }
}

void stream_cluster::kill(std::size_t index, duration down)
{
    auto& one = nodes_[index];
    if (!one.alive)
        return;
    one.alive = false;
    ++one.incarnation;
    one.origins.reset();
    one.versions.reset();
    one.frozen_until = {};
    disturb_until(index, now() + down);
    reset_connections(index);
    at(now() + down + start_time, [this, index] { start(index); });
}

void stream_cluster::freeze(std::size_t index, duration span)
{
    auto& one = nodes_[index];
    if (!one.alive)
        return;
    one.frozen_until = std::max(one.frozen_until, now() + span);
    disturb_until(index, now() + span);
    reset_connections(index);
}

void stream_cluster::cut_off_from_store(std::size_t index, duration span)
{
    nodes_[index].no_store_until =
        std::max(nodes_[index].no_store_until, now() + span);
    disturb_until(index, now() + span);
}

void stream_cluster::cut_off_from_nodes(std::size_t index, duration span)
{
    nodes_[index].no_nodes_until =
        std::max(nodes_[index].no_nodes_until, now() + span);
    disturb_until(index, now() + span);
}

void stream_cluster::keep_engines(std::size_t index, duration span)
{
    nodes_[index].no_engines_until =
        std::max(nodes_[index].no_engines_until, now() + span);
    disturb_until(index, now() + span);
}

void stream_cluster::take_store_away(duration span)
{
    store_away_until_ = std::max(store_away_until_, now() + span);
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        disturb_until(i, now() + span);
}

void stream_cluster::disturb()
{
    constexpr int kinds = 9;
    auto const span = between(milliseconds(300), seconds(5));
    switch (static_cast<int>(draw() * kinds))
    {
    case 0:
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (draw() < 0.33)
                kill(i, span / 4);
        }
        return;
    case 1:
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            kill(i, span / 4);
        return;
    case 2:
        return kill(random_node(), span);
    case 3:
        return freeze(random_node(), span);
    case 4:
        return cut_off_from_store(random_node(), span);
    case 5:
        return cut_off_from_nodes(random_node(), span);
    case 6:
        return take_store_away(span);
    case 7:
        return release(
            "1." + std::to_string(static_cast<int>(draw() * 4)),
            0.3 + 0.7 * draw(), between(milliseconds(50), milliseconds(800)));
    default:
        return reset_connections(random_node());
    }
}

} // namespace testing
} // namespace walnutmill

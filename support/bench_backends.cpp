#include "bench_backends.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill::bench
{

namespace
{

// A millisecond between failure domains, as both users state.
constexpr duration one_way = std::chrono::milliseconds(1);
constexpr duration report_period = std::chrono::milliseconds(200);
// From the order to wake to the first call: weights of some 60 GB from the
// weight store.
constexpr duration wake_time = std::chrono::seconds(45);
// The cache of a token is exported and imported at this rate: 100 kB a token
// over some 10 Gb/s.
constexpr double moved_tokens_per_second = 12'500.0;

} // namespace

backends::backends(event_queue& events, scenario const& of, hooks call_hooks)
    : events_(events), scenario_(of), hooks_(std::move(call_hooks)),
      counted_(events.now())
{
    for (engine_index i = 0; i < of.size.all(); ++i)
    {
        bool const model = i < of.size.engines;
        backend added;
        added.model = std::make_unique<engine>(
            events, model ? of.size.engine : of.size.service,
            [this, i](engine_outcome const& outcome) {
                events_.after(
                    one_way, [this, i, outcome] { hooks_.ended(i, outcome); });
            },
            [this](std::uint64_t id) {
                events_.after(one_way, [this, id] { hooks_.first_token(id); });
            });
        added.since = events.now();
        if (model && i >= of.size.engines - of.off_at_start)
            added.state = power_view::power::off;
        all_.push_back(std::move(added));
    }
    publish();
}

void backends::send(engine_index to, engine_call const& call)
{
    events_.after(one_way, [this, to, call] { all_[to].model->submit(call); });
}

void backends::cancel(engine_index at, std::uint64_t id)
{
    events_.after(one_way, [this, at, id] { all_[at].model->cancel(id); });
}

void backends::release(engine_index at, cache_key key)
{
    all_[at].model->cache().drop(key, events_.now());
}

void backends::hold(engine_index at, cache_key key, duration length)
{
    all_[at].model->cache().hold(key, events_.now() + length);
}

void backends::move(
    engine_index from, engine_index to, cache_key key, duration length)
{
    auto const tokens = all_[from].model->cache().drop(key, events_.now());
    auto const taken = seconds(tokens / moved_tokens_per_second);
    events_.after(
        taken,
        [this, to, key, tokens, length]
        {
            auto& cache = all_[to].model->cache();
            auto const now = events_.now();
            if (cache.tokens_of(key) > 0 || !cache.make_room(tokens, now))
                return;
            cache.grow(key, tokens, now);
            cache.unpin(key, now);
            cache.hold(key, now + length);
        });
}

void backends::publish()
{
    reports taken;
    for (auto const& each : all_)
    {
        each.model->cache().expire(events_.now());
        engine_report report;
        report.load = each.model->load();
        if (each.slow && !taken.engines.empty())
        {
            auto const& normal = taken.engines.back().load;
            report.load.running = normal.running;
            report.load.queued = normal.queued;
        }
        report.in_service =
            each.state == power_view::power::serving && report.load.up;
        taken.engines.push_back(report);
    }
    history_.push_back(std::move(taken));
    while (history_.size() > 1 &&
           history_[1].engines.front().load.taken + scenario_.report_lag <=
               events_.now())
        history_.pop_front();
    auto& shown = history_.front();
    shown.age = events_.now() - shown.engines.front().load.taken;
    events_.after(report_period, [this] { publish(); });
}

void backends::apply(fault const& what)
{
    using kind = fault_kind;
    if (what.kind == kind::slow_engine)
    {
        all_[what.index].model->set_slowness(what.value);
        all_[what.index].slow = true;
    }
    bool const power =
        what.kind == kind::engines_down || what.kind == kind::engines_up;
    bool const calls =
        what.kind == kind::calls_fail || what.kind == kind::calls_succeed;
    for (engine_index i = 0; power && i < scenario_.size.engines; ++i)
        all_[i].model->set_up(what.kind == kind::engines_up);
    for (engine_index i = 0; calls && i < scenario_.size.all(); ++i)
        all_[i].model->set_failing(what.kind == kind::calls_fail);
}

void backends::set_state(backend& of, power_view::power state)
{
    count_power();
    of.state = state;
    of.since = events_.now();
}

void backends::order(power_step const& step)
{
    using power = power_view::power;
    auto& on = all_[step.engine];
    ++usage_.orders;
    if (step.order == power_order::drain && on.state == power::serving)
        set_state(on, power::draining);
    if (step.order == power_order::resume && on.state == power::draining)
        set_state(on, power::serving);
    if (step.order == power_order::stop && on.state == power::draining)
    {
        auto const load = on.model->load();
        usage_.cut_calls += load.running + load.queued;
        on.model->set_up(false);
        on.model->set_up(true);
        set_state(on, power::off);
    }
    if (step.order != power_order::wake || on.state != power::off)
        return;
    set_state(on, power::waking);
    events_.after(wake_time, [this, &on] { set_state(on, power::serving); });
}

void backends::count_power()
{
    auto const on = std::count_if(
        all_.begin(), all_.begin() + scenario_.size.engines,
        [](backend const& each)
        { return each.state != power_view::power::off; });
    usage_.engine_seconds +=
        static_cast<double>(on) * to_seconds(events_.now() - counted_);
    counted_ = events_.now();
}

power_usage const& backends::usage()
{
    count_power();
    return usage_;
}

power_view backends::power() const
{
    power_view view;
    for (engine_index i = 0; i < scenario_.size.engines; ++i)
    {
        auto const load = all_[i].model->load();
        view.targets.push_back(
            {all_[i].state, load.running + load.queued, all_[i].since});
    }
    return view;
}

cache_usage backends::idle_cache() const
{
    cache_usage total;
    for (auto const& each : all_)
    {
        total.useful += each.model->cache().usage().useful;
        total.wasted += each.model->cache().usage().wasted;
    }
    return total;
}

engine_load backends::load(engine_index at) const
{
    return all_[at].model->load();
}

bool backends::in_service(engine_index at) const
{
    return all_[at].state == power_view::power::serving &&
           all_[at].model->load().up && !all_[at].slow;
}

} // namespace walnutmill::bench

#include "engine_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>

namespace walnutmill
{
namespace testing
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds tick_time{5};
/// Speed of the modelled engines.
constexpr double step_ms = 1.14;
constexpr double step_ms_per_call = 0.0323;
constexpr double read_per_ms = 336;
constexpr double first_ms = 10;
/// Time from a caller through its node to an engine and back.
constexpr milliseconds round_trip_time{8};
constexpr milliseconds retry_after{600};
/// Exchange of machine figures and of speeds, by the rules of the load
/// aggregator.
constexpr milliseconds figures_interval{100};
constexpr milliseconds speeds_interval{1'000};
constexpr milliseconds figure_max_age{1'000};
constexpr std::size_t max_figures = 24;
constexpr std::size_t max_speeds = 50;
constexpr std::uint32_t usual_percent = 100;

double ms_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::string domain_of(int number)
{
    return "z" + std::to_string(number);
}

} // namespace

engine_fleet::engine_fleet(fleet_options options)
    : turns_by_engine(static_cast<std::size_t>(options.engines)),
      options_(std::move(options)), random_(seeded_random(options_.seed)),
      ranks_(static_cast<std::size_t>(options_.nodes)),
      engines_(static_cast<std::size_t>(options_.engines)),
      results_(options_.kinds.size()),
      machine_random_(seeded_random(options_.seed + 1'000'000)),
      exchanges_(static_cast<std::size_t>(options_.nodes))
{
    clock_.advance(std::chrono::seconds(100));
    std::vector<engine_entry> entries;
    for (int i = 0; i < options_.engines; ++i)
    {
        engine_entry one;
        one.id = target_name("e" + std::to_string(i));
        one.service = service_name("llm");
        one.address = "10.0.0.1:1";
        one.zone = zone_name(domain_of(i % options_.domains));
        one.slots = options_.slots;
        entries.push_back(one);
        auto& engine = engines_[static_cast<std::size_t>(i)];
        auto const& factors = options_.duration_factors;
        engine.duration_factor =
            factors[static_cast<std::size_t>(i) % factors.size()];
    }
    for (int i = 0; i < options_.nodes; ++i)
    {
        balancers_.push_back(std::make_unique<engine_balancer>(
            zone_name(domain_of(i % options_.domains)), clock_.fn(),
            seeded_random(options_.seed * 1'000 + static_cast<unsigned>(i)),
            options_.balancer));
        balancers_.back()->set_engines(entries);
        report_at_.push_back(
            clock_.now() +
            duration(static_cast<duration::rep>(
                random_() * static_cast<double>(
                                duration(options_.report_interval).count()))));
    }
}

double engine_fleet::turn_ms(std::uint32_t unread) const
{
    return first_ms + unread / read_per_ms +
           options_.output_tokens * (step_ms + step_ms_per_call);
}

void engine_fleet::run_for(milliseconds time)
{
    auto const end = clock_.now() + time;
    while (clock_.now() < end)
        tick();
}

void engine_fleet::finish()
{
    rate_ = 0;
    auto const end = clock_.now() + std::chrono::seconds(60);
    while (active_programs_ > 0 && clock_.now() < end)
        tick();
}

void engine_fleet::tick()
{
    clock_.advance(tick_time);
    auto const now = clock_.now();
    for (auto it = deferred_.begin(); it != deferred_.end();)
    {
        if (it->at > now)
        {
            ++it;
            continue;
        }
        auto const action = std::move(it->action);
        it = deferred_.erase(it);
        action();
    }
    start_programs();
    update_machines();
    for (auto& one : engines_)
        advance(one);
    for (int node = 0; node < options_.nodes; ++node)
    {
        auto& at = report_at_[static_cast<std::size_t>(node)];
        if (at <= now)
        {
            at += options_.report_interval;
            exchange_reports(node);
        }
    }
}

void engine_fleet::start_programs()
{
    for (std::size_t kind = 0; kind < options_.kinds.size(); ++kind)
    {
        auto const& one = options_.kinds[kind];
        auto expected = one.per_s * rate_ * ms_of(tick_time) / 1'000;
        for (; random_() < expected; expected -= 1)
        {
            auto const it = std::make_shared<program>();
            it->kind = kind;
            it->domain = static_cast<int>(random_() * options_.domains);
            // Some prompts are requested several times as often as others.
            it->shared = static_cast<int>(
                std::pow(random_(), 1.5) * options_.shared_prompts);
            it->conversation = "l" + std::to_string(++last_program_);
            it->own_tokens = one.new_tokens;
            it->started_at = clock_.now();
            it->ideal_ms =
                one.turns * (turn_ms(one.new_tokens) + ms_of(round_trip_time)) +
                (one.turns - 1) * ms_of(one.pause);
            ++results_[kind].started;
            ++active_programs_;
            admit(it);
        }
    }
}

/// \return a node in the program's failure domain.
int engine_fleet::node_of(program const& one)
{
    auto const in_domain =
        static_cast<int>(random_() * options_.nodes / options_.domains);
    return std::min(
        in_domain * options_.domains + one.domain, options_.nodes - 1);
}

void engine_fleet::admit(program_ptr const& one)
{
    auto const& kind = options_.kinds[one->kind];
    auto const at = static_cast<std::size_t>(node_of(*one));
    auto& ranks = ranks_[at];
    ranks.record_turn(kind.rank, clock_.now());
    auto const refused =
        options_.use_admission_control &&
        random_() < refusal_probability(
                        balancers_[at]->pressure(service_name("llm")),
                        kind.rank,
                        ranks.has_less_urgent_rank(kind.rank, clock_.now()),
                        options_.admission);
    if (!refused)
    {
        send_turn(one);
        return;
    }
    if (one->refused)
    {
        ++results_[one->kind].refused;
        --active_programs_;
        return;
    }
    one->refused = true;
    auto const wait = milliseconds(
        retry_after.count() + static_cast<std::int64_t>(random_() * 250));
    deferred_.push_back(
        {clock_.now() + wait, [this, one]
         {
             one->started_at = clock_.now();
             admit(one);
         }});
}

void engine_fleet::send_turn(program_ptr const& one)
{
    auto const& kind = options_.kinds[one->kind];
    auto const node = node_of(*one);
    auto& balancer = *balancers_[static_cast<std::size_t>(node)];
    one->prompt = {
        {"s" + std::to_string(one->kind) + "." + std::to_string(one->shared),
         options_.shared_tokens},
        {one->conversation, one->own_tokens}};
    for (auto const& location : one->locations)
        balancer.add_prefix_location(location);
    auto const call = std::make_shared<running_call>();
    call->owner = one;
    call->node = node;
    call->need.service = service_name("llm");
    call->need.prompt_tokens = options_.shared_tokens + one->own_tokens;
    call->need.output_tokens = options_.output_tokens;
    call->need.prompt = &one->prompt;
    call->need.cache_tokens = options_.cache_tokens;
    call->rank = kind.rank;
    if (options_.reports_choices)
        exchange_reports(node);
    auto const at = balancer.choose(call->need);
    if (!at)
        return;
    call->engine = at->ref();
    call->sent_at = clock_.now();
    balancer.sent(at->ref(), call->need);
    if (options_.reports_choices)
        send_report(node);
    ++turns;
    auto const index =
        static_cast<std::size_t>(std::stoi(at->engine.str().substr(1)));
    ++turns_by_engine[index];
    sent_to_slow += is_slow(engines_[index]) ? 1 : 0;
    arrive(index, call);
}

void engine_fleet::arrive(std::size_t engine, call_ptr const& one)
{
    auto& to = engines_[engine];
    most_calls_at_engine =
        std::max(most_calls_at_engine, to.running.size() + to.queue.size() + 1);
    sent_to_full += is_full(to) ? 1 : 0;
    if (!is_full(to) || preempt(to, one->rank))
    {
        start(to, one);
        return;
    }
    auto const behind = std::find_if(
        to.queue.begin(), to.queue.end(),
        [&one](call_ptr const& other) { return other->rank > one->rank; });
    to.queue.insert(behind, one);
}

bool engine_fleet::preempt(simulated_engine& engine, std::uint32_t rank)
{
    auto victim = engine.running.end();
    for (auto it = engine.running.begin(); it != engine.running.end(); ++it)
    {
        if ((*it)->rank > rank &&
            (victim == engine.running.end() || (*it)->rank >= (*victim)->rank))
            victim = it;
    }
    if (victim == engine.running.end())
        return false;
    auto const one = *victim;
    engine.running.erase(victim);
    engine.queue.push_front(one);
    ++preempted;
    return true;
}

std::uint32_t engine_fleet::read_prompt(
    simulated_engine& engine, std::vector<prompt_part> const& parts)
{
    std::uint32_t unread = 0;
    bool prefix_cached = true;
    for (auto const& part : parts)
    {
        auto const found = std::find_if(
            engine.cache.begin(), engine.cache.end(),
            [&part](prompt_part const& one) { return one.id == part.id; });
        auto const cached_tokens = prefix_cached && found != engine.cache.end()
                                       ? std::min(found->tokens, part.tokens)
                                       : 0;
        prefix_cached = cached_tokens == part.tokens;
        unread += part.tokens - cached_tokens;
        if (&part == &parts.front())
            shared_tokens_read += part.tokens - cached_tokens;
        cache_part(engine, part);
    }
    tokens_read += unread;
    return unread;
}

void engine_fleet::cache_part(
    simulated_engine& engine, prompt_part const& part) const
{
    auto const found = std::find_if(
        engine.cache.begin(), engine.cache.end(),
        [&part](prompt_part const& one) { return one.id == part.id; });
    if (found != engine.cache.end())
    {
        engine.cached -= found->tokens;
        engine.cache.erase(found);
    }
    engine.cache.push_front(part);
    engine.cached += part.tokens;
    while (engine.cached > options_.cache_tokens)
    {
        engine.cached -= engine.cache.back().tokens;
        engine.cache.pop_back();
    }
}

void engine_fleet::start(simulated_engine& engine, call_ptr const& one)
{
    auto const unread = read_prompt(engine, one->owner->prompt);
    one->reading_ms = first_ms + unread / read_per_ms;
    if (one->tokens_left <= 0)
        one->tokens_left = options_.output_tokens;
    // The other calls make no progress while the prompt is read.
    for (auto const& other : engine.running)
        other->reading_ms += unread / read_per_ms;
    engine.running.push_back(one);
}

void engine_fleet::advance(simulated_engine& engine)
{
    auto const batch = static_cast<double>(engine.running.size());
    auto const step = step_ms + step_ms_per_call * batch;
    auto const work_ms = ms_of(tick_time) / slowdown_of(engine);
    std::vector<call_ptr> ended;
    for (auto const& one : engine.running)
    {
        auto const reading = std::min(one->reading_ms, work_ms);
        one->reading_ms -= reading;
        if (one->reading_ms <= 0 && !one->first_byte_sent)
            report_first_byte(engine, one);
        one->tokens_left -= (work_ms - reading) / step;
        if (one->tokens_left <= 0)
            ended.push_back(one);
    }
    for (auto const& one : ended)
    {
        engine.running.erase(
            std::find(engine.running.begin(), engine.running.end(), one));
        cache_part(
            engine, {one->owner->conversation,
                     one->owner->own_tokens + options_.output_tokens});
        finish_call(one);
    }
    while (!engine.queue.empty() && !is_full(engine))
    {
        auto const next = engine.queue.front();
        engine.queue.pop_front();
        start(engine, next);
    }
}

void engine_fleet::finish_call(call_ptr const& one)
{
    balancers_[static_cast<std::size_t>(one->node)]->ended(
        one->engine, one->need, engine_outcome::answered,
        clock_.now() - one->sent_at);
    if (options_.reports_choices)
        send_report(one->node);
    auto const owner = one->owner;
    auto const& kind = options_.kinds[owner->kind];
    owner->locations = {
        {owner->conversation, owner->own_tokens + options_.output_tokens,
         one->engine}};
    owner->own_tokens += options_.output_tokens + kind.new_tokens;
    if (++owner->turn >= kind.turns)
    {
        end_program(owner);
        return;
    }
    deferred_.push_back(
        {clock_.now() + kind.pause + round_trip_time,
         [this, owner] { send_turn(owner); }});
}

void engine_fleet::end_program(program_ptr const& one)
{
    --active_programs_;
    auto const& kind = options_.kinds[one->kind];
    auto& to = results_[one->kind];
    auto const in_time =
        ms_of(clock_.now() - one->started_at) <=
        one->ideal_ms * kind.time_limit_factor + ms_of(kind.grace);
    if (!in_time)
        ++to.late;
    else if (one->refused)
        ++to.refused_then_in_time;
    else
        ++to.in_time;
}

/// Sends a node's report to the summing node and receives the sum.
void engine_fleet::exchange_reports(int node)
{
    send_report(node);
    receive_sum(node);
}

void engine_fleet::send_report(int node)
{
    auto& balancer = *balancers_[static_cast<std::size_t>(node)];
    load_report own;
    for (auto const& [engine, calls] : balancer.own_calls())
        own.calls.emplace_back(short_key(engine), calls);
    if (options_.shares_demand)
    {
        for (auto const& [key, calls] : balancer.own_demand())
            own.demand.push_back(
                {key, static_cast<std::uint32_t>(calls * 100)});
    }
    summary_.set(std::to_string(node), std::move(own), clock_.now());
    send_speeds(node);
}

void engine_fleet::receive_sum(int node)
{
    auto& balancer = *balancers_[static_cast<std::size_t>(node)];
    if (clock_.now() - summed_at_ >= options_.sum_ttl)
    {
        sum_ = summary_.sum(clock_.now());
        summed_at_ = clock_.now();
    }
    std::unordered_map<std::uint32_t, std::uint32_t> others(
        sum_.calls.begin(), sum_.calls.end());
    for (auto const& [engine, calls] : balancer.own_calls())
    {
        auto& all = others[short_key(engine)];
        all -= std::min(all, calls);
    }
    balancer.set_peer_loads(
        [&others](target_name const& engine)
        {
            auto const found = others.find(short_key(engine));
            return found == others.end() ? 0U : found->second;
        });
    prompt_demand demand;
    for (auto const& one : sum_.demand)
        demand[one.key] = one.calls / 100.0;
    if (options_.shares_demand)
        balancer.set_cluster_demand(std::move(demand));
    receive_speeds(node);
}

bool engine_fleet::is_slow(simulated_engine const& engine) const
{
    return clock_.now() < engine.usual_at;
}

double engine_fleet::slowdown_of(simulated_engine const& engine) const
{
    return engine.duration_factor *
           (is_slow(engine) ? options_.slow_factor : 1.0);
}

/// Lets machines turn slow at random, each for the given share of the time.
void engine_fleet::update_machines()
{
    auto const now = clock_.now();
    for (auto& one : engines_)
    {
        auto const calls =
            static_cast<double>(one.running.size() + one.queue.size());
        calls_sum_ += calls;
        squared_calls_sum_ += calls * calls;
        ++calls_samples_;
        if (options_.slow_share <= 0 || one.slow_at > now)
            continue;
        if (one.slow_at != time_point{})
            one.usual_at = now + options_.slow_time;
        auto const usual_ms = ms_of(options_.slow_time) *
                              (1 - options_.slow_share) / options_.slow_share;
        // An exponential distribution: machines don't turn slow together.
        auto const until_slow_ms = -usual_ms * std::log(1 - machine_random_());
        one.slow_at = std::max(now, one.usual_at) +
                      milliseconds(static_cast<std::int64_t>(until_slow_ms));
    }
}

double engine_fleet::unevenness() const
{
    auto const samples = static_cast<double>(calls_samples_);
    auto const mean = calls_sum_ / samples;
    return squared_calls_sum_ / samples / (mean * mean);
}

/// Reports the load that the head of an answer carries.
void engine_fleet::report_first_byte(
    simulated_engine const& engine, call_ptr const& one)
{
    one->first_byte_sent = true;
    engine_load load;
    load.running = static_cast<std::uint32_t>(engine.running.size());
    load.waiting = static_cast<std::uint32_t>(engine.queue.size());
    load.slots = options_.slots;
    if (options_.speeds != speed_knowledge::none)
    {
        auto const factor = is_slow(engine) ? options_.slow_factor : 1.0;
        load.machine_percent =
            static_cast<std::uint32_t>(factor * usual_percent);
    }
    balancers_[static_cast<std::size_t>(one->node)]->report_load(
        one->engine, load);
}

/// Sends a node's machine figures and speeds to the summing node.
void engine_fleet::send_speeds(int node)
{
    if (options_.speeds != speed_knowledge::shared)
        return;
    auto const now = clock_.now();
    auto const& balancer = *balancers_[static_cast<std::size_t>(node)];
    auto& times = exchanges_[static_cast<std::size_t>(node)];
    if (now - times.figures_sent >= figures_interval)
    {
        times.figures_sent = now;
        for (auto const& one : balancer.own_machine_figures())
        {
            auto const at = now - milliseconds(one.age_ms);
            auto& known = figures_[one.engine];
            if (at >= known.at)
                known = {one.percent, at};
        }
    }
    if (now - times.speeds_sent >= speeds_interval)
    {
        times.speeds_sent = now;
        node_speeds_[node] = {balancer.own_speed_samples(), now};
    }
}

/// \return the figures of the slowest machines, fresh ones only
std::vector<machine_figure> engine_fleet::slowest_figures() const
{
    auto const now = clock_.now();
    std::vector<machine_figure> to;
    for (auto const& [engine, known] : figures_)
    {
        auto const age = now - known.at;
        if (age > figure_max_age || known.percent == usual_percent)
            continue;
        auto const age_ms =
            std::chrono::duration_cast<milliseconds>(age).count();
        to.push_back(
            {engine, known.percent, static_cast<std::uint32_t>(age_ms)});
    }
    std::sort(
        to.begin(), to.end(),
        [](machine_figure const& a, machine_figure const& b)
        { return a.percent > b.percent; });
    to.resize(std::min(to.size(), max_figures));
    return to;
}

/// \return the sums over all nodes, ordered by engine
std::vector<speed_sample> engine_fleet::summed_speeds() const
{
    std::map<std::uint32_t, speed_sample> sums;
    for (auto const& [node, known] : node_speeds_)
    {
        if (clock_.now() - known.at > speeds_interval * 2)
            continue;
        for (auto const& one : known.speeds)
        {
            auto& sum = sums[one.engine];
            sum.engine = one.engine;
            sum.ratio_hundredths += one.ratio_hundredths;
            sum.calls_hundredths += one.calls_hundredths;
        }
    }
    std::vector<speed_sample> to;
    to.reserve(sums.size());
    for (auto const& [engine, sum] : sums)
        to.push_back(sum);
    return to;
}

void engine_fleet::receive_speeds(int node)
{
    if (options_.speeds != speed_knowledge::shared)
        return;
    auto const now = clock_.now();
    auto& balancer = *balancers_[static_cast<std::size_t>(node)];
    auto& times = exchanges_[static_cast<std::size_t>(node)];
    if (now - times.figures_received >= figures_interval)
    {
        times.figures_received = now;
        balancer.set_cluster_machine_figures(slowest_figures());
    }
    if (now - times.speeds_received >= speeds_interval)
    {
        times.speeds_received = now;
        auto const sums = summed_speeds();
        std::vector<speed_sample> sent;
        for (std::size_t i = 0; i < std::min(sums.size(), max_speeds); ++i)
            sent.push_back(sums[times.next_speed++ % sums.size()]);
        balancer.set_cluster_speeds(sent);
    }
}

} // namespace testing
} // namespace walnutmill

#include "bench_engine.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace walnutmill::bench
{

namespace
{

// Two sequences that end within a microsecond end together: the clock is no
// finer.
constexpr double same_instant = 1e-6;

} // namespace

engine::engine(
    event_queue& events, engine_spec const& spec, ended_fn ended,
    first_token_fn first_token)
    : events_(events), spec_(spec), ended_(std::move(ended)),
      first_token_(std::move(first_token)), cache_(spec.cache_tokens),
      advanced_(events.now())
{
}

double engine::decode_rate() const
{
    if (decoding_.empty())
        return 0.0;
    auto const beside = static_cast<double>(decoding_.size() - 1);
    auto const crowding = 1.0 + spec_.batch_slowdown * beside;
    auto const interference = prefilling_ ? spec_.prefill_interference : 1.0;
    return 1.0 / (crowding * interference * slowness_);
}

void engine::advance()
{
    auto const now = events_.now();
    virtual_ += to_seconds(now - advanced_) * decode_rate();
    advanced_ = now;
}

void engine::submit(engine_call const& call)
{
    if (!up_ || failing_ || waiting_.size() >= spec_.queue_limit)
    {
        engine_outcome refused;
        refused.id = call.id;
        refused.not_run = true;
        ended_(refused);
        return;
    }
    advance();
    job added;
    added.call = call;
    added.order = ++next_order_;
    waiting_.insert({call.priority, added.order, call.id});
    jobs_.emplace(call.id, added);
    start_waiting();
    schedule_decode();
}

void engine::start_waiting()
{
    while (!waiting_.empty() &&
           prefill_.size() + decoding_.size() < spec_.slots)
    {
        auto const first = *waiting_.begin();
        if (!start(jobs_.at(first.id)))
            return;
        waiting_.erase(first);
    }
    start_prefill();
}

bool engine::start(job& next)
{
    auto const& call = next.call;
    auto const now = events_.now();
    auto const total = call.prompt_tokens + call.output_tokens;
    if (spec_.caches)
    {
        auto cached = cache_.pin(call.history, now);
        auto const own = cached;
        if (cached == 0 && call.shared_prefix != 0)
        {
            cached = cache_.pin(call.shared_prefix, now);
            cache_.unpin(call.shared_prefix, now);
        }
        bool const fits = cache_.make_room(total - own, now);
        // A call that fits into no memory runs alone in what there is.
        if (!fits && prefill_.size() + decoding_.size() > 0)
        {
            cache_.unpin(call.history, now);
            return false;
        }
        cache_.grow(call.history, total, now);
        next.cached = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(cached, call.prompt_tokens));
    }
    auto const uncached = call.prompt_tokens - next.cached;
    next.prefill_work = uncached / spec_.prefill_tokens_per_second;
    next.decode_work = call.output_tokens * spec_.token_seconds;
    next.at = phase::prefill;
    prefill_.push_back(call.id);
    return true;
}

void engine::start_prefill()
{
    if (prefilling_ || prefill_.empty())
        return;
    prefilling_ = true;
    auto const work = jobs_.at(prefill_.front()).prefill_work;
    auto const generation = ++prefill_generation_;
    events_.after(
        seconds(work * slowness_),
        [this, generation] { end_prefill(generation); });
}

void engine::end_prefill(std::uint64_t generation)
{
    if (generation != prefill_generation_ || !prefilling_)
        return;
    advance();
    prefilling_ = false;
    auto& done = jobs_.at(prefill_.front());
    prefill_.pop_front();
    done.at = phase::decode;
    done.finish = virtual_ + done.decode_work;
    decoding_.insert({done.finish, done.order, done.call.id});
    first_token_(done.call.id);
    auto const& call = done.call;
    if (spec_.caches && call.shared_prefix != 0 &&
        cache_.tokens_of(call.shared_prefix) == 0 &&
        cache_.make_room(call.shared_prefix_tokens, events_.now()))
    {
        cache_.grow(
            call.shared_prefix, call.shared_prefix_tokens, events_.now());
        cache_.unpin(call.shared_prefix, events_.now());
    }
    start_prefill();
    schedule_decode();
}

void engine::schedule_decode()
{
    auto const generation = ++decode_generation_;
    if (decoding_.empty())
        return;
    auto const left = std::max(0.0, decoding_.begin()->key - virtual_);
    events_.after(
        seconds(left / decode_rate()) + duration(1),
        [this, generation] { finish_decoded(generation); });
}

void engine::finish_decoded(std::uint64_t generation)
{
    if (generation != decode_generation_)
        return;
    advance();
    std::vector<std::uint64_t> finished;
    for (auto const& entry : decoding_)
    {
        if (entry.key > virtual_ + same_instant)
            break;
        finished.push_back(entry.id);
    }
    for (auto const id : finished)
        end(id, true);
    start_waiting();
    schedule_decode();
}

double engine::work_done(job const& of) const
{
    if (of.at == phase::waiting)
        return 0.0;
    // A prefill that was begun counts in full: it can't be used elsewhere.
    if (of.at == phase::prefill)
        return prefill_.front() == of.call.id ? of.prefill_work : 0.0;
    auto const left = std::max(0.0, of.finish - virtual_);
    return of.prefill_work + of.decode_work - left;
}

void engine::remove(job const& gone)
{
    auto const id = gone.call.id;
    if (gone.at == phase::waiting)
        waiting_.erase({gone.call.priority, gone.order, id});
    if (gone.at == phase::decode)
        decoding_.erase({gone.finish, gone.order, id});
    if (gone.at != phase::prefill)
        return;
    if (prefill_.front() == id)
    {
        ++prefill_generation_;
        prefilling_ = false;
    }
    prefill_.erase(std::find(prefill_.begin(), prefill_.end(), id));
}

void engine::end(std::uint64_t id, bool ok)
{
    auto const it = jobs_.find(id);
    auto const gone = it->second;
    engine_outcome outcome;
    outcome.id = id;
    outcome.ok = ok;
    outcome.work = work_done(gone);
    if (gone.at != phase::waiting)
    {
        outcome.cached_tokens = gone.cached;
        outcome.prefilled_tokens = gone.call.prompt_tokens - gone.cached;
        if (spec_.caches)
            cache_.unpin(gone.call.history, events_.now());
    }
    remove(gone);
    jobs_.erase(it);
    ended_(outcome);
}

void engine::cancel(std::uint64_t id)
{
    if (jobs_.count(id) == 0)
        return;
    advance();
    end(id, false);
    start_waiting();
    schedule_decode();
}

void engine::set_up(bool up)
{
    advance();
    up_ = up;
    if (up)
        return;
    while (!jobs_.empty())
        end(jobs_.begin()->first, false);
    cache_.clear(events_.now());
    schedule_decode();
}

void engine::set_slowness(double factor)
{
    advance();
    slowness_ = factor;
    schedule_decode();
}

engine_load engine::load() const
{
    engine_load report;
    report.running =
        static_cast<std::uint32_t>(prefill_.size() + decoding_.size());
    report.queued = static_cast<std::uint32_t>(waiting_.size());
    report.cache_used = cache_.used();
    report.cache_size = cache_.capacity();
    report.up = up_;
    report.taken = events_.now();
    return report;
}

} // namespace walnutmill::bench

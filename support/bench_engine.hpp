#ifndef WALNUTMILL_BENCH_ENGINE_HPP
#define WALNUTMILL_BENCH_ENGINE_HPP

/// \file
/// Model of a model engine (or a plain service, which has no cache).
///
/// Prefill is serial and costs time per uncached token; decoding is shared:
/// a token takes longer the more sequences run beside it. Neither admits more
/// sequences than slots and memory allow; the others wait by priority.

#include "bench_cache.hpp"
#include "bench_events.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace walnutmill::bench
{

/// Speeds and sizes of an engine. The figures are of the order of a 30 B
/// model on one accelerator; only their ratios matter here.
struct engine_spec
{
    std::uint32_t slots = 16;
    /// Calls that may wait inside; further ones are refused as not run.
    std::uint32_t queue_limit = 64;
    std::uint64_t cache_tokens = 400'000;
    double prefill_tokens_per_second = 6'000.0;
    /// Seconds per token for a sequence that runs alone.
    double token_seconds = 0.020;
    /// Further time per token for each sequence beside it, as a fraction.
    double batch_slowdown = 0.03;
    /// Decoding slows by this factor while a prefill runs.
    double prefill_interference = 1.3;
    /// Plain services keep no cache.
    bool caches = true;

    /// Work units (seconds alone) that a full batch does in a second.
    double full_rate() const
    {
        return slots / (1.0 + batch_slowdown * (slots - 1));
    }
};

/// One call as an engine sees it.
struct engine_call
{
    std::uint64_t id = 0;
    cache_key history = 0;
    cache_key shared_prefix = 0;
    std::uint32_t shared_prefix_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Lower goes first.
    double priority = 0.0;
};

/// How a call ended at the engine.
struct engine_outcome
{
    std::uint64_t id = 0;
    bool ok = false;
    /// The engine declined at once and did nothing.
    bool not_run = false;
    std::uint32_t cached_tokens = 0;
    std::uint32_t prefilled_tokens = 0;
    /// Engine time attained, in seconds alone.
    double work = 0.0;
};

/// What an engine reports of itself.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t cache_used = 0;
    std::uint64_t cache_size = 0;
    bool up = true;
    time_point taken;
};

class engine
{
public:
    using ended_fn = std::function<void(engine_outcome const&)>;
    /// The prefill has ended and the first token is out.
    using first_token_fn = std::function<void(std::uint64_t id)>;

    engine(
        event_queue& events, engine_spec const& spec, ended_fn ended,
        first_token_fn first_token);

    void submit(engine_call const& call);
    /// Ends a call; its outcome, not ok, tells the work done so far.
    void cancel(std::uint64_t id);
    /// Calls of an engine that goes down fail; its cache is lost.
    void set_up(bool up);
    /// An engine that fails refuses every new call, but reports as ever.
    void set_failing(bool failing) { failing_ = failing; }
    /// Factor on all times; one is normal.
    void set_slowness(double factor);

    engine_load load() const;
    prefix_cache& cache() { return cache_; }
    engine_spec const& spec() const { return spec_; }

private:
    enum class phase
    {
        waiting,
        prefill,
        decode
    };
    struct job
    {
        engine_call call;
        phase at = phase::waiting;
        std::uint64_t order = 0;
        std::uint32_t cached = 0;
        double prefill_work = 0.0;
        double decode_work = 0.0;
        /// Virtual time at which decoding ends.
        double finish = 0.0;
    };
    struct slot_order
    {
        double key = 0.0;
        std::uint64_t order = 0;
        std::uint64_t id = 0;

        friend bool operator<(slot_order const& a, slot_order const& b)
        {
            return a.key != b.key ? a.key < b.key : a.order < b.order;
        }
    };

    double decode_rate() const;
    void advance();
    void start_waiting();
    bool start(job& next);
    void start_prefill();
    void end_prefill(std::uint64_t generation);
    void schedule_decode();
    void finish_decoded(std::uint64_t generation);
    void end(std::uint64_t id, bool ok);
    void remove(job const& gone);
    double work_done(job const& of) const;

    event_queue& events_;
    engine_spec spec_;
    ended_fn ended_;
    first_token_fn first_token_;
    prefix_cache cache_;
    std::map<std::uint64_t, job> jobs_;
    std::set<slot_order> waiting_;
    std::deque<std::uint64_t> prefill_;
    std::set<slot_order> decoding_;
    std::uint64_t next_order_ = 0;
    std::uint64_t prefill_generation_ = 0;
    std::uint64_t decode_generation_ = 0;
    bool prefilling_ = false;
    double virtual_ = 0.0;
    time_point advanced_;
    double slowness_ = 1.0;
    bool up_ = true;
    bool failing_ = false;
};

} // namespace walnutmill::bench

#endif

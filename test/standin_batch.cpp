#include "standin_batch.hpp"

#include <algorithm>

namespace walnutmill::standin
{

namespace
{

using nlohmann::json;

constexpr std::int64_t us_per_ms = 1'000;
/// Ended requests that can still be resumed.
constexpr std::size_t kept_requests = 20'000;
constexpr std::int64_t sample_every_us = 10 * us_per_ms;
constexpr std::int64_t samples_kept_us = 60'000 * us_per_ms;
} // namespace

batch::batch(surroundings& around)
    : around_(around), cache_(around.options.cache_tokens),
      thread_([this] { decode_forever(); })
{
}

batch::~batch()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    thread_.join();
}

void batch::submit(json const& body, responder const& answer)
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto const request = body.at("request").get<std::string>();
    auto found = known_.find(request);
    if (found == known_.end())
    {
        if (waiting_.size() >= around_.options.queue)
            return answer.refuse(429);
        found = known_.emplace(request, start(body)).first;
        waiting_.push_back(found->second);
    }
    else
    {
        around_.book.add(
            "resume",
            {{"request", request}, {"after", body.value("resume_after", 0)}});
    }
    auto& one = *found->second;
    answer.begin_stream();
    if (one.listener)
        one.listener->drop();
    one.listener = answer;
    one.sent = body.value("resume_after", std::size_t(0));
    send_new_tokens(one);
}

batch::generation_ptr batch::start(json const& body)
{
    auto const& turns = body.at("turns");
    history const seen(turns);
    auto one = std::make_shared<generation>(read_generation(body, seen));
    one->cached_tokens = cache_.find(one->program, seen, monotonic_us());
    one->prefill = one->prompt_tokens - one->cached_tokens;
    json entry{
        {"request", one->request},
        {"program", one->program},
        {"epoch", one->epoch},
        {"turns", one->turns},
        {"hash", one->hash},
        {"prompt_tokens", one->prompt_tokens},
        {"cached_tokens", one->cached_tokens},
        {"max_tokens", body.at("max_tokens")}};
    if (around_.options.record_turns)
        entry["history"] = turns;
    around_.book.add("generate", std::move(entry));
    around_.book.count("prompt_tokens", std::int64_t(one->prompt_tokens));
    around_.book.count("cached_tokens", std::int64_t(one->cached_tokens));
    return one;
}

void batch::cancel(std::string const& request)
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto const found = known_.find(request);
    if (found == known_.end() || found->second->ended)
        return;
    found->second->canceled = true;
    around_.book.add("cancel", {{"request", request}});
}

void batch::cut_all()
{
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto* list : {&running_, &waiting_})
    {
        for (auto const& one : *list)
        {
            around_.book.add("cut", {{"request", one->request}});
            if (one->listener)
                one->listener->drop();
            known_.erase(one->request);
        }
        list->clear();
    }
}

std::size_t batch::running() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return running_.size() + waiting_.size();
}

load_sample batch::load() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto const horizon =
        monotonic_us() - around_.switches.now().load_lag_ms * us_per_ms;
    load_sample newest{monotonic_us(), 0, 0, 0};
    for (auto const& sample : samples_)
    {
        if (sample.at_us > horizon)
            break;
        newest = sample;
    }
    return newest;
}

json batch::holds() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    json list = json::array();
    auto const now = monotonic_us();
    for (auto const& entry : cache_.all())
    {
        auto const& prefix = entry.second;
        if (prefix.held_until_us <= now)
            continue;
        list.push_back(
            {{"program", entry.first},
             {"epoch", prefix.epoch},
             {"tokens", prefix.tokens},
             {"age_ms", (now - prefix.held_since_us) / us_per_ms}});
    }
    return list;
}

bool batch::release_hold(std::string const& program)
{
    std::lock_guard<std::mutex> lock(mutex_);
    bool const released = cache_.release(program);
    around_.book.add(
        "hold_released", {{"program", program}, {"had_hold", released}});
    return released;
}

json batch::events_after(std::uint64_t id) const
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto const switches = around_.switches.now();
    auto const horizon = monotonic_us() - switches.event_delay_ms * us_per_ms;
    json shown = json::array();
    auto const& events = cache_.events();
    for (auto i = std::size_t(id); i < events.size(); ++i)
    {
        auto const& one = events[i];
        auto const gap = std::size_t(switches.event_gap);
        if (one.at_us > horizon)
            break;
        if (gap > 0 && (i + 1) % gap == 0)
            continue;
        shown.push_back(
            {{"id", i + 1},
             {"program", one.program},
             {"kind", one.stored ? "stored" : "evicted"},
             {"tokens", one.tokens}});
    }
    return shown;
}

json batch::export_prefix(std::string const& program) const
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto const* prefix = cache_.prefix_of(program);
    if (prefix == nullptr)
        return nullptr;
    return {
        {"turns", prefix->turns},
        {"hash", prefix->hash},
        {"tokens", prefix->tokens}};
}

void batch::import_prefix(json const& body)
{
    auto const& blob = body.at("blob");
    auto const now = monotonic_us();
    cached_prefix prefix;
    prefix.epoch = body.value("epoch", std::uint64_t(0));
    prefix.turns = blob.at("turns").get<std::size_t>();
    prefix.hash = blob.at("hash").get<std::uint64_t>();
    prefix.tokens = blob.at("tokens").get<std::uint64_t>();
    prefix.used_us = now;
    auto const hold_ms = body.value("hold_ms", std::int64_t(0));
    if (hold_ms > 0)
    {
        prefix.held_since_us = now;
        prefix.held_until_us = now + hold_ms * us_per_ms;
    }
    auto const program = body.at("program").get<std::string>();
    std::lock_guard<std::mutex> lock(mutex_);
    cache_.store(program, prefix, now);
    around_.book.add(
        "import", {{"program", program},
                   {"tokens", prefix.tokens},
                   {"hold_ms", hold_ms}});
}

void batch::clear_cache()
{
    std::lock_guard<std::mutex> lock(mutex_);
    cache_.clear(monotonic_us());
}

void batch::decode_forever()
{
    for (;;)
    {
        auto const switches = around_.switches.now();
        auto const pause = std::int64_t(
            double(around_.options.token_time.count()) * switches.slowdown);
        std::this_thread::sleep_for(std::chrono::microseconds(pause));
        std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_)
            return;
        if (!switches.hang)
            step(monotonic_us());
    }
}

void batch::step(std::int64_t now)
{
    for (auto const& program : cache_.lapse(now))
        around_.book.add("hold_lapsed", {{"program", program}});
    admit_waiting();
    for (auto const& one : running_)
    {
        advance(*one);
        if (one->canceled || one->done == one->tokens.size())
            finish(*one, now);
    }
    running_.erase(
        std::remove_if(
            running_.begin(), running_.end(),
            [](generation_ptr const& one) { return one->ended; }),
        running_.end());
    forget_old();
    if (samples_.empty() || now - samples_.back().at_us >= sample_every_us)
    {
        samples_.push_back(
            {now, running_.size(), waiting_.size(), cache_.used()});
        if (now - samples_.front().at_us > samples_kept_us)
            samples_.pop_front();
    }
}

void batch::admit_waiting()
{
    auto const slots = around_.options.slots;
    while (!waiting_.empty() && running_.size() < slots)
    {
        // The first of the greatest priority.
        auto const first = std::max_element(
            waiting_.begin(), waiting_.end(),
            [](generation_ptr const& a, generation_ptr const& b)
            { return a->priority < b->priority; });
        running_.push_back(*first);
        waiting_.erase(first);
    }
}

void batch::advance(generation& one)
{
    if (one.canceled || one.done == one.tokens.size())
        return;
    if (one.prefill > 0)
    {
        one.prefill -= std::min(one.prefill, around_.options.prefill_per_step);
        return;
    }
    ++one.done;
    send_new_tokens(one);
}

void batch::send_new_tokens(generation& one)
{
    if (!one.listener)
        return;
    if (one.listener->gone())
    {
        one.listener.reset();
        return;
    }
    auto const unsent = one.take_unsent();
    if (!unsent.empty())
        one.listener->write(unsent);
    if (!one.ended)
        return;
    one.listener->end_stream(one.closing_event());
    one.listener.reset();
}

void batch::finish(generation& one, std::int64_t now)
{
    one.ended = true;
    if (one.canceled)
        known_.erase(one.request);
    else
        ended_.push_back(one.request);
    around_.book.add(
        "generated", {{"request", one.request},
                      {"program", one.program},
                      {"tokens", one.done},
                      {"canceled", one.canceled}});
    around_.book.count("tokens", std::int64_t(one.done));
    if (!one.canceled)
        note_hold(one, now);
    send_new_tokens(one);
}

void batch::note_hold(generation const& one, std::int64_t now)
{
    cached_prefix prefix;
    prefix.epoch = one.epoch;
    prefix.turns = one.turns;
    prefix.hash = one.hash;
    prefix.tokens = one.prompt_tokens;
    prefix.used_us = now;
    if (one.hold_ms > 0)
    {
        prefix.held_since_us = now;
        prefix.held_until_us = now + one.hold_ms * us_per_ms;
    }
    bool const kept = cache_.store(one.program, prefix, now);
    if (kept && one.hold_ms > 0)
        around_.book.add(
            "hold_taken", {{"program", one.program},
                           {"epoch", one.epoch},
                           {"tokens", prefix.tokens},
                           {"hold_ms", one.hold_ms}});
}

void batch::forget_old()
{
    while (ended_.size() > kept_requests)
    {
        known_.erase(ended_.front());
        ended_.pop_front();
    }
}

} // namespace walnutmill::standin

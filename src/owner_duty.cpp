#include "owner_duty.hpp"

#include <walnutmill/logging.hpp>

namespace walnutmill
{
namespace
{

constexpr std::size_t ring_capacity = 1 << 15;
/// Room in the ring that only events may use, so that callers cannot keep
/// the answers of targets and table out.
constexpr std::size_t ring_reserve = 1 << 13;
constexpr std::chrono::milliseconds busy_come_back{500};

} // namespace

owner_duty::owner_duty(
    scheduling_hooks scheduling, owner_duty_options options,
    owner_duty_hooks hooks, target_client& targets, metrics& counters)
    : options_(std::move(options)), hooks_(std::move(hooks)), targets_(targets),
      counters_(counters), owner_(std::move(scheduling), options_.shards),
      config_(std::make_shared<configuration>()), last_round_(options_.clock()),
      ring_(std::make_shared<bounded_ring<task>>(ring_capacity))
{
}

owner_duty::~owner_duty()
{
    stop();
}

void owner_duty::stop()
{
    stopping_ = true;
    ring_->close();
    if (thread_.joinable())
        thread_.join();
}

void owner_duty::start(journal_duty& journal)
{
    journal_ = &journal;
    thread_ = std::thread([this] { run(); });
}

void owner_duty::post(task work)
{
    ring_->push(std::move(work));
}

void owner_duty::submit(caller_request request, answer_sink sink)
{
    refusal why;
    why.retry_after = busy_come_back;
    // An owner that may have been fenced must not answer from memory either:
    // "no such program" would be as wrong as a stale answer.
    if (journal_->backlog() > options_.max_backlog || !journal_->fresh())
    {
        why.code = errc::store_unavailable;
        why.message = "the table does not answer";
        return sink.done(why);
    }
    auto const done = sink.done;
    bool const taken =
        ring_->size() + ring_reserve < ring_capacity &&
        ring_->try_push([request = std::move(request), sink = std::move(sink)](
                            program_owner& owner, time_point now)
                        { owner.request(request, sink, now); });
    if (taken)
        return;
    why.code = errc::overloaded;
    why.message = "the node is too busy";
    done(why);
}

void owner_duty::set_configuration(
    std::shared_ptr<configuration const> const& config)
{
    post(
        [this, config](program_owner& owner, time_point)
        {
            config_ = config;
            owner.set_configuration(config);
        });
}

void owner_duty::on_committed(std::vector<committed_append> done)
{
    post(
        [this, done = std::move(done)](program_owner& owner, time_point now)
        {
            for (auto const& one : done)
            {
                applied_counter_ = one.counter;
                owner.on_committed(one.token, now, one.counter);
            }
        });
}

shard_snapshot owner_duty::snapshot(shard_number shard)
{
    return ask(
        [this, shard](program_owner& owner)
        {
            shard_snapshot taken;
            if (!owner.owns(shard))
                return taken;
            taken.records = owner.snapshot(shard, options_.clock());
            taken.counter = applied_counter_;
            return taken;
        });
}

owner_figures owner_duty::figures() const
{
    return {programs_.load(), calls_.load(), in_flight_.load()};
}

void owner_duty::run()
{
    while (!stopping_)
    {
        auto const work = ring_->take_all(options_.tick);
        auto const now = options_.clock();
        last_round_ = now;
        for (auto const& task : work)
            task(owner_, now);
        owner_.tick(now);
        for (auto& effect : owner_.take_effects())
            execute(effect);
        auto const figures = owner_.figures();
        programs_ = figures.programs;
        calls_ = figures.calls;
        in_flight_ = figures.in_flight;
    }
}

void owner_duty::execute(owner_effect& effect)
{
    if (auto* append = std::get_if<append_effect>(&effect))
        journal_->append(append->token, std::move(append->records));
    else if (auto const* model = std::get_if<model_effect>(&effect))
        send(*model);
    else if (auto const* plain = std::get_if<plain_effect>(&effect))
        send(*plain);
    else if (auto const* query = std::get_if<query_effect>(&effect))
    {
        if (auto const* to = target(query->target))
            targets_.query(to->address, *query, hooks_for(query->attempt));
    }
    else if (auto const* cancel = std::get_if<cancel_effect>(&effect))
    {
        auto const* to = target(cancel->target);
        if (to != nullptr && to->kind == target_kind::engine)
            targets_.cancel(to->address, cancel->request);
    }
    else if (auto const* drop = std::get_if<release_effect>(&effect))
        release(*drop);
    else if (auto const* decided = std::get_if<decision_effect>(&effect))
        hooks_.decided(*decided);
}

target_config const* owner_duty::target(target_name const& name) const
{
    return find_target(*config_, name);
}

void owner_duty::fail(attempt_id attempt, refusal const& why)
{
    // On the owner's own thread: the ring may be full, so it is not used.
    owner_.on_failure(attempt, why, options_.clock());
    for (auto& effect : owner_.take_effects())
        execute(effect);
}

std::optional<refusal> owner_duty::last_check() const
{
    bool const frozen = options_.clock() - last_round_ > options_.longest_pause;
    if (!frozen && journal_->fresh())
        return std::nullopt;
    counters_.count("walnutmill_sends_stopped_total");
    refusal why;
    why.code = errc::unavailable;
    why.message = "the node's session may have lapsed";
    why.retry_after = busy_come_back;
    return why;
}

attempt_hooks owner_duty::hooks_for(attempt_id attempt) const
{
    attempt_hooks hooks;
    hooks.token = [ring = ring_, attempt](std::uint32_t index, std::string text)
    {
        ring->push([attempt, index, text = std::move(text)](
                       program_owner& owner, time_point now)
                   { owner.on_token(attempt, index, text, now); });
    };
    hooks.answer = [ring = ring_, attempt](attempt_answer answer)
    {
        ring->push([attempt, answer = std::move(answer)](
                       program_owner& owner, time_point now)
                   { owner.on_answer(attempt, answer, now); });
    };
    hooks.failure = [ring = ring_, attempt](refusal why)
    {
        ring->push([attempt,
                    why = std::move(why)](program_owner& owner, time_point now)
                   { owner.on_failure(attempt, why, now); });
    };
    return hooks;
}

void owner_duty::send(model_effect const& effect)
{
    auto const* to = target(effect.target);
    if (to == nullptr)
        return fail(effect.attempt, refusal{});
    counters_.count("walnutmill_sends_total{kind=\"model\"}");
    targets_.generate(to->address, effect, hooks_for(effect.attempt));
}

void owner_duty::send(plain_effect const& effect)
{
    auto const* to = target(effect.target);
    if (to == nullptr)
        return fail(effect.attempt, refusal{});
    if (!effect.repeatable)
    {
        if (auto const why = last_check())
            return fail(effect.attempt, *why);
    }
    counters_.count("walnutmill_sends_total{kind=\"plain\"}");
    targets_.run(to->address, effect, hooks_for(effect.attempt));
}

void owner_duty::release(release_effect const& effect)
{
    auto const* to = target(effect.target);
    auto const report = [ring = ring_, effect](bool confirmed)
    {
        ring->push(
            [effect, confirmed](program_owner& owner, time_point now) {
                owner.on_released(
                    effect.program, effect.target, confirmed, now);
            });
    };
    if (to == nullptr || to->kind != target_kind::engine)
    {
        owner_.on_released(
            effect.program, effect.target, true, options_.clock());
        return;
    }
    targets_.release(to->address, effect.program, report);
}

} // namespace walnutmill

// Shards: taken over, given up, checkpointed; commits and their effects.

#include "program_owner.hpp"

#include <walnutmill/hash.hpp>

#include "refusals.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// The deadline of a call that names none: a tenth of an hour, longer than
/// the longest generation expected and short enough to notice a loss.
constexpr std::chrono::minutes default_deadline{6};
/// A shard that changes owner is served again within a few flushes.
constexpr std::chrono::milliseconds moving_retry{500};
/// How long the answers of an ended program can still be fetched.
constexpr std::chrono::minutes keep_ended{10};

} // namespace

void program_owner::load_shard(
    shard_number shard, epoch_number epoch,
    std::vector<journal_record> const& records, time_point now)
{
    if (fenced_ || owns(shard))
        return;
    for (auto const& record : records)
        book_.apply(record);
    book_.strand(shard);
    owned_[shard].epoch = epoch;
    for (auto const& entry : book_.programs())
    {
        auto const& program = entry.second;
        if (program.shard != shard)
            continue;
        last_activity_[entry.first] = now;
        if (program.is_root() && !program.ended)
            hooks_.adopted({entry.first, program.created.workspace});
        if (program.open_intent)
            resolve_intent(program, now);
        if (program.ended)
            release_holds(program);
    }
}

void program_owner::resolve_intent(program_state const& program, time_point now)
{
    auto const& intent = *program.open_intent;
    active_call call;
    call.handle = ++last_id_;
    call.spec.program = intent.program;
    call.spec.number = intent.number;
    call.spec.request = intent.request;
    call.hash = intent.body_hash;
    call.repeatable = false;
    call.may_have_run = true;
    call.target = intent.target;
    call.accepted = now;
    call.deadline = now + default_deadline;
    call.stage = call_stage::in_flight;
    auto const handle = call.handle;
    by_program_[intent.program][intent.number] = handle;
    calls_.emplace(handle, std::move(call));
    auto& added = calls_.at(handle);
    auto const* target = find_target(*config_, intent.target);
    if (target == nullptr || !target->answers_outcome_queries)
    {
        refuse_outcome(
            added, errc::outcome_unknown, certainty::outcome_unknown, 0, now);
        return;
    }
    added.querying = true;
    added.attempt = ++last_id_;
    attempts_[added.attempt] = handle;
    timers_.insert({added.deadline, handle});
    effects_.push_back(query_effect{
        added.attempt, intent.target, intent.program,
        target_key(intent.program, intent.request)});
}

void program_owner::drop_shard(shard_number shard, time_point now)
{
    std::vector<call_handle> dropped;
    for (auto const& entry : calls_)
    {
        if (shard_of(root_of(entry.second.spec.program), shards_) == shard)
            dropped.push_back(entry.first);
    }
    for (auto handle : dropped)
    {
        auto& call = calls_.at(handle);
        auto why =
            come_back(errc::unavailable, "the program is moving", moving_retry);
        bool const sent = call.stage == call_stage::in_flight ||
                          call.stage == call_stage::committing ||
                          call.may_have_run;
        if (sent)
            why.ran = certainty::outcome_unknown;
        if (call.stage == call_stage::in_flight)
        {
            effects_.push_back(cancel_effect{
                call.attempt, call.target, call.spec.program,
                target_key(call.spec.program, call.spec.request)});
        }
        end_attempt(call, send_end::canceled, 0, now);
        give_up(call, why);
    }
    for (auto const& entry : book_.programs())
    {
        if (entry.second.shard == shard && entry.second.is_root() &&
            !entry.second.ended)
            hooks_.forget(entry.first, now);
    }
    for (auto const& entry : book_.programs())
    {
        if (entry.second.shard == shard)
            guards_.erase(entry.first);
    }
    book_.erase_shard(shard);
    owned_.erase(shard);
}

void program_owner::return_slices(shard_number shard)
{
    std::vector<record_body> records;
    for (auto const& entry : book_.programs())
    {
        if (entry.second.shard != shard || !entry.second.is_root())
            continue;
        auto const* ledger = book_.find_ledger(entry.first);
        if (ledger->reserved() == 0 && ledger->available() > 0)
            records.push_back(slice_returned{entry.first, ledger->available()});
    }
    if (!records.empty())
        append(shard, std::move(records), [](time_point) {});
}

void program_owner::set_moving(shard_number shard, bool moving)
{
    auto const found = owned_.find(shard);
    if (found != owned_.end())
        found->second.moving = moving;
}

bool program_owner::owns(shard_number shard) const
{
    return owned_.count(shard) != 0;
}

bool program_owner::quiet(shard_number shard) const
{
    auto const found = owned_.find(shard);
    if (found == owned_.end() || found->second.commits != 0)
        return false;
    for (auto const& entry : calls_)
    {
        if (shard_of(root_of(entry.second.spec.program), shards_) == shard)
            return false;
    }
    return true;
}

void program_owner::note_checkpoint(shard_number shard, std::uint64_t counter)
{
    auto const found = owned_.find(shard);
    if (found == owned_.end())
        return;
    auto& entry = found->second;
    entry.records = 0;
    entry.first_commit = entry.last_commit > counter ? counter + 1 : 0;
}

std::uint64_t program_owner::first_commit(shard_number shard) const
{
    auto const found = owned_.find(shard);
    return found == owned_.end() ? 0 : found->second.first_commit;
}

std::size_t program_owner::uncheckpointed_records(shard_number shard) const
{
    auto const found = owned_.find(shard);
    return found == owned_.end() ? 0 : found->second.records;
}

std::vector<journal_record>
program_owner::snapshot(shard_number shard, time_point now) const
{
    auto const epoch = owned_.at(shard).epoch;
    auto const wanted = [&](program_state const& program)
    {
        auto const* root = book_.find(program.created.root);
        if (root == nullptr || !root->ended || !program.holds.empty())
            return true;
        auto const at = last_activity_.find(program.created.root);
        return at != last_activity_.end() && now - at->second < keep_ended;
    };
    return book_.snapshot(shard, epoch, wanted);
}

void program_owner::fence(time_point now)
{
    if (fenced_)
        return;
    fenced_ = true;
    std::vector<shard_number> shards;
    for (auto const& entry : owned_)
        shards.push_back(entry.first);
    for (auto shard : shards)
        drop_shard(shard, now);
    commits_.clear();
    auto waiting = std::move(creating_);
    creating_.clear();
    for (auto& entry : waiting)
    {
        auto why = come_back(
            errc::unavailable, "the node lost its session", moving_retry);
        why.ran = certainty::outcome_unknown;
        for (auto& sink : entry.second)
            sink.done(why);
    }
}

void program_owner::append(
    shard_number shard, std::vector<record_body> bodies,
    std::function<void(time_point)> then)
{
    auto const found = owned_.find(shard);
    if (found == owned_.end())
        return;
    pending_commit pending;
    pending.shard = shard;
    pending.then = std::move(then);
    for (auto& body : bodies)
    {
        pending.records.push_back(
            {shard, found->second.epoch, std::move(body)});
    }
    ++found->second.commits;
    auto const token = ++last_id_;
    effects_.push_back(append_effect{token, pending.records});
    commits_.emplace(token, std::move(pending));
}

void program_owner::on_committed(
    std::uint64_t token, time_point now, std::uint64_t counter)
{
    auto const found = commits_.find(token);
    if (found == commits_.end())
        return;
    auto pending = std::move(found->second);
    commits_.erase(found);
    auto const shard = owned_.find(pending.shard);
    if (shard == owned_.end())
        return;
    --shard->second.commits;
    auto& entry = shard->second;
    entry.records += pending.records.size();
    entry.last_commit = counter;
    if (entry.first_commit == 0)
        entry.first_commit = counter;
    for (auto const& record : pending.records)
    {
        if (auto const* outcome = std::get_if<call_outcome>(&record.body))
        {
            // The cost takes the reservation's place in the ledger.
            auto* call = find_call(outcome->program, outcome->number);
            auto* ledger = book_.find_ledger(root_of(outcome->program));
            if (call != nullptr && ledger != nullptr)
                ledger->cancel(call->reserved + call->wasted);
        }
        book_.apply(record);
    }
    pending.then(now);
}

void program_owner::explain(
    program_id const& program, std::uint32_t number, decision_kind kind,
    std::string reason, target_name target)
{
    effects_.push_back(decision_effect{
        program, number, kind, std::move(target), std::move(reason)});
}

std::vector<owner_effect> program_owner::take_effects()
{
    return std::exchange(effects_, {});
}

bool program_owner::live(program_id const& program) const
{
    auto const* known = book_.find(program);
    return known != nullptr && !known->ended;
}

owner_figures program_owner::figures() const
{
    return {book_.programs().size(), calls_.size(), attempts_.size()};
}

} // namespace walnutmill

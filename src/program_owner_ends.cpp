// The end of programs and the release of what they held.

#include "program_owner.hpp"

#include <walnutmill/hash.hpp>

#include "refusals.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Programs looked at for abandonment in one tick; a bound, not a rate.
constexpr int abandonment_checks = 64;
/// How long the answers of an ended program can still be fetched.
constexpr std::chrono::minutes keep_ended{10};

} // namespace

bool program_owner::busy(program_id const& program) const
{
    auto const found = by_program_.find(program);
    return found != by_program_.end() && !found->second.empty();
}

void program_owner::end(
    end_request const& r, answer_sink const& sink, time_point now)
{
    auto const found = visible(r.program, r.workspace);
    if (!found)
        return sink.done(found.error());
    auto& program = *found.value();
    if (program.ended)
        return sink.done(caller_answer(view_of(program)));
    if (r.reason == end_reason::finished && busy(r.program))
        return sink.done(refuse(errc::conflict, "calls are under way"));
    end_program(
        program, r.reason,
        [this, sink, id = r.program](time_point)
        { sink.done(caller_answer(view_of(*book_.find(id)))); },
        now);
}

void program_owner::end_program(
    program_state& program, end_reason reason,
    std::function<void(time_point)> then, time_point now)
{
    // The ids of sub-agents start with their parent's, so they follow it.
    std::vector<program_id> ids;
    auto const& first = program.created.program;
    auto const& all = book_.programs();
    for (auto it = all.find(first); it != all.end(); ++it)
    {
        auto const& text = it->first.str();
        if (text.compare(0, first.str().size(), first.str()) != 0)
            break;
        bool const below = text.size() == first.str().size() ||
                           text[first.str().size()] == '.';
        if (below && !it->second.ended)
            ids.push_back(it->first);
    }
    std::vector<record_body> records;
    for (auto const& id : ids)
    {
        ending_.insert(id);
        for (auto const& entry : by_program_[id])
        {
            auto const& call = calls_.at(entry.second);
            // What was sent may hold memory from now on.
            if (call.stage == call_stage::in_flight)
                records.push_back(hold_taken{id, call.target});
        }
        drop_calls(id, errc::canceled, now);
        records.push_back(program_ended{id, reason});
    }
    append(
        program.shard, std::move(records),
        [this, ids, then = std::move(then)](time_point at)
        {
            for (auto const& id : ids)
            {
                ending_.erase(id);
                last_activity_[id] = at;
                auto const* ended = book_.find(id);
                if (ended == nullptr)
                    continue;
                if (ended->is_root())
                {
                    hooks_.forget(id, at);
                }
                release_holds(*ended);
            }
            then(at);
        });
}

void program_owner::release_holds(program_state const& program)
{
    for (auto const& target : program.holds)
        release(program.created.program, target);
}

void program_owner::release(
    program_id const& program, target_name const& target)
{
    if (releasing_.insert({program, target}).second)
        effects_.push_back(release_effect{program, target});
}

void program_owner::on_released(
    program_id const& program, target_name const& target, bool confirmed,
    time_point now)
{
    constexpr std::chrono::seconds wait_before_repeat{1};
    auto const* known = book_.find(program);
    auto const* config = find_target(*config_, target);
    // An expunged target keeps nothing that could be released.
    bool const gone =
        config == nullptr || config->policy == target_policy::expunged;
    if (known == nullptr)
    {
        releasing_.erase({program, target});
        return;
    }
    if (!confirmed && !gone)
    {
        release_again_.push_back({now + wait_before_repeat, program, target});
        return;
    }
    append(
        known->shard, {hold_released{program, target}},
        [this, program, target](time_point) {
            releasing_.erase({program, target});
        });
}

void program_owner::release_unconfirmed(time_point now)
{
    while (!release_again_.empty() && release_again_.front().at <= now)
    {
        auto const again = release_again_.front();
        release_again_.pop_front();
        effects_.push_back(release_effect{again.program, again.target});
    }
}

void program_owner::check_abandoned(time_point now)
{
    auto const limit = config_->limits.program_abandoned_after;
    auto const& all = book_.programs();
    std::vector<program_id> abandoned;
    std::vector<program_id> outdated;
    auto it = all.upper_bound(abandoned_cursor_);
    for (int i = 0; i < abandonment_checks && it != all.end(); ++i, ++it)
    {
        abandoned_cursor_ = it->first;
        auto const& root = it->second.created.root;
        auto const at = last_activity_[it->first];
        if (it->second.is_root() && !it->second.ended && now - at > limit &&
            !busy(root))
            abandoned.push_back(it->first);
        auto const* top = book_.find(root);
        bool const over = it->second.ended && (top == nullptr || top->ended);
        if (over && it->second.holds.empty() && now - at > keep_ended)
            outdated.push_back(it->first);
    }
    if (it == all.end())
        abandoned_cursor_ = program_id();
    for (auto const& id : abandoned)
    {
        explain(
            id, 0, decision_kind::refused,
            "ended: no call for the stated time");
        end_program(
            *book_.find(id), end_reason::abandoned, [](time_point) {}, now);
    }
    for (auto const& id : outdated)
        forget_program(id, now);
}

void program_owner::forget_program(program_id const& id, time_point)
{
    book_.erase(id);
    last_activity_.erase(id);
    next_tool_.erase(id);
    guards_.erase(id);
    by_program_.erase(id);
}

} // namespace walnutmill

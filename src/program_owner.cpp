// Requests of callers, programs, shards. The life of calls is in
// program_owner_calls.cpp.

#include "program_owner.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Calls that a program may have handed in beyond the one whose turn it is.
constexpr std::uint32_t max_calls_ahead = 8;
/// The deadline of a call that names none: a tenth of an hour, longer than
/// the longest generation expected and short enough to notice a loss.
constexpr std::chrono::minutes default_deadline{6};
/// A shard that changes owner is served again within a few flushes.
constexpr std::chrono::milliseconds moving_retry{500};
/// Programs looked at for abandonment in one tick; a bound, not a rate.
constexpr int abandonment_checks = 64;
/// How long the answers of an ended program can still be fetched.
constexpr std::chrono::minutes keep_ended{10};

refusal refuse(errc code, std::string message, std::string field = {})
{
    refusal why;
    why.code = code;
    why.message = std::move(message);
    why.field = std::move(field);
    return why;
}

refusal come_back(
    errc code, std::string message,
    std::chrono::milliseconds after = moving_retry)
{
    auto why = refuse(code, std::move(message));
    why.retry_after = after;
    return why;
}

} // namespace

program_owner::program_owner(scheduling_hooks hooks, std::uint32_t shards)
    : hooks_(std::move(hooks)), shards_(shards),
      config_(std::make_shared<configuration>())
{
}

void program_owner::set_configuration(
    std::shared_ptr<configuration const> config)
{
    config_ = std::move(config);
    guard_options_ = guard_options_from(config_->limits);
}

// Shards

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
        auto why = come_back(errc::unavailable, "the program is moving");
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
        auto why = come_back(errc::unavailable, "the node lost its session");
        why.ran = certainty::outcome_unknown;
        for (auto& sink : entry.second)
            sink.done(why);
    }
}

// Requests

void program_owner::request(
    caller_request const& request, answer_sink sink, time_point now)
{
    auto const shard = shard_of(root_of(program_of(request)), shards_);
    if (fenced_ || !owns(shard) || owned_.at(shard).moving)
        return sink.done(come_back(errc::unavailable, "the program is moving"));
    if (config_->version == 0)
        return sink.done(
            come_back(errc::unavailable, "no configuration was read yet"));
    if (auto const* r = std::get_if<create_request>(&request))
        return create(*r, std::move(sink), now);
    if (auto const* r = std::get_if<call_request>(&request))
        return call(*r, std::move(sink), now);
    if (auto const* r = std::get_if<fetch_request>(&request))
        return fetch(*r, std::move(sink));
    if (auto const* r = std::get_if<end_request>(&request))
        return end(*r, sink, now);
    if (auto const* r = std::get_if<budget_request>(&request))
        return set_budget(*r, sink);
    view(std::get<view_request>(request), sink);
}

result<program_state*>
program_owner::visible(program_id const& id, workspace_name const& workspace)
{
    auto* program = book_.find(id);
    // A program of another workspace does not exist for this caller.
    if (program == nullptr || program->created.workspace != workspace)
        return refuse(errc::not_found, "no such program", "program");
    return program;
}

std::optional<refusal>
program_owner::check_creation(create_request const& r, time_point now) const
{
    auto const* workspace = find_workspace(*config_, r.workspace);
    if (workspace == nullptr)
        return refuse(errc::not_found, "no such workspace", "workspace");
    if (!accepting_)
        return come_back(errc::unavailable, "the node is stopping");
    auto const& limits = config_->limits;
    if (!r.parent.empty())
    {
        auto const* parent = book_.find(r.parent);
        auto const* root = book_.find(root_of(r.parent));
        if (parent == nullptr || root == nullptr ||
            parent->created.workspace != r.workspace)
            return refuse(errc::not_found, "no such program", "parent");
        if (parent->ended || root->ended || ending_.count(r.parent) != 0)
            return refuse(errc::program_ended, "the parent ended", "parent");
        auto const& text = r.program.str();
        auto const depth = static_cast<std::uint32_t>(
            std::count(text.begin(), text.end(), '.'));
        if (depth > limits.max_depth)
            return refuse(errc::too_large, "sub-agents nest too deeply");
        if (root->sub_agents >= limits.max_sub_agents)
            return refuse(errc::too_large, "too many sub-agents");
        return std::nullopt;
    }
    if (r.budget > workspace->max_budget)
        return refuse(
            errc::bad_request, "more than the workspace allows", "budget");
    if (book_.programs().size() >= limits.max_programs_per_node)
        return come_back(errc::overloaded, "too many programs on this node");
    return hooks_.admit({r.program, r.workspace}, now);
}

void program_owner::create(
    create_request const& r, answer_sink sink, time_point now)
{
    if (auto const* known = book_.find(r.program))
    {
        if (known->created.workspace != r.workspace)
            return sink.done(refuse(errc::not_found, "no such program"));
        if (known->is_root() && known->created.budget != r.budget)
            return sink.done(refuse(
                errc::conflict, "created with another budget", "budget"));
        return sink.done(caller_answer(view_of(*known)));
    }
    auto const waiting = creating_.find(r.program);
    if (waiting != creating_.end())
    {
        waiting->second.push_back(std::move(sink));
        return;
    }
    if (auto why = check_creation(r, now))
    {
        explain(r.program, 0, decision_kind::refused, why->message);
        return sink.done(*why);
    }
    bool const root = r.parent.empty();
    program_created created{r.program,           r.parent,
                            root_of(r.program),  r.workspace,
                            root ? r.budget : 0, r.request};
    std::vector<record_body> records{created};
    // The first slice rides along and saves the first call a commit.
    if (root)
    {
        records.push_back(slice_drawn{
            r.program, std::min(config_->limits.budget_slice, r.budget)});
    }
    creating_[r.program].push_back(std::move(sink));
    append(
        shard_of(created.root, shards_), std::move(records),
        [this, id = r.program](time_point at)
        {
            last_activity_[id] = at;
            auto view = view_of(*book_.find(id));
            view.created_now = true;
            auto sinks = std::move(creating_[id]);
            creating_.erase(id);
            for (auto& one : sinks)
                one.done(caller_answer(view));
        });
}

std::uint64_t program_owner::prompt_tokens(
    program_state const& program, call_request const& r) const
{
    // About four bytes of text make a token; each turn is rounded up.
    constexpr std::uint64_t token_bytes = 4;
    auto const tokens = [](std::string const& text)
    { return text.size() / token_bytes + 1; };
    auto count = tokens(r.input);
    for (auto const& outcome : program.outcomes)
    {
        if (outcome.in_history)
            count += tokens(outcome.input) + tokens(outcome.output);
    }
    return count;
}

std::optional<refusal> program_owner::check_call(
    call_request const& r, program_state const& program) const
{
    auto const& id = r.program;
    if (program.ended || ending_.count(id) != 0)
        return refuse(errc::program_ended, "the program has ended");
    auto const next = program.next_number();
    if (r.number < next)
        return refuse(errc::conflict, "the number was used", "number");
    auto const active = by_program_.find(id);
    if (active != by_program_.end() && active->second.count(r.number) != 0)
        return refuse(errc::conflict, "the number is in use", "number");
    if (r.number > next + max_calls_ahead)
        return refuse(errc::bad_request, "too far ahead", "number");
    auto const& limits = config_->limits;
    if (r.number > limits.max_turns)
        return refuse(errc::too_large, "too many turns", "number");
    if (r.input.size() > limits.max_input_bytes)
        return refuse(errc::too_large, "too long", "input");
    auto const* service = find_service(*config_, r.service);
    auto const* workspace = find_workspace(*config_, program.created.workspace);
    bool const allowed =
        service != nullptr && workspace != nullptr &&
        std::find(
            workspace->services.begin(), workspace->services.end(),
            r.service) != workspace->services.end();
    if (!allowed)
        return refuse(errc::bad_request, "no such service", "service");
    if (service->kind == target_kind::engine && r.max_tokens == 0)
        return refuse(errc::bad_request, "is missing", "max_tokens");
    if (!accepting_)
        return come_back(errc::unavailable, "the node is stopping");
    // Programs under way are not dropped for new ones, so the bound on their
    // calls is a bound on memory, well above that on new programs.
    if (calls_.size() >= 4ull * limits.max_queued_calls)
        return come_back(errc::overloaded, "too many calls at this node");
    return std::nullopt;
}

bool program_owner::answer_again(
    call_request const& r, std::uint64_t hash, program_state const& program,
    answer_sink& sink)
{
    auto const other_body = [&]
    {
        sink.done(refuse(
            errc::conflict, "this request id came with another body",
            "request_id"));
        return true;
    };
    if (auto const* outcome = program.find_outcome(r.request))
    {
        if (outcome->body_hash != hash)
            return other_body();
        sink.done(stored_answer(*outcome));
        return true;
    }
    auto const active = by_program_.find(r.program);
    if (active == by_program_.end())
        return false;
    for (auto const& entry : active->second)
    {
        auto& call = calls_.at(entry.second);
        if (call.spec.request != r.request)
            continue;
        if (call.hash != hash)
            return other_body();
        attach(call, std::move(sink), r.stream, 0);
        return true;
    }
    return false;
}

caller_result program_owner::stored_answer(call_outcome const& outcome) const
{
    if (outcome.refused)
    {
        auto why = refuse(outcome.code, outcome.output);
        why.ran = outcome.ran;
        return why;
    }
    return caller_answer(call_answer{
        outcome.program, outcome.number, outcome.request, outcome.output,
        outcome.cost, outcome.target});
}

void program_owner::fetch(fetch_request const& r, answer_sink sink)
{
    auto const found = visible(r.program, r.workspace);
    if (!found)
        return sink.done(found.error());
    if (auto const* outcome = found.value()->find_outcome(r.request))
        return sink.done(stored_answer(*outcome));
    auto const active = by_program_.find(r.program);
    if (active != by_program_.end())
    {
        for (auto const& entry : active->second)
        {
            auto& call = calls_.at(entry.second);
            if (call.spec.request == r.request)
                return attach(call, std::move(sink), r.stream, r.after);
        }
    }
    sink.done(refuse(errc::not_found, "no such call", "request_id"));
}

program_view program_owner::view_of(program_state const& program)
{
    program_view view;
    view.program = program.created.program;
    view.root = program.created.root;
    view.workspace = program.created.workspace;
    view.calls = static_cast<std::uint32_t>(program.outcomes.size());
    view.ended = program.ended;
    if (auto const* ledger = book_.find_ledger(view.root))
    {
        view.budget = ledger->budget();
        view.spent = ledger->spent();
        view.reserved = ledger->reserved();
    }
    return view;
}

void program_owner::view(view_request const& r, answer_sink const& sink)
{
    auto const found = visible(r.program, r.workspace);
    if (!found)
        return sink.done(found.error());
    sink.done(caller_answer(view_of(*found.value())));
}

void program_owner::set_budget(budget_request const& r, answer_sink const& sink)
{
    auto const found = visible(r.program, r.workspace);
    if (!found)
        return sink.done(found.error());
    auto const& program = *found.value();
    auto const* workspace = find_workspace(*config_, r.workspace);
    if (!program.is_root())
        return sink.done(refuse(
            errc::bad_request, "a sub-agent shares its root's budget",
            "program"));
    if (workspace == nullptr || r.units > workspace->max_budget)
        return sink.done(refuse(
            errc::bad_request, "more than the workspace allows", "budget"));
    append(
        program.shard, {budget_changed{r.program, r.units}},
        [this, sink, id = r.program](time_point)
        { sink.done(caller_answer(view_of(*book_.find(id)))); });
}

std::vector<program_status>
program_owner::statuses(std::size_t limit, time_point now)
{
    std::vector<program_status> all;
    for (auto const& entry : book_.programs())
    {
        if (all.size() >= limit)
            break;
        program_status status;
        status.view = view_of(entry.second);
        status.holds.assign(
            entry.second.holds.begin(), entry.second.holds.end());
        auto const* call = find_call(entry.first, entry.second.next_number());
        if (call != nullptr)
        {
            status.waiting_for = waiting_for(*call);
            status.waited = now - call->accepted;
            status.target = call->target;
        }
        all.push_back(std::move(status));
    }
    return all;
}

std::string program_owner::waiting_for(active_call const& call)
{
    switch (call.stage)
    {
    case call_stage::waits_turn:
        return "its turn";
    case call_stage::drawing:
        return "units of the budget";
    case call_stage::queued:
        return "a free target";
    case call_stage::intending:
        return "the intent's commit";
    case call_stage::in_flight:
        return "the target";
    case call_stage::backing_off:
        return "the next attempt";
    case call_stage::committing:
        break;
    }
    return "the outcome's commit";
}

// The end of programs

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

// Commits and effects

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

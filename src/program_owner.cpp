// Requests of callers. The life of calls is in program_owner_calls.cpp, that
// of shards in program_owner_shards.cpp.

#include "program_owner.hpp"

#include <walnutmill/hash.hpp>

#include "refusals.hpp"

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Calls that a program may have handed in beyond the one whose turn it is.
constexpr std::uint32_t max_calls_ahead = 8;
/// A shard that changes owner is served again within a few flushes.
constexpr std::chrono::milliseconds moving_retry{500};

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

void program_owner::request(
    caller_request const& request, answer_sink sink, time_point now)
{
    auto const shard = shard_of(root_of(program_of(request)), shards_);
    if (fenced_ || !owns(shard) || owned_.at(shard).moving)
        return sink.done(come_back(
            errc::unavailable, "the program is moving", moving_retry));
    if (config_->version == 0)
        return sink.done(come_back(
            errc::unavailable, "no configuration was read yet", moving_retry));
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
        return come_back(
            errc::unavailable, "the node is stopping", moving_retry);
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
        return come_back(
            errc::overloaded, "too many programs on this node", moving_retry);
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
        return come_back(
            errc::unavailable, "the node is stopping", moving_retry);
    // Programs under way are not dropped for new ones, so the bound on their
    // calls is a bound on memory, well above that on new programs.
    if (calls_.size() >= 4ull * limits.max_queued_calls)
        return come_back(
            errc::overloaded, "too many calls at this node", moving_retry);
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

} // namespace walnutmill

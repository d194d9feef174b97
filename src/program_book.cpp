#include "program_book.hpp"

namespace walnutmill
{

program_id root_of(program_id const& id)
{
    return program_id(id.str().substr(0, id.str().find('.')));
}

call_outcome const* program_state::find_outcome(request_id const& request) const
{
    for (auto const& outcome : outcomes)
    {
        if (outcome.request == request)
            return &outcome;
    }
    return nullptr;
}

program_state* program_book::find(program_id const& id)
{
    auto const found = programs_.find(id);
    return found == programs_.end() ? nullptr : &found->second;
}

program_state const* program_book::find(program_id const& id) const
{
    auto const found = programs_.find(id);
    return found == programs_.end() ? nullptr : &found->second;
}

budget_ledger* program_book::find_ledger(program_id const& root)
{
    auto const found = ledgers_.find(root);
    return found == ledgers_.end() ? nullptr : &found->second;
}

void program_book::add(
    journal_record const& record, program_created const& created)
{
    if (find(created.program) != nullptr)
        return;
    program_state state;
    state.created = created;
    state.shard = record.shard;
    bool const is_root = state.is_root();
    programs_.emplace(created.program, std::move(state));
    if (is_root)
        ledgers_.emplace(created.program, budget_ledger(created.budget));
    else if (auto* root = find(created.root))
        ++root->sub_agents;
}

void program_book::add_outcome(call_outcome const& outcome)
{
    auto* program = find(outcome.program);
    if (program == nullptr || outcome.number != program->next_number())
        return;
    program->outcomes.push_back(outcome);
    program->open_intent.reset();
    if (auto* ledger = find_ledger(program->created.root))
        ledger->settle(outcome.cost);
}

bool program_book::apply_to_ledger(record_body const& body)
{
    if (auto const* drawn = std::get_if<slice_drawn>(&body))
    {
        if (auto* ledger = find_ledger(drawn->root))
            ledger->draw(drawn->units);
        return true;
    }
    if (auto const* returned = std::get_if<slice_returned>(&body))
    {
        if (auto* ledger = find_ledger(returned->root))
            ledger->give_back(returned->units);
        return true;
    }
    if (auto const* changed = std::get_if<budget_changed>(&body))
    {
        if (auto* ledger = find_ledger(changed->root))
            ledger->set_budget(changed->units);
        return true;
    }
    return false;
}

void program_book::apply(journal_record const& record)
{
    auto const& body = record.body;
    if (auto const* created = std::get_if<program_created>(&body))
        return add(record, *created);
    if (apply_to_ledger(body))
        return;
    if (auto const* intent = std::get_if<call_intent>(&body))
        add_intent(*intent);
    else if (auto const* outcome = std::get_if<call_outcome>(&body))
        add_outcome(*outcome);
    else if (auto const* taken = std::get_if<hold_taken>(&body))
    {
        if (auto* program = find(taken->program))
            program->holds.insert(taken->target);
    }
    else if (auto const* released = std::get_if<hold_released>(&body))
    {
        if (auto* program = find(released->program))
            program->holds.erase(released->target);
    }
    else if (auto const* end = std::get_if<program_ended>(&body))
    {
        auto* program = find(end->program);
        if (program != nullptr && !program->ended)
            program->ended = end->reason;
    }
}

void program_book::add_intent(call_intent const& intent)
{
    auto* program = find(intent.program);
    if (program == nullptr)
        return;
    // An intent without a target takes the earlier one back.
    if (intent.target.empty())
        program->open_intent.reset();
    else if (intent.number == program->next_number())
        program->open_intent = intent;
}

void program_book::append_records(
    program_state const& program, epoch_number epoch,
    std::vector<journal_record>& records) const
{
    auto const add_record = [&](record_body body) {
        records.push_back({program.shard, epoch, std::move(body)});
    };
    auto const& id = program.created.program;
    add_record(program.created);
    if (program.is_root())
    {
        auto const& ledger = ledgers_.at(id);
        add_record(budget_changed{id, ledger.budget()});
        add_record(slice_drawn{id, ledger.drawn()});
    }
    for (auto const& outcome : program.outcomes)
        add_record(outcome);
    if (program.open_intent)
        add_record(*program.open_intent);
    for (auto const& target : program.holds)
        add_record(hold_taken{id, target});
    if (program.ended)
        add_record(program_ended{id, *program.ended});
}

void program_book::strand(shard_number shard)
{
    for (auto const& entry : programs_)
    {
        if (entry.second.shard == shard && entry.second.is_root())
            ledgers_.at(entry.first).strand();
    }
}

void program_book::erase(program_id const& id)
{
    programs_.erase(id);
    ledgers_.erase(id);
}

void program_book::erase_shard(shard_number shard)
{
    for (auto entry = programs_.begin(); entry != programs_.end();)
    {
        if (entry->second.shard != shard)
        {
            ++entry;
            continue;
        }
        ledgers_.erase(entry->first);
        entry = programs_.erase(entry);
    }
}

} // namespace walnutmill

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

void program_book::add_outcome(
    program_state& program, call_outcome const& outcome)
{
    if (outcome.number != program.next_number())
        return;
    program.outcomes.push_back(outcome);
    program.open_intent.reset();
    if (auto* ledger = find_ledger(program.created.root))
        ledger->settle(outcome.cost);
}

void program_book::apply(journal_record const& record)
{
    if (auto const* created = std::get_if<program_created>(&record.body))
        return add(record, *created);
    if (auto const* slice = std::get_if<slice_drawn>(&record.body))
    {
        if (auto* ledger = find_ledger(slice->root))
            ledger->draw(slice->units);
        return;
    }
    if (auto const* slice = std::get_if<slice_returned>(&record.body))
    {
        if (auto* ledger = find_ledger(slice->root))
            ledger->give_back(slice->units);
        return;
    }
    auto const id = std::visit(
        [](auto const& body) -> program_id
        {
            if constexpr (
                std::is_same_v<std::decay_t<decltype(body)>, slice_drawn> ||
                std::is_same_v<std::decay_t<decltype(body)>, slice_returned>)
                return body.root;
            else
                return body.program;
        },
        record.body);
    auto* program = find(id);
    if (program == nullptr)
        return;
    if (auto const* intent = std::get_if<call_intent>(&record.body))
    {
        // An intent without a target takes the earlier one back.
        if (intent->target.empty())
            program->open_intent.reset();
        else if (intent->number == program->next_number())
            program->open_intent = *intent;
    }
    else if (auto const* outcome = std::get_if<call_outcome>(&record.body))
        add_outcome(*program, *outcome);
    else if (auto const* hold = std::get_if<hold_taken>(&record.body))
        program->holds.insert(hold->target);
    else if (auto const* release = std::get_if<hold_released>(&record.body))
        program->holds.erase(release->target);
    else if (auto const* end = std::get_if<program_ended>(&record.body))
    {
        if (!program->ended)
            program->ended = end->reason;
    }
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
        add_record(slice_drawn{id, ledgers_.at(id).drawn()});
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

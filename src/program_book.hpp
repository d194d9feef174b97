#ifndef WALNUTMILL_SRC_PROGRAM_BOOK_HPP
#define WALNUTMILL_SRC_PROGRAM_BOOK_HPP

/// \file
/// Programs as the fold of their committed records. The same fold runs at the
/// owner after each commit and at a new owner during recovery.

#include <walnutmill/record.hpp>

#include "budget_ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// One program's committed state.
struct program_state
{
    program_created created;
    shard_number shard = 0;
    /// Outcomes of calls 1, 2, … in order.
    std::vector<call_outcome> outcomes;
    /// A call that may have been sent and has no outcome yet.
    std::optional<call_intent> open_intent;
    /// Targets that may hold memory for it.
    std::set<target_name> holds;
    std::optional<end_reason> ended;
    /// Sub-agents created so far below a root.
    std::uint32_t sub_agents = 0;

    bool is_root() const { return created.program == created.root; }
    std::uint32_t next_number() const
    {
        return static_cast<std::uint32_t>(outcomes.size()) + 1;
    }
    /// \return nullptr when no call of that request id has ended.
    call_outcome const* find_outcome(request_id const& request) const;
};

/// The programs of the shards that a node owns.
class program_book
{
public:
    /// Folds a record in. Records that repeat what is known change nothing.
    void apply(journal_record const& record);

    program_state* find(program_id const& id);
    program_state const* find(program_id const& id) const;
    /// The ledger of a root; nullptr when it is not here.
    budget_ledger* find_ledger(program_id const& root);

    /// Records from which apply() rebuilds the shard, stamped with `epoch`.
    /// \param keep tells whether a program is still wanted
    template<class Keep>
    std::vector<journal_record>
    snapshot(shard_number shard, epoch_number epoch, Keep keep) const
    {
        std::vector<journal_record> records;
        for (auto const& entry : programs_)
        {
            if (entry.second.shard == shard && keep(entry.second))
                append_records(entry.second, epoch, records);
        }
        return records;
    }

    /// Unsettled slices of the shard count as spent from now on.
    void strand(shard_number shard);
    void erase_shard(shard_number shard);
    void erase(program_id const& id);

    std::map<program_id, program_state> const& programs() const
    {
        return programs_;
    }

private:
    void add(journal_record const& record, program_created const& created);
    bool apply_to_ledger(record_body const& body);
    void add_intent(call_intent const& intent);
    void add_outcome(call_outcome const& outcome);
    void append_records(
        program_state const& program, epoch_number epoch,
        std::vector<journal_record>& records) const;

    // Ordered, so that a root comes before its sub-agents.
    std::map<program_id, program_state> programs_;
    std::unordered_map<program_id, budget_ledger> ledgers_;
};

/// \return the root's part of a program's id: what comes before the first dot.
program_id root_of(program_id const& id);

} // namespace walnutmill

#endif

#include <walnutmill/program_ledger.hpp>

#include "entry/partitions.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace walnutmill
{
namespace
{

constexpr char const* table_name = "walnutmill-programs";
/// The escrow of a program whose turns are kept is this part of its budget, or
/// one turn if that is more.
constexpr std::uint64_t kept_escrow_divisor = 8;

/// \return the account assumed for a row that cannot be decoded: its budget is
/// spent, so that no turn starts without a known balance.
program_account exhausted_account()
{
    program_account made;
    made.spent = std::numeric_limits<std::uint32_t>::max();
    return made;
}

} // namespace

std::string_view to_string(admission_answer answer)
{
    switch (answer)
    {
    case admission_answer::admitted:
        return "admitted";
    case admission_answer::exhausted:
        return "exhausted";
    case admission_answer::contended:
        return "contended";
    case admission_answer::not_begun:
        return "not_begun";
    case admission_answer::store_unavailable:
        break;
    }
    return "store_unavailable";
}

program_ledger::program_ledger(
    versioned_store store, clock_fn clock, std::string self,
    ledger_options options, start_leases* leases)
    : store_(std::move(store)), clock_(std::move(clock)),
      self_(std::move(self)), options_(std::move(options)), leases_(leases),
      alive_(std::make_shared<bool>(true))
{
}

char const* program_ledger::table()
{
    return table_name;
}

program_ledger::~program_ledger()
{
    // Callbacks of the store that run later return without using the ledger.
    *alive_ = false;
}

row_address program_ledger::address(program_id const& program) const
{
    return {table_name, partition_of(program.str()), program.str()};
}

void program_ledger::admit(
    program_id const& program, turn_request const& turn, answer_fn answer)
{
    auto& state = programs_[program];
    state.role = turn.role;
    state.budget = turn.budget;
    state.most_tokens = turn.most_tokens;
    state.is_kept = turn.is_kept;
    state.last_use = clock_();
    state.releasing = false;
    state.queue.push_back(
        {turn.most_tokens, std::move(answer), turn.needs_store});
    if (!state.change_pending)
        state.attempts = 0;
    process_queue(program, state);
}

/// Answers the turns that can be decided locally, then requests from the store
/// what the others need.
void program_ledger::process_queue(
    program_id const& program, program_state& state)
{
    answer_decided_turns(state);
    if (!state.queue.empty() && !state.change_pending)
        update_account(program, state);
}

bool program_ledger::is_tracking(program_id const& program) const
{
    return programs_.count(program) > 0;
}

bool program_ledger::fits_reservation(
    program_state const& state, std::uint64_t most_tokens) const
{
    auto const claimed = state.used + state.in_flight + most_tokens;
    // A change that is in progress or whose outcome is unknown may already
    // have reduced the reservation, and other nodes may use the released
    // tokens.
    auto const fits_after = [&](sent_change const& sent)
    { return claimed <= sent.reserved + sent.settled; };
    return claimed <= state.reserved &&
           std::all_of(
               state.unresolved.begin(), state.unresolved.end(), fits_after);
}

/// \return true if the turn exceeds the budget for good: the sum of spent and
/// unsettled tokens never decreases.
bool program_ledger::never_fits(
    program_state const& state, std::uint64_t most_tokens) const
{
    auto const spent = state.account ? state.account->spent : 0;
    return spent + state.used + most_tokens > state.budget;
}

void program_ledger::answer_decided_turns(program_state& state)
{
    while (!state.queue.empty())
    {
        auto const most = state.queue.front().most_tokens;
        auto const fits = fits_reservation(state, most);
        if (!fits && !never_fits(state, most))
            break;
        auto const answer = std::move(state.queue.front().answer);
        state.queue.pop_front();
        if (fits)
            state.in_flight += most;
        answer(fits ? admission_answer::admitted : admission_answer::exhausted);
    }
}

/// \return the least number of tokens that a coordinator reserves.
/// \param unclaimed tokens that are neither spent nor reserved by other nodes
std::uint64_t program_ledger::reserve_ahead(
    program_state const& state, program_account const& account,
    std::uint64_t unclaimed) const
{
    auto const part = [unclaimed](double fraction)
    {
        return static_cast<std::uint64_t>(
            static_cast<double>(unclaimed) * fraction);
    };
    auto const beside_others = account.reserved_by_others(self_) > 0;
    if (!state.is_kept)
    {
        return part(
            beside_others ? options_.reserve_ahead_beside_others
                          : options_.reserve_ahead_fraction);
    }
    if (beside_others || unclaimed < state.most_tokens)
        return 0;
    return std::max(
        state.most_tokens, part(options_.reserve_ahead_of_kept_turns));
}

/// \return the number of tokens this node should have reserved once its used
/// tokens are settled: enough for the turns in progress and the waiting turns
/// that may start, and at a coordinator a part of the unclaimed budget.
std::uint64_t program_ledger::desired_reservation(
    program_state const& state, program_account const& account) const
{
    auto const taken =
        account.spent + state.used + account.reserved_by_others(self_);
    auto wanted = state.in_flight;
    for (auto const& one : state.queue)
    {
        auto const fits =
            state.may_exceed_budget
                ? taken + wanted <= state.budget
                : taken + wanted + one.most_tokens <= state.budget;
        if (!fits)
            break;
        wanted += one.most_tokens;
    }
    if (state.releasing || state.role != account_role::coordinator ||
        taken >= state.budget)
        return wanted;
    return std::max(
        wanted, reserve_ahead(state, account, state.budget - taken));
}

/// \return the tokens that the holder of a lease may grant to the program
/// without the store.
std::uint64_t program_ledger::escrow_of(program_state const& state)
{
    auto const escrow = start_escrow(state.budget);
    if (!state.is_kept)
        return escrow;
    return std::min(
        escrow,
        std::max(state.most_tokens, state.budget / kept_escrow_divisor));
}

/// \return the account on which this node's next change is based. It holds in
/// escrow the tokens that lease holders may have spent without the store.
program_account program_ledger::base_account(
    program_id const& program, program_state const& state) const
{
    program_account made;
    if (state.account)
    {
        made = *state.account;
        // A program's turns may differ in size and in whether they are kept.
        for (auto& [holder, held] : made.reserved)
        {
            if (holder != self_ && held.change == 0 && held.tokens > 0)
                held.tokens = std::max(held.tokens, escrow_of(state));
        }
        return made;
    }
    if (leases_ == nullptr)
        return made;
    auto const partition = partition_of(program.str());
    for (auto const& holder : leases_->other_escrow_holders(partition))
        made.reserved[holder] = {escrow_of(state), 0};
    return made;
}

void program_ledger::update_account(
    program_id const& program, program_state& state)
{
    auto const account = base_account(program, state);
    auto reservation = desired_reservation(state, account);
    auto const waits = [&]
    {
        return !state.queue.empty() &&
               reservation < state.in_flight + state.queue.front().most_tokens;
    };
    // The cached account may be outdated: read it again before rejecting a
    // turn.
    if (waits() && state.attempts > 0)
    {
        state.may_exceed_budget = is_wait_futile(state, account);
        reservation = desired_reservation(state, account);
        if (waits())
        {
            report_blocked(program, state, account);
            state.may_exceed_budget = false;
            answer_all(state, admission_answer::contended);
            return;
        }
    }
    auto const first_waits = waits();
    ++state.attempts;
    if (first_waits)
        read_account(program);
    else
        commit_reservation(program, state, reservation);
}

/// Records since when the reservations of other nodes have not changed. Other
/// changes of the account do not count, since a program's further turns may
/// change it all the time.
void program_ledger::observe_others(program_state& state) const
{
    if (!state.account)
    {
        state.others.clear();
        return;
    }
    auto const now = clock_();
    std::map<std::string, observed_reservation> others;
    for (auto const& [holder, held] : state.account->reserved)
    {
        if (holder == self_ || held.tokens == 0)
            continue;
        observed_reservation seen{held.change, held.tokens, now};
        auto const before = state.others.find(holder);
        if (before != state.others.end() &&
            before->second.change == seen.change &&
            before->second.tokens == seen.tokens)
            seen.unchanged_since = before->second.unchanged_since;
        others.emplace(holder, seen);
    }
    state.others = std::move(others);
}

/// \return true if waiting for the holder to release its reservation is in
/// vain: it has stopped, or has not changed the reservation for longer than a
/// live node leaves it. Escrow was reserved by another node than its holder,
/// which may not even know of the program.
bool program_ledger::is_abandoned(
    program_state const& state, std::string const& holder,
    program_account::reservation const& held) const
{
    if (held.change == 0 ||
        (leases_ != nullptr && !leases_->is_incarnation_alive(holder)))
        return true;
    auto const seen = state.others.find(holder);
    return seen != state.others.end() &&
           clock_() - seen->second.unchanged_since >= options_.abandoned_after;
}

/// \return true if the first waiting turn would not fit either if all live
/// nodes released their reservations. A turn that starts beside the abandoned
/// ones can exceed the program's budget by that turn at most, once.
bool program_ledger::is_wait_futile(
    program_state const& state, program_account const& account) const
{
    auto claimed = account.spent + state.used + state.queue.front().most_tokens;
    for (auto const& [holder, held] : account.reserved)
    {
        if (holder != self_ && is_abandoned(state, holder, held))
            claimed += held.tokens;
    }
    return claimed > state.budget;
}

void program_ledger::commit_reservation(
    program_id const& program, program_state& state, std::uint64_t reservation)
{
    sent_change sent;
    sent.number = ++last_change_;
    sent.base_version = state.version;
    sent.reserved = reservation;
    sent.settled = state.used;
    auto account = base_account(program, state);
    account.spent += state.used;
    account.written_at = options_.utc();
    account.reserved[self_] = {reservation, sent.number};
    row_transaction transaction;
    auto const at = address(program);
    transaction.conditions.push_back({at, state.version});
    if (state.version == 0 && leases_ != nullptr)
    {
        auto const lease = leases_->condition(at.partition);
        transaction.conditions.push_back(lease);
        sent.lease_version = lease.version;
    }
    transaction.writes.push_back({at, encode(account)});
    state.unresolved.push_back(sent);
    state.change_pending = true;
    state.may_exceed_budget = false;
    ++changes_in_progress_;
    store_.commit(
        std::move(transaction), options_.store_timeout,
        [this, alive = alive_, program, sent, account,
         asked_at = clock_()](transaction_result const& result)
        {
            if (*alive)
                on_committed(program, sent, account, asked_at, result);
        });
}

void program_ledger::on_committed(
    program_id const& program, sent_change const& sent,
    program_account const& account, time_point asked_at,
    transaction_result const& result)
{
    --changes_in_progress_;
    auto& state = programs_[program];
    state.change_pending = false;
    if (result.outcome == store_outcome::done)
    {
        auto const at = address(program);
        if (leases_ != nullptr && sent.base_version == 0)
            leases_->confirm_held(at.partition, sent.lease_version, asked_at);
        stored_row const row{at, encode(account), result.version};
        update_from_row(program, state, &row);
        state.attempts = 0;
        process_queue(program, state);
        settle_kept_turns(program, state);
        return;
    }
    if (result.outcome == store_outcome::conflict)
    {
        update_from_conflict(program, state, result.rows);
        if (state.attempts >= options_.max_conflict_attempts)
        {
            answer_all(state, admission_answer::contended);
            return;
        }
        process_queue(program, state);
        if (state.releasing && state.queue.empty())
            update_account(program, state);
        else
            settle_kept_turns(program, state);
        return;
    }
    handle_store_unavailable(program, state);
}

/// Updates the account and the lease from the current rows, which the store
/// reports when the conditions of a change do not hold.
void program_ledger::update_from_conflict(
    program_id const& program, program_state& state,
    std::vector<stored_row> const& rows)
{
    auto const at = address(program);
    auto const lease = start_leases::address(at.partition);
    stored_row const* account = nullptr;
    for (auto const& row : rows)
    {
        if (row.at == at)
            account = &row;
        else if (leases_ != nullptr && row.at == lease)
            leases_->observe(at.partition, &row);
    }
    update_from_row(program, state, account);
}

/// Without the store, turns continue from this node's reservation, or from the
/// escrow of a program that certainly has no account yet.
void program_ledger::handle_store_unavailable(
    program_id const& program, program_state& state)
{
    auto const may_start = leases_ != nullptr && !state.queue.empty() &&
                           !state.queue.front().needs_store && !state.account &&
                           state.version == 0 && leases_->may_start(program);
    if (may_start)
    {
        leases_->record_started(program);
        state.reserved = std::max(state.reserved, escrow_of(state));
        answer_decided_turns(state);
    }
    answer_all(state, admission_answer::store_unavailable);
}

void program_ledger::read_account(program_id const& program)
{
    auto const at = address(program);
    auto& state = programs_[program];
    state.change_pending = true;
    ++changes_in_progress_;
    store_.read(
        {at.table, at.partition, at.key, at.key + '\0'}, options_.store_timeout,
        [this, alive = alive_, program](range_result result)
        {
            if (!*alive)
                return;
            --changes_in_progress_;
            auto& found = programs_[program];
            found.change_pending = false;
            if (result.outcome != store_outcome::done)
            {
                handle_store_unavailable(program, found);
                return;
            }
            update_from_row(
                program, found,
                result.rows.empty() ? nullptr : &result.rows.front());
            process_queue(program, found);
        });
}

/// Updates the state from the current row; null if the store has no row.
void program_ledger::update_from_row(
    program_id const& program, program_state& state, stored_row const* row)
{
    auto const started_here =
        leases_ != nullptr && leases_->has_started(program);
    if (row != nullptr && leases_ != nullptr)
        leases_->record_account(program);
    auto const version = row != nullptr ? row->version : 0;
    if (row != nullptr)
        state.account =
            decode_account(row->value).value_or(exhausted_account());
    else
        state.account.reset();
    state.version = version;
    observe_others(state);
    auto const own = state.account ? state.account->reserved[self_]
                                   : program_account::reservation();
    for (auto const& one : state.unresolved)
    {
        if (row != nullptr && one.number == own.change)
            apply_change(state, one);
    }
    // A change whose condition cannot hold any more never takes effect.
    state.unresolved.erase(
        std::remove_if(
            state.unresolved.begin(), state.unresolved.end(),
            [&](sent_change const& one) {
                return one.base_version != version || one.number == own.change;
            }),
        state.unresolved.end());
    charge_untracked_reservation(state, started_here);
}

/// Counts a reservation of this node as spent if the node has no record of it:
/// it was made before the program was removed from memory, and may be spent.
/// Escrow that another node has reserved for this one is unused unless this
/// node has started the program.
void program_ledger::charge_untracked_reservation(
    program_state& state, bool started_here) const
{
    if (!state.account || state.reserved > 0 || !state.unresolved.empty())
        return;
    auto& own = state.account->reserved[self_];
    auto const is_unused_escrow =
        own.change == 0 && leases_ != nullptr && !started_here;
    if (!is_unused_escrow)
        state.account->spent += own.tokens;
    own.tokens = 0;
}

void program_ledger::apply_change(program_state& state, sent_change const& sent)
{
    state.reserved = sent.reserved;
    state.used -= std::min(state.used, sent.settled);
}

void program_ledger::answer_all(program_state& state, admission_answer answer)
{
    auto queue = std::move(state.queue);
    state.queue.clear();
    for (auto const& one : queue)
        one.answer(answer);
}

void program_ledger::report_blocked(
    program_id const& program, program_state const& state,
    program_account const& account) const
{
    if (!options_.on_blocked)
        return;
    blocked_turn report;
    report.program = program;
    report.budget = state.budget;
    report.is_kept = state.is_kept;
    report.spent = account.spent;
    report.unsettled = state.used;
    report.in_flight = state.in_flight;
    for (auto const& [incarnation, held] : account.reserved)
    {
        if (incarnation == self_ || held.tokens == 0)
            continue;
        report.others.push_back(
            {incarnation, held.tokens, held.change == 0,
             leases_ == nullptr || leases_->is_incarnation_alive(incarnation)});
    }
    for (auto const& turn : state.queue)
    {
        report.most_tokens = turn.most_tokens;
        options_.on_blocked(report);
    }
}

void program_ledger::settle(
    program_id const& program, std::uint64_t most_tokens,
    std::uint64_t delivered_tokens)
{
    auto const found = programs_.find(program);
    if (found == programs_.end())
        return;
    auto& state = found->second;
    state.in_flight -= std::min(state.in_flight, most_tokens);
    state.used += delivered_tokens;
    state.last_use = clock_();
    if (!state.change_pending)
        state.attempts = 0;
    settle_kept_turns(program, state);
}

/// Settles what ended turns have spent if the next kept turn would not fit
/// beside it. Nothing is lost if that fails: a later change settles them.
void program_ledger::settle_kept_turns(
    program_id const& program, program_state& state)
{
    auto const next_fits =
        state.used + state.in_flight + state.most_tokens <= state.reserved;
    if (!state.is_kept || state.role != account_role::coordinator ||
        !state.account || state.used == 0 || state.change_pending || next_fits)
        return;
    update_account(program, state);
}

/// \return true if the node should release its reservation for an idle program,
/// or write the program's first account.
bool program_ledger::should_settle(
    program_id const& program, program_state const& state, duration quiet) const
{
    if (state.role == account_role::fallback)
        return true;
    auto const keeps_reservation = state.role == account_role::coordinator &&
                                   options_.is_coordinator &&
                                   options_.is_coordinator(program);
    if (!keeps_reservation)
        return quiet >= options_.idle_release_delay;
    // Without the store, the next turn starts from the reservation.
    if (state.is_kept && state.account)
        return quiet >= options_.idle_release_delay &&
               (!store_.answers || store_.answers(address(program).partition));
    // A program that started without the store has no account yet, and its
    // partition's lease is held until there is one.
    return !state.account && quiet >= options_.new_account_write_delay;
}

void program_ledger::tick()
{
    auto const now = clock_();
    for (auto it = programs_.begin(); it != programs_.end();)
    {
        auto& state = it->second;
        auto const quiet = now - state.last_use;
        auto const idle = state.in_flight == 0 && state.queue.empty() &&
                          !state.change_pending;
        // A change whose outcome is unknown may have reserved tokens, too.
        auto const unsettled =
            state.reserved > 0 || state.used > 0 || !state.unresolved.empty();
        if (idle && unsettled && should_settle(it->first, state, quiet))
        {
            state.releasing = true;
            state.attempts = 0;
            state.last_use = now;
            update_account(it->first, state);
        }
        auto const retention =
            unsettled ? options_.idle_retention : options_.settled_retention;
        if (idle && !state.change_pending && quiet >= retention)
            it = programs_.erase(it);
        else
            ++it;
    }
}

void program_ledger::settle_all()
{
    auto const now = clock_();
    for (auto& [program, state] : programs_)
    {
        if (state.change_pending ||
            (state.reserved <= state.in_flight && state.used == 0) ||
            (state.in_flight == 0 &&
             now - state.last_use >= options_.shutdown_settle_window))
            continue;
        state.releasing = true;
        state.attempts = 0;
        update_account(program, state);
    }
}

} // namespace walnutmill

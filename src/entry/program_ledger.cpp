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

/// What an account that can't be read is taken for: nothing may be handed out
/// on the strength of a guess.
program_account spent_up()
{
    program_account to;
    to.spent = std::numeric_limits<std::uint32_t>::max();
    return to;
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
    // Answers of the store that still come find nobody.
    *alive_ = false;
}

row_address program_ledger::address(program_id const& program) const
{
    return {table_name, partition_of(program.str()), program.str()};
}

void program_ledger::admit(
    program_id const& program, std::uint64_t budget, std::uint64_t most_tokens,
    answer_fn answer, bool needs_store, account_role role)
{
    auto& state = programs_[program];
    state.role = role;
    state.budget = budget;
    state.last_use = clock_();
    state.return_ahead = false;
    state.queue.push_back({most_tokens, std::move(answer), needs_store});
    if (!state.changing)
        state.tries = 0;
    pump(program, state);
}

/// Answers what can be answered, then asks the store for what the rest needs.
void program_ledger::pump(program_id const& program, program_state& state)
{
    serve_queue(state);
    if (!state.queue.empty() && !state.changing)
        change(program, state);
}

bool program_ledger::knows(program_id const& program) const
{
    return programs_.count(program) > 0;
}

bool program_ledger::fits_reservation(
    program_state const& state, std::uint64_t most_tokens) const
{
    auto const claimed = state.used + state.open + most_tokens;
    // A change under way or in doubt may have shrunk the reservation already,
    // and other nodes may count on what it gave back.
    auto const fits_after = [&](sent_change const& one)
    { return claimed <= one.reserved + one.settled; };
    return claimed <= state.reserved &&
           std::all_of(
               state.unresolved.begin(), state.unresolved.end(), fits_after);
}

/// Spent tokens and what this node's turns under way may still spend never
/// shrink below this, so a turn that does not fit now never will.
bool program_ledger::never_fits(
    program_state const& state, std::uint64_t most_tokens) const
{
    auto const spent = state.account ? state.account->spent : 0;
    return spent + state.used + most_tokens > state.budget;
}

void program_ledger::serve_queue(program_state& state)
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
            state.open += most;
        answer(fits ? admission_answer::admitted : admission_answer::exhausted);
    }
}

/// \return what this node should have reserved once its used tokens are
/// settled: turns under way, turns that wait as far as they may start, and up
/// to half of what nobody else has claimed.
std::uint64_t program_ledger::wanted_reservation(
    program_state const& state, program_account const& account) const
{
    auto const taken =
        account.spent + state.used + account.reserved_by_others(self_);
    auto wanted = state.open;
    for (auto const& one : state.queue)
    {
        auto const fits =
            state.abandoned ? taken + wanted < state.budget
                            : taken + wanted + one.most_tokens <= state.budget;
        if (!fits)
            break;
        wanted += one.most_tokens;
    }
    if (state.return_ahead || state.role != account_role::home ||
        taken >= state.budget)
        return wanted;
    auto const ahead = static_cast<std::uint64_t>(
        static_cast<double>(state.budget - taken) * options_.part_ahead);
    return std::max(wanted, ahead);
}

/// \return the account as the store should have it before this node's next
/// change: a new one sets aside what holders of leases may have handed out.
program_account program_ledger::present_account(
    program_id const& program, program_state const& state) const
{
    if (state.account)
        return *state.account;
    program_account to;
    if (leases_ == nullptr)
        return to;
    auto const partition = partition_of(program.str());
    for (auto const& one : leases_->others_who_may_start(partition))
        to.reserved[one] = {start_allowance(state.budget), 0};
    return to;
}

void program_ledger::change(program_id const& program, program_state& state)
{
    auto const account = present_account(program, state);
    auto reservation = wanted_reservation(state, account);
    auto const waits = [&]
    {
        return !state.queue.empty() &&
               reservation < state.open + state.queue.front().most_tokens;
    };
    // The account may be an old one: look again before turning a turn away.
    if (waits() && state.tries > 0)
    {
        state.abandoned = held_by_the_dead(state, account);
        reservation = wanted_reservation(state, account);
        if (waits())
        {
            answer_all(state, admission_answer::contended);
            return;
        }
    }
    auto const first_waits = waits();
    ++state.tries;
    if (first_waits)
        reread(program);
    else
        send(program, state, reservation);
}

/// \return true where the reservations that keep a turn out are nobody's any
/// more: all holders are known to be gone, or the account has not changed for
/// longer than a live node would leave it. A turn that starts beside them can
/// take the program past its budget by less than that turn, once.
bool program_ledger::held_by_the_dead(
    program_state& state, program_account const& account) const
{
    auto const now = clock_();
    if (state.contended_version != state.version ||
        state.contended_since == time_point{})
    {
        state.contended_version = state.version;
        state.contended_since = now;
    }
    if (now - state.contended_since >= options_.abandoned_after)
        return true;
    if (leases_ == nullptr)
        return false;
    auto const& reserved = account.reserved;
    return std::none_of(
        reserved.begin(), reserved.end(),
        [this](auto const& one)
        {
            return one.first != self_ && one.second.tokens > 0 &&
                   leases_->lives(one.first);
        });
}

void program_ledger::send(
    program_id const& program, program_state& state, std::uint64_t reservation)
{
    sent_change sent;
    sent.number = ++last_change_;
    sent.on_version = state.version;
    sent.reserved = reservation;
    sent.settled = state.used;
    auto account = present_account(program, state);
    account.spent += state.used;
    account.written_at = options_.utc();
    account.reserved[self_] = {reservation, sent.number};
    row_transaction one;
    auto const at = address(program);
    one.conditions.push_back({at, state.version});
    if (state.version == 0 && leases_ != nullptr)
    {
        auto const lease = leases_->condition(at.partition);
        one.conditions.push_back(lease);
        sent.lease_version = lease.version;
    }
    one.writes.push_back({at, encode(account)});
    state.unresolved.push_back(sent);
    state.changing = true;
    state.abandoned = false;
    ++changes_under_way_;
    store_.commit(
        std::move(one), options_.patience,
        [this, alive = alive_, program, sent, account,
         asked_at = clock_()](transaction_result const& result)
        {
            if (*alive)
                changed(program, sent, account, asked_at, result);
        });
}

void program_ledger::changed(
    program_id const& program, sent_change const& sent,
    program_account const& account, time_point asked_at,
    transaction_result const& result)
{
    --changes_under_way_;
    auto& state = programs_[program];
    state.changing = false;
    if (result.outcome == store_outcome::done)
    {
        auto const at = address(program);
        if (leases_ != nullptr && sent.on_version == 0)
            leases_->held_at(at.partition, sent.lease_version, asked_at);
        stored_row const row{at, encode(account), result.version};
        observe(program, state, &row);
        state.tries = 0;
        pump(program, state);
        return;
    }
    if (result.outcome == store_outcome::conflict)
    {
        take_in_conflict(program, state, result.rows);
        if (state.tries >= options_.conflict_tries)
        {
            answer_all(state, admission_answer::contended);
            return;
        }
        pump(program, state);
        return;
    }
    store_is_away(program, state);
}

/// A change's conditions did not hold: its rows are told as they are now.
void program_ledger::take_in_conflict(
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
    observe(program, state, account);
}

/// Without the store turns go on from what this node has reserved, or from the
/// allowance of a program that surely has no account yet.
void program_ledger::store_is_away(
    program_id const& program, program_state& state)
{
    auto const may_start = leases_ != nullptr && !state.queue.empty() &&
                           !state.queue.front().needs_store && !state.account &&
                           state.version == 0 && leases_->may_start(program);
    if (may_start)
    {
        leases_->started(program);
        state.reserved =
            std::max(state.reserved, start_allowance(state.budget));
        serve_queue(state);
    }
    answer_all(state, admission_answer::store_unavailable);
}

void program_ledger::reread(program_id const& program)
{
    auto const at = address(program);
    auto& state = programs_[program];
    state.changing = true;
    ++changes_under_way_;
    store_.read(
        {at.table, at.partition, at.key, at.key + '\0'}, options_.patience,
        [this, alive = alive_, program](range_result result)
        {
            if (!*alive)
                return;
            --changes_under_way_;
            auto& found = programs_[program];
            found.changing = false;
            if (result.outcome != store_outcome::done)
            {
                store_is_away(program, found);
                return;
            }
            observe(
                program, found,
                result.rows.empty() ? nullptr : &result.rows.front());
            pump(program, found);
        });
}

/// Takes in the row as the store has it; a null pointer: there is none.
void program_ledger::observe(
    program_id const& program, program_state& state, stored_row const* row)
{
    if (row != nullptr && leases_ != nullptr)
        leases_->account_seen(program);
    auto const version = row != nullptr ? row->version : 0;
    if (row != nullptr)
        state.account = decode_account(row->value).value_or(spent_up());
    else
        state.account.reset();
    state.version = version;
    auto const own = state.account ? state.account->reserved[self_]
                                   : program_account::reservation();
    for (auto const& one : state.unresolved)
    {
        if (row != nullptr && one.number == own.change)
            apply(state, one);
    }
    // A change whose condition can't hold any more will never take effect.
    state.unresolved.erase(
        std::remove_if(
            state.unresolved.begin(), state.unresolved.end(),
            [&](sent_change const& one)
            { return one.on_version != version || one.number == own.change; }),
        state.unresolved.end());
    spend_forgotten(state);
}

/// What the row has reserved for this node although the node knows of nothing
/// was reserved for a program that it has forgotten since: it may be spent.
void program_ledger::spend_forgotten(program_state& state) const
{
    if (!state.account || state.reserved > 0 || !state.unresolved.empty())
        return;
    auto& own = state.account->reserved[self_];
    state.account->spent += own.tokens;
    own.tokens = 0;
}

void program_ledger::apply(program_state& state, sent_change const& sent)
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

void program_ledger::settle(
    program_id const& program, std::uint64_t most_tokens,
    std::uint64_t handed_out)
{
    auto const found = programs_.find(program);
    if (found == programs_.end())
        return;
    auto& state = found->second;
    state.open -= std::min(state.open, most_tokens);
    state.used += handed_out;
    state.last_use = clock_();
}

/// \return true where what the node has reserved for an idle program is
/// better given back.
bool program_ledger::should_settle(
    program_id const& program, program_state const& state, duration quiet) const
{
    if (state.role == account_role::guest)
        return true;
    auto const keeps = state.role == account_role::home && options_.is_home &&
                       options_.is_home(program);
    if (!keeps)
        return quiet >= options_.idle_return;
    // Started without the store, a program has no account yet, and its
    // partition's lease waits for one.
    return !state.account && quiet >= options_.write_new_after;
}

void program_ledger::tick()
{
    auto const now = clock_();
    for (auto it = programs_.begin(); it != programs_.end();)
    {
        auto& state = it->second;
        auto const quiet = now - state.last_use;
        auto const idle =
            state.open == 0 && state.queue.empty() && !state.changing;
        // A change in doubt may have reserved something, too.
        auto const unsettled =
            state.reserved > 0 || state.used > 0 || !state.unresolved.empty();
        if (idle && unsettled && should_settle(it->first, state, quiet))
        {
            state.return_ahead = true;
            state.tries = 0;
            state.last_use = now;
            change(it->first, state);
        }
        auto const kept_for =
            unsettled ? options_.keep_idle : options_.forget_after;
        if (idle && !state.changing && quiet >= kept_for)
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
        if (state.changing ||
            (state.reserved <= state.open && state.used == 0) ||
            (state.open == 0 &&
             now - state.last_use >= options_.settle_at_stop))
            continue;
        state.return_ahead = true;
        state.tries = 0;
        change(program, state);
    }
}

} // namespace walnutmill

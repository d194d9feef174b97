#include <walnutmill/start_lease.hpp>

#include "entry/partitions.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr char const* table_name = "walnutmill-leases";
constexpr char const* row_key = "starts";
constexpr std::uint64_t allowance_part = 2;

} // namespace

std::uint64_t start_allowance(std::uint64_t budget)
{
    return budget / allowance_part;
}

std::string encode(start_lease const& lease)
{
    auto former = json::array();
    for (auto const& one : lease.former)
        former.push_back({one.holder, one.until});
    auto const bytes =
        json::to_cbor(json{{"holder", lease.holder}, {"former", former}});
    return {bytes.begin(), bytes.end()};
}

std::optional<start_lease> decode_lease(std::string_view bytes)
{
    try
    {
        auto const body = json::from_cbor(bytes.begin(), bytes.end());
        start_lease to;
        to.holder = body.at("holder").get<std::string>();
        for (auto const& one : body.at("former"))
        {
            to.former.push_back(
                {one.at(0).get<std::string>(), one.at(1).get<std::int64_t>()});
        }
        return to;
    }
    catch (json::exception const&)
    {
        // Taken for a lease of nobody that lives: it is taken over.
        return std::nullopt;
    }
}

start_leases::start_leases(
    versioned_store store, clock_fn clock, utc_fn utc, std::string self,
    std::string accounts, hooks to, lease_options options)
    : store_(std::move(store)), clock_(std::move(clock)), utc_(std::move(utc)),
      self_(std::move(self)), accounts_table_(std::move(accounts)),
      hooks_(std::move(to)), options_(options)
{
    for (auto const& one : all_partitions())
        partitions_[one];
}

start_leases::~start_leases()
{
    // Answers of the store that still come find nobody.
    *alive_ = false;
}

char const* start_leases::table()
{
    return table_name;
}

row_address start_leases::address(std::string const& partition)
{
    return {table_name, partition, row_key};
}

void start_leases::members_known()
{
    if (!members_known_at_)
        members_known_at_ = clock_();
}

void start_leases::tick()
{
    if (!members_known_at_ ||
        clock_() - *members_known_at_ < options_.members_settle)
        return;
    for (auto& [partition, state] : partitions_)
        step(partition, state);
}

void start_leases::step(std::string const& partition, partition_state& state)
{
    auto const now = clock_();
    if (now >= state.next_cleaning)
        forget_old(state);
    if (state.changing || state.reading || now < state.next_look)
        return;
    // Retries at silent partitions were an eighth of a day's calls to the
    // store while 29 in 100 partitions were away for 7 of 44 seconds.
    if (store_.answers && !store_.answers(partition))
        return;
    if (!hooks_.is_home(partition))
    {
        if (holds(state) && state.started.empty())
            release(partition, state);
        return;
    }
    if (!holds(state) || state.doubt_on ||
        now - state.held_at >= options_.confirm_every)
        look(partition, state);
    else if (!state.accounts_known)
        read_accounts(partition, state, {});
}

void start_leases::release_all()
{
    for (auto& [partition, state] : partitions_)
    {
        if (holds(state) && !state.changing && state.started.empty())
            release(partition, state);
    }
}

bool start_leases::holds(partition_state const& state) const
{
    return state.version && state.lease.holder == self_;
}

/// \return how many former holders' allowances count at that time.
std::size_t
start_leases::former_after(start_lease const& lease, std::int64_t utc) const
{
    return static_cast<std::size_t>(std::count_if(
        lease.former.begin(), lease.former.end(),
        [this, utc](start_lease::former_holder const& one)
        { return one.holder != self_ && one.until > utc; }));
}

bool start_leases::usable(partition_state const& state) const
{
    if (!holds(state) || !state.accounts_known || state.changing ||
        state.doubt_on)
        return false;
    auto const utc = utc_();
    // Both clocks: one does not count while a machine is suspended, the other
    // may be set back.
    return clock_() - state.held_at < options_.valid_for &&
           utc - state.held_at_utc < options_.valid_for.count() &&
           former_after(state.lease, utc - options_.clock_margin.count()) <=
               options_.most_former;
}

std::size_t start_leases::usable() const
{
    return static_cast<std::size_t>(std::count_if(
        partitions_.begin(), partitions_.end(),
        [this](auto const& one) { return usable(one.second); }));
}

version_condition start_leases::condition(std::string const& partition) const
{
    return {address(partition), partitions_.at(partition).version.value_or(0)};
}

std::vector<std::string>
start_leases::others_who_may_start(std::string const& partition) const
{
    auto const& lease = partitions_.at(partition).lease;
    auto const utc = utc_();
    std::vector<std::string> to;
    for (auto const& one : lease.former)
    {
        if (one.holder != self_ && one.until > utc)
            to.push_back(one.holder);
    }
    if (!lease.holder.empty() && lease.holder != self_ &&
        to.size() <= options_.most_former)
        to.push_back(lease.holder);
    return to;
}

void start_leases::observe(std::string const& partition, stored_row const* row)
{
    auto& state = partitions_.at(partition);
    auto const version = row != nullptr ? row->version : 0;
    // An older answer may come after a newer one.
    if (state.version && version <= *state.version)
        return;
    auto const held = holds(state);
    state.version = version;
    state.lease = row != nullptr
                      ? decode_lease(row->value).value_or(start_lease())
                      : start_lease();
    state.accounts_known = false;
    if (state.doubt_on && *state.doubt_on != version)
        state.doubt_on.reset();
    // A release that took effect is told of as such.
    if (held && !holds(state) && !state.changing)
        tell("lost", partition, {});
}

void start_leases::look(std::string const& partition, partition_state& state)
{
    auto const at = address(partition);
    auto const asked_at = clock_();
    state.reading = true;
    store_.read(
        {at.table, at.partition, at.key, at.key + '\0'}, options_.patience,
        [this, alive = alive_, partition, asked_at](range_result const& result)
        {
            if (!*alive)
                return;
            auto& now = partitions_.at(partition);
            now.reading = false;
            if (result.outcome != store_outcome::done)
            {
                now.next_look = clock_() + options_.look_every;
                return;
            }
            observe(partition, result.rows.empty() ? nullptr : &result.rows[0]);
            auto const& holder = now.lease.holder;
            if (holds(now) && !now.doubt_on)
                note_held(now, asked_at);
            else if (holder.empty() || holds(now) || !hooks_.is_alive(holder))
                take(partition, now);
            else
                now.next_look = clock_() + options_.look_every;
        });
}

void start_leases::take(std::string const& partition, partition_state& state)
{
    auto const utc = utc_();
    start_lease lease;
    lease.holder = self_;
    for (auto const& one : state.lease.former)
    {
        if (one.until > utc)
            lease.former.push_back(one);
    }
    auto const& before = state.lease.holder;
    if (!before.empty() && before != self_ &&
        former_after(state.lease, utc) <= options_.most_former)
        lease.former.push_back({before, utc + options_.former_for.count()});
    change(partition, state, std::move(lease), "taken");
}

void start_leases::release(std::string const& partition, partition_state& state)
{
    auto lease = state.lease;
    lease.holder.clear();
    change(partition, state, std::move(lease), "released");
}

void start_leases::change(
    std::string const& partition, partition_state& state, start_lease lease,
    std::string_view event)
{
    auto const at = address(partition);
    auto const on = state.version.value_or(0);
    auto const asked_at = clock_();
    row_transaction one;
    one.conditions.push_back({at, on});
    one.writes.push_back({at, encode(lease)});
    state.changing = true;
    store_.commit(
        std::move(one), options_.patience,
        [this, alive = alive_, partition, at, on, asked_at, event,
         lease = std::move(lease)](transaction_result const& result)
        {
            if (!*alive)
                return;
            auto& now = partitions_.at(partition);
            if (result.outcome == store_outcome::done)
            {
                stored_row const row{at, encode(lease), result.version};
                observe(partition, &row);
                now.changing = false;
                if (holds(now))
                    note_held(now, asked_at);
                tell(event, partition, {});
                return;
            }
            now.changing = false;
            if (result.outcome == store_outcome::conflict)
                observe(
                    partition, result.rows.empty() ? nullptr : &result.rows[0]);
            // It may take effect later while its condition holds: the lease
            // counts again once its version is another one.
            if (now.version.value_or(0) == on)
                now.doubt_on = on;
            now.next_look = clock_() + options_.look_every;
        });
}

void start_leases::read_accounts(
    std::string const& partition, partition_state& state,
    std::string const& from)
{
    auto const version = *state.version;
    state.reading = true;
    store_.read(
        {accounts_table_, partition, from, {}}, options_.patience,
        [this, alive = alive_, partition, version](range_result const& result)
        {
            if (!*alive)
                return;
            auto& now = partitions_.at(partition);
            now.reading = false;
            if (result.outcome != store_outcome::done)
            {
                now.next_look = clock_() + options_.look_every;
                return;
            }
            for (auto const& row : result.rows)
                now.accounts[program_id(row.at.key)] = clock_();
            // Under another version accounts may have come since.
            if (now.version != version)
                return;
            if (result.truncated && !result.rows.empty())
                read_accounts(partition, now, result.rows.back().at.key + '\0');
            else
                now.accounts_known = true;
        });
}

void start_leases::note_held(partition_state& state, time_point asked_at)
{
    state.held_at = std::max(state.held_at, asked_at);
    auto const age = std::chrono::duration_cast<std::chrono::seconds>(
        clock_() - state.held_at);
    state.held_at_utc = utc_() - age.count();
}

void start_leases::forget_old(partition_state& state)
{
    auto const now = clock_();
    state.next_cleaning = now + options_.clean_every;
    for (auto it = state.accounts.begin(); it != state.accounts.end();)
    {
        if (now - it->second > options_.remember_accounts)
            it = state.accounts.erase(it);
        else
            ++it;
    }
}

bool start_leases::lives(std::string const& incarnation) const
{
    return incarnation == self_ || hooks_.is_alive(incarnation);
}

bool start_leases::may_start(program_id const& program) const
{
    auto const& state = partitions_.at(partition_of(program.str()));
    return usable(state) && state.accounts.count(program) == 0;
}

void start_leases::started(program_id const& program)
{
    auto const partition = partition_of(program.str());
    if (partitions_.at(partition).started.insert(program).second)
        tell("started_program", partition, program.str());
}

void start_leases::account_seen(program_id const& program)
{
    auto& state = partitions_.at(partition_of(program.str()));
    // Accounts from before a lease are read once it is held.
    if (holds(state))
        state.accounts[program] = clock_();
    state.started.erase(program);
}

void start_leases::held_at(
    std::string const& partition, std::uint64_t version, time_point asked_at)
{
    auto& state = partitions_.at(partition);
    if (holds(state) && *state.version == version && !state.doubt_on)
        note_held(state, asked_at);
}

void start_leases::tell(
    std::string_view what, std::string const& partition, std::string program)
{
    if (!hooks_.on_event)
        return;
    auto const& state = partitions_.at(partition);
    lease_event one;
    one.what = what;
    one.partition = partition;
    one.program = std::move(program);
    one.version = state.version.value_or(0);
    one.former = former_after(state.lease, utc_());
    one.age = clock_() - state.held_at;
    hooks_.on_event(one);
}

} // namespace walnutmill

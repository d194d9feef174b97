#include <walnutmill/start_lease.hpp>

#include "cbor.hpp"
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
constexpr std::uint64_t escrow_divisor = 2;

} // namespace

std::uint64_t start_escrow(std::uint64_t budget)
{
    return budget / escrow_divisor;
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
        auto const body = decode_cbor(bytes);
        start_lease lease;
        lease.holder = body.at("holder").get<std::string>();
        for (auto const& one : body.at("former"))
        {
            lease.former.push_back(
                {one.at(0).get<std::string>(), one.at(1).get<std::int64_t>()});
        }
        return lease;
    }
    catch (std::exception const&)
    {
        // Treated as a lease without a holder, so that it can be acquired.
        return std::nullopt;
    }
}

start_leases::start_leases(
    versioned_store store, clock_fn clock, utc_fn utc, std::string self,
    std::string accounts, hooks callbacks, lease_options options)
    : store_(std::move(store)), clock_(std::move(clock)), utc_(std::move(utc)),
      self_(std::move(self)), accounts_table_(std::move(accounts)),
      hooks_(std::move(callbacks)), options_(options)
{
    for (auto const& one : all_partitions())
        partitions_[one];
}

start_leases::~start_leases()
{
    // Store callbacks that run after destruction return at once.
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

void start_leases::membership_known()
{
    if (!membership_known_at_)
        membership_known_at_ = clock_();
}

void start_leases::tick()
{
    if (!membership_known_at_ ||
        clock_() - *membership_known_at_ < options_.membership_settle_time)
        return;
    for (auto& [partition, state] : partitions_)
        update(partition, state);
}

void start_leases::update(std::string const& partition, partition_state& state)
{
    auto const now = clock_();
    if (now >= state.next_cleanup)
        remove_expired_accounts(state);
    if (state.write_pending || state.read_pending || now < state.next_check)
        return;
    // Skips partitions that do not answer. Retries at them amount to an eighth
    // of a day's store calls when 29 % of the partitions are unavailable for 7
    // of 44 seconds.
    if (store_.answers && !store_.answers(partition))
        return;
    if (!hooks_.is_coordinator(partition))
    {
        if (holds(state) && state.started_programs.empty())
            release(partition, state);
        return;
    }
    if (!holds(state) || state.unknown_outcome_version ||
        now - state.confirmed_at >= options_.confirm_interval)
        check_lease(partition, state);
    else if (!state.accounts_known)
        read_accounts(partition, state, {});
}

void start_leases::release_all()
{
    for (auto& [partition, state] : partitions_)
    {
        if (holds(state) && !state.write_pending &&
            state.started_programs.empty())
            release(partition, state);
    }
}

bool start_leases::holds(partition_state const& state) const
{
    return state.version && state.lease.holder == self_;
}

/// \return how many former holders have escrow that is reserved at that time.
std::size_t start_leases::active_former_holders(
    start_lease const& lease, std::int64_t utc) const
{
    return static_cast<std::size_t>(std::count_if(
        lease.former.begin(), lease.former.end(),
        [this, utc](start_lease::former_holder const& one)
        { return one.holder != self_ && one.until > utc; }));
}

bool start_leases::usable(partition_state const& state) const
{
    if (!holds(state) || !state.accounts_known || state.write_pending ||
        state.unknown_outcome_version)
        return false;
    auto const utc = utc_();
    // Checks both clocks: the monotonic clock stops while a machine is
    // suspended, and the UTC clock may be set back.
    return clock_() - state.confirmed_at < options_.valid_for &&
           utc - state.confirmed_at_utc < options_.valid_for.count() &&
           active_former_holders(
               state.lease, utc - options_.max_clock_skew.count()) <=
               options_.max_former_holders;
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
start_leases::other_escrow_holders(std::string const& partition) const
{
    auto const& lease = partitions_.at(partition).lease;
    auto const utc = utc_();
    std::vector<std::string> holders;
    for (auto const& one : lease.former)
    {
        if (one.holder != self_ && one.until > utc)
            holders.push_back(one.holder);
    }
    if (!lease.holder.empty() && lease.holder != self_ &&
        holders.size() <= options_.max_former_holders)
        holders.push_back(lease.holder);
    return holders;
}

void start_leases::observe(std::string const& partition, stored_row const* row)
{
    auto& state = partitions_.at(partition);
    auto const version = row != nullptr ? row->version : 0;
    // Store answers may arrive out of order.
    if (state.version && version <= *state.version)
        return;
    auto const was_held = holds(state);
    state.version = version;
    state.lease = row != nullptr
                      ? decode_lease(row->value).value_or(start_lease())
                      : start_lease();
    state.accounts_known = false;
    if (state.unknown_outcome_version &&
        *state.unknown_outcome_version != version)
        state.unknown_outcome_version.reset();
    // A release by this node is reported as released, not as lost.
    if (was_held && !holds(state) && !state.write_pending)
        emit_event("lost", partition, {});
}

void start_leases::check_lease(
    std::string const& partition, partition_state& state)
{
    auto const at = address(partition);
    auto const requested_at = clock_();
    state.read_pending = true;
    store_.read(
        {at.table, at.partition, at.key, at.key + '\0'}, options_.store_timeout,
        [this, alive = alive_, partition,
         requested_at](range_result const& result)
        {
            if (!*alive)
                return;
            auto& current = partitions_.at(partition);
            current.read_pending = false;
            if (result.outcome != store_outcome::done)
            {
                current.next_check = clock_() + options_.check_interval;
                return;
            }
            observe(partition, result.rows.empty() ? nullptr : &result.rows[0]);
            auto const& holder = current.lease.holder;
            if (holds(current) && !current.unknown_outcome_version)
                confirm(current, requested_at);
            else if (
                holder.empty() || holds(current) || !hooks_.is_alive(holder))
                acquire(partition, current);
            else
                current.next_check = clock_() + options_.check_interval;
        });
}

void start_leases::acquire(std::string const& partition, partition_state& state)
{
    auto const utc = utc_();
    start_lease lease;
    lease.holder = self_;
    for (auto const& one : state.lease.former)
    {
        if (one.until > utc)
            lease.former.push_back(one);
    }
    auto const& previous = state.lease.holder;
    if (!previous.empty() && previous != self_ &&
        active_former_holders(state.lease, utc) <= options_.max_former_holders)
        lease.former.push_back(
            {previous, utc + options_.former_holder_ttl.count()});
    write_lease(partition, state, std::move(lease), "taken");
}

void start_leases::release(std::string const& partition, partition_state& state)
{
    auto lease = state.lease;
    lease.holder.clear();
    write_lease(partition, state, std::move(lease), "released");
}

void start_leases::write_lease(
    std::string const& partition, partition_state& state, start_lease lease,
    std::string_view event)
{
    auto const at = address(partition);
    auto const base_version = state.version.value_or(0);
    auto const requested_at = clock_();
    row_transaction one;
    one.conditions.push_back({at, base_version});
    one.writes.push_back({at, encode(lease)});
    state.write_pending = true;
    store_.commit(
        std::move(one), options_.store_timeout,
        [this, alive = alive_, partition, at, base_version, requested_at, event,
         lease = std::move(lease)](transaction_result const& result)
        {
            if (!*alive)
                return;
            auto& current = partitions_.at(partition);
            if (result.outcome == store_outcome::done)
            {
                stored_row const row{at, encode(lease), result.version};
                observe(partition, &row);
                current.write_pending = false;
                if (holds(current))
                    confirm(current, requested_at);
                emit_event(event, partition, {});
                return;
            }
            current.write_pending = false;
            if (result.outcome == store_outcome::conflict)
                observe(
                    partition, result.rows.empty() ? nullptr : &result.rows[0]);
            // The write may still take effect while its condition holds. The
            // lease is not used until its version has changed.
            if (current.version.value_or(0) == base_version)
                current.unknown_outcome_version = base_version;
            current.next_check = clock_() + options_.check_interval;
        });
}

void start_leases::read_accounts(
    std::string const& partition, partition_state& state,
    std::string const& from)
{
    auto const version = *state.version;
    state.read_pending = true;
    store_.read(
        {accounts_table_, partition, from, {}}, options_.store_timeout,
        [this, alive = alive_, partition, version](range_result const& result)
        {
            if (!*alive)
                return;
            auto& current = partitions_.at(partition);
            current.read_pending = false;
            if (result.outcome != store_outcome::done)
            {
                current.next_check = clock_() + options_.check_interval;
                return;
            }
            for (auto const& row : result.rows)
                current.accounts[program_id(row.at.key)] = clock_();
            // If the version changed, accounts may have been added since.
            if (current.version != version)
                return;
            if (result.truncated && !result.rows.empty())
                read_accounts(
                    partition, current, result.rows.back().at.key + '\0');
            else
                current.accounts_known = true;
        });
}

void start_leases::confirm(partition_state& state, time_point requested_at)
{
    state.confirmed_at = std::max(state.confirmed_at, requested_at);
    auto const age = std::chrono::duration_cast<std::chrono::seconds>(
        clock_() - state.confirmed_at);
    state.confirmed_at_utc = utc_() - age.count();
}

void start_leases::remove_expired_accounts(partition_state& state)
{
    auto const now = clock_();
    state.next_cleanup = now + options_.cleanup_interval;
    for (auto it = state.accounts.begin(); it != state.accounts.end();)
    {
        if (now - it->second > options_.known_account_retention)
            it = state.accounts.erase(it);
        else
            ++it;
    }
}

bool start_leases::is_incarnation_alive(std::string const& incarnation) const
{
    return incarnation == self_ || hooks_.is_alive(incarnation);
}

bool start_leases::may_start(program_id const& program) const
{
    auto const& state = partitions_.at(partition_of(program.str()));
    return usable(state) && state.accounts.count(program) == 0;
}

void start_leases::record_started(program_id const& program)
{
    auto const partition = partition_of(program.str());
    if (partitions_.at(partition).started_programs.insert(program).second)
        emit_event("started_program", partition, program.str());
}

bool start_leases::has_started(program_id const& program) const
{
    auto const& state = partitions_.at(partition_of(program.str()));
    return state.started_programs.count(program) > 0;
}

void start_leases::record_account(program_id const& program)
{
    auto& state = partitions_.at(partition_of(program.str()));
    // Accounts that predate the lease are read once it is held.
    if (holds(state))
        state.accounts[program] = clock_();
    state.started_programs.erase(program);
}

void start_leases::confirm_held(
    std::string const& partition, std::uint64_t version,
    time_point requested_at)
{
    auto& state = partitions_.at(partition);
    if (holds(state) && *state.version == version &&
        !state.unknown_outcome_version)
        confirm(state, requested_at);
}

void start_leases::emit_event(
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
    one.former = active_former_holders(state.lease, utc_());
    one.age = clock_() - state.confirmed_at;
    hooks_.on_event(one);
}

} // namespace walnutmill

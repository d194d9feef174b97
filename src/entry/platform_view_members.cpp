/// \file
/// The members as a view reads them, and the row by which its own node is one
/// of them.

#include "entry/platform_view.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

constexpr char const* members_table = "walnutmill-nodes";
/// Separate from the partition that engines and the operator write: 295
/// members and 167 engines renew more rows per second than one partition
/// accepts.
constexpr char const* members_partition = "members";
/// Writes of all members at once are spread over this time per member.
constexpr double write_spread_per_member_ms = 6;
constexpr milliseconds row_renewal_interval{3'000};
/// Intervals between reads of the members during the startup period. Nodes that
/// lost power together rewrite their rows within a second. Until the new rows
/// are read, budgets reserved by their former incarnations keep programs
/// waiting.
constexpr milliseconds startup_read_interval{1'000};
constexpr milliseconds startup_reader_read_interval{300};
/// Timeout of the write of a node's row, and the delay before a failed one is
/// retried. A partition processes 200 transactions per second, serially.
constexpr milliseconds write_timeout{2'000};
constexpr milliseconds write_retry_delay{1'500};

} // namespace

void platform_view::read_members()
{
    auto const interval = !is_starting_up()    ? row_renewal_interval
                          : reads_for_others() ? startup_reader_read_interval
                                               : startup_read_interval;
    if (is_following())
    {
        schedule(interval, members_timer_, &platform_view::read_members);
        return;
    }
    read_table(
        members_table, members_partition,
        [this, interval](std::optional<table_rows> const& read)
        {
            if (read)
                members_read(*read);
            schedule(interval, members_timer_, &platform_view::read_members);
            schedule_first_self_write();
        });
}

void platform_view::members_read(table_rows const& read)
{
    auto const now = clock_();
    apply_section(
        cluster_table::members,
        make_section(
            read.as_of, now, encode(members_.live_members(read.rows, now))));
}

/// Schedules the first write of this node's row.
void platform_view::schedule_first_self_write()
{
    if (first_write_scheduled_)
        return;
    first_write_scheduled_ = true;
    schedule_self_write();
}

/// Schedules the write of this node's row after a random delay that grows with
/// the number of members. A partition processes transactions serially, and all
/// nodes may have started, or reconnected to the store, at the same time.
void platform_view::schedule_self_write()
{
    auto const members = static_cast<double>(member_names_.size());
    auto const wait = milliseconds(static_cast<std::int64_t>(
        random_() * members * write_spread_per_member_ms));
    if (wait.count() == 0)
    {
        write_self();
        return;
    }
    run_after(wait, self_timer_, &platform_view::write_self);
}

bool platform_view::apply_members()
{
    auto members = decode_member_list(section(cluster_table::members).bytes);
    if (!members)
        return false;
    members->erase(
        std::remove_if(
            members->begin(), members->end(),
            [this](entry_member const& one) { return one.node == self_.node; }),
        members->end());
    std::vector<coordinator_candidate> neighbors;
    for (auto const& one : *members)
    {
        if (one.domain == self_.domain)
            neighbors.push_back({one.node, one.address, one.strength});
    }
    reader_.set_nodes(std::move(neighbors));
    log_members(*members);
    hooks_.on_members(*members);
    return true;
}

void platform_view::log_members(std::vector<entry_member> const& members)
{
    std::set<std::string> names;
    for (auto const& one : members)
        names.insert(one.node);
    std::vector<std::string> joined;
    std::vector<std::string> left;
    std::set_difference(
        names.begin(), names.end(), member_names_.begin(), member_names_.end(),
        std::back_inserter(joined));
    std::set_difference(
        member_names_.begin(), member_names_.end(), names.begin(), names.end(),
        std::back_inserter(left));
    if (!joined.empty() || !left.empty())
    {
        log_.write(
            log_priority::important, "members.changed",
            {{"joined", joined}, {"left", left}, {"nodes", names.size()}});
    }
    member_names_ = std::move(names);
}

void platform_view::write_self()
{
    if (leaving_)
        return;
    row_transaction transaction;
    transaction.writes.push_back(
        {{members_table, members_partition, self_.node}, encode(self_)});
    store_.commit(
        std::move(transaction), write_timeout,
        [this](transaction_result const& result)
        {
            if (leaving_)
                return;
            auto const failed = result.outcome != store_outcome::done;
            schedule(
                failed ? write_retry_delay : row_renewal_interval, self_timer_,
                &platform_view::write_self);
        });
}

void platform_view::leave(std::function<void()> done)
{
    leaving_ = true;
    row_transaction transaction;
    transaction.removals.push_back(
        {members_table, members_partition, self_.node});
    store_.commit(
        std::move(transaction), read_timeout,
        [done = std::move(done)](transaction_result const&) { done(); });
}

} // namespace walnutmill

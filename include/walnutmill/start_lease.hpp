#ifndef WALNUTMILL_START_LEASE_HPP
#define WALNUTMILL_START_LEASE_HPP

/// \file
/// Leases that let a node start programs while the store is unavailable.
///
/// Load: the store does not answer for 4 to 9 seconds while 30 to 140 programs
/// a second want to start. Without leases all of them are rejected during that
/// time, since no node can tell whether a program unknown to it has spent its
/// budget elsewhere. The worst seconds of days with such outages then serve
/// only 1 to 6 % of the demand.
///
/// The lease of a partition is a row stored beside the accounts of the
/// partition. It is held by the coordinator of the partition. A node that
/// writes the first account of a program makes the write conditional on the
/// version of the lease that it knows. It also reserves in the account, as
/// escrow, what the holder may have granted without the store. The holder reads
/// all accounts of the partition after it acquires the lease. It therefore
/// knows that a program it has not seen has no account, and may let the program
/// spend the escrow before its account is written.
///
/// Safety rests on the row conditions. It depends on clocks in one respect
/// only: a holder stops starting programs \c valid_for after its lease was last
/// confirmed, and other nodes reserve its escrow for \c former_holder_ttl.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/versioned_store.hpp>
#include <walnutmill/wall_clock.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace walnutmill
{

/// \param budget in tokens
/// \return the escrow: the tokens that a program may spend before its account
/// is written. This is half of the budget. 72 % of the programs never need more
/// for their completed and running turns (38 % with a third), and a program
/// whose coordinator failed has the other half left. The ledger grants a
/// program whose turns are kept a smaller part.
std::uint64_t start_escrow(std::uint64_t budget);

/// The durable lease on one partition.
struct start_lease
{
    /// An earlier holder that may have started programs under the lease.
    struct former_holder
    {
        std::string holder;
        /// Time in UTC seconds up to which its escrow is reserved.
        std::int64_t until = 0;
    };

    /// Incarnation of the node that holds the lease; empty if there is none.
    std::string holder;
    std::vector<former_holder> former;
};

std::string encode(start_lease const& lease);
/// \return empty if the bytes are not an encoded lease.
std::optional<start_lease> decode_lease(std::string_view bytes);

struct lease_options
{
    /// How long a lease is valid after it was last confirmed: longer than any
    /// store outage seen (9 s), short compared with \c former_holder_ttl.
    std::chrono::seconds valid_for{30};
    /// How long the escrow of a former holder is reserved: \c valid_for, plus
    /// the longest time that a stopped program may be absent before it
    /// continues (60 s on the sites' routes), plus 30 s of clock skew between
    /// nodes.
    std::chrono::seconds former_holder_ttl{120};
    /// Assumed limit of the difference between the UTC clocks of two nodes.
    std::chrono::seconds max_clock_skew{30};
    /// With more former holders than this the holder starts no programs, so
    /// that an account reserves at most one escrow.
    std::size_t max_former_holders = 0;
    /// How often a held lease is read again if no account was written under
    /// it: a sixth of \c valid_for.
    duration confirm_interval = std::chrono::seconds(5);
    /// Delay between the first read of the member list and the first attempt
    /// to acquire leases. By then nodes that started together have written
    /// their member rows (3 s) and read each other's. A node that does not know
    /// the others is the coordinator of all partitions.
    duration membership_settle_time = std::chrono::seconds(4);
    /// Time between two checks of a lease that this node should hold.
    duration check_interval = std::chrono::seconds(1);
    /// Timeout of a read or commit at the store.
    std::chrono::milliseconds store_timeout{2'000};
    /// How long an id is remembered after its account was last seen. It exceeds
    /// the 11 minutes or so after which an unchanged account is removed.
    std::chrono::seconds known_account_retention{900};
    /// How often expired ids are removed: a fifteenth of
    /// \c known_account_retention.
    duration cleanup_interval = std::chrono::seconds(60);
};

/// A state change of a lease, for the log and the metrics.
struct lease_event
{
    /// One of taken, released, lost and started_program.
    std::string_view what;
    std::string partition;
    /// Set for started_program only.
    std::string program;
    /// Version of the lease row.
    std::uint64_t version = 0;
    /// Number of former holders whose escrow is still reserved.
    std::size_t former = 0;
    /// Time since the lease was last confirmed.
    duration age{0};
};

/// The leases of one node on the partitions that it coordinates.
class start_leases
{
public:
    struct hooks
    {
        /// \return true if this node is the coordinator of the partition.
        std::function<bool(std::string const& partition)> is_coordinator;
        /// \return true if that incarnation of a node is alive.
        std::function<bool(std::string const& incarnation)> is_alive;
        std::function<void(lease_event const&)> on_event;
    };

    /// \param self this incarnation of this node
    /// \param accounts name of the table of program accounts
    start_leases(
        versioned_store store, clock_fn clock, utc_fn utc, std::string self,
        std::string accounts, hooks callbacks, lease_options options = {});
    ~start_leases();
    start_leases(start_leases const&) = delete;
    start_leases& operator=(start_leases const&) = delete;

    /// \return the name of the store's lease table.
    static char const* table();
    static row_address address(std::string const& partition);

    /// Reports that the member list was read. Leases are acquired
    /// \c membership_settle_time after the first call.
    void membership_known();
    /// Acquires, confirms and releases leases; to be called a few times a
    /// second.
    void tick();
    /// Releases the leases before the node stops, except those with started
    /// programs that have no account yet.
    void release_all();

    /// \return the condition for writing the first version of an account.
    version_condition condition(std::string const& partition) const;
    /// \return the other incarnations whose escrow the first version of an
    /// account has to reserve.
    std::vector<std::string>
    other_escrow_holders(std::string const& partition) const;
    /// Updates the lease of the partition from a row that the store returned.
    /// \param row null if there is no lease
    void observe(std::string const& partition, stored_row const* row);

    /// \return false if that incarnation of a node is not known to be alive.
    bool is_incarnation_alive(std::string const& incarnation) const;

    /// \return true if the program is known to have no account and this node
    /// may let it spend its escrow without one.
    bool may_start(program_id const& program) const;
    /// Records that the program was started without an account.
    void record_started(program_id const& program);
    /// \return true if this node has started the program without an account
    /// and has not seen its account since.
    bool has_started(program_id const& program) const;
    /// Records that the program has an account.
    void record_account(program_id const& program);
    /// Confirms the lease: this node wrote an account under that version.
    /// \param requested_at when the write was sent
    void confirm_held(
        std::string const& partition, std::uint64_t version,
        time_point requested_at);

    /// \return the number of leases under which this node may start programs.
    std::size_t usable() const;

private:
    struct partition_state
    {
        /// Version of the row as last seen; empty before the first read.
        std::optional<std::uint64_t> version;
        start_lease lease;
        /// All accounts that existed when the lease was acquired are known.
        bool accounts_known = false;
        /// A write of the lease is in progress.
        bool write_pending = false;
        bool read_pending = false;
        /// Version on which a write with an unknown outcome is conditional.
        std::optional<std::uint64_t> unknown_outcome_version;
        time_point confirmed_at{};
        std::int64_t confirmed_at_utc = 0;
        time_point next_check{};
        time_point next_cleanup{};
        /// Programs with an account, and when the account was last seen.
        std::unordered_map<program_id, time_point> accounts;
        /// Programs started without an account whose account has not been
        /// written since.
        std::unordered_set<program_id> started_programs;
    };

    using partition_map = std::map<std::string, partition_state>;

    bool holds(partition_state const& state) const;
    bool usable(partition_state const& state) const;
    std::size_t
    active_former_holders(start_lease const& lease, std::int64_t utc) const;
    void update(std::string const& partition, partition_state& state);
    void check_lease(std::string const& partition, partition_state& state);
    void acquire(std::string const& partition, partition_state& state);
    void release(std::string const& partition, partition_state& state);
    void write_lease(
        std::string const& partition, partition_state& state, start_lease lease,
        std::string_view event);
    void read_accounts(
        std::string const& partition, partition_state& state,
        std::string const& from);
    void confirm(partition_state& state, time_point requested_at);
    void remove_expired_accounts(partition_state& state);
    void emit_event(
        std::string_view what, std::string const& partition,
        std::string program);

    versioned_store store_;
    clock_fn clock_;
    utc_fn utc_;
    std::string self_;
    std::string accounts_table_;
    hooks hooks_;
    lease_options options_;
    partition_map partitions_;
    /// When the member list was first read.
    std::optional<time_point> membership_known_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

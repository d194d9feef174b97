#ifndef WALNUTMILL_START_LEASE_HPP
#define WALNUTMILL_START_LEASE_HPP

/// \file
/// Leases by which a node may start programs while the store is away.
///
/// Load pattern: the store is silent for 4 to 9 seconds while 30 to 140
/// programs a second want to start. Without leases all of them are refused
/// for that long, since nobody can tell whether a program that a node does
/// not know has spent its budget elsewhere: the worst seconds of such days
/// served 1 to 6 in 100 of what was owed.
///
/// A partition's lease is a row beside the accounts of the partition, held by
/// the node that is home to it. Whoever writes a program's first account does
/// so on condition that the lease is as he knows it, and sets aside in it the
/// allowance that the holder may have handed out without the store. The
/// holder, having read all accounts of the partition after it took the lease,
/// knows that a program it has not seen has none, and may let it spend the
/// allowance before its account is written.
///
/// Safety rests on the conditions of the rows, and on clocks only as far as
/// a holder stops starting programs \c valid_for after its lease was last
/// confirmed while others set its allowance aside for \c former_for.

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

/// \return what a program may spend before its account is written. Half: 72 in
/// 100 programs never need more for turns that ended and those under way (38
/// in 100 with a third), and a program whose home was lost has half left.
std::uint64_t start_allowance(std::uint64_t budget);

/// The durable lease on one partition.
struct start_lease
{
    /// One that held it before and may have started programs then.
    struct former_holder
    {
        std::string holder;
        /// In UTC seconds; until then its allowance is set aside.
        std::int64_t until = 0;
    };

    /// An incarnation of a node; empty: nobody.
    std::string holder;
    std::vector<former_holder> former;
};

std::string encode(start_lease const& lease);
/// \return empty where the bytes are no lease.
std::optional<start_lease> decode_lease(std::string_view bytes);

struct lease_options
{
    /// A lease counts for this long after it was last known to be held: longer
    /// than any outage seen (9 s), short against \c former_for.
    std::chrono::seconds valid_for{30};
    /// \c valid_for, the longest that a stopped program may stay away (60 s on
    /// the sites' routes), and half a minute between nodes' clocks.
    std::chrono::seconds former_for{120};
    /// How far nodes' times of day may lie apart.
    std::chrono::seconds clock_margin{30};
    /// With more former holders than this the holder starts nothing, so that
    /// one allowance at most is set aside in an account.
    std::size_t most_former = 0;
    /// How often a held lease is read again if no account was written under
    /// it: a sixth of \c valid_for.
    duration confirm_every = std::chrono::seconds(5);
    /// Leases are taken this long after the members were first read: by then
    /// nodes that started together have written their rows (3 s) and read each
    /// other's. Until a node knows the others it is home to all partitions.
    duration members_settle = std::chrono::seconds(4);
    /// Between two looks at a lease that this node should hold.
    duration look_every = std::chrono::seconds(1);
    std::chrono::milliseconds patience{2'000};
    /// Accounts are removed some 11 minutes after their last change; an id is
    /// remembered longer than its account.
    std::chrono::seconds remember_accounts{900};
    /// How often ids that are too old are dropped: a fifteenth of that.
    duration clean_every = std::chrono::seconds(60);
};

/// One thing that happened to a lease, for the log.
struct lease_event
{
    /// taken, released, lost, started_program
    std::string_view what;
    std::string partition;
    /// Empty but for started_program.
    std::string program;
    std::uint64_t version = 0;
    std::size_t former = 0;
    /// Since the lease was last known to be held.
    duration age{0};
};

class start_leases
{
public:
    struct hooks
    {
        /// \return true where this node is the partition's home.
        std::function<bool(std::string const& partition)> is_home;
        /// \return true where that incarnation of a node lives.
        std::function<bool(std::string const& incarnation)> is_alive;
        std::function<void(lease_event const&)> on_event;
    };

    /// \param self this incarnation of this node
    /// \param accounts table of the programs' accounts
    start_leases(
        versioned_store store, clock_fn clock, utc_fn utc, std::string self,
        std::string accounts, hooks to, lease_options options = {});
    ~start_leases();
    start_leases(start_leases const&) = delete;
    start_leases& operator=(start_leases const&) = delete;

    /// \return the store's table of leases.
    static char const* table();
    static row_address address(std::string const& partition);

    /// The members were read, so that this node soon knows whose home it is.
    void members_known();
    /// Takes, confirms and releases leases; call it a few times a second.
    void tick();
    /// Releases all, as the node is about to stop.
    void release_all();

    /// \return what an account's first version is written on condition of.
    version_condition condition(std::string const& partition) const;
    /// \return the others whose allowance has to be set aside in it.
    std::vector<std::string>
    others_who_may_start(std::string const& partition) const;
    /// The partition's lease, as a conflict showed it; null: there is none.
    void observe(std::string const& partition, stored_row const* row);

    /// \return false where that incarnation of a node is not known to live.
    bool lives(std::string const& incarnation) const;

    /// \return true where the program surely has no account, and this node
    /// may let it spend its allowance without one.
    bool may_start(program_id const& program) const;
    void started(program_id const& program);
    /// The program has an account.
    void account_seen(program_id const& program);
    /// This node wrote an account under that version of the lease.
    /// \param asked_at when the write was sent
    void held_at(
        std::string const& partition, std::uint64_t version,
        time_point asked_at);

    /// \return leases under which this node may start programs now.
    std::size_t usable() const;

private:
    struct partition_state
    {
        /// The row as last seen; no version: not read yet.
        std::optional<std::uint64_t> version;
        start_lease lease;
        /// All accounts that were there when the lease was taken are known.
        bool accounts_known = false;
        /// A change of the lease is under way.
        bool changing = false;
        bool reading = false;
        /// Version on which a change was made whose fate is unknown.
        std::optional<std::uint64_t> doubt_on;
        time_point held_at{};
        std::int64_t held_at_utc = 0;
        time_point next_look{};
        time_point next_cleaning{};
        /// Programs with an account, and when that was seen.
        std::unordered_map<program_id, time_point> accounts;
        /// Started without an account that was written since.
        std::unordered_set<program_id> started;
    };

    using partition_map = std::map<std::string, partition_state>;

    bool holds(partition_state const& state) const;
    bool usable(partition_state const& state) const;
    std::size_t former_after(start_lease const& lease, std::int64_t utc) const;
    void step(std::string const& partition, partition_state& state);
    void look(std::string const& partition, partition_state& state);
    void take(std::string const& partition, partition_state& state);
    void release(std::string const& partition, partition_state& state);
    void change(
        std::string const& partition, partition_state& state, start_lease lease,
        std::string_view event);
    void read_accounts(
        std::string const& partition, partition_state& state,
        std::string const& from);
    void note_held(partition_state& state, time_point asked_at);
    void forget_old(partition_state& state);
    void tell(
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
    /// When the members were first read.
    std::optional<time_point> members_known_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

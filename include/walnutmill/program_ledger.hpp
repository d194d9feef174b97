#ifndef WALNUTMILL_PROGRAM_LEDGER_HPP
#define WALNUTMILL_PROGRAM_LEDGER_HPP

/// \file
/// Enforces each program's budget of generated tokens across all nodes,
/// restarts and outages of the store.
///
/// A program has one row in the store: the tokens it has spent, and the tokens
/// each node has reserved for current and future turns. A turn starts only if
/// the spent tokens, all reservations and the turn's own maximum fit into the
/// budget. A reservation that is never settled belongs to a failed node, and
/// its tokens may have been spent. One more turn may start beside such a
/// reservation as long as the claimed tokens do not exceed the budget. This is
/// the only case in which a program may exceed its budget, by one turn at most.
///
/// Load: chains of short turns, a few at a time, most turns of a program
/// through one node, at 150 to 650 turns per second. The store handles 800 to
/// 1,500 writes per second. With a reservation and a settlement per turn the
/// store rejected half of the writes in a burst of twice the usual load at 80
/// nodes, and the retries kept it overloaded after the burst. Therefore a node
/// reserves half of the unclaimed budget, and settles when it needs more or
/// the program is idle: about two writes per program.
///
/// Programs whose turns are kept go on after all nodes have failed, and then
/// lack what the failed nodes had reserved and not spent. For them a node
/// reserves one turn ahead, or an eighth of a large unclaimed budget. It
/// settles as soon as the next turn would not fit any more, and releases the
/// rest once the program is idle.
///
/// While the store is unavailable, a program without an account may spend the
/// escrow of its partition's lease (start_lease.hpp). Turns that are kept have
/// to be stored before their streams end, so a program of such turns cannot get
/// beyond one of them. Its escrow is one turn, or an eighth of a large budget
/// for sends of that turn which could not be stored. The budget is left for it
/// if a holder died before the program began, since one turn may start beside a
/// failed node's reservation.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/start_lease.hpp>
#include <walnutmill/versioned_store.hpp>
#include <walnutmill/wall_clock.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

/// The account of one program as stored.
struct program_account
{
    struct reservation
    {
        std::uint64_t tokens = 0;
        /// Number of the node's latest change. The node uses it to recognize
        /// that a change whose response was lost has taken effect. 0 for
        /// escrow, which another node has reserved for the holder of a lease.
        std::uint64_t change = 0;
    };

    std::uint64_t spent = 0;
    /// Time of the last write, in UTC seconds.
    std::int64_t written_at = 0;
    /// Reservations by node incarnation.
    std::map<std::string, reservation> reserved;

    /// \return the sum of tokens reserved by all nodes but \p self.
    std::uint64_t reserved_by_others(std::string_view self) const;
};

/// \return the account in CBOR.
std::string encode(program_account const& account);
/// \return empty if the bytes are not a valid account.
std::optional<program_account> decode_account(std::string_view bytes);

/// The outcome of a request to start a turn.
enum class admission_answer
{
    /// The turn may start and must be settled when it ends.
    admitted,
    /// The remaining budget is too small for the turn and cannot grow.
    exhausted,
    /// The remaining budget depends on turns in progress at other nodes; the
    /// caller should retry later.
    contended,
    /// The store did not respond in time.
    store_unavailable,
    /// The program has not started, and the request excludes new programs.
    not_begun
};
/// \return the name of the enumerator, as sent between nodes.
std::string_view to_string(admission_answer answer);

/// Why a turn was not admitted although the tokens known to be spent leave room
/// for it: the balance of the program's account at that moment. All amounts are
/// in tokens.
struct blocked_turn
{
    struct holder
    {
        std::string incarnation;
        std::uint64_t tokens = 0;
        /// Reserved for the holder of a lease, which may never have admitted a
        /// turn of the program.
        bool is_escrow = false;
        /// The holder may still settle its reservation.
        bool is_alive = true;
    };

    program_id program;
    std::uint64_t budget = 0;
    std::uint64_t most_tokens = 0;
    /// As in turn_request.
    bool is_kept = false;
    std::uint64_t spent = 0;
    /// Spent by ended turns of this node and not yet in the account.
    std::uint64_t unsettled = 0;
    /// Maximum of this node's turns in progress.
    std::uint64_t in_flight = 0;
    /// Reservations of other nodes.
    std::vector<holder> others;
};

/// A node's role for a program's account.
enum class account_role
{
    /// The node manages the account for all nodes and reserves tokens for
    /// future turns.
    coordinator,
    /// The fallback for a coordinator that is another node and could not be
    /// reached. Reserves only what a turn needs, and releases it as soon as the
    /// turn has ended.
    fallback,
    /// The coordinator is not known. Reserves only what a turn needs, and keeps
    /// the reservation for the next turn for \c idle_release_delay, since
    /// releasing it at once costs two writes per turn.
    unknown
};

/// A turn whose admission is requested.
struct turn_request
{
    /// Budget of the program, in tokens.
    std::uint64_t budget = 0;
    /// Maximum number of tokens that the turn generates.
    std::uint64_t most_tokens = 0;
    /// The turn cannot complete without the store, so the program must not
    /// start without it either.
    bool needs_store = false;
    /// The turn is stored before its stream ends, and other turns continue it.
    bool is_kept = false;
    /// This node's role for the program's account.
    account_role role = account_role::coordinator;
};

struct ledger_options
{
    /// Fraction of the unclaimed budget that a coordinator reserves. Programs
    /// use a quarter to a third of their budgets (median 0.22, 95 in 100 below
    /// 0.5), so half covers most of them with one write, and leaves as much
    /// after a crash.
    double reserve_ahead_fraction = 0.5;
    /// The same where other nodes hold reservations, as a failed coordinator
    /// leaves them. With half, four failures leave a sixteenth of the budget;
    /// with a quarter after the first one it is a fifth.
    double reserve_ahead_beside_others = 0.25;
    /// Fraction for a program whose turns are kept, if that is more than one
    /// turn. Beside other nodes' reservations nothing is reserved ahead, so
    /// that a further failure costs the program no tokens.
    double reserve_ahead_of_kept_turns = 0.125;
    /// Time after which a node that is not the program's coordinator releases
    /// an idle reservation, and a coordinator one of a program whose turns are
    /// kept. It is longer than most pauses between turns (20 to 150 ms on
    /// average). Together with the write it stays below 1 s, the time after
    /// which a rejection for lack of budget must count each ended turn as the
    /// tokens it spent.
    duration idle_release_delay = std::chrono::milliseconds(700);
    /// \return true if this node is the program's coordinator. If null, no
    /// node is. A coordinator keeps its reservations, except for kept turns: it
    /// knows what turns have spent, while no node knows when a program has
    /// ended. Releasing them costs one of 2.6 writes per program, and a release
    /// in progress when the store fails blocks the program's turns until the
    /// store recovers.
    std::function<bool(program_id const&)> is_coordinator;
    /// Idle time after which a program that started without the store gets its
    /// account. It is longer than the delay before a rejected caller retries
    /// (1.3 s), since the program's turns wait while the write is in progress.
    duration new_account_write_delay = std::chrono::seconds(3);
    /// How long a coordinator keeps an idle reservation: about as long as the
    /// account itself is kept. After that its tokens count as spent.
    duration idle_retention = std::chrono::minutes(10);
    /// A node that shuts down settles programs used within this time. It has
    /// only seconds to stop, and programs pause for less than a second between
    /// turns.
    duration shutdown_settle_window = std::chrono::seconds(10);
    /// Idle time after which a settled program is removed from memory; its row
    /// stays.
    duration settled_retention = std::chrono::seconds(30);
    /// Timeout of one read or write of the store.
    std::chrono::milliseconds store_timeout{2'500};
    /// A reservation that blocks a turn and has not changed for this long is
    /// taken to be a failed node's. It is twice the time that a live node takes
    /// to release an idle one.
    duration abandoned_after = std::chrono::milliseconds(1'500);
    /// Time source of \c written_at, by which old accounts are removed.
    utc_fn utc = system_utc();
    /// Attempts of a change that conflicts with other nodes' changes of the
    /// same row, before the turns that wait get \c contended.
    int max_conflict_attempts = 8;
    /// Called for each turn that other nodes' reservations keep from starting.
    std::function<void(blocked_turn const&)> on_blocked;
};

/// Admits and settles turns against the programs' accounts in the store.
/// Not thread-safe.
class program_ledger
{
public:
    using answer_fn = std::function<void(admission_answer)>;

    /// \return the name of the store's table of accounts.
    static char const* table();

    /// \param self identifies this incarnation of this node; never reused
    /// \param leases must outlive the ledger. Null if no node of the site holds
    /// leases; then no program starts without the store.
    program_ledger(
        versioned_store store, clock_fn clock, std::string self,
        ledger_options options = {}, start_leases* leases = nullptr);
    ~program_ledger();
    program_ledger(program_ledger const&) = delete;
    program_ledger& operator=(program_ledger const&) = delete;

    /// Requests a turn.
    /// \param answer called once, possibly before admit() returns
    void admit(
        program_id const& program, turn_request const& turn, answer_fn answer);

    /// \return true if the program is in memory, as a turn of it was requested
    /// recently.
    bool is_tracking(program_id const& program) const;

    /// Records that an admitted turn has ended.
    /// \param most_tokens as in its turn_request
    /// \param delivered_tokens number of tokens delivered to the caller
    void settle(
        program_id const& program, std::uint64_t most_tokens,
        std::uint64_t delivered_tokens);

    /// Releases idle reservations. Call it a few times per second.
    void tick();

    /// Settles recently used programs before the node shuts down.
    void settle_all();
    /// \return true while reads or writes of the store are in progress.
    bool busy() const { return changes_in_progress_ > 0; }

    /// \return the number of programs in memory.
    std::size_t programs() const { return programs_.size(); }

private:
    /// A turn that waits for its admission.
    struct waiting_turn
    {
        std::uint64_t most_tokens = 0;
        answer_fn answer;
        bool needs_store = false;
    };
    /// A change sent to the store whose outcome is not known yet.
    struct sent_change
    {
        std::uint64_t number = 0;
        std::uint64_t base_version = 0;
        std::uint64_t reserved = 0;
        std::uint64_t settled = 0;
        /// Version of the partition's lease, for a program's first account.
        std::uint64_t lease_version = 0;
    };
    /// A reservation of another node as this node has last read it.
    struct observed_reservation
    {
        std::uint64_t change = 0;
        std::uint64_t tokens = 0;
        time_point unchanged_since{};
    };
    struct program_state
    {
        std::uint64_t budget = 0;
        /// Of the latest requested turn.
        std::uint64_t most_tokens = 0;
        bool is_kept = false;
        /// The row as last seen. Empty if not read yet or not in the store.
        std::optional<program_account> account;
        std::uint64_t version = 0;
        /// Tokens reserved for this node.
        std::uint64_t reserved = 0;
        /// Tokens spent by ended turns, not yet settled in the row.
        std::uint64_t used = 0;
        /// Maximum number of tokens that turns in progress may generate.
        std::uint64_t in_flight = 0;
        std::deque<waiting_turn> queue;
        std::vector<sent_change> unresolved;
        bool change_pending = false;
        int attempts = 0;
        bool releasing = false;
        account_role role = account_role::coordinator;
        /// Reservations of other nodes, and since when they are unchanged.
        std::map<std::string, observed_reservation> others;
        /// One turn may start beside reservations of failed nodes.
        bool may_exceed_budget = false;
        time_point last_use{};
    };

    void process_queue(program_id const& program, program_state& state);
    void answer_decided_turns(program_state& state);
    bool fits_reservation(
        program_state const& state, std::uint64_t most_tokens) const;
    bool
    never_fits(program_state const& state, std::uint64_t most_tokens) const;
    void update_account(program_id const& program, program_state& state);
    void settle_kept_turns(program_id const& program, program_state& state);
    void observe_others(program_state& state) const;
    bool is_abandoned(
        program_state const& state, std::string const& holder,
        program_account::reservation const& held) const;
    bool is_wait_futile(
        program_state const& state, program_account const& account) const;
    std::uint64_t reserve_ahead(
        program_state const& state, program_account const& account,
        std::uint64_t unclaimed) const;
    std::uint64_t desired_reservation(
        program_state const& state, program_account const& account) const;
    void commit_reservation(
        program_id const& program, program_state& state,
        std::uint64_t reservation);
    void on_committed(
        program_id const& program, sent_change const& sent,
        program_account const& account, time_point asked_at,
        transaction_result const& result);
    void read_account(program_id const& program);
    void
    handle_store_unavailable(program_id const& program, program_state& state);
    static std::uint64_t escrow_of(program_state const& state);
    program_account
    base_account(program_id const& program, program_state const& state) const;
    void update_from_conflict(
        program_id const& program, program_state& state,
        std::vector<stored_row> const& rows);
    void update_from_row(
        program_id const& program, program_state& state, stored_row const* row);
    void apply_change(program_state& state, sent_change const& sent);
    void
    charge_untracked_reservation(program_state& state, bool started_here) const;
    bool should_settle(
        program_id const& program, program_state const& state,
        duration quiet) const;
    void answer_all(program_state& state, admission_answer answer);
    void report_blocked(
        program_id const& program, program_state const& state,
        program_account const& account) const;
    row_address address(program_id const& program) const;

    versioned_store store_;
    clock_fn clock_;
    std::string self_;
    ledger_options options_;
    start_leases* leases_;
    std::unordered_map<program_id, program_state> programs_;
    std::uint64_t last_change_ = 0;
    std::size_t changes_in_progress_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_PROGRAM_LEDGER_HPP
#define WALNUTMILL_PROGRAM_LEDGER_HPP

/// \file
/// Keeps each program within its budget of generated tokens, over all nodes,
/// restarts and outages of the store.
///
/// A program has one row: what it has spent, and what each node has reserved
/// for turns under way and to come. A turn starts only while spent tokens, all
/// reservations and its own most fit into the budget. A reservation that
/// nobody settles is a dead node's: what it holds may have been spent, so one
/// turn more starts beside it while it does not fill the budget. In that case
/// alone a program may pass its budget, by less than one turn.
///
/// Load pattern: chains of short turns, a few at a time, most of a program's
/// through one node, 150 to 650 turns a second against 800 to 1,500 writes.
/// With a reservation and a settlement for each turn the store turned half of
/// the writes away in a burst of twice the usual load at 80 nodes, and the
/// retries kept it so after the burst. So a node reserves half of what is
/// free, and settles when it needs more or the program is idle: some two
/// writes a program.
///
/// While the store is away a program that has no account yet may spend the
/// allowance of its partition's lease (start_lease.hpp).

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

/// The durable account of one program.
struct program_account
{
    struct reservation
    {
        std::uint64_t tokens = 0;
        /// Number of the node's last change, by which it recognizes a change
        /// of its own whose answer was lost.
        std::uint64_t change = 0;
    };

    std::uint64_t spent = 0;
    /// When it was written, in UTC seconds.
    std::int64_t written_at = 0;
    /// By incarnation of a node.
    std::map<std::string, reservation> reserved;

    std::uint64_t reserved_by_others(std::string_view self) const;
};

std::string encode(program_account const& account);
/// \return empty where the bytes are no account.
std::optional<program_account> decode_account(std::string_view bytes);

enum class admission_answer
{
    /// The turn may start; settle it when it ends.
    admitted,
    /// The budget does not hold the turn, and never will again.
    exhausted,
    /// What is left depends on turns under way at other nodes: come back.
    contended,
    /// The store did not answer in time.
    store_unavailable,
    /// The program has not begun, and no new one was to start.
    not_begun
};
std::string_view to_string(admission_answer answer);

/// What a node is to a program's account.
enum class account_role
{
    /// It keeps the account for all nodes, and reserves ahead.
    home,
    /// Another node is the home, and could not be asked: what a turn needs is
    /// reserved, and given back as soon as it has ended.
    guest,
    /// Which node is the home is not known: what a turn needs is reserved, and
    /// kept for the next one for \c idle_return: given back at once it costs
    /// two writes a turn.
    unknown
};

struct ledger_options
{
    /// Part of the unclaimed budget that a node reserves. Programs use a
    /// quarter to a third of their budgets (measured: median 0.22, 95 in 100
    /// below 0.5), so half carries most of them with one write, and a crash
    /// leaves as much.
    double part_ahead = 0.5;
    /// A reservation that nobody uses is given back after this by a node that
    /// is not the program's home: longer than most pauses between turns (20 to
    /// 150 ms on average), and with the write below the second after which a
    /// refusal for want of budget has to count ended turns as what they spent.
    duration idle_return = std::chrono::milliseconds(700);
    /// \return true where this node is the program's home. A home keeps what
    /// it has reserved: it knows what turns have spent, and when a program has
    /// ended nobody knows. Giving it back cost one of 2.6 writes a program, and
    /// one that was under way when the store was lost kept the program's turns
    /// out until its return. Null: no node is.
    std::function<bool(program_id const&)> is_home;
    /// A program that was started without the store gets its account once it
    /// has been quiet for this long: longer than the pause before a caller
    /// that was refused comes back (1.3 s), since while the write is under way
    /// its turns wait for it.
    duration write_new_after = std::chrono::seconds(3);
    /// A home keeps a reservation for this long: about as long as the account
    /// itself is kept. After that what it held counts as spent.
    duration keep_idle = std::chrono::minutes(10);
    /// A node that stops settles programs used since then; it has seconds to
    /// end, and programs pause for less than a second between turns.
    duration settle_at_stop = std::chrono::seconds(10);
    /// A settled program is forgotten here after this; its row stays.
    duration forget_after = std::chrono::seconds(30);
    /// How long the store may take for one change.
    std::chrono::milliseconds patience{2'500};
    /// An account that keeps a turn out and has not changed for this long
    /// holds a dead node's reservation: twice what a live node takes to give
    /// back an idle one.
    duration abandoned_after = std::chrono::milliseconds(1'500);
    /// Stamps accounts, so that old ones can be removed.
    utc_fn utc = system_utc();
    /// Tries against other nodes' changes of the same row.
    int conflict_tries = 8;
};

class program_ledger
{
public:
    using answer_fn = std::function<void(admission_answer)>;

    /// \return the store's table of accounts.
    static char const* table();

    /// \param self this incarnation of this node, unique for all time
    /// \param leases outlive the ledger; null where no node of the site holds
    /// any: then no program starts without the store
    program_ledger(
        versioned_store store, clock_fn clock, std::string self,
        ledger_options options = {}, start_leases* leases = nullptr);
    ~program_ledger();
    program_ledger(program_ledger const&) = delete;
    program_ledger& operator=(program_ledger const&) = delete;

    /// Asks for a turn of at most that many tokens.
    /// \param answer called once, maybe at once
    /// \param needs_store the turn could not end without the store, so the
    /// program should not start without it either
    void admit(
        program_id const& program, std::uint64_t budget,
        std::uint64_t most_tokens, answer_fn answer, bool needs_store = false,
        account_role role = account_role::home);

    /// \return true where a turn of the program was asked for lately.
    bool knows(program_id const& program) const;

    /// A turn that was admitted has ended.
    /// \param handed_out tokens that reached the caller
    void settle(
        program_id const& program, std::uint64_t most_tokens,
        std::uint64_t handed_out);

    /// Gives back what lies idle; call it a few times a second.
    void tick();

    /// Settles all that is unsettled, as the node is about to stop.
    void settle_all();
    /// \return true while changes are under way.
    bool busy() const { return changes_under_way_ > 0; }

    std::size_t programs() const { return programs_.size(); }

private:
    struct waiting
    {
        std::uint64_t most_tokens = 0;
        answer_fn answer;
        bool needs_store = false;
    };
    /// A change sent to the store whose effect is not known yet.
    struct sent_change
    {
        std::uint64_t number = 0;
        std::uint64_t on_version = 0;
        std::uint64_t reserved = 0;
        std::uint64_t settled = 0;
        /// Of the partition's lease, for a program's first account.
        std::uint64_t lease_version = 0;
    };
    struct program_state
    {
        std::uint64_t budget = 0;
        /// The row as last seen; no value: not read yet.
        std::optional<program_account> account;
        std::uint64_t version = 0;
        /// Tokens that the store has reserved for this node.
        std::uint64_t reserved = 0;
        /// Handed out by turns that ended, not yet settled in the row.
        std::uint64_t used = 0;
        /// The most that turns under way may hand out.
        std::uint64_t open = 0;
        std::deque<waiting> queue;
        std::vector<sent_change> unresolved;
        bool changing = false;
        int tries = 0;
        bool return_ahead = false;
        account_role role = account_role::home;
        /// The account that last kept a turn out, and since when.
        std::uint64_t contended_version = 0;
        time_point contended_since{};
        /// One turn may start beside reservations that nobody settles.
        bool abandoned = false;
        time_point last_use{};
    };

    void pump(program_id const& program, program_state& state);
    void serve_queue(program_state& state);
    bool fits_reservation(
        program_state const& state, std::uint64_t most_tokens) const;
    bool
    never_fits(program_state const& state, std::uint64_t most_tokens) const;
    void change(program_id const& program, program_state& state);
    bool held_by_the_dead(
        program_state& state, program_account const& account) const;
    std::uint64_t wanted_reservation(
        program_state const& state, program_account const& account) const;
    void send(
        program_id const& program, program_state& state,
        std::uint64_t reservation);
    void changed(
        program_id const& program, sent_change const& sent,
        program_account const& account, time_point asked_at,
        transaction_result const& result);
    void reread(program_id const& program);
    void store_is_away(program_id const& program, program_state& state);
    program_account present_account(
        program_id const& program, program_state const& state) const;
    void take_in_conflict(
        program_id const& program, program_state& state,
        std::vector<stored_row> const& rows);
    void observe(
        program_id const& program, program_state& state, stored_row const* row);
    void apply(program_state& state, sent_change const& sent);
    void spend_forgotten(program_state& state) const;
    bool should_settle(
        program_id const& program, program_state const& state,
        duration quiet) const;
    void answer_all(program_state& state, admission_answer answer);
    row_address address(program_id const& program) const;

    versioned_store store_;
    clock_fn clock_;
    std::string self_;
    ledger_options options_;
    start_leases* leases_;
    std::unordered_map<program_id, program_state> programs_;
    std::uint64_t last_change_ = 0;
    std::size_t changes_under_way_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace walnutmill

#endif

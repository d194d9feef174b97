#ifndef WALNUTMILL_PROGRAM_LEDGER_HPP
#define WALNUTMILL_PROGRAM_LEDGER_HPP

/// \file
/// Keeps each program within its budget of generated tokens, over all nodes,
/// restarts and outages of the store.
///
/// A program has one row: what it has spent, and what each node has reserved
/// for turns under way. A turn starts only while spent tokens, all
/// reservations and its own most fit into the budget. What a node that died
/// had reserved counts as spent.
///
/// Load pattern: chains of short turns, a few at a time, of programs that
/// live for seconds. With one reservation and one settlement a turn the
/// writes would be twice the turns (400 a second of the 800 that the store
/// takes); so a node reserves for some turns to come while the budget is
/// ample, and settles with its next reservation. While it is scarce each turn
/// is settled at once, since other nodes may need what is left.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>
#include <walnutmill/versioned_store.hpp>

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
    store_unavailable
};
std::string_view to_string(admission_answer answer);

struct ledger_options
{
    /// Turns' worth that a node reserves ahead while the budget is ample:
    /// four turns a write on average (4 to 9 turns a program, 3 ahead).
    std::uint32_t turns_ahead = 3;
    /// Part of the budget that reservations ahead may reach; the rest is left
    /// for other nodes and for what a crash leaves reserved.
    double ahead_until = 0.5;
    /// A reservation that nobody uses is given back after this: longer than
    /// the pause between turns (20 to 600 ms on the sites' sheets).
    duration idle_return = std::chrono::milliseconds(900);
    /// A settled program is forgotten here after this; its row stays.
    duration forget_after = std::chrono::seconds(30);
    /// How long the store may take for one change.
    std::chrono::milliseconds patience{2'500};
    /// Tries against other nodes' changes of the same row.
    int conflict_tries = 8;
};

class program_ledger
{
public:
    using answer_fn = std::function<void(admission_answer)>;

    /// \param self this incarnation of this node, unique for all time
    program_ledger(
        versioned_store store, clock_fn clock, std::string self,
        ledger_options options = {});
    ~program_ledger();
    program_ledger(program_ledger const&) = delete;
    program_ledger& operator=(program_ledger const&) = delete;

    /// Asks for a turn of at most that many tokens.
    /// \param answer called once, maybe at once
    void admit(
        program_id const& program, std::uint64_t budget,
        std::uint64_t most_tokens, answer_fn answer);

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
    };
    /// A change sent to the store whose effect is not known yet.
    struct sent_change
    {
        std::uint64_t number = 0;
        std::uint64_t on_version = 0;
        std::uint64_t reserved = 0;
        std::uint64_t settled = 0;
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
        time_point last_use{};
    };

    void pump(program_id const& program, program_state& state);
    void serve_queue(program_state& state);
    bool fits_reservation(
        program_state const& state, std::uint64_t most_tokens) const;
    bool never_fits(
        program_state const& state, std::uint64_t most_tokens) const;
    void change(program_id const& program, program_state& state);
    std::uint64_t
    wanted_reservation(program_state const& state, std::uint64_t spent) const;
    void send(
        program_id const& program, program_state& state,
        std::uint64_t reservation);
    void changed(
        program_id const& program, sent_change sent,
        transaction_result result);
    void reread(program_id const& program);
    void observe(program_state& state, stored_row const* row);
    void apply(program_state& state, sent_change const& sent);
    void answer_all(program_state& state, admission_answer answer);
    row_address address(program_id const& program) const;

    versioned_store store_;
    clock_fn clock_;
    std::string self_;
    ledger_options options_;
    std::unordered_map<program_id, program_state> programs_;
    std::uint64_t last_change_ = 0;
    std::size_t changes_under_way_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace walnutmill

#endif

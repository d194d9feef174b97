#ifndef WALNUTMILL_SRC_ENTRY_BUDGET_DESK_HPP
#define WALNUTMILL_SRC_ENTRY_BUDGET_DESK_HPP

/// \file
/// Asks a program's home for its turns, and answers other nodes as the home
/// of theirs. With a turn's admission the home tells where the program's
/// prompts lie, and with its settlement it is told where the turn left its own.

#include <walnutmill/program_ledger.hpp>

#include "entry/http_caller.hpp"
#include "entry/program_home.hpp"
#include "entry/prompt_places.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace walnutmill
{

struct desk_options
{
    /// A home answers from memory in 2 to 4 ms; with a write of its own first
    /// in 10 to 15. One that says nothing for longer than this costs a turn
    /// more than asking the store itself.
    std::chrono::milliseconds admission_patience{150};
    /// A home that is still at it after this says so, so that it is not taken
    /// for dead: two thirds of the above. Without that a home whose store was
    /// slow or just lost was passed over for 2 s by all others, and with it
    /// its programs could not start on its leases.
    std::chrono::milliseconds say_pending_after{100};
};

class budget_desk
{
public:
    /// An admitted turn: where it is to be settled.
    struct grant
    {
        program_id program;
        std::uint64_t most_tokens = 0;
        /// Names the turn, so that a settlement told twice counts once.
        std::string turn;
        /// Empty: at this node.
        std::string home;
        std::string home_address;
        /// Where prompts of the program lie, the latest last.
        std::vector<prompt_place> places{};
    };

    /// What is asked for a turn.
    struct wish
    {
        program_id program;
        std::uint64_t budget = 0;
        std::uint64_t most_tokens = 0;
        /// Only if the program has begun.
        bool only_begun = false;
        /// The turn could not end without the store.
        bool needs_store = false;
    };

    using answer_fn = std::function<void(admission_answer, grant)>;

    budget_desk(
        boost::asio::io_context& io, program_ledger& ledger, clock_fn clock,
        std::string self, std::string incarnation, desk_options options = {},
        double own_strength = 1);

    void set_nodes(std::vector<home_candidate> others);

    /// Asks for a turn, at the program's home or, where that does not answer,
    /// at this node's own ledger.
    void admit(wish const& one, answer_fn const& answer);

    /// \param left where the turn left its prompt; empty: not known
    void settle(
        grant const& one, std::uint64_t handed_out,
        std::optional<prompt_place> const& left = std::nullopt);

    /// \return true where this node is the home of that key.
    bool is_home_of(std::string const& key) const;

    /// \return true for a path that serve() answers.
    static bool is_request(std::string_view target);

    /// Answers another node. \param reply gets the status and the body
    void serve(
        std::string_view target, std::string_view body,
        std::function<void(int, std::string)> const& reply);

    /// Settles turns of other nodes that never did; call it now and then.
    void tick();

private:
    struct open_turn
    {
        program_id program;
        std::uint64_t most_tokens = 0;
        time_point until;
    };
    using reply_fn = std::function<void(int, std::string)>;
    /// An admission that another node asked for and that takes long.
    struct slow_admission
    {
        program_id program;
        /// The node's latest question, while it waits.
        reply_fn asker;
        std::optional<admission_answer> answer;
        /// The node went on without it.
        bool withdrawn = false;
        std::shared_ptr<boost::asio::steady_timer> patience;
        time_point until;
    };

    void admit_here(wish const& one, account_role role, answer_fn answer);
    void ask_home(
        wish const& one, grant const& wanted, int questions,
        answer_fn const& answer);
    void
    await(std::string const& turn, program_id const& program, reply_fn asker);
    void
    admitted(wish const& one, std::string const& turn, admission_answer what);
    void reply_slow(std::string const& turn);
    void send_settlement(
        grant const& one, std::uint64_t handed_out,
        std::optional<prompt_place> const& left, int tries);
    void serve_admission(
        std::string_view body,
        std::function<void(int, std::string)> const& reply);
    void serve_settlement(
        std::string_view body,
        std::function<void(int, std::string)> const& reply);

    boost::asio::io_context& io_;
    program_ledger& ledger_;
    clock_fn clock_;
    http_caller caller_;
    program_homes homes_;
    prompt_places places_;
    std::string incarnation_;
    desk_options options_;
    std::uint64_t last_turn_ = 0;
    /// Turns of other nodes under way here, by their names.
    std::unordered_map<std::string, open_turn> open_;
    /// Admissions of other nodes that are not answered yet, by turn.
    std::unordered_map<std::string, slow_admission> slow_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

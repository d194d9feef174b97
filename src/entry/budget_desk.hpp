#ifndef WALNUTMILL_SRC_ENTRY_BUDGET_DESK_HPP
#define WALNUTMILL_SRC_ENTRY_BUDGET_DESK_HPP

/// \file
/// Asks a program's home for its turns, and answers other nodes as the home
/// of theirs.

#include <walnutmill/program_ledger.hpp>

#include "entry/http_caller.hpp"
#include "entry/program_home.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace walnutmill
{

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
    };

    /// What is asked for a turn.
    struct wish
    {
        program_id program;
        std::uint64_t budget = 0;
        std::uint64_t most_tokens = 0;
        /// Only if the program has begun.
        bool only_begun = false;
    };

    using answer_fn = std::function<void(admission_answer, grant)>;

    budget_desk(
        boost::asio::io_context& io, program_ledger& ledger, clock_fn clock,
        std::string self, std::string incarnation);

    void set_nodes(std::vector<home_candidate> others);

    /// Asks for a turn, at the program's home or, where that does not answer,
    /// at this node's own ledger.
    void admit(wish const& one, answer_fn const& answer);

    void settle(grant const& one, std::uint64_t handed_out);

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

    void admit_here(wish const& one, answer_fn answer);
    void send_settlement(grant const& one, std::uint64_t handed_out, int tries);
    void serve_admission(
        std::string_view body,
        std::function<void(int, std::string)> const& reply);
    void serve_settlement(
        std::string_view body,
        std::function<void(int, std::string)> const& reply);

    program_ledger& ledger_;
    clock_fn clock_;
    http_caller caller_;
    program_homes homes_;
    std::string incarnation_;
    std::uint64_t last_turn_ = 0;
    /// Turns of other nodes under way here, by their names.
    std::unordered_map<std::string, open_turn> open_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

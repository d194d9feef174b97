#ifndef WALNUTMILL_SRC_PEER_QUESTIONS_HPP
#define WALNUTMILL_SRC_PEER_QUESTIONS_HPP

/// \file
/// Questions that a node puts to all others, or to the owners of programs,
/// and answers for them: rows, decisions, liveness.

#include <walnutmill/audit.hpp>
#include <walnutmill/peer_hub.hpp>
#include <walnutmill/query.hpp>

#include "owner_duty.hpp"
#include "routing.hpp"
#include "steward_worker.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

/// What one node answered.
struct peer_answer
{
    node_name node;
    result<std::string> body;
};

/// Asks the nodes one question each and waits for all, or for the timeout.
/// \param questions one body per session
struct peer_question
{
    node_name node;
    std::string address;
    std::string body;
};
std::vector<peer_answer> ask_peers(
    peer_hub& hub, std::string_view topic,
    std::vector<peer_question> const& questions);

/// Answers peers and asks them. Thread-safe; asking blocks.
class peer_questions
{
public:
    struct parts
    {
        node_name node;
        session_id self;
        std::uint32_t shards = 0;
        peer_hub& hub;
        owner_duty& owner;
        routing const& routes;
        decision_log const& decisions;
    };

    explicit peer_questions(parts of_node);

    /// Sets the hub's handlers. The hub must not outlive this object.
    static void add_handlers(
        peer_hub& hub, std::function<peer_questions*()> const& current);

    /// Rows of programs, holds or links of all nodes.
    result_table rows(table_kind kind, std::vector<node_answer>& nodes);
    std::vector<decision_entry>
    decisions(program_id const& program, std::vector<node_answer>& nodes);
    /// In the order of the programs.
    std::vector<program_liveness>
    liveness(std::vector<program_id> const& programs);

private:
    void serve_rows(std::string_view body, peer_responder const& responder);
    void
    serve_decisions(std::string_view body, peer_responder const& responder);
    void serve_liveness(std::string_view body, peer_responder const& responder);
    std::vector<program_liveness> own_liveness(
        program_owner& owner, std::vector<program_id> const& programs) const;
    result_table own_rows(table_kind kind, program_owner& owner) const;
    std::vector<peer_question> question_all(std::string const& body) const;

    parts parts_;
};

} // namespace walnutmill

#endif

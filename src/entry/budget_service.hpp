#ifndef WALNUTMILL_SRC_ENTRY_BUDGET_SERVICE_HPP
#define WALNUTMILL_SRC_ENTRY_BUDGET_SERVICE_HPP

/// \file
/// Requests the admission of turns from the program's coordinator, and serves
/// other nodes' requests for programs that this node coordinates. Without it
/// each node reserves and settles in the store for itself, and a turn does not
/// find the engines that hold the program's prompts in their prefix caches.
///
/// The reply to an admission lists the program's prefix cache locations, and a
/// settlement reports the location of the turn's own prompt.

#include <walnutmill/program_ledger.hpp>

#include "entry/http_caller.hpp"
#include "entry/prefix_locations.hpp"
#include "entry/program_coordinators.hpp"

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

struct budget_service_options
{
    /// Timeout of an admission request. A coordinator replies from memory in 2
    /// to 4 ms, or in 10 to 15 ms if it writes to the store first. Waiting
    /// longer than this costs a turn more than using the store directly.
    std::chrono::milliseconds admission_timeout{150};
    /// Delay after which a coordinator replies that an admission is pending, so
    /// that it is not considered failed: two thirds of the timeout above.
    /// Without this reply, all other nodes skip for 2 s a coordinator whose
    /// store is slow or has just failed, and its programs cannot start on the
    /// leases it holds.
    std::chrono::milliseconds pending_reply_delay{100};
};

/// Admits and settles turns at the coordinators of their programs.
class budget_service
{
public:
    /// An admitted turn and the node at which it must be settled.
    struct grant
    {
        program_id program;
        std::uint64_t most_tokens = 0;
        /// Unique id of the turn, so that a repeated settlement counts once.
        std::string turn;
        /// Name of the coordinator; empty if the turn is settled at this node.
        std::string coordinator;
        /// IP:PORT of the coordinator.
        std::string coordinator_address;
        /// Prefix cache locations of the program's prompts, the latest last.
        std::vector<prefix_cache_location> cache_locations{};
    };

    /// A request to start a turn.
    struct admission_request
    {
        program_id program;
        std::uint64_t budget = 0;
        std::uint64_t most_tokens = 0;
        /// Admit the turn only if its program has already started.
        bool only_begun = false;
        /// As in turn_request.
        bool needs_store = false;
        bool is_kept = false;
    };

    using answer_fn = std::function<void(admission_answer, grant)>;

    /// \param ledger must outlive the service
    /// \param self name of this node
    /// \param incarnation unique id of this node's process, never reused
    /// \param own_capacity_weight capacity weight of this node, in cores
    budget_service(
        boost::asio::io_context& io, program_ledger& ledger, clock_fn clock,
        std::string self, std::string incarnation,
        budget_service_options options = {}, double own_capacity_weight = 1);

    /// \param others the other nodes that may be coordinators
    void set_nodes(std::vector<coordinator_candidate> others);

    /// Requests a turn from the program's coordinator or, if that does not
    /// reply in time, from this node's ledger.
    /// \param answer called once, possibly before admit() returns
    void admit(admission_request const& request, answer_fn const& answer);

    /// Records that an admitted turn has ended.
    /// \param delivered_tokens number of tokens delivered to the caller
    /// \param location prefix cache location of the turn's prompt; empty if
    /// unknown
    void settle(
        grant const& granted, std::uint64_t delivered_tokens,
        std::optional<prefix_cache_location> const& location = std::nullopt);

    /// \return true if this node is the coordinator of that key.
    bool is_coordinator_of(std::string const& key) const;

    /// \return true if serve() handles the path.
    static bool is_request(std::string_view target);

    /// Handles another node's request.
    /// \param reply receives the HTTP status and the body
    void serve(
        std::string_view target, std::string_view body,
        std::function<void(int, std::string)> const& reply);

    /// Settles turns that other nodes have not settled in time. Call it
    /// periodically.
    void tick();

private:
    /// A turn of another node in progress.
    struct remote_turn
    {
        program_id program;
        std::uint64_t most_tokens = 0;
        time_point expires_at;
    };
    using reply_fn = std::function<void(int, std::string)>;
    /// An admission requested by another node and not yet answered.
    struct pending_admission
    {
        program_id program;
        /// Replies to the node's latest request; empty if none waits.
        reply_fn reply;
        std::optional<admission_answer> answer;
        /// The node has continued without the admission.
        bool withdrawn = false;
        std::shared_ptr<boost::asio::steady_timer> pending_timer;
        time_point expires_at;
    };

    void admit_locally(
        admission_request const& request, account_role role, answer_fn answer);
    void request_from_coordinator(
        admission_request const& request, grant const& requested,
        int requests_left, answer_fn const& answer);
    void await_decision(
        std::string const& turn, program_id const& program, reply_fn reply);
    void on_decided(
        admission_request const& request, std::string const& turn,
        admission_answer what);
    void reply_to_pending(std::string const& turn);
    void send_settlement(
        grant const& granted, std::uint64_t delivered_tokens,
        std::optional<prefix_cache_location> const& location,
        int attempts_left);
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
    program_coordinators coordinators_;
    prefix_locations cache_locations_;
    std::string incarnation_;
    budget_service_options options_;
    std::uint64_t last_turn_ = 0;
    /// Turns of other nodes in progress, by turn id.
    std::unordered_map<std::string, remote_turn> remote_turns_;
    /// Unanswered admissions for other nodes, by turn id.
    std::unordered_map<std::string, pending_admission> pending_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

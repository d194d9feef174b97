#ifndef WALNUTMILL_SRC_ENTRY_QUOTA_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_QUOTA_EXCHANGE_HPP

/// \file
/// Sends a rate-limit request to the workspace's coordinator for each of its
/// requests, and answers those of other nodes where this node is the
/// coordinator.
///
/// Load: each request of a limited workspace, at any node, needs one decision
/// of the coordinator. Without the exchange each node could only enforce its
/// own share of the limit, which refuses small workspaces far below it.
///
/// Coordinators are chosen by weighted rendezvous hashing over the members,
/// which seldom selects the weakest nodes. A coordinator that stops answering
/// is skipped until it answers a ping, and the next node in hash order replaces
/// it. During a network partition the coordinator on each side grants a share
/// of the limit equal to its side's share of all nodes. A node that receives a
/// rate-limit request but knows a preferred coordinator forwards the request,
/// so that one node's false suspicion does not create a second coordinator.
/// Nodes learn of one that joins at different moments, and until then go on
/// asking its predecessor. A node that has just started therefore leaves its
/// decisions to the node ranked below it, which is that predecessor, until the
/// predecessor answers that it sends all requests to the new node. A request
/// from a higher-ranked node tells its receiver that the decision is left to
/// it. The last of these answers pass through the new node, which counts them
/// in its own buckets and goes on from there. A node that is about to leave
/// does the same for good, since others learn of that at different moments
/// too.
/// The alternative, a lease on a row of the store, is lost during outages of
/// the store and takes seconds to move to another node.

#include <walnutmill/quota.hpp>

#include "entry/program_coordinators.hpp"
#include "entry/quota_message.hpp"

#include <chrono>
#include <cstdint>
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

struct quota_exchange_options
{
    /// Delay after which an unanswered rate-limit request is sent again.
    std::chrono::milliseconds resend_after{40};
    /// Timeout after which an unanswering coordinator is skipped.
    std::chrono::milliseconds timeout{110};
    /// By how much the timeout of a forwarded request is shorter than that of
    /// its sender.
    std::chrono::milliseconds timeout_per_hop{15};
    /// Maximum number of coordinators tried per request.
    int max_candidates = 3;
    /// Maximum number of pending rate-limit requests, own and forwarded.
    std::size_t max_pending = 4'096;
    /// Time from a node's start until all others usually know it and ask it.
    /// They read the members about every 3 s.
    std::chrono::milliseconds join_time{4'000};
    /// Time for which a node counts the grants of its predecessor before it
    /// decides itself: long enough to know the use, which takes 2 s, and how
    /// full the buckets are.
    std::chrono::milliseconds count_time{3'000};
    /// Interval between pings to unreachable nodes.
    std::chrono::milliseconds ping_interval{500};
    /// How long an unreachable node is skipped if it answers no ping.
    std::chrono::seconds skip_unreachable_for{10};
};

/// Rate-limit client and coordinator of one node.
class quota_exchange
{
public:
    /// A workspace's limit as of a version of the configuration.
    struct known_limit
    {
        std::uint64_t configuration = 0;
        /// Empty: the configuration holds no such workspace.
        std::optional<rate_limit> limit;
    };

    struct hooks
    {
        /// Sends a datagram to IP:PORT; delivery is not guaranteed.
        std::function<void(std::string const& address, std::string bytes)> send;
        /// Runs the function after the given delay.
        std::function<void(duration after, std::function<void()>)>
            schedule_after;
        std::function<known_limit(workspace_name const&)> limit_of;
        /// \return the reachable share of members, 0 to 1.
        std::function<double()> reachable_share;
        /// Called when a coordinator becomes unreachable or reachable again;
        /// may be null.
        std::function<void(std::string const& node, bool reachable)>
            on_reachability_change{};
        /// Called when this node goes on from its predecessor as the
        /// coordinator of a group of workspaces; may be null.
        std::function<void(
            std::string const& group, std::string const& predecessor)>
            on_takeover{};
    };

    /// \param coordinator the node that decided; empty: this node
    using answer_fn = std::function<void(
        quota_answer const& answer, std::string const& coordinator)>;

    quota_exchange(
        clock_fn clock, std::string self, double own_capacity_weight,
        quota_bounds bounds, hooks callbacks,
        quota_exchange_options options = {});
    ~quota_exchange();
    quota_exchange(quota_exchange const&) = delete;
    quota_exchange& operator=(quota_exchange const&) = delete;

    /// \param others all members except this node
    void set_nodes(std::vector<coordinator_candidate> others);
    bool knows_nodes() const { return placement_.knows_nodes(); }
    /// \return true if this node comes first in the hash order of the
    /// workspace's coordinators.
    bool is_preferred_coordinator_of(workspace_name const& owner) const;
    /// Leaves all further decisions to the nodes ranked below this one. To be
    /// called before the others learn that this node leaves.
    void leave() { leaving_ = true; }
    void set_bounds(quota_bounds bounds) { coordinator_.set_bounds(bounds); }
    /// Sets whether answers of this node report the use of the workspace.
    void set_reports_use(bool enabled)
    {
        coordinator_.set_reports_use(enabled);
    }

    /// Requests a token for one request of the workspace.
    /// \param done called exactly once, possibly before this returns
    void acquire(workspace_name const& owner, answer_fn done);

    /// Returns the token of a granted request that never reached an engine.
    void refund(workspace_name const& owner);

    /// Processes a received datagram.
    /// \param reply sends a datagram to its sender
    /// \return false if the datagram is not a message of this protocol
    bool handle(
        std::string_view bytes, std::function<void(std::string)> const& reply);

    /// Refills the buckets and pings unreachable nodes. Call it a few times per
    /// second.
    void tick();

private:
    struct pending_request
    {
        /// As received, or as made by this node.
        quota_message message;
        coordinator_candidate candidate;
        int candidates_left = 0;
        answer_fn done;
    };

    /// What this node knows of its predecessor in a group of workspaces.
    struct handover
    {
        /// Empty before the first answer.
        std::string predecessor;
        /// Whether it sends requests to this node; empty if it does not
        /// report that.
        std::optional<bool> accepted{};
        /// Since when it has answered that.
        time_point since{};
        bool is_complete = false;
    };

    bool has_joined() const;
    bool is_settled() const;
    bool defers(std::string const& group) const;
    bool observes(std::string const& group) const;
    void await_handovers();
    void record_handover(
        std::string const& group, std::string const& node,
        std::optional<bool> accepted);
    std::optional<bool> is_coordinator_for(
        std::string const& asker, std::string const& group) const;
    duration timeout_of(quota_message const& message) const;
    coordinator_candidate const*
    node_to_ask(quota_message const& message) const;
    void route_refund(quota_message message);
    void decide(quota_message message, int candidates_left, answer_fn done);
    quota_answer decide_locally(quota_message const& message);
    rate_limit newer_limit(quota_message const& message) const;
    void send_request(std::uint64_t request_id);
    void schedule_timeouts(std::uint64_t request_id, duration timeout);
    void try_next_candidate(std::uint64_t request_id);
    void handle_answer(quota_message const& message);
    void observe(pending_request const& pending, quota_decision decision);
    void mark_unreachable(coordinator_candidate const& node);
    void mark_reachable(std::string const& node);
    quota_message make_message(quota_message_type type) const;

    clock_fn clock_;
    std::string self_;
    quota_coordinator coordinator_;
    program_coordinators placement_;
    hooks hooks_;
    quota_exchange_options options_;
    /// When the other nodes were first known.
    std::optional<time_point> nodes_known_since_;
    /// Groups in which this node was among the first when the others had
    /// learned of it.
    std::map<std::string, handover> handovers_;
    bool awaits_handovers_ = false;
    bool leaving_ = false;
    std::uint64_t last_request_id_ = 0;
    std::unordered_map<std::uint64_t, pending_request> pending_;
    /// Addresses of unreachable nodes by node name.
    std::map<std::string, std::string> unreachable_;
    time_point last_ping_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

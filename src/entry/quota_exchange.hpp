#ifndef WALNUTMILL_SRC_ENTRY_QUOTA_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_QUOTA_EXCHANGE_HPP

/// \file
/// Asks the coordinator of a workspace for each of its requests, and answers
/// other nodes as the coordinator of theirs.
///
/// Coordinators are chosen by weighted rendezvous hashing over the members, so
/// that the weakest nodes are seldom chosen. One that falls silent is passed
/// over until it answers a ping, and the next one stands in for it. On each
/// side of a partition a coordinator grants the part of the limit that its side
/// is of all nodes. A node that is asked but knows a better one passes the ask
/// on, so that a single node's wrong suspicion makes no second coordinator. A
/// lease on a row of the store, the alternative, ends with the store's outages
/// and takes seconds to pass on.

#include <walnutmill/quota.hpp>

#include "entry/program_home.hpp"
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
    /// Pause after which an unanswered ask is sent again.
    std::chrono::milliseconds resend_after{40};
    /// Silence after which a coordinator is passed over.
    std::chrono::milliseconds patience{110};
    /// The same where the ask was passed on: below what its sender waits.
    std::chrono::milliseconds patience_passed_on{50};
    /// Coordinators asked for one request.
    int most_candidates = 3;
    /// Asks under way, of this node and passed on.
    std::size_t most_pending = 4'096;
    /// Interval between pings to nodes that fell silent.
    std::chrono::milliseconds ping_every{500};
    /// A silent node is passed over this long where it answers no ping.
    std::chrono::seconds passed_over_for{10};
};

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
        /// Sends a datagram to IP:PORT; it may get lost.
        std::function<void(std::string const& address, std::string bytes)> send;
        /// Calls back after a while.
        std::function<void(duration after, std::function<void()>)> later;
        std::function<known_limit(workspace_name const&)> limit_of;
        /// \return the part of all nodes that is in touch with this one, 0
        /// to 1.
        std::function<double()> reach;
        /// A coordinator fell silent, or answers again; null: not told.
        std::function<void(std::string const& node, bool answers)> on_change{};
    };

    /// \param coordinator the node that answered; empty: this one
    using answer_fn = std::function<void(
        quota_answer const& answer, std::string const& coordinator)>;

    quota_exchange(
        clock_fn clock, std::string self, double own_strength,
        quota_bounds bounds, hooks to, quota_exchange_options options = {});
    ~quota_exchange();
    quota_exchange(quota_exchange const&) = delete;
    quota_exchange& operator=(quota_exchange const&) = delete;

    /// \param others the other nodes
    void set_nodes(std::vector<home_candidate> others);
    bool knows_nodes() const { return homes_.knows_nodes(); }
    /// \return true where this node goes before all others as the workspace's
    /// coordinator.
    bool is_first_for(workspace_name const& owner) const;
    void set_bounds(quota_bounds bounds) { coordinator_.set_bounds(bounds); }

    /// Asks for one request. \param done called once, maybe at once
    void take(workspace_name const& owner, answer_fn done);

    /// Returns what was granted to a request that reached no engine.
    void give_back(workspace_name const& owner);

    /// A datagram came. \param reply sends one back
    /// \return false where it is no message of this exchange
    bool handle(
        std::string_view bytes, std::function<void(std::string)> const& reply);

    /// Refills the buckets and pings silent nodes; call it a few times a
    /// second.
    void tick();

private:
    struct open_ask
    {
        quota_message message;
        home_candidate to;
        int candidates_left = 0;
        answer_fn done;
    };

    void decide(quota_message message, int candidates_left, answer_fn done);
    quota_answer decide_here(quota_message const& message);
    rate_limit newest_limit(quota_message const& message) const;
    void send_ask(std::uint64_t number);
    void await_answer(std::uint64_t number, duration patience);
    void next_candidate(std::uint64_t number);
    void answered(quota_message const& message);
    void suspect(home_candidate const& node);
    void present(std::string const& node);
    quota_message own_message(quota_verb verb) const;

    clock_fn clock_;
    std::string self_;
    quota_coordinator coordinator_;
    program_homes homes_;
    hooks hooks_;
    quota_exchange_options options_;
    std::uint64_t last_number_ = 0;
    std::unordered_map<std::uint64_t, open_ask> pending_;
    /// Nodes that fell silent, and their addresses.
    std::map<std::string, std::string> silent_;
    time_point pinged_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

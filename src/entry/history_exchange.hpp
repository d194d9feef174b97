#ifndef WALNUTMILL_SRC_ENTRY_HISTORY_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_HISTORY_EXCHANGE_HPP

/// \file
/// Exchanges stored turns between the caches of nodes.
///
/// Load pattern: callers reach any node of their failure domain, and one turn
/// in five arrives through another domain than its predecessor. Four turns in
/// nine therefore arrive at a node that did not handle the predecessor. Without
/// the exchange each missing turn is a read of the store: 0.65 reads per turn,
/// a quarter of all calls to the store.
///
/// Rendezvous hashing assigns each program a coordinator in each domain. The
/// coordinator receives the turns that are stored in its domain and serves them
/// on request. If the coordinator of the local domain does not have a turn,
/// those of the other domains are asked, since transferring bytes between
/// domains costs less than the saved calls to the store.
///
/// Only the store makes a turn durable. Peers receive only durable turns, and a
/// turn that no peer has cached is read from the store.

#include <walnutmill/turn_history.hpp>

#include "entry/http_caller.hpp"
#include "entry/program_coordinators.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace walnutmill
{

struct history_exchange_options
{
    /// Timeout of a request to a peer. A peer answers from memory within a
    /// millisecond. A timeout costs a turn more than a read of the store
    /// (7 ms), but it is rare.
    std::chrono::milliseconds timeout{60};
};

/// Connects the turn_history of this node to those of other nodes.
class history_exchange
{
public:
    history_exchange(
        boost::asio::io_context& io, turn_history& history, clock_fn clock,
        std::string self, std::string domain,
        history_exchange_options options = {});
    ~history_exchange();
    history_exchange(history_exchange const&) = delete;
    history_exchange& operator=(history_exchange const&) = delete;

    /// Replaces the set of nodes.
    /// \param others the other nodes by failure domain
    void
    set_nodes(std::map<std::string, std::vector<coordinator_candidate>> others);

    /// \return true if serve() handles the path.
    static bool is_request(std::string_view target);

    /// Handles a request of another node.
    /// \param reply called with the HTTP status and the body
    void serve(
        std::string_view target, std::string_view body,
        std::function<void(int, std::string)> const& reply);

private:
    using turns_type = std::vector<std::shared_ptr<stored_turn const>>;

    void request_chain(
        std::string const& group, request_id const& last,
        std::function<void()> const& done);
    void request_from_peer(
        coordinator_candidate const& peer, request_id const& last,
        std::function<void()> const& done);
    void request_from_other_domains(
        std::string const& group, request_id const& last,
        std::function<void()> const& done);
    void announce(std::string const& group, turns_type const& turns);

    turn_history& history_;
    clock_fn clock_;
    http_caller caller_;
    std::string self_;
    std::string domain_;
    /// Nodes of each failure domain; the local domain includes this node.
    std::map<std::string, program_coordinators> domain_coordinators_;
    history_exchange_options options_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

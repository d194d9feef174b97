#ifndef WALNUTMILL_SRC_ENTRY_HISTORY_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_HISTORY_EXCHANGE_HPP

/// \file
/// Passes kept turns between nodes.
///
/// Load pattern: callers reach any node of their failure domain, and one turn
/// in five comes through another domain than the one before, so four turns in
/// nine come to a node that did not see the one before, and each turn missing
/// there was a read of the store: 0.65 reads a turn, a quarter of all calls to
/// the store. Each program has one node in each domain, by rendezvous hashing,
/// that is told of the turns kept in its domain and asked for them. Where that
/// of the own domain does not have them, those of the others are asked: bytes
/// between domains cost less than the calls that they save.
/// The store stays the only place that a turn is durable in: a peer is told
/// only of what is, and what no peer has is read there.

#include <walnutmill/turn_history.hpp>

#include "entry/http_caller.hpp"
#include "entry/program_home.hpp"

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

struct exchange_options
{
    /// A peer answers from memory within a millisecond; one that says nothing
    /// for this long costs a turn more than reading the store (7 ms) would
    /// have, but seldom.
    std::chrono::milliseconds patience{60};
};

class history_exchange
{
public:
    history_exchange(
        boost::asio::io_context& io, turn_history& history, clock_fn clock,
        std::string self, std::string domain, exchange_options options = {});
    ~history_exchange();
    history_exchange(history_exchange const&) = delete;
    history_exchange& operator=(history_exchange const&) = delete;

    /// \param others the other nodes, by failure domain
    void set_nodes(std::map<std::string, std::vector<home_candidate>> others);

    /// \return true for a path that serve() answers.
    static bool is_request(std::string_view target);

    /// Answers another node. \param reply gets the status and the body
    void serve(
        std::string_view target, std::string_view body,
        std::function<void(int, std::string)> const& reply);

private:
    using turns_type = std::vector<std::shared_ptr<kept_turn const>>;

    void
    ask(std::string const& group, request_id const& last,
        std::function<void()> const& done);
    void ask_peer(
        home_candidate const& peer, request_id const& last,
        std::function<void()> const& done);
    void ask_other_domains(
        std::string const& group, request_id const& last,
        std::function<void()> const& done);
    void offer(std::string const& group, turns_type const& turns);

    turn_history& history_;
    clock_fn clock_;
    http_caller caller_;
    std::string self_;
    std::string domain_;
    /// The nodes of each failure domain, the own one with this node.
    std::map<std::string, program_homes> homes_;
    exchange_options options_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_LOAD_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_LOAD_EXCHANGE_HPP

/// \file
/// Tells one node, the same for all, the calls of this one and how its calls
/// ended, and hears the sum over all nodes from it, by datagrams.

#include <walnutmill/engine_board.hpp>

#include "entry/load_summary.hpp"
#include "entry/program_home.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

class load_exchange
{
public:
    load_exchange(
        boost::asio::io_context& io, engine_board& board, clock_fn clock,
        std::string self);

    /// \return false where the address can't be bound.
    bool listen(std::string const& address);
    void set_nodes(std::vector<home_candidate> others);
    void stop();

    /// An engine rests, as calls of all nodes failed there.
    std::function<void(target_name const&, recent_outcomes const&)> on_rest;

private:
    void ask();
    void receive();
    void take(std::string_view bytes);
    void answer(load_message const& asked);
    void apply(load_report const& sum, engine_counts const& own);
    load_report own_report() const;

    engine_board& board_;
    clock_fn clock_;
    std::string self_;
    program_homes homes_;
    load_summary summary_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    boost::asio::steady_timer timer_;
    std::array<char, 65'536> buffer_{};
    std::uint64_t number_ = 0;
    /// The question that is not answered yet, and to whom it went.
    engine_counts asked_calls_;
    std::string asked_node_;
    int unanswered_ = 0;
};

} // namespace walnutmill

#endif

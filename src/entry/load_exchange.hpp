#ifndef WALNUTMILL_SRC_ENTRY_LOAD_EXCHANGE_HPP
#define WALNUTMILL_SRC_ENTRY_LOAD_EXCHANGE_HPP

/// \file
/// Reports this node's calls in flight and how calls ended to the node that
/// sums them up, and takes the sum over all nodes back, by datagrams.
///
/// Load pattern: hundreds of nodes each place a few calls a second on the same
/// engines of few slots. With sums 200 ms old half the time of a call has
/// passed, and calls queue at some engines beside free slots at others. So a
/// node asks for the sum before each choice and reports the choice at once.
/// Broadcasting each change instead takes nodes times calls datagrams.

#include <walnutmill/engine_board.hpp>

#include "entry/load_summary.hpp"
#include "entry/program_home.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace walnutmill
{

/// Interval between reports of a node that places no calls.
constexpr std::chrono::milliseconds usual_report_interval{200};

class load_exchange
{
public:
    load_exchange(
        boost::asio::io_context& io, engine_board& board, clock_fn clock,
        std::string self, double own_strength = 1,
        std::chrono::milliseconds interval = usual_report_interval);
    ~load_exchange();
    load_exchange(load_exchange const&) = delete;
    load_exchange& operator=(load_exchange const&) = delete;

    /// \return false where the address can't be bound.
    bool listen(std::string const& address);
    void set_nodes(std::vector<home_candidate> others);
    void stop();

    /// Calls back once a sum is known that was made just now, or none comes in
    /// time; at once where the known one is new enough.
    void before_choice(std::function<void()> choose);
    /// \return the part of all nodes, 0 to 1, that the summing node hears and
    /// this node hears of.
    double reach() const;
    /// Reports this node's calls soon: one began or ended.
    void calls_changed();

    /// An engine rests, as calls of all nodes failed there.
    std::function<void(target_name const&, recent_outcomes const&)> on_rest;

    /// Takes datagrams of other protocols that share the address; null: they
    /// are dropped.
    std::function<void(
        std::string_view bytes, std::function<void(std::string)> const& reply)>
        on_other;
    /// Sends a datagram of another protocol to IP:PORT.
    void send_other(std::string const& address, std::string const& bytes);

private:
    /// A report whose answer has not come.
    struct open_report
    {
        std::uint64_t number = 0;
        time_point sent_at{};
        engine_counts calls;
    };

    void report_again();
    void report();
    void report_changes();
    void receive();
    void take(std::string_view bytes);
    void take_other(std::string_view bytes);
    void answer(load_message const& asked);
    void apply(load_report const& sum, engine_counts const& own);
    void choose_waiting();
    home_candidate const* summing_node(time_point now);
    bool send(
        home_candidate const& to, std::uint64_t number, load_report const& own);
    load_report own_report() const;

    engine_board& board_;
    clock_fn clock_;
    std::string self_;
    program_homes homes_;
    load_summary summary_;
    boost::asio::io_context& io_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer choice_timer_;
    std::array<char, 65'536> buffer_{};
    std::chrono::milliseconds shortest_interval_;
    std::chrono::milliseconds interval_;
    std::uint64_t number_ = 0;
    /// Reports without an answer, oldest first, and to whom they went.
    std::deque<open_report> unanswered_;
    std::string asked_node_;
    /// When the known sum was asked for.
    time_point sum_asked_at_{};
    /// Nodes that the known sum is of, and all that are known.
    std::uint32_t nodes_heard_ = 0;
    std::size_t nodes_known_ = 1;
    /// Choices that wait for a sum.
    std::vector<std::function<void()>> choices_;
    bool changes_to_report_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

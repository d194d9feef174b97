#include "entry/load_exchange.hpp"

#include "entry/http_link.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

/// Half of what a call lasts, so that the sum is not older than the calls it
/// counts; 80 nodes make the summing one take 400 datagrams a second, 1 % of
/// a core.
constexpr std::chrono::milliseconds ask_every{200};
/// Unanswered questions after which another node is asked.
constexpr int most_unanswered = 2;
constexpr double hundred = 100;

std::uint32_t hundredths(double count)
{
    return static_cast<std::uint32_t>(std::lround(count * hundred));
}

/// The key whose home sums up.
constexpr char const* summing_key = "load-summary";

} // namespace

load_exchange::load_exchange(
    asio::io_context& io, engine_board& board, clock_fn clock, std::string self)
    : board_(board), clock_(std::move(clock)), self_(self),
      homes_(std::move(self)), socket_(io), timer_(io)
{
}

bool load_exchange::listen(std::string const& address)
{
    auto const at = endpoint_of(address);
    boost::system::error_code error;
    if (!at)
        return false;
    socket_.open(udp::v4(), error);
    if (!error)
        socket_.bind(udp::endpoint(at->address(), at->port()), error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        return false;
    receive();
    ask();
    return true;
}

void load_exchange::set_nodes(std::vector<home_candidate> others)
{
    homes_.set_nodes(std::move(others));
}

void load_exchange::stop()
{
    boost::system::error_code ignored; // nothing is lost with it
    socket_.close(ignored);
    timer_.cancel();
}

load_report load_exchange::own_report() const
{
    load_report to;
    for (auto const& [engine, calls] : board_.own_calls())
        to.calls.emplace_back(short_key(engine), calls);
    for (auto const& [engine, one] : board_.own_outcomes())
    {
        to.outcomes.push_back(
            {short_key(engine), hundredths(one.failed),
             hundredths(one.answered)});
    }
    return to;
}

void load_exchange::ask()
{
    if (!socket_.is_open())
        return;
    auto const now = clock_();
    if (unanswered_ >= most_unanswered)
    {
        homes_.did_not_answer(asked_node_, now);
        unanswered_ = 0;
    }
    auto const* home = homes_.home_of(summing_key, now);
    auto own = own_report();
    summary_.set(self_, own, now);
    if (home == nullptr)
        apply(summary_.sum(now), own.calls);
    else if (auto const to = endpoint_of(home->address))
    {
        auto const bytes = encode({true, self_, ++number_, own});
        boost::system::error_code ignored; // a lost question is asked again
        socket_.send_to(
            asio::buffer(bytes), udp::endpoint(to->address(), to->port()), 0,
            ignored);
        asked_calls_ = std::move(own.calls);
        asked_node_ = home->node;
        ++unanswered_;
    }
    timer_.expires_after(ask_every);
    timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                ask();
        });
}

void load_exchange::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this](boost::system::error_code const& error, std::size_t size)
        {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                take({buffer_.data(), size});
            receive();
        });
}

void load_exchange::take(std::string_view bytes)
{
    auto const message = decode_load_message(bytes);
    if (!message)
        return;
    if (message->asks)
    {
        answer(*message);
        return;
    }
    if (message->number != number_)
        return;
    unanswered_ = 0;
    homes_.answered(message->node);
    apply(message->report, asked_calls_);
}

void load_exchange::answer(load_message const& asked)
{
    auto const now = clock_();
    summary_.set(asked.node, asked.report, now);
    auto const bytes = encode({false, self_, asked.number, summary_.sum(now)});
    boost::system::error_code ignored; // a lost answer is asked for again
    socket_.send_to(asio::buffer(bytes), sender_, 0, ignored);
}

void load_exchange::apply(load_report const& sum, engine_counts const& own)
{
    std::unordered_map<std::uint32_t, std::uint32_t> others(
        sum.calls.begin(), sum.calls.end());
    for (auto const& [key, calls] : own)
    {
        auto& all = others[key];
        all -= std::min(all, calls);
    }
    board_.set_peer_loads(
        [&](target_name const& engine)
        {
            auto const found = others.find(short_key(engine));
            return found == others.end() ? 0U : found->second;
        });
    if (sum.outcomes.empty())
        return;
    std::unordered_map<std::uint32_t, recent_outcomes> outcomes;
    for (auto const& one : sum.outcomes)
        outcomes[one.engine] = {one.failed / hundred, one.answered / hundred};
    auto const resting = board_.set_all_outcomes(
        [&](target_name const& engine)
        {
            auto const found = outcomes.find(short_key(engine));
            return found == outcomes.end() ? recent_outcomes() : found->second;
        });
    for (auto const& [engine, seen] : resting)
    {
        if (on_rest)
            on_rest(engine, seen);
    }
}

} // namespace walnutmill

#include "entry/load_exchange.hpp"

#include "entry/http_link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnutmill
{
namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

/// Reports a second, beside those of choices, that the summing node takes.
constexpr int reports_per_s = 1'500;
/// Age up to which a sum serves a choice.
constexpr std::chrono::milliseconds new_enough{10};
/// Longest wait of a choice for a sum.
constexpr std::chrono::milliseconds choice_patience{10};
/// A report that is under way for less than this brings the sum for later
/// choices, too.
constexpr std::chrono::milliseconds just_asked{2};
/// Age up to which a sum tells which nodes are in touch: longer than the pause
/// until another node sums up.
constexpr std::chrono::milliseconds sum_tells_reach{600};
/// Time without an answer after which another node sums up.
constexpr std::chrono::milliseconds longest_silence{400};
/// Reports kept until their answers come.
constexpr std::size_t most_unanswered = 64;
/// Numbers a report that needs no answer.
constexpr std::uint64_t unasked = 0;
constexpr double hundred = 100;

std::uint32_t hundredths(double count)
{
    return static_cast<std::uint32_t>(std::lround(count * hundred));
}

/// The key whose home sums up.
constexpr char const* summing_key = "load-summary";

home_options summing_options(double own_strength)
{
    home_options to;
    to.own_strength = own_strength;
    to.strength_power = single_duty_power;
    return to;
}

} // namespace

load_exchange::load_exchange(
    asio::io_context& io, engine_board& board, clock_fn clock, std::string self,
    double own_strength, std::chrono::milliseconds interval)
    : board_(board), clock_(std::move(clock)), self_(self),
      homes_(std::move(self), summing_options(own_strength)), io_(io),
      socket_(io), timer_(io), choice_timer_(io), shortest_interval_(interval),
      interval_(interval)
{
}

load_exchange::~load_exchange()
{
    *alive_ = false;
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
    report_again();
    return true;
}

void load_exchange::set_nodes(std::vector<home_candidate> others)
{
    constexpr int ms_per_s = 1'000;
    auto const nodes = static_cast<int>(others.size()) + 1;
    nodes_known_ = others.size() + 1;
    interval_ = std::max(
        shortest_interval_,
        std::chrono::milliseconds(nodes * ms_per_s / reports_per_s));
    homes_.set_nodes(std::move(others));
}

double load_exchange::reach() const
{
    auto const known = static_cast<double>(nodes_known_);
    auto const heard = clock_() - sum_asked_at_ <= sum_tells_reach
                           ? static_cast<double>(std::max(nodes_heard_, 1U))
                           : 1.0;
    return std::min(heard / known, 1.0);
}

void load_exchange::stop()
{
    boost::system::error_code ignored; // nothing is lost with it
    socket_.close(ignored);
    timer_.cancel();
    choose_waiting();
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
    for (auto const& [key, calls] : board_.own_demand())
        to.demand.push_back({key, hundredths(calls)});
    return to;
}

void load_exchange::report_again()
{
    if (!socket_.is_open())
        return;
    report();
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                report_again();
        });
}

/// \return null where this node sums up.
home_candidate const* load_exchange::summing_node(time_point now)
{
    if (!unanswered_.empty() &&
        now - unanswered_.front().sent_at > longest_silence)
    {
        homes_.did_not_answer(asked_node_, now);
        unanswered_.clear();
    }
    auto const* node = homes_.home_of(summing_key, now);
    if (node == nullptr || node->node != asked_node_)
        unanswered_.clear();
    asked_node_ = node == nullptr ? std::string() : node->node;
    return node;
}

/// \return false where the report could not be sent.
bool load_exchange::send(
    home_candidate const& to, std::uint64_t number, load_report const& own)
{
    auto const at = endpoint_of(to.address);
    if (!at)
        return false;
    boost::system::error_code error; // a lost report is followed by others
    socket_.send_to(
        asio::buffer(encode_message(true, self_, number, encode(own))),
        udp::endpoint(at->address(), at->port()), 0, error);
    return !error;
}

/// Reports and asks for the sum.
void load_exchange::report()
{
    auto const now = clock_();
    auto own = own_report();
    auto const* node = summing_node(now);
    summary_.set(self_, own, now);
    changes_to_report_ = false;
    if (node == nullptr)
    {
        apply(summary_.sum(now), own.calls);
        sum_asked_at_ = now;
        return;
    }
    if (!send(*node, ++number_, own))
        return;
    if (unanswered_.size() >= most_unanswered)
        unanswered_.pop_back();
    unanswered_.push_back({number_, now, std::move(own.calls)});
}

void load_exchange::calls_changed()
{
    if (changes_to_report_ || !socket_.is_open())
        return;
    // Several changes of one step of the loop go together.
    changes_to_report_ = true;
    asio::post(
        io_,
        [this, alive = alive_]
        {
            if (*alive && changes_to_report_)
                report_changes();
        });
}

void load_exchange::report_changes()
{
    changes_to_report_ = false;
    if (!socket_.is_open())
        return;
    auto const now = clock_();
    auto const own = own_report();
    summary_.set(self_, own, now);
    if (auto const* node = summing_node(now))
        send(*node, unasked, own);
}

void load_exchange::before_choice(std::function<void()> choose)
{
    auto const now = clock_();
    if (!socket_.is_open() || now - sum_asked_at_ <= new_enough)
    {
        choose();
        return;
    }
    auto const asked =
        !unanswered_.empty() && now - unanswered_.back().sent_at <= just_asked;
    if (!asked)
        report();
    // This node may sum up itself.
    if (clock_() - sum_asked_at_ <= new_enough || unanswered_.empty())
    {
        choose();
        return;
    }
    choices_.push_back(std::move(choose));
    if (choices_.size() > 1)
        return;
    choice_timer_.expires_after(choice_patience);
    choice_timer_.async_wait(
        [this, alive = alive_](boost::system::error_code const& error)
        {
            if (!error && *alive)
                choose_waiting();
        });
}

void load_exchange::choose_waiting()
{
    choice_timer_.cancel();
    auto const waiting = std::move(choices_);
    choices_.clear();
    for (auto const& choose : waiting)
        choose();
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
    {
        if (on_other)
            take_other(bytes);
        return;
    }
    if (message->asks)
    {
        answer(*message);
        return;
    }
    auto const asked = std::find_if(
        unanswered_.begin(), unanswered_.end(),
        [&message](open_report const& one)
        { return one.number == message->number; });
    if (asked == unanswered_.end())
        return;
    auto const one = std::move(*asked);
    // Sums of earlier reports that still come are older than this one.
    unanswered_.erase(unanswered_.begin(), asked + 1);
    homes_.answered(message->node);
    sum_asked_at_ = one.sent_at;
    apply(message->report, one.calls);
    choose_waiting();
}

void load_exchange::take_other(std::string_view bytes)
{
    on_other(
        bytes,
        [this, alive = alive_, to = sender_](std::string const& reply)
        {
            boost::system::error_code ignored; // its sender asks again
            if (*alive && socket_.is_open())
                socket_.send_to(asio::buffer(reply), to, 0, ignored);
        });
}

void load_exchange::send_other(
    std::string const& address, std::string const& bytes)
{
    auto const at = endpoint_of(address);
    boost::system::error_code
        ignored; // whoever waits for its answer asks again
    if (at && socket_.is_open())
    {
        socket_.send_to(
            asio::buffer(bytes), udp::endpoint(at->address(), at->port()), 0,
            ignored);
    }
}

void load_exchange::answer(load_message const& asked)
{
    auto const now = clock_();
    summary_.set(asked.node, asked.report, now);
    if (asked.number == unasked)
        return;
    auto const bytes =
        encode_message(false, self_, asked.number, summary_.encoded_sum(now));
    boost::system::error_code ignored; // a lost answer is asked for again
    socket_.send_to(asio::buffer(bytes), sender_, 0, ignored);
}

void load_exchange::apply(load_report const& sum, engine_counts const& own)
{
    // Nodes of an earlier version don't tell.
    nodes_heard_ =
        sum.nodes > 0 ? sum.nodes : static_cast<std::uint32_t>(nodes_known_);
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
    prompt_demand demand;
    for (auto const& one : sum.demand)
        demand[one.key] = one.calls / hundred;
    board_.set_all_demand(std::move(demand));
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

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

/// Periodic reports per second, beside those for choices, that the load
/// aggregator handles.
constexpr int reports_per_s = 1'500;
/// Maximum age of a sum that an engine choice may use.
constexpr std::chrono::milliseconds max_choice_sum_age{10};
/// Maximum time that an engine choice waits for a sum.
constexpr std::chrono::milliseconds choice_timeout{10};
/// Choices made within this time after a report share the sum that answers it.
constexpr std::chrono::milliseconds sum_request_sharing_time{2};
/// Maximum age of a sum that determines the reachable share. Longer than the
/// time until another node becomes load aggregator.
constexpr std::chrono::milliseconds max_reachable_share_age{600};
/// Time without an answer after which another node becomes load aggregator.
constexpr std::chrono::milliseconds aggregator_timeout{400};
/// Maximum number of reports kept while they wait for answers.
constexpr std::size_t max_pending_reports = 64;
/// Message number of a report that expects no answer.
constexpr std::uint64_t no_answer_number = 0;
constexpr double units_per_call = 100;

std::uint32_t to_hundredths(double count)
{
    return static_cast<std::uint32_t>(std::lround(count * units_per_call));
}

/// Key whose coordinator is the load aggregator.
constexpr char const* aggregator_key = "load-summary";

coordinator_options aggregator_options(double own_capacity_weight)
{
    coordinator_options options;
    options.own_capacity_weight = own_capacity_weight;
    options.capacity_exponent = single_duty_exponent;
    return options;
}

} // namespace

load_exchange::load_exchange(
    asio::io_context& io, engine_balancer& balancer, clock_fn clock,
    std::string self, double own_capacity_weight,
    std::chrono::milliseconds interval)
    : speeds{
          [&balancer] { return balancer.own_machine_figures(); },
          [&balancer] { return balancer.own_speed_samples(); },
          [&balancer](std::vector<machine_figure> const& figures)
          { balancer.set_cluster_machine_figures(figures); },
          [&balancer](std::vector<speed_sample> const& samples)
          { balancer.set_cluster_speeds(samples); }},
      balancer_(balancer), clock_(std::move(clock)), self_(self),
      coordinators_(std::move(self), aggregator_options(own_capacity_weight)),
      io_(io), socket_(io), timer_(io), choice_timer_(io),
      shortest_interval_(interval), interval_(interval)
{
}

load_exchange::~load_exchange()
{
    *alive_ = false;
}

bool load_exchange::listen(std::string const& address)
{
    auto const endpoint = endpoint_of(address);
    boost::system::error_code error;
    if (!endpoint)
        return false;
    socket_.open(udp::v4(), error);
    if (!error)
        socket_.bind(
            udp::endpoint(endpoint->address(), endpoint->port()), error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        return false;
    // Keeps what arrives while the process stands still; the system may grant
    // less.
    constexpr int receive_buffer_bytes = 4'194'304;
    boost::system::error_code ignored;
    socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes),
        ignored);
    receive();
    report_periodically();
    return true;
}

void load_exchange::set_nodes(std::vector<coordinator_candidate> others)
{
    constexpr int ms_per_s = 1'000;
    auto const nodes = static_cast<int>(others.size()) + 1;
    known_nodes_ = others.size() + 1;
    interval_ = std::max(
        shortest_interval_,
        std::chrono::milliseconds(nodes * ms_per_s / reports_per_s));
    coordinators_.set_nodes(std::move(others));
}

double load_exchange::reachable_share() const
{
    auto const known = static_cast<double>(known_nodes_);
    auto const heard = clock_() - sum_requested_at_ <= max_reachable_share_age
                           ? static_cast<double>(std::max(reporting_nodes_, 1U))
                           : 1.0;
    return std::min(heard / known, 1.0);
}

void load_exchange::stop()
{
    boost::system::error_code ignored; // the socket is closed either way
    socket_.close(ignored);
    timer_.cancel();
    run_waiting_choices();
}

/// Contains machine figures and speeds only where they are due: the report must
/// be passed to the load aggregator.
load_report load_exchange::own_report(time_point now)
{
    load_report own;
    for (auto const& [engine, calls] : balancer_.own_calls())
        own.calls.emplace_back(short_key(engine), calls);
    for (auto const& [engine, outcomes] : balancer_.own_outcomes())
    {
        own.outcomes.push_back(
            {short_key(engine), to_hundredths(outcomes.failed),
             to_hundredths(outcomes.answered)});
    }
    for (auto const& [key, calls] : balancer_.own_demand())
        own.demand.push_back({key, to_hundredths(calls)});
    if (speed_reports_.due(now))
    {
        own.speeds =
            speed_reports_.next(speeds.own_figures(), speeds.own_speeds(), now);
    }
    return own;
}

void load_exchange::report_periodically()
{
    if (!socket_.is_open())
        return;
    report();
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                report_periodically();
        });
}

/// \return null if this node is the load aggregator.
coordinator_candidate const* load_exchange::find_aggregator(time_point now)
{
    if (!pending_reports_.empty() &&
        now - pending_reports_.front().sent_at > aggregator_timeout)
    {
        coordinators_.mark_unresponsive(aggregator_name_, now);
        pending_reports_.clear();
    }
    auto const* node = coordinators_.coordinator_of(aggregator_key, now);
    if (node == nullptr || node->node != aggregator_name_)
        pending_reports_.clear();
    auto name = node == nullptr ? std::string() : node->node;
    if (name != aggregator_name_)
        speed_reports_.repeat_figures();
    aggregator_name_ = std::move(name);
    return node;
}

/// \return false if the report could not be sent.
bool load_exchange::send(
    coordinator_candidate const& to, std::uint64_t number,
    load_report const& own)
{
    auto const endpoint = endpoint_of(to.address);
    if (!endpoint)
        return false;
    boost::system::error_code error; // later reports replace a lost one
    socket_.send_to(
        asio::buffer(encode({true, self_, number, own})),
        udp::endpoint(endpoint->address(), endpoint->port()), 0, error);
    return !error;
}

/// Reports this node's calls and requests the sum.
void load_exchange::report()
{
    auto const now = clock_();
    auto const* node = find_aggregator(now);
    auto own = own_report(now);
    summary_.set(self_, own, now);
    changes_to_report_ = false;
    if (node == nullptr)
    {
        apply_sum(summary_.sum(now), own.calls);
        apply_speeds(summary_.speeds.next_for(self_, now));
        sum_requested_at_ = now;
        return;
    }
    if (!send(*node, ++number_, own))
        return;
    if (pending_reports_.size() >= max_pending_reports)
        pending_reports_.pop_back();
    pending_reports_.push_back({number_, now, std::move(own.calls)});
}

void load_exchange::calls_changed()
{
    if (changes_to_report_ || !socket_.is_open())
        return;
    // Changes made in the same event loop iteration share one report.
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
    auto const* node = find_aggregator(now);
    auto const own = own_report(now);
    summary_.set(self_, own, now);
    if (node != nullptr)
        send(*node, no_answer_number, own);
}

void load_exchange::before_choice(std::function<void()> choose)
{
    auto const now = clock_();
    if (!socket_.is_open() || now - sum_requested_at_ <= max_choice_sum_age)
    {
        choose();
        return;
    }
    auto const recently_requested =
        !pending_reports_.empty() &&
        now - pending_reports_.back().sent_at <= sum_request_sharing_time;
    if (!recently_requested)
        report();
    // The sum is already known if this node is the load aggregator.
    if (clock_() - sum_requested_at_ <= max_choice_sum_age ||
        pending_reports_.empty())
    {
        choose();
        return;
    }
    waiting_choices_.push_back(std::move(choose));
    if (waiting_choices_.size() > 1)
        return;
    choice_timer_.expires_after(choice_timeout);
    choice_timer_.async_wait(
        [this, alive = alive_](boost::system::error_code const& error)
        {
            if (!error && *alive)
                run_waiting_choices();
        });
}

void load_exchange::run_waiting_choices()
{
    choice_timer_.cancel();
    auto const waiting = std::move(waiting_choices_);
    waiting_choices_.clear();
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
                handle_datagram({buffer_.data(), size});
            receive();
        });
}

void load_exchange::handle_datagram(std::string_view bytes)
{
    auto const message = decode_load_message(bytes);
    if (!message)
    {
        if (on_other_datagram)
            handle_other_datagram(bytes);
        return;
    }
    if (message->is_report)
    {
        answer(*message);
        return;
    }
    auto const pending = std::find_if(
        pending_reports_.begin(), pending_reports_.end(),
        [&message](pending_report const& one)
        { return one.number == message->number; });
    if (pending == pending_reports_.end())
        return;
    auto const answered = std::move(*pending);
    // Answers to earlier reports that arrive later hold older sums.
    pending_reports_.erase(pending_reports_.begin(), pending + 1);
    coordinators_.answered(message->node);
    sum_requested_at_ = answered.sent_at;
    apply_sum(message->report, answered.calls);
    auto const& sum = message->report.speeds;
    apply_speeds(sum);
    // If this node becomes load aggregator, its sums start from these figures.
    if (sum.figures)
        summary_.speeds.add_figures(*sum.figures, clock_());
    run_waiting_choices();
}

void load_exchange::handle_other_datagram(std::string_view bytes)
{
    on_other_datagram(
        bytes,
        sender_.address().to_string() + ":" + std::to_string(sender_.port()),
        [this, alive = alive_, to = sender_](std::string const& reply)
        {
            boost::system::error_code ignored; // the requester retries
            if (*alive && socket_.is_open())
                socket_.send_to(asio::buffer(reply), to, 0, ignored);
        });
}

void load_exchange::send_other_datagram(
    std::string const& address, std::string const& bytes)
{
    auto const endpoint = endpoint_of(address);
    boost::system::error_code ignored; // the requester retries
    if (endpoint && socket_.is_open())
    {
        socket_.send_to(
            asio::buffer(bytes),
            udp::endpoint(endpoint->address(), endpoint->port()), 0, ignored);
    }
}

void load_exchange::answer(load_message const& request)
{
    auto const now = clock_();
    summary_.set(request.node, request.report, now);
    if (request.number == no_answer_number)
        return;
    auto const bytes = encode_message(
        false, self_, request.number, summary_.encoded_sum(now),
        encode(summary_.speeds.next_for(request.node, now)));
    boost::system::error_code ignored; // the requester retries
    socket_.send_to(asio::buffer(bytes), sender_, 0, ignored);
}

void load_exchange::apply_speeds(speed_report const& sum) const
{
    // A sum without figures leaves those of an earlier sum in force until they
    // expire: the load aggregator sends them once in figure_interval only.
    if (sum.figures)
        speeds.set_figures(*sum.figures);
    if (!sum.speeds.empty())
        speeds.set_speeds(sum.speeds);
}

void load_exchange::apply_sum(load_report const& sum, engine_counts const& own)
{
    // Nodes of an earlier version don't report the number of nodes.
    reporting_nodes_ =
        sum.nodes > 0 ? sum.nodes : static_cast<std::uint32_t>(known_nodes_);
    std::unordered_map<std::uint32_t, std::uint32_t> peer_calls(
        sum.calls.begin(), sum.calls.end());
    for (auto const& [key, calls] : own)
    {
        auto& all = peer_calls[key];
        all -= std::min(all, calls);
    }
    balancer_.set_peer_loads(
        [&](target_name const& engine)
        {
            auto const found = peer_calls.find(short_key(engine));
            return found == peer_calls.end() ? 0U : found->second;
        });
    prompt_demand demand;
    for (auto const& one : sum.demand)
        demand[one.key] = one.calls / units_per_call;
    balancer_.set_cluster_demand(std::move(demand));
    if (sum.outcomes.empty())
        return;
    std::unordered_map<std::uint32_t, recent_outcomes> outcomes;
    for (auto const& one : sum.outcomes)
        outcomes[one.engine] = {
            one.failed / units_per_call, one.answered / units_per_call};
    auto const ejected = balancer_.set_cluster_outcomes(
        [&](target_name const& engine)
        {
            auto const found = outcomes.find(short_key(engine));
            return found == outcomes.end() ? recent_outcomes() : found->second;
        });
    for (auto const& [engine, recent] : ejected)
    {
        if (on_ejection)
            on_ejection(engine, recent);
    }
}

} // namespace walnutmill

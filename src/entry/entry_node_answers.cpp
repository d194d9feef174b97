/// \file
/// Answers that an entry node produces itself: to callers whose requests cannot
/// be parsed, to health checks of the load balancer, to metrics scrapes, and to
/// other nodes.

#include "entry/entry_node.hpp"

#include "entry/byte_limits.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// Readiness timeout since the last read of the store, directly or through
/// other nodes. Such a node cannot start programs, so the load balancer should
/// use others.
constexpr milliseconds not_ready_after{3'500};

/// Interval of reports to another node while the reply to its call arrives.
constexpr milliseconds progress_report_interval{50};

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int status_bad_request = 400;

std::string text_answer(int status, std::string text, bool close)
{
    platform::local_answer answer;
    answer.status = status;
    answer.message = std::move(text);
    return platform::encode_local_answer(answer, close);
}

void send_text(
    std::shared_ptr<caller_link> const& link, int status, std::string text)
{
    link->write(text_answer(status, std::move(text), link->begin_answer()));
    link->finish_answer();
}

} // namespace

caller_link::hooks entry_node::caller_hooks()
{
    caller_link::hooks to;
    to.on_request = [this](link_ptr const& link, request_type&& request) {
        std::make_shared<call_flow>(services_, link, std::move(request))
            ->start();
    };
    to.refuse = [this](int status, std::string_view why)
    {
        log_.write(
            log_priority::important, "request.unreadable",
            {{"status", status}, {"why", why}});
        return text_answer(status, std::string(why), true);
    };
    to.limits = [this] { return limits_for_callers(); };
    to.is_stopping = [this] { return services_.stopping; };
    to.on_end = [this](caller_link* link) { caller_links_.erase(link); };
    to.on_unanswered = [this](std::size_t bytes, std::string_view why)
    { report_unanswered("callers", bytes, why); };
    // Deferred, because the call that writes goes on.
    to.on_backlog = [this]
    {
        if (!std::exchange(checks_unsent_answers_, true))
            boost::asio::post(io_, [this] { limit_unsent_answers(); });
    };
    return to;
}

/// Bounds the memory for callers that read slowly or not at all. The longest
/// unsent answer gives way, so that those of other callers do not.
void entry_node::limit_unsent_answers()
{
    checks_unsent_answers_ = false;
    std::size_t unsent = 0;
    for (auto const* link : caller_links_)
        unsent += link->unsent();
    while (unsent > max_unsent_answer_bytes)
    {
        auto* const longest = *std::max_element(
            caller_links_.begin(), caller_links_.end(),
            [](caller_link const* a, caller_link const* b)
            { return a->unsent() < b->unsent(); });
        unsent -= longest->unsent();
        longest->drop_unread("no room for unsent answers");
    }
}

caller_limits entry_node::limits_for_callers() const
{
    auto limits = services_.table ? services_.table->limits : caller_limits();
    limits.idle_timeout =
        former_idle_timeouts_.longest(limits.idle_timeout, clock_());
    return limits;
}

caller_link::hooks entry_node::service_hooks(
    std::function<void(link_ptr const&, request_type const&)> answer)
{
    caller_link::hooks to;
    to.on_request = [answer = std::move(answer)](
                        link_ptr const& link, request_type&& request)
    { answer(link, request); };
    to.refuse = [](int status, std::string_view why)
    { return text_answer(status, std::string(why), true); };
    to.limits = [] { return caller_limits(); };
    to.on_end = [this](caller_link* link) { service_links_.erase(link); };
    to.is_stopping = [this] { return services_.stopping; };
    to.on_unanswered = [this](std::size_t bytes, std::string_view why)
    { report_unanswered("services", bytes, why); };
    return to;
}

void entry_node::report_unanswered(
    std::string_view listener, std::size_t bytes, std::string_view why)
{
    log_.write(
        log_priority::important, "request.unanswered",
        {{"listener", listener}, {"bytes", bytes}, {"why", why}});
    counters_.count(
        "walnutmill_unanswered_bytes_total{why=\"" + std::string(why) + "\"}",
        bytes);
}

bool entry_node::ready() const
{
    // Engines are read separately from the configuration. Until they are known,
    // each call would be refused for lack of an engine. The same holds for the
    // versions at which streams may begin.
    return services_.table && view_.has_read_engines() &&
           versions_.has_registered() && !services_.stopping &&
           clock_() - view_.last_read() < not_ready_after;
}

void entry_node::answer_ready(link_ptr const& link)
{
    auto const is_ready = ready();
    send_text(
        link, is_ready ? status_ok : status_unavailable,
        is_ready             ? "ready"
        : services_.stopping ? "stopping"
                             : "not in touch with the store");
}

void entry_node::answer_metrics(link_ptr const& link)
{
    counters_.gauge(
        "walnutmill_calls_under_way",
        static_cast<double>(services_.calls_in_flight));
    counters_.gauge(
        "walnutmill_calls_awaiting_store",
        static_cast<double>(awaiting_store_.size()));
    counters_.gauge(
        "walnutmill_nodes_known", static_cast<double>(services_.nodes));
    counters_.gauge(
        "walnutmill_programs_known", static_cast<double>(ledger_.programs()));
    counters_.gauge(
        "walnutmill_usable_leases", static_cast<double>(leases_.usable()));
    counters_.gauge(
        "walnutmill_stream_origins", static_cast<double>(origins_.size()));
    gauge_crashes();
    counters_.gauge(
        "walnutmill_turn_cache_bytes",
        static_cast<double>(history_.cached_bytes()));
    counters_.gauge(
        "walnutmill_log_lines_dropped", static_cast<double>(log_.dropped()));
    counters_.gauge(
        "walnutmill_configuration_bytes",
        static_cast<double>(view_.configuration_bytes()));
    if (auto const age = view_.configuration_age(); age != duration::max())
    {
        counters_.gauge(
            "walnutmill_configuration_current_age_seconds",
            std::chrono::duration<double>(age).count());
    }
    send_text(
        link, status_ok,
        counters_.prometheus_text() + services_.accounting->prometheus_text());
}

/// Writes once in an interval who waited and who was refused, unless nothing
/// was refused or late.
void entry_node::log_load_summary()
{
    if (!services_.accounting->end_interval())
        return;
    load_accounting::service_loads loads;
    if (services_.table)
    {
        for (auto const& one : services_.table->services)
        {
            if (auto const load = balancer_.pressure(one.name))
                loads.emplace_back(one.name.str(), *load);
        }
    }
    log_.write(
        log_priority::important, "load.summary",
        services_.accounting->summary(std::move(loads)));
}

void entry_node::answer_peer(link_ptr const& link, request_type const& request)
{
    std::string_view const target(
        request.target().data(), request.target().size());
    auto const reply = [link](int status, std::string body)
    { send_text(link, status, std::move(body)); };
    if (budget_service::is_request(target))
        budgets_.serve(target, request.body(), reply);
    else if (history_exchange::is_request(target))
        peer_history_.serve(target, request.body(), reply);
    else if (section_client::is_request(target))
        answer_sections(link, request);
    else
        relay_store_call(link, request);
}

void entry_node::answer_sections(
    link_ptr const& link, request_type const& request)
{
    auto answer = view_.serve(request.body());
    send_text(
        link, answer ? status_ok : status_unavailable,
        answer ? std::move(*answer) : std::string("nothing was read yet"));
}

void entry_node::relay_store_call(
    link_ptr const& link, request_type const& request)
{
    platform::store_request call;
    call.method = std::string(request.method_string());
    call.target = std::string(request.target());
    call.body = request.body();
    store_.relay_request(
        call,
        [this, link, reported_at = clock_()]() mutable
        {
            if (clock_() - reported_at < progress_report_interval)
                return;
            reported_at = clock_();
            link->write(platform::progress_report());
        },
        [link](platform::store_reply const& reply)
        {
            if (reply.status == 0)
            {
                link->abort();
                return;
            }
            send_text(link, reply.status, reply.body);
        });
}

} // namespace walnutmill

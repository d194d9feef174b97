#include "slow_link_cluster.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace testing
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr double bytes_per_mbit = 125'000;
constexpr double strong_mbit_per_s = 600;
constexpr double weak_mbit_per_s = 30;
constexpr double store_mbit_per_s = 4'000;
constexpr double strong_cores = 0.5;
constexpr double weak_cores = 0.12;
constexpr milliseconds store_service_time{4};
constexpr milliseconds check_interval{20};
constexpr milliseconds engine_change_interval{100};
constexpr milliseconds progress_interval{20};
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

/// Time on a whole core: of a handler, of each byte of an answer that a node
/// receives or sends, and of each byte of a configuration that it decodes, as
/// its first one or after others.
constexpr std::chrono::microseconds handler_cost{50};
constexpr double received_byte_ns = 9.5;
constexpr double sent_byte_ns = 3;
constexpr double first_decoded_byte_ns = 46;
constexpr double decoded_byte_ns = 19;

constexpr std::string_view store_address = "store";
constexpr std::string_view head_end = "\r\n\r\n";

duration cost_of(std::size_t bytes, double ns_per_byte)
{
    constexpr double ns_per_us = 1'000;
    return handler_cost +
           duration(static_cast<duration::rep>(
               static_cast<double>(bytes) * ns_per_byte / ns_per_us));
}

/// \return the second word of a request: its target
std::string target_of(std::string const& call)
{
    auto const from = call.find(' ') + 1;
    return call.substr(from, call.find(' ', from) - from);
}

std::string body_of(std::string const& call)
{
    return call.substr(call.find(head_end) + head_end.size());
}

json route_of(std::string const& name, std::string const& service)
{
    return {
        {"name", "r-" + name},
        {"host", name + ".example"},
        {"prefix", "/" + name + "/"},
        {"kind", "safe"},
        {"timeout_ms", 3'000},
        {"target_latency_ms", 200},
        {"priority", 2},
        {"service", service},
        {"max_attempts", 1},
        {"public", false},
        {"sticky", false}};
}

std::string random_text(random_fn const& random, std::size_t size)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string text;
    for (std::size_t i = 0; i < size; ++i)
        text += letters[static_cast<std::size_t>(
            random() * static_cast<double>(letters.size()))];
    return text;
}

} // namespace

slow_link_cluster::slow_link_cluster(slow_link_cluster_options options)
    : options_(options), random_(seeded_random(options.seed))
{
    store_ = network_.add({store_mbit_per_s * bytes_per_mbit, 1});
    for (std::size_t i = 0; i < options_.workspaces; ++i)
    {
        workspaces_ += (i == 0 ? "" : ",");
        workspaces_ += json{
            {"name", random_text(random_, 7)},
            {"api_keys", {random_text(random_, 20), random_text(random_, 20)}},
            {"priority", 1},
            {"rate_per_s", 332},
            {"burst", 332}}.dump();
    }
    grow_configuration(options_.routes);
    change_engine();
    for (std::size_t i = 0; i < options_.strong_nodes + options_.weak_nodes;
         ++i)
        add_node(i);
    check();
}

void slow_link_cluster::add_node(std::size_t index)
{
    nodes_.push_back(std::make_unique<node>());
    auto& one = *nodes_.back();
    auto const strong = index < options_.strong_nodes;
    auto const cores = strong ? strong_cores : weak_cores;
    one.name = "node-" + std::to_string(index);
    one.machine = network_.add(
        {(strong ? strong_mbit_per_s : weak_mbit_per_s) * bytes_per_mbit,
         cores});
    one.log = std::make_unique<line_log>(
        one.name, network_.clock(),
        [](std::string_view bytes) { return bytes.size(); }, log_limits());
    store_client::hooks store_hooks;
    store_hooks.on_change = [this](bool reachable, std::string_view)
    { store_losses_ += reachable ? 0 : 1; };
    store_hooks.on_recovery = [&one] { one.view->refresh(); };
    auto const seed = options_.seed * 1'000 + static_cast<unsigned>(index);
    one.store = std::make_unique<store_client>(
        runtime_of(index), std::string(store_address), seeded_random(seed),
        store_hooks);
    one.sections = std::make_unique<section_client>(
        runtime_of(index), *one.log,
        platform_view::query_response_limit(options_.interval));
    one.view = std::make_unique<platform_view>(
        one.store->calls(store_client::unavailable_policy::retry_until_timeout),
        network_.clock(), seeded_random(seed + 500), *one.log,
        entry_member{one.name, one.name, "z1", one.name + ".1", cores},
        options_.interval, hooks_of(index));
    one.view->start();
}

exchange_runtime slow_link_cluster::runtime_of(std::size_t index)
{
    exchange_runtime to;
    to.clock = network_.clock();
    to.schedule_after =
        [this, index](duration after, std::function<void()> what)
    {
        network_.after(
            after, [this, index, what = std::move(what)]
            { network_.compute(nodes_[index]->machine, handler_cost, what); });
    };
    to.exchange =
        [this, index](
            exchange_request request, std::function<void(exchange_reply)> done)
    { exchange(index, std::move(request), std::move(done)); };
    return to;
}

platform_view::hooks slow_link_cluster::hooks_of(std::size_t index)
{
    auto& one = *nodes_[index];
    platform_view::hooks to;
    to.on_configuration =
        [this, &one](std::shared_ptr<routing_table const> const& table)
    {
        network_.compute(
            one.machine,
            cost_of(
                document_bytes_, one.configuration == 0 ? first_decoded_byte_ns
                                                        : decoded_byte_ns),
            [&one, version = table->version]
            { one.configuration = std::max(one.configuration, version); });
    };
    to.on_engines = [&one](std::vector<engine_entry> const& engines)
    {
        if (!engines.empty())
            one.engines = engines.front().slots;
    };
    to.on_members = [this, &one](std::vector<entry_member> const& members)
    {
        std::vector<std::string> relays;
        relays.reserve(members.size());
        for (auto const& each : members)
            relays.push_back(each.address);
        one.store->set_relays(std::move(relays));
    };
    to.schedule_after = runtime_of(index).schedule_after;
    to.ask = [&one](
                 std::string const& address, std::string const& query,
                 platform_view::peer_answer_fn const& done)
    { one.sections->ask(address, query, done); };
    return to;
}

/// An exchange of a node.
struct slow_link_cluster::pending_exchange
{
    machine_id on = 0;
    machine_id server = 0;
    exchange_request request;
    exchange_watch watch;
    std::function<void(exchange_reply)> done;
    simulated_network::transfer_id answer = 0;
    /// The answer has arrived and waits for the processor.
    bool delivered = false;
    bool ended = false;
};

void slow_link_cluster::exchange(
    std::size_t index, exchange_request request,
    std::function<void(exchange_reply)> done)
{
    auto const found = std::find_if(
        nodes_.begin(), nodes_.end(),
        [&](auto const& one) { return one->name == request.address; });
    auto* const at = found == nodes_.end() ? nullptr : found->get();
    auto const call = std::make_shared<pending_exchange>(pending_exchange{
        nodes_[index]->machine, at == nullptr ? store_ : at->machine, request,
        exchange_watch(request.limits, network_.now()), std::move(done)});
    await_progress(call);
    network_.send(
        call->on, call->server, request.bytes.size(),
        [this, index, call, at]
        {
            call->watch.on_sent(network_.now());
            auto const reply = [this, call](int status, std::string body)
            { send_answer(call, status, std::move(body)); };
            if (at == nullptr && nodes_[index]->turned_away)
                reply(status_unavailable, {});
            else if (at == nullptr)
                serve_at_store(call->request.bytes, reply);
            else
                serve_at_node(*at, call, reply);
        });
}

void slow_link_cluster::send_answer(
    pending_ptr const& call, int status, std::string body)
{
    if (call->ended)
        return;
    auto const size = body.size();
    if (call->server == store_)
        store_bytes_ += size;
    call->answer = network_.send(
        call->server, call->on, size,
        [this, call, status, body = std::move(body)]
        {
            call->delivered = true;
            network_.compute(
                call->on, cost_of(body.size(), received_byte_ns),
                [call, status, body]
                {
                    if (std::exchange(call->ended, true))
                        return;
                    call->done(
                        {true, true, status, body, call->watch.latency()});
                });
        });
    report_progress(call);
}

/// Tells of an answer that arrives, as long as it does.
void slow_link_cluster::report_progress(pending_ptr const& call)
{
    network_.after(
        progress_interval,
        [this, call]
        {
            if (call->ended ||
                !(call->delivered || network_.in_progress(call->answer)))
                return;
            call->watch.on_received(network_.now());
            if (call->request.on_progress)
                call->request.on_progress();
            report_progress(call);
        });
}

void slow_link_cluster::await_progress(pending_ptr const& call)
{
    network_.after(
        std::max(call->watch.expiry() - network_.now(), duration(0)),
        [this, call]
        {
            network_.compute(
                call->on, duration(0),
                [this, call]
                {
                    if (call->ended)
                        return;
                    if (network_.now() < call->watch.expiry())
                    {
                        await_progress(call);
                        return;
                    }
                    call->ended = true;
                    exchange_reply lost;
                    lost.sent = true;
                    lost.body.resize(network_.cancel(call->answer));
                    lost.status = lost.body.empty() ? 0 : status_ok;
                    call->done(std::move(lost));
                });
        });
}

void slow_link_cluster::serve_at_store(
    std::string const& call, reply_fn const& reply)
{
    auto const answer = rows_.respond(target_of(call), body_of(call));
    network_.after(
        store_service_time, [reply, status = answer.status, body = answer.body]
        { reply(status, body); });
}

void slow_link_cluster::serve_at_node(
    node& at, pending_ptr const& asked, reply_fn reply)
{
    auto const& call = asked->request.bytes;
    auto const target = target_of(call);
    if (!section_client::is_request(target))
    {
        at.store->relay_request(
            {call.substr(0, call.find(' ')), target, body_of(call)},
            [this, asked] { asked->watch.on_received(network_.now()); },
            [reply = std::move(reply)](platform::store_reply const& answer)
            { reply(answer.status, answer.body); });
        return;
    }
    network_.compute(
        at.machine, handler_cost,
        [this, &at, query = body_of(call), reply = std::move(reply)]
        {
            auto answer = at.view->serve(query);
            auto const size = answer ? answer->size() : 0;
            network_.compute(
                at.machine, cost_of(size, sent_byte_ns),
                [reply, answer = std::move(answer)]
                {
                    reply(
                        answer ? status_ok : status_unavailable,
                        answer.value_or(std::string()));
                });
        });
}

void slow_link_cluster::grow_configuration(std::size_t routes)
{
    constexpr std::size_t name_size = 7;
    for (std::size_t i = 0; i < routes; ++i)
    {
        routes_ +=
            route_of(random_text(random_, name_size), "desk-apps").dump();
        routes_ += ",";
    }
    change_configuration();
}

void slow_link_cluster::change_configuration()
{
    configurations_.push_back(
        {configurations_.empty() ? 1 : configurations_.back().number + 1,
         network_.now()});
    write_configuration();
}

void slow_link_cluster::write_configuration()
{
    auto const number = configurations_.back().number;
    auto const service = number % 2 == 0 ? "desk-apps" : "findaid-llm";
    auto const document = R"({"version":)" + std::to_string(number) +
                          R"(,"routes":[)" + routes_ +
                          route_of("moved", service).dump() +
                          R"(],"services":[{"name":"desk-apps"},)"
                          R"({"name":"findaid-llm"}],"tenants":[)" +
                          workspaces_ + "]}";
    document_bytes_ = document.size();
    rows_.put("op", "config", document);
}

void slow_link_cluster::change_engine()
{
    auto const number = engines_.empty() ? 1 : engines_.back().number + 1;
    engines_.push_back({number, network_.now()});
    json const engine{{"service", "desk-apps"}, {"addr", "10.0.0.9:80"},
                      {"zone", "z1"},           {"slots", number},
                      {"state", "ready"},       {"born", 1'700'000'000'000}};
    rows_.put("servers", "e1", engine.dump());
    network_.after(engine_change_interval, [this] { change_engine(); });
}

void slow_link_cluster::start_measuring()
{
    worst_configuration_ = {};
    worst_engines_ = {};
    store_bytes_ = 0;
}

void slow_link_cluster::check()
{
    for (auto const& one : nodes_)
    {
        worst_configuration_ = std::max(
            worst_configuration_,
            staleness_of(configurations_, one->configuration));
        worst_engines_ =
            std::max(worst_engines_, staleness_of(engines_, one->engines));
    }
    network_.after(check_interval, [this] { check(); });
}

duration slow_link_cluster::staleness_of(
    std::deque<change> const& changes, std::uint64_t known) const
{
    auto const missing = std::find_if(
        changes.begin(), changes.end(),
        [known](change const& each) { return each.number > known; });
    return missing == changes.end() ? duration(0)
                                    : network_.now() - missing->at;
}

} // namespace testing
} // namespace walnutmill

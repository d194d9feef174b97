/// \file
/// Tests single calls in one event loop: what each of them waits for is held
/// back until the test releases it, and what it depends on changes meanwhile.

#include "entry/call_flow.hpp"

#include "entry_world.hpp"
#include "fake_store.hpp"

#include "entry/load_summary.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A caller on the event loop of the calls.
class loop_caller
{
public:
    loop_caller(asio::io_context& io, tcp::endpoint const& to) : socket_(io)
    {
        socket_.connect(to);
        read();
    }

    void send(std::string const& bytes)
    {
        asio::write(socket_, asio::buffer(bytes));
    }
    void close() { socket_.close(); }
    std::string const& received() const { return received_; }
    bool closed() const { return closed_; }
    /// \return the status received; 0 without one
    int status() const
    {
        constexpr std::size_t status_at = 9;
        return received_.size() < status_at + 3
                   ? 0
                   : std::stoi(received_.substr(status_at, 3));
    }
    /// \return true if a stream or an answer with a length is complete
    bool whole() const
    {
        auto const head = received_.find("\r\n\r\n");
        if (head == std::string::npos)
            return false;
        if (received_.find("chunked") < head)
            return received_.find("\r\n0\r\n\r\n", head) != std::string::npos;
        constexpr std::string_view field = "Content-Length: ";
        auto const length = received_.find(field);
        return length < head &&
               received_.size() - head - 4 ==
                   std::stoul(received_.substr(length + field.size()));
    }

private:
    void read()
    {
        socket_.async_read_some(
            asio::buffer(chunk_),
            [this](boost::system::error_code const& error, std::size_t size)
            {
                if (error == asio::error::operation_aborted)
                    return;
                received_.append(chunk_.data(), size);
                closed_ = bool(error);
                if (!error)
                    read();
            });
    }

    tcp::socket socket_;
    std::array<char, 4'096> chunk_{};
    std::string received_;
    bool closed_ = false;
};

/// A model engine or plain service that answers once the test lets it.
struct held_target
{
    standin_target target;
    std::atomic<bool> silent{false};
    std::atomic<bool> sends_first_event{false};

    /// \param breaks number of requests whose connection the targets close
    held_target(std::string const& id, std::atomic<int>& breaks)
        : target(id), breaks_(breaks)
    {
        target.set_handler(
            [this](link_ptr const& link, http_request const& request)
            { return handle(link, request); });
    }

    bool handle(link_ptr const& link, http_request const& request)
    {
        if (breaks_ > 0)
        {
            --breaks_;
            standin_target::cut(link);
            return true;
        }
        if (!silent)
            return false;
        if (sends_first_event)
        {
            link->write(standin_target::stream(
                std::string(request["Request-Id"]), 1, 1, false));
        }
        std::lock_guard<std::mutex> const lock(mutex_);
        held_.emplace_back(link, request);
        return true;
    }

    void release()
    {
        silent = false;
        target.server().later(
            milliseconds(0),
            [this]
            {
                std::lock_guard<std::mutex> const lock(mutex_);
                for (auto const& [link, request] : held_)
                    answer(link, request);
                held_.clear();
            });
    }

private:
    void answer(link_ptr const& link, http_request const& request) const
    {
        std::string const id(request["Request-Id"]);
        auto const streams = request.target().find("/turns/") == 0 ||
                             request.target().find("/kept/") == 0;
        auto const whole = standin_target::stream(id, 1, 3, true);
        auto const begun = standin_target::stream(id, 1, 1, false);
        link->write(
            !streams
                ? standin_target::answer(
                      200, "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
                      "done")
            : sends_first_event ? whole.substr(begun.size())
                                : whole);
        link->finish_answer();
    }

    std::atomic<int>& breaks_;
    std::mutex mutex_;
    std::vector<std::pair<link_ptr, http_request>> held_;
};

struct call_flow_fixture
{
    asio::io_context io;
    clock_fn clock = monotonic_clock();
    fake_store store;
    bool store_answers = true;
    std::string lines;
    metrics counters;
    std::atomic<int> breaks{0};
    held_target engine_a{"ia", breaks};
    held_target engine_b{"ib", breaks};
    held_target service_a{"da", breaks};
    held_target service_b{"db", breaks};
    engine_balancer balancer{zone_name("z1"), clock, seeded_random(1)};
    engine_links links{io};
    program_ledger ledger{store.calls(), clock, "n.1"};
    budget_service budgets{io, ledger, clock, "n", "n.1"};
    /// Reads of histories fail, while budgets are still read.
    bool histories_lost = false;
    turn_history history{history_store()};
    line_log log{
        "n", clock,
        [this](std::string_view bytes)
        {
            lines.append(bytes);
            return bytes.size();
        },
        log_limits()};
    std::vector<std::function<void()>> held;
    std::vector<std::string> sent_datagrams;
    quota_exchange quotas{clock, "n", 1, {}, quota_hooks()};
    crash_exchange crashes{
        clock, seeded_random(2), crash_hooks(), short_patience()};
    origin_exchange origins{clock, "n", "z1", origin_hooks()};
    version_register versions{store.calls(), clock, seeded_random(3), {}};
    duration store_lost_for{0};
    store_waiters awaiting_store{clock, store_wait_hooks()};
    entry_services services{
        io,
        clock,
        seeded_random(4),
        balancer,
        links,
        budgets,
        history,
        log,
        counters,
        patient_stalls(),
        retry_budget(),
        active_ranks(),
        nullptr,
        1,
        false,
        std::nullopt,
        0,
        {},
        {}};
    tcp::acceptor acceptor{
        io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    /// Lets go of each call instead of starting it.
    bool loses_calls = false;
    int accepted_calls = 0;
    std::unique_ptr<loop_caller> caller;

    call_flow_fixture()
    {
        budgets.set_nodes({});
        services.table = std::make_shared<routing_table>(table());
        services.versions = &versions;
        set_engines(1);
        accept();
    }

    ~call_flow_fixture() { services.calls->is_closed = true; }

    static stall_options patient_stalls()
    {
        stall_options to;
        to.min_timeout = seconds(20);
        return to;
    }

    static crash_exchange_options short_patience()
    {
        crash_exchange_options to;
        to.answer_patience = milliseconds(200);
        return to;
    }

    template<class Hooks>
    Hooks datagram_hooks()
    {
        Hooks to;
        to.send = [this](std::string const&, std::string bytes)
        { sent_datagrams.push_back(std::move(bytes)); };
        to.schedule_after = [this](duration after, std::function<void()> what)
        { schedule(after, std::move(what)); };
        return to;
    }

    quota_exchange::hooks quota_hooks()
    {
        auto to = datagram_hooks<quota_exchange::hooks>();
        to.limit_of = [this](workspace_name const& owner)
        {
            quota_exchange::known_limit known;
            if (auto const* one = services.table->workspaces
                                      ? services.table->workspaces->find(owner)
                                      : nullptr)
                known.limit = one->limit;
            return known;
        };
        to.reachable_share = [] { return 1.0; };
        return to;
    }
    crash_exchange::hooks crash_hooks()
    {
        return datagram_hooks<crash_exchange::hooks>();
    }
    origin_exchange::hooks origin_hooks()
    {
        return datagram_hooks<origin_exchange::hooks>();
    }

    versioned_store history_store()
    {
        auto to = store.calls();
        to.read = [this, read = to.read](
                      row_range range, milliseconds timeout,
                      std::function<void(range_result)> done)
        {
            if (histories_lost)
                schedule(duration(0), [done = std::move(done)] { done({}); });
            else
                read(std::move(range), timeout, std::move(done));
        };
        return to;
    }

    store_waiters::hooks store_wait_hooks()
    {
        store_waiters::hooks to;
        to.schedule_after = [this](duration after, std::function<void()> what)
        { schedule(after, std::move(what)); };
        to.is_store_lost = [this] { return store_lost_for.count() > 0; };
        return to;
    }

    /// The store is lost, and callers of kept turns bear a silence of 3.2 s.
    void lose_store(duration lost_for)
    {
        change(
            [](routing_table& to)
            {
                for (auto& one : to.routes)
                    one.silence_limit = milliseconds(3'200);
            });
        store_lost_for = lost_for;
        services.store_outage_time = [this] { return store_lost_for; };
        services.awaiting_store = &awaiting_store;
        store.set_down(true);
    }
    void recover_store()
    {
        store.set_down(false);
        store_lost_for = duration(0);
        awaiting_store.store_recovered();
    }

    void schedule(duration after, std::function<void()> what)
    {
        auto const timer = std::make_shared<asio::steady_timer>(io, after);
        timer->async_wait([timer, what = std::move(what)](
                              boost::system::error_code const&) { what(); });
    }

    void accept()
    {
        acceptor.async_accept(
            [this](boost::system::error_code const& error, tcp::socket socket)
            {
                if (error)
                    return;
                caller_link::hooks hooks;
                hooks.on_request =
                    [this](link_ptr const& link, http_request&& request)
                {
                    ++accepted_calls;
                    auto const call = std::make_shared<call_flow>(
                        services, link, std::move(request));
                    if (!loses_calls)
                        call->start();
                };
                hooks.refuse = [](int, std::string_view)
                { return std::string(); };
                hooks.limits = [this] { return services.table->limits; };
                hooks.on_end = [](caller_link*) {};
                std::make_shared<caller_link>(std::move(socket), hooks)
                    ->start();
                accept();
            });
    }

    static route make_route(
        std::string const& name, bool streams, service_name const& service)
    {
        route to;
        to.name = name;
        to.host = "h.example";
        to.prefix = "/" + name + "/";
        to.streams = streams;
        to.timeout = seconds(3);
        to.max_engines = 2;
        to.shares = {{service, 1}};
        return to;
    }

    static routing_table table()
    {
        routing_table to;
        to.version = 1;
        auto turns = make_route("turns", true, service_name("llm"));
        turns.resumable = true;
        turns.repeats = repeatability::idempotent;
        auto kept = make_route("kept", true, service_name("llm"));
        kept.keeps_turns = true;
        kept.kept_for = seconds(60);
        auto safe = make_route("safe", false, service_name("desk"));
        safe.repeats = repeatability::idempotent;
        to.routes = {
            turns, kept, safe,
            make_route("orders", false, service_name("desk"))};
        service llm;
        llm.name = service_name("llm");
        llm.model = engine_model{8, 10, 0};
        service desk;
        desk.name = service_name("desk");
        to.services = {llm, desk};
        to.seal();
        return to;
    }

    void publish(routing_table to)
    {
        to.version = services.table->version + 1;
        to.seal();
        services.table = std::make_shared<routing_table>(std::move(to));
    }
    void change(std::function<void(routing_table&)> const& what)
    {
        auto to = *services.table;
        what(to);
        publish(std::move(to));
    }

    void set_engines(std::int64_t started_at_ms)
    {
        std::vector<engine_entry> engines;
        auto const add = [&](held_target const& one, char const* service)
        {
            engine_entry entry;
            entry.id = target_name(one.target.id());
            entry.incarnation.started_at_ms = started_at_ms;
            entry.service = service_name(service);
            entry.address = one.target.address();
            entry.zone = zone_name("z1");
            entry.slots = 8;
            engines.push_back(std::move(entry));
        };
        add(engine_a, "llm");
        add(engine_b, "llm");
        add(service_a, "desk");
        add(service_b, "desk");
        for (auto const& one : balancer.set_engines(engines))
            links.close_former_incarnations(one);
    }

    /// Runs the event loop until the condition holds. \return false if it does
    /// not hold within five seconds
    template<class Condition>
    bool run_until(Condition const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            if (store_answers)
                store.run();
            crashes.tick();
            io.restart();
            io.run_for(milliseconds(2));
        }
        return condition();
    }
    void run_for(milliseconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        run_until([end] { return std::chrono::steady_clock::now() >= end; });
    }

    void send(std::string const& bytes)
    {
        caller = std::make_unique<loop_caller>(io, acceptor.local_endpoint());
        caller->send(bytes);
    }

    /// \return true once the caller has a whole answer or no connection
    bool caller_knows() const { return caller->whole() || caller->closed(); }

    std::size_t count(std::string const& text)
    {
        log.flush();
        std::size_t found = 0;
        for (auto at = lines.find(text); at != std::string::npos;
             at = lines.find(text, at + 1))
            ++found;
        return found;
    }
    std::string last_line(std::string const& event)
    {
        log.flush();
        auto const at = lines.rfind("\"event\":\"" + event + "\"");
        if (at == std::string::npos)
            return {};
        auto const from = lines.rfind('\n', at);
        return lines.substr(from + 1, lines.find('\n', at) - from - 1);
    }

    std::size_t engine_calls() const
    {
        std::size_t sum = 0;
        for (auto const* one : {&engine_a, &engine_b, &service_a, &service_b})
            sum += one->target.calls().size();
        return sum;
    }
    /// \return the number of calls that the metrics show as waiting
    int calls_waiting() const
    {
        constexpr std::string_view name = "walnutmill_calls_waiting{";
        std::istringstream text(services.accounting->prometheus_text());
        int sum = 0;
        for (std::string line; std::getline(text, line);)
        {
            if (line.rfind(name, 0) == 0)
                sum += std::stoi(line.substr(line.find("} ") + 2));
        }
        return sum;
    }
    void set_silent(bool silent)
    {
        for (auto* one : {&engine_a, &engine_b, &service_a, &service_b})
        {
            if (silent)
                one->silent = true;
            else
                one->release();
        }
    }
};

/// Each kind of wait, and how it ends.
struct wait_case
{
    std::string name;
    /// Sends a call that comes to wait.
    std::function<void(call_flow_fixture&)> begin;
    /// \return true once the call waits
    std::function<bool(call_flow_fixture&)> waits;
    std::function<void(call_flow_fixture&)> release;
};

std::string const key = "X-Api-Key: key-of-archive\r\n";
std::string const key_text = "key-of-archive";

void require_keys(routing_table& to)
{
    workspace archive;
    archive.name = workspace_name("archive");
    archive.limit.per_second = 100;
    archive.limit.burst = 100;
    to.workspaces.emplace();
    to.workspaces->add(archive, {digest_of_key(key_text)});
}

void release_held(call_flow_fixture& at)
{
    at.services.before_choice = {};
    for (auto const& one : std::exchange(at.held, {}))
        one();
}

bool waits_for_store(call_flow_fixture& at)
{
    return at.accepted_calls > 0;
}

void answer_store(call_flow_fixture& at)
{
    at.store_answers = true;
}

/// \return true if metrics show calls that wait in this way
bool is_counted(wait_case const& wait)
{
    constexpr std::string_view names[] = {
        "budget",        "history", "place",         "quota",
        "configuration", "store",   "store, not run"};
    return std::find(std::begin(names), std::end(names), wait.name) !=
           std::end(names);
}

wait_case engine_wait(std::string const& name, std::string const& request)
{
    return {
        "engine, " + name,
        [request](call_flow_fixture& at)
        {
            at.set_silent(true);
            at.send(request);
        },
        [](call_flow_fixture& at) { return at.engine_calls() == 1; },
        [](call_flow_fixture& at) { at.set_silent(false); }};
}

std::vector<wait_case> waits()
{
    std::vector<wait_case> all;
    all.push_back(
        {"place",
         [](call_flow_fixture& at)
         {
             at.services.before_choice = [&at](std::function<void()> choose)
             { at.held.push_back(std::move(choose)); };
             at.send(entry_world::turn("t1"));
         },
         [](call_flow_fixture& at) { return !at.held.empty(); }, release_held});
    all.push_back(
        {"budget",
         [](call_flow_fixture& at)
         {
             at.store_answers = false;
             at.send(entry_world::turn(
                 "t1", "Program-Id: p1\r\nToken-Budget: 900\r\n"));
         },
         waits_for_store, answer_store});
    all.push_back(
        {"history",
         [](call_flow_fixture& at)
         {
             turn_history other(at.store.calls());
             stored_turn before;
             before.id = request_id("t0");
             before.input = "earlier input;";
             other.store_turn(std::move(before), seconds(1), [](bool) {});
             at.store.run();
             at.store_answers = false;
             at.send(
                 entry_world::turn("t1", "Previous-Turn: t0\r\n", "/kept/"));
         },
         waits_for_store, answer_store});
    all.push_back(
        {"store",
         [](call_flow_fixture& at)
         {
             at.store_answers = false;
             at.send(entry_world::turn("t1", {}, "/kept/"));
         },
         [](call_flow_fixture& at)
         { return at.caller->received().find("piece 3") < std::string::npos; },
         answer_store});
    all.push_back(
        {"store, not run",
         [](call_flow_fixture& at)
         {
             at.lose_store(seconds(1));
             at.send(entry_world::turn("t1", {}, "/kept/"));
         },
         [](call_flow_fixture& at) { return at.awaiting_store.size() == 1; },
         [](call_flow_fixture& at) { at.recover_store(); }});
    all.push_back(
        {"quota",
         [](call_flow_fixture& at)
         {
             at.change(require_keys);
             at.services.quotas = &at.quotas;
             at.quotas.set_nodes({{"silent", "127.0.0.1:9", 100}});
             at.send(entry_world::post("/safe/x", "t1", key));
         },
         [](call_flow_fixture& at) { return !at.sent_datagrams.empty(); },
         [](call_flow_fixture&) {}});
    all.push_back(
        {"configuration",
         [](call_flow_fixture& at)
         {
             at.change([](routing_table& to) { to.workspaces.emplace(); });
             at.services.configuration_age = [] { return seconds(1); };
             at.services.after_confirmation =
                 [&at](std::function<void()> confirmed)
             {
                 at.held.push_back(std::move(confirmed));
                 return true;
             };
             at.send(entry_world::post("/safe/x", "t1", key));
         },
         [](call_flow_fixture& at) { return !at.held.empty(); },
         [](call_flow_fixture& at)
         {
             at.services.configuration_age = [] { return seconds(0); };
             release_held(at);
         }});
    all.push_back(
        {"records",
         [](call_flow_fixture& at)
         {
             at.services.crashes = &at.crashes;
             at.crashes.set_nodes({{"silent", "127.0.0.1:9", "z1", "s.1", 1}});
             at.breaks = 1;
             at.send(entry_world::turn("t1"));
         },
         [](call_flow_fixture& at)
         {
             return at.counters.counter(
                        "walnutmill_calls_awaiting_crash_records_total") > 0;
         },
         [](call_flow_fixture&) {}});
    all.push_back(
        {"origin",
         [](call_flow_fixture& at)
         {
             at.store_answers = false;
             at.services.origins = &at.origins;
             at.origins.set_nodes({{"silent", "127.0.0.1:9", "z1", "s.1", 1}});
             at.send(entry_world::turn(
                 "t1", "Resumes: t0\r\nLast-Event-Id: 1\r\n"));
         },
         [](call_flow_fixture& at) { return !at.sent_datagrams.empty(); },
         answer_store});
    all.push_back(engine_wait("order", entry_world::post("/orders/x", "t1")));
    all.push_back(engine_wait("safe", entry_world::post("/safe/x", "t1")));
    all.push_back(engine_wait("turn", entry_world::turn("t1")));
    all.push_back(
        engine_wait("kept turn", entry_world::turn("t1", {}, "/kept/")));
    auto begun = engine_wait("begun stream", entry_world::turn("t1"));
    begun.begin = [begin = begun.begin](call_flow_fixture& at)
    {
        at.engine_a.sends_first_event = true;
        at.engine_b.sends_first_event = true;
        begin(at);
    };
    begun.waits = [](call_flow_fixture& at)
    { return at.caller->received().find("piece 1") < std::string::npos; };
    all.push_back(begun);
    return all;
}

/// What changes while a call waits.
struct change_case
{
    std::string name;
    std::function<void(call_flow_fixture&)> apply;
};

change_case
table_change(std::string name, std::function<void(routing_table&)> what)
{
    return {std::move(name), [what = std::move(what)](call_flow_fixture& at) {
                at.change(what);
            }};
}

std::vector<change_case> changes()
{
    return {
        {"nothing", [](call_flow_fixture&) {}},
        table_change(
            "idle timeout", [](routing_table& to)
            { to.limits.idle_timeout = milliseconds(10); }),
        table_change(
            "shorter timeout",
            [](routing_table& to)
            {
                for (auto& one : to.routes)
                    one.timeout = milliseconds(400);
            }),
        table_change(
            "longer timeout",
            [](routing_table& to)
            {
                for (auto& one : to.routes)
                    one.timeout = seconds(20);
            }),
        table_change(
            "weights",
            [](routing_table& to)
            {
                for (auto& one : to.routes)
                    one.shares = {
                        {service_name("llm"), 1}, {service_name("desk"), 3}};
            }),
        table_change(
            "route gone", [](routing_table& to) { to.routes.clear(); }),
        table_change(
            "service gone", [](routing_table& to) { to.services.clear(); }),
        table_change(
            "keys required",
            [](routing_table& to)
            {
                to.workspaces.reset();
                require_keys(to);
            }),
        table_change(
            "workspace gone",
            [](routing_table& to) { to.workspaces.emplace(); }),
        {"engines gone",
         [](call_flow_fixture& at) { at.balancer.set_engines({}); }},
        {"engines restarted", [](call_flow_fixture& at) { at.set_engines(2); }},
        {"reload",
         [](call_flow_fixture& at)
         {
             at.quotas.set_bounds({});
             at.services.revoke_within = seconds(3);
         }},
        {"stop",
         [](call_flow_fixture& at)
         {
             at.services.stopping = true;
             at.ledger.settle_all();
         }},
        {"end of grace",
         [](call_flow_fixture& at)
         {
             at.services.stopping = true;
             at.services.new_calls_end_by = at.clock();
         }},
        {"exit",
         [](call_flow_fixture& at) { end_calls_for_exit(at.services); }}};
}

} // namespace

TEST_CASE(
    "call: whatever changes while it waits, a call ends with an answer, a true "
    "refusal or a logged end of its stream")
{
    constexpr int status_refused = 503;
    for (auto const& wait : waits())
    {
        auto const expected_waiting = is_counted(wait) ? 1 : 0;
        for (auto const& change : changes())
        {
            INFO(wait.name << " beside " << change.name);
            call_flow_fixture at;
            wait.begin(at);
            if (!at.run_until([&] { return wait.waits(at); }))
            {
                FAIL_CHECK("the call does not wait");
                continue;
            }
            CHECK(at.run_until(
                [&] { return at.calls_waiting() == expected_waiting; }));
            at.run_for(milliseconds(10));
            CHECK_FALSE(at.caller_knows());
            change.apply(at);
            if (change.name != "exit")
                wait.release(at);
            INFO(at.caller->received());
            auto const known = at.run_until([&] { return at.caller_knows(); });
            auto const line = at.last_line("call.ended");
            INFO(line);
            CHECK(known);
            CHECK(at.calls_waiting() == 0);
            CHECK(at.count("\"event\":\"call.ended\"") == 1);
            CHECK(line.find("\"request\":\"t1\"") != std::string::npos);
            CHECK(line.find("\"limit_ms\":") != std::string::npos);
            if (!at.caller->whole())
            {
                CHECK(at.caller->status() == 200);
                CHECK(line.find("\"why\":") != std::string::npos);
            }
            if (at.caller->status() == status_refused)
                CHECK(at.engine_calls() == 0);
            if (wait.name == "engine, order")
                CHECK(at.engine_calls() == 1);
            if (change.name == "nothing" && wait.name != "quota" &&
                wait.name != "origin" && wait.name != "configuration")
                CHECK(at.caller->status() == 200);
            CHECK(
                at.counters.counter("walnutmill_unanswered_calls_total") == 0);
        }
    }
}

TEST_CASE("call: one whose caller has left is not counted as waiting")
{
    for (auto const& wait : waits())
    {
        INFO(wait.name);
        call_flow_fixture at;
        wait.begin(at);
        REQUIRE(at.run_until([&] { return wait.waits(at); }));
        CHECK(at.run_until(
            [&] { return at.calls_waiting() == (is_counted(wait) ? 1 : 0); }));
        at.caller->close();
        CHECK(at.run_until(
            [&] { return at.count("\"event\":\"call.ended\"") == 1; }));
        CHECK(at.calls_waiting() == 0);
        wait.release(at);
        at.run_for(milliseconds(10));
        CHECK(at.calls_waiting() == 0);
    }
}

TEST_CASE(
    "call: one that is destroyed after its node is not counted as waiting")
{
    for (auto const& wait : waits())
    {
        INFO(wait.name);
        std::shared_ptr<load_accounting> accounting;
        {
            call_flow_fixture at;
            accounting = at.services.accounting;
            wait.begin(at);
            REQUIRE(at.run_until([&] { return wait.waits(at); }));
        }
        auto const text = accounting->prometheus_text();
        INFO(text);
        auto const gauges = text.find("# TYPE walnutmill_calls_waiting");
        REQUIRE(gauges != std::string::npos);
        CHECK(text.find("} 1\n", gauges) == std::string::npos);
    }
}

TEST_CASE_METHOD(
    call_flow_fixture, "call: one that nothing continues is logged and refused")
{
    loses_calls = true;
    send(entry_world::turn("t1"));
    CHECK(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    CHECK(count("\"event\":\"request.unanswered\"") == 1);
    CHECK(counters.counter("walnutmill_unanswered_calls_total") == 1);
    CHECK(services.calls_in_flight == 0);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: speeds are logged only where engines tell machine figures")
{
    send(entry_world::turn("t1"));
    REQUIRE(run_until([&] { return count("\"event\":\"call.ended\"") == 1; }));
    auto const without = last_line("call.ended");
    CHECK(without.find("\"engine_load\":") != std::string::npos);
    CHECK(without.find("engine_speed") == std::string::npos);
    CHECK(without.find("machine_slowdown") == std::string::npos);
    auto const key_a = short_key(target_name(engine_a.target.id()));
    auto const key_b = short_key(target_name(engine_b.target.id()));
    balancer.set_cluster_machine_figures({{key_a, 400, 0}, {key_b, 400, 0}});
    balancer.set_cluster_speeds({{key_a, 2'000, 1'000}, {key_b, 2'000, 1'000}});
    send(entry_world::turn("t2"));
    REQUIRE(run_until([&] { return count("\"event\":\"call.ended\"") == 2; }));
    auto const with = last_line("call.ended");
    CHECK(with.find("\"engine_speed\":0.5,") != std::string::npos);
    CHECK(with.find("\"machine_slowdown\":") != std::string::npos);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a lost continuation shows in the answer at the call's limit")
{
    services.before_choice = [](std::function<void()> const&) {};
    change(
        [](routing_table& to)
        {
            for (auto& one : to.routes)
                one.timeout = milliseconds(100);
        });
    send(entry_world::turn("t1"));
    CHECK(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    auto const line = last_line("call.ended");
    CHECK(line.find("\"waits_for\":\"place\"") != std::string::npos);
    CHECK(line.find("\"limit_ms\":100") != std::string::npos);
    CHECK(line.find("\"limit\":\"route\"") != std::string::npos);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: an engine that is silent is not waited for past the limit of a call "
    "whose caller has left")
{
    set_silent(true);
    change(
        [](routing_table& to)
        {
            for (auto& one : to.routes)
                one.timeout = milliseconds(300);
        });
    send(entry_world::post("/orders/x", "t1"));
    REQUIRE(run_until([&] { return engine_calls() == 1; }));
    caller->close();
    REQUIRE(run_until([&] { return count("caller left") > 0; }));
    CHECK(services.calls_in_flight == 1);
    CHECK(run_until([&] { return services.calls_in_flight == 0; }));
    CHECK(count("\"event\":\"call.ended\"") == 1);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: one whose caller has left ends with its engine's answer")
{
    set_silent(true);
    send(entry_world::post("/orders/x", "t1"));
    REQUIRE(run_until([&] { return engine_calls() == 1; }));
    caller->close();
    REQUIRE(run_until([&] { return count("caller left") > 0; }));
    set_silent(false);
    auto const answered_at = clock();
    CHECK(run_until([&] { return services.calls_in_flight == 0; }));
    CHECK(clock() - answered_at < seconds(1));
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: one that is routed anew by a later configuration has the limit of "
    "that one")
{
    change([](routing_table& to) { to.workspaces.emplace(); });
    services.configuration_age = [] { return seconds(1); };
    services.after_confirmation = [this](std::function<void()> confirmed)
    {
        held.push_back(std::move(confirmed));
        return true;
    };
    set_silent(true);
    send(entry_world::post("/safe/x", "t1", key));
    REQUIRE(run_until([&] { return !held.empty(); }));
    change(
        [](routing_table& to)
        {
            to.workspaces.reset();
            for (auto& one : to.routes)
                one.timeout = milliseconds(300);
        });
    release_held(*this);
    auto const routed_at = clock();
    CHECK(run_until([&] { return caller_knows(); }));
    CHECK(clock() - routed_at < seconds(1));
    CHECK(caller->status() == 504);
}

namespace
{

/// Programs of a workspace with a limit at engines with 1.125 calls per slot,
/// where 42 of 100 new programs are refused without shares.
struct full_engines_fixture : call_flow_fixture
{
    full_engines_fixture()
    {
        change(require_keys);
        services.quotas = &quotas;
        quotas.set_nodes({});
        balancer.set_peer_loads([](target_name const&) { return 9U; });
        services.random = [this] { return draw; };
    }

    double draw = 0.5;

    void know_uses(std::uint32_t archive, std::uint32_t other)
    {
        services.shares.set_enabled(true);
        rate_limit const limit{100, 100};
        services.shares.record_use(
            workspace_name("archive"), archive, limit, clock());
        services.shares.record_use(
            workspace_name("other"), other, limit, clock());
    }

    void call_once()
    {
        send(entry_world::turn(
            "t1", key + "Program-Id: p1\r\nToken-Budget: 900\r\n"));
        REQUIRE(run_until([&] { return caller_knows(); }));
    }

    std::uint64_t starts(std::string const& decision) const
    {
        return counters.counter(
            "walnutmill_workspace_starts_total{workspace=\"archive\","
            "decision=\"" +
            decision + "\"}");
    }
};

} // namespace

TEST_CASE_METHOD(
    full_engines_fixture,
    "call: without shares neither decision, line nor metric tells of them")
{
    call_once();
    CHECK(caller->status() == 200);
    CHECK(count("\"pressure\":1.125") == 1);
    CHECK(count("workspace_use") == 0);
    CHECK(count("load_limit") == 0);
    CHECK(
        counters.prometheus_text().find("workspace_starts") ==
        std::string::npos);
}

TEST_CASE_METHOD(
    full_engines_fixture,
    "call: a new program of a workspace above the mean is refused earlier")
{
    know_uses(1'000, 500);
    call_once();
    CHECK(caller->status() == 503);
    CHECK(count("the engines are full") == 1);
    CHECK(count("\"workspace_use\":1.0") == 1);
    CHECK(count("\"workspace_use_mean\":0.75") == 1);
    auto const line = nlohmann::json::parse(last_line("call.ended"));
    CHECK(line.at("load_limit") > 1.0);
    CHECK(line.at("load_limit") < 1.1);
    CHECK(starts("refused_by_share") == 1);
    CHECK(engine_calls() == 0);
}

TEST_CASE_METHOD(
    full_engines_fixture,
    "call: a new program of a workspace below the mean is admitted longer")
{
    draw = 0.3;
    know_uses(100, 1'000);
    call_once();
    CHECK(caller->status() == 200);
    CHECK(count("\"workspace_use\":0.1") == 1);
    CHECK(starts("admitted_by_share") == 1);
}

TEST_CASE_METHOD(
    full_engines_fixture,
    "call: one that is refused with and without shares is counted as refused")
{
    draw = 0.1;
    know_uses(1'000, 500);
    call_once();
    CHECK(caller->status() == 503);
    CHECK(starts("refused") == 1);
    CHECK(starts("refused_by_share") == 0);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a resumed stream whose service has left the configuration is "
    "refused")
{
    services.origins = &origins;
    origins.record(
        stream_key_of("t0"), stream_origin{service_name("other"), ""});
    engine_entry other;
    other.id = target_name("io");
    other.service = service_name("other");
    other.address = engine_a.target.address();
    other.zone = zone_name("z1");
    balancer.set_engines({other});
    change(
        [](routing_table& to)
        {
            for (auto& one : to.routes)
                one.shares = {
                    {service_name("llm"), 1}, {service_name("other"), 0}};
        });
    send(entry_world::turn(
        "t1", "Resumes: t0\r\nLast-Event-Id: 1\r\n"
              "Program-Id: p1\r\nToken-Budget: 900\r\n"));
    CHECK(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    CHECK(engine_calls() == 0);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: at the exit, one that waits for a place is refused, and one that an "
    "engine may run is not")
{
    set_silent(true);
    send(entry_world::post("/orders/x", "t1"));
    REQUIRE(run_until([&] { return engine_calls() == 1; }));
    auto const order = std::move(caller);
    services.before_choice = [this](std::function<void()> choose)
    { held.push_back(std::move(choose)); };
    send(entry_world::turn("t2"));
    REQUIRE(run_until([&] { return !held.empty(); }));
    services.stopping = true;
    end_calls_for_exit(services);
    CHECK(run_until([&] { return caller_knows(); }));
    CHECK(run_until([&] { return order->whole(); }));
    CHECK(caller->status() == 503);
    CHECK(order->status() == 502);
    CHECK(count("the node has to exit") == 2);
    CHECK(engine_calls() == 1);
    release_held(*this);
    CHECK(run_until([&] { return services.calls_in_flight == 0; }));
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a kept turn is found after its route's service has changed")
{
    send(entry_world::turn("t1", {}, "/kept/"));
    REQUIRE(run_until([&] { return caller->whole(); }));
    change(
        [](routing_table& to)
        {
            for (auto& one : to.routes)
                one.shares = {{service_name("desk"), 1}};
        });
    send(entry_world::turn("t2", "Previous-Turn: t1\r\n", "/kept/"));
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 200);
    auto calls = service_a.target.calls();
    if (calls.empty())
        calls = service_b.target.calls();
    REQUIRE(calls.size() == 1);
    CHECK(
        calls.front().body ==
        "input of t1;piece 1\npiece 2\npiece 3\ninput of t2;");
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a kept turn is found after its route has stopped keeping turns")
{
    send(entry_world::turn("t1", {}, "/kept/"));
    REQUIRE(run_until([&] { return caller->whole(); }));
    change(
        [](routing_table& to)
        {
            for (auto& one : to.routes)
                one.keeps_turns = false;
        });
    send(entry_world::turn("t2", "Previous-Turn: t1\r\n", "/kept/"));
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 200);
    std::string last_body;
    for (auto const* one : {&engine_a, &engine_b})
    {
        for (auto const& call : one->target.calls())
            last_body = call.id == "t2" ? call.body : last_body;
    }
    CHECK(last_body == "input of t1;piece 1\npiece 2\npiece 3\ninput of t2;");
}

// Counted against its program, a turn that waits would take the budget from
// those that run.
TEST_CASE_METHOD(
    call_flow_fixture, "call: a turn whose budget cannot be read waits for the "
                       "store and runs once")
{
    lose_store(milliseconds(350));
    send(entry_world::turn(
        "t1", "Program-Id: p1\r\nToken-Budget: 30\r\n", "/kept/"));
    REQUIRE(run_until([&] { return awaiting_store.size() == 1; }));
    run_for(milliseconds(50));
    CHECK_FALSE(caller_knows());
    CHECK(engine_calls() == 0);
    recover_store();
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 200);
    CHECK(engine_calls() == 1);
    auto const line = last_line("call.ended");
    CHECK(line.find("\"store_wait_ms\":") != std::string::npos);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a turn whose history cannot be read waits without its reservation")
{
    turn_history other(store.calls());
    stored_turn before;
    before.id = request_id("t0");
    before.input = "earlier input;";
    other.store_turn(std::move(before), seconds(1), [](bool) {});
    store.run();
    lose_store(milliseconds(350));
    store.set_down(false);
    histories_lost = true;
    // The budget is for one turn.
    send(entry_world::turn(
        "t1", "Program-Id: p1\r\nToken-Budget: 30\r\nPrevious-Turn: t0\r\n",
        "/kept/"));
    REQUIRE(run_until([&] { return awaiting_store.size() == 1; }));
    CHECK(engine_calls() == 0);
    histories_lost = false;
    recover_store();
    REQUIRE(run_until([&] { return caller_knows(); }));
    // With the first reservation left behind, the budget would be taken.
    CHECK(caller->status() == 200);
    CHECK(engine_calls() == 1);
    CHECK(
        last_line("call.ended").find("\"history\":\"1 turns\"") !=
        std::string::npos);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a turn has reserved nothing while its history is read")
{
    turn_history other(store.calls());
    stored_turn before;
    before.id = request_id("t0");
    before.input = "earlier input;";
    other.store_turn(std::move(before), seconds(1), [](bool) {});
    store.run();
    store_answers = false;
    send(entry_world::turn(
        "t1", "Program-Id: p1\r\nToken-Budget: 30\r\nPrevious-Turn: t0\r\n",
        "/kept/"));
    REQUIRE(run_until([&] { return accepted_calls == 1; }));
    run_for(milliseconds(100));
    CHECK(ledger.programs() == 0);
    store_answers = true;
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 200);
    CHECK(ledger.programs() == 1);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a turn whose coordinator has not noticed the store's return waits "
    "for it")
{
    lose_store(seconds(1));
    send(entry_world::turn(
        "t1", "Program-Id: p1\r\nToken-Budget: 900\r\n", "/kept/"));
    REQUIRE(run_until([&] { return awaiting_store.size() == 1; }));
    // This node reaches the store, but the budgets still do not.
    store_lost_for = duration(0);
    awaiting_store.store_recovered();
    run_for(milliseconds(250));
    CHECK_FALSE(caller_knows());
    store.set_down(false);
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 200);
    CHECK(engine_calls() == 1);
}

// A deployment whose callers leave a silent stream after 2 s is served as
// before.
TEST_CASE_METHOD(
    call_flow_fixture, "call: a turn of a route whose callers bear no wait is "
                       "refused at once")
{
    lose_store(seconds(2));
    change(
        [](routing_table& to)
        {
            for (auto& one : to.routes)
                one.silence_limit = milliseconds(2'400);
        });
    send(entry_world::turn(
        "t1", "Program-Id: p1\r\nToken-Budget: 900\r\n", "/kept/"));
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    CHECK(awaiting_store.size() == 0);
    auto const line = last_line("call.ended");
    CHECK(line.find("store_wait_ms") == std::string::npos);
}

TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a turn that meets a full queue is refused at once")
{
    lose_store(seconds(2));
    store_waiter filler;
    filler.until = clock() + seconds(30);
    filler.on_end = [](store_wait_end) {};
    while (awaiting_store.add(filler))
    {
    }
    send(entry_world::turn(
        "t1", "Program-Id: p1\r\nToken-Budget: 900\r\n", "/kept/"));
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    CHECK(engine_calls() == 0);
}

// Its connection is closed, so that the retry reaches another node.
TEST_CASE_METHOD(
    call_flow_fixture, "call: a turn does not wait at a stopping node")
{
    lose_store(seconds(2));
    services.stopping = true;
    awaiting_store.stop();
    send(entry_world::turn("t1", {}, "/kept/"));
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    CHECK(engine_calls() == 0);
}

// A workspace must not lose a request to its limit that was not served.
TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a turn that waited in vain returns its workspace's request")
{
    change(
        [](routing_table& to)
        {
            workspace archive;
            archive.name = workspace_name("archive");
            archive.limit.per_second = 0.001;
            archive.limit.burst = 100;
            to.workspaces.emplace();
            to.workspaces->add(archive, {digest_of_key(key_text)});
        });
    services.quotas = &quotas;
    quotas.set_nodes({});
    lose_store(seconds(2));
    send(entry_world::turn("t1", key, "/kept/"));
    REQUIRE(run_until([&] { return awaiting_store.size() == 1; }));
    /// \return the number of requests that the workspace has left
    auto const take_all = [this]
    {
        int granted = 0;
        for (bool refused = false; !refused && granted < 1'000;)
        {
            quotas.acquire(
                workspace_name("archive"),
                [&](quota_answer const& answer, std::string const&)
                {
                    refused = answer.decision != quota_decision::granted;
                    granted += refused ? 0 : 1;
                });
        }
        return granted;
    };
    take_all();
    CHECK(take_all() == 0);
    awaiting_store.stop();
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    CHECK(engine_calls() == 0);
    CHECK(take_all() == 1);
}

// Guards against a key that runs after the time within which no node may accept
// it: the wait outlasts the check at the call's arrival.
TEST_CASE_METHOD(
    call_flow_fixture,
    "call: a key that was revoked during a wait for the store does not run")
{
    auto const configure = [this](bool has_key)
    {
        change(
            [has_key](routing_table& to)
            {
                workspace archive;
                archive.name = workspace_name("archive");
                to.workspaces.emplace();
                std::vector<key_digest> keys;
                if (has_key)
                    keys.push_back(digest_of_key(key_text));
                to.workspaces->add(archive, keys);
            });
    };
    configure(true);
    duration age = seconds(4);
    services.revoke_within = seconds(5);
    services.configuration_age = [&age] { return age; };
    lose_store(seconds(2));
    send(entry_world::turn("t1", key, "/kept/"));
    REQUIRE(run_until([&] { return awaiting_store.size() == 1; }));

    // The store is back, but the configuration has not been read yet.
    age = seconds(6);
    store.set_down(false);
    store_lost_for = duration(0);
    awaiting_store.store_recovered();
    run_for(milliseconds(250));
    CHECK_FALSE(caller_knows());
    CHECK(engine_calls() == 0);

    configure(false);
    age = duration(0);
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 401);
    CHECK(engine_calls() == 0);
}

TEST_CASE_METHOD(
    call_flow_fixture, "call: a failed history is logged with turn and cause")
{
    turn_history other(store.calls());
    stored_turn before;
    before.id = request_id("t0");
    before.chain = {request_id("older"), request_id("old")};
    other.store_turn(std::move(before), seconds(1), [](bool) {});
    store.run();
    send(entry_world::turn("t1", "Previous-Turn: t0\r\n", "/kept/"));
    REQUIRE(run_until([&] { return caller_knows(); }));
    CHECK(caller->status() == 503);
    auto const line = last_line("call.ended");
    for (auto const* field :
         {"\"history_failure\":\"missing\"",
          "\"history_failed_turn\":\"older\"", "\"history_failed_position\":1",
          "\"history_length\":3", "\"history_failed_turns\":2"})
        CHECK_THAT(line, Catch::Contains(field));
}

#include "soak_world.hpp"

#include <boost/system/system_error.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace walnutmill
{
namespace soak
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::call_kind;
using testing::http_request;
using testing::link_ptr;
using testing::recorded_attempt;
using testing::standin_target;
using testing::test_caller;

/// A node is ready within a second; a machine under load takes longer.
constexpr seconds ready_patience{60};
constexpr milliseconds pause_before_retry{200};
/// Longer than the store counts as lost.
constexpr milliseconds late_answer_delay{400};
/// Long enough that accounts which dead nodes hold are let go.
constexpr seconds calm{4};
constexpr int turns_at_most = 14;
constexpr int tries_of_a_turn = 3;
/// Until a second after the deadline of a call.
constexpr milliseconds attempt_patience{4'000};
constexpr int status_ok = 200;
constexpr int status_budget = 402;
constexpr int status_unavailable = 503;
/// Calls to each node after the last fault, to see that it serves again.
constexpr int calls_after = 20;
/// Nodes of a domain read the store for each other.
constexpr int nodes_per_domain = 2;

/// Part of the calls at which a target misbehaves, each way.
constexpr double refuses = 0.05;
constexpr double cuts_at_once = 0.04;
constexpr double cuts_midway = 0.05;
constexpr double stays_silent = 0.02;
constexpr double adds_an_answer = 0.03;
constexpr double answers_late = 0.05;
constexpr double stops_midway = 0.05;

/// Part of the callers that leave a stream after its first event and take it
/// up again, and of those that then don't say which stream it is.
constexpr double leaves_stream = 0.2;
constexpr double names_nothing = 0.1;
/// Part of the turns after which a caller sends a request that ends its
/// targets.
constexpr double sends_deadly = 0.02;
/// Path of streams whose first run stops after two events.
constexpr char const* stopping_path = "/turns/stops";

std::string header_of(http_request const& request, char const* name)
{
    return std::string(request[name]);
}

std::string path_of(call_kind kind)
{
    switch (kind)
    {
    case call_kind::turn:
        return "/turns/x";
    case call_kind::kept_turn:
        return "/kept/x";
    case call_kind::lookup:
        return "/safe/x";
    case call_kind::order:
        break;
    }
    return "/orders/x";
}

} // namespace

std::string sized_chunk(std::string const& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string stream_head(std::string const& id, std::string const& headers)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Stamp: s\r\n" + headers +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

bool dice::chance(double of_one)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(engine_) < of_one;
}

int dice::between(int least, int most)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return std::uniform_int_distribution<int>(least, most)(engine_);
}

soak_world::soak_world(soak_options options)
    : options_(std::move(options)), dice_(options_.seed),
      pause_dice_(options_.seed), signal_dice_(options_.seed),
      change_dice_(options_.seed), speed_dice_(options_.seed),
      loss_dice_(options_.seed)
{
    add_machines();
    for (auto* one : {&engine_a, &engine_b, &engine_c_, &engine_d_})
    {
        register_version(*one, "1.0");
        one->set_handler(
            [this, one](link_ptr const& link, http_request const& request)
            {
                answer_turn(link, request, *one);
                return true;
            });
    }
    for (auto* one : {&service_a, &service_b})
    {
        one->set_handler(
            [this, one](link_ptr const& link, http_request const& request)
            {
                answer_plain(link, request, *one);
                return true;
            });
    }
    add_pausing_targets();
    auto document = base_configuration();
    if (!options_.basic_faults)
        add_workspaces(document);
    store.put("op", "config", document);
    for (int i = 0; i < options_.nodes; ++i)
        add_node(i);
}

/// Replaces the engine's registration by one of another version.
void soak_world::register_version(
    standin_target const& engine, std::string const& version)
{
    std::string former;
    std::string id;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto& one = registrations_[engine.id()];
        former = one.id;
        id = engine.id() + "-" + std::to_string(++one.releases);
        one.id = id;
        version_of_id_[id] = version;
    }
    auto row = engine_row("llm", engine.address(), 1'700'000'000'000);
    row["version"] = version;
    store.put("servers", id, row);
    store.remove("servers", former.empty() ? engine.id() : former);
}

void soak_world::add_node(int number)
{
    auto one = std::make_unique<soak_node>();
    auto const name = "node-" + std::to_string(number);
    one->name = name;
    one->process = std::make_unique<child_process>(
        std::vector<std::string>{
            options_.program, "entry", "--node", name, "--domain",
            "z" + std::to_string(number / nodes_per_domain), "--listen-callers",
            one->callers.text(), "--listen-ready", one->ready.text(),
            "--listen-peers", one->peers.text(), "--store", store.address(),
            "--stall-least-ms", "200"},
        options_.directory + "/" + name + ".log");
    one->process->start();
    processes_.push_back(std::move(one));
}

void soak_world::await_ready(soak_node const& one) const
{
    auto const end = std::chrono::steady_clock::now() + ready_patience;
    while (std::chrono::steady_clock::now() < end)
    {
        try
        {
            test_caller caller(one.ready.text());
            if (caller.call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status ==
                status_ok)
                return;
        }
        catch (boost::system::system_error const&)
        {
            // It does not listen yet: asked again below.
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    throw std::runtime_error("a node does not become ready");
}

void soak_world::count(std::string const& what)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counts_[what];
}

void soak_world::run()
{
    for (auto const& one : processes_)
        await_ready(*one);
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(options_.callers));
    // Nodes that have started together know no others for up to a second.
    node_fault_ended(node_fault_began());
    std::thread pool([this] { keep_crashing_targets(); });
    for (int i = 0; i < options_.callers; ++i)
        callers.emplace_back([this, i] { call_for(i); });
    std::vector<std::thread> kept;
    auto const kept_callers = options_.basic_faults ? 0 : options_.kept_callers;
    kept.reserve(static_cast<std::size_t>(kept_callers));
    for (int i = 0; i < kept_callers; ++i)
        kept.emplace_back([this, i] { keep_calling(i); });
    for (int i = 0; options_.losses && i < small_programs; ++i)
        program_callers_.emplace_back([this, i] { keep_programs(i); });
    play_faults();
    if (options_.losses)
        play_recovery();
    for (auto const& one : processes_)
        await_ready(*one);
    std::this_thread::sleep_for(calm);
    if (!options_.basic_faults)
        play_hot_workspace();
    calling_ = false;
    for (auto& one : callers)
        one.join();
    pool.join();
    for (int node = 0; node < options_.nodes; ++node)
    {
        int served = 0;
        for (int i = 0; i < calls_after; ++i)
        {
            program_run program;
            program.id = "after" + std::to_string(++last_id_);
            program.budget = 2 * most_tokens;
            auto const got = attempt(program, call_kind::kept_turn, node);
            served += got.whole && got.status == status_ok ? 1 : 0;
        }
        served_after_.push_back(served);
        program_run reader;
        reader.id = "after" + std::to_string(++last_id_);
        auto const got =
            attempt(reader, call_kind::lookup, node, added_path(changes_), {});
        has_last_route_.push_back(got.status == status_ok);
        serves_pool_.push_back(serves_crashing(node));
        outlived_.push_back(
            resumes_elsewhere(node, (node + 1) % options_.nodes));
    }
    end_nodes();
    kept_calling_ = false;
    for (auto& one : kept)
        one.join();
    read_lines();
    // Tell a stand-in that was too slow from nodes that did not reach it.
    std::lock_guard<std::mutex> const lock(mutex_);
    counts_["ms at most from one request at the store to the next"] =
        static_cast<int>(store.longest_pause().count());
    counts_["ms at most that the store's thread was late"] =
        static_cast<int>(store.server().longest_delay().count());
    counts_["connections that the store failed to accept"] =
        static_cast<int>(store.server().failed_accepts());
}

void soak_world::ran(http_request const& request, standin_target const& at)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    history_.runs.push_back(
        {header_of(request, "Request-Id"), at.id(), request.body(), now_ms()});
}

/// \return true where the request has been dealt with.
bool soak_world::misbehave(
    link_ptr const& link, http_request const& request, standin_target& at)
{
    if (!faults_)
        return false;
    if (dice_.chance(refuses))
    {
        count("target refused");
        link->write(standin_target::answer(503, "Not-Executed: 1\r\n", ""));
        link->finish_answer();
        return true;
    }
    auto const silent = dice_.chance(stays_silent);
    if (silent || dice_.chance(cuts_at_once))
    {
        count(silent ? "target silent" : "target cut before its answer");
        ran(request, at);
        if (!silent)
            standin_target::cut(link);
        return true;
    }
    return false;
}

void soak_world::answer_turn(
    link_ptr const& link, http_request const& request, standin_target& at)
{
    if (misbehave(link, request, at))
        return;
    ran(request, at);
    if (request.target() == paced_path)
    {
        answer_paced(link, request, at);
        return;
    }
    auto const id = header_of(request, "Request-Id");
    auto const after = header_of(request, "Last-Event-Id");
    auto const first = after.empty() ? 1 : std::stoi(after) + 1;
    std::string version;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        version = version_of_id_[header_of(request, "Expect-Instance")];
    }
    std::string const path(request.target());
    auto const is_kept = path.find("/kept/") == 0;
    auto const running = begin_call(at);
    auto text = stream_head(id, load_header(at));
    for (int i = first; i <= testing::soak_events; ++i)
    {
        text += sized_chunk(
            is_kept ? testing::soak_event(id, i)
                    : testing::soak_event(id, i, version));
        auto const stops = first == 1 && path == stopping_path;
        if (i + 1 == testing::soak_events &&
            (stops || (faults_ && dice_.chance(stops_midway))))
        {
            count("target stopped midway");
            link->write(text);
            return;
        }
    }
    if (faults_ && dice_.chance(cuts_midway))
    {
        count("target cut in the middle");
        constexpr std::size_t some_bytes = 20;
        link->write(text.substr(0, text.size() - some_bytes));
        standin_target::cut(link);
        return;
    }
    text += "0\r\n\r\n";
    if (faults_ && dice_.chance(adds_an_answer))
    {
        count("target added an answer");
        text += stream_head("other") + "0\r\n\r\n";
    }
    auto const late = faults_ && dice_.chance(answers_late);
    at.server().later(
        late ? late_answer_delay
             : time_at(at, milliseconds(dice_.between(2, 30))),
        [link, text, running]
        {
            link->write(text);
            link->finish_answer();
        });
}

void soak_world::answer_plain(
    link_ptr const& link, http_request const& request, standin_target& at)
{
    if (misbehave(link, request, at))
        return;
    ran(request, at);
    auto const id = header_of(request, "Request-Id");
    auto text = standin_target::answer(
        status_ok, "Request-Id: " + id + "\r\nResponse-Stamp: s\r\n",
        testing::soak_plain_body(id));
    if (faults_ && dice_.chance(adds_an_answer))
    {
        count("target added an answer");
        text += text;
    }
    at.server().later(
        milliseconds(dice_.between(1, 15)),
        [link, text]
        {
            link->write(text);
            link->finish_answer();
        });
}

void soak_world::call_for(int number)
{
    while (calling_)
    {
        program_run one;
        one.id =
            "p" + std::to_string(number) + "x" + std::to_string(++last_id_);
        one.budget = most_tokens * static_cast<unsigned>(dice_.between(2, 20));
        one.keeps = number % 2 == 0;
        run_program(one);
    }
}

void soak_world::run_program(program_run& one)
{
    auto const turns = dice_.between(1, turns_at_most);
    for (int i = 0; i < turns && calling_; ++i)
    {
        if (!turn(one))
            return;
        if (dice_.chance(0.5))
            plain(one, call_kind::lookup);
        if (dice_.chance(0.5))
            plain(one, call_kind::order);
        if (faults_ && dice_.chance(sends_deadly))
            call_deadly();
    }
}

bool soak_world::turn(program_run& one)
{
    auto const kind = one.keeps ? call_kind::kept_turn : call_kind::turn;
    interrupted_stream stream;
    for (int i = 0; i < tries_of_a_turn; ++i)
    {
        stream.leaves =
            kind == call_kind::turn && faults_ && dice_.chance(leaves_stream);
        auto const got = attempt(
            one, kind, dice_.between(0, options_.nodes - 1), path_of(kind),
            stream);
        if (kind == call_kind::turn && got.status == status_ok && !got.whole)
        {
            stream.last_event =
                got.resumed_after + testing::soak_events_of(got);
            if (stream.first_attempt.empty() && stream.last_event > 0)
                stream.first_attempt = got.id;
            stream.is_named = !dice_.chance(names_nothing);
        }
        if (!got.resumes.empty())
        {
            count(
                std::string("resumed attempt, ") +
                (stream.is_named ? "named" : "unnamed") + ", " +
                std::to_string(got.status));
        }
        // The stream can't be resumed, so the turn begins anew.
        if (got.status == status_unavailable)
            stream = {};
        if (got.status == status_ok && got.whole)
        {
            if (one.keeps)
                one.last_kept = got.id;
            return true;
        }
        if (got.status == status_budget)
            return false;
        std::this_thread::sleep_for(pause_before_retry);
    }
    return false;
}

bool soak_world::plain(program_run const& one, call_kind kind)
{
    auto const got = attempt(one, kind, dice_.between(0, options_.nodes - 1));
    return got.status == status_ok && got.whole;
}

recorded_attempt
soak_world::attempt(program_run const& one, call_kind kind, int node)
{
    return attempt(one, kind, node, path_of(kind), {});
}

recorded_attempt soak_world::attempt(
    program_run const& one, call_kind kind, int node, std::string const& path,
    interrupted_stream const& stream)
{
    recorded_attempt to;
    to.id = "r" + std::to_string(++last_id_);
    to.program = one.id;
    to.kind = kind;
    to.budget = one.budget;
    to.most_tokens = one.turn_tokens;
    to.turn = one.turn;
    to.input = "input of " + to.id + ";";
    to.workspace = one.workspace;
    to.has_to_be_served = one.has_to_be_served;
    auto headers = "Program-Id: " + one.id + "\r\n";
    if (!one.workspace.empty())
        headers += "X-Api-Key: key-of-" + one.workspace + "\r\n";
    if (kind == call_kind::turn || kind == call_kind::kept_turn)
    {
        headers += "Token-Budget: " + std::to_string(one.budget) +
                   "\r\nToken-Usage: 40," + std::to_string(one.turn_tokens) +
                   "\r\nModel: m\r\nPrompt-Prefix: aa:30,bb:10\r\n";
    }
    if (kind == call_kind::kept_turn && !one.last_kept.empty())
    {
        to.previous = one.last_kept;
        headers += "Previous-Turn: " + one.last_kept + "\r\n";
    }
    if (stream.last_event > 0)
    {
        to.resumes = stream.first_attempt;
        to.resumed_after = stream.last_event;
        headers +=
            "Last-Event-Id: " + std::to_string(to.resumed_after) + "\r\n";
        if (stream.is_named)
            headers += "Resumes: " + to.resumes + "\r\n";
    }
    // Each caller keeps its connection to a node until the node ends it.
    thread_local std::map<int, std::unique_ptr<soak_connection>> connections;
    exchange(
        connections[node], node, post(path, to.id, headers, to.input),
        attempt_patience, stream.leaves, to);
    count(
        "answer " + std::to_string(to.status) +
        (to.status == status_ok && !to.whole ? ", cut" : ""));
    return to;
}

bool soak_world::resumes_elsewhere(int first, int second)
{
    program_run one;
    one.id = "after" + std::to_string(++last_id_);
    one.budget = 10 * most_tokens;
    interrupted_stream stream;
    stream.leaves = true;
    auto const begun =
        attempt(one, call_kind::turn, first, stopping_path, stream);
    stream.leaves = false;
    stream.first_attempt = begun.id;
    stream.last_event = testing::soak_events_of(begun);
    if (stream.last_event == 0)
        return false;
    auto const got =
        attempt(one, call_kind::turn, second, stopping_path, stream);
    return got.status == status_ok && got.whole;
}

} // namespace soak
} // namespace walnutmill

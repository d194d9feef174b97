#include "entry_world.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <stdexcept>

namespace walnutmill
{
namespace testing
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

tcp::endpoint any_loopback()
{
    return {asio::ip::address_v4::loopback(), 0};
}

/// Long enough that a correct node becomes ready on a loaded machine.
constexpr seconds startup_timeout{60};
/// Wait before the next accept, for a process that has no descriptor left.
constexpr milliseconds accept_retry_delay{20};
constexpr milliseconds delay_watch_interval{50};

} // namespace

reserved_address::reserved_address() : bound_(io_, tcp::v4())
{
    bound_.set_option(tcp::acceptor::reuse_address(true));
    bound_.bind(any_loopback());
    text_ = "127.0.0.1:" + std::to_string(bound_.local_endpoint().port());
}

standin_server::standin_server()
    : work_(io_.get_executor()), acceptor_(io_, any_loopback()),
      address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
{
    accept();
    watch_delays();
    thread_ = std::thread([this] { io_.run(); });
}

standin_server::~standin_server()
{
    io_.stop();
    thread_.join();
}

void standin_server::later(milliseconds after, std::function<void()> what)
{
    auto const timer = std::make_shared<asio::steady_timer>(io_, after);
    timer->async_wait(
        [timer, what = std::move(what)](boost::system::error_code const& error)
        {
            if (!error)
                what();
        });
}

void standin_server::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code const& error, tcp::socket socket)
        {
            if (!acceptor_.is_open())
                return;
            if (error)
            {
                ++failed_accepts_;
                later(accept_retry_delay, [this] { accept(); });
                return;
            }
            caller_link::hooks hooks;
            hooks.on_request =
                [this](link_ptr const& link, http_request&& request)
            { on_request(link, request); };
            hooks.refuse = [](int, std::string_view) { return std::string(); };
            hooks.limits = [] { return caller_limits(); };
            hooks.on_end = [](caller_link*) {};
            auto const link =
                std::make_shared<caller_link>(std::move(socket), hooks);
            links_.erase(
                std::remove_if(
                    links_.begin(), links_.end(),
                    [](auto const& one) { return one.expired(); }),
                links_.end());
            links_.push_back(link);
            link->start();
            accept();
        });
}

void standin_server::end()
{
    asio::post(
        io_,
        [this]
        {
            boost::system::error_code ignored; // it may have ended before
            acceptor_.close(ignored);
            for (auto const& one : links_)
            {
                if (auto const link = one.lock())
                    link->abort();
            }
            links_.clear();
        });
}

void standin_server::pause(milliseconds time)
{
    asio::post(io_, [time] { std::this_thread::sleep_for(time); });
}

milliseconds standin_server::longest_delay() const
{
    return milliseconds(longest_delay_ms_.load());
}

void standin_server::watch_delays()
{
    auto const due = std::chrono::steady_clock::now() + delay_watch_interval;
    later(
        delay_watch_interval,
        [this, due]
        {
            auto const late = std::chrono::duration_cast<milliseconds>(
                std::chrono::steady_clock::now() - due);
            longest_delay_ms_ =
                std::max<std::int64_t>(longest_delay_ms_, late.count());
            watch_delays();
        });
}

standin_store::standin_store()
{
    server_.on_request =
        [this](link_ptr const& link, http_request const& request)
    { answer(link, request); };
}

void standin_store::put(
    std::string const& table, std::string const& key, json const& value)
{
    put_bytes(table, key, value.dump());
}

void standin_store::put_bytes(
    std::string const& table, std::string const& key, std::string_view value)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    rows_.put(table, key, value);
}

void standin_store::put_raw_row(
    std::string const& table, std::string const& key, std::string text)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    rows_.put_raw(table, key, std::move(text));
}

void standin_store::remove(std::string const& table, std::string const& key)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    rows_.remove(table, key);
}

std::size_t standin_store::count(std::string const& table) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return rows_.count(table);
}

std::size_t standin_store::readings(std::string const& table) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = readings_.find(table);
    return found == readings_.end() ? 0 : found->second;
}

void standin_store::silence(std::set<std::string> partitions)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    silent_ = std::move(partitions);
}

std::size_t standin_store::transactions_of(std::string const& partition) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = transactions_of_.find(partition);
    return found == transactions_of_.end() ? 0 : found->second;
}

milliseconds standin_store::longest_pause() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return std::chrono::duration_cast<milliseconds>(std::max(
        longest_pause_, std::chrono::steady_clock::now() - last_request_at_));
}

bool standin_store::is_silent(http_request const& request)
{
    std::string const target(request.target());
    auto partition = query_value(target, "part");
    if (target == "/rows-tx")
    {
        auto const body = json::parse(request.body());
        for (auto const* list : {"writes", "remove", "expect_rev"})
        {
            if (!body[list].empty())
                partition = body[list][0]["part"];
        }
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const now = std::chrono::steady_clock::now();
    longest_pause_ = std::max(longest_pause_, now - last_request_at_);
    last_request_at_ = now;
    if (target == "/rows-tx")
        ++transactions_of_[partition];
    return silent_.count(partition) > 0 ||
           (!silent_table_.empty() &&
            query_value(target, "table") == silent_table_);
}

void standin_store::silence_table(std::string const& table)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    silent_table_ = table;
}

void standin_store::answer(link_ptr const& link, http_request const& request)
{
    constexpr int status_unavailable = 503;
    std::string const target(request.target());
    if (is_silent(request))
        return;
    store_rows::response answer{status_unavailable, "{}"};
    if (!down_)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (target != "/rows-tx")
            ++readings_[query_value(target, "table")];
        answer = rows_.respond(target, request.body());
    }
    auto const every = lose_every_.load();
    if (!down_ && target == "/rows-tx" && every > 0 &&
        ++transactions_ % every == 0)
    {
        link->abort();
        return;
    }
    link->write(standin_target::answer(answer.status, {}, answer.body));
    link->finish_answer();
}

standin_target::standin_target(std::string id) : id_(std::move(id))
{
    server_.on_request =
        [this](link_ptr const& link, http_request const& request)
    { handle(link, request); };
}

void standin_target::set_handler(handler_fn handler)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    handler_ = std::move(handler);
}

std::vector<received_call> standin_target::calls() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return calls_;
}

void standin_target::handle(link_ptr const& link, http_request const& request)
{
    received_call one;
    one.id = std::string(request["Request-Id"]);
    one.body = request.body();
    for (auto const& field : request)
        one.headers[std::string(field.name_string())] =
            std::string(field.value());
    handler_fn handler;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        calls_.push_back(one);
        handler = handler_;
    }
    link->on_disconnect = [this] { ++cancelled_; };
    if (handler && handler(link, request))
        return;
    std::string const path(request.target());
    if (path.find("/turns/") == 0 || path.find("/kept/") == 0)
        link->write(stream(one.id, 1, 3, true));
    else
        link->write(answer(
            200,
            "Request-Id: " + one.id + "\r\nResponse-Stamp: s." + id_ + "\r\n",
            "done by " + id_));
    link->finish_answer();
}

std::string standin_target::event(int number)
{
    auto const digits = std::to_string(number);
    return "id: " + digits + "\ndata: piece " + digits + "\n\n";
}

std::string standin_target::stream(
    std::string const& request_id, int from, int to, bool finished)
{
    std::string out = "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
                      "\r\nResponse-Stamp: s\r\nContent-Type: "
                      "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = from; i <= to; ++i)
    {
        auto const text = event(i);
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        out += size + text + "\r\n";
    }
    return finished ? out + "0\r\n\r\n" : out;
}

std::string standin_target::answer(
    int status, std::string const& headers, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void standin_target::cut(link_ptr const& link)
{
    link->abort();
}

test_caller::test_caller(std::string const& address) : socket_(io_)
{
    socket_.connect(endpoint_of(address).value());
}

void test_caller::send(std::string const& bytes)
{
    asio::write(socket_, asio::buffer(bytes));
}

caller_answer test_caller::receive()
{
    caller_answer to;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    std::array<char, 4'096> chunk{};
    while (!parser.is_done())
    {
        if (!buffer_.empty())
        {
            auto const used = parser.put(asio::buffer(buffer_), error);
            buffer_.erase(0, used);
            if (used > 0 && (!error || error == http::error::need_more))
                continue;
        }
        auto const size = socket_.read_some(asio::buffer(chunk), error);
        if (error)
            break;
        buffer_.append(chunk.data(), size);
    }
    to.whole = parser.is_done();
    if (parser.is_header_done())
    {
        to.status = static_cast<int>(parser.get().result_int());
        for (auto const& field : parser.get())
            to.headers[std::string(field.name_string())] =
                std::string(field.value());
        to.body = parser.get().body();
    }
    return to;
}

caller_answer test_caller::call(std::string const& bytes)
{
    send(bytes);
    return receive();
}

std::string test_caller::receive_until(std::string const& text)
{
    std::array<char, 4'096> chunk{};
    while (buffer_.find(text) == std::string::npos)
    {
        boost::system::error_code error;
        auto const size = socket_.read_some(asio::buffer(chunk), error);
        if (error)
            break;
        buffer_.append(chunk.data(), size);
    }
    return buffer_;
}

void test_caller::close()
{
    socket_.close();
}

entry_world::entry_world()
{
    store.put("op", "config", configuration());
    register_engine(engine_a, "llm");
    register_engine(engine_b, "llm");
    register_engine(service_a, "desk");
    register_engine(service_b, "desk");
}

entry_world::~entry_world()
{
    store.set_down(false);
    // All at once, since each of them waits for the load balancer.
    for (auto& one : nodes)
        one->process->request_stop();
    for (auto& one : nodes)
        stop_node(*one);
}

entry_world::node& entry_world::launch_node(settings_fn const& adjust)
{
    auto one = std::make_unique<node>();
    auto& settings = one->settings;
    settings.node = "node-" + std::to_string(nodes.size());
    settings.domain = "z1";
    settings.listen_callers = one->callers.text();
    settings.listen_ready = one->ready.text();
    settings.listen_peers = one->peers.text();
    settings.listen_metrics = one->metrics.text();
    settings.store = store_address.empty() ? store.address() : store_address;
    settings.stop_grace = seconds(8);
    settings.min_stall_timeout = min_stall_timeout;
    settings.revoke_within = revoke;
    if (adjust)
        adjust(settings);
    one->process = std::make_unique<entry_node>(
        settings, [settings](findings&) { return settings; });
    one->thread =
        std::thread([process = one->process.get()] { process->run(); });
    nodes.push_back(std::move(one));
    return *nodes.back();
}

entry_world::node& entry_world::start_node(settings_fn const& adjust)
{
    auto& started = launch_node(adjust);
    auto const end = std::chrono::steady_clock::now() + startup_timeout;
    while (!is_ready(started))
    {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("node does not become ready");
        std::this_thread::sleep_for(milliseconds(20));
    }
    return started;
}

bool entry_world::is_ready(node const& one) const
{
    try
    {
        test_caller caller(one.settings.listen_ready);
        return caller.call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status ==
               200;
    }
    catch (boost::system::system_error const&)
    {
        return false;
    }
}

std::optional<double>
entry_world::metric(node const& one, std::string const& name) const
{
    test_caller caller(one.settings.listen_metrics);
    auto const text =
        "\n" + caller.call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body;
    auto const at = text.find("\n" + name + " ");
    if (at == std::string::npos)
        return std::nullopt;
    return std::stod(text.substr(at + name.size() + 2));
}

bool entry_world::knows_members(node const& one, int others) const
{
    // The metric counts the node itself.
    return metric(one, "walnutmill_nodes_known") == others + 1;
}

bool entry_world::knows_engines(node const& one, int engines) const
{
    return metric(one, "walnutmill_engines_known") == engines;
}

void entry_world::stop_node(node& one)
{
    if (!one.thread.joinable())
        return;
    one.process->request_stop();
    one.thread.join();
}

void entry_world::register_engine(
    standin_target const& one, std::string const& service,
    std::int64_t started_at_ms)
{
    store.put(
        "servers", one.id(), engine_row(service, one.address(), started_at_ms));
}

void entry_world::register_engine(
    standin_target const& one, std::string const& service,
    std::string const& version)
{
    auto row = engine_row(service, one.address(), 1'700'000'000'000);
    row["version"] = version;
    store.put("servers", one.id(), row);
}

json entry_world::engine_row(
    std::string const& service, std::string const& address,
    std::int64_t started_at_ms)
{
    return {{"service", service}, {"addr", address}, {"zone", "z1"},
            {"version", 1},       {"slots", 8},      {"state", "ready"},
            {"cold_left_ms", 0},  {"seq", 1},        {"born", started_at_ms}};
}

json entry_world::configuration()
{
    auto const route = [](std::string const& name, std::string const& kind,
                          std::string const& service)
    {
        return json{{"name", name},
                    {"host", "h.example"},
                    {"prefix", "/" + name + "/"},
                    {"kind", kind},
                    {"timeout_ms", 3'000},
                    {"target_latency_ms", 250},
                    {"priority", 0},
                    {"service", service},
                    {"max_attempts", 2}};
    };
    auto turns = route("turns", "stream", "llm");
    turns["resumable"] = true;
    auto kept = route("kept", "stream", "llm");
    kept["retain"] = true;
    kept["retain_s"] = 60;
    return {
        {"version", 3},
        {"routes",
         {turns, kept, route("safe", "safe", "desk"),
          route("orders", "unsafe", "desk")}},
        {"services",
         {{{"name", "llm"},
           {"max_conns", 100},
           {"engine", {{"slots", 8}, {"stride", 10}}}},
          {{"name", "desk"}, {"max_conns", 100}}}},
        {"limits",
         {{"max_header_bytes", 4'096},
          {"max_body_bytes", 100'000},
          {"header_timeout_ms", 3'000},
          {"idle_timeout_ms", 15'000}}}};
}

std::string entry_world::turn(
    std::string const& id, std::string const& extra, std::string const& prefix)
{
    return post(
        prefix + "x", id,
        "Token-Usage: 100,30\r\nPrompt-Prefix: ab:50," + id + ":50\r\n" + extra,
        "input of " + id + ";");
}

std::string entry_world::post(
    std::string const& path, std::string const& id, std::string const& extra,
    std::string const& body)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: 3000\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace testing
} // namespace walnutmill

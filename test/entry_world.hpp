#ifndef WALNUTMILL_TEST_ENTRY_WORLD_HPP
#define WALNUTMILL_TEST_ENTRY_WORLD_HPP

/// \file
/// Runs entry nodes on the loopback interface between test callers and
/// stand-ins for the users' platform. The stand-ins for its store and engines
/// follow the published protocol.

#include "entry/caller_link.hpp"
#include "entry/entry_node.hpp"

#include "store_rows.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace walnutmill
{
namespace testing
{

using link_ptr = std::shared_ptr<caller_link>;
using http_request = caller_link::request_type;

/// Reserves a loopback IP:PORT for a node that is started later. The socket is
/// bound but does not listen. The system therefore never assigns the port as an
/// ephemeral one, and a node can still listen on it, because both sockets set
/// SO_REUSEADDR.
class reserved_address
{
public:
    /// \throws boost::system::system_error if no port is available
    reserved_address();

    std::string const& text() const { return text_; }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor bound_;
    std::string text_;
};

/// A server on a free loopback port that runs on its own thread.
class standin_server
{
public:
    using answer_fn = std::function<void(link_ptr const&, http_request const&)>;

    standin_server();
    ~standin_server();
    standin_server(standin_server const&) = delete;
    standin_server& operator=(standin_server const&) = delete;

    std::string const& address() const { return address_; }
    /// Must be set before the first request arrives.
    answer_fn on_request;
    /// Runs a function on the server's thread after a delay.
    void later(std::chrono::milliseconds after, std::function<void()> what);
    /// Stops listening and closes all connections, as a process that ends does.
    void end();
    /// Neither reads nor answers for this time, then goes on. The system still
    /// accepts connections and bytes.
    void pause(std::chrono::milliseconds time);
    /// \return how late at most the thread was to run a timer
    std::chrono::milliseconds longest_delay() const;
    /// \return the number of connections that could not be accepted
    std::size_t failed_accepts() const { return failed_accepts_; }

private:
    void accept();
    void watch_delays();

    std::atomic<std::int64_t> longest_delay_ms_{0};
    std::atomic<std::size_t> failed_accepts_{0};
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::vector<std::weak_ptr<caller_link>> links_;
    std::thread thread_;
};

/// A stand-in for the platform's store: versioned rows and conditional
/// transactions.
class standin_store
{
public:
    standin_store();

    std::string address() const { return server_.address(); }
    void
    put(std::string const& table, std::string const& key,
        nlohmann::json const& value);
    /// Stores a value that need not be valid JSON.
    void put_bytes(
        std::string const& table, std::string const& key,
        std::string_view value);
    /// Stores a row of which answers hold this text, whatever it is.
    void put_raw_row(
        std::string const& table, std::string const& key, std::string text);
    void remove(std::string const& table, std::string const& key);
    /// While down, the store answers every call with 503.
    void set_down(bool down) { down_ = down; }
    /// Applies every n-th transaction without answering it; 0 answers all.
    void lose_answers(unsigned every) { lose_every_ = every; }
    std::size_t count(std::string const& table) const;
    /// \return the number of reads of a table so far
    std::size_t readings(std::string const& table) const;
    /// \return the number of transactions received for a partition, including
    /// unanswered ones
    std::size_t transactions_of(std::string const& partition) const;
    /// \return the longest time between two requests, or since the last one
    std::chrono::milliseconds longest_pause() const;
    standin_server const& server() const { return server_; }
    /// Leaves calls to these partitions unanswered.
    void silence(std::set<std::string> partitions);
    /// Leaves reads of this table unanswered; an empty name answers all.
    void silence_table(std::string const& table);

private:
    void answer(link_ptr const& link, http_request const& request);
    bool is_silent(http_request const& request);

    mutable std::mutex mutex_;
    store_rows rows_;
    std::map<std::string, std::size_t> readings_;
    std::map<std::string, std::size_t> transactions_of_;
    std::set<std::string> silent_;
    std::string silent_table_;
    std::chrono::steady_clock::time_point last_request_at_ =
        std::chrono::steady_clock::now();
    std::chrono::steady_clock::duration longest_pause_{0};
    std::atomic<bool> down_{false};
    std::atomic<unsigned> lose_every_{0};
    std::atomic<unsigned> transactions_{0};
    standin_server server_;
};

/// A call as a stand-in received it.
struct received_call
{
    std::string id;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// A stand-in for a model engine or a plain service. The test sets its
/// responses.
class standin_target
{
public:
    /// Answers one request; \return false to send the default answer.
    using handler_fn =
        std::function<bool(link_ptr const&, http_request const&)>;

    explicit standin_target(std::string id);

    std::string const& id() const { return id_; }
    std::string address() const { return server_.address(); }
    void set_handler(handler_fn handler);
    std::vector<received_call> calls() const;
    std::size_t cancelled_calls() const { return cancelled_; }
    standin_server& server() { return server_; }

    /// A stream with events `from` to `to`, without the last chunk if not
    /// `finished`.
    static std::string
    stream(std::string const& request_id, int from, int to, bool finished);
    static std::string event(int number);
    static std::string
    answer(int status, std::string const& headers, std::string const& body);
    /// Closes the connection in the middle of an answer.
    static void cut(link_ptr const& link);

private:
    void handle(link_ptr const& link, http_request const& request);

    std::string id_;
    mutable std::mutex mutex_;
    std::vector<received_call> calls_;
    handler_fn handler_;
    std::atomic<std::size_t> cancelled_{0};
    standin_server server_;
};

/// An answer as a caller received it.
struct caller_answer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The answer was received completely.
    bool whole = false;
};

/// A caller with one connection.
class test_caller
{
public:
    explicit test_caller(std::string const& address);

    void send(std::string const& bytes);
    caller_answer receive();
    caller_answer call(std::string const& bytes);
    /// Reads until the bytes received contain the text or the connection ends.
    /// \return the bytes, which receive() still reads
    std::string receive_until(std::string const& text);
    void close();

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
    std::string buffer_;
};

/// Two engines, two plain services, a store, and nodes started on demand.
struct entry_world
{
    standin_store store;
    standin_target engine_a{"ia"};
    standin_target engine_b{"ib"};
    standin_target service_a{"da"};
    standin_target service_b{"db"};

    entry_world();
    ~entry_world();

    struct node
    {
        reserved_address callers;
        reserved_address ready;
        reserved_address peers;
        reserved_address metrics;
        entry_settings settings;
        std::unique_ptr<entry_node> process;
        std::thread thread;
    };
    using settings_fn = std::function<void(entry_settings&)>;
    /// Starts a node without waiting until it is ready.
    /// \param adjust changes the settings before the start; may be null
    node& launch_node(settings_fn const& adjust = {});
    /// Starts a node and waits until it is ready.
    node& start_node(settings_fn const& adjust = {});
    void stop_node(node& one);
    bool is_ready(node const& one) const;
    /// \return the value of a metric; empty if the node does not report it
    std::optional<double>
    metric(node const& one, std::string const& name) const;
    bool knows_members(node const& one, int others) const;
    bool knows_engines(node const& one, int engines) const;

    /// \param started_at_ms start time of the engine in Unix milliseconds
    void register_engine(
        standin_target const& one, std::string const& service,
        std::int64_t started_at_ms = 1'700'000'000'000);
    /// Registers an engine whose software has this version.
    void register_engine(
        standin_target const& one, std::string const& service,
        std::string const& version);
    /// The row that a ready engine writes to the store.
    static nlohmann::json engine_row(
        std::string const& service, std::string const& address,
        std::int64_t started_at_ms);
    static nlohmann::json configuration();
    static std::string turn(
        std::string const& id, std::string const& extra = {},
        std::string const& prefix = "/turns/");
    static std::string post(
        std::string const& path, std::string const& id,
        std::string const& extra = {}, std::string const& body = "order");

    /// Polls a condition. \return false if it does not hold within 30 s.
    template<class Condition>
    static bool eventually(Condition const& condition)
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return condition();
    }

    std::vector<std::unique_ptr<node>> nodes;
    /// Least stall timeout of nodes started from then on. It exceeds all
    /// deadlines, because the engines of most tests are silent for other
    /// reasons.
    std::chrono::milliseconds min_stall_timeout{20'000};
    /// Address of the store for nodes started from then on; empty: that of the
    /// stand-in.
    std::string store_address;
    /// Time in which nodes started from then on stop accepting a revoked key;
    /// zero sets no bound.
    std::chrono::milliseconds revoke{0};
};

} // namespace testing
} // namespace walnutmill

#endif

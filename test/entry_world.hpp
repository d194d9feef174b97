#ifndef WALNUTMILL_TEST_ENTRY_WORLD_HPP
#define WALNUTMILL_TEST_ENTRY_WORLD_HPP

/// \file
/// Entry nodes on the loopback between callers and stand-ins of the users'
/// platform: its store and its engines, as their published protocol has them.

#include "entry/caller_link.hpp"
#include "entry/entry_node.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace walnutmill
{
namespace testing
{

using link_ptr = std::shared_ptr<caller_link>;
using http_request = caller_link::request_type;

/// IP:PORT on the loopback for a node that is started later. Bound, not
/// listened on: the system hands the port to nobody who asks for any port,
/// and a node, which sets SO_REUSEADDR as this does, can still listen on it.
class reserved_address
{
public:
    /// \throws boost::system::system_error where no port is left
    reserved_address();

    std::string const& text() const { return text_; }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor held_;
    std::string text_;
};

/// A server on a free port of the loopback, on its own thread.
class standin_server
{
public:
    using answer_fn = std::function<void(link_ptr const&, http_request const&)>;

    standin_server();
    ~standin_server();
    standin_server(standin_server const&) = delete;
    standin_server& operator=(standin_server const&) = delete;

    std::string address() const;
    /// Set before the first request comes.
    answer_fn on_request;
    /// Runs on the server's thread after a while.
    void later(std::chrono::milliseconds after, std::function<void()> what);

private:
    void accept();

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// The platform's store: rows with versions and conditions.
class standin_rows
{
public:
    standin_rows();

    std::string address() const { return server_.address(); }
    void
    put(std::string const& table, std::string const& key,
        nlohmann::json const& value);
    /// A value that may be no document.
    void put_bytes(
        std::string const& table, std::string const& key, std::string value);
    void remove(std::string const& table, std::string const& key);
    /// While down, every call is answered 503.
    void set_down(bool down) { down_ = down; }
    /// Every so manieth transaction is done but not answered; 0: all are.
    void lose_answers(unsigned every) { lose_every_ = every; }
    std::size_t count(std::string const& table) const;
    /// \return readings of a table until now
    std::size_t readings(std::string const& table) const;
    /// \return transactions that came for a partition, answered or not
    std::size_t transactions_of(std::string const& partition) const;
    /// Calls to these partitions are not answered.
    void silence(std::set<std::string> partitions);
    /// Readings of this table are not answered; empty: all are.
    void silence_table(std::string const& table);

private:
    struct stored
    {
        std::string value;
        std::uint64_t version = 0;
    };
    using place = std::array<std::string, 3>;

    void answer(link_ptr const& link, http_request const& request);
    nlohmann::json transaction(nlohmann::json const& body, int& status);
    nlohmann::json range(std::string const& target);
    bool is_silent(http_request const& request);
    nlohmann::json row_json(place const& at) const;

    mutable std::mutex mutex_;
    std::map<place, stored> rows_;
    std::map<std::string, std::size_t> readings_;
    std::map<std::string, std::size_t> transactions_of_;
    std::set<std::string> silent_;
    std::string silent_table_;
    std::uint64_t version_ = 0;
    std::atomic<bool> down_{false};
    std::atomic<unsigned> lose_every_{0};
    std::atomic<unsigned> transactions_{0};
    standin_server server_;
};

/// What an engine was sent.
struct received_call
{
    std::string id;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// A model engine or a plain service that answers as the test says.
class standin_target
{
public:
    /// Answers one request; \return false to use the usual answer.
    using script_fn = std::function<bool(link_ptr const&, http_request const&)>;

    explicit standin_target(std::string id);

    std::string const& id() const { return id_; }
    std::string address() const { return server_.address(); }
    void set_script(script_fn script);
    std::vector<received_call> calls() const;
    std::size_t callers_that_left() const { return left_; }
    standin_server& server() { return server_; }

    /// A whole stream with events `from` to `to`, or its unfinished start.
    static std::string
    stream(std::string const& request_id, int from, int to, bool finished);
    static std::string event(int number);
    static std::string
    answer(int status, std::string const& headers, std::string const& body);
    /// Ends the connection in the middle of an answer.
    static void cut(link_ptr const& link);

private:
    void take(link_ptr const& link, http_request const& request);

    std::string id_;
    mutable std::mutex mutex_;
    std::vector<received_call> calls_;
    script_fn script_;
    std::atomic<std::size_t> left_{0};
    standin_server server_;
};

/// An answer as a caller got it.
struct caller_answer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// The answer came to its proper end.
    bool whole = false;
};

/// A caller's connection.
class test_caller
{
public:
    explicit test_caller(std::string const& address);

    void send(std::string const& bytes);
    caller_answer receive();
    caller_answer call(std::string const& bytes);
    void close();

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
    std::string buffer_;
};

/// Two engines, two plain services, a store, and nodes on demand.
struct entry_world
{
    standin_rows store;
    standin_target engine_a{"ia"};
    standin_target engine_b{"ib"};
    standin_target desk_a{"da"};
    standin_target desk_b{"db"};

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
    /// Starts a node.
    node& launch_node();
    /// Starts a node and waits until it is ready.
    node& start_node();
    void stop_node(node& one);
    bool is_ready(node const& one) const;

    /// \param born when the engine started, in Unix milliseconds
    void register_engine(
        standin_target const& one, std::string const& service,
        std::int64_t born = 1'700'000'000'000);
    /// What an engine that is ready says of itself in the store.
    static nlohmann::json engine_row(
        std::string const& service, std::string const& address,
        std::int64_t born);
    static nlohmann::json configuration();
    static std::string turn(
        std::string const& id, std::string const& extra = {},
        std::string const& prefix = "/turns/");
    static std::string post(
        std::string const& path, std::string const& id,
        std::string const& extra = {}, std::string const& body = "order");

    /// \return false where the condition did not hold within half a minute.
    template<class Condition>
    static bool comes_true(Condition const& condition)
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!condition() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return condition();
    }

    std::vector<std::unique_ptr<node>> nodes;
    /// Of nodes started from then on. Beyond all deadlines, as engines of most
    /// tests keep silent for other reasons.
    std::chrono::milliseconds stall_least{20'000};
    /// Of nodes started from then on: within which no key that was taken away
    /// is served; zero: no bound.
    std::chrono::milliseconds revoke{0};
};

} // namespace testing
} // namespace walnutmill

#endif

#ifndef WALNUTMILL_SRC_ENTRY_STORE_CLIENT_HPP
#define WALNUTMILL_SRC_ENTRY_STORE_CLIENT_HPP

/// \file
/// The one client of the platform's store: keeps connections, times attempts,
/// repeats them, and goes through another node where the store turns this
/// one away.

#include <walnutmill/clock.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/versioned_store.hpp>

#include "entry/http_caller.hpp"
#include "entry/store_paths.hpp"
#include "platform/store_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

class store_client
{
public:
    using reply_fn = std::function<void(platform::store_reply)>;

    struct hooks
    {
        /// The store became reachable or unreachable over all ways.
        std::function<void(bool reachable, std::string_view why)> on_change;
        /// The store answers again after it counted as lost.
        std::function<void()> on_return;
        metrics* counters = nullptr;
    };

    store_client(
        boost::asio::io_context& io, std::string address,
        random_fn const& random, hooks to);
    ~store_client();
    store_client(store_client const&) = delete;
    store_client& operator=(store_client const&) = delete;

    void set_address(std::string address);
    void set_relays(std::vector<std::string> relays);

    /// What a call does while the store answers nobody.
    enum class when_lost
    {
        /// Goes on trying until its patience ends.
        try_on,
        /// Ends at once, so that its caller can be told to come back.
        fail_at_once,
        /// Makes a single attempt for as long as its patience, lost or not, and
        /// one over another way if the straight one turned it away: for calls
        /// of all nodes on one partition, whose attempts wait for each other
        /// there and, repeated, keep it full.
        try_once
    };

    /// \return the calls; they end when the client does.
    versioned_store calls(when_lost then);

    /// Carries another node's call, straight only.
    /// \param to gets status 503 where the store could not be reached
    void carry(platform::store_request const& request, reply_fn const& to);

    /// \return for how long the store has answered nobody; zero while it does.
    duration lost_for() const;

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    void start(pending_ptr const& one, when_lost then);
    bool lost() const;
    bool lost(std::string const& partition) const;
    void try_once(pending_ptr const& one);
    void attempt_ended(
        pending_ptr const& one, store_path const& path, http_reply reply);
    void retry_later(pending_ptr const& one);
    void give_up(pending_ptr const& one) const;
    void
    deliver(pending_ptr const& one, platform::store_reply const& reply) const;
    void note_success(std::string const& partition);
    void note_failure(std::string const& partition, std::string_view why);
    std::string partition_to_probe();
    void probe_later(duration after);
    void probe();

    duration attempt_patience(pending const& one) const;
    void send_attempt(
        std::string const& address, platform::store_request const& request,
        duration patience, http_caller::done_fn done);

    boost::asio::io_context& io_;
    std::string address_;
    random_fn random_;
    hooks hooks_;
    store_paths paths_;
    http_caller caller_;
    /// Moving average of answers' times; sets how long attempts wait.
    duration usual_time_;
    /// Since when nothing has been answered; the epoch: the last call was.
    time_point failing_since_{};
    /// The same by partition, of those that failed last: a part of them may be
    /// away while the others serve.
    std::unordered_map<std::string, time_point> silent_since_;
    boost::asio::steady_timer probe_timer_;
    /// Nodes that may probe at the same time, this one included.
    std::size_t nodes_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

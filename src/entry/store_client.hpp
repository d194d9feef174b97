#ifndef WALNUTMILL_SRC_ENTRY_STORE_CLIENT_HPP
#define WALNUTMILL_SRC_ENTRY_STORE_CLIENT_HPP

/// \file
/// The node's single client of the platform's store. It keeps connections
/// open, bounds each attempt by a timeout, retries with backoff, and relays
/// calls through a peer while the store rejects this node. Without it a short
/// store fault or rejection would fail every call in progress.

#include <walnutmill/clock.hpp>
#include <walnutmill/metrics.hpp>
#include <walnutmill/random.hpp>
#include <walnutmill/versioned_store.hpp>

#include "entry/exchange.hpp"
#include "entry/store_paths.hpp"
#include "platform/store_codec.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace walnutmill
{

class store_client
{
public:
    using reply_fn = std::function<void(platform::store_reply)>;

    /// A call that ended without a conclusive reply.
    struct failed_call
    {
        /// "commit", "read" or "changes".
        std::string_view verb;
        std::string_view table;
        duration took{0};
        int attempts = 0;
        /// Bytes of answers that did not arrive completely.
        std::uint64_t abandoned_bytes = 0;
    };

    struct hooks
    {
        /// The store became reachable, or unreachable over all paths.
        std::function<void(bool reachable, std::string_view why)> on_change;
        /// The store became reachable again after it counted as lost.
        std::function<void()> on_recovery;
        metrics* counters = nullptr;
        std::function<void(failed_call const&)> on_failed_call{};
    };

    store_client(
        exchange_runtime runtime, std::string address, random_fn const& random,
        hooks to);
    ~store_client();
    store_client(store_client const&) = delete;
    store_client& operator=(store_client const&) = delete;

    /// Sets IP:PORT of the store; used by attempts started afterwards.
    void set_address(std::string address);
    /// Sets IP:PORT of the peers that may relay calls.
    void set_relays(std::vector<std::string> relays);

    /// How a call behaves while the store is unreachable.
    enum class unavailable_policy
    {
        /// Retries until the call's timeout.
        retry_until_timeout,
        /// Fails at once, so that the caller can be asked to retry later.
        fail_fast,
        /// Makes a single attempt that lasts for the call's whole timeout, even
        /// while the store is unreachable. A second attempt follows over a
        /// relay if the direct one failed. Meant for calls that all
        /// nodes make on one partition: their attempts queue there, and retries
        /// would keep the partition saturated.
        single_attempt
    };

    /// \return the store's calls, valid for the lifetime of the client.
    versioned_store calls(unavailable_policy policy);

    /// Relays a call of another node over the direct path only.
    /// \param on_progress called when bytes of the reply arrive; may be null
    /// \param to receives the reply; status 503 if the store was not reached,
    /// status 0 if the call was sent but not answered
    void relay_request(
        platform::store_request const& request,
        std::function<void()> on_progress, reply_fn const& to);

    /// \return for how long the store has been unreachable; zero while it is
    /// reachable.
    duration lost_for() const;

private:
    struct pending;
    using pending_ptr = std::shared_ptr<pending>;

    void start(pending_ptr const& call, unavailable_policy policy);
    bool lost() const;
    bool lost(std::string const& partition) const;
    void send_next_attempt(pending_ptr const& call);
    void attempt_ended(
        pending_ptr const& call, store_path const& path, exchange_reply reply);
    void schedule_retry(pending_ptr const& call);
    void fail(pending_ptr const& call) const;
    void
    deliver(pending_ptr const& call, platform::store_reply const& reply) const;
    void record_success(std::string const& partition);
    void record_failure(std::string const& partition, std::string_view why);
    std::string partition_to_probe();
    void schedule_probe(duration after);
    void probe();

    duration attempt_timeout(pending const& call) const;
    void send_attempt(
        std::string const& address, platform::store_request const& request,
        exchange_limits limits, std::function<void()> on_progress,
        std::function<void(exchange_reply)> done);

    exchange_runtime runtime_;
    std::string address_;
    random_fn random_;
    hooks hooks_;
    store_paths paths_;
    /// Moving average of the reply latency; determines attempt timeouts.
    duration mean_latency_;
    /// Time of the first failure since the last reply; the epoch if the last
    /// call was answered.
    time_point failing_since_{};
    /// The same for each partition whose last call failed: some partitions may
    /// be unreachable while the others serve.
    std::unordered_map<std::string, time_point> partition_failing_since_;
    /// Number of the probe that was scheduled last; earlier ones are void.
    std::uint64_t probe_run_ = 0;
    /// Number of nodes that may probe concurrently, including this one.
    std::size_t nodes_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace walnutmill

#endif

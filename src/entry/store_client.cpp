#include "entry/store_client.hpp"

#include "entry/partitions.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using platform::store_reply;
using std::chrono::milliseconds;

/// Bounds of the time until the reply to an attempt begins. Replies usually
/// take 4 to 10 ms and at times sixty times as long; a transaction over two
/// tables takes twice that.
constexpr milliseconds min_attempt_timeout{80};
constexpr milliseconds max_attempt_timeout{1'500};
/// Attempt timeout as a multiple of the mean latency.
constexpr int attempt_timeout_factor = 8;
/// Bounds of the exponential retry delay, which has a jitter of one half. A
/// store over its rate limit recovers only if rejected callers back off: with
/// delays of at most 150 ms, 80 nodes made 9,000 attempts a second at a store
/// that takes 1,500, and the overload did not end.
constexpr milliseconds min_retry_delay{15};
constexpr milliseconds max_retry_delay{500};
constexpr int max_doublings = 5;
constexpr milliseconds initial_mean_latency{10};
/// The store counts as lost when no call has been answered over any path for
/// this long. The value is above the duration of a burst of rate-limit
/// rejections (100 ms) and below a caller's target latency. Reads of the
/// configuration and the engines, about four a second, continue meanwhile and
/// detect the recovery.
constexpr milliseconds lost_after{300};
/// Upper bound of the timeout of attempts started while the store is lost. An
/// attempt sent just before the store recovers would otherwise delay its call
/// by the maximum attempt timeout. The value is above a reply that takes sixty
/// times as long as usual (540 ms), because a slow store counts as lost between
/// two replies.
constexpr milliseconds max_attempt_timeout_while_lost{600};
/// Interval and timeout of the probes of a lost store. Probes use the direct
/// path and a short timeout, so that a node detects the recovery within about
/// 150 ms. With pending attempts alone, detection takes 420 to 620 ms.
constexpr milliseconds probe_interval{150};
constexpr milliseconds probe_timeout{400};
/// Limits all nodes together to 500 probes a second, a quarter of the capacity
/// of the store at the smallest site.
constexpr milliseconds probe_interval_per_node{2};
constexpr int status_unavailable = 503;

/// \return the partition that a transaction's rows share.
std::string partition_of(row_transaction const& transaction)
{
    if (!transaction.writes.empty())
        return transaction.writes.front().at.partition;
    if (!transaction.removals.empty())
        return transaction.removals.front().partition;
    return transaction.conditions.empty()
               ? std::string()
               : transaction.conditions.front().at.partition;
}

/// \return the table of a transaction's first row.
std::string table_of(row_transaction const& transaction)
{
    if (!transaction.writes.empty())
        return transaction.writes.front().at.table;
    return transaction.removals.empty() ? std::string()
                                        : transaction.removals.front().table;
}

} // namespace

struct store_client::pending
{
    platform::store_request request;
    /// Partition of all rows of the call.
    std::string partition;
    /// Metric labels: the operation ("commit", "read" or "changes") and the
    /// table.
    std::string_view verb;
    std::string table;
    time_point deadline;
    time_point started_at;
    int attempts = 0;
    /// Bytes of answers that did not arrive completely.
    std::uint64_t abandoned_bytes = 0;
    unavailable_policy policy = unavailable_policy::retry_until_timeout;
    /// An attempt was sent but not answered, so its outcome is unknown.
    bool in_doubt = false;
    bool ended = false;
    /// Of the last attempt.
    call_failure failure = call_failure::not_sent;
    std::function<void(pending const&, store_outcome, store_reply const&)> done;
};

store_client::store_client(
    exchange_runtime runtime, std::string address, random_fn const& random,
    hooks to)
    : runtime_(std::move(runtime)), address_(std::move(address)),
      random_(random), hooks_(std::move(to)), paths_(random),
      mean_latency_(initial_mean_latency)
{
}

store_client::~store_client()
{
    *alive_ = false;
}

void store_client::set_address(std::string address)
{
    address_ = std::move(address);
}

void store_client::set_relays(std::vector<std::string> relays)
{
    nodes_ = relays.size() + 1;
    paths_.set_relays(std::move(relays));
}

versioned_store store_client::calls(unavailable_policy policy)
{
    versioned_store to;
    to.commit = [this, policy](
                    row_transaction const& transaction, milliseconds timeout,
                    std::function<void(transaction_result)> done)
    {
        auto call = std::make_shared<pending>();
        call->request = platform::encode_transaction(transaction);
        call->partition = partition_of(transaction);
        call->verb = "commit";
        call->table = table_of(transaction);
        call->started_at = runtime_.clock();
        call->deadline = call->started_at + timeout;
        call->done = [done = std::move(done)](
                         pending const& ended, store_outcome outcome,
                         store_reply const& reply)
        {
            transaction_result result;
            result.outcome = outcome;
            if (outcome != store_outcome::unavailable &&
                !platform::decode_transaction(reply, result))
                result.outcome = store_outcome::unavailable;
            result.in_doubt = ended.in_doubt || (outcome != result.outcome);
            done(std::move(result));
        };
        start(call, policy);
    };
    to.read = [this, policy](
                  row_range const& range, milliseconds timeout,
                  std::function<void(range_result)> done)
    {
        auto call = std::make_shared<pending>();
        call->request = platform::encode_range(range);
        call->partition = range.partition;
        call->verb = "read";
        call->table = range.table;
        call->started_at = runtime_.clock();
        call->deadline = call->started_at + timeout;
        call->done = [skip = range.skip_unreadable, done = std::move(done)](
                         pending const& ended, store_outcome outcome,
                         store_reply const& reply)
        {
            range_result result;
            result.outcome = outcome;
            if (outcome == store_outcome::unavailable)
                result.failure = ended.failure;
            if (outcome == store_outcome::done &&
                !platform::decode_range(reply, result, skip))
            {
                result.outcome = store_outcome::unavailable;
                result.failure = call_failure::malformed;
            }
            done(std::move(result));
        };
        start(call, policy);
    };
    to.read_changes = [this, policy](
                          std::string const& table, std::uint64_t after,
                          milliseconds timeout,
                          std::function<void(changes_result)> done)
    {
        auto call = std::make_shared<pending>();
        call->request = platform::encode_changes(table, after);
        call->verb = "changes";
        call->table = table;
        call->started_at = runtime_.clock();
        call->deadline = call->started_at + timeout;
        call->done =
            [done = std::move(done)](
                pending const&, store_outcome outcome, store_reply const& reply)
        {
            changes_result result;
            result.outcome = outcome;
            // The store answered that it no longer knows the changes.
            result.history_lost =
                outcome == store_outcome::unavailable && reply.status != 0;
            if (outcome == store_outcome::done &&
                !platform::decode_changes(reply, result))
            {
                result.outcome = store_outcome::unavailable;
                // The same changes would be as unreadable next time.
                result.history_lost = true;
            }
            done(std::move(result));
        };
        start(call, policy);
    };
    to.answers = [this](std::string const& partition)
    { return !lost(partition); };
    return to;
}

duration store_client::lost_for() const
{
    return lost() ? runtime_.clock() - failing_since_ : duration(0);
}

bool store_client::lost() const
{
    return failing_since_ != time_point{} &&
           runtime_.clock() - failing_since_ >= lost_after;
}

bool store_client::lost(std::string const& partition) const
{
    if (lost())
        return true;
    auto const found = partition_failing_since_.find(partition);
    return found != partition_failing_since_.end() &&
           runtime_.clock() - found->second >= lost_after;
}

void store_client::start(pending_ptr const& call, unavailable_policy policy)
{
    call->policy = policy;
    // Asynchronous, because the caller's state may be incomplete during its
    // call.
    runtime_.schedule_after(
        duration(0),
        [this, alive = alive_, call]
        {
            if (!*alive)
                return;
            if (call->policy == unavailable_policy::fail_fast &&
                lost(call->partition))
                fail(call);
            else
                send_next_attempt(call);
        });
}

duration store_client::attempt_timeout(pending const& call) const
{
    auto const usual =
        mean_latency_ * attempt_timeout_factor * (call.attempts + 1);
    duration const longest = lost(call.partition)
                                 ? max_attempt_timeout_while_lost
                                 : max_attempt_timeout;
    return std::clamp<duration>(usual, min_attempt_timeout, longest);
}

void store_client::send_next_attempt(pending_ptr const& call)
{
    auto const at = runtime_.clock();
    if (at >= call->deadline)
    {
        fail(call);
        return;
    }
    auto const path = paths_.choose(at);
    auto const& address = path.direct() ? address_ : path.relay;
    exchange_limits limits;
    limits.response =
        call->policy == unavailable_policy::single_attempt
            ? call->deadline - at
            : std::min(attempt_timeout(*call), call->deadline - at);
    ++call->attempts;
    send_attempt(
        address, call->request, limits, {},
        [this, alive = alive_, call, path](exchange_reply reply)
        {
            if (*alive)
                attempt_ended(call, path, std::move(reply));
        });
}

void store_client::send_attempt(
    std::string const& address, platform::store_request const& request,
    exchange_limits limits, std::function<void()> on_progress,
    std::function<void(exchange_reply)> done)
{
    runtime_.exchange(
        {address, platform::frame(request, address), limits,
         std::move(on_progress)},
        [this, alive = alive_, done = std::move(done)](exchange_reply reply)
        {
            if (!*alive)
                return;
            if (reply.answered)
                mean_latency_ = (mean_latency_ * 7 + reply.latency) / 8;
            done(std::move(reply));
        });
}

void store_client::attempt_ended(
    pending_ptr const& call, store_path const& path, exchange_reply reply)
{
    store_reply const answer{reply.status, std::move(reply.body)};
    auto const server_unavailable =
        platform::kind_of(answer) == platform::reply_kind::server_unavailable;
    call->failure =
        reply.answered ? call_failure::refused : call_failure::unanswered;
    if (reply.answered && !server_unavailable)
    {
        paths_.succeeded(path, runtime_.clock());
        record_success(call->partition);
        deliver(call, answer);
        return;
    }
    if (hooks_.counters != nullptr)
    {
        hooks_.counters->count(
            reply.answered ? "walnutmill_store_attempts_turned_away_total"
                           : "walnutmill_store_attempts_unanswered_total");
        if (!reply.answered)
        {
            hooks_.counters->count(
                "walnutmill_store_bytes_abandoned_total", answer.body.size());
        }
    }
    if (!reply.answered)
        call->abandoned_bytes += answer.body.size();
    // An unreachable partition does not indicate that the path is faulty.
    if (lost() || !lost(call->partition))
        paths_.failed(path, runtime_.clock());
    call->in_doubt = call->in_doubt || (!reply.answered && reply.sent);
    // A store whose reply has begun is reachable.
    if (reply.answered || reply.status == 0)
    {
        record_failure(
            call->partition, reply.answered ? "turned away" : "no answer");
    }
    schedule_retry(call);
}

void store_client::schedule_retry(pending_ptr const& call)
{
    // The first attempt over a relay needs no delay.
    auto const at_once =
        call->attempts == 1 && !paths_.direct_available(runtime_.clock());
    if ((call->policy == unavailable_policy::single_attempt && !at_once) ||
        (call->policy == unavailable_policy::fail_fast &&
         lost(call->partition)))
    {
        fail(call);
        return;
    }
    auto const jitter = 0.5 + random_();
    auto const delay = std::min<duration>(
        min_retry_delay * (1 << std::min(call->attempts, max_doublings)),
        max_retry_delay);
    auto const wait = duration(static_cast<duration::rep>(
        static_cast<double>(delay.count()) * jitter));
    runtime_.schedule_after(
        at_once ? duration(0) : wait,
        [this, alive = alive_, call]
        {
            if (*alive)
                send_next_attempt(call);
        });
}

void store_client::fail(pending_ptr const& call) const
{
    if (hooks_.counters != nullptr)
        hooks_.counters->count("walnutmill_store_calls_failed_total");
    if (hooks_.on_failed_call)
    {
        hooks_.on_failed_call(
            {call->verb, call->table, runtime_.clock() - call->started_at,
             call->attempts, call->abandoned_bytes});
    }
    call->done(*call, store_outcome::unavailable, {});
}

void store_client::deliver(
    pending_ptr const& call, store_reply const& reply) const
{
    if (hooks_.counters != nullptr)
    {
        auto const labels = "{call=\"" + std::string(call->verb) +
                            "\",table=\"" + call->table + "\"}";
        hooks_.counters->count("walnutmill_store_calls_total" + labels);
        hooks_.counters->count(
            "walnutmill_store_bytes_received_total" + labels,
            reply.body.size());
    }
    auto const kind = platform::kind_of(reply);
    auto const outcome =
        kind == platform::reply_kind::done       ? store_outcome::done
        : kind == platform::reply_kind::conflict ? store_outcome::conflict
                                                 : store_outcome::unavailable;
    call->done(*call, outcome, reply);
}

void store_client::record_success(std::string const& partition)
{
    if (failing_since_ == time_point{} && partition_failing_since_.empty())
        return;
    auto const was_lost = lost();
    // Partitions that fail together usually recover together. The others are
    // retried, and count as lost again if that fails.
    if (was_lost || lost(partition))
        partition_failing_since_.clear();
    else
        partition_failing_since_.erase(partition);
    if (failing_since_ == time_point{})
        return;
    failing_since_ = {};
    if (hooks_.on_change)
        hooks_.on_change(true, "answered");
    if (was_lost && hooks_.on_recovery)
        hooks_.on_recovery();
}

void store_client::record_failure(
    std::string const& partition, std::string_view why)
{
    auto const probing =
        failing_since_ != time_point{} || !partition_failing_since_.empty();
    partition_failing_since_.emplace(partition, runtime_.clock());
    if (failing_since_ == time_point{})
    {
        failing_since_ = runtime_.clock();
        if (hooks_.on_change)
            hooks_.on_change(false, why);
    }
    if (!probing)
        schedule_probe(probe_interval);
}

void store_client::schedule_probe(duration after)
{
    runtime_.schedule_after(
        after,
        [this, alive = alive_, run = ++probe_run_]
        {
            if (!*alive || run != probe_run_)
                return;
            if (failing_since_ != time_point{} ||
                !partition_failing_since_.empty())
                probe();
        });
}

/// Selects a random partition to probe. While no call is answered, it prefers
/// partitions that have not failed: a node with little load may have called
/// only one partition, whose failure does not show that the store is
/// unreachable. Otherwise it selects one of the failing partitions.
std::string store_client::partition_to_probe()
{
    auto const all = all_partitions();
    std::vector<std::string> failing;
    std::vector<std::string> others;
    for (auto const& partition : all)
        (partition_failing_since_.count(partition) > 0 ? failing : others)
            .push_back(partition);
    auto const& from =
        failing_since_ != time_point{} && !others.empty() ? others : failing;
    if (from.empty())
        return {};
    auto const drawn =
        static_cast<std::size_t>(random_() * static_cast<double>(from.size()));
    return from[std::min(drawn, from.size() - 1)];
}

/// Sends a read of a table that is never written.
void store_client::probe()
{
    auto const partition = partition_to_probe();
    auto const nothing =
        platform::encode_range({"walnutmill-probe", partition, {}, {}});
    runtime_.exchange(
        {address_, platform::frame(nothing, address_),
         small_exchange(probe_timeout)},
        [this, alive = alive_, partition](exchange_reply const& reply)
        {
            store_reply const answer{reply.status, reply.body};
            if (!*alive || !reply.answered ||
                platform::kind_of(answer) ==
                    platform::reply_kind::server_unavailable)
                return;
            paths_.succeeded({}, runtime_.clock());
            record_success(partition);
        });
    auto const jitter = 0.75 + random_() / 2;
    auto const delay = std::max<duration>(
        probe_interval, probe_interval_per_node * static_cast<int>(nodes_));
    schedule_probe(duration(static_cast<duration::rep>(
        static_cast<double>(delay.count()) * jitter)));
}

void store_client::relay_request(
    platform::store_request const& request, std::function<void()> on_progress,
    reply_fn const& to)
{
    if (!paths_.direct_available(runtime_.clock()))
    {
        to({status_unavailable, {}});
        return;
    }
    send_attempt(
        address_, request, {max_attempt_timeout}, std::move(on_progress),
        [this, alive = alive_, to](exchange_reply reply)
        {
            if (!*alive)
                return;
            store_reply answer{reply.status, std::move(reply.body)};
            auto const good =
                reply.answered && platform::kind_of(answer) !=
                                      platform::reply_kind::server_unavailable;
            if (good)
                paths_.succeeded({}, runtime_.clock());
            else
                paths_.failed({}, runtime_.clock());
            if (!reply.answered)
            {
                // A call that was sent but not answered may have taken effect.
                // Status 0 reports this, and the requesting node receives no
                // reply either.
                answer.status = reply.sent ? 0 : status_unavailable;
            }
            to(std::move(answer));
        });
}

} // namespace walnutmill

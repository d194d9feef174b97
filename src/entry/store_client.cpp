#include "entry/store_client.hpp"

#include "entry/partitions.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using platform::store_reply;
using std::chrono::milliseconds;

/// Shortest and longest wait for one answer. Answers usually take 4 to 10 ms;
/// at times sixty times as long, and a transaction over two tables twice
/// that.
constexpr milliseconds shortest_attempt{80};
constexpr milliseconds longest_attempt{1'500};
/// An attempt waits for this many times the usual answer.
constexpr int attempt_factor = 8;
/// Pause before an attempt after one that was turned away; doubles, and is
/// spread by half. A spell over the store's rate ends only if those turned
/// away leave it alone: with pauses of 150 ms at most 80 nodes made 9,000
/// attempts a second at a store that takes 1,500, without an end.
constexpr milliseconds shortest_pause{15};
constexpr milliseconds longest_pause{500};
constexpr int most_doublings = 5;
constexpr milliseconds first_usual_time{10};
/// The store counts as lost when nothing has been answered, over any way, for
/// this long: longer than a spell of refusals by rate (100 ms), shorter than a
/// caller's target latency. Readings of configuration and engines, some four a
/// second, go on and find it again.
constexpr milliseconds lost_after{300};
/// Attempts begun while the store is lost wait no longer than this: one that
/// was sent into a silent store just before its return would hold its call for
/// the longest attempt. Above what an answer takes when it takes sixty times as
/// long (540 ms), as a store that is slow counts as lost between two answers.
constexpr milliseconds longest_while_lost{600};
/// A lost store is asked by itself this often, straight and over connections
/// that are given up soon, so that a node knows of its return within some
/// 150 ms. By waiting attempts alone nodes took 420 to 620 ms.
constexpr milliseconds probe_every{150};
constexpr milliseconds probe_patience{400};
/// All nodes together probe at most 500 times a second, a quarter of what the
/// smallest site's store takes.
constexpr milliseconds probe_every_per_node{2};
constexpr int status_turned_away = 503;

/// \return the partition that a transaction's rows share.
std::string partition_of(row_transaction const& one)
{
    if (!one.writes.empty())
        return one.writes.front().at.partition;
    if (!one.removals.empty())
        return one.removals.front().partition;
    return one.conditions.empty() ? std::string()
                                  : one.conditions.front().at.partition;
}

/// \return the table of a transaction's first row.
std::string table_of(row_transaction const& one)
{
    if (!one.writes.empty())
        return one.writes.front().at.table;
    return one.removals.empty() ? std::string() : one.removals.front().table;
}

time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

} // namespace

struct store_client::pending
{
    platform::store_request request;
    /// Where its rows lie: all share a partition.
    std::string partition;
    /// What is called, for the counters: "commit" or "read", and the table.
    std::string_view verb;
    std::string table;
    time_point give_up_at;
    int attempts = 0;
    when_lost then = when_lost::try_on;
    /// An attempt went without an answer that tells its fate.
    bool in_doubt = false;
    bool ended = false;
    std::function<void(store_outcome, store_reply const&, bool in_doubt)> done;
    std::shared_ptr<boost::asio::steady_timer> pause;
};

store_client::store_client(
    boost::asio::io_context& io, std::string address, random_fn const& random,
    hooks to)
    : io_(io), address_(std::move(address)), random_(random),
      hooks_(std::move(to)), paths_(random), caller_(io),
      usual_time_(first_usual_time), probe_timer_(io)
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

versioned_store store_client::calls(when_lost then)
{
    versioned_store to;
    to.commit = [this, then](
                    row_transaction const& one, milliseconds patience,
                    std::function<void(transaction_result)> done)
    {
        auto call = std::make_shared<pending>();
        call->request = platform::encode_transaction(one);
        call->partition = partition_of(one);
        call->verb = "commit";
        call->table = table_of(one);
        call->give_up_at = now() + patience;
        call->done =
            [done = std::move(done)](
                store_outcome outcome, store_reply const& reply, bool in_doubt)
        {
            transaction_result result;
            result.outcome = outcome;
            if (outcome != store_outcome::unavailable &&
                !platform::decode_transaction(reply, result))
                result.outcome = store_outcome::unavailable;
            result.in_doubt = in_doubt || (outcome != result.outcome);
            done(std::move(result));
        };
        start(call, then);
    };
    to.read = [this, then](
                  row_range const& range, milliseconds patience,
                  std::function<void(range_result)> done)
    {
        auto call = std::make_shared<pending>();
        call->request = platform::encode_range(range);
        call->partition = range.partition;
        call->verb = "read";
        call->table = range.table;
        call->give_up_at = now() + patience;
        call->done = [done = std::move(done)](
                         store_outcome outcome, store_reply const& reply, bool)
        {
            range_result result;
            result.outcome = outcome;
            if (outcome == store_outcome::done &&
                !platform::decode_range(reply, result))
                result.outcome = store_outcome::unavailable;
            done(std::move(result));
        };
        start(call, then);
    };
    to.answers = [this](std::string const& partition)
    { return !lost(partition); };
    return to;
}

duration store_client::lost_for() const
{
    return lost() ? now() - failing_since_ : duration(0);
}

bool store_client::lost() const
{
    return failing_since_ != time_point{} &&
           now() - failing_since_ >= lost_after;
}

bool store_client::lost(std::string const& partition) const
{
    if (lost())
        return true;
    auto const found = silent_since_.find(partition);
    return found != silent_since_.end() && now() - found->second >= lost_after;
}

void store_client::start(pending_ptr const& one, when_lost then)
{
    one->then = then;
    // Never from within the caller's own call: its state may be half set.
    boost::asio::post(
        io_,
        [this, alive = alive_, one]
        {
            if (!*alive)
                return;
            if (one->then == when_lost::fail_at_once && lost(one->partition))
                give_up(one);
            else
                try_once(one);
        });
}

duration store_client::attempt_patience(pending const& one) const
{
    auto const usual = usual_time_ * attempt_factor * (one.attempts + 1);
    duration const longest =
        lost(one.partition) ? longest_while_lost : longest_attempt;
    return std::clamp<duration>(usual, shortest_attempt, longest);
}

void store_client::try_once(pending_ptr const& one)
{
    auto const at = now();
    if (at >= one->give_up_at)
    {
        give_up(one);
        return;
    }
    auto const path = paths_.choose(at);
    auto const& address = path.direct() ? address_ : path.relay;
    auto const patience =
        one->then == when_lost::try_once
            ? one->give_up_at - at
            : std::min(attempt_patience(*one), one->give_up_at - at);
    ++one->attempts;
    send_attempt(
        address, one->request, patience,
        [this, alive = alive_, one, path](http_reply reply)
        {
            if (*alive)
                attempt_ended(one, path, std::move(reply));
        });
}

void store_client::send_attempt(
    std::string const& address, platform::store_request const& request,
    duration patience, http_caller::done_fn done)
{
    caller_.call(
        address, platform::frame(request, address), patience,
        [this, done = std::move(done)](http_reply reply)
        {
            if (reply.answered)
                usual_time_ = (usual_time_ * 7 + reply.took) / 8;
            done(std::move(reply));
        });
}

void store_client::attempt_ended(
    pending_ptr const& one, store_path const& path, http_reply reply)
{
    store_reply const answer{reply.status, std::move(reply.body)};
    auto const turned_away =
        platform::kind_of(answer) == platform::reply_kind::turned_away;
    if (reply.answered && !turned_away)
    {
        paths_.succeeded(path, now());
        note_success(one->partition);
        deliver(one, answer);
        return;
    }
    if (hooks_.counters != nullptr)
    {
        hooks_.counters->count(
            reply.answered ? "walnutmill_store_attempts_turned_away_total"
                           : "walnutmill_store_attempts_unanswered_total");
    }
    // A partition that is away says nothing of the way to the others.
    if (lost() || !lost(one->partition))
        paths_.failed(path, now());
    one->in_doubt = one->in_doubt || (!reply.answered && reply.sent);
    note_failure(one->partition, reply.answered ? "turned away" : "no answer");
    retry_later(one);
}

void store_client::retry_later(pending_ptr const& one)
{
    // The first attempt over another way need not wait.
    auto const at_once = one->attempts == 1 && !paths_.direct_works(now());
    if ((one->then == when_lost::try_once && !at_once) ||
        (one->then == when_lost::fail_at_once && lost(one->partition)))
    {
        give_up(one);
        return;
    }
    auto const spread = 0.5 + random_();
    auto const pause = std::min<duration>(
        shortest_pause * (1 << std::min(one->attempts, most_doublings)),
        longest_pause);
    auto const wait = duration(static_cast<duration::rep>(
        static_cast<double>(pause.count()) * spread));
    one->pause = std::make_shared<boost::asio::steady_timer>(
        io_, at_once ? duration(0) : wait);
    one->pause->async_wait(
        [this, alive = alive_, one](boost::system::error_code const& error)
        {
            if (!error && *alive)
                try_once(one);
        });
}

void store_client::give_up(pending_ptr const& one) const
{
    if (hooks_.counters != nullptr)
        hooks_.counters->count("walnutmill_store_calls_failed_total");
    one->done(store_outcome::unavailable, {}, one->in_doubt);
}

void store_client::deliver(
    pending_ptr const& one, store_reply const& reply) const
{
    if (hooks_.counters != nullptr)
    {
        hooks_.counters->count(
            "walnutmill_store_calls_total{call=\"" + std::string(one->verb) +
            "\",table=\"" + one->table + "\"}");
    }
    auto const kind = platform::kind_of(reply);
    auto const outcome =
        kind == platform::reply_kind::done       ? store_outcome::done
        : kind == platform::reply_kind::conflict ? store_outcome::conflict
                                                 : store_outcome::unavailable;
    one->done(outcome, reply, one->in_doubt);
}

void store_client::note_success(std::string const& partition)
{
    if (failing_since_ == time_point{} && silent_since_.empty())
        return;
    auto const was_lost = lost();
    // Partitions that went together come back together: the others are tried
    // anew, and count as lost again where that fails.
    if (was_lost || lost(partition))
        silent_since_.clear();
    else
        silent_since_.erase(partition);
    if (failing_since_ == time_point{})
        return;
    failing_since_ = {};
    if (hooks_.on_change)
        hooks_.on_change(true, "answered");
    if (was_lost && hooks_.on_return)
        hooks_.on_return();
}

void store_client::note_failure(
    std::string const& partition, std::string_view why)
{
    auto const probing =
        failing_since_ != time_point{} || !silent_since_.empty();
    silent_since_.emplace(partition, now());
    if (failing_since_ == time_point{})
    {
        failing_since_ = now();
        if (hooks_.on_change)
            hooks_.on_change(false, why);
    }
    if (!probing)
        probe_later(probe_every);
}

void store_client::probe_later(duration after)
{
    probe_timer_.expires_after(after);
    probe_timer_.async_wait(
        [this, alive = alive_](boost::system::error_code const& error)
        {
            auto const failing =
                failing_since_ != time_point{} || !silent_since_.empty();
            if (!error && *alive && failing)
                probe();
        });
}

/// While nothing is answered, one that has not failed is asked: a node with
/// little to do may have called a single partition, whose silence says nothing
/// of the store. Otherwise one of the silent ones, drawn at random.
std::string store_client::partition_to_probe()
{
    auto const all = all_partitions();
    std::vector<std::string> silent;
    std::vector<std::string> others;
    for (auto const& one : all)
        (silent_since_.count(one) > 0 ? silent : others).push_back(one);
    auto const& from =
        failing_since_ != time_point{} && !others.empty() ? others : silent;
    if (from.empty())
        return {};
    auto const drawn =
        static_cast<std::size_t>(random_() * static_cast<double>(from.size()));
    return from[std::min(drawn, from.size() - 1)];
}

/// Reads nothing, from a table that nobody writes.
void store_client::probe()
{
    auto const partition = partition_to_probe();
    auto const nothing =
        platform::encode_range({"walnutmill-probe", partition, {}, {}});
    caller_.call(
        address_, platform::frame(nothing, address_), probe_patience,
        [this, alive = alive_, partition](http_reply const& reply)
        {
            store_reply const answer{reply.status, reply.body};
            if (!*alive || !reply.answered ||
                platform::kind_of(answer) == platform::reply_kind::turned_away)
                return;
            paths_.succeeded({}, now());
            note_success(partition);
        });
    auto const spread = 0.75 + random_() / 2;
    auto const pause = std::max<duration>(
        probe_every, probe_every_per_node * static_cast<int>(nodes_));
    probe_later(duration(static_cast<duration::rep>(
        static_cast<double>(pause.count()) * spread)));
}

void store_client::carry(
    platform::store_request const& request, reply_fn const& to)
{
    if (!paths_.direct_works(now()))
    {
        to({status_turned_away, {}});
        return;
    }
    send_attempt(
        address_, request, longest_attempt,
        [this, alive = alive_, to](http_reply reply)
        {
            if (!*alive)
                return;
            store_reply answer{reply.status, std::move(reply.body)};
            auto const good =
                reply.answered &&
                platform::kind_of(answer) != platform::reply_kind::turned_away;
            if (good)
                paths_.succeeded({}, now());
            else
                paths_.failed({}, now());
            if (!reply.answered)
            {
                // Sent but not answered, the call may have been done: status
                // 0 says so, and the node that asked gets no answer either.
                answer.status = reply.sent ? 0 : status_turned_away;
            }
            to(std::move(answer));
        });
}

} // namespace walnutmill

#include "entry/store_client.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;
using platform::store_reply;

/// An address at which nothing answers within this is taken for dead; the
/// longest way within a region is 3 ms.
constexpr milliseconds connect_patience{300};
/// Shortest and longest wait for one answer. Answers usually take 4 to 10 ms;
/// at times sixty times as long, and a transaction over two tables twice
/// that.
constexpr milliseconds shortest_attempt{200};
constexpr milliseconds longest_attempt{1'500};
/// An attempt waits for this many times the usual answer.
constexpr int attempt_factor = 8;
/// Pause before an attempt after one that was turned away: a rate limit is
/// over within a tenth of a second.
constexpr milliseconds shortest_pause{15};
constexpr milliseconds longest_pause{150};
/// Idle connections kept to one address.
constexpr std::size_t idle_links = 4;
constexpr milliseconds first_usual_time{10};
/// The store counts as lost when nothing has been answered, over any way, for
/// this long: longer than a spell of refusals by rate (100 ms), shorter than a
/// caller's target latency. Readings of configuration and engines, some four a
/// second, go on and find it again.
constexpr milliseconds lost_after{300};
constexpr int status_turned_away = 503;

time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

} // namespace

struct store_client::pending
{
    platform::store_request request;
    time_point give_up_at;
    int attempts = 0;
    /// An attempt went without an answer that tells its fate.
    bool in_doubt = false;
    bool ended = false;
    std::function<void(store_outcome, store_reply const&, bool in_doubt)> done;
    std::shared_ptr<boost::asio::steady_timer> pause;
};

store_client::store_client(
    boost::asio::io_context& io, std::string address, random_fn random,
    hooks to)
    : io_(io), address_(std::move(address)), random_(random),
      hooks_(std::move(to)), paths_(random), usual_time_(first_usual_time)
{
}

store_client::~store_client()
{
    *alive_ = false;
    for (auto& [address, links] : idle_)
    {
        for (auto& link : links)
            link->close();
    }
}

void store_client::set_address(std::string address)
{
    address_ = std::move(address);
}

void store_client::set_relays(std::vector<std::string> relays)
{
    paths_.set_relays(std::move(relays));
}

versioned_store store_client::calls(when_lost then)
{
    versioned_store to;
    to.commit = [this, then](
                    row_transaction one, milliseconds patience,
                    std::function<void(transaction_result)> done)
    {
        auto call = std::make_shared<pending>();
        call->request = platform::encode_transaction(one);
        call->give_up_at = now() + patience;
        call->done = [done = std::move(done)](
                         store_outcome outcome, store_reply const& reply,
                         bool in_doubt)
        {
            transaction_result result;
            result.outcome = outcome;
            if (outcome != store_outcome::unavailable &&
                !platform::decode_transaction(reply, result))
                result.outcome = store_outcome::unavailable;
            result.in_doubt =
                in_doubt || (outcome != result.outcome);
            done(std::move(result));
        };
        start(call, then);
    };
    to.read = [this, then](
                  row_range range, milliseconds patience,
                  std::function<void(range_result)> done)
    {
        auto call = std::make_shared<pending>();
        call->request = platform::encode_range(range);
        call->give_up_at = now() + patience;
        call->done = [done = std::move(done)](
                         store_outcome outcome, store_reply const& reply,
                         bool)
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
    return to;
}

bool store_client::lost() const
{
    return failing_since_ != time_point{} &&
           now() - failing_since_ >= lost_after;
}

void store_client::start(pending_ptr const& one, when_lost then)
{
    // Never from within the caller's own call: its state may be half set.
    boost::asio::post(
        io_,
        [this, alive = alive_, one, then]
        {
            if (!*alive)
                return;
            if (then == when_lost::fail_at_once && lost())
                give_up(one);
            else
                try_once(one);
        });
}

duration store_client::attempt_patience(pending const& one) const
{
    auto const usual = usual_time_ * attempt_factor * (one.attempts + 1);
    return std::clamp<duration>(usual, shortest_attempt, longest_attempt);
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
        std::min(attempt_patience(*one), one->give_up_at - at);
    ++one->attempts;
    send_attempt(
        address, one->request, patience,
        [this, alive = alive_, one,
         path](bool answered, bool sent, store_reply reply)
        {
            if (*alive)
                attempt_ended(one, path, answered, sent, std::move(reply));
        });
}

void store_client::send_attempt(
    std::string const& address, platform::store_request const& request,
    duration patience,
    std::function<void(bool, bool, store_reply)> done)
{
    struct state
    {
        store_reply reply;
        std::shared_ptr<boost::asio::steady_timer> timer;
        bool ended = false;
    };
    auto const link = take_link(address);
    if (!link)
    {
        done(false, false, {});
        return;
    }
    auto const began = now();
    auto const one = std::make_shared<state>();
    one->timer = std::make_shared<boost::asio::steady_timer>(io_, patience);
    one->timer->async_wait(
        [one, link, done](boost::system::error_code const& error)
        {
            if (error || one->ended)
                return;
            one->ended = true;
            link->close();
            done(false, true, {});
        });
    http_link::handlers to;
    to.on_head = [one](http_link::response_head const& head)
    { one->reply.status = static_cast<int>(head.result_int()); };
    to.on_body = [one](std::string_view bytes)
    { one->reply.body.append(bytes); };
    to.on_end = [this, alive = alive_, one, link, address, began,
                 done](link_end how)
    {
        if (one->ended)
            return;
        one->ended = true;
        one->timer->cancel();
        if (*alive && how == link_end::complete)
        {
            usual_time_ = (usual_time_ * 7 + (now() - began)) / 8;
            return_link(address, link);
        }
        done(
            how == link_end::complete, how != link_end::not_connected,
            std::move(one->reply));
    };
    link->exchange(
        platform::frame(request, address), request_id(), std::move(to));
}

void store_client::attempt_ended(
    pending_ptr const& one, store_path const& path, bool answered, bool sent,
    store_reply reply)
{
    auto const kind = platform::kind_of(reply);
    if (!answered || kind == platform::reply_kind::turned_away)
    {
        if (hooks_.counters != nullptr)
        {
            hooks_.counters->count(
                !answered ? "walnutmill_store_attempts_unanswered_total"
                          : "walnutmill_store_attempts_turned_away_total");
        }
        paths_.failed(path, now());
        one->in_doubt = one->in_doubt || (!answered && sent);
        note_failure(answered ? "turned away" : "no answer");
        retry_later(one);
        return;
    }
    paths_.succeeded(path, now());
    note_success();
    deliver(one, reply);
}

void store_client::retry_later(pending_ptr const& one)
{
    auto const spread = 0.5 + random_();
    auto const pause = std::min<duration>(
        shortest_pause * (1 << std::min(one->attempts, 4)), longest_pause);
    auto const wait = duration(
        static_cast<duration::rep>(static_cast<double>(pause.count()) * spread));
    // The first attempt over another way need not wait.
    auto const at_once =
        one->attempts == 1 && !paths_.direct_works(now());
    one->pause = std::make_shared<boost::asio::steady_timer>(
        io_, at_once ? duration(0) : wait);
    one->pause->async_wait(
        [this, alive = alive_, one](boost::system::error_code const& error)
        {
            if (!error && *alive)
                try_once(one);
        });
}

void store_client::give_up(pending_ptr const& one)
{
    if (hooks_.counters != nullptr)
        hooks_.counters->count("walnutmill_store_calls_failed_total");
    one->done(store_outcome::unavailable, {}, one->in_doubt);
}

void store_client::deliver(pending_ptr const& one, store_reply const& reply)
{
    if (hooks_.counters != nullptr)
        hooks_.counters->count("walnutmill_store_calls_total");
    auto const kind = platform::kind_of(reply);
    auto const outcome = kind == platform::reply_kind::done
                             ? store_outcome::done
                         : kind == platform::reply_kind::conflict
                             ? store_outcome::conflict
                             : store_outcome::unavailable;
    one->done(outcome, reply, one->in_doubt);
}

void store_client::note_success()
{
    if (failing_since_ != time_point{})
    {
        failing_since_ = {};
        if (hooks_.on_change)
            hooks_.on_change(true, "answered");
    }
}

void store_client::note_failure(std::string_view why)
{
    if (failing_since_ == time_point{})
    {
        failing_since_ = now();
        if (hooks_.on_change)
            hooks_.on_change(false, why);
    }
}

void store_client::carry(platform::store_request request, reply_fn to)
{
    if (!paths_.direct_works(now()))
    {
        to({status_turned_away, {}});
        return;
    }
    send_attempt(
        address_, request, longest_attempt,
        [this, alive = alive_,
         to](bool answered, bool sent, store_reply reply)
        {
            if (!*alive)
                return;
            auto const good =
                answered && platform::kind_of(reply) !=
                                platform::reply_kind::turned_away;
            if (good)
                paths_.succeeded({}, now());
            else
                paths_.failed({}, now());
            if (!answered && !sent)
                reply.status = status_turned_away;
            // Sent but not answered, the call may have been done: status 0
            // says so, and the node that asked gets no answer either.
            to(std::move(reply));
        });
}

store_client::link_ptr store_client::take_link(std::string const& address)
{
    auto& links = idle_[address];
    while (!links.empty())
    {
        auto link = std::move(links.back());
        links.pop_back();
        link->on_idle_end = {};
        if (link->reusable())
            return link;
    }
    auto const peer = endpoint_of(address);
    if (!peer)
        return nullptr;
    return std::make_shared<http_link>(io_, *peer, connect_patience);
}

void store_client::return_link(std::string const& address, link_ptr link)
{
    auto& links = idle_[address];
    if (!link->reusable() || links.size() >= idle_links)
    {
        link->close();
        return;
    }
    links.push_back(std::move(link));
}

} // namespace walnutmill

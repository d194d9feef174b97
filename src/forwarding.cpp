#include "forwarding.hpp"

#include <walnutmill/hash.hpp>

namespace walnutmill
{
namespace
{

constexpr std::string_view call_topic = "call";
/// Between two looks for the owner: a few flushes of a hand-over.
constexpr duration retry_pause = std::chrono::milliseconds(50);
constexpr std::chrono::milliseconds come_back{500};

/// Bits of an event's id below the part that names the stream.
constexpr int token_bits = 20;

/// Whether a refusal only says that ownership is changing hands.
bool is_moving(refusal const& why)
{
    return why.code == errc::unavailable && why.retry_after.count() > 0;
}

} // namespace

forwarding::forwarding(
    forwarding_options options, routing const& routes, owner_duty& owner,
    peer_hub& peers, metrics& counters)
    : options_(std::move(options)), routes_(routes), owner_(owner),
      peers_(peers), counters_(counters), timer_([this] { run_timer(); })
{
}

forwarding::~forwarding()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
    }
    timer_.join();
    refusal why;
    why.code = errc::unavailable;
    why.message = "the node is stopping";
    why.retry_after = come_back;
    for (auto const& entry : later_)
    {
        why.ran = entry.second->may_have_run ? certainty::outcome_unknown
                                             : certainty::not_run;
        entry.second->sink.done(why);
    }
}

void forwarding::submit(caller_request request, answer_sink sink)
{
    auto const trip = std::make_shared<journey>();
    trip->request = std::move(request);
    trip->sink = std::move(sink);
    trip->until = options_.clock() + options_.patience;
    route(trip);
}

void forwarding::pass_event(journey& trip, stream_event const& event)
{
    if (event.restart)
    {
        trip.last_event = 0;
        return trip.sink.event(event);
    }
    bool const same_stream =
        event.index >> token_bits == trip.last_event >> token_bits;
    if (same_stream && event.index <= trip.last_event)
        return;
    // Another owner, or another attempt, streams from the beginning.
    if (!same_stream && trip.last_event != 0)
        trip.sink.event({true, 0, {}});
    trip.last_event = event.index;
    trip.sink.event(event);
}

void forwarding::route(journey_ptr const& trip)
{
    auto const shard =
        shard_of(root_of(program_of(trip->request)), options_.shards);
    auto const view = routes_.get();
    auto const* owner = view->owner_of(shard);
    if (owner == nullptr || owner->fenced)
    {
        refusal why;
        why.code = errc::unavailable;
        why.message = "the program has no owner yet";
        why.retry_after = come_back;
        return try_later(trip, why);
    }
    if (owner->id != options_.self)
        return send(trip, owner->peer_address);
    owner_.submit(
        trip->request,
        {[trip](stream_event const& event) { pass_event(*trip, event); },
         [this, trip](caller_result const& result) { finish(trip, result); }});
}

void forwarding::send(journey_ptr const& trip, std::string const& address)
{
    counters_.count("walnutmill_forwarded_total");
    peers_.request(
        address, call_topic, encode_request(trip->request),
        [trip](std::string_view body)
        {
            auto const event = decode_event(body);
            if (event)
                pass_event(*trip, event.value());
        },
        [this, trip](result<std::string> const& reply)
        { take_reply(trip, reply); });
}

void forwarding::take_reply(
    journey_ptr const& trip, result<std::string> const& reply)
{
    if (!reply)
    {
        auto why = reply.error();
        why.code = errc::unavailable;
        if (why.retry_after.count() == 0)
            why.retry_after = come_back;
        trip->may_have_run =
            trip->may_have_run || why.ran != certainty::not_run;
        return try_later(trip, why);
    }
    auto const answer = decode_reply(reply.value());
    if (!answer.moved)
        return finish(trip, answer.result);
    refusal why;
    why.code = errc::unavailable;
    why.message = "the program is moving";
    why.retry_after = come_back;
    try_later(trip, why);
}

void forwarding::finish(journey_ptr const& trip, caller_result const& result)
{
    if (!result && is_moving(result.error()))
    {
        trip->may_have_run =
            trip->may_have_run || result.error().ran != certainty::not_run;
        return try_later(trip, result.error());
    }
    trip->sink.done(result);
}

void forwarding::try_later(journey_ptr const& trip, refusal const& why)
{
    auto const now = options_.clock();
    if (now + retry_pause < trip->until)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        if (!stopping_)
        {
            later_.emplace(now + retry_pause, trip);
            wake_.notify_all();
            return;
        }
    }
    auto final_word = why;
    if (trip->may_have_run)
        final_word.ran = certainty::outcome_unknown;
    trip->sink.done(final_word);
}

void forwarding::run_timer()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        auto const now = options_.clock();
        if (later_.empty())
        {
            wake_.wait(lock);
            continue;
        }
        auto const first = later_.begin();
        if (first->first > now)
        {
            wake_.wait_for(lock, first->first - now);
            continue;
        }
        auto const trip = first->second;
        later_.erase(first);
        lock.unlock();
        route(trip);
        lock.lock();
    }
}

void forwarding::serve(std::string_view body, peer_responder const& responder)
{
    auto request = decode_request(body);
    forward_reply refused;
    if (!request)
    {
        refused.result = request.error();
        return responder.reply(encode_reply(refused));
    }
    auto const shard =
        shard_of(root_of(program_of(request.value())), options_.shards);
    auto const view = routes_.get();
    auto const* owner = view->owner_of(shard);
    if (owner == nullptr || owner->id != options_.self)
    {
        refused.moved = true;
        return responder.reply(encode_reply(refused));
    }
    owner_.submit(
        std::move(request.value()),
        {[responder](stream_event const& event)
         { responder.event(encode_event(event)); },
         [responder](caller_result const& result) {
             responder.reply(encode_reply({false, result}));
         }});
}

} // namespace walnutmill

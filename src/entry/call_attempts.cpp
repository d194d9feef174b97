/// \file
/// The part of a call's life that it spends with engines: attempts, their
/// ends, and what reaches the caller of them.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"
#include "entry/call_rank.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

namespace http = boost::beast::http;
using std::chrono::milliseconds;

/// With less left than this an engine could not produce anything.
constexpr milliseconds least_useful{25};
/// Bytes that a caller who does not read may leave unsent.
constexpr std::size_t most_unsent = 1'048'576;
/// Bytes of one answer that is not a stream.
constexpr std::size_t most_body = 8'388'608;

constexpr int status_ok_end = 300;
constexpr int status_misdirected = 421;

std::string chunk_of(std::string_view bytes)
{
    return boost::beast::buffers_to_string(http::make_chunk(
        boost::asio::const_buffer(bytes.data(), bytes.size())));
}

std::string last_chunk()
{
    return boost::beast::buffers_to_string(http::make_chunk_last());
}

} // namespace

std::uint32_t call_flow::connection_limit() const
{
    // Four fifths of what engines take, shared among the nodes: the rest is
    // for nodes that just came or are counted wrongly. One node in three may
    // carry twice its share, as callers are spread unevenly.
    constexpr std::uint32_t least = 4;
    constexpr std::uint32_t uneven = 2;
    auto const part =
        service_->max_connections * 4 / 5 * uneven / std::max(node_.nodes, 1U);
    return std::clamp(part, least, std::max(service_->max_connections, least));
}

std::optional<std::uint32_t> call_flow::rank() const
{
    if (!service_->model)
        return std::nullopt;
    return rank_of(call_, *route_, node_.clock() - arrived_);
}

void call_flow::try_engine()
{
    if (done_)
        return;
    if (time_left() < least_useful)
    {
        time_is_up();
        return;
    }
    if (!service_->model || !node_.before_choice)
    {
        choose_engine();
        return;
    }
    node_.before_choice([self = shared_from_this()] { self->choose_engine(); });
}

void call_flow::tell_calls() const
{
    if (service_->model && node_.on_calls_changed)
        node_.on_calls_changed();
}

void call_flow::choose_engine()
{
    if (done_)
        return;
    auto const at = node_.board.choose(need_);
    if (!at || sends_ >= most_sends)
    {
        if (ran_at_.empty())
            refuse(
                at ? "all engines asked refused" : "no engine to ask",
                come_back_soon);
        else
            break_off("no engine left to go on at");
        return;
    }
    auto const one = std::make_shared<attempt>();
    one->at = *at;
    one->link = node_.links.take(at->ref(), at->address, connection_limit());
    if (!one->link)
    {
        need_.avoid.push_back(at->engine);
        try_engine();
        return;
    }
    if (sends_ == 0)
        node_.repeats.call_sent();
    ++sends_;
    current_ = one;
    story_["engine"] = at->engine.str();
    story_["engine_load"] = at->load;
    story_["engine_load_age_ms"] = at->load_age.count();
    story_["engine_cached"] = at->cached_tokens;
    one->sent_at = node_.clock();
    one->heard_at = one->sent_at;
    one->patience = stall_patience(
        at->first_bytes, service_->model.has_value(), stalls_, node_.stalls);
    node_.board.sent(at->ref(), need_);
    tell_calls();
    exchange(one);
    watch_for_stall(one);
}

void call_flow::exchange(attempt_ptr const& one)
{
    platform::send_fields send;
    send.engine = one->at.engine;
    send.deadline_left = std::chrono::duration_cast<milliseconds>(time_left());
    send.rank = rank();
    send.resume_after = last_event_ ? last_event_ : call_.resume_after;
    auto bytes = platform::encode_request(
        call_, send,
        chain_.text.empty() ? request_.body() : chain_.text + request_.body());
    http_link::handlers to;
    auto const self = shared_from_this();
    to.on_head = [self, one](platform::response_head const& head)
    { self->on_head(one, head); };
    to.on_body = [self, one](std::string_view bytes)
    { self->on_body(one, bytes); };
    to.on_end = [self, one](link_end how) { self->on_end(one, how); };
    one->link->exchange(std::move(bytes), call_.id, std::move(to));
}

void call_flow::on_head(
    attempt_ptr const& one, platform::response_head const& head)
{
    one->heard_at = node_.clock();
    one->answer = platform::decode_answer(head);
    if (one->answer.load)
        node_.board.told_load(one->at.ref(), *one->answer.load);
    if (one->answer.idle_timeout)
        one->link->idle_timeout = *one->answer.idle_timeout;
    one->runs = !one->answer.not_run;
}

void call_flow::on_body(attempt_ptr const& one, std::string_view bytes)
{
    one->heard_at = node_.clock();
    auto const streams = route_->streams && one->runs &&
                         one->answer.status < status_ok_end &&
                         one->answer.signed_by_engine;
    if (!streams)
    {
        if (one->body.size() + bytes.size() <= most_body)
            one->body.append(bytes);
        return;
    }
    for (auto const& event : one->events.feed(bytes))
    {
        if (done_ || one->ended)
            return;
        forward_event(one, event);
    }
}

void call_flow::forward_event(attempt_ptr const& one, stream_event const& event)
{
    if (event.id && last_event_)
    {
        if (*event.id <= *last_event_)
            return;
        if (*event.id != *last_event_ + 1)
        {
            // A piece is missing: what follows must not be joined to it.
            end_attempt(one, engine_outcome::failed);
            one->link->close();
            retry_or_fail(one, false);
            return;
        }
    }
    if (!head_written_)
    {
        head_written_ = true;
        story_["first_ms"] = ms_count(node_.clock() - arrived_);
        node_.counters.observe(
            "walnutmill_first_event_seconds",
            std::chrono::duration<double>(node_.clock() - arrived_).count());
        platform::answer_framing framing;
        framing.close = node_.stopping;
        link_->write(platform::encode_answer_head(one->answer, framing));
    }
    if (event.id)
        last_event_ = event.id;
    handed_out_ += tokens_per_event_;
    if (route_->keeps_turns)
        output_.append(event.data).append("\n");
    link_->write(chunk_of(event.text));
    if (link_->unsent() > most_unsent)
        break_off("the caller does not read");
}

void call_flow::on_end(attempt_ptr const& one, link_end how)
{
    if (one->ended)
        return;
    auto const took = node_.clock() - one->sent_at;
    story_["engine_ms"] = ms_count(took);
    if (how == link_end::not_connected)
    {
        end_attempt(one, engine_outcome::unreachable);
        note_attempt(one, "unreachable");
        // It has ended or is cut off, so a try at it counts no more.
        need_.only = target_name();
        ran_at_.erase(
            std::remove(ran_at_.begin(), ran_at_.end(), one->at.ref()),
            ran_at_.end());
        need_.avoid.push_back(one->at.engine);
        try_engine();
        return;
    }
    if (how == link_end::broken)
    {
        attempt_broke(one);
        return;
    }
    if (one->answer.not_run)
        refused_by_engine(one);
    else
        attempt_completed(one);
}

void call_flow::end_attempt(attempt_ptr const& one, engine_outcome outcome)
{
    if (one->ended)
        return;
    one->ended = true;
    // The engine's pace is judged by what it generated, not by the guess.
    if (outcome == engine_outcome::answered && service_->model)
    {
        need_.output_tokens =
            static_cast<std::uint32_t>(std::max<std::uint64_t>(handed_out_, 1));
    }
    node_.board.ended(
        one->at.ref(), need_, outcome, node_.clock() - one->sent_at);
    tell_calls();
    node_.links.give_back(one->at.ref(), one->link);
}

void call_flow::refused_by_engine(attempt_ptr const& one)
{
    auto const elsewhere = one->answer.status == status_misdirected;
    end_attempt(
        one, elsewhere ? engine_outcome::unreachable : engine_outcome::full);
    note_attempt(one, elsewhere ? "another incarnation" : "full");
    need_.avoid.push_back(one->at.engine);
    try_engine();
}

void call_flow::attempt_broke(attempt_ptr const& one)
{
    auto const silent = one->answer.status == 0;
    end_attempt(
        one, silent ? engine_outcome::silent_end : engine_outcome::failed);
    note_attempt(one, silent ? "ended without a word" : "broke off");
    retry_or_fail(one, false);
}

void call_flow::attempt_completed(attempt_ptr const& one)
{
    auto const status = one->answer.status;
    if (!one->answer.signed_by_engine)
    {
        attempt_broke(one);
        return;
    }
    auto const failed = status >= status_server_error;
    if (!failed && route_->streams && status < status_ok_end)
    {
        if (one->events.partial())
        {
            attempt_broke(one);
            return;
        }
        end_attempt(one, engine_outcome::answered);
        note_attempt(one, "answered");
        if (!head_written_)
            deliver(one);
        else
            stream_completed();
        return;
    }
    end_attempt(
        one, failed ? engine_outcome::failed : engine_outcome::answered);
    note_attempt(one, failed ? "failed" : "answered");
    if (failed)
        retry_or_fail(one, true);
    else
        deliver(one);
}

bool call_flow::ran(engine_ref const& engine) const
{
    return std::find(ran_at_.begin(), ran_at_.end(), engine) != ran_at_.end();
}

/// \param left the engine that the call ran at last
bool call_flow::may_run_elsewhere(engine_ref const& left) const
{
    // Engines that ended meanwhile don't count.
    auto alive = std::count_if(
        ran_at_.begin(), ran_at_.end(),
        [this](engine_ref const& one) { return node_.board.known(one); });
    if (!ran(left))
        ++alive;
    // An incarnation that is gone is none of the service's engines.
    std::size_t const left_there = node_.board.known(left) ? 1 : 0;
    return static_cast<std::uint64_t>(alive) < route_->max_engines &&
           node_.board.engines_of(need_.service) > left_there;
}

/// An engine may have run the call without bringing it to its end.
/// \param complete_failure it answered that it failed, and said so whole
void call_flow::retry_or_fail(attempt_ptr const& one, bool complete_failure)
{
    if (done_)
        return;
    auto const engine = one->at.ref();
    if (!ran(engine))
        ran_at_.push_back(engine);
    auto const repeatable =
        route_->repeats == repeatability::idempotent && sends_ < most_sends;
    if (repeatable && may_run_elsewhere(engine))
    {
        if (node_.board.known(engine))
            need_.avoid.push_back(engine.id);
        try_engine();
        return;
    }
    if (complete_failure && !head_written_)
    {
        deliver(one);
        return;
    }
    // Another try at the same engine counts as the same engine.
    if (repeatable && !complete_failure && node_.board.known(engine))
    {
        need_.avoid.clear();
        need_.only = engine.id;
        try_engine();
        return;
    }
    break_off("the engine broke off");
}

void call_flow::deliver(attempt_ptr const& one)
{
    if (done_)
        return;
    platform::answer_framing framing;
    framing.length = one->body.size();
    framing.close = node_.stopping;
    link_->write(
        platform::encode_answer_head(one->answer, framing) + one->body);
    story_["status"] = one->answer.status;
    finish("answered", one->answer.status >= status_server_error);
}

void call_flow::stream_completed()
{
    if (!route_->keeps_turns)
    {
        link_->write(last_chunk());
        finish("answered", false);
        return;
    }
    // The turn counts for the caller once its end has come, so it has to be
    // durable before that.
    kept_turn turn;
    turn.id = kept_id_;
    turn.chain = chain_.ids;
    turn.input = request_.body();
    turn.output = std::move(output_);
    auto const began = node_.clock();
    node_.history.keep(
        std::move(turn), std::chrono::duration_cast<milliseconds>(time_left()),
        [self = shared_from_this(), began](bool durable)
        {
            if (self->done_)
                return;
            self->story_["keep_ms"] = ms_count(self->node_.clock() - began);
            if (!durable)
            {
                self->break_off("the turn could not be kept");
                return;
            }
            self->link_->write(last_chunk());
            self->finish("answered", false);
        },
        call_.program.program.str());
}

void call_flow::note_attempt(attempt_ptr const& one, std::string_view outcome)
{
    if (outcome == "answered")
        return;
    node_.counters.count(
        "walnutmill_attempts_failed_total{outcome=\"" + std::string(outcome) +
        "\"}");
    node_.log.write(
        line_weight::important, "call.attempt",
        {{"request", call_.id.str()},
         {"engine", one->at.engine.str()},
         {"started_at_ms", one->at.incarnation.started_at_ms},
         {"address", one->at.address},
         {"outcome", outcome},
         {"status", one->answer.status},
         {"load", one->at.load},
         {"load_age_ms", one->at.load_age.count()},
         {"ms", ms_count(node_.clock() - one->sent_at)}});
}

} // namespace walnutmill

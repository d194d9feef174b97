/// \file
/// Attempts of a call at engines: choosing an engine, exchanging the request
/// and response, retrying, and forwarding the answer to the caller.

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

/// With less time left than this an engine can't produce any output.
constexpr milliseconds min_useful_time{25};
/// Limit of buffered output for a caller that does not read.
constexpr std::size_t max_unsent_bytes = 1'048'576;

constexpr int status_success_end = 300;
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
    // The nodes share four fifths of the connections that an engine accepts.
    // The rest is a reserve for nodes that have just joined or are miscounted.
    // Callers are spread unevenly, so one node in three may need twice its
    // share.
    constexpr std::uint32_t min_connections = 4;
    constexpr std::uint32_t imbalance_factor = 2;
    auto const share = service_->max_connections * 4 / 5 * imbalance_factor /
                       std::max(node_.nodes, 1U);
    return std::clamp(
        share, min_connections,
        std::max(service_->max_connections, min_connections));
}

std::optional<std::uint32_t> call_flow::rank() const
{
    if (!service_->model)
        return std::nullopt;
    return queue_rank(call_, *route_, node_.clock() - arrived_);
}

void call_flow::try_engine()
{
    if (done_)
        return;
    if (time_left() < min_useful_time)
    {
        on_deadline();
        return;
    }
    if (!service_->model || !node_.before_choice)
    {
        choose_engine();
        return;
    }
    begin_wait(wait_reason::place);
    node_.before_choice([self = shared_from_this()] { self->choose_engine(); });
}

void call_flow::notify_calls_changed() const
{
    if (service_->model && node_.on_calls_changed)
        node_.on_calls_changed();
}

void call_flow::choose_engine()
{
    wait_.end();
    if (done_ || !check_crashes(&call_flow::try_engine))
        return;
    auto const chosen = node_.balancer.choose(need_);
    auto const can_send = chosen && has_sends_left();
    if (!can_send && may_choose_later())
    {
        choose_again_later();
        return;
    }
    if (!can_send)
    {
        if (!may_have_run_)
            refuse(
                chosen ? "all engines asked refused" : "no engine to ask",
                min_retry_after_refusal);
        else
            abort_call("no engine left to go on at");
        return;
    }
    auto const attempt = std::make_shared<engine_attempt>();
    attempt->at = *chosen;
    attempt->link = node_.links.acquire_link(
        chosen->ref(), chosen->address, connection_limit());
    if (!attempt->link)
    {
        need_.avoid.push_back(chosen->engine);
        try_engine();
        return;
    }
    if (sends_ == 0)
        node_.repeats.call_sent();
    ++sends_;
    ++counted_sends_;
    current_ = attempt;
    log_fields_["engine"] = chosen->engine.str();
    log_fields_["engine_domain"] = chosen->domain.str();
    log_fields_["engine_version"] = chosen->version;
    log_fields_["engine_load"] = chosen->load;
    log_fields_["engine_load_age_ms"] = chosen->load_age.count();
    log_fields_["engine_cached"] = chosen->cached_tokens;
    if (chosen->base_slowdown)
        log_fields_["engine_speed"] = 1 / *chosen->base_slowdown;
    if (chosen->machine_slowdown)
        log_fields_["machine_slowdown"] = *chosen->machine_slowdown;
    attempt->sent_at = node_.clock();
    attempt->last_progress_at = attempt->sent_at;
    attempt->silence_timeout = stall_timeout(
        chosen->time_to_first_byte, service_->model.has_value(), stalls_,
        node_.stalls);
    // Drawn, since callers may send several attempts under one id.
    attempt->run = static_cast<run_id>(node_.random() * 0x1p63);
    if (need_.apart)
        node_.crashes->run_began(run_of(attempt));
    node_.balancer.sent(chosen->ref(), need_);
    node_.accounting->count_engine_call(need_.service, chosen->domain);
    notify_calls_changed();
    exchange(attempt);
    watch_for_stall(attempt);
}

/// \return true if the call waits for an engine instead of being ended. An
/// answer that has begun cannot be refused, and silence is no reason to end a
/// call. Engines that are full or silent are back soon.
bool call_flow::may_choose_later() const
{
    if (!need_.among.empty())
        return has_sends_left();
    return may_have_run_ && (head_written_ || stalls_ > 0) &&
           counted_sends_ - rejected_sends_ < max_sends &&
           node_.balancer.has_ready_engine(
               need_.service, need_.version, ended_engines_);
}

bool call_flow::has_sends_left() const
{
    return counted_sends_ < max_sends;
}

void call_flow::exchange(attempt_ptr const& attempt)
{
    waits_for_ = "engine";
    platform::send_fields send;
    send.engine = attempt->at.engine;
    send.deadline_left = std::chrono::duration_cast<milliseconds>(time_left());
    send.rank = rank();
    send.resume_after = last_event_ ? last_event_ : call_.resume_after;
    auto bytes = platform::encode_request(
        call_, send,
        chain_.text.empty() ? request_.body() : chain_.text + request_.body());
    http_link::handlers callbacks;
    auto const self = shared_from_this();
    callbacks.on_sent = [self, attempt]
    { attempt->last_progress_at = self->node_.clock(); };
    callbacks.on_head = [self, attempt](platform::response_head const& head)
    { self->on_head(attempt, head); };
    callbacks.on_body = [self, attempt](std::string_view bytes)
    { self->on_body(attempt, bytes); };
    callbacks.on_end = [self, attempt](link_end how)
    { self->on_end(attempt, how); };
    attempt->link->exchange(std::move(bytes), call_.id, std::move(callbacks));
}

void call_flow::on_head(
    attempt_ptr const& attempt, platform::response_head const& head)
{
    attempt->last_progress_at = node_.clock();
    attempt->answer = platform::decode_answer(head);
    auto const is_from_engine = attempt->answer.signed_by_engine ||
                                (attempt->answer.not_run &&
                                 attempt->answer.status != status_misdirected);
    if (is_from_engine && node_.crashes != nullptr)
        node_.crashes->engine_responded(attempt->at.ref(), attempt->sent_at);
    if (attempt->answer.load)
        node_.balancer.report_load(attempt->at.ref(), *attempt->answer.load);
    if (attempt->answer.idle_timeout)
        attempt->link->idle_timeout = *attempt->answer.idle_timeout;
    attempt->accepted_by_engine = !attempt->answer.not_run;
    // Only a stream can go on with a begun one. Before that, the type of a
    // success is left to its engine.
    attempt->streams = route_->streams && attempt->accepted_by_engine &&
                       attempt->answer.status < status_success_end &&
                       attempt->answer.signed_by_engine &&
                       (!head_written_ || platform::is_event_stream(head));
    if (attempt->streams)
        attempt->link->lift_body_limit();
}

void call_flow::on_body(attempt_ptr const& attempt, std::string_view bytes)
{
    if (attempt->answer.signed_by_engine && node_.crashes != nullptr)
        node_.crashes->engine_sent_bytes(attempt->at.ref());
    if (!attempt->streams)
    {
        append_to_body(attempt, bytes);
        return;
    }
    attempt->idle_bytes += bytes.size();
    for (auto const& event : attempt->events.feed(bytes))
    {
        forward_event(attempt, event);
        if (done_ || attempt->ended)
            return;
    }
    if (attempt->events.receives_event_after(last_event_))
        attempt->last_progress_at = node_.clock();
    if (attempt->events.too_long() ||
        attempt->idle_bytes > max_idle_stream_bytes ||
        attempt->idle_events > max_idle_stream_events)
        give_up_answer(attempt, engine_outcome::failed, "too long");
}

void call_flow::append_to_body(
    attempt_ptr const& attempt, std::string_view bytes)
{
    attempt->last_progress_at = node_.clock();
    attempt->body.append(
        node_.answers, bytes,
        [self = weak_from_this(), dropped = std::weak_ptr(attempt)]
        {
            auto const flow = self.lock();
            auto const one = dropped.lock();
            if (flow && one)
            {
                // The others take the room, so the engine has not failed.
                flow->give_up_answer(
                    one, engine_outcome::abandoned, "no room for the answer");
            }
        });
}

void call_flow::forward_event(
    attempt_ptr const& attempt, server_sent_event const& event)
{
    if (event.id && last_event_)
    {
        if (*event.id <= *last_event_)
        {
            ++attempt->idle_events;
            return;
        }
        if (*event.id != *last_event_ + 1)
        {
            // An event is missing, so later events must not be forwarded.
            run_survived(attempt);
            end_attempt(attempt, engine_outcome::failed);
            attempt->link->close();
            retry_or_fail(attempt, false);
            return;
        }
    }
    // A comment is forwarded, but says nothing about the run.
    auto const is_comment = !event.id && !event.has_data;
    if (!is_comment)
    {
        attempt->last_progress_at = node_.clock();
        attempt->idle_bytes = 0;
        attempt->idle_events = 0;
    }
    else
        ++attempt->idle_events;
    record_origin(attempt);
    if (auto const head = begin_answer(attempt->answer, std::nullopt))
    {
        log_fields_["first_ms"] = ms_count(node_.clock() - arrived_);
        node_.counters.observe(
            "walnutmill_first_event_seconds",
            std::chrono::duration<double>(node_.clock() - arrived_).count());
        link_->write(*head);
        extend_deadline();
    }
    if (event.id)
        last_event_ = event.id;
    if (!is_comment)
    {
        delivered_tokens_ += tokens_per_event_;
        if (route_->keeps_turns)
            output_.append(event.data).append("\n");
    }
    link_->write(chunk_of(event.text));
    if (link_->unsent() > max_unsent_bytes)
        abort_call("the caller does not read");
    else if (output_.size() > max_turn_output_bytes)
        give_up_answer(attempt, engine_outcome::failed, "too long");
}

void call_flow::on_end(attempt_ptr const& attempt, link_end how)
{
    if (attempt->ended)
        return;
    auto const took = node_.clock() - attempt->sent_at;
    log_fields_["engine_ms"] = ms_count(took);
    if (how == link_end::not_connected)
    {
        end_attempt(attempt, engine_outcome::unreachable);
        log_failed_attempt(attempt, "unreachable");
        run_survived(attempt);
        ++rejected_sends_;
        leave_ended_engine(attempt->at.ref(), attempt->link->was_refused());
        try_engine();
        return;
    }
    if (how == link_end::too_long || how == link_end::malformed)
    {
        give_up_answer(
            attempt, engine_outcome::failed,
            how == link_end::too_long ? "too long" : "malformed");
        return;
    }
    if (how == link_end::broken)
    {
        run_interrupted(attempt, "connection closed");
        attempt_interrupted(attempt);
        return;
    }
    if (attempt->answer.not_run)
        refused_by_engine(attempt);
    else
        attempt_completed(attempt);
}

/// Goes on without an engine that has ended or cannot be reached. An earlier
/// run there no longer counts towards the route's limit of engines.
/// \param is_certain false if the engine may be one that fell silent
void call_flow::leave_ended_engine(engine_ref const& engine, bool is_certain)
{
    need_.only = target_name();
    possibly_run_at_.erase(
        std::remove(possibly_run_at_.begin(), possibly_run_at_.end(), engine),
        possibly_run_at_.end());
    need_.avoid.push_back(engine.id);
    if (is_certain)
        ended_engines_.push_back(engine.id);
    if (is_certain && node_.crashes != nullptr)
        node_.crashes->engine_ended(engine);
}

void call_flow::end_attempt(attempt_ptr const& attempt, engine_outcome outcome)
{
    if (attempt->ended)
        return;
    attempt->ended = true;
    // The engine's speed is computed from the tokens that it generated, not
    // from the estimate.
    if (outcome == engine_outcome::answered && service_->model)
    {
        need_.output_tokens = static_cast<std::uint32_t>(
            std::max<std::uint64_t>(delivered_tokens_, 1));
    }
    auto const took = node_.clock() - attempt->sent_at;
    node_.balancer.ended(attempt->at.ref(), need_, outcome, took);
    node_.accounting->add_engine_time(labels_, took);
    notify_calls_changed();
    node_.links.release_link(attempt->at.ref(), attempt->link);
    if (done_)
        deadline_timer_.cancel();
}

void call_flow::refused_by_engine(attempt_ptr const& attempt)
{
    auto const other_incarnation = attempt->answer.status == status_misdirected;
    end_attempt(
        attempt,
        other_incarnation ? engine_outcome::unreachable : engine_outcome::full);
    log_failed_attempt(
        attempt, other_incarnation ? "another incarnation" : "full");
    run_survived(attempt);
    ++rejected_sends_;
    if (other_incarnation)
        leave_ended_engine(attempt->at.ref());
    else
        need_.avoid.push_back(attempt->at.engine);
    try_engine();
}

void call_flow::attempt_interrupted(attempt_ptr const& attempt)
{
    auto const no_answer = attempt->answer.status == 0;
    end_attempt(
        attempt, no_answer ? engine_outcome::closed_without_answer
                           : engine_outcome::failed);
    attempt->body.clear();
    log_failed_attempt(
        attempt, no_answer ? "ended without a word" : "broke off");
    retry_or_fail(attempt, false);
}

/// Ends an attempt whose answer can't be used. The engine has not ended, so the
/// request is not to blame.
void call_flow::give_up_answer(
    attempt_ptr const& attempt, engine_outcome outcome, std::string_view why)
{
    if (attempt->ended)
        return;
    run_survived(attempt);
    end_attempt(attempt, outcome);
    attempt->body.clear();
    log_failed_attempt(attempt, why);
    attempt->link->close();
    retry_or_fail(attempt, false);
}

void call_flow::attempt_completed(attempt_ptr const& attempt)
{
    auto const status = attempt->answer.status;
    if (!attempt->answer.signed_by_engine)
    {
        run_survived(attempt);
        attempt_interrupted(attempt);
        return;
    }
    // An answer of another kind cannot follow events that were forwarded.
    auto const failed =
        status >= status_server_error || (head_written_ && !attempt->streams);
    if (attempt->streams)
    {
        if (attempt->events.partial())
        {
            run_survived(attempt);
            attempt_interrupted(attempt);
            return;
        }
        run_answered();
        end_attempt(attempt, engine_outcome::answered);
        log_failed_attempt(attempt, "answered");
        if (!head_written_)
            deliver(attempt);
        else
            stream_completed();
        return;
    }
    if (failed)
        run_survived(attempt);
    else
        run_answered();
    end_attempt(
        attempt, failed ? engine_outcome::failed : engine_outcome::answered);
    log_failed_attempt(attempt, failed ? "failed" : "answered");
    if (failed)
        retry_or_fail(attempt, true);
    else
        deliver(attempt);
}

bool call_flow::may_have_run_at(engine_ref const& engine) const
{
    return std::find(
               possibly_run_at_.begin(), possibly_run_at_.end(), engine) !=
           possibly_run_at_.end();
}

/// \param previous engine of the call's latest attempt
bool call_flow::may_run_elsewhere(engine_ref const& previous) const
{
    // An engine whose entry is gone may still be at work, so only those count
    // as ended that another incarnation has replaced.
    auto const may_be_alive = [this](engine_ref const& engine)
    { return !node_.balancer.is_replaced(engine); };
    auto alive = std::count_if(
        possibly_run_at_.begin(), possibly_run_at_.end(), may_be_alive);
    if (!may_have_run_at(previous) && may_be_alive(previous))
        ++alive;
    // A past incarnation is not among the service's engines.
    auto except = ended_engines_;
    if (node_.balancer.known(previous))
        except.push_back(previous.id);
    return static_cast<std::uint64_t>(alive) < route_->max_engines &&
           node_.balancer.has_ready_engine(
               need_.service, need_.version, except);
}

/// Handles an attempt after which the engine may have run the call without
/// completing it.
/// \param complete_failure the engine sent a complete error response
void call_flow::retry_or_fail(attempt_ptr const& attempt, bool complete_failure)
{
    if (done_)
        return;
    auto const engine = attempt->at.ref();
    may_have_run_ = true;
    if (!may_have_run_at(engine))
        possibly_run_at_.push_back(engine);
    auto const repeatable = route_->repeats == repeatability::idempotent &&
                            has_sends_left() &&
                            crashed_at_.size() < max_request_crashes;
    if (repeatable && may_run_elsewhere(engine))
    {
        if (node_.balancer.known(engine))
            need_.avoid.push_back(engine.id);
        try_engine();
        return;
    }
    if (complete_failure && !head_written_)
    {
        deliver(attempt);
        return;
    }
    // A retry at the same engine doesn't count towards the route's limit of
    // engines.
    if (!repeatable || complete_failure)
        abort_call("the engine broke off");
    else if (node_.balancer.known(engine))
    {
        need_.avoid.clear();
        need_.only = engine.id;
        try_engine();
    }
    else
        retry_if_ended(attempt);
}

/// Retries at another engine if this one, which has lost its entry, no longer
/// accepts connections. No request may be sent there to find out.
void call_flow::retry_if_ended(attempt_ptr const& attempt)
{
    waits_for_ = "engine's end";
    node_.links.check_listening(
        attempt->at.address,
        [self = shared_from_this(), attempt](bool listening)
        {
            if (self->done_)
                return;
            if (listening)
            {
                self->abort_call("the engine broke off and may still run it");
                return;
            }
            self->leave_ended_engine(attempt->at.ref());
            self->try_engine();
        });
}

/// Decides whether the connection closes after the answer, once per call.
/// \param length of the body; empty if it comes in chunks
/// \return the head to be written; empty if a head was written before
std::optional<std::string> call_flow::begin_answer(
    engine_answer const& answer, std::optional<std::size_t> length)
{
    if (std::exchange(head_written_, true))
        return std::nullopt;
    platform::answer_framing framing;
    framing.length = length;
    framing.close = link_->begin_answer();
    return platform::encode_answer_head(answer, framing);
}

void call_flow::deliver(attempt_ptr const& attempt)
{
    if (done_)
        return;
    auto answer = begin_answer(attempt->answer, attempt->body.text().size());
    if (!answer)
    {
        abort_call("the engine answered a begun stream otherwise");
        return;
    }
    answer->append(attempt->body.text());
    attempt->body.clear();
    link_->write(*answer);
    log_fields_["status"] = attempt->answer.status;
    finish("answered", attempt->answer.status >= status_server_error);
}

void call_flow::stream_completed()
{
    if (!route_->keeps_turns)
    {
        link_->write(last_chunk());
        finish("answered", false);
        return;
    }
    // The caller treats the turn as complete once it receives the last chunk,
    // so the turn must be durable before that.
    stored_turn turn;
    turn.id = stored_turn_id_;
    turn.input = request_.body();
    turn.output = std::move(output_);
    turn.kept_for =
        std::chrono::duration_cast<std::chrono::seconds>(route_->kept_for);
    node_.history.continue_chain(chain_, turn);
    auto const began = node_.clock();
    begin_wait(wait_reason::store);
    node_.history.store_turn(
        std::move(turn), std::chrono::duration_cast<milliseconds>(time_left()),
        [self = shared_from_this(), began](bool durable)
        {
            self->wait_.end();
            if (self->done_)
                return;
            self->log_fields_["keep_ms"] =
                ms_count(self->node_.clock() - began);
            if (!durable)
            {
                self->abort_call("the turn could not be kept");
                return;
            }
            self->link_->write(last_chunk());
            self->finish("answered", false);
        },
        call_.program.program.str());
}

request_digest call_flow::digest()
{
    if (!digest_)
        digest_ = digest_of(call_, request_.body());
    return *digest_;
}

void call_flow::log_failed_attempt(
    attempt_ptr const& attempt, std::string_view outcome)
{
    if (outcome == "answered")
        return;
    node_.counters.count(
        "walnutmill_attempts_failed_total{outcome=\"" + std::string(outcome) +
        "\"}");
    node_.log.write(
        log_priority::important, "call.attempt",
        {{"request", call_.id.str()},
         {"digest", to_text(digest())},
         {"program", call_.program.program.str()},
         {"line", call_.program.line},
         {"engine", attempt->at.engine.str()},
         {"started_at_ms", attempt->at.incarnation.started_at_ms},
         {"address", attempt->at.address},
         {"version", attempt->at.version},
         {"outcome", outcome},
         {"status", attempt->answer.status},
         {"registered", node_.balancer.known(attempt->at.ref())},
         {"events", delivered_tokens_ / tokens_per_event_},
         {"load", attempt->at.load},
         {"load_age_ms", attempt->at.load_age.count()},
         {"ms", ms_count(node_.clock() - attempt->sent_at)}});
}

} // namespace walnutmill

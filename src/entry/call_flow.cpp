#include "entry/call_flow.hpp"

#include "entry/call_rank.hpp"
#include "entry/start_gate.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// The answer is sent this long before the caller's own deadline, so that it
/// still arrives: the way to a caller takes 1 to 3 ms, a slow node's loop up
/// to some 20.
constexpr milliseconds deadline_margin{30};
/// With less left than this an engine could not produce anything.
constexpr milliseconds least_useful{25};
/// Where a caller states no deadline and the route no timeout.
constexpr milliseconds default_deadline{30'000};
/// Engines asked for one call before it is refused, each having refused it
/// or not been reachable.
constexpr int most_sends = 6;
/// Bytes that a caller who does not read may leave unsent.
constexpr std::size_t most_unsent = 1'048'576;
/// Bytes of one answer that is not a stream.
constexpr std::size_t most_body = 8'388'608;
/// Returns after a refusal are spread over this much from its start: an
/// engine's calls end within half a second.
constexpr milliseconds come_back_soon{120};
constexpr milliseconds come_back_spread{250};
/// While the store is lost nothing is gained by coming back soon: outages
/// last seconds. Callers wait a third of their time left at most, 1 s on the
/// sites' routes, so three tries of one turn bridge some 4 s.
constexpr milliseconds come_back_later{900};
/// While the engines are full a call's length (0.3 to 0.5 s) changes what is
/// free; bursts last some seconds, and a caller comes back a few times at
/// most.
constexpr milliseconds come_back_when_full{600};

constexpr int status_ok_end = 300;
constexpr int status_bad_request = 400;
constexpr int status_budget = 402;
constexpr int status_not_found = 404;
constexpr int status_misdirected = 421;
constexpr int status_server_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

std::int64_t ms_count(duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

std::string hex_length(std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned base = 16;
    std::string out;
    do
    {
        out.insert(out.begin(), digits[size % base]);
        size /= base;
    } while (size > 0);
    return out;
}

std::string chunk_of(std::string_view bytes)
{
    auto out = hex_length(bytes.size());
    return out.append("\r\n").append(bytes).append("\r\n");
}

std::string host_without_port(std::string const& host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

call_flow::call_flow(
    entry_services& node, std::shared_ptr<caller_link> link,
    caller_link::request_type&& request)
    : node_(node), link_(std::move(link)), request_(std::move(request)),
      deadline_(node.io), arrived_(node.clock())
{
    ++node_.calls_under_way;
}

call_flow::~call_flow()
{
    --node_.calls_under_way;
}

duration call_flow::time_left() const
{
    return give_up_at_ - node_.clock();
}

void call_flow::start()
{
    findings problems;
    auto decoded = platform::decode_call(request_.base(), problems);
    if (!decoded)
    {
        auto const& first = problems.items().front();
        answer_own(status_bad_request, first.place + " " + first.message);
        return;
    }
    call_ = std::move(*decoded);
    story_["request"] = call_.id.str();
    if (!call_.program.program.empty())
        story_["program"] = call_.program.program.str();
    table_ = node_.table;
    give_up_at_ = arrived_ + default_deadline;
    if (!table_)
    {
        refuse("no configuration is known yet", come_back_soon);
        return;
    }
    if (!node_.takes_calls)
    {
        // Another node will take it: the connection ends with this answer.
        refuse("this node is about to stop", milliseconds(0));
        return;
    }
    story_["configuration"] = table_->version;
    if (!route_call())
        return;
    link_->on_gone = [self = shared_from_this()] { self->caller_left(); };
    arm_deadline();
    admit();
}

bool call_flow::route_call()
{
    std::string_view const path =
        std::string_view(call_.target).substr(0, call_.target.find('?'));
    route_ = table_->match(host_without_port(call_.host), path);
    if (route_ == nullptr)
    {
        answer_own(status_not_found, "no route for this host and path");
        return false;
    }
    story_["route"] = route_->name;
    choose_service();
    if (service_ == nullptr)
    {
        refuse("the route's service is not configured", come_back_spread);
        return false;
    }
    return true;
}

void call_flow::choose_service()
{
    std::uint32_t sum = 0;
    for (auto const& one : route_->shares)
        sum += one.weight;
    auto draw = node_.random() * static_cast<double>(sum);
    service_name chosen = route_->shares.back().service;
    for (auto const& one : route_->shares)
    {
        draw -= static_cast<double>(one.weight);
        if (draw < 0)
        {
            chosen = one.service;
            break;
        }
    }
    service_ = table_->find_service(chosen);
    need_.service = chosen;
    if (service_ == nullptr || !service_->model)
        return;
    need_.prompt_tokens = std::max(call_.prompt_tokens, 1U);
    need_.output_tokens = expected_output(call_);
    need_.prompt = &call_.prompt;
    tokens_per_event_ = service_->model->tokens_per_event;
}

void call_flow::arm_deadline()
{
    auto wait = default_deadline;
    if (route_->timeout.count() > 0)
        wait = std::min(wait, route_->timeout);
    if (call_.deadline)
        wait = std::min(wait, *call_.deadline - deadline_margin);
    give_up_at_ = arrived_ + wait;
    deadline_.expires_after(wait);
    deadline_.async_wait(
        [self = shared_from_this()](boost::system::error_code const& error)
        {
            if (!error)
                self->time_is_up();
        });
}

void call_flow::admit()
{
    auto const& program = call_.program;
    if (!program.token_budget || program.program.empty() || !service_->model)
    {
        load_history();
        return;
    }
    // The last event may stand for fewer tokens but is counted whole.
    auto const per_event = tokens_per_event_;
    most_tokens_ =
        (std::max<std::uint64_t>(call_.max_output_tokens, 1) + per_event - 1) /
        per_event * per_event;
    story_["budget_tokens"] = *program.token_budget;
    story_["prompt_parts"] = call_.prompt.size();
    if (program.finish_in)
        story_["finish_in_ms"] = program.finish_in->count();
    story_["most_tokens"] = most_tokens_;
    auto const pressure = node_.board.pressure(need_.service);
    if (pressure)
        story_["pressure"] = *pressure;
    auto const only_begun =
        node_.random() < refusal_chance(pressure, route_->rank);
    node_.budgets.admit(
        {program.program, *program.token_budget, most_tokens_, only_begun},
        [self = shared_from_this()](
            admission_answer answer, budget_desk::grant const& grant)
        {
            self->story_["budget"] = to_string(answer);
            self->story_["budget_home"] = grant.home;
            if (answer == admission_answer::admitted)
                self->grant_ = grant;
            if (self->done_)
                self->settle();
            else if (answer == admission_answer::admitted)
                self->load_history();
            else if (answer == admission_answer::exhausted)
                self->answer_own(status_budget, "the budget is spent");
            else
                self->refuse_for_budget(answer);
        });
}

void call_flow::settle()
{
    if (!grant_)
        return;
    node_.budgets.settle(*grant_, handed_out_);
    grant_.reset();
}

void call_flow::refuse_for_budget(admission_answer answer)
{
    if (answer == admission_answer::not_begun)
        refuse("the engines are full", come_back_when_full);
    else if (answer == admission_answer::contended)
        refuse("the budget is taken by turns under way", come_back_spread);
    else
        refuse("the store of budgets does not answer", come_back_later);
}

void call_flow::load_history()
{
    if (!route_->keeps_turns || call_.program.previous_turn.empty())
    {
        try_engine();
        return;
    }
    node_.history.load(
        call_.program.previous_turn,
        [self = shared_from_this()](history_answer answer, turn_chain chain)
        {
            if (self->done_)
                return;
            self->story_["history"] =
                answer == history_answer::found
                    ? std::to_string(chain.ids.size()) + " turns"
                : answer == history_answer::unknown_turn ? "unknown"
                                                         : "unavailable";
            if (answer == history_answer::found)
            {
                self->chain_ = std::move(chain);
                self->try_engine();
            }
            else if (answer == history_answer::unknown_turn)
                self->answer_own(status_not_found, "no such turn is kept");
            else
                self->refuse(
                    "the store of turns does not answer", come_back_later);
        });
}

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
    one->link = node_.links.take(at->engine, at->address, connection_limit());
    if (!one->link)
    {
        need_.avoid.push_back(at->engine);
        try_engine();
        return;
    }
    ++sends_;
    current_ = one;
    story_["engine"] = at->engine.str();
    story_["engine_load"] = at->load;
    story_["engine_load_age_ms"] = at->load_age.count();
    story_["engine_cached"] = at->cached_tokens;
    one->sent_at = node_.clock();
    node_.board.sent(at->engine, need_);
    exchange(one);
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
    one->answer = platform::decode_answer(head);
    if (one->answer.load)
        node_.board.told_load(one->at.engine, *one->answer.load);
    one->runs = !one->answer.not_run;
}

void call_flow::on_body(attempt_ptr const& one, std::string_view bytes)
{
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
            std::remove(ran_at_.begin(), ran_at_.end(), one->at.engine),
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
        one->at.engine, need_, outcome, node_.clock() - one->sent_at);
    node_.links.give_back(one->at.engine, one->link);
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
    end_attempt(one, engine_outcome::failed);
    note_attempt(one, "broke off");
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

bool call_flow::may_run_elsewhere() const
{
    // Engines that ended meanwhile don't count.
    auto const alive = std::count_if(
        ran_at_.begin(), ran_at_.end(),
        [this](target_name const& one) { return node_.board.known(one); });
    return static_cast<std::uint64_t>(alive) < route_->max_engines;
}

/// An engine may have run the call without bringing it to its end.
/// \param complete_failure it answered that it failed, and said so whole
void call_flow::retry_or_fail(attempt_ptr const& one, bool complete_failure)
{
    if (done_)
        return;
    auto const& engine = one->at.engine;
    if (std::find(ran_at_.begin(), ran_at_.end(), engine) == ran_at_.end())
        ran_at_.push_back(engine);
    auto const repeatable =
        route_->repeats == repeatability::idempotent && sends_ < most_sends;
    if (repeatable && may_run_elsewhere())
    {
        need_.avoid.push_back(engine);
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
        need_.only = engine;
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
        link_->write("0\r\n\r\n");
        finish("answered", false);
        return;
    }
    // The turn counts for the caller once its end has come, so it has to be
    // durable before that.
    kept_turn turn;
    turn.id = call_.id;
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
            self->link_->write("0\r\n\r\n");
            self->finish("answered", false);
        });
}

void call_flow::time_is_up()
{
    if (done_)
        return;
    auto const sent = current_ && !current_->ended;
    if (sent)
    {
        end_attempt(current_, engine_outcome::abandoned);
        // Stops the engine, too: nobody waits for its answer any more.
        current_->link->close();
    }
    if (sent || head_written_ || !ran_at_.empty())
        break_off("time is up");
    else
        refuse("time was up before an engine was free", come_back_soon);
}

void call_flow::caller_left()
{
    if (done_)
        return;
    left_ = true;
    if (current_ && !current_->ended &&
        (route_->streams || route_->repeats == repeatability::idempotent))
    {
        end_attempt(current_, engine_outcome::abandoned);
        current_->link->close();
    }
    finish("caller left", false);
}

void call_flow::refuse(std::string_view why, milliseconds come_back)
{
    auto const spread = static_cast<std::int64_t>(
        node_.random() * static_cast<double>(come_back_spread.count()));
    answer_own(status_unavailable, why, come_back + milliseconds(spread));
}

void call_flow::answer_own(
    int status, std::string_view why, milliseconds come_back)
{
    if (done_)
        return;
    platform::own_answer answer;
    answer.status = status;
    answer.message = std::string(why);
    answer.retry_after = come_back;
    answer.id = call_.id;
    link_->write(platform::encode_own_answer(answer, node_.stopping));
    story_["status"] = status;
    story_["why"] = why;
    if (come_back.count() > 0)
        story_["retry_after_ms"] = come_back.count();
    node_.counters.count(
        "walnutmill_own_answers_total{status=\"" + std::to_string(status) +
        "\"}");
    finish("own answer", true);
}

/// Ends a call whose fate at an engine is unknown, or whose answer has begun.
void call_flow::break_off(std::string_view why)
{
    if (done_)
        return;
    if (current_ && !current_->ended)
    {
        end_attempt(current_, engine_outcome::abandoned);
        current_->link->close();
    }
    if (!head_written_)
    {
        answer_own(
            time_left() < deadline_margin ? status_timeout : status_bad_gateway,
            why);
        return;
    }
    story_["why"] = why;
    link_->on_gone = {};
    link_->abort();
    finish("broken off", true);
}

void call_flow::finish(std::string_view outcome, bool trouble)
{
    if (done_)
        return;
    done_ = true;
    settle();
    deadline_.cancel();
    if (outcome != "broken off" && !left_)
        link_->finish_answer(node_.stopping);
    link_->on_gone = {};
    story_["outcome"] = outcome;
    story_["tokens"] = handed_out_;
    story_["sends"] = sends_;
    story_["ms"] = ms_count(node_.clock() - arrived_);
    if (!call_.id.empty())
    {
        node_.log.write(
            trouble ? line_weight::important : line_weight::routine,
            "call.ended", story_);
    }
    node_.counters.count(
        "walnutmill_calls_total{outcome=\"" + std::string(outcome) + "\"}");
    node_.counters.observe(
        "walnutmill_call_seconds",
        std::chrono::duration<double>(node_.clock() - arrived_).count());
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
         {"address", one->at.address},
         {"outcome", outcome},
         {"status", one->answer.status},
         {"load", one->at.load},
         {"load_age_ms", one->at.load_age.count()},
         {"ms", ms_count(node_.clock() - one->sent_at)}});
}

} // namespace walnutmill

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"
#include "entry/call_rank.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// Retry delay while the store is unreachable, or the node has started without
/// it. Outages last seconds, and a tool call that has used up its one or two
/// retries ends its program, so an early retry is useless. Callers wait at most
/// a third of their remaining time, 1 s on the deployed routes, so three tries
/// of one turn span about 4 s.
constexpr milliseconds retry_after_without_store{900};
/// Retry delay while the engines are full. Slots become free after the duration
/// of a call (0.3 to 0.5 s). Bursts last some seconds, and callers retry only a
/// few times.
constexpr milliseconds retry_after_when_full{600};
/// Upper bound of the time for which failed reads of a history are repeated; at
/// most half of the call's remaining time is used. A turn whose partition stays
/// away is refused then, because it holds a reservation of its program's budget
/// while it waits.
constexpr milliseconds max_history_retry{1'000};

constexpr int status_bad_request = 400;
constexpr int status_budget = 402;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

std::string host_without_port(std::string const& host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

call_flow::call_flow(
    entry_services& node, std::shared_ptr<caller_link> link,
    caller_link::request_type&& request)
    : node_(node), calls_(node.calls), link_(std::move(link)),
      request_(std::move(request)), deadline_timer_(node.io),
      stall_timer_(node.io), identity_timer_(node.io), arrived_(node.clock())
{
    ++node_.calls_in_flight;
    calls_->calls.insert(this);
}

call_flow::~call_flow()
{
    calls_->calls.erase(this);
    if (calls_->is_closed)
        return;
    --node_.calls_in_flight;
    if (!done_)
        release_unanswered();
}

/// Ends a call that nothing will continue, so that its caller does not wait in
/// vain.
void call_flow::release_unanswered()
{
    constexpr std::string_view why = "nothing continues the call";
    node_.counters.count("walnutmill_unanswered_calls_total");
    node_.log.write(
        log_priority::important, "request.unanswered",
        {{"request", call_.id.str()},
         {"why", why},
         {"waits_for", waits_for_},
         {"ms", ms_count(node_.clock() - arrived_)}});
    end_unanswered(why, why, min_retry_after_refusal);
}

duration call_flow::time_left() const
{
    return deadline_at_ - node_.clock();
}

void call_flow::start()
{
    findings problems;
    auto decoded = platform::decode_call(request_.base(), problems);
    if (!decoded)
    {
        auto const& first = problems.items().front();
        respond_locally(status_bad_request, first.place + " " + first.message);
        return;
    }
    call_ = std::move(*decoded);
    stored_turn_id_ = call_.id;
    log_fields_["request"] = call_.id.str();
    if (!call_.program.program.empty())
        log_fields_["program"] = call_.program.program.str();
    if (call_.resume_after)
        log_fields_["resume_after"] = *call_.resume_after;
    if (!call_.resumes.empty())
        log_fields_["resumes"] = call_.resumes.str();
    table_ = node_.table;
    deadline_at_ = arrived_ + default_deadline;
    if (!table_)
    {
        refuse("no configuration is known yet", retry_after_without_store);
        return;
    }
    log_fields_["configuration"] = table_->version;
    if (!route_call() || !limit_call_time())
        return;
    // Weak, so that a call that nothing continues ends at once.
    link_->on_disconnect = [call = weak_from_this()]
    {
        if (auto const self = call.lock())
            self->on_caller_disconnected();
    };
    check_identity();
}

bool call_flow::route_call()
{
    std::string_view const path =
        std::string_view(call_.target).substr(0, call_.target.find('?'));
    route_ = table_->match(host_without_port(call_.host), path);
    if (route_ == nullptr)
    {
        deny(status_not_found, "no route for this host and path");
        return false;
    }
    log_fields_["route"] = route_->name;
    labels_.route = node_.accounting->route_index(route_->name);
    need_ = balancer_request();
    choose_service();
    if (service_ == nullptr)
    {
        refuse("the route's service is not configured", retry_after_spread);
        return false;
    }
    return true;
}

void call_flow::choose_service()
{
    std::uint32_t sum = 0;
    for (auto const& share : route_->shares)
        sum += share.weight;
    auto draw = node_.random() * static_cast<double>(sum);
    service_name chosen = route_->shares.back().service;
    for (auto const& share : route_->shares)
    {
        draw -= static_cast<double>(share.weight);
        if (draw < 0)
        {
            chosen = share.service;
            break;
        }
    }
    use_service(chosen);
}

void call_flow::use_service(service_name const& name)
{
    service_ = table_->find_service(name);
    need_.service = name;
    if (service_ == nullptr || !service_->model)
        return;
    need_.prompt_tokens = std::max(call_.prompt_tokens, 1U);
    need_.output_tokens = expected_output_tokens(call_);
    need_.prompt = &call_.prompt;
    need_.cache_tokens = service_->model->cache_tokens;
    tokens_per_event_ = service_->model->tokens_per_event;
}

/// Limits the call's time by its caller and by its route, as of the
/// configuration that the call is routed by; later ones change nothing.
/// \return false if the node may exit before that, and the call was refused
bool call_flow::limit_call_time()
{
    auto wait = max_call_time(*route_);
    std::string_view limit = wait == route_->timeout ? "route" : "default";
    if (call_.deadline && *call_.deadline - deadline_margin < wait)
    {
        deadline_reserve_ = std::min<duration>(
            deadline_margin, wait - (*call_.deadline - deadline_margin));
        wait = *call_.deadline - deadline_margin;
        limit = "caller";
    }
    log_fields_["limit"] = limit;
    log_fields_["limit_ms"] = wait.count();
    deadline_at_ = arrived_ + wait;
    auto& longest = node_.max_call_times[route_->name];
    longest = std::max(longest, duration(wait));
    if (node_.new_calls_end_by &&
        deadline_at_ + deadline_reserve_ > *node_.new_calls_end_by)
    {
        // The connection closes with this answer, so that the caller's retry
        // reaches another node.
        refuse("this node is about to stop", milliseconds(0));
        return false;
    }
    // The answer is of use to the caller until then.
    link_->allow_unread_for(
        std::chrono::duration_cast<milliseconds>(wait + deadline_reserve_));
    await_deadline();
    return true;
}

void call_flow::await_deadline()
{
    deadline_timer_.expires_after(time_left());
    deadline_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code const& error)
        {
            if (!error)
                self->on_deadline();
        });
}

/// Gives an answer that has begun the time that is reserved for a refusal.
void call_flow::extend_deadline()
{
    if (deadline_reserve_.count() == 0)
        return;
    deadline_at_ += deadline_reserve_;
    deadline_reserve_ = duration(0);
    await_deadline();
}

void call_flow::admit()
{
    if (await_store(true, "the store that turns are kept in is away"))
        return;
    if (has_budget() && route_->keeps_turns &&
        should_refuse_in_outage(current_outage()))
    {
        refuse_without_store("the store that turns are kept in is away");
        return;
    }
    load_history();
}

bool call_flow::has_budget() const
{
    auto const& program = call_.program;
    return program.token_budget && !program.program.empty() && service_->model;
}

/// Requests the turn's tokens once nothing else keeps it from an engine: if
/// this node fails, they count as spent.
void call_flow::request_budget()
{
    if (!has_budget())
    {
        try_engine();
        return;
    }
    auto const& program = call_.program;
    // The last event may hold fewer tokens but is counted as a full one.
    auto const per_event = tokens_per_event_;
    max_tokens_ =
        (std::max<std::uint64_t>(call_.max_output_tokens, 1) + per_event - 1) /
        per_event * per_event;
    log_fields_["budget_tokens"] = *program.token_budget;
    log_fields_["prompt_parts"] = call_.prompt.size();
    if (program.finish_in)
        log_fields_["finish_in_ms"] = program.finish_in->count();
    log_fields_["most_tokens"] = max_tokens_;
    auto const pressure = node_.balancer.pressure(need_.service);
    if (pressure)
        log_fields_["pressure"] = *pressure;
    auto const now = node_.clock();
    node_.ranks.record_turn(route_rank(), now);
    auto const less_urgent_in_flight =
        node_.ranks.has_less_urgent_rank(route_rank(), now);
    if (less_urgent_in_flight)
        log_fields_["goes_before_others"] = true;
    auto const only_started_programs =
        draw_refusal(pressure, less_urgent_in_flight, now);
    begin_wait(wait_reason::budget);
    node_.budgets.admit(
        {program.program, *program.token_budget, max_tokens_,
         only_started_programs,
         route_->keeps_turns && !may_run_speculatively(pressure),
         route_->keeps_turns},
        [self = shared_from_this()](
            admission_answer answer, budget_service::grant const& grant)
        {
            self->wait_.end();
            self->log_fields_["budget"] = to_string(answer);
            self->log_fields_["budget_home"] = grant.coordinator;
            self->count_share_decision(answer, grant);
            if (answer == admission_answer::admitted)
                self->budget_granted(grant);
            if (self->done_)
                self->settle_budget();
            else if (answer == admission_answer::admitted)
                self->try_engine();
            else if (answer == admission_answer::exhausted)
                self->respond_locally(status_budget, "the budget is spent");
            else
                self->refuse_for_budget(answer);
        });
}

void call_flow::budget_granted(budget_service::grant const& grant)
{
    grant_ = grant;
    log_fields_["known_lines"] = grant.cache_locations.size();
    for (auto const& place : grant.cache_locations)
        node_.balancer.add_prefix_location(place);
}

void call_flow::settle_budget()
{
    if (!grant_)
        return;
    auto const location = cached_prefix_location();
    if (location)
        node_.balancer.add_prefix_location(*location);
    node_.budgets.settle(*grant_, delivered_tokens_, location);
    grant_.reset();
}

/// \return the prefix cache location of the turn's prompt and output; empty if
/// no engine has generated output in a completed attempt.
std::optional<prefix_cache_location> call_flow::cached_prefix_location() const
{
    auto const completed = current_ && current_->ended &&
                           current_->accepted_by_engine &&
                           delivered_tokens_ > 0;
    if (!completed || call_.prompt.empty())
        return std::nullopt;
    auto const& last = call_.prompt.back();
    return prefix_cache_location{
        last.id, last.tokens + static_cast<std::uint32_t>(delivered_tokens_),
        current_->at.ref()};
}

void call_flow::refuse_for_budget(admission_answer answer)
{
    if (answer == admission_answer::not_begun)
        refuse("the engines are full", retry_after_when_full);
    else if (answer == admission_answer::contended)
        refuse("the budget is taken by turns under way", retry_after_spread);
    else
        refuse_without_store("the store of budgets does not answer");
}

void call_flow::load_history()
{
    // The previous turn may have been stored when the route kept turns.
    if (!route_->streams || call_.program.previous_turn.empty())
    {
        request_budget();
        return;
    }
    auto const try_unscoped_id =
        !unscoped_previous_.empty() && !is_scoped(unscoped_previous_.str());
    load_turn(call_.program.previous_turn, try_unscoped_id);
}

/// \param try_unscoped_id whether to fall back to the unscoped ID, under which
/// turns were stored while callers needed no keys
void call_flow::load_turn(request_id const& previous, bool try_unscoped_id)
{
    begin_wait(wait_reason::history);
    node_.history.load(
        previous,
        [self = shared_from_this(),
         try_unscoped_id](history_answer answer, turn_chain chain)
        {
            self->wait_.end();
            if (self->done_)
                return;
            if (answer == history_answer::unknown_turn && try_unscoped_id)
            {
                self->load_turn(self->unscoped_previous_, false);
                return;
            }
            self->log_fields_["history"] =
                answer == history_answer::found
                    ? std::to_string(chain.ids.size()) + " turns"
                : answer == history_answer::unknown_turn ? "unknown"
                                                         : "unavailable";
            if (chain.failure)
                self->log_history_failure(*chain.failure);
            if (answer == history_answer::found)
            {
                self->chain_ = std::move(chain);
                self->request_budget();
            }
            else if (
                answer == history_answer::unknown_turn &&
                !self->route_->keeps_turns)
                self->request_budget();
            else if (answer == history_answer::unknown_turn)
                self->respond_locally(status_not_found, "no such turn is kept");
            else
                self->refuse_without_store(
                    "the store of turns does not answer");
        },
        call_.program.program.str(),
        std::min(
            max_history_retry,
            std::chrono::duration_cast<milliseconds>(time_left() / 2)));
}

void call_flow::log_history_failure(history_failure const& failure)
{
    log_fields_["history_failure"] = to_string(failure.cause);
    log_fields_["history_failed_turn"] = failure.turn.str();
    log_fields_["history_failed_position"] = failure.position;
    log_fields_["history_length"] = failure.chain_length;
    log_fields_["history_failed_turns"] = failure.failed_turns;
}

void call_flow::on_deadline()
{
    if (done_)
    {
        // The caller has left, and the engine was to complete the call.
        if (current_ && !current_->ended)
            log_failed_attempt(current_, "caller left, time is up");
        abandon_attempt();
        return;
    }
    end_unanswered(
        "time is up", "time was up before an engine was free",
        min_retry_after_refusal);
}

void call_flow::end_for_exit()
{
    if (done_)
        return;
    constexpr std::string_view why = "the node has to exit";
    end_unanswered(why, why, milliseconds(0));
}

/// Ends a call that has waited in vain.
/// \param why_not_run reason given where no engine can have run the call
void call_flow::end_unanswered(
    std::string_view why, std::string_view why_not_run,
    milliseconds retry_after)
{
    log_fields_["waits_for"] = waits_for_;
    if ((current_ && !current_->ended) || head_written_ || may_have_run_)
        abort_call(why);
    else
        refuse(why_not_run, retry_after);
}

/// Gives up the current attempt, if it has not ended.
void call_flow::abandon_attempt()
{
    if (!current_ || current_->ended)
        return;
    give_up_run();
    end_attempt(current_, engine_outcome::abandoned);
    // Closing the connection also stops the engine's work on the call.
    current_->link->close();
}

void call_flow::on_caller_disconnected()
{
    if (done_)
        return;
    caller_disconnected_ = true;
    log_fields_["waits_for"] = waits_for_;
    if (route_->streams || route_->repeats == repeatability::idempotent)
        abandon_attempt();
    finish("caller left", false);
}

void call_flow::refuse_without_store(std::string_view why)
{
    if (await_store(false, why))
        return;
    auto const outage = current_outage();
    log_fields_["store_lost_ms"] = ms_count(outage.lost_for);
    auto const wait = outage.lost_for.count() > 0 ? outage_retry_after(outage)
                                                  : retry_after_without_store;
    // refuse() adds a random delay of up to the spread subtracted here.
    refuse(why, std::max(wait - retry_after_spread, min_retry_after_refusal));
}

void call_flow::refuse(std::string_view why, milliseconds retry_after)
{
    return_quota();
    respond_locally(
        status_unavailable, why, retry_after + retry_after_jitter());
}

milliseconds call_flow::retry_after_jitter() const
{
    return milliseconds(static_cast<std::int64_t>(
        node_.random() * static_cast<double>(retry_after_spread.count())));
}

std::uint32_t call_flow::route_rank() const
{
    return call_.owner_rank.value_or(route_->rank);
}

void call_flow::respond_locally(
    int status, std::string_view why, milliseconds retry_after)
{
    if (done_)
        return;
    if (head_written_)
    {
        abort_call(why);
        return;
    }
    platform::local_answer answer;
    answer.status = status;
    answer.message = std::string(why);
    answer.retry_after = retry_after;
    answer.id = call_.id;
    head_written_ = true;
    link_->write(platform::encode_local_answer(answer, link_->begin_answer()));
    log_fields_["status"] = status;
    log_fields_["why"] = why;
    if (retry_after.count() > 0)
        log_fields_["retry_after_ms"] = retry_after.count();
    count_refusal(status, why);
    node_.counters.count(
        "walnutmill_own_answers_total{status=\"" + std::to_string(status) +
        "\"}");
    finish("own answer", true);
}

/// Ends a call whose outcome at an engine is unknown, or whose answer has
/// already started.
void call_flow::abort_call(std::string_view why)
{
    if (done_)
        return;
    abandon_attempt();
    if (!head_written_)
    {
        respond_locally(
            time_left() < deadline_margin ? status_timeout : status_bad_gateway,
            why);
        return;
    }
    log_fields_["why"] = why;
    link_->on_disconnect = {};
    link_->abort();
    finish("broken off", true);
}

void call_flow::finish(std::string_view outcome, bool trouble)
{
    if (done_)
        return;
    done_ = true;
    wait_.end();
    count_if_late();
    leave_store_queue();
    settle_budget();
    // The deadline also limits an engine that completes a call whose caller has
    // left.
    if (!current_ || current_->ended)
        deadline_timer_.cancel();
    stall_timer_.cancel();
    identity_timer_.cancel();
    if (outcome != "broken off" && !caller_disconnected_)
        link_->finish_answer();
    link_->on_disconnect = {};
    log_fields_["outcome"] = outcome;
    log_fields_["tokens"] = delivered_tokens_;
    log_fields_["sends"] = sends_;
    log_fields_["ms"] = ms_count(node_.clock() - arrived_);
    if (!call_.id.empty())
    {
        node_.log.write(
            trouble ? log_priority::important : log_priority::routine,
            "call.ended", log_fields_);
    }
    node_.counters.count(
        "walnutmill_calls_total{outcome=\"" + std::string(outcome) + "\"}");
    node_.counters.observe(
        "walnutmill_call_seconds",
        std::chrono::duration<double>(node_.clock() - arrived_).count());
}

void call_flow::begin_wait(wait_reason reason)
{
    waits_for_ = to_string(reason);
    // A call that has ended waits for nothing, whatever its engine does.
    if (!done_)
        wait_ = call_wait(node_.accounting, labels_, reason);
}

void call_flow::count_refusal(int status, std::string_view why)
{
    auto const cause = refusal_cause_of(status, why);
    if (!cause)
        return;
    refused_ = true;
    node_.accounting->count_refusal(labels_, *cause);
}

/// Counts the call as late if its program's time was used up. A refused turn
/// has not ended: its caller sends it again.
void call_flow::count_if_late()
{
    auto const finish_in = call_.program.finish_in;
    if (!refused_ && finish_in && node_.clock() - arrived_ >= *finish_in)
        node_.accounting->count_late_turn(labels_);
}

void end_calls_for_exit(entry_services& node)
{
    std::vector<std::shared_ptr<call_flow>> calls;
    for (auto* one : node.calls->calls)
        calls.push_back(one->shared_from_this());
    for (auto const& one : calls)
        one->end_for_exit();
}

} // namespace walnutmill

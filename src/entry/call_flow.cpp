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

/// Where a caller states no deadline and the route no timeout.
constexpr milliseconds default_deadline{30'000};
/// While the store is lost, or a node has started without it, nothing is gained
/// by coming back soon: outages last seconds, and a tool call that used up its
/// one or two repetitions ends its program. Callers wait a third of their time
/// left at most, 1 s on the sites' routes, so three tries of one turn bridge
/// some 4 s.
constexpr milliseconds come_back_later{900};
/// While the engines are full a call's length (0.3 to 0.5 s) changes what is
/// free; bursts last some seconds, and a caller comes back a few times at
/// most.
constexpr milliseconds come_back_when_full{600};

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
    : node_(node), link_(std::move(link)), request_(std::move(request)),
      deadline_(node.io), stall_timer_(node.io), arrived_(node.clock())
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
    kept_id_ = call_.id;
    story_["request"] = call_.id.str();
    if (!call_.program.program.empty())
        story_["program"] = call_.program.program.str();
    table_ = node_.table;
    give_up_at_ = arrived_ + default_deadline;
    if (!table_)
    {
        refuse("no configuration is known yet", come_back_later);
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
    check_identity();
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
    need_.cache_tokens = service_->model->cache_tokens;
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
    auto& whole = node_.whole_times[route_->name];
    whole = std::max(whole, duration(wait));
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
    if (route_->keeps_turns && should_come_back(in_outage()))
    {
        refuse_without_store("the store that turns are kept in is away");
        return;
    }
    auto const now = node_.clock();
    node_.ranks.seen(route_rank(), now);
    auto const goes_before_others =
        node_.ranks.has_less_urgent(route_rank(), now);
    if (goes_before_others)
        story_["goes_before_others"] = true;
    auto const only_begun =
        node_.random() <
        refusal_chance(pressure, route_rank(), goes_before_others);
    node_.budgets.admit(
        {program.program, *program.token_budget, most_tokens_, only_begun,
         route_->keeps_turns && !may_run_in_vain(pressure)},
        [self = shared_from_this()](
            admission_answer answer, budget_desk::grant const& grant)
        {
            self->story_["budget"] = to_string(answer);
            self->story_["budget_home"] = grant.home;
            if (answer == admission_answer::admitted)
                self->granted(grant);
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

void call_flow::granted(budget_desk::grant const& one)
{
    grant_ = one;
    story_["known_lines"] = one.places.size();
    for (auto const& place : one.places)
        node_.board.learn(place);
}

void call_flow::settle()
{
    if (!grant_)
        return;
    auto const left = prompt_left();
    if (left)
        node_.board.learn(*left);
    node_.budgets.settle(*grant_, handed_out_, left);
    grant_.reset();
}

/// \return where the turn left what was read and generated; empty where no
/// engine has generated any of it.
std::optional<prompt_place> call_flow::prompt_left() const
{
    auto const whole =
        current_ && current_->ended && current_->runs && handed_out_ > 0;
    if (!whole || call_.prompt.empty())
        return std::nullopt;
    auto const& last = call_.prompt.back();
    return prompt_place{
        last.id, last.tokens + static_cast<std::uint32_t>(handed_out_),
        current_->at.ref()};
}

void call_flow::refuse_for_budget(admission_answer answer)
{
    if (answer == admission_answer::not_begun)
        refuse("the engines are full", come_back_when_full);
    else if (answer == admission_answer::contended)
        refuse("the budget is taken by turns under way", come_back_spread);
    else
        refuse_without_store("the store of budgets does not answer");
}

void call_flow::load_history()
{
    if (!route_->keeps_turns || call_.program.previous_turn.empty())
    {
        try_engine();
        return;
    }
    auto const may_be_unscoped =
        !unscoped_previous_.empty() && !is_scoped(unscoped_previous_.str());
    load_turn(call_.program.previous_turn, may_be_unscoped);
}

/// \param may_be_unscoped the turn may have been kept before callers needed
/// keys, under its bare id
void call_flow::load_turn(request_id const& last, bool may_be_unscoped)
{
    node_.history.load(
        last,
        [self = shared_from_this(),
         may_be_unscoped](history_answer answer, turn_chain chain)
        {
            if (self->done_)
                return;
            if (answer == history_answer::unknown_turn && may_be_unscoped)
            {
                self->load_turn(self->unscoped_previous_, false);
                return;
            }
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
                self->refuse_without_store(
                    "the store of turns does not answer");
        },
        call_.program.program.str());
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

outage_call call_flow::in_outage() const
{
    outage_call to;
    if (node_.store_lost_for)
        to.lost_for = node_.store_lost_for();
    to.time_left = time_left();
    auto const found = node_.whole_times.find(route_->name);
    to.whole_time =
        found == node_.whole_times.end() ? to.time_left : found->second;
    return to;
}

void call_flow::refuse_without_store(std::string_view why)
{
    auto const outage = in_outage();
    story_["store_lost_ms"] = ms_count(outage.lost_for);
    auto const wait = outage.lost_for.count() > 0 ? come_back_in_outage(outage)
                                                  : come_back_later;
    // refuse() spreads from there on.
    refuse(why, std::max(wait - come_back_spread, come_back_soon));
}

void call_flow::refuse(std::string_view why, milliseconds come_back)
{
    return_quota();
    answer_own(status_unavailable, why, come_back + retry_after_jitter());
}

milliseconds call_flow::retry_after_jitter() const
{
    return milliseconds(static_cast<std::int64_t>(
        node_.random() * static_cast<double>(come_back_spread.count())));
}

std::uint32_t call_flow::route_rank() const
{
    return call_.owner_rank.value_or(route_->rank);
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
    stall_timer_.cancel();
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

} // namespace walnutmill

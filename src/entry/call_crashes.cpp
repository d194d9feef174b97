/// \file
/// The part of class call_flow that limits the engines that end under a
/// request.

#include "entry/call_flow.hpp"

#include "entry/call_limits.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{

/// Checks what the request has done to engines, before each send.
/// \param again called where the call has to wait before it may be sent
/// \return false if the call has been ended or waits
bool call_flow::check_crashes(void (call_flow::*again)())
{
    need_.apart = false;
    need_.among.clear();
    if (node_.crashes == nullptr || node_.crashes->record().empty())
        return true;
    auto const& record = node_.crashes->record();
    switch (node_.crashes->verdict(digest()))
    {
    case send_verdict::allowed:
        return true;
    case send_verdict::suspect:
        need_.apart = true;
        return true;
    case send_verdict::limited_to_its_engines:
        need_.apart = true;
        need_.among = record.running_engines(digest());
        return true;
    case send_verdict::awaits_records:
        if (await_crash_records(
                [waiting = weak_from_this(), again]
                {
                    if (auto const self = waiting.lock())
                        ((*self).*again)();
                }))
            return false;
        refuse_or_wait(
            "engines ended under this request, and other nodes have not told "
            "what they know");
        return false;
    case send_verdict::awaits_other_run:
        log_fields_["crashes"] = record.crashes(digest());
        refuse_or_wait(
            "engines ended under this request, and another run of it is under "
            "way");
        return false;
    case send_verdict::quarantined:
        break;
    }
    log_fields_["digest"] = to_text(digest());
    log_fields_["crashes"] = record.crashes(digest());
    node_.counters.count("walnutmill_calls_quarantined_total");
    refuse_or_abort(
        "engines ended under this request, so it is quarantined",
        record.quarantined_for(digest()));
    return false;
}

bool call_flow::await_crash_records(std::function<void()> then)
{
    waits_for_ = "records";
    log_fields_["awaited_crash_records"] = true;
    node_.counters.count("walnutmill_calls_awaiting_crash_records_total");
    return node_.crashes->await_records(digest(), std::move(then));
}

/// The engines that have the request cannot be asked now. What becomes of them
/// decides whether it may be sent to others.
void call_flow::choose_again_later()
{
    constexpr std::chrono::milliseconds interval{100};
    constexpr int max_doublings = 2;
    waits_for_ = "its engines";
    need_.avoid = ended_engines_;
    if (may_have_run_)
    {
        // The waits bound the number of sends that engines reject.
        counted_sends_ -= rejected_sends_;
        rejected_sends_ = 0;
    }
    auto const doublings = std::min(deferred_choices_++, max_doublings);
    stall_timer_.expires_after(interval * (1 << doublings));
    stall_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code const& error)
        {
            if (!error)
                self->choose_after_wait();
        });
}

/// An engine that the call is bound to may have ended while the call waited for
/// it. No request may be sent to one without an entry to find out.
void call_flow::choose_after_wait()
{
    if (done_)
        return;
    auto const is_bound = current_ && need_.only == current_->at.engine;
    if (!is_bound || node_.balancer.known(current_->at.ref()))
    {
        try_engine();
        return;
    }
    node_.links.check_listening(
        current_->at.address,
        [self = shared_from_this(), engine = current_->at.ref()](bool listening)
        {
            if (self->done_)
                return;
            if (!listening)
                self->leave_ended_engine(engine);
            self->try_engine();
        });
}

/// Refuses a call that may not be sent for now. One that may have run waits
/// until it may be sent.
void call_flow::refuse_or_wait(std::string_view why)
{
    if (may_have_run_)
        choose_again_later();
    else
        refuse(why, min_retry_after_refusal);
}

/// Ends a call that may not be sent. It is refused only where it has not run.
void call_flow::refuse_or_abort(std::string_view why, duration retry_after)
{
    if (may_have_run_)
    {
        abort_call(why);
        return;
    }
    refuse(
        why,
        std::chrono::duration_cast<std::chrono::milliseconds>(retry_after));
}

request_run call_flow::run_of(attempt_ptr const& attempt)
{
    request_label label{
        call_.owner.str(), call_.program.program.str(), route_->name,
        call_.id.str()};
    return {
        digest(), std::move(label), attempt->run, attempt->at.ref(),
        attempt->sent_at};
}

bool call_flow::is_silent(attempt_ptr const& attempt) const
{
    return node_.clock() - attempt->last_progress_at >=
           attempt->silence_timeout;
}

void call_flow::add_crashed_engine(engine_ref const& engine)
{
    if (std::find(crashed_at_.begin(), crashed_at_.end(), engine) ==
        crashed_at_.end())
        crashed_at_.push_back(engine);
}

/// Records that the call leaves a silent engine, which may be sound.
void call_flow::run_fell_silent(attempt_ptr const& attempt)
{
    add_crashed_engine(attempt->at.ref());
    if (node_.crashes != nullptr)
        node_.crashes->run_fell_silent(
            run_of(attempt), attempt->last_progress_at);
}

/// Records that the engine broke off under this call.
void call_flow::run_interrupted(
    attempt_ptr const& attempt, std::string_view evidence)
{
    add_crashed_engine(attempt->at.ref());
    if (node_.crashes == nullptr)
        return;
    auto const run = run_of(attempt);
    node_.crashes->run_interrupted(run);
    node_.counters.count(
        "walnutmill_request_crashes_total{evidence=\"" + std::string(evidence) +
        "\"}");
    node_.log.write(
        log_priority::important, "request.crash",
        {{"request", call_.id.str()},
         {"digest", to_text(run.request)},
         {"workspace", run.label.workspace},
         {"program", run.label.program},
         {"route", run.label.route},
         {"engine", attempt->at.engine.str()},
         {"started_at_ms", attempt->at.incarnation.started_at_ms},
         {"evidence", evidence},
         {"crashes", node_.crashes->record().crashes(run.request)},
         {"ms", ms_count(node_.clock() - attempt->sent_at)}});
}

void call_flow::run_survived(attempt_ptr const& attempt)
{
    if (node_.crashes != nullptr && !node_.crashes->record().empty())
        node_.crashes->run_survived(run_of(attempt));
}

void call_flow::run_answered()
{
    if (node_.crashes != nullptr)
        node_.crashes->run_answered(digest());
}

/// Records that the current attempt is given up without an answer.
void call_flow::give_up_run()
{
    if (is_silent(current_))
    {
        log_fields_["engine_silent_ms"] =
            ms_count(node_.clock() - current_->last_progress_at);
        run_fell_silent(current_);
    }
    else if (node_.crashes != nullptr)
        node_.crashes->run_abandoned(run_of(current_));
}

} // namespace walnutmill

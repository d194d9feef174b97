#include "entry/crash_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace walnutmill
{

crash_exchange::crash_exchange(
    clock_fn clock, random_fn random, hooks callbacks,
    crash_exchange_options options)
    : clock_(clock), random_(std::move(random)), hooks_(std::move(callbacks)),
      options_(options), record_(std::move(clock), options.record),
      last_tick_at_(clock_())
{
}

crash_exchange::~crash_exchange()
{
    *alive_ = false;
}

void crash_exchange::set_nodes(std::vector<entry_member> const& others)
{
    if (!members_known_at_)
        members_known_at_ = clock_();
    auto const was_alone = peers_.empty();
    for (auto const& address : peers_)
        recent_peers_[address] = clock_();
    peers_.clear();
    for (auto const& one : others)
    {
        peers_.push_back(one.address);
        recent_peers_.erase(one.address);
    }
    if (was_alone && !peers_.empty())
    {
        // Neither side knows what the other recorded before, or that the other
        // is there.
        auto const greeting = encode({}, clock_());
        for (auto const& address : peers_)
            hooks_.send(address, greeting);
        ask_for_records();
        broadcast(all_requests());
        hooks_.schedule_after(
            options_.first_resend,
            [this, alive = alive_]
            {
                if (*alive)
                    ask_for_records();
            });
    }
}

std::vector<request_digest> crash_exchange::all_requests() const
{
    std::vector<request_digest> all;
    record_.for_each([&all](request_digest request, suspect_request const&)
                     { all.push_back(request); });
    return all;
}

void crash_exchange::ask_for_records()
{
    if (peers_.empty())
        return;
    crash_message query;
    query.is_query = true;
    send_to_some(encode(query, clock_()));
}

void crash_exchange::ask_about(request_digest request)
{
    auto const* const known = record_.find(request);
    crash_message query;
    query.is_query = true;
    query.requests.emplace_back(
        request, known == nullptr ? suspect_request() : *known);
    send_to_some(encode(query, clock_()));
}

/// Sends to nodes drawn at random.
void crash_exchange::send_to_some(std::string const& bytes)
{
    auto const first = static_cast<std::size_t>(
        random_() * static_cast<double>(peers_.size()));
    for (std::size_t i = 0; i < std::min(options_.queried, peers_.size()); ++i)
        hooks_.send(peers_[(first + i) % peers_.size()], bytes);
}

bool crash_exchange::may_lack_records() const
{
    auto const now = clock_();
    if (now - last_tick_at_ > options_.standstill)
        return true;
    return !is_informed_ && (!members_known_at_ || now - *members_known_at_ <
                                                       options_.start_patience);
}

/// \return true if the request may be judged by this node's own record
bool crash_exchange::is_confirmed(request_digest request) const
{
    auto const found = confirmed_at_.find(request);
    if (found != confirmed_at_.end() &&
        clock_() - found->second <= options_.answer_lifetime)
        return true;
    return peers_.empty() && !may_lack_records();
}

bool crash_exchange::await_records(
    request_digest request, std::function<void()> then)
{
    if (waiting_.size() >= options_.max_waiting)
        return false;
    waiting_.push_back({request, clock_(), std::move(then)});
    ask_about(request);
    return true;
}

/// Lets calls go on that have been answered or have waited for long enough.
void crash_exchange::resume_waiting()
{
    auto const now = clock_();
    for (auto const& one : waiting_)
    {
        if (now - one.since >= options_.answer_patience)
            confirmed_at_[one.request] = now;
    }
    auto const first_ready = std::stable_partition(
        waiting_.begin(), waiting_.end(),
        [this](waiting_call const& one) { return !is_confirmed(one.request); });
    std::vector<waiting_call> const ready(
        std::make_move_iterator(first_ready),
        std::make_move_iterator(waiting_.end()));
    waiting_.erase(first_ready, waiting_.end());
    for (auto const& one : ready)
        one.then();
}

void crash_exchange::report_quarantine(
    request_digest request, bool was_quarantined)
{
    if (was_quarantined || !hooks_.on_quarantined ||
        verdict(request) != send_verdict::quarantined)
        return;
    if (auto const* const one = record_.find(request))
        hooks_.on_quarantined(request, *one);
}

void crash_exchange::run_began(request_run const& run)
{
    if (record_.began(
            run.request, run.label, run.id, run_engine_name(run.engine)))
        changed(run.request);
}

void crash_exchange::run_interrupted(request_run const& run, time_point ended)
{
    auto const before = verdict(run.request);
    auto const engine = run_engine_name(run.engine);
    if (!record_.interrupted(
            run.request, run.label, run.id, engine, run.began, ended))
        return;
    suspected_engines_.insert(engine);
    if (clear_if_answered(run.request))
        return;
    changed(run.request);
    report_quarantine(run.request, before == send_verdict::quarantined);
}

bool crash_exchange::may_leave(
    request_digest request, engine_ref const& engine) const
{
    return was_answered(request) ||
           !record_.is_at_limit(request, run_engine_name(engine));
}

void crash_exchange::run_fell_silent(
    request_run const& run, time_point heard_at)
{
    if (was_answered(run.request))
    {
        run_survived(run);
        return;
    }
    if (record_.fell_silent(
            run.request, run.label, run.id, run_engine_name(run.engine),
            run.began))
        changed(run.request);
    if (silent_.size() >= options_.max_abandoned)
    {
        auto const oldest = silent_.front();
        silent_.pop_front();
        decide(oldest, run_decision::unknown);
    }
    silent_.push_back({run, heard_at, clock_()});
    // Only watches without a gap between them show one silence.
    auto silent_since = heard_at;
    for (auto one = silent_.rbegin(); one != silent_.rend(); ++one)
    {
        if (one->run.engine == run.engine && one->given_up_at >= silent_since)
            silent_since = std::min(silent_since, one->heard_at);
    }
    if (clock_() - silent_since >= options_.longest_silence)
        decide_silent_runs(run.engine, run_decision::silent_too_long);
}

void crash_exchange::engine_went_on(engine_ref const& engine)
{
    decide_silent_runs(engine, run_decision::engine_went_on);
}

void crash_exchange::decide_silent_runs(
    engine_ref const& engine, run_decision what)
{
    auto const others = std::stable_partition(
        silent_.begin(), silent_.end(),
        [&engine](silent_run const& one) { return one.run.engine == engine; });
    std::vector<silent_run> const decided(silent_.begin(), others);
    silent_.erase(silent_.begin(), others);
    for (auto const& one : decided)
        decide(one, what);
}

void crash_exchange::decide(silent_run const& one, run_decision what)
{
    auto const has_ended = what == run_decision::engine_ended ||
                           what == run_decision::silent_too_long;
    if (has_ended)
        run_interrupted(one.run, one.given_up_at);
    else
        run_survived(one.run);
    if (hooks_.on_decided)
        hooks_.on_decided(one.run, what);
}

void crash_exchange::forget_silent_runs()
{
    while (!silent_.empty())
    {
        auto const oldest = silent_.front();
        silent_.pop_front();
        decide(oldest, run_decision::unknown);
    }
}

void crash_exchange::expire_silent_runs()
{
    while (!silent_.empty() &&
           clock_() - silent_.front().given_up_at > options_.abandoned_lifetime)
    {
        auto const oldest = silent_.front();
        silent_.pop_front();
        decide(oldest, run_decision::unknown);
    }
}

void crash_exchange::run_abandoned(request_run const& run)
{
    run_survived(run);
    if (abandoned_.size() >= options_.max_abandoned)
        abandoned_.pop_front();
    abandoned_.emplace_back(run, clock_());
}

void crash_exchange::run_survived(request_run const& run)
{
    if (record_.survived(run.request, run.id))
        changed(run.request);
}

bool crash_exchange::was_answered(request_digest request) const
{
    return answered_.count(request) > 0 || answered_before_.count(request) > 0;
}

send_verdict crash_exchange::verdict(request_digest request) const
{
    auto const recorded = record_.verdict(request);
    if (recorded == send_verdict::allowed)
        return recorded;
    if (was_answered(request))
        return send_verdict::suspect;
    return recorded == send_verdict::suspect && !is_confirmed(request)
               ? send_verdict::awaits_records
               : recorded;
}

/// \return true if the request was cleared
bool crash_exchange::clear_if_answered(request_digest request)
{
    if (!was_answered(request) || !record_.clear(request))
        return false;
    changed(request);
    return true;
}

void crash_exchange::run_answered(request_digest request)
{
    if (answered_.size() < options_.max_answered)
        answered_.insert(request);
    silent_.erase(
        std::remove_if(
            silent_.begin(), silent_.end(),
            [request](silent_run const& one)
            { return one.run.request == request; }),
        silent_.end());
    if (record_.clear(request))
        changed(request);
}

void crash_exchange::engine_responded(
    engine_ref const& engine, time_point sent_at)
{
    engine_sent_bytes(engine);
    if (suspected_engines_.empty())
        return;
    auto const found = suspected_engines_.find(run_engine_name(engine));
    if (found == suspected_engines_.end())
        return;
    auto const cleared = record_.engine_responded(*found, sent_at);
    if (!record_.is_suspected(*found))
        suspected_engines_.erase(found);
    for (auto const request : cleared)
        changed(request);
}

void crash_exchange::engine_ended(engine_ref const& engine)
{
    std::vector<std::pair<request_run, time_point>> runs;
    for (auto const& one : abandoned_)
    {
        if (one.first.engine == engine)
            runs.push_back(one);
    }
    abandoned_.erase(
        std::remove_if(
            abandoned_.begin(), abandoned_.end(),
            [&engine](auto const& one) { return one.first.engine == engine; }),
        abandoned_.end());
    for (auto const& [run, abandoned_at] : runs)
    {
        run_interrupted(run, abandoned_at);
        if (hooks_.on_decided)
            hooks_.on_decided(run, run_decision::engine_ended);
    }
    decide_silent_runs(engine, run_decision::engine_ended);
}

bool crash_exchange::release(request_digest request)
{
    if (!record_.clear(request))
        return false;
    changed(request);
    return true;
}

/// Sends the change at once, or with others if one was just sent.
void crash_exchange::changed(request_digest request)
{
    unsent_.insert(request);
    if (sending_is_scheduled_)
        return;
    auto const due = last_sent_at_ + options_.collect_time;
    if (clock_() >= due)
    {
        send_changes();
        return;
    }
    sending_is_scheduled_ = true;
    hooks_.schedule_after(
        due - clock_(),
        [this, alive = alive_]
        {
            if (!*alive)
                return;
            sending_is_scheduled_ = false;
            send_changes();
        });
}

void crash_exchange::send_changes()
{
    last_sent_at_ = clock_();
    std::vector<request_digest> const requests(unsent_.begin(), unsent_.end());
    unsent_.clear();
    broadcast(requests);
    schedule_resend(requests, options_.first_resend);
    schedule_resend(requests, options_.second_resend);
}

void crash_exchange::schedule_resend(
    std::vector<request_digest> const& requests, duration after)
{
    hooks_.schedule_after(
        after,
        [this, alive = alive_, requests]
        {
            if (*alive)
                broadcast(requests);
        });
}

void crash_exchange::broadcast(std::vector<request_digest> const& requests)
{
    for (auto const& bytes : messages_of(requests))
    {
        for (auto const& address : peers_)
            hooks_.send(address, bytes);
        for (auto const& [address, left_at] : recent_peers_)
            hooks_.send(address, bytes);
    }
}

std::vector<std::string>
crash_exchange::messages_of(std::vector<request_digest> const& requests) const
{
    std::vector<std::string> messages;
    crash_message message;
    std::size_t bytes = 0;
    auto const now = clock_();
    for (auto const request : requests)
    {
        auto const* const found = record_.find(request);
        if (found == nullptr)
            continue;
        message.requests.emplace_back(request, *found);
        constexpr std::size_t request_bytes = 120;
        constexpr std::size_t run_bytes = 60;
        bytes += request_bytes + run_bytes * found->runs.size();
        if (bytes < options_.message_bytes)
            continue;
        messages.push_back(encode(message, now));
        message.requests.clear();
        bytes = 0;
    }
    if (!message.requests.empty())
        messages.push_back(encode(message, now));
    return messages;
}

void crash_exchange::tick()
{
    auto const now = clock_();
    if (now - last_tick_at_ > options_.standstill)
    {
        is_informed_ = false;
        if (members_known_at_)
            members_known_at_ = now;
    }
    last_tick_at_ = now;
    if (may_lack_records())
        ask_for_records();
    resume_waiting();
    for (auto const& one : waiting_)
        ask_about(one.request);
    for (auto it = confirmed_at_.begin(); it != confirmed_at_.end();)
    {
        it = now - it->second > options_.answer_lifetime
                 ? confirmed_at_.erase(it)
                 : std::next(it);
    }
    while (!abandoned_.empty() &&
           now - abandoned_.front().second > options_.abandoned_lifetime)
        abandoned_.pop_front();
    expire_silent_runs();
    if (now - answers_rotated_at_ >= options_.answer_memory)
    {
        answers_rotated_at_ = now;
        answered_before_ = std::exchange(answered_, {});
    }
    if (now - last_repair_at_ < options_.repair_interval)
        return;
    last_repair_at_ = now;
    for (auto it = recent_peers_.begin(); it != recent_peers_.end();)
    {
        it = now - it->second > options_.recent_peer_lifetime
                 ? recent_peers_.erase(it)
                 : std::next(it);
    }
    record_.drop_expired();
    if (record_.empty())
        suspected_engines_.clear();
    else
        send_some_records();
}

/// Sends one message with records to a random node.
void crash_exchange::send_some_records()
{
    if (peers_.empty())
        return;
    auto all = all_requests();
    auto const draw = [this](std::size_t below)
    {
        return std::min(
            below - 1,
            static_cast<std::size_t>(random_() * static_cast<double>(below)));
    };
    constexpr std::size_t records_per_message = 8;
    std::vector<request_digest> some;
    for (std::size_t i = 0; i < std::min(all.size(), records_per_message); ++i)
    {
        std::swap(all[i], all[i + draw(all.size() - i)]);
        some.push_back(all[i]);
    }
    auto const& address = peers_[draw(peers_.size())];
    for (auto const& bytes : messages_of(some))
        hooks_.send(address, bytes);
}

bool crash_exchange::handle(
    std::string_view bytes, std::string const& sender,
    std::function<void(std::string)> const& reply)
{
    auto message = decode_crash_message(bytes, clock_());
    if (!message)
        return false;
    auto const is_member =
        std::find(peers_.begin(), peers_.end(), sender) != peers_.end();
    auto const has_room = recent_peers_.count(sender) > 0 ||
                          recent_peers_.size() < options_.max_recent_peers;
    if (!is_member && has_room)
        recent_peers_[sender] = clock_();
    std::vector<request_digest> missing;
    for (auto const& [request, one] : message->requests)
    {
        for (auto const& run : one.runs)
        {
            if (run.state == run_state::ended)
                suspected_engines_.insert(run.engine);
        }
        if (record_.merge(request, one))
            clear_if_answered(request);
        if (record_.knows_more(request, one))
            missing.push_back(request);
    }
    auto const tells = random_() * static_cast<double>(peers_.size()) <
                       static_cast<double>(options_.queried + 1);
    if (tells)
    {
        for (auto& rest : messages_of(missing))
            reply(std::move(rest));
    }
    if (message->is_query)
        answer_query(*message, reply);
    if (message->completes_answer)
        answer_received(*message);
    return true;
}

void crash_exchange::answer_query(
    crash_message const& query, std::function<void(std::string)> const& reply)
{
    crash_message end;
    end.completes_answer = true;
    for (auto const& asked : query.requests)
    {
        auto const* const known = record_.find(asked.first);
        end.requests.emplace_back(
            asked.first, known == nullptr ? suspect_request() : *known);
    }
    if (query.requests.empty())
    {
        auto all = all_requests();
        std::stable_sort(
            all.begin(), all.end(),
            [this](request_digest a, request_digest b)
            { return record_.crashes(a) > record_.crashes(b); });
        auto answers = messages_of(all);
        answers.resize(std::min(answers.size(), options_.max_answers));
        for (auto& answer : answers)
            reply(std::move(answer));
    }
    if (!may_lack_records())
        reply(encode(end, clock_()));
}

void crash_exchange::answer_received(crash_message const& answer)
{
    if (answer.requests.empty())
        is_informed_ = true;
    for (auto const& one : answer.requests)
        confirmed_at_[one.first] = clock_();
    resume_waiting();
}

} // namespace walnutmill

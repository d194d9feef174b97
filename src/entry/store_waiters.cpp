#include "entry/store_waiters.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill
{

std::string_view to_string(store_wait_end end)
{
    switch (end)
    {
    case store_wait_end::released:
        return "released";
    case store_wait_end::expired:
        return "expired";
    case store_wait_end::full:
        return "full";
    case store_wait_end::left:
        return "left";
    case store_wait_end::stopping:
        return "stopping";
    }
    return "unknown";
}

store_waiters::store_waiters(
    clock_fn clock, hooks to, store_waiter_options options)
    : clock_(std::move(clock)), hooks_(std::move(to)), options_(options)
{
}

std::optional<store_waiters::ticket> store_waiters::add(store_waiter turn)
{
    if (stopped_ || turns_.size() >= options_.max_turns)
    {
        report(stopped_ ? store_wait_end::stopping : store_wait_end::full);
        return std::nullopt;
    }
    auto const wait = turn.until - clock_();
    turns_.push_back({++last_ticket_, std::move(turn)});
    hooks_.schedule_after(
        std::max(wait, duration(0)),
        [this, alive = std::weak_ptr<bool>(alive_)]
        {
            if (!alive.expired())
                expire();
        });
    // The store may have returned since the caller asked.
    if (!hooks_.is_store_lost())
        begin_release();
    return last_ticket_;
}

void store_waiters::remove(ticket turn, store_wait_end why)
{
    auto const found = std::find_if(
        turns_.begin(), turns_.end(),
        [turn](entry const& one) { return one.id == turn; });
    if (found == turns_.end())
        return;
    turns_.erase(found);
    report(why);
}

void store_waiters::store_recovered()
{
    recovered_at_ = clock_();
    begin_release();
}

bool store_waiters::is_recovering() const
{
    return recovered_at_ && clock_() - *recovered_at_ <= options_.recovery_time;
}

time_point store_waiters::next_recheck() const
{
    return clock_() + options_.recheck_interval;
}

void store_waiters::begin_release()
{
    if (!releases_ && !turns_.empty())
        schedule_release(duration(0));
}

void store_waiters::stop()
{
    stopped_ = true;
    for (auto const& one : std::exchange(turns_, {}))
    {
        report(store_wait_end::stopping);
        one.turn.on_end(store_wait_end::stopping);
    }
}

/// Turns that may be released go first. Among them, turns whose programs can
/// still end in time go first, the least time left first, and then the others.
/// Turns without a time at which their programs should end follow those that
/// have one. Turns that are equal in this go by the rank of their route, and
/// then in the order of their arrival.
bool store_waiters::goes_before(entry const& a, entry const& b) const
{
    auto const now = clock_();
    auto const may_go = [now](entry const& one)
    { return one.turn.not_before <= now; };
    if (may_go(a) != may_go(b))
        return may_go(a);
    auto const ends_in_time_from = now + options_.run_time;
    auto const is_late = [&](entry const& one)
    { return one.turn.finish_by && *one.turn.finish_by < ends_in_time_from; };
    auto const late = is_late(a);
    if (late != is_late(b))
        return !late;
    auto const finish_a = a.turn.finish_by.value_or(time_point::max());
    auto const finish_b = b.turn.finish_by.value_or(time_point::max());
    if (!late && finish_a != finish_b)
        return finish_a < finish_b;
    return a.turn.rank != b.turn.rank ? a.turn.rank < b.turn.rank : a.id < b.id;
}

void store_waiters::schedule_release(duration after)
{
    releases_ = true;
    hooks_.schedule_after(
        after,
        [this, alive = std::weak_ptr<bool>(alive_)]
        {
            if (!alive.expired())
                release_next();
        });
}

void store_waiters::release_next()
{
    releases_ = false;
    // Turns that can no longer run in time are not released.
    expire();
    if (turns_.empty() || hooks_.is_store_lost())
        return;
    schedule_release(options_.release_interval);
    auto const next = std::min_element(
        turns_.begin(), turns_.end(),
        [this](entry const& a, entry const& b) { return goes_before(a, b); });
    if (next->turn.not_before <= clock_())
        end(next, store_wait_end::released);
}

void store_waiters::expire()
{
    auto const is_over = [now = clock_()](entry const& one)
    { return one.turn.until <= now; };
    // Searched again after each, because a turn's callback may change the
    // queue.
    for (auto found = std::find_if(turns_.begin(), turns_.end(), is_over);
         found != turns_.end();
         found = std::find_if(turns_.begin(), turns_.end(), is_over))
        end(found, store_wait_end::expired);
}

void store_waiters::end(std::vector<entry>::iterator which, store_wait_end how)
{
    auto const ended = std::move(which->turn);
    turns_.erase(which);
    report(how);
    ended.on_end(how);
}

void store_waiters::report(store_wait_end how) const
{
    if (hooks_.on_ended)
        hooks_.on_ended(how);
}

} // namespace walnutmill

#include "member_table.hpp"

#include <walnutmill/hash.hpp>

#include <algorithm>
#include <cmath>

namespace walnutmill
{
namespace detail
{
namespace
{

/// News is put into this many messages per doubling of the members, and two
/// more: enough that hardly a node misses it, and the beats show up who did.
constexpr double news_repeats = 1.5;
constexpr unsigned least_news_repeats = 2;

load_digest larger(load_digest const& a, load_digest const& b)
{
    return {
        std::max(a.queued, b.queued), std::max(a.running, b.running),
        std::max(a.programs, b.programs)};
}

/// Takes over what is newer. Within one session the counter orders loads; at
/// the same counter the larger is taken, so that the order of merging does
/// not matter.
void merge_into(member_entry& entry, beat const& from, time_point now)
{
    auto& into = entry.info;
    if (from.counter > into.counter)
    {
        into.load = from.load;
        entry.changed = now;
        entry.beats_left = beat_repeats;
    }
    else if (from.counter == into.counter)
        into.load = larger(into.load, from.load);
    bool const news = from.configuration > into.configuration ||
                      (from.leaving && !into.leaving);
    if (news)
        entry.beats_left = beat_repeats;
    into.counter = std::max(into.counter, from.counter);
    into.configuration = std::max(into.configuration, from.configuration);
    into.leaving = into.leaving || from.leaving;
}

template<class Map>
void erase_older(Map& map, time_point now, duration age)
{
    for (auto at = map.begin(); at != map.end();)
    {
        if (now - at->second.since >= age)
            at = map.erase(at);
        else
            ++at;
    }
}

} // namespace

member_key key_of(session_id const& session)
{
    return stable_hash(session.str());
}

beat beat_of(member_info const& info)
{
    return {
        key_of(info.session), info.counter, info.configuration, info.load,
        info.leaving};
}

member_table::member_table(member_info self, duration forget_after)
    : self_(self.node), own_key_(key_of(self.session)),
      forget_after_(forget_after)
{
    put(std::move(self), time_point()).news_left = news_messages();
}

void member_table::update_own(member_update const& update)
{
    auto& entry = own();
    auto& info = entry.info;
    if (update.leaving && !info.leaving)
        entry.news_left = news_messages();
    info.counter = std::max(info.counter, update.counter);
    info.configuration = std::max(info.configuration, update.configuration);
    info.load = update.load;
    info.leaving = info.leaving || update.leaving;
}

void member_table::merge(member_info const& info, time_point now)
{
    bool const is_news = replaces(info);
    seed(info, now);
    if (is_news)
        entries_.at(info.node).news_left = news_messages();
}

void member_table::seed(member_info const& info, time_point now)
{
    if (replaces(info))
    {
        put(info, now);
        return;
    }
    // Nobody knows this node better than itself.
    auto const at = entries_.find(info.node);
    if (at == entries_.end() || info.node == self_)
        return;
    if (info.incarnation == at->second.info.incarnation)
        merge_into(at->second, beat_of(info), now);
}

/// Whether it is of a node unknown so far or a later incarnation.
bool member_table::replaces(member_info const& info) const
{
    if (info.node == self_ || info.node.empty() || info.session.empty())
        return false;
    auto const at = entries_.find(info.node);
    if (at != entries_.end())
        return info.incarnation > at->second.info.incarnation;
    auto const forgotten = forgotten_.find(info.session);
    return forgotten == forgotten_.end() ||
           info.counter > forgotten->second.counter;
}

bool member_table::merge(beat const& one, time_point now)
{
    if (one.key == own_key_)
        return true;
    auto const at = by_key_.find(one.key);
    if (at == by_key_.end())
        return false;
    merge_into(entries_.at(at->second), one, now);
    return true;
}

void member_table::fence(session_id const& session, time_point now)
{
    fences_.emplace(session, fence_entry{now, news_messages()});
}

bool member_table::is_fenced(session_id const& session) const
{
    return fences_.count(session) != 0;
}

void member_table::forget_old(time_point now)
{
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        bool const old = now - at->second.changed >= forget_after_;
        if (at->first == self_ || !old)
        {
            ++at;
            continue;
        }
        forget(at->second, now);
        at = entries_.erase(at);
    }
    // Others forget at other times; until then they still tell of it.
    erase_older(fences_, now, 2 * forget_after_);
    erase_older(forgotten_, now, 2 * forget_after_);
}

member_info const* member_table::find(member_key key) const
{
    auto const at = by_key_.find(key);
    return at == by_key_.end() ? nullptr : &entries_.at(at->second).info;
}

std::vector<member_entry*> member_table::live()
{
    std::vector<member_entry*> made;
    for (auto& one : entries_)
        if (!is_fenced(one.second.info.session))
            made.push_back(&one.second);
    return made;
}

std::vector<member_entry const*> member_table::live() const
{
    std::vector<member_entry const*> made;
    for (auto const& one : entries_)
        if (!is_fenced(one.second.info.session))
            made.push_back(&one.second);
    return made;
}

member_entry& member_table::put(member_info info, time_point now)
{
    auto& entry = entries_[info.node];
    by_key_.erase(key_of(entry.info.session));
    by_key_[key_of(info.session)] = info.node;
    entry = {};
    entry.info = std::move(info);
    entry.changed = now;
    entry.beats_left = beat_repeats;
    return entry;
}

void member_table::forget(member_entry const& entry, time_point now)
{
    auto const& session = entry.info.session;
    forgotten_[session] = {entry.info.counter, now};
    by_key_.erase(key_of(session));
}

unsigned member_table::news_messages() const
{
    auto const members = static_cast<double>(entries_.size() + 1);
    return least_news_repeats +
           static_cast<unsigned>(news_repeats * std::log2(members));
}

} // namespace detail
} // namespace walnutmill

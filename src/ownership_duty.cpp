#include "ownership_duty.hpp"

#include <walnutmill/logging.hpp>

#include <algorithm>

namespace walnutmill
{
namespace
{

/// Shards in one transaction: bounded, so that no step of a takeover holds
/// up this node's own commits for long.
constexpr std::size_t shards_per_step = 32;
/// Rounds per lease: a death is seen within lease + lease / 4.
constexpr int rounds_per_lease = 4;
/// Records of a shard beyond its last checkpoint that trigger the next: at
/// about 1 KB each, a takeover replays at most some 0.5 MB per shard.
constexpr std::size_t records_between_checkpoints = 512;
/// Commits after which a shard with any record is checkpointed, so that the
/// journal's rows can be erased: about a minute of a busy node's flushes.
constexpr std::uint64_t commits_between_checkpoints = 2'000;
/// Checkpoints in one round, to spread the object store's load.
constexpr std::size_t checkpoints_per_round = 4;
/// Rows erased along with one commit.
constexpr std::size_t erased_per_round = 64;

} // namespace

ownership_duty::ownership_duty(
    table_service table, object_store objects, journal_duty& journal,
    owner_duty& owner, routing& routes, ownership_duty_options options,
    ownership_duty_hooks hooks, metrics& counters)
    : table_(std::move(table)), objects_(std::move(objects)), journal_(journal),
      owner_(owner), routes_(routes), options_(std::move(options)),
      hooks_(std::move(hooks)), counters_(counters), thread_([this] { run(); })
{
}

ownership_duty::~ownership_duty()
{
    stopping_ = true;
    poke();
    thread_.join();
}

void ownership_duty::poke()
{
    std::lock_guard<std::mutex> lock(mutex_);
    poked_ = true;
    wake_.notify_all();
}

void ownership_duty::leave()
{
    leaving_ = true;
    poke();
}

void ownership_duty::run()
{
    while (!stopping_ && !journal_.fenced())
    {
        round();
        std::unique_lock<std::mutex> lock(mutex_);
        wake_.wait_for(
            lock, options_.lease / rounds_per_lease,
            [this] { return poked_ || stopping_; });
        poked_ = false;
    }
}

void ownership_duty::round()
{
    if (!read_view())
        return;
    fence_stale(options_.clock());
    reassign();
    load_owned();
    hand_over();
    checkpoint_some();
    trim_journal();
    collect_garbage();
    publish();
}

bool ownership_duty::read_view()
{
    // Shards first: the session of every owner seen is then in the second
    // reading, so that a new session is not taken for a dead one.
    auto const shards = scan_all(table_, shard_prefix);
    auto const sessions = scan_all(table_, session_prefix);
    counters_.count("walnutmill_table_reads_total", 2);
    if (!sessions || !shards)
        return false;
    ownership_view view;
    for (auto const& row : sessions.value())
    {
        auto session = decode_session(row.value);
        if (session)
            view.sessions.push_back(std::move(session.value()));
    }
    view.shards.resize(options_.shards);
    for (shard_number i = 0; i < options_.shards; ++i)
        view.shards[i].number = i;
    for (auto const& row : shards.value())
    {
        auto shard = decode_shard(row.value);
        if (shard && shard.value().number < options_.shards)
            view.shards[shard.value().number] = std::move(shard.value());
    }
    if (leaving_)
    {
        // The row may not say so yet.
        for (auto& session : view.sessions)
            session.leaving = session.leaving || session.id == options_.self;
    }
    view_ = std::move(view);
    publish();
    return true;
}

void ownership_duty::publish()
{
    routes_.set(std::make_shared<ownership_view>(view_));
}

void ownership_duty::fence_stale(time_point now)
{
    for (auto& session : view_.sessions)
    {
        if (session.fenced || session.id == options_.self)
            continue;
        watch_.observe(session.id, session.counter, now);
        // An earlier incarnation of this very node is surely gone.
        bool const predecessor = session.node == options_.node;
        bool const dead = watch_.stale(session.id, now, options_.lease) &&
                          watches(options_.self, session.id, view_.sessions);
        if ((predecessor || dead) && fence(session))
            session.fenced = true;
    }
}

bool ownership_duty::fence(session_state const& session)
{
    auto fenced = session;
    fenced.fenced = true;
    exclusive_commit work;
    auto const key = session_key(session.id);
    work.conditions.push_back({key, encode_session(session)});
    work.writes.push_back({key, encode_session(fenced)});
    auto const status = journal_.exclusive(std::move(work)).get();
    if (status != exclusive_status::committed)
        return false;
    counters_.count("walnutmill_takeovers_total");
    watch_.forget(session.id);
    write_log(
        severity::warning, "ownership", "fenced a session",
        {{"session", session.id.str()}});
    return true;
}

void ownership_duty::reassign()
{
    if (leaving_)
        return;
    for (;;)
    {
        auto const changes = plan_reassignment(
            options_.self, view_.shards, view_.sessions, shards_per_step);
        if (changes.empty() || !change_shards(changes))
            return;
        notify_owners(changes);
    }
}

void ownership_duty::add_owner_conditions(
    std::vector<shard_change> const& changes, exclusive_commit& work) const
{
    // Only a fenced session, or one that is gone, loses its shards to others.
    std::vector<session_id> named;
    for (auto const& change : changes)
    {
        auto const& owner = change.before.owner;
        bool const known =
            std::find(named.begin(), named.end(), owner) != named.end();
        if (owner.empty() || owner == options_.self || known)
            continue;
        named.push_back(owner);
        std::optional<std::string> expected;
        if (auto const* session = view_.find_session(owner))
            expected = encode_session(*session);
        work.conditions.push_back({session_key(owner), expected});
    }
}

bool ownership_duty::change_shards(std::vector<shard_change> const& changes)
{
    exclusive_commit work;
    add_owner_conditions(changes, work);
    for (auto const& change : changes)
    {
        auto const key = shard_key(change.before.number);
        std::optional<std::string> expected;
        if (!change.before.owner.empty())
            expected = encode_shard(change.before);
        work.conditions.push_back({key, expected});
        work.writes.push_back({key, encode_shard(change.after)});
    }
    auto const status = journal_.exclusive(std::move(work)).get();
    if (status != exclusive_status::committed)
        return false;
    for (auto const& change : changes)
        view_.shards[change.after.number] = change.after;
    return true;
}

void ownership_duty::notify_owners(std::vector<shard_change> const& changes)
{
    std::vector<session_id> told;
    for (auto const& change : changes)
    {
        auto const& owner = change.after.owner;
        bool const known =
            std::find(told.begin(), told.end(), owner) != told.end();
        if (known || owner == options_.self)
            continue;
        told.push_back(owner);
        if (auto const* session = view_.find_session(owner))
            hooks_.notify(session->peer_address);
    }
}

void ownership_duty::load_owned()
{
    std::vector<shard_state> rows;
    for (auto const& shard : view_.shards)
    {
        if (shard.owner == options_.self && loaded_.count(shard.number) == 0)
            rows.push_back(shard);
    }
    if (!rows.empty())
    {
        auto const began = options_.clock();
        auto recovered = recover_shards(table_, objects_, rows);
        if (!recovered)
        {
            write_log(
                severity::warning, "ownership", "cannot load shards",
                {{"reason", recovered.error().message}});
            return;
        }
        counters_.count(
            "walnutmill_recovery_bytes_total", recovered.value().bytes_read);
        for (auto& shard : recovered.value().shards)
        {
            loaded_[shard.row.number] = shard.row.epoch;
            owner_.post(
                [shard = std::move(shard)](program_owner& owner, time_point now)
                {
                    owner.load_shard(
                        shard.row.number, shard.row.epoch, shard.records, now);
                });
        }
        auto const took = options_.clock() - began;
        counters_.observe(
            "walnutmill_recovery_seconds",
            std::chrono::duration<double>(took).count());
        write_log(
            severity::info, "ownership", "loaded shards",
            {{"count", std::to_string(rows.size())},
             {"bytes", std::to_string(recovered.value().bytes_read)}});
    }
    owned_ = loaded_.size();
    settled_ = true;
}

void ownership_duty::hand_over()
{
    auto const changes =
        plan_hand_over(options_.self, view_.shards, view_.sessions);
    std::vector<shard_change> moved;
    for (auto const& change : changes)
    {
        if (stopping_ || moved.size() >= shards_per_step)
            break;
        if (loaded_.count(change.before.number) != 0 && hand_over_shard(change))
            moved.push_back(change);
    }
    notify_owners(moved);
    owned_ = loaded_.size();
    if (leaving_ && !moved.empty())
        poke();
}

bool ownership_duty::hand_over_shard(shard_change change)
{
    auto const number = change.before.number;
    bool const quiet = owner_.ask(
        [number](program_owner& owner)
        {
            if (!owner.quiet(number))
                return false;
            owner.set_moving(number, true);
            owner.return_slices(number);
            return true;
        });
    if (!quiet)
        return false;
    auto const settled = [this, number]
    {
        return owner_.ask([number](program_owner& owner)
                          { return owner.quiet(number); });
    };
    while (!settled())
    {
        if (stopping_ || journal_.fenced())
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    auto const taken = owner_.snapshot(number);
    auto const key = checkpoint_key(number, change.before.epoch, taken.counter);
    // Without the object store the records stay where they are.
    if (objects_.put(key, encode_records(taken.records)))
    {
        change.after.checkpoint = key;
        change.after.checkpoint_epoch = change.before.epoch;
        change.after.checkpoint_counter = taken.counter;
        change.after.segments = {{change.after.owner, change.after.epoch}};
    }
    else
    {
        journal_pinned_ = true;
    }
    bool const changed = change_shards({change});
    owner_.ask(
        [this, number, changed](program_owner& owner)
        {
            if (changed)
                owner.drop_shard(number, options_.clock());
            else
                owner.set_moving(number, false);
            return 0;
        });
    if (changed)
    {
        loaded_.erase(number);
        if (!change.before.checkpoint.empty() &&
            change.after.checkpoint != change.before.checkpoint)
            static_cast<void>(objects_.erase(change.before.checkpoint));
    }
    return changed;
}

bool ownership_duty::checkpoint_due(shard_state const& row)
{
    // Records of an earlier owner make the next takeover read its journal.
    if (row.segments.size() > 1)
        return true;
    return owner_.ask(
        [this, &row](program_owner& owner)
        {
            auto const first = owner.first_commit(row.number);
            return owner.uncheckpointed_records(row.number) >=
                       records_between_checkpoints ||
                   (first != 0 && owner_.applied_counter() - first >=
                                      commits_between_checkpoints);
        });
}

void ownership_duty::checkpoint_some()
{
    if (leaving_)
        return;
    std::size_t done = 0;
    auto it = loaded_.upper_bound(checkpoint_cursor_);
    for (std::size_t i = 0; i < loaded_.size(); ++i, ++it)
    {
        if (it == loaded_.end())
            it = loaded_.begin();
        checkpoint_cursor_ = it->first;
        auto const row = view_.shards[it->first];
        if (row.owner != options_.self || !checkpoint_due(row))
            continue;
        if (!checkpoint(row) || ++done >= checkpoints_per_round)
            return;
    }
}

bool ownership_duty::checkpoint(shard_state const& row)
{
    auto const taken = owner_.snapshot(row.number);
    auto after = row;
    after.checkpoint = checkpoint_key(row.number, row.epoch, taken.counter);
    after.checkpoint_epoch = row.epoch;
    after.checkpoint_counter = taken.counter;
    after.segments = {{options_.self, row.epoch}};
    if (!objects_.put(after.checkpoint, encode_records(taken.records)))
        return false;
    if (!change_shards({{row, after}}))
        return false;
    counters_.count("walnutmill_checkpoints_total");
    owner_.post([number = row.number,
                 taken_at = taken.counter](program_owner& owner, time_point)
                { owner.note_checkpoint(number, taken_at); });
    if (!row.checkpoint.empty() && row.checkpoint != after.checkpoint)
        static_cast<void>(objects_.erase(row.checkpoint));
    return true;
}

void ownership_duty::trim_journal()
{
    // A shard that left with records in this journal needs all of it.
    if (journal_pinned_)
        return;
    auto const needed = owner_.ask(
        [this](program_owner& owner)
        {
            auto first = owner_.applied_counter() + 1;
            for (auto const& entry : loaded_)
            {
                auto const dirty = owner.first_commit(entry.first);
                if (dirty != 0)
                    first = std::min(first, dirty);
            }
            return first;
        });
    std::vector<std::string> keys;
    while (erased_below_ + 1 < needed && keys.size() < erased_per_round)
        keys.push_back(journal_key(options_.self, ++erased_below_));
    if (!keys.empty())
        journal_.erase_rows(std::move(keys));
}

void ownership_duty::collect_garbage()
{
    for (auto const& session : view_.sessions)
    {
        bool const gone = session.fenced && session.id != options_.self &&
                          !referenced(session.id, view_.shards);
        if (gone && watches(options_.self, session.id, view_.sessions))
        {
            erase_session(session);
            return;
        }
    }
}

void ownership_duty::erase_session(session_state const& session)
{
    auto const rows =
        table_.scan(journal_prefix(session.id), {}, erased_per_round);
    if (!rows)
        return;
    std::vector<std::string> keys;
    for (auto const& row : rows.value().rows)
        keys.push_back(row.key);
    if (!rows.value().more)
        keys.push_back(session_key(session.id));
    journal_.erase_rows(std::move(keys));
}

} // namespace walnutmill

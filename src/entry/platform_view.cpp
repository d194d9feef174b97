#include "entry/platform_view.hpp"

#include "entry/call_limits.hpp"
#include "platform/documents.hpp"
#include "platform/names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

constexpr char const* members_table = "walnutmill-nodes";
/// Separate from the partition that engines and the operator write: 295
/// members and 167 engines renew more rows per second than one partition
/// accepts.
constexpr char const* members_partition = "members";
/// Writes of all members at once are spread over this time per member.
constexpr double write_spread_per_member_ms = 6;
/// Key by which the reader of a failure domain is selected.
constexpr char const* reader_key = "cluster-reader";
constexpr milliseconds row_renewal_interval{3'000};
/// Intervals between reads of the members, and between queries to the reader,
/// during the startup period. Nodes that lost power together rewrite their rows
/// within a second. Until the new rows are read, budgets reserved by their
/// former incarnations keep programs waiting.
constexpr milliseconds startup_read_interval{1'000};
constexpr milliseconds startup_reader_read_interval{300};
constexpr milliseconds startup_query_interval{200};
constexpr milliseconds startup_period{6'000};
/// Timeout of one read. The next scheduled read retries it.
constexpr milliseconds read_timeout{900};
/// Timeout of the write of a node's row, and the delay before a failed one is
/// retried. A partition processes 200 transactions per second, serially.
constexpr milliseconds write_timeout{2'000};
constexpr milliseconds write_retry_delay{1'500};
/// A node that received a query within this time acts as a reader and polls
/// twice as often.
constexpr milliseconds recent_query_window{3'000};
/// Staleness of a table, in read intervals, at which a node reads it from the
/// store even while it follows a reader, and up to which it accepts another
/// node's read. Of the three intervals in which a change must take effect, one
/// remains for the read and a retry.
constexpr int max_followed_age_intervals = 2;
/// Own reads start earlier by a random part of that, up to this fraction, so
/// that the followers of a lost reader do not read at the same moment.
constexpr double own_read_spread = 0.125;

coordinator_options reader_options(entry_member const& self)
{
    coordinator_options options;
    options.own_capacity_weight = self.strength;
    options.capacity_exponent = single_duty_exponent;
    return options;
}

std::uint64_t as_of(range_result const& result)
{
    auto version = result.version;
    for (auto const& row : result.rows)
        version = std::max(version, row.version);
    return version;
}

} // namespace

platform_view::platform_view(
    versioned_store store, clock_fn clock, random_fn random, line_log& log,
    entry_member self, milliseconds interval, hooks callbacks)
    : store_(std::move(store)), clock_(std::move(clock)),
      random_(std::move(random)), log_(log), self_(std::move(self)),
      interval_(interval), hooks_(std::move(callbacks)), engines_(log),
      members_(log), reader_(self_.node, reader_options(self_))
{
    if (!hooks_.boot_clock)
        hooks_.boot_clock = clock_;
}

platform_view::~platform_view()
{
    *alive_ = false;
}

void platform_view::start()
{
    started_ = clock_();
    read_all();
    if (hooks_.ask)
        schedule(query_interval(), ask_timer_, &platform_view::ask_peer);
}

void platform_view::refresh()
{
    // A read in progress continues. The one that finishes last schedules the
    // next.
    if (is_following())
        ask_peer();
    else
        read_all();
    schedule_self_write();
}

void platform_view::read_all()
{
    read_configuration();
    read_engines();
    read_members();
}

cluster_section& platform_view::section(cluster_table which)
{
    return sections_[static_cast<std::size_t>(which)];
}

cluster_section const& platform_view::section(cluster_table which) const
{
    return sections_[static_cast<std::size_t>(which)];
}

time_point platform_view::last_read() const
{
    return std::max(
        section(cluster_table::configuration).read_at,
        section(cluster_table::engines).read_at);
}

duration platform_view::configuration_age() const
{
    return age_of(cluster_table::configuration);
}

duration platform_view::age_of(cluster_table which) const
{
    auto const read_started_at = section(which).read_started_at;
    return read_started_at == time_point{}
               ? duration::max()
               : hooks_.boot_clock() - read_started_at;
}

bool platform_view::has_read_engines() const
{
    return section(cluster_table::engines).known();
}

void platform_view::schedule(
    milliseconds after, periodic_step& timer, void (platform_view::*step)())
{
    // Jitter keeps nodes that started together from reading in lockstep.
    auto const spread = 0.75 + random_() / 2;
    run_after(
        milliseconds(static_cast<std::int64_t>(
            static_cast<double>(after.count()) * spread)),
        timer, step);
}

/// Schedules a step instead of the run of it that was scheduled before.
void platform_view::run_after(
    duration after, periodic_step& timer, void (platform_view::*step)())
{
    hooks_.schedule_after(
        after,
        [this, alive = alive_, &timer, step, run = ++timer.run]
        {
            if (*alive && timer.run == run)
                (this->*step)();
        });
}

/// \return the time between reads. A change takes effect after up to two of
/// them: one by the reader and one by its follower.
milliseconds platform_view::read_interval() const
{
    return reads_for_others() ? interval_ / 2 : interval_;
}

platform_view::table_reads platform_view::reads_of(cluster_table which)
{
    return which == cluster_table::configuration
               ? table_reads{configuration_timer_, &platform_view::read_configuration}
               : table_reads{engines_timer_, &platform_view::read_engines};
}

/// Schedules the read after one of this node.
void platform_view::schedule_next_read(cluster_table which)
{
    if (is_following() && age_of(which) < max_followed_age())
        schedule_read_when_due(which);
    else
    {
        auto const reads = reads_of(which);
        schedule(read_interval(), reads.timer, reads.step);
    }
}

/// Schedules a read that takes place unless an answer of the reader confirms
/// the table before.
void platform_view::schedule_read_when_due(cluster_table which)
{
    auto const due_at_age = duration(static_cast<duration::rep>(
        static_cast<double>(max_followed_age().count()) *
        (1 - own_read_spread * random_())));
    auto const reads = reads_of(which);
    run_after(
        std::max(due_at_age - age_of(which), duration(0)), reads.timer,
        reads.step);
}

duration platform_view::max_followed_age() const
{
    return interval_ * max_followed_age_intervals;
}

bool platform_view::reads_for_others() const
{
    return last_query_at_ != time_point{} &&
           clock_() - last_query_at_ < recent_query_window;
}

bool platform_view::is_starting_up() const
{
    return clock_() - started_ < startup_period;
}

milliseconds platform_view::query_interval() const
{
    auto const usual = interval_ / 2;
    return is_starting_up() ? std::min(usual, startup_query_interval) : usual;
}

/// Applies a read unless a newer one is known.
/// \return false if its bytes cannot be decoded
bool platform_view::apply_section(cluster_table which, cluster_section fresh)
{
    auto& known = section(which);
    if (known.known() && fresh.as_of < known.as_of)
        return true;
    auto const changed = !known.known() || fresh.digest != known.digest;
    auto const before = known;
    fresh.read_at = std::max(fresh.read_at, known.read_at);
    fresh.read_started_at = known.read_started_at;
    if (changed)
        known = std::move(fresh);
    else
    {
        known.as_of = fresh.as_of;
        known.read_at = fresh.read_at;
    }
    auto const taken = !changed || apply_changed_section(which);
    if (!taken)
        known = before;
    else if (!changed && which == cluster_table::engines)
        confirm_engines();
    return taken;
}

bool platform_view::apply_changed_section(cluster_table which)
{
    switch (which)
    {
    case cluster_table::configuration:
        return apply_configuration();
    case cluster_table::engines:
        return apply_engines();
    case cluster_table::members:
        break;
    }
    return apply_members();
}

void platform_view::read_configuration()
{
    std::string const key(platform::names::configuration_key);
    store_.read(
        {std::string(platform::names::operator_table), "", key, key + '\0'},
        read_timeout,
        [this, began = hooks_.boot_clock()](range_result const& result)
        {
            configuration_read(result, began);
            schedule_next_read(cluster_table::configuration);
        });
}

void platform_view::configuration_read(
    range_result const& result, time_point began)
{
    if (result.outcome != store_outcome::done)
    {
        ++failed_configuration_reads_;
        return;
    }
    configuration_row row;
    if (!result.rows.empty())
        row = {result.rows[0].version, result.rows[0].value};
    apply_section(
        cluster_table::configuration,
        make_section(as_of(result), clock_(), encode(row)));
    confirm_section(cluster_table::configuration, self_.node, began);
}

/// Records that the table includes every write acknowledged before that time.
/// \param source the node that read it
void platform_view::confirm_section(
    cluster_table which, std::string const& source, time_point read_started_at)
{
    auto& known = section(which);
    if (read_started_at <= known.read_started_at)
        return;
    auto const former_age = age_of(which);
    known.read_started_at = read_started_at;
    if (which == cluster_table::configuration)
        report_confirmation(source, former_age);
}

void platform_view::report_confirmation(
    std::string const& source, duration former_age)
{
    configuration_confirmation one;
    one.source = source;
    one.read_age = configuration_age();
    one.former_age = former_age;
    one.former_source = std::exchange(configuration_source_, source);
    one.since_reader_answered = reader_answered_at_ == time_point{}
                                    ? duration::max()
                                    : clock_() - reader_answered_at_;
    one.failed_reads = std::exchange(failed_configuration_reads_, 0);
    if (hooks_.on_configuration_confirmed)
        hooks_.on_configuration_confirmed(one);
}

bool platform_view::apply_configuration()
{
    auto const row =
        decode_configuration_row(section(cluster_table::configuration).bytes);
    if (!row || row->version <= configuration_row_version_)
        return row.has_value();
    findings problems;
    auto decoded = platform::decode_configuration(row->document, problems);
    if (!decoded)
    {
        log_.write(
            log_priority::important, "configuration.unreadable",
            {{"row_version", row->version},
             {"why", problems.items().front().message}});
        return true;
    }
    configuration_row_version_ = row->version;
    if (decoded->version < configuration_version_)
        return true;
    configuration_version_ = decoded->version;
    nlohmann::json fields{
        {"configuration", decoded->version},
        {"row_version", configuration_row_version_},
        {"routes", decoded->routes.size()},
        {"services", decoded->services.size()}};
    // The change is at most as old as the read that did not show it.
    if (auto const age = configuration_age(); age != duration::max())
        fields["changed_within_ms"] = ms_count(age);
    log_.write(log_priority::important, "configuration.applied", fields);
    hooks_.on_configuration(
        std::make_shared<routing_table const>(std::move(*decoded)));
    return true;
}

void platform_view::read_engines()
{
    read_table(
        std::string(platform::names::engines_table), "",
        [this,
         began = hooks_.boot_clock()](std::optional<table_rows> const& read)
        {
            if (read)
                engines_read(*read, began);
            schedule_next_read(cluster_table::engines);
        });
}

/// Reads a complete table, with one call per 500 rows.
void platform_view::read_table(
    std::string const& table, std::string const& partition,
    std::function<void(std::optional<table_rows>)> done)
{
    read_page(
        {table, partition, "", ""}, std::make_shared<table_rows>(),
        std::move(done));
}

void platform_view::read_page(
    row_range range, std::shared_ptr<table_rows> const& read,
    std::function<void(std::optional<table_rows>)> done)
{
    store_.read(
        range, read_timeout,
        [this, range, read,
         done = std::move(done)](range_result const& result) mutable
        {
            if (result.outcome != store_outcome::done)
            {
                done(std::nullopt);
                return;
            }
            // The first page's version is a lower bound, as later pages may be
            // newer.
            if (read->rows.empty())
                read->as_of = as_of(result);
            read->rows.insert(
                read->rows.end(), result.rows.begin(), result.rows.end());
            if (!result.truncated || result.rows.empty())
            {
                done(std::move(*read));
                return;
            }
            range.from = result.rows.back().at.key + '\0';
            read_page(std::move(range), read, std::move(done));
        });
}

void platform_view::engines_read(table_rows const& read, time_point began)
{
    engines_confirmed_at_ = clock_();
    apply_section(
        cluster_table::engines, make_section(
                                    read.as_of, engines_confirmed_at_,
                                    encode(decode_engines(read.rows))));
    confirm_section(cluster_table::engines, self_.node, began);
}

std::vector<engine_entry>
platform_view::decode_engines(std::vector<stored_row> const& rows)
{
    std::unordered_map<std::string, decoded_row> seen;
    std::vector<engine_entry> entries;
    for (auto const& row : rows)
    {
        auto const before = decoded_engines_.find(row.at.key);
        auto one = before != decoded_engines_.end() &&
                           before->second.version == row.version
                       ? before->second
                       : decoded_row{row.version, decode_engine(row)};
        if (one.entry)
            entries.push_back(*one.entry);
        seen.emplace(row.at.key, std::move(one));
    }
    decoded_engines_ = std::move(seen);
    return entries;
}

std::optional<engine_entry> platform_view::decode_engine(stored_row const& row)
{
    findings problems;
    auto decoded = platform::decode_engine(row.at.key, row.value, problems);
    if (!decoded)
    {
        auto const& first = problems.items().front();
        log_.write(
            log_priority::important, "engine.unreadable",
            {{"place", first.place},
             {"why", first.message},
             {"row_version", row.version},
             {"bytes", row.value.size()}});
    }
    return decoded;
}

bool platform_view::apply_engines()
{
    auto const& known = section(cluster_table::engines);
    auto const entries = decode_engine_list(known.bytes);
    if (!entries)
        return false;
    hooks_.on_engines(engines_.take_in(*entries, known.as_of, known.read_at));
    return true;
}

void platform_view::confirm_engines()
{
    engines_.confirm(section(cluster_table::engines).read_at);
    // Engines kept although absent may have expired without a table change.
    if (engines_.retains_missing())
        apply_engines();
}

void platform_view::read_members()
{
    auto const interval = !is_starting_up()    ? row_renewal_interval
                          : reads_for_others() ? startup_reader_read_interval
                                               : startup_read_interval;
    if (is_following())
    {
        schedule(interval, members_timer_, &platform_view::read_members);
        return;
    }
    read_table(
        members_table, members_partition,
        [this, interval](std::optional<table_rows> const& read)
        {
            if (read)
                members_read(*read);
            schedule(interval, members_timer_, &platform_view::read_members);
            schedule_first_self_write();
        });
}

void platform_view::members_read(table_rows const& read)
{
    auto const now = clock_();
    apply_section(
        cluster_table::members,
        make_section(
            read.as_of, now, encode(members_.live_members(read.rows, now))));
}

/// Schedules the first write of this node's row.
void platform_view::schedule_first_self_write()
{
    if (first_write_scheduled_)
        return;
    first_write_scheduled_ = true;
    schedule_self_write();
}

/// Schedules the write of this node's row after a random delay that grows with
/// the number of members. A partition processes transactions serially, and all
/// nodes may have started, or reconnected to the store, at the same time.
void platform_view::schedule_self_write()
{
    auto const members = static_cast<double>(member_names_.size());
    auto const wait = milliseconds(static_cast<std::int64_t>(
        random_() * members * write_spread_per_member_ms));
    if (wait.count() == 0)
    {
        write_self();
        return;
    }
    run_after(wait, self_timer_, &platform_view::write_self);
}

bool platform_view::apply_members()
{
    auto members = decode_member_list(section(cluster_table::members).bytes);
    if (!members)
        return false;
    members->erase(
        std::remove_if(
            members->begin(), members->end(),
            [this](entry_member const& one) { return one.node == self_.node; }),
        members->end());
    std::vector<coordinator_candidate> neighbors;
    for (auto const& one : *members)
    {
        if (one.domain == self_.domain)
            neighbors.push_back({one.node, one.address, one.strength});
    }
    reader_.set_nodes(std::move(neighbors));
    log_members(*members);
    hooks_.on_members(*members);
    return true;
}

void platform_view::log_members(std::vector<entry_member> const& members)
{
    std::set<std::string> names;
    for (auto const& one : members)
        names.insert(one.node);
    std::vector<std::string> joined;
    std::vector<std::string> left;
    std::set_difference(
        names.begin(), names.end(), member_names_.begin(), member_names_.end(),
        std::back_inserter(joined));
    std::set_difference(
        member_names_.begin(), member_names_.end(), names.begin(), names.end(),
        std::back_inserter(left));
    if (!joined.empty() || !left.empty())
    {
        log_.write(
            log_priority::important, "members.changed",
            {{"joined", joined}, {"left", left}, {"nodes", names.size()}});
    }
    member_names_ = std::move(names);
}

/// Queries the reader of this failure domain unless it is this node.
void platform_view::ask_peer()
{
    schedule(query_interval(), ask_timer_, &platform_view::ask_peer);
    auto const* reader = reader_.coordinator_of(reader_key, clock_());
    if (reader == nullptr)
        stop_following("this node is the reader");
    if (reader == nullptr || !hooks_.ask)
        return;
    section_query query;
    for (std::size_t i = 0; i < cluster_table_count; ++i)
        query.digests[i] = sections_[i].digest;
    hooks_.ask(
        reader->address, encode(query),
        [this, peer = *reader, asked_at = hooks_.boot_clock()](
            std::optional<std::string> const& answer)
        { on_peer_answer(peer, answer, asked_at); });
}

void platform_view::on_peer_answer(
    coordinator_candidate const& peer, std::optional<std::string> const& answer,
    time_point asked_at)
{
    auto const now = clock_();
    auto const outcome = answer
                             ? apply_peer_answer(peer.node, *answer, asked_at)
                             : peer_answer_outcome::unusable;
    if (outcome == peer_answer_outcome::behind)
        return;
    if (outcome == peer_answer_outcome::applied)
    {
        reader_.answered(peer.node);
        follow(peer.node);
        return;
    }
    reader_.mark_unresponsive(peer.node, now);
    stop_following(answer ? "old or unreadable" : "no answer");
}

/// Uses the reader's answers instead of own reads for an interval.
void platform_view::follow(std::string const& reader)
{
    auto const now = clock_();
    if (!is_following())
        log_.write(log_priority::routine, "view.follows", {{"reader", reader}});
    followed_reader_ = reader;
    reader_answered_at_ = now;
    following_until_ = now + interval_;
    schedule_read_when_due(cluster_table::configuration);
    schedule_read_when_due(cluster_table::engines);
}

void platform_view::stop_following(std::string_view why)
{
    // Otherwise own reads are already scheduled.
    if (!is_following())
        return;
    following_until_ = {};
    log_.write(
        log_priority::routine, "view.reads_itself",
        {{"reader", followed_reader_}, {"why", why}});
    read_all();
}

platform_view::peer_answer_outcome platform_view::apply_peer_answer(
    std::string const& reader, std::string_view bytes, time_point asked_at)
{
    auto const reported = decode_peer_sections(bytes);
    if (!reported)
        return peer_answer_outcome::unusable;
    auto const now = clock_();
    // Engines renew their rows continuously, so a later read has a higher
    // version.
    auto const& engines =
        (*reported)[static_cast<std::size_t>(cluster_table::engines)];
    if (engines.as_of > section(cluster_table::engines).as_of)
        engines_confirmed_at_ =
            std::max(engines_confirmed_at_, now - engines.age);
    if (now - engines_confirmed_at_ > max_followed_age())
        return peer_answer_outcome::unusable;
    auto outcome = peer_answer_outcome::applied;
    for (std::size_t i = 0; i < cluster_table_count; ++i)
    {
        auto const& one = (*reported)[i];
        auto const which = static_cast<cluster_table>(i);
        // Counted from when the query was sent, as the answer may have been
        // delayed in transit.
        auto const read_started_at =
            asked_at - one.read_start_age.value_or(one.age);
        if (which != cluster_table::members &&
            hooks_.boot_clock() - read_started_at > max_followed_age())
            return peer_answer_outcome::unusable;
        if (one.as_of < sections_[i].as_of)
        {
            // Members are read less often than the other tables.
            if (which != cluster_table::members)
                outcome = peer_answer_outcome::behind;
            continue;
        }
        auto fresh = sections_[i];
        if (one.bytes)
            fresh = make_section(one.as_of, {}, *one.bytes);
        if (fresh.digest != one.digest)
            return peer_answer_outcome::unusable;
        fresh.as_of = one.as_of;
        fresh.read_at = now - one.age;
        if (!apply_section(which, std::move(fresh)))
            return peer_answer_outcome::unusable;
        // A node of an earlier version does not say when its read began. Then
        // this node's own reads confirm the table.
        if (one.read_start_age)
            confirm_section(which, reader, read_started_at);
    }
    return outcome;
}

std::optional<std::string> platform_view::serve(std::string_view query)
{
    last_query_at_ = clock_();
    auto const asked = decode_section_query(query);
    if (!asked)
        return std::nullopt;
    auto const answer =
        answer_query(*asked, sections_, clock_(), hooks_.boot_clock());
    if (!answer)
        return std::nullopt;
    return encode(*answer);
}

void platform_view::write_self()
{
    if (leaving_)
        return;
    row_transaction transaction;
    transaction.writes.push_back(
        {{members_table, members_partition, self_.node}, encode(self_)});
    store_.commit(
        std::move(transaction), write_timeout,
        [this](transaction_result const& result)
        {
            if (leaving_)
                return;
            auto const failed = result.outcome != store_outcome::done;
            schedule(
                failed ? write_retry_delay : row_renewal_interval, self_timer_,
                &platform_view::write_self);
        });
}

void platform_view::leave(std::function<void()> done)
{
    leaving_ = true;
    row_transaction transaction;
    transaction.removals.push_back(
        {members_table, members_partition, self_.node});
    store_.commit(
        std::move(transaction), read_timeout,
        [done = std::move(done)](transaction_result const&) { done(); });
}

} // namespace walnutmill

#include "entry/platform_view.hpp"

#include "entry/call_limits.hpp"
#include "platform/documents.hpp"
#include "platform/names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// Interval between queries to the reader during the startup period.
constexpr milliseconds startup_query_interval{200};
constexpr milliseconds startup_period{6'000};
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
/// Size of a configuration from which operators are warned.
constexpr std::size_t near_supported_bytes =
    platform_view::supported_configuration_bytes / 4 * 3;

coordinator_options reader_options(entry_member const& self)
{
    coordinator_options options;
    options.own_capacity_weight = self.strength;
    options.capacity_exponent = single_duty_exponent;
    return options;
}

template<class Result>
std::uint64_t as_of(Result const& result)
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
    if (which == cluster_table::configuration)
        return {configuration_timer_, &platform_view::read_configuration};
    return {engines_timer_, &platform_view::read_engines};
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

/// Reads the configuration only if it has changed: the whole of it may be
/// large.
void platform_view::read_configuration()
{
    auto const& known = section(cluster_table::configuration);
    if (!known.known() || !store_.read_changes)
    {
        read_whole_configuration();
        return;
    }
    store_.read_changes(
        std::string(platform::names::operator_table), known.as_of, read_timeout,
        [this, began = hooks_.boot_clock()](changes_result const& changes)
        {
            if (changes.history_lost || !changes.removed.empty())
            {
                read_whole_configuration();
                return;
            }
            configuration_changes_read(changes, began);
            schedule_next_read(cluster_table::configuration);
        });
}

void platform_view::read_whole_configuration()
{
    std::string const key(platform::names::configuration_key);
    store_.read(
        {std::string(platform::names::operator_table), "", key, key + '\0'},
        read_timeout,
        [this, began = hooks_.boot_clock()](range_result const& result)
        {
            if (result.outcome != store_outcome::done)
                ++failed_configuration_reads_;
            else
            {
                apply_configuration_read(
                    result.rows.empty() ? nullptr : &result.rows.front(),
                    as_of(result), began);
            }
            schedule_next_read(cluster_table::configuration);
        });
}

void platform_view::configuration_changes_read(
    changes_result const& changes, time_point began)
{
    if (changes.outcome != store_outcome::done)
    {
        ++failed_configuration_reads_;
        return;
    }
    auto const found = std::find_if(
        changes.rows.begin(), changes.rows.end(),
        [](stored_row const& row)
        {
            return row.at.partition.empty() &&
                   row.at.key == platform::names::configuration_key;
        });
    auto const version = as_of(changes);
    if (found != changes.rows.end())
    {
        apply_configuration_read(&*found, version, began);
        return;
    }
    auto& known = section(cluster_table::configuration);
    known.as_of = std::max(known.as_of, version);
    known.read_at = std::max(known.read_at, clock_());
    confirm_section(cluster_table::configuration, self_.node, began);
}

/// \param row null if the configuration does not exist
void platform_view::apply_configuration_read(
    stored_row const* row, std::uint64_t version, time_point began)
{
    configuration_row read;
    if (row != nullptr)
        read = {row->version, row->value};
    apply_section(
        cluster_table::configuration,
        make_section(version, clock_(), encode(read)));
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
    auto const decoding_began = clock_();
    auto decoded = configuration_decoder_.decode(row->document, problems);
    auto const decoding_took = clock_() - decoding_began;
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
        {"services", decoded->services.size()},
        {"bytes", row->document.size()},
        {"decode_ms", ms_count(decoding_took)}};
    // The change is at most as old as the read that did not show it.
    if (auto const age = configuration_age(); age != duration::max())
        fields["changed_within_ms"] = ms_count(age);
    log_.write(log_priority::important, "configuration.applied", fields);
    configuration_bytes_ = row->document.size();
    if (configuration_bytes_ > near_supported_bytes)
    {
        log_.write(
            log_priority::important, "configuration.large",
            {{"configuration", decoded->version},
             {"bytes", configuration_bytes_},
             {"supported_bytes", supported_configuration_bytes}});
    }
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
    row_range range;
    range.table = table;
    range.partition = partition;
    // One row that another program wrote must not hide the others.
    range.skip_unreadable = true;
    read_page(
        std::move(range), std::make_shared<table_rows>(),
        [this, table,
         done = std::move(done)](std::optional<table_rows> const& read)
        {
            if (read)
                report_unreadable(table, read->unreadable);
            done(read);
        });
}

/// Logs the number of unreadable rows of a table when it changes.
void platform_view::report_unreadable(
    std::string const& table, std::size_t rows)
{
    if (std::exchange(unreadable_rows_[table], rows) == rows)
        return;
    log_.write(
        log_priority::important, "store.rows_unreadable",
        {{"table", table}, {"rows", rows}});
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
            read->unreadable += result.unreadable;
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
        auto const found = decoded_engines_.find(row.at.key);
        auto const* former =
            found == decoded_engines_.end() ? nullptr : &found->second;
        auto one = former != nullptr && former->version == row.version
                       ? *former
                       : decode_engine(row, former);
        if (one.entry)
            entries.push_back(*one.entry);
        seen.emplace(row.at.key, std::move(one));
    }
    decoded_engines_ = std::move(seen);
    return entries;
}

/// \param former what the row was decoded to before; null if it is new. A row
/// that is written again with the same problem is not logged again.
platform_view::decoded_row
platform_view::decode_engine(stored_row const& row, decoded_row const* former)
{
    findings problems;
    decoded_row decoded;
    decoded.version = row.version;
    decoded.entry = platform::decode_engine(row.at.key, row.value, problems);
    if (decoded.entry)
        return decoded;
    auto const& first = problems.items().front();
    decoded.problem = first.message;
    if (former == nullptr || former->problem != decoded.problem)
    {
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

} // namespace walnutmill

#include "entry/version_register.hpp"

#include "cbor.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char const* table_name = "walnutmill-versions";
/// Not text as it appears in a header, unlike the versions of engines.
constexpr char const* unknown_version_name = "\tunknown";
/// Smallest number of versions of which streams have to be told apart.
constexpr std::size_t several = 2;
/// A node reads the row again when half of the registration is left, or up to a
/// quarter of the registration later.
constexpr int renewal_divisor = 2;
constexpr int renewal_delay_divisor = 4;

/// Largest time in a row; a larger one is not valid.
constexpr std::int64_t max_ms = 2'000'000'000'000'000;

bool is_valid_time(std::int64_t ms)
{
    return ms >= -max_ms && ms <= max_ms;
}

milliseconds to_ms(duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

row_address address_of(service_name const& service)
{
    return {table_name, {}, service.str()};
}

auto find_version(
    std::vector<registered_version> const& row, std::string const& version)
{
    return std::find_if(
        row.begin(), row.end(),
        [&version](registered_version const& one)
        { return one.version == version; });
}

bool is_unknown(registered_version const& one)
{
    return one.version == unknown_version_name;
}

} // namespace

char const* unknown_version()
{
    return unknown_version_name;
}

std::string encode(std::vector<registered_version> const& versions)
{
    auto body = json::array();
    for (auto const& one : versions)
    {
        body.push_back(json::array(
            {one.version, one.begins_at.count(), one.ends_at.count()}));
    }
    auto const bytes = json::to_cbor(body);
    return {bytes.begin(), bytes.end()};
}

std::optional<std::vector<registered_version>>
decode_registered_versions(std::string_view bytes)
{
    try
    {
        auto const body = decode_cbor(bytes);
        if (!body.is_array())
            return std::nullopt;
        std::vector<registered_version> versions;
        for (auto const& one : body)
        {
            auto const begins_at = one.at(1).get<std::int64_t>();
            auto const ends_at = one.at(2).get<std::int64_t>();
            if (!is_valid_time(begins_at) || !is_valid_time(ends_at))
                return std::nullopt;
            versions.push_back(
                {one.at(0).get<std::string>(), milliseconds(begins_at),
                 milliseconds(ends_at)});
        }
        return versions;
    }
    catch (std::exception const&)
    {
        // The caller treats the row as one of unknown versions.
        return std::nullopt;
    }
}

char const* version_register::table()
{
    return table_name;
}

version_register::version_register(
    versioned_store store, clock_fn clock, random_fn const& random,
    hooks callbacks, version_register_options options)
    : store_(std::move(store)), clock_(std::move(clock)),
      hooks_(std::move(callbacks)), options_(options),
      renewal_delay_(static_cast<std::int64_t>(
          random() *
          static_cast<double>(milliseconds(options.registration).count()) /
          renewal_delay_divisor))
{
}

version_register::~version_register()
{
    // Store callbacks that run after destruction return at once.
    *alive_ = false;
}

void version_register::set_engines(std::vector<engine_entry> const& engines)
{
    std::map<service_name, std::set<std::string>> versions;
    for (auto const& one : engines)
        versions[one.service].insert(one.version);
    for (auto& [service, state] : services_)
    {
        if (versions.count(service) == 0)
            state.engines.clear();
    }
    for (auto& [service, known] : versions)
    {
        auto& state = services_[service];
        auto const changed = state.engines != known;
        withdraw_returned(state, known);
        state.engines = std::move(known);
        report_several(service, state);
        if (changed)
            update(service, state);
    }
    knows_engines_ = true;
    note_registered();
}

/// Ends the permission for versions whose engines return after the
/// registration has ended: nodes may take these versions for gone.
void version_register::withdraw_returned(
    service_state& of, std::set<std::string> const& engines) const
{
    for (auto const& version : engines)
    {
        auto const registered = find_version(of.row, version);
        if (of.engines.count(version) == 0 &&
            (registered == of.row.end() ||
             registered->ends_at < store_time(of)))
            of.begins_at.erase(version);
    }
}

void version_register::tick()
{
    for (auto& [service, state] : services_)
    {
        report_several(service, state);
        if (clock_() >= state.next_attempt_at)
            update(service, state);
    }
}

void version_register::note_registered()
{
    if (has_registered_ || !knows_engines_)
        return;
    has_registered_ = std::all_of(
        services_.begin(), services_.end(),
        [](auto const& item)
        {
            auto const& state = item.second;
            return state.engines.empty() ||
                   std::any_of(
                       state.engines.begin(), state.engines.end(),
                       [&state](std::string const& version)
                       { return state.begins_at.count(version) > 0; });
        });
}

bool version_register::may_begin(
    service_name const& service, std::string const& version) const
{
    auto const state = services_.find(service);
    if (state == services_.end())
        return false;
    auto const found = state->second.begins_at.find(version);
    return found != state->second.begins_at.end() && found->second <= clock_();
}

/// \return the store's time, or a later one: the read is taken to have been
/// answered as soon as it began
milliseconds version_register::store_time(service_state const& of) const
{
    return of.read_at_store + to_ms(clock_() - of.read_at);
}

/// \return true if a stream that may still be resumed may have begun at the
/// version when the row was read
bool version_register::counts(
    registered_version const& one, service_state const& of) const
{
    return one.begins_at - options_.announcement_margin <= of.read_at_store &&
           of.read_at_store <= counts_until(one);
}

/// A renewal may take effect late, hence some time more than its streams last.
milliseconds version_register::counts_until(registered_version const& one) const
{
    return one.ends_at + options_.stream_lifetime + options_.late_transaction;
}

std::optional<std::string>
version_register::only_version(service_state const& of) const
{
    std::optional<std::string> only;
    for (auto const& one : of.row)
    {
        if (!counts(one, of))
            continue;
        if (only || is_unknown(one))
            return std::nullopt;
        only = one.version;
    }
    return only;
}

bool version_register::has_several(service_name const& service) const
{
    auto const found = services_.find(service);
    return found == services_.end() || has_several(found->second);
}

bool version_register::has_several(service_state const& of) const
{
    if (!of.is_known)
        return true;
    auto versions = of.engines;
    auto const now = store_time(of);
    for (auto const& one : of.row)
    {
        if (now <= counts_until(one))
            versions.insert(one.version);
        // Unrenewed, as while the store is away: others may count the version
        // as gone although streams begin there.
        if (now > one.ends_at && of.engines.count(one.version) > 0)
            return true;
    }
    return versions.size() >= several;
}

void version_register::report_several(
    service_name const& service, service_state& of)
{
    auto const now_several = has_several(of);
    if (now_several && !std::exchange(of.had_several, now_several) &&
        hooks_.on_several_versions)
        hooks_.on_several_versions(service);
    of.had_several = now_several;
}

bool version_register::is_write_due(service_state const& of) const
{
    if (!of.is_known)
        return false;
    if (of.is_incomplete)
        return true;
    auto const half = milliseconds(options_.registration) / renewal_divisor;
    auto const now = store_time(of);
    return std::any_of(
        of.engines.begin(), of.engines.end(),
        [&](std::string const& version)
        {
            auto const found = find_version(of.row, version);
            return found == of.row.end() ? of.row.size() < options_.max_versions
                                         : found->ends_at - now < half;
        });
}

bool version_register::is_read_due(service_state const& of) const
{
    if (!of.is_known || of.is_incomplete)
        return true;
    auto const half = milliseconds(options_.registration) / renewal_divisor;
    auto const now = store_time(of);
    return std::any_of(
        of.engines.begin(), of.engines.end(),
        [&](std::string const& version)
        {
            auto const found = find_version(of.row, version);
            return found == of.row.end()
                       ? of.row.size() < options_.max_versions
                       : found->ends_at - now < half - renewal_delay_;
        });
}

void version_register::update(service_name const& service, service_state& of)
{
    if (of.engines.empty() || of.read || of.is_writing || !is_read_due(of))
        return;
    start_read(service, of);
}

std::shared_ptr<version_register::row_read>
version_register::start_read(service_name const& service, service_state& of)
{
    auto read = std::make_shared<row_read>();
    read->began = clock_();
    read->rows_taken = of.rows_taken;
    of.read = read;
    auto const at = address_of(service);
    store_.read(
        {at.table, at.partition, at.key, at.key + '\0'}, options_.read_timeout,
        [this, alive = alive_, service, read](range_result const& result)
        {
            if (*alive)
                read_ended(service, read, result);
        });
    return read;
}

void version_register::read_ended(
    service_name const& service, std::shared_ptr<row_read> const& read,
    range_result const& result)
{
    auto& state = services_[service];
    if (state.read == read)
        state.read = nullptr;
    auto const answered =
        result.outcome == store_outcome::done && result.store_time.count() > 0;
    auto const version = result.rows.empty() ? 0 : result.rows.front().version;
    if (answered && version < state.row_version &&
        read->rows_taken != state.rows_taken)
    {
        // Answered before a transaction that ended earlier.
        auto const again = state.read ? state.read : start_read(service, state);
        for (auto& done : std::exchange(read->waiting, {}))
            again->waiting.push_back(std::move(done));
        return;
    }
    if (answered)
    {
        take_read(state, *read, result);
        report_several(service, state);
    }
    state.next_attempt_at =
        clock_() + (answered ? duration(0) : duration(options_.retry_after));
    auto const only =
        answered ? only_version(state) : std::optional<std::string>();
    for (auto const& done : std::exchange(read->waiting, {}))
        done(only);
    if (answered && !state.is_writing && is_write_due(state))
        write(service, state);
}

/// Takes a row as it was read, with the versions that it has lost.
void version_register::take_read(
    service_state& of, row_read const& read, range_result const& result)
{
    auto const exists = !result.rows.empty();
    auto const version = exists ? result.rows.front().version : 0;
    auto decoded = exists
                       ? decode_registered_versions(result.rows.front().value)
                       : rows_type();
    // No row without versions is ever written.
    auto const is_lost =
        exists ? !decoded || decoded->empty() : of.row_version > 0;
    auto row = std::move(decoded).value_or(rows_type());
    auto const has_lost = add_lost_versions(of, result.store_time, row);
    if (is_lost || has_lost)
    {
        row.erase(
            std::remove_if(row.begin(), row.end(), is_unknown), row.end());
        row.push_back(
            {unknown_version_name,
             result.store_time - options_.late_transaction * 2,
             result.store_time + options_.registration});
    }
    take_row(of, std::move(row), version, result.store_time, read.began);
    of.is_incomplete = is_lost || has_lost;
}

/// Adds the versions that still count although the row lacks them.
/// \return true if there are any
bool version_register::add_lost_versions(
    service_state const& of, milliseconds at_store, rows_type& row) const
{
    auto has_lost = false;
    for (auto const& one : of.row)
    {
        if (find_version(row, one.version) != row.end() ||
            at_store > counts_until(one))
            continue;
        row.push_back(one);
        has_lost = true;
    }
    return has_lost;
}

void version_register::take_row(
    service_state& of, rows_type row, std::uint64_t row_version,
    milliseconds at_store, time_point at)
{
    of.is_known = true;
    of.is_incomplete = false;
    ++of.rows_taken;
    of.row = std::move(row);
    of.row_version = row_version;
    of.read_at_store = at_store;
    of.read_at = at;
    std::map<std::string, time_point> begins_at;
    for (auto const& one : of.row)
    {
        auto const before = of.begins_at.find(one.version);
        // The time since the announcement says nothing about a transaction that
        // took effect late.
        auto const is_old =
            one.begins_at + options_.late_transaction < at_store;
        if (before != of.begins_at.end())
            begins_at.insert(*before);
        else if (at_store <= one.ends_at)
        {
            begins_at[one.version] =
                clock_() + (is_old ? duration(0) : options_.announcement);
        }
    }
    of.begins_at = std::move(begins_at);
    note_registered();
}

/// \return the row with all versions of the engines, and without those that no
/// longer count
version_register::rows_type
version_register::next_row(service_state const& of) const
{
    auto const now = of.read_at_store;
    // Before the first row no stream has begun anywhere.
    auto const begins_at = of.row_version == 0 && !of.is_incomplete
                               ? now - options_.late_transaction * 2
                               : now + options_.announcement;
    rows_type row;
    for (auto one : of.row)
    {
        auto const has_engines = of.engines.count(one.version) > 0;
        if (has_engines && now <= one.ends_at + options_.stream_lifetime)
        {
            one.ends_at = now + options_.registration;
            row.push_back(std::move(one));
        }
        else if (!has_engines && now <= counts_until(one))
            row.push_back(std::move(one));
    }
    for (auto const& version : of.engines)
    {
        if (find_version(row, version) == row.end() &&
            row.size() < options_.max_versions)
            row.push_back({version, begins_at, now + options_.registration});
    }
    return row;
}

void version_register::write(service_name const& service, service_state& of)
{
    of.is_writing = true;
    auto const at = address_of(service);
    auto const row = next_row(of);
    row_transaction transaction;
    transaction.conditions.push_back({at, of.row_version});
    transaction.writes.push_back({at, encode(row)});
    store_.commit(
        std::move(transaction), options_.read_timeout,
        [this, alive = alive_, service, row, at_store = of.read_at_store,
         began = of.read_at](transaction_result const& result)
        {
            if (!*alive)
                return;
            auto& state = services_[service];
            state.is_writing = false;
            if (result.outcome == store_outcome::done)
            {
                if (began == state.read_at)
                    take_row(state, row, result.version, at_store, began);
                report_several(service, state);
                if (hooks_.on_registered)
                    hooks_.on_registered(service, row);
                return;
            }
            // Another node has written the row, or the outcome is unknown.
            if (result.outcome == store_outcome::conflict)
                start_read(service, state);
            else
                state.next_attempt_at = clock_() + options_.retry_after;
        });
}

void version_register::find_only_version(
    service_name const& service, version_fn done)
{
    auto& state = services_[service];
    auto const earliest = clock_() - options_.read_max_age;
    if (state.is_known && state.read_at >= earliest)
    {
        done(only_version(state));
        return;
    }
    auto const read = state.read && state.read->began >= earliest
                          ? state.read
                          : start_read(service, state);
    read->waiting.push_back(std::move(done));
}

} // namespace walnutmill

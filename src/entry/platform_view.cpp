#include "entry/platform_view.hpp"

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
/// Apart from the partition that engines and the operator write: 295 members
/// beside 167 engines renew more rows a second than one partition takes.
constexpr char const* members_partition = "members";
/// Time for each member over which all write their rows at once.
constexpr double write_per_member_ms = 6;
/// The duty of reading for a failure domain.
constexpr char const* reader_key = "cluster-reader";
/// Interval between renewals of a node's row.
constexpr milliseconds renew_every{3'000};
/// Intervals between readings of the members, and between questions to the
/// reader, for a while after a start: nodes that lost power together write
/// their rows anew within a second, and until that is known what their former
/// selves had reserved keeps programs waiting.
constexpr milliseconds first_readings{1'000};
constexpr milliseconds first_readings_for_others{300};
constexpr milliseconds first_questions{200};
constexpr milliseconds first_readings_for{6'000};
/// Longest wait for one reading: the next one starts it anew.
constexpr milliseconds read_patience{900};
/// Longest wait for the write of a node's row, and the pause after one that
/// failed: a partition takes 200 transactions a second, one after another.
constexpr milliseconds write_patience{2'000};
constexpr milliseconds write_pause{1'500};
/// A node that was asked within this time reads for others, twice as often.
constexpr milliseconds asked_lately{3'000};
/// Intervals between readings after which a node reads the configuration
/// itself, whoever tells it of others.
constexpr int lapsing_after = 2;
/// Intervals between readings that a reading of another node may be old.
constexpr double oldest_reading = 1.5;

home_options reader_options(entry_member const& self)
{
    home_options to;
    to.own_strength = self.strength;
    to.strength_power = single_duty_power;
    return to;
}

std::uint64_t as_of(range_result const& result)
{
    auto to = result.version;
    for (auto const& row : result.rows)
        to = std::max(to, row.version);
    return to;
}

} // namespace

platform_view::platform_view(
    boost::asio::io_context& io, versioned_store store, clock_fn clock,
    random_fn random, line_log& log, entry_member self, milliseconds interval,
    hooks to)
    : store_(std::move(store)), clock_(std::move(clock)),
      random_(std::move(random)), log_(log), self_(std::move(self)),
      interval_(interval), hooks_(std::move(to)), configuration_timer_(io),
      engines_timer_(io), members_timer_(io), ask_timer_(io), self_timer_(io),
      engines_(log), members_(log), reader_(self_.node, reader_options(self_))
{
    if (!hooks_.boot_clock)
        hooks_.boot_clock = clock_;
}

void platform_view::start()
{
    started_ = clock_();
    read_all();
    if (hooks_.ask)
        again(question_interval(), ask_timer_, &platform_view::ask_peer);
}

void platform_view::refresh()
{
    // A reading under way goes on; the one that ends last sets the next time.
    if (follows())
        ask_peer();
    else
        read_all();
    write_soon();
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
    auto const whole_at = section(cluster_table::configuration).whole_at;
    return whole_at == time_point{} ? duration::max()
                                    : hooks_.boot_clock() - whole_at;
}

bool platform_view::knows_engines() const
{
    return section(cluster_table::engines).known();
}

void platform_view::again(
    milliseconds after, boost::asio::steady_timer& timer,
    void (platform_view::*step)())
{
    // Spread, so that nodes that started together don't read together.
    auto const spread = 0.75 + random_() / 2;
    timer.expires_after(milliseconds(static_cast<std::int64_t>(
        static_cast<double>(after.count()) * spread)));
    timer.async_wait(
        [this, step](boost::system::error_code const& error)
        {
            if (!error)
                (this->*step)();
        });
}

/// \return the time between readings: two of them, by the reader and by the
/// node that asks it, lie between a change and its effect.
milliseconds platform_view::reading_interval() const
{
    return reads_for_others() ? interval_ / 2 : interval_;
}

bool platform_view::reads_for_others() const
{
    return asked_at_ != time_point{} && clock_() - asked_at_ < asked_lately;
}

bool platform_view::is_young() const
{
    return clock_() - started_ < first_readings_for;
}

milliseconds platform_view::question_interval() const
{
    auto const usual = interval_ / 2;
    return is_young() ? std::min(usual, first_questions) : usual;
}

/// Takes in a reading unless a newer one is known.
/// \return false where its bytes can't be read
bool platform_view::take_in(cluster_table which, cluster_section fresh)
{
    auto& known = section(which);
    if (known.known() && fresh.as_of < known.as_of)
        return true;
    auto const changed = !known.known() || fresh.digest != known.digest;
    auto const before = known;
    fresh.read_at = std::max(fresh.read_at, known.read_at);
    fresh.whole_at = known.whole_at;
    if (changed)
        known = std::move(fresh);
    else
    {
        known.as_of = fresh.as_of;
        known.read_at = fresh.read_at;
    }
    auto const taken = !changed || take_in_changed(which);
    if (!taken)
        known = before;
    else if (!changed && which == cluster_table::engines)
        confirm_engines();
    return taken;
}

bool platform_view::take_in_changed(cluster_table which)
{
    switch (which)
    {
    case cluster_table::configuration:
        return take_in_configuration();
    case cluster_table::engines:
        return take_in_engines();
    case cluster_table::members:
        break;
    }
    return take_in_members();
}

void platform_view::read_configuration()
{
    // A reader that does not say how old its reading is, or that reads late
    // itself, must not let this node's keys lapse.
    auto const lapses = configuration_age() > interval_ * lapsing_after;
    if (follows() && !lapses)
    {
        again(
            interval_, configuration_timer_,
            &platform_view::read_configuration);
        return;
    }
    std::string const key(platform::names::configuration_key);
    store_.read(
        {std::string(platform::names::operator_table), "", key, key + '\0'},
        read_patience,
        [this, began = hooks_.boot_clock()](range_result const& result)
        {
            configuration_read(result, began);
            again(
                reading_interval(), configuration_timer_,
                &platform_view::read_configuration);
        });
}

void platform_view::configuration_read(
    range_result const& result, time_point began)
{
    if (result.outcome != store_outcome::done)
        return;
    configuration_row row;
    if (!result.rows.empty())
        row = {result.rows[0].version, result.rows[0].value};
    take_in(
        cluster_table::configuration,
        make_section(as_of(result), clock_(), encode(row)));
    confirm_configuration(began);
}

/// What was acknowledged before that time is known.
void platform_view::confirm_configuration(time_point whole_at)
{
    auto& known = section(cluster_table::configuration);
    if (whole_at <= known.whole_at)
        return;
    known.whole_at = whole_at;
    if (hooks_.on_confirmed)
        hooks_.on_confirmed();
}

bool platform_view::take_in_configuration()
{
    auto const row =
        decode_configuration_row(section(cluster_table::configuration).bytes);
    if (!row || row->version <= configuration_row_)
        return row.has_value();
    findings problems;
    auto decoded = platform::decode_configuration(row->document, problems);
    if (!decoded)
    {
        log_.write(
            line_weight::important, "configuration.unreadable",
            {{"row_version", row->version},
             {"why", problems.items().front().message}});
        return true;
    }
    configuration_row_ = row->version;
    if (decoded->version < configuration_version_)
        return true;
    configuration_version_ = decoded->version;
    log_.write(
        line_weight::important, "configuration.applied",
        {{"configuration", decoded->version},
         {"row_version", configuration_row_},
         {"routes", decoded->routes.size()},
         {"services", decoded->services.size()}});
    hooks_.on_configuration(
        std::make_shared<routing_table const>(std::move(*decoded)));
    return true;
}

void platform_view::read_engines()
{
    if (follows())
    {
        again(interval_, engines_timer_, &platform_view::read_engines);
        return;
    }
    read_table(
        std::string(platform::names::engines_table), "",
        [this](std::optional<table_rows> const& read)
        {
            if (read)
                engines_read(*read);
            again(
                reading_interval(), engines_timer_,
                &platform_view::read_engines);
        });
}

/// Reads a table whole, which takes a call for each 500 rows.
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
        range, read_patience,
        [this, range, read,
         done = std::move(done)](range_result const& result) mutable
        {
            if (result.outcome != store_outcome::done)
            {
                done(std::nullopt);
                return;
            }
            // Later pages may be newer than the first one.
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

void platform_view::engines_read(table_rows const& read)
{
    confirmed_at_ = clock_();
    take_in(
        cluster_table::engines,
        make_section(
            read.as_of, confirmed_at_, encode(decode_engines(read.rows))));
}

std::vector<engine_entry>
platform_view::decode_engines(std::vector<stored_row> const& rows)
{
    std::unordered_map<std::string, decoded_row> seen;
    std::vector<engine_entry> to;
    for (auto const& row : rows)
    {
        auto const before = decoded_.find(row.at.key);
        auto one =
            before != decoded_.end() && before->second.version == row.version
                ? before->second
                : decoded_row{row.version, decode_engine(row)};
        if (one.entry)
            to.push_back(*one.entry);
        seen.emplace(row.at.key, std::move(one));
    }
    decoded_ = std::move(seen);
    return to;
}

std::optional<engine_entry> platform_view::decode_engine(stored_row const& row)
{
    findings problems;
    auto decoded = platform::decode_engine(row.at.key, row.value, problems);
    if (!decoded)
    {
        auto const& first = problems.items().front();
        log_.write(
            line_weight::important, "engine.unreadable",
            {{"place", first.place},
             {"why", first.message},
             {"row_version", row.version},
             {"bytes", row.value.size()}});
    }
    return decoded;
}

bool platform_view::take_in_engines()
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
    // Some may be gone by now although the table did not change.
    if (engines_.keeps_absent())
        take_in_engines();
}

void platform_view::read_members()
{
    auto const interval = !is_young()          ? renew_every
                          : reads_for_others() ? first_readings_for_others
                                               : first_readings;
    if (follows())
    {
        again(interval, members_timer_, &platform_view::read_members);
        return;
    }
    read_table(
        members_table, members_partition,
        [this, interval](std::optional<table_rows> const& read)
        {
            if (read)
                members_read(*read);
            again(interval, members_timer_, &platform_view::read_members);
            write_first();
        });
}

void platform_view::members_read(table_rows const& read)
{
    auto const now = clock_();
    take_in(
        cluster_table::members,
        make_section(read.as_of, now, encode(members_.live(read.rows, now))));
}

/// Writes this node's row for the first time.
void platform_view::write_first()
{
    if (written_)
        return;
    written_ = true;
    write_soon();
}

/// Writes this node's row after a while that is spread over the members: a
/// partition takes its transactions one after another, and all nodes may have
/// started, or found the store again, together.
void platform_view::write_soon()
{
    auto const members = static_cast<double>(member_names_.size());
    auto const wait = milliseconds(
        static_cast<std::int64_t>(random_() * members * write_per_member_ms));
    if (wait.count() == 0)
    {
        write_self();
        return;
    }
    self_timer_.expires_after(wait);
    self_timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                write_self();
        });
}

bool platform_view::take_in_members()
{
    auto members = decode_member_list(section(cluster_table::members).bytes);
    if (!members)
        return false;
    members->erase(
        std::remove_if(
            members->begin(), members->end(),
            [this](entry_member const& one) { return one.node == self_.node; }),
        members->end());
    std::vector<home_candidate> neighbors;
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
            line_weight::important, "members.changed",
            {{"joined", joined}, {"left", left}, {"nodes", names.size()}});
    }
    member_names_ = std::move(names);
}

/// Asks the node that reads for this failure domain, if that is another one.
void platform_view::ask_peer()
{
    again(question_interval(), ask_timer_, &platform_view::ask_peer);
    auto const* reader = reader_.home_of(reader_key, clock_());
    if (reader == nullptr || !hooks_.ask)
        return;
    section_query query;
    for (std::size_t i = 0; i < cluster_tables; ++i)
        query.digests[i] = sections_[i].digest;
    hooks_.ask(
        reader->address, encode(query),
        [this, peer = *reader, asked_at = hooks_.boot_clock()](
            std::optional<std::string> const& answer)
        { told(peer, answer, asked_at); });
}

void platform_view::told(
    home_candidate const& peer, std::optional<std::string> const& answer,
    time_point asked_at)
{
    auto const now = clock_();
    auto const outcome =
        answer ? take_in_told(*answer, asked_at) : told_outcome::unusable;
    if (outcome == told_outcome::behind)
        return;
    auto const had_followed = follows();
    if (outcome == told_outcome::taken)
    {
        reader_.answered(peer.node);
        follows_until_ = now + interval_;
        if (!had_followed)
        {
            log_.write(
                line_weight::routine, "view.follows", {{"reader", peer.node}});
        }
        return;
    }
    reader_.did_not_answer(peer.node, now);
    follows_until_ = {};
    // Otherwise own readings are under way.
    if (!had_followed)
        return;
    log_.write(
        line_weight::routine, "view.reads_itself",
        {{"reader", peer.node},
         {"why", answer ? "old or unreadable" : "no answer"}});
    read_all();
}

platform_view::told_outcome
platform_view::take_in_told(std::string_view bytes, time_point asked_at)
{
    auto const told = decode_told_sections(bytes);
    if (!told)
        return told_outcome::unusable;
    auto const now = clock_();
    // Engines renew their rows all the time, so that a later reading has a
    // higher version.
    auto const& engines =
        (*told)[static_cast<std::size_t>(cluster_table::engines)];
    if (engines.as_of > section(cluster_table::engines).as_of)
        confirmed_at_ = std::max(confirmed_at_, now - engines.age);
    if (now - confirmed_at_ > interval_ * oldest_reading)
        return told_outcome::unusable;
    auto outcome = told_outcome::taken;
    for (std::size_t i = 0; i < cluster_tables; ++i)
    {
        auto const& one = (*told)[i];
        auto const which = static_cast<cluster_table>(i);
        if (which != cluster_table::members &&
            one.age > interval_ * oldest_reading)
            return told_outcome::unusable;
        if (one.as_of < sections_[i].as_of)
        {
            // Members are read less often than the others.
            if (which != cluster_table::members)
                outcome = told_outcome::behind;
            continue;
        }
        auto fresh = sections_[i];
        if (one.bytes)
            fresh = make_section(one.as_of, {}, *one.bytes);
        if (fresh.digest != one.digest)
            return told_outcome::unusable;
        fresh.as_of = one.as_of;
        fresh.read_at = now - one.age;
        if (!take_in(which, std::move(fresh)))
            return told_outcome::unusable;
        // From the question on, as the answer may have been under way long.
        if (which == cluster_table::configuration && one.whole_age)
            confirm_configuration(asked_at - *one.whole_age);
    }
    return outcome;
}

std::optional<std::string> platform_view::serve(std::string_view query)
{
    asked_at_ = clock_();
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
    row_transaction one;
    one.writes.push_back(
        {{members_table, members_partition, self_.node}, encode(self_)});
    store_.commit(
        std::move(one), write_patience,
        [this](transaction_result const& result)
        {
            if (leaving_)
                return;
            auto const failed = result.outcome != store_outcome::done;
            again(
                failed ? write_pause : renew_every, self_timer_,
                &platform_view::write_self);
        });
}

void platform_view::leave(std::function<void()> done)
{
    leaving_ = true;
    self_timer_.cancel();
    row_transaction one;
    one.removals.push_back({members_table, members_partition, self_.node});
    store_.commit(
        std::move(one), read_patience,
        [done = std::move(done)](transaction_result const&) { done(); });
}

} // namespace walnutmill

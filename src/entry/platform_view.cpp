#include "entry/platform_view.hpp"

#include "platform/documents.hpp"
#include "platform/names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char const* members_table = "walnutmill-nodes";
/// A node renews its row this often, and is counted until its row has not
/// changed for three times as long; it only sets how connections are shared
/// and who may carry calls, so late news cost little.
constexpr milliseconds renew_every{3'000};
constexpr milliseconds gone_after{10'000};
/// After a start members are read this often for a while: nodes that lost
/// power together write their rows anew within a second, and until that is
/// known what their former selves had reserved keeps programs waiting.
constexpr milliseconds first_readings{1'000};
constexpr milliseconds first_readings_for{6'000};
/// Longest wait for one reading: the next one starts it anew.
constexpr milliseconds read_patience{900};
/// Without a reading for this long the store counts as having been away: an
/// engine's entry lapses after three beats of 1.2 s.
constexpr milliseconds outage{2'000};
/// Within this after the store's return lapsed entries are back (platform's
/// page).
constexpr milliseconds entries_return{2'000};

std::string encode(entry_member const& one)
{
    auto const bytes = json::to_cbor(json{
        {"address", one.address},
        {"domain", one.domain},
        {"incarnation", one.incarnation}});
    return {bytes.begin(), bytes.end()};
}

/// \return empty where the row is no member's.
std::optional<entry_member> decode_member(stored_row const& row)
{
    auto const body = json::from_cbor(row.value, true, false);
    entry_member to;
    to.node = row.at.key;
    for (auto const& [field, value] :
         {std::pair("address", &to.address), std::pair("domain", &to.domain),
          std::pair("incarnation", &to.incarnation)})
    {
        if (!body.is_object() || !body.contains(field) ||
            !body[field].is_string())
            return std::nullopt;
        *value = body[field].get<std::string>();
    }
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
      engines_timer_(io), members_timer_(io), self_timer_(io)
{
}

void platform_view::start()
{
    started_ = clock_();
    read_configuration();
    read_engines();
    read_members();
    write_self();
}

void platform_view::refresh()
{
    // A reading under way goes on; the one that ends last sets the next time.
    read_configuration();
    read_engines();
    read_members();
    write_self();
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

void platform_view::read_configuration()
{
    std::string const key(platform::names::configuration_key);
    store_.read(
        {std::string(platform::names::operator_table), "", key, key + '\0'},
        read_patience,
        [this](range_result const& result)
        {
            configuration_read(result);
            again(
                interval_, configuration_timer_,
                &platform_view::read_configuration);
        });
}

void platform_view::configuration_read(range_result const& result)
{
    if (result.outcome != store_outcome::done)
        return;
    last_read_ = clock_();
    if (result.rows.empty() || result.rows[0].version <= configuration_row_)
        return;
    findings problems;
    auto decoded =
        platform::decode_configuration(result.rows[0].value, problems);
    if (!decoded)
    {
        log_.write(
            line_weight::important, "configuration.unreadable",
            {{"row_version", result.rows[0].version},
             {"why", problems.items().front().message}});
        return;
    }
    configuration_row_ = result.rows[0].version;
    if (decoded->version < configuration_version_)
        return;
    configuration_version_ = decoded->version;
    log_.write(
        line_weight::important, "configuration.applied",
        {{"configuration", decoded->version},
         {"row_version", configuration_row_},
         {"routes", decoded->routes.size()},
         {"services", decoded->services.size()}});
    hooks_.on_configuration(
        std::make_shared<routing_table const>(std::move(*decoded)));
}

void platform_view::read_engines()
{
    engine_rows_.clear();
    read_engine_rows({});
}

void platform_view::read_engine_rows(std::string const& from)
{
    store_.read(
        {std::string(platform::names::engines_table), "", from, ""},
        read_patience,
        [this](range_result const& result) { engines_read(result); });
}

void platform_view::engines_read(range_result const& result)
{
    if (result.outcome != store_outcome::done)
    {
        again(interval_, engines_timer_, &platform_view::read_engines);
        return;
    }
    engine_rows_.insert(
        engine_rows_.end(), result.rows.begin(), result.rows.end());
    if (result.truncated && !result.rows.empty())
    {
        read_engine_rows(result.rows.back().at.key + '\0');
        return;
    }
    take_in_engines();
    again(interval_, engines_timer_, &platform_view::read_engines);
}

void platform_view::take_in_engines()
{
    auto const now = clock_();
    // While the store was away entries lapse although their engines live;
    // those are back two seconds after its return, or gone.
    if (engines_read_at_ != time_point{} && now - engines_read_at_ > outage)
        trust_absence_at_ = now + entries_return;
    engines_read_at_ = now;
    last_read_ = now;
    std::unordered_map<std::string, known_engine> seen;
    for (auto const& row : engine_rows_)
        take_in_engine(row, seen);
    keep_absent(seen);
    engines_ = std::move(seen);
    std::vector<engine_entry> entries;
    for (auto const& [id, one] : engines_)
    {
        if (one.entry)
            entries.push_back(*one.entry);
    }
    hooks_.on_engines(entries);
}

void platform_view::take_in_engine(
    stored_row const& row, std::unordered_map<std::string, known_engine>& seen)
{
    auto const& id = row.at.key;
    auto const before = engines_.find(id);
    // Readings may overtake each other on different ways to the store.
    if (before != engines_.end() && before->second.row >= row.version)
    {
        seen.emplace(id, before->second);
        return;
    }
    auto one = decode_engine(row);
    auto const* known = before != engines_.end() && before->second.entry
                            ? &*before->second.entry
                            : nullptr;
    // A heartbeat of a former incarnation that was written late.
    if (known != nullptr && one.entry &&
        one.entry->incarnation < known->incarnation)
        one.entry = *known;
    if (one.entry && known != nullptr &&
        known->incarnation < one.entry->incarnation)
        log_engine("engine.restarted", id, one);
    else if (
        one.entry && (known == nullptr || known->state != one.entry->state))
    {
        log_engine(
            one.entry->state == engine_state::draining ? "engine.draining"
                                                       : "engine.registered",
            id, one);
    }
    seen.emplace(id, std::move(one));
}

platform_view::known_engine platform_view::decode_engine(stored_row const& row)
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
    return {row.version, std::move(decoded)};
}

/// Engines without a row live on in what a node believes for a while after an
/// outage.
void platform_view::keep_absent(
    std::unordered_map<std::string, known_engine>& seen)
{
    auto const now = clock_();
    for (auto const& [id, one] : engines_)
    {
        if (!one.entry || seen.count(id) > 0)
            continue;
        if (now < trust_absence_at_)
            seen.emplace(id, one);
        else
            log_engine("engine.gone", id, one);
    }
}

void platform_view::log_engine(
    std::string_view event, std::string const& id,
    known_engine const& one) const
{
    log_.write(
        line_weight::routine, event,
        {{"engine", id},
         {"service", one.entry->service.str()},
         {"address", one.entry->address},
         {"started_at_ms", one.entry->incarnation.started_at_ms},
         {"row_version", one.row}});
}

void platform_view::read_members()
{
    store_.read(
        {members_table, "", "", ""}, read_patience,
        [this](range_result const& result)
        {
            members_read(result);
            auto const young = clock_() - started_ < first_readings_for;
            again(
                young ? first_readings : renew_every, members_timer_,
                &platform_view::read_members);
        });
}

void platform_view::members_read(range_result const& result)
{
    if (result.outcome != store_outcome::done)
        return;
    auto const now = clock_();
    std::unordered_map<std::string, known_member> seen;
    std::vector<entry_member> members;
    std::vector<std::string> names;
    for (auto const& row : result.rows)
    {
        auto const before = members_.find(row.at.key);
        auto one = before != members_.end() && before->second.row == row.version
                       ? before->second
                       : known_member{row.version, now};
        auto const live = now - one.changed_at < gone_after;
        seen.emplace(row.at.key, one);
        auto member = decode_member(row);
        if (!live || !member || row.at.key == self_.node)
            continue;
        members.push_back(std::move(*member));
        names.push_back(row.at.key);
    }
    members_ = std::move(seen);
    if (names != member_names_)
    {
        log_.write(
            line_weight::important, "members.changed", {{"nodes", names}});
        member_names_ = names;
    }
    hooks_.on_members(members);
}

void platform_view::write_self()
{
    if (leaving_)
        return;
    row_transaction one;
    one.writes.push_back({{members_table, "", self_.node}, encode(self_)});
    store_.commit(
        std::move(one), read_patience,
        [this](transaction_result const& result)
        {
            if (leaving_)
                return;
            auto const failed = result.outcome != store_outcome::done;
            again(
                failed ? interval_ : renew_every, self_timer_,
                &platform_view::write_self);
        });
}

void platform_view::leave(std::function<void()> done)
{
    leaving_ = true;
    self_timer_.cancel();
    row_transaction one;
    one.removals.push_back({members_table, "", self_.node});
    store_.commit(
        std::move(one), read_patience,
        [done = std::move(done)](transaction_result const&) { done(); });
}

} // namespace walnutmill

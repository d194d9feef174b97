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
    store_.read(
        {std::string(platform::names::engines_table), "", "", ""},
        read_patience,
        [this](range_result const& result)
        {
            engines_read(result);
            again(interval_, engines_timer_, &platform_view::read_engines);
        });
}

void platform_view::engines_read(range_result const& result)
{
    if (result.outcome != store_outcome::done || result.truncated)
        return;
    auto const now = clock_();
    // While the store was away entries lapse although their engines live;
    // those are back two seconds after its return, or gone.
    if (engines_read_at_ != time_point{} && now - engines_read_at_ > outage)
        trust_absence_at_ = now + entries_return;
    engines_read_at_ = now;
    last_read_ = now;
    std::unordered_map<std::string, known_engine> seen;
    std::vector<engine_entry> entries;
    for (auto const& row : result.rows)
    {
        auto const& id = row.at.key;
        auto const before = engines_.find(id);
        known_engine one;
        if (before != engines_.end() && before->second.row == row.version)
            one = before->second;
        else
        {
            findings problems;
            auto decoded = platform::decode_engine(id, row.value, problems);
            if (!decoded)
            {
                log_.write(
                    line_weight::important, "engine.unreadable",
                    {{"engine", id},
                     {"why", problems.items().front().message}});
                continue;
            }
            one = {row.version, std::move(*decoded)};
        }
        auto const draining = one.entry.state == engine_state::draining;
        if (before == engines_.end() ||
            (before->second.entry.state != one.entry.state))
        {
            log_.write(
                line_weight::routine,
                draining ? "engine.draining" : "engine.registered",
                {{"engine", id},
                 {"service", one.entry.service.str()},
                 {"address", one.entry.address},
                 {"row_version", row.version}});
        }
        entries.push_back(one.entry);
        seen.emplace(id, std::move(one));
    }
    for (auto& [id, one] : engines_)
    {
        if (seen.count(id) > 0)
            continue;
        if (now < trust_absence_at_)
        {
            entries.push_back(one.entry);
            seen.emplace(id, std::move(one));
        }
        else
        {
            log_.write(
                line_weight::routine, "engine.gone",
                {{"engine", id}, {"service", one.entry.service.str()}});
        }
    }
    engines_ = std::move(seen);
    hooks_.on_engines(entries);
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
        auto const body = json::from_cbor(row.value, true, false);
        if (!live || !body.is_object() || row.at.key == self_.node)
            continue;
        members.push_back(
            {row.at.key, body.value("address", std::string()),
             body.value("domain", std::string()),
             body.value("incarnation", std::string())});
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

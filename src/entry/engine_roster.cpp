#include "entry/engine_roster.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// If no read succeeds for longer than this, the store counts as having been
/// unavailable. An engine's entry expires after three heartbeats of 1.2 s.
constexpr milliseconds outage_threshold{2'000};
/// Time after the store's recovery within which engines renew expired entries.
constexpr milliseconds recovery_grace_period{2'000};

} // namespace

std::vector<engine_entry> engine_roster::take_in(
    std::vector<engine_entry> const& read, std::uint64_t as_of,
    time_point read_at)
{
    confirm(read_at);
    as_of_ = as_of;
    engines_by_id current;
    for (auto const& one : read)
        merge_entry(one, current);
    retain_missing(current);
    engines_ = std::move(current);
    std::vector<engine_entry> to;
    for (auto const& [id, one] : engines_)
        to.push_back(one);
    return to;
}

void engine_roster::confirm(time_point read_at)
{
    if (read_at_ != time_point{} && read_at - read_at_ > outage_threshold)
        trust_missing_from_ = read_at + recovery_grace_period;
    read_at_ = read_at;
}

void engine_roster::merge_entry(engine_entry const& read, engines_by_id& to)
{
    auto const found = engines_.find(read.id);
    auto const* known = found == engines_.end() ? nullptr : &found->second;
    // A heartbeat of a former incarnation may be written late.
    auto const outdated =
        known != nullptr && read.incarnation < known->incarnation;
    auto const& one = outdated ? *known : read;
    if (known != nullptr && known->incarnation < one.incarnation)
        log_engine("engine.restarted", one);
    else if (known == nullptr || known->state != one.state)
    {
        log_engine(
            one.state == engine_state::draining ? "engine.draining"
                                                : "engine.registered",
            one);
    }
    to.emplace(one.id, one);
}

void engine_roster::retain_missing(engines_by_id& to)
{
    retains_missing_ = false;
    for (auto const& [id, one] : engines_)
    {
        if (to.count(id) > 0)
            continue;
        if (read_at_ < trust_missing_from_)
        {
            to.emplace(id, one);
            retains_missing_ = true;
        }
        else
            log_engine("engine.gone", one);
    }
}

void engine_roster::log_engine(
    std::string_view event, engine_entry const& one) const
{
    log_.write(
        log_priority::routine, event,
        {{"engine", one.id.str()},
         {"service", one.service.str()},
         {"address", one.address},
         {"version", one.version},
         {"started_at_ms", one.incarnation.started_at_ms},
         {"read_at_version", as_of_}});
}

} // namespace walnutmill

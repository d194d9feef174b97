#include "entry/engine_roster.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace walnutmill
{
namespace
{

using std::chrono::milliseconds;

/// Without a reading for this long the store counts as having been away: an
/// engine's entry lapses after three beats of 1.2 s.
constexpr milliseconds outage{2'000};
/// Within this after the store's return lapsed entries are back.
constexpr milliseconds entries_return{2'000};

} // namespace

std::vector<engine_entry> engine_roster::take_in(
    std::vector<engine_entry> const& read, std::uint64_t as_of,
    time_point read_at)
{
    confirm(read_at);
    as_of_ = as_of;
    engines_by_id present;
    for (auto const& one : read)
        take_in_one(one, present);
    keep_absent(present);
    engines_ = std::move(present);
    std::vector<engine_entry> to;
    for (auto const& [id, one] : engines_)
        to.push_back(one);
    return to;
}

void engine_roster::confirm(time_point read_at)
{
    if (read_at_ != time_point{} && read_at - read_at_ > outage)
        trust_absence_at_ = read_at + entries_return;
    read_at_ = read_at;
}

void engine_roster::take_in_one(engine_entry const& read, engines_by_id& to)
{
    auto const found = engines_.find(read.id);
    auto const* known = found == engines_.end() ? nullptr : &found->second;
    // A heartbeat of a former incarnation that was written late.
    auto const late = known != nullptr && read.incarnation < known->incarnation;
    auto const& one = late ? *known : read;
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

void engine_roster::keep_absent(engines_by_id& to)
{
    keeps_absent_ = false;
    for (auto const& [id, one] : engines_)
    {
        if (to.count(id) > 0)
            continue;
        if (read_at_ < trust_absence_at_)
        {
            to.emplace(id, one);
            keeps_absent_ = true;
        }
        else
            log_engine("engine.gone", one);
    }
}

void engine_roster::log_engine(
    std::string_view event, engine_entry const& one) const
{
    log_.write(
        line_weight::routine, event,
        {{"engine", one.id.str()},
         {"service", one.service.str()},
         {"address", one.address},
         {"started_at_ms", one.incarnation.started_at_ms},
         {"read_at_version", as_of_}});
}

} // namespace walnutmill

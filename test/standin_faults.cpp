#include "standin_faults.hpp"

#include <algorithm>
#include <utility>

namespace walnutmill::standin
{

namespace
{

template<class T>
void take(nlohmann::json const& from, char const* name, T& into)
{
    auto const found = from.find(name);
    if (found != from.end())
        into = found->get<T>();
}

} // namespace

std::int64_t monotonic_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void faults::set(nlohmann::json const& wanted)
{
    std::lock_guard<std::mutex> lock(mutex_);
    take(wanted, "drop_answers", switches_.drop_answers);
    take(wanted, "refuse", switches_.refuse);
    take(wanted, "stall_ms", switches_.stall_ms);
    take(wanted, "hang", switches_.hang);
    take(wanted, "ignore_fencing", switches_.ignore_fencing);
    take(wanted, "event_delay_ms", switches_.event_delay_ms);
    take(wanted, "event_gap", switches_.event_gap);
    take(wanted, "load_lag_ms", switches_.load_lag_ms);
    take(wanted, "slowdown", switches_.slowdown);
    take(wanted, "forget_holds", switches_.forget_holds);
}

nlohmann::json faults::to_json() const
{
    auto const at = now();
    return {
        {"drop_answers", at.drop_answers},
        {"refuse", at.refuse},
        {"stall_ms", at.stall_ms},
        {"hang", at.hang},
        {"ignore_fencing", at.ignore_fencing},
        {"event_delay_ms", at.event_delay_ms},
        {"event_gap", at.event_gap},
        {"load_lag_ms", at.load_lag_ms},
        {"slowdown", at.slowdown},
        {"forget_holds", at.forget_holds}};
}

fault_switches faults::now() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return switches_;
}

bool faults::take_refusal()
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (switches_.refuse > 0)
    {
        --switches_.refuse;
        return true;
    }
    return switches_.refuse < 0;
}

bool faults::take_lost_answer()
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (switches_.drop_answers <= 0)
        return false;
    --switches_.drop_answers;
    return true;
}

ledger::ledger(std::string name) : name_(std::move(name)) {}

void ledger::add(std::string_view kind, nlohmann::json fields)
{
    fields["kind"] = kind;
    std::lock_guard<std::mutex> lock(mutex_);
    fields["seq"] = next_++;
    fields["at_us"] = monotonic_us();
    entries_.push_back(std::move(fields));
}

void ledger::count(std::string const& counter, std::int64_t by)
{
    std::lock_guard<std::mutex> lock(mutex_);
    counters_[counter] += by;
}

std::string ledger::to_text(std::uint64_t after) const
{
    std::lock_guard<std::mutex> lock(mutex_);
    auto shown = nlohmann::json::array();
    auto const first = std::min<std::uint64_t>(after, entries_.size());
    for (auto i = first; i < entries_.size(); ++i)
        shown.push_back(entries_[i]);
    nlohmann::json const all{
        {"name", name_}, {"entries", shown}, {"counters", counters_}};
    return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace walnutmill::standin

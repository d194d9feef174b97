#include <walnutmill/crash_record.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace walnutmill
{
namespace
{

/// Time by which the end of a run seems late at another node.
constexpr std::chrono::milliseconds report_delay{5};

} // namespace

std::string run_engine_name(engine_ref const& engine)
{
    auto name = engine.id.str();
    if (engine.incarnation)
        name += "@" + std::to_string(engine.incarnation->started_at_ms);
    return name;
}

crash_record::crash_record(clock_fn clock, crash_record_options options)
    : clock_(std::move(clock)), options_(options)
{
}

/// \return true if the run's engine counts as ended
bool crash_record::is_over(engine_run const& run, time_point now) const
{
    return run.state == run_state::ended ||
           (run.state == run_state::running &&
            now - run.began > options_.longest_run);
}

std::size_t crash_record::crashes_of(suspect_request const& one) const
{
    auto const now = clock_();
    std::set<std::string_view> engines;
    for (auto const& run : one.runs)
    {
        if (is_over(run, now))
            engines.insert(run.engine);
    }
    return engines.size();
}

std::size_t crash_record::crashes(request_digest request) const
{
    auto const* const found = find(request);
    return found == nullptr ? 0 : crashes_of(*found);
}

/// Engines that end together under copies of a request may have another cause
/// in common, such as the loss of a failure domain. So only runs count that
/// began after the end of the one before.
crash_record::crash_series
crash_record::series_of(suspect_request const& one) const
{
    auto const now = clock_();
    std::vector<engine_run> crashed;
    for (auto run : one.runs)
    {
        if (!is_over(run, now))
            continue;
        if (run.state == run_state::running)
            run.ended = run.began + options_.longest_run;
        crashed.push_back(std::move(run));
    }
    std::sort(
        crashed.begin(), crashed.end(),
        [](engine_run const& a, engine_run const& b)
        { return a.ended < b.ended; });
    crash_series series;
    auto counted_until = time_point::min();
    for (auto const& run : crashed)
    {
        series.last_ended = run.ended;
        if (series.length > 0 && run.began + report_delay < counted_until)
            continue;
        ++series.length;
        counted_until = run.ended;
    }
    return series;
}

/// \return empty if the request has not reached the limit
std::optional<time_point>
crash_record::quarantine_end(suspect_request const& one) const
{
    if (crashes_of(one) < max_request_crashes)
        return std::nullopt;
    auto const series = series_of(one);
    if (series.length < max_request_crashes)
        return std::nullopt;
    return series.last_ended + options_.quarantine;
}

std::vector<std::string>
crash_record::running_at(suspect_request const& one) const
{
    auto const now = clock_();
    std::vector<std::string> engines;
    for (auto const& run : one.runs)
    {
        auto const is_new =
            std::find(engines.begin(), engines.end(), run.engine) ==
            engines.end();
        if (is_new && run.state == run_state::running && !is_over(run, now))
            engines.push_back(run.engine);
    }
    return engines;
}

std::vector<std::string>
crash_record::running_engines(request_digest request) const
{
    auto const* const found = find(request);
    return found == nullptr ? std::vector<std::string>() : running_at(*found);
}

bool crash_record::is_at_limit(
    request_digest request, std::string const& engine) const
{
    auto const* const found = find(request);
    if (found == nullptr)
        return max_request_crashes <= 1;
    auto const running = running_at(*found);
    auto const is_counted =
        std::find(running.begin(), running.end(), engine) != running.end();
    return series_of(*found).length + running.size() + (is_counted ? 0 : 1) >=
           max_request_crashes;
}

duration crash_record::quarantined_for(request_digest request) const
{
    auto const* const found = find(request);
    auto const end = found == nullptr ? std::nullopt : quarantine_end(*found);
    return end ? std::max(*end - clock_(), duration(0)) : duration(0);
}

send_verdict crash_record::verdict(request_digest request) const
{
    auto const* const found = find(request);
    if (found == nullptr)
        return send_verdict::allowed;
    auto const count = crashes_of(*found);
    auto const running = running_at(*found).size();
    if (count + running == 0)
        return send_verdict::allowed;
    if (quarantined_for(request) > duration(0))
        return send_verdict::quarantined;
    if (count + 1 >= max_request_crashes && running > 0)
        return send_verdict::awaits_other_run;
    if (running > 0 &&
        series_of(*found).length + running >= max_request_crashes)
        return send_verdict::limited_to_its_engines;
    return send_verdict::suspect;
}

std::size_t crash_record::quarantined() const
{
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(),
        [this](auto const& one)
        { return quarantined_for(one.first) > duration(0); }));
}

suspect_request const* crash_record::find(request_digest request) const
{
    auto const found = requests_.find(request);
    return found == requests_.end() ? nullptr : &found->second.request;
}

void crash_record::for_each(
    std::function<void(request_digest, suspect_request const&)> const& visit)
    const
{
    for (auto const& [digest, one] : requests_)
        visit(digest, one.request);
}

void crash_record::drop_expired()
{
    auto const now = clock_();
    for (auto it = requests_.begin(); it != requests_.end();)
    {
        auto const kept_for = it->second.request.runs.empty()
                                  ? options_.quarantine
                                  : options_.lifetime;
        it = now - it->second.changed_at > kept_for ? requests_.erase(it)
                                                    : std::next(it);
    }
}

void crash_record::drop_least()
{
    auto const rank = [this](auto const& one)
    {
        return std::make_pair(
            crashes_of(one.second.request), one.second.changed_at);
    };
    requests_.erase(std::min_element(
        requests_.begin(), requests_.end(),
        [&rank](auto const& a, auto const& b) { return rank(a) < rank(b); }));
}

crash_record::entry& crash_record::entry_of(request_digest request)
{
    if (requests_.size() >= options_.max_requests &&
        requests_.count(request) == 0)
        drop_least();
    auto& one = requests_[request];
    one.changed_at = clock_();
    return one;
}

/// \return true if the request changed
bool crash_record::merge_run(suspect_request& into, engine_run run) const
{
    auto const found = std::find_if(
        into.runs.begin(), into.runs.end(),
        [&run](engine_run const& one) { return one.id == run.id; });
    if (found != into.runs.end())
    {
        if (run.state < found->state)
            return false;
        if (run.state > found->state)
        {
            *found = std::move(run);
            return true;
        }
        // Ages grow on their way from node to node, so the earliest time is the
        // closest one.
        auto const earlier =
            run.ended < found->ended || run.began < found->began;
        found->ended = std::min(found->ended, run.ended);
        found->began = std::min(found->began, run.began);
        return earlier;
    }
    if (into.runs.size() >= options_.max_runs)
    {
        // The first crash and the latest ones decide.
        std::sort(
            into.runs.begin(), into.runs.end(),
            [](engine_run const& a, engine_run const& b)
            {
                return std::make_tuple(
                           a.state != run_state::survived, a.ended) <
                       std::make_tuple(b.state != run_state::survived, b.ended);
            });
        auto const has_survivor =
            into.runs.front().state == run_state::survived;
        into.runs.erase(into.runs.begin() + (has_survivor ? 0 : 1));
    }
    into.runs.push_back(std::move(run));
    return true;
}

bool crash_record::began(
    request_digest request, request_label label, run_id run, std::string engine)
{
    auto& one = entry_of(request).request;
    one.label = std::move(label);
    auto const now = clock_();
    return merge_run(
        one, {run, std::move(engine), run_state::running, now, now});
}

bool crash_record::fell_silent(
    request_digest request, request_label label, run_id run, std::string engine,
    time_point began)
{
    auto& one = entry_of(request).request;
    one.label = std::move(label);
    return merge_run(
        one, {run, std::move(engine), run_state::running, began, began});
}

bool crash_record::interrupted(
    request_digest request, request_label label, run_id run, std::string engine,
    time_point began, time_point ended)
{
    auto& one = entry_of(request).request;
    one.label = std::move(label);
    return merge_run(
        one, {run, std::move(engine), run_state::ended, began, ended});
}

bool crash_record::survived(request_digest request, run_id run)
{
    auto const found = requests_.find(request);
    if (found == requests_.end())
        return false;
    auto const now = clock_();
    auto& runs = found->second.request.runs;
    auto const at = std::find_if(
        runs.begin(), runs.end(),
        [run](engine_run const& one) { return one.id == run; });
    if (at == runs.end() || at->state == run_state::survived)
        return false;
    at->state = run_state::survived;
    at->ended = now;
    found->second.changed_at = now;
    return true;
}

bool crash_record::clear(request_digest request)
{
    auto const found = requests_.find(request);
    if (found == requests_.end() || found->second.request.runs.empty())
        return false;
    ++found->second.request.generation;
    found->second.request.runs.clear();
    found->second.changed_at = clock_();
    return true;
}

std::vector<request_digest>
crash_record::engine_responded(std::string const& engine, time_point sent_at)
{
    std::vector<request_digest> changed;
    for (auto& [digest, one] : requests_)
    {
        for (auto& run : one.request.runs)
        {
            if (run.engine != engine || run.state != run_state::ended ||
                run.ended >= sent_at)
                continue;
            run.state = run_state::survived;
            one.changed_at = clock_();
            changed.push_back(digest);
        }
    }
    return changed;
}

bool crash_record::is_suspected(std::string const& engine) const
{
    auto const ended_there = [&engine](engine_run const& run)
    { return run.engine == engine && run.state == run_state::ended; };
    return std::any_of(
        requests_.begin(), requests_.end(),
        [&ended_there](auto const& one)
        {
            auto const& runs = one.second.request.runs;
            return std::any_of(runs.begin(), runs.end(), ended_there);
        });
}

bool crash_record::knows_more(
    request_digest request, suspect_request const& other) const
{
    auto const* const own = find(request);
    if (own == nullptr || own->generation != other.generation)
        return own != nullptr && own->generation > other.generation;
    auto const is_new = [&other](engine_run const& run)
    {
        return std::none_of(
            other.runs.begin(), other.runs.end(),
            [&run](engine_run const& one)
            { return one.id == run.id && one.state >= run.state; });
    };
    return std::any_of(own->runs.begin(), own->runs.end(), is_new);
}

bool crash_record::merge(request_digest request, suspect_request other)
{
    auto const found = requests_.find(request);
    auto const generation =
        found == requests_.end() ? 0 : found->second.request.generation;
    if (other.generation < generation)
        return false;
    if (found == requests_.end() || other.generation > generation)
    {
        // Expired requests that another node still has are not taken back.
        if (found == requests_.end() && other.runs.empty())
            return false;
        entry_of(request).request = std::move(other);
        return true;
    }
    auto changed = false;
    for (auto& run : other.runs)
        changed |= merge_run(found->second.request, std::move(run));
    if (changed)
    {
        found->second.changed_at = clock_();
        found->second.request.label = std::move(other.label);
    }
    return changed;
}

} // namespace walnutmill

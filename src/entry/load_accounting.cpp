#include "entry/load_accounting.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace walnutmill
{
namespace
{

using nlohmann::json;

constexpr int status_budget = 402;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

constexpr std::array<std::string_view, wait_reason_count> wait_names{
    {"budget", "history", "place", "quota", "configuration", "store"}};

constexpr std::array<std::string_view, refusal_cause_count> cause_names{
    {"engines full", "engines refused", "no engine", "budget contended",
     "budget spent", "over limit", "limit unchecked", "store", "configuration",
     "time", "crashes", "resumption", "stopping", "other"}};

/// Calls without a workspace are counted by route only.
constexpr std::uint32_t first_workspace = bounded_labels::none + 1;

struct known_reason
{
    std::string_view why;
    refusal_cause cause;
};

/// Reasons of refusals with status 503, as in docs/OPERATIONS.md.
constexpr known_reason known_reasons[] = {
    {"the engines are full", refusal_cause::engines_full},
    {"all engines asked refused", refusal_cause::engines_refused},
    {"no engine to ask", refusal_cause::no_engine},
    {"the budget is taken by turns under way", refusal_cause::budget_contended},
    {"the workspace's limit can't be checked", refusal_cause::limit_unchecked},
    {"the store of budgets does not answer", refusal_cause::store},
    {"the store of turns does not answer", refusal_cause::store},
    {"the store that turns are kept in is away", refusal_cause::store},
    {"no configuration is known yet", refusal_cause::configuration},
    {"the route's service is not configured", refusal_cause::configuration},
    {"the configuration is too old to check the key",
     refusal_cause::configuration},
    {"the configuration is too old to deny the call",
     refusal_cause::configuration},
    {"time was up before an engine was free", refusal_cause::time},
    {"engines ended under this request, so it is quarantined",
     refusal_cause::crashes},
    {"engines ended under this request, and another run of it is under way",
     refusal_cause::crashes},
    {"engines ended under this request, and other nodes have not told what "
     "they know",
     refusal_cause::crashes},
    {"it is not known which engine version began the stream",
     refusal_cause::resumption},
    {"no engine of the version that began the stream is left",
     refusal_cause::resumption},
    {"the route no longer leads to the service that began the stream",
     refusal_cause::resumption},
    {"a stored turn can't be resumed", refusal_cause::resumption},
    {"this node is about to stop", refusal_cause::stopping},
    {"the node has to exit", refusal_cause::stopping},
};

template<class Enum>
constexpr std::size_t index(Enum value)
{
    return static_cast<std::size_t>(value);
}

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// \return the text as it stands between the quotes of a Prometheus label
std::string escape_label(std::string_view text)
{
    std::string out;
    for (auto const one : text)
    {
        if (one == '\n')
        {
            out += "\\n";
            continue;
        }
        if (one == '"' || one == '\\')
            out += '\\';
        out += one;
    }
    return out;
}

/// Element of a vector that is indexed by label and grows with the labels.
template<class T>
T& at(std::vector<T>& all, std::uint32_t label)
{
    if (label >= all.size())
        all.resize(label + 1);
    return all[label];
}

void write_type(std::string& out, std::string_view name, std::string_view type)
{
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

struct label
{
    std::string_view name;
    /// Without characters that need an escape.
    std::string_view value;
};

/// \param second written if its name is not empty
void write_sample(
    std::string& out, std::string_view metric, label first, label second,
    std::string_view value)
{
    out.append(metric).append("{").append(first.name).append("=\"");
    out.append(first.value).append("\"");
    if (!second.name.empty())
    {
        out.append(",").append(second.name).append("=\"");
        out.append(second.value).append("\"");
    }
    out.append("} ").append(value).append("\n");
}

std::string seconds_text(duration time)
{
    std::array<char, 32> text{};
    auto const size = std::snprintf(
        text.data(), text.size(), "%.12g",
        std::chrono::duration<double>(time).count());
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

std::string_view to_string(wait_reason reason)
{
    return wait_names[index(reason)];
}

std::string_view to_string(refusal_cause cause)
{
    return cause_names[index(cause)];
}

std::optional<refusal_cause> refusal_cause_of(int status, std::string_view why)
{
    if (status == status_budget)
        return refusal_cause::budget_spent;
    if (status == status_too_many)
        return refusal_cause::over_limit;
    if (status != status_unavailable)
        return std::nullopt;
    for (auto const& known : known_reasons)
    {
        if (known.why == why)
            return known.cause;
    }
    return refusal_cause::other;
}

bounded_labels::bounded_labels(std::size_t max_labels)
    : max_size_(max_labels + 2), labels_{"none", "other"}, escaped_{
                                                               "none", "other"}
{
    // No two indices may be written as the same label.
    indices_ = {{"", none}, {"none", other}, {"other", other}};
}

std::uint32_t bounded_labels::index_of(std::string const& label)
{
    auto const found = indices_.find(label);
    if (found != indices_.end())
        return found->second;
    if (labels_.size() >= max_size_)
        return other;
    auto const index = static_cast<std::uint32_t>(labels_.size());
    labels_.push_back(label);
    escaped_.push_back(escape_label(label));
    indices_.emplace(label, index);
    return index;
}

call_wait::call_wait(
    std::shared_ptr<load_accounting> accounting, call_labels labels,
    wait_reason reason)
    : accounting_(std::move(accounting)), labels_(labels), reason_(reason),
      began_(accounting_->clock_())
{
    accounting_->wait_began(labels_, reason_);
}

call_wait::call_wait(call_wait&& other) noexcept
    : accounting_(std::move(other.accounting_)), labels_(other.labels_),
      reason_(other.reason_), began_(other.began_)
{
}

call_wait& call_wait::operator=(call_wait&& other) noexcept
{
    if (this == &other)
        return *this;
    end();
    accounting_ = std::move(other.accounting_);
    labels_ = other.labels_;
    reason_ = other.reason_;
    began_ = other.began_;
    return *this;
}

void call_wait::end()
{
    if (auto const accounting = std::exchange(accounting_, nullptr))
        accounting->wait_ended(labels_, reason_, began_);
}

std::uint64_t load_accounting::usage::refused_or_late() const
{
    return std::accumulate(refused.begin(), refused.end(), late);
}

duration load_accounting::usage::total_wait() const
{
    return std::accumulate(waited.begin(), waited.end(), duration(0));
}

load_accounting::usage load_accounting::usage::since(usage const& earlier) const
{
    auto difference = *this;
    for (std::size_t i = 0; i < refused.size(); ++i)
        difference.refused[i] -= earlier.refused[i];
    difference.late -= earlier.late;
    for (std::size_t i = 0; i < waited.size(); ++i)
        difference.waited[i] -= earlier.waited[i];
    difference.at_engines -= earlier.at_engines;
    return difference;
}

load_accounting::load_accounting(clock_fn clock, accounting_options options)
    : clock_(std::move(clock)), options_(options),
      route_labels_(options.max_labels), workspace_labels_(options.max_labels),
      service_labels_(options.max_services),
      domain_labels_(options.max_domains), interval_start_(clock_())
{
}

std::uint32_t load_accounting::route_index(std::string const& route)
{
    return route_labels_.index_of(route);
}

std::uint32_t load_accounting::workspace_index(workspace_name const& workspace)
{
    return workspace_labels_.index_of(workspace.str());
}

void load_accounting::count_refusal(call_labels labels, refusal_cause cause)
{
    ++at(routes_, labels.route).total.refused[index(cause)];
    ++at(workspaces_, labels.workspace).total.refused[index(cause)];
    ++refused_or_late_;
}

void load_accounting::count_late_turn(call_labels labels)
{
    ++at(routes_, labels.route).total.late;
    ++at(workspaces_, labels.workspace).total.late;
    ++refused_or_late_;
}

void load_accounting::count_engine_call(
    service_name const& service, zone_name const& domain)
{
    auto& by_domain =
        at(engine_calls_, service_labels_.index_of(service.str()));
    ++at(by_domain, domain_labels_.index_of(domain.str()));
}

void load_accounting::add_engine_time(call_labels labels, duration time)
{
    at(routes_, labels.route).total.at_engines += time;
    at(workspaces_, labels.workspace).total.at_engines += time;
}

void load_accounting::wait_began(call_labels labels, wait_reason reason)
{
    ++at(route_waits_, labels.route).waiting[index(reason)];
}

void load_accounting::wait_ended(
    call_labels labels, wait_reason reason, time_point began)
{
    auto const waited = clock_() - began;
    auto& route = at(route_waits_, labels.route);
    --route.waiting[index(reason)];
    ++route.ended[index(reason)];
    at(routes_, labels.route).total.waited[index(reason)] += waited;
    at(workspaces_, labels.workspace).total.waited[index(reason)] += waited;
}

/// Writes the refusals and late turns of routes or workspaces.
/// \param first index of the first label to write
void load_accounting::write_usage(
    std::string& out, usage_metrics const& names,
    std::vector<party> const& parties, bounded_labels const& labels,
    std::uint32_t first)
{
    write_type(out, names.refusals, "counter");
    for (auto i = first; i < parties.size(); ++i)
    {
        for (std::size_t cause = 0; cause < refusal_cause_count; ++cause)
        {
            auto const count = parties[i].total.refused[cause];
            if (count > 0)
                write_sample(
                    out, names.refusals, {names.label, labels.escaped(i)},
                    {"why", cause_names[cause]}, std::to_string(count));
        }
    }
    write_type(out, names.late_turns, "counter");
    for (auto i = first; i < parties.size(); ++i)
    {
        if (parties[i].total.late > 0)
            write_sample(
                out, names.late_turns, {names.label, labels.escaped(i)}, {},
                std::to_string(parties[i].total.late));
    }
}

void load_accounting::write_engine_use(std::string& out) const
{
    constexpr std::string_view engine_seconds =
        "walnutmill_workspace_engine_seconds_total";
    write_type(out, engine_seconds, "counter");
    for (auto i = first_workspace; i < workspaces_.size(); ++i)
    {
        auto const time = workspaces_[i].total.at_engines;
        if (time.count() > 0)
            write_sample(
                out, engine_seconds,
                {"workspace", workspace_labels_.escaped(i)}, {},
                seconds_text(time));
    }
    constexpr std::string_view engine_calls = "walnutmill_engine_calls_total";
    write_type(out, engine_calls, "counter");
    for (std::uint32_t i = 0; i < engine_calls_.size(); ++i)
    {
        auto const& by_domain = engine_calls_[i];
        for (std::uint32_t domain = 0; domain < by_domain.size(); ++domain)
        {
            if (by_domain[domain] > 0)
                write_sample(
                    out, engine_calls, {"service", service_labels_.escaped(i)},
                    {"domain", domain_labels_.escaped(domain)},
                    std::to_string(by_domain[domain]));
        }
    }
}

void load_accounting::write_waits(std::string& out) const
{
    // A family's samples have to stay together.
    std::string gauges;
    write_type(out, "walnutmill_wait_seconds", "summary");
    write_type(gauges, "walnutmill_calls_waiting", "gauge");
    for (std::uint32_t i = 0; i < route_waits_.size(); ++i)
    {
        label const route{"route", route_labels_.escaped(i)};
        for (std::size_t reason = 0; reason < wait_reason_count; ++reason)
        {
            auto const ended = route_waits_[i].ended[reason];
            auto const waiting = route_waits_[i].waiting[reason];
            if (ended == 0 && waiting == 0)
                continue;
            label const wait{"for", wait_names[reason]};
            auto const waited = i < routes_.size()
                                    ? routes_[i].total.waited[reason]
                                    : duration(0);
            write_sample(
                out, "walnutmill_wait_seconds_sum", route, wait,
                seconds_text(waited));
            write_sample(
                out, "walnutmill_wait_seconds_count", route, wait,
                std::to_string(ended));
            write_sample(
                gauges, "walnutmill_calls_waiting", route, wait,
                std::to_string(waiting));
        }
    }
    out += gauges;
}

std::string load_accounting::prometheus_text() const
{
    std::string out;
    write_usage(
        out,
        {"route", "walnutmill_refusals_total", "walnutmill_late_turns_total"},
        routes_, route_labels_, bounded_labels::none);
    write_usage(
        out,
        {"workspace", "walnutmill_workspace_refusals_total",
         "walnutmill_workspace_late_turns_total"},
        workspaces_, workspace_labels_, first_workspace);
    write_engine_use(out);
    write_waits(out);
    return out;
}

void load_accounting::end_interval_of(std::vector<party>& parties)
{
    for (auto& one : parties)
    {
        one.last_interval = one.total.since(one.at_start);
        one.at_start = one.total;
    }
}

bool load_accounting::end_interval()
{
    auto const now = clock_();
    if (now - interval_start_ < options_.interval)
        return false;
    last_interval_length_ = now - interval_start_;
    interval_start_ = now;
    end_interval_of(routes_);
    end_interval_of(workspaces_);
    auto const any = refused_or_late_ > refused_or_late_at_start_;
    refused_or_late_at_start_ = refused_or_late_;
    return any;
}

/// \return the entries with most refusals and late turns, then those with the
/// longest waiting time
json load_accounting::most_affected(
    std::vector<party> const& parties, bounded_labels const& labels) const
{
    std::vector<std::uint32_t> order;
    for (std::uint32_t i = 0; i < parties.size(); ++i)
    {
        auto const& counts = parties[i].last_interval;
        if (counts.refused_or_late() > 0 || counts.total_wait().count() > 0)
            order.push_back(i);
    }
    std::stable_sort(
        order.begin(), order.end(),
        [&parties](std::uint32_t a, std::uint32_t b)
        {
            auto const& first = parties[a].last_interval;
            auto const& second = parties[b].last_interval;
            return std::make_pair(first.refused_or_late(), first.total_wait()) >
                   std::make_pair(
                       second.refused_or_late(), second.total_wait());
        });
    order.resize(std::min(order.size(), options_.max_listed));
    auto list = json::array();
    for (auto const i : order)
    {
        auto const& counts = parties[i].last_interval;
        json one{
            {"name", labels[i]},
            {"late", counts.late},
            {"refused", json::object()},
            {"waited_ms", json::object()},
            {"engine_ms", milliseconds_of(counts.at_engines)}};
        for (std::size_t cause = 0; cause < refusal_cause_count; ++cause)
        {
            if (counts.refused[cause] > 0)
                one["refused"][std::string(cause_names[cause])] =
                    counts.refused[cause];
        }
        for (std::size_t reason = 0; reason < wait_reason_count; ++reason)
        {
            auto const waited = milliseconds_of(counts.waited[reason]);
            if (waited > 0)
                one["waited_ms"][std::string(wait_names[reason])] = waited;
        }
        list.push_back(std::move(one));
    }
    return list;
}

/// \return the workspaces whose calls have occupied engines for the longest
/// time
json load_accounting::heaviest_users() const
{
    std::vector<std::uint32_t> order;
    for (std::uint32_t i = 0; i < workspaces_.size(); ++i)
    {
        if (workspaces_[i].last_interval.at_engines.count() > 0)
            order.push_back(i);
    }
    std::stable_sort(
        order.begin(), order.end(),
        [this](std::uint32_t a, std::uint32_t b)
        {
            return workspaces_[a].last_interval.at_engines >
                   workspaces_[b].last_interval.at_engines;
        });
    order.resize(std::min(order.size(), options_.max_listed));
    auto list = json::array();
    for (auto const i : order)
    {
        list.push_back(
            {{"name", workspace_labels_[i]},
             {"engine_ms",
              milliseconds_of(workspaces_[i].last_interval.at_engines)}});
    }
    return list;
}

json load_accounting::summary(service_loads loads) const
{
    std::uint64_t refused = 0;
    std::uint64_t late = 0;
    for (auto const& one : routes_)
    {
        late += one.last_interval.late;
        refused += one.last_interval.refused_or_late() - one.last_interval.late;
    }
    std::sort(
        loads.begin(), loads.end(),
        [](auto const& a, auto const& b) { return a.second > b.second; });
    loads.resize(std::min(loads.size(), options_.max_listed_services));
    json load = json::object();
    for (auto const& [service, value] : loads)
        load[service] = std::round(value * 1'000) / 1'000;
    return {
        {"interval_ms", milliseconds_of(last_interval_length_)},
        {"refused", refused},
        {"late", late},
        {"routes", most_affected(routes_, route_labels_)},
        {"workspaces", most_affected(workspaces_, workspace_labels_)},
        {"engine_users", heaviest_users()},
        {"load_per_slot", std::move(load)}};
}

} // namespace walnutmill

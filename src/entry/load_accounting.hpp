#ifndef WALNUTMILL_SRC_ENTRY_LOAD_ACCOUNTING_HPP
#define WALNUTMILL_SRC_ENTRY_LOAD_ACCOUNTING_HPP

/// \file
/// Counts who waits, who is refused and who uses the engines at this node, by
/// route, workspace and failure domain. The number of labels is bounded.

#include <walnutmill/clock.hpp>
#include <walnutmill/ids.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace walnutmill
{

/// What a call waits for before an engine, or before the end of its answer.
enum class wait_reason : std::uint8_t
{
    budget,
    history,
    place,
    quota,
    configuration,
    /// Either the turn that ran is being stored, or one that has not run waits
    /// for a lost store.
    store
};
constexpr std::size_t wait_reason_count = 6;

std::string_view to_string(wait_reason reason);

/// Cause of a refusal. A refused call has not run and never will.
enum class refusal_cause : std::uint8_t
{
    /// The load per slot is too high for a new program.
    engines_full,
    /// Each engine asked reported that it is full.
    engines_refused,
    no_engine,
    /// Other turns of the program hold what is left of its budget.
    budget_contended,
    budget_spent,
    /// The workspace is over its request limit.
    over_limit,
    limit_unchecked,
    store,
    /// The configuration is unknown, incomplete or too old.
    configuration,
    /// The call's time was up before an engine was free.
    time,
    /// Engines ended under the request.
    crashes,
    /// The stream can't be resumed at its version.
    resumption,
    /// The node is stopping.
    stopping,
    other
};
constexpr std::size_t refusal_cause_count = 14;

std::string_view to_string(refusal_cause cause);

/// \param status HTTP status of an answer of this node
/// \param why the answer's reason, as in the log line `call.ended`
/// \return empty if the answer is no refusal: the call is invalid (400, 401,
/// 404) or may have run (502, 504)
std::optional<refusal_cause> refusal_cause_of(int status, std::string_view why);

/// Assigns indices to the first labels seen; all later ones share one index.
class bounded_labels
{
public:
    /// Index of the empty label, which is written as "none".
    static constexpr std::uint32_t none = 0;
    /// Index of the labels beyond the bound, written as "other".
    static constexpr std::uint32_t other = 1;

    explicit bounded_labels(std::size_t max_labels);

    std::uint32_t index_of(std::string const& label);
    std::string const& operator[](std::uint32_t index) const
    {
        return labels_[index];
    }
    /// \return the label as it stands between the quotes of a metric's label
    std::string const& escaped(std::uint32_t index) const
    {
        return escaped_[index];
    }

private:
    std::size_t max_size_;
    std::vector<std::string> labels_;
    std::vector<std::string> escaped_;
    std::unordered_map<std::string, std::uint32_t> indices_;
};

/// Indices of a call's labels.
struct call_labels
{
    std::uint32_t route = bounded_labels::none;
    std::uint32_t workspace = bounded_labels::none;
};

struct accounting_options
{
    /// Number of routes and of workspaces with their own label.
    std::size_t max_labels = 100;
    /// Number of services with their own label.
    std::size_t max_services = 50;
    /// Number of failure domains with their own label.
    std::size_t max_domains = 20;
    /// Interval of the summaries.
    duration interval = std::chrono::seconds(5);
    /// Maximum number of routes, of workspaces and of users of engines in a
    /// summary.
    std::size_t max_listed = 5;
    /// Maximum number of services in a summary.
    std::size_t max_listed_services = 20;
};

class load_accounting;

/// A wait of one call, which counts as waiting until it is destroyed, assigned
/// or ended.
class call_wait
{
public:
    call_wait() = default;
    call_wait(
        std::shared_ptr<load_accounting> accounting, call_labels labels,
        wait_reason reason);
    ~call_wait() { end(); }
    call_wait(call_wait const&) = delete;
    call_wait& operator=(call_wait const&) = delete;
    call_wait(call_wait&& other) noexcept;
    call_wait& operator=(call_wait&& other) noexcept;

    /// Does nothing if the wait has ended.
    void end();

private:
    /// Null once the wait has ended. Shared, because the event loop may destroy
    /// calls after the services of their node.
    std::shared_ptr<load_accounting> accounting_;
    call_labels labels_;
    wait_reason reason_ = wait_reason::budget;
    time_point began_{};
};

/// The counts of one node. Not thread-safe.
class load_accounting
{
public:
    /// Load per slot of services, by name.
    using service_loads = std::vector<std::pair<std::string, double>>;

    explicit load_accounting(clock_fn clock, accounting_options options = {});

    std::uint32_t route_index(std::string const& route);
    std::uint32_t workspace_index(workspace_name const& workspace);

    void count_refusal(call_labels labels, refusal_cause cause);
    /// Counts a turn that ended after the time in which its program should have
    /// finished.
    void count_late_turn(call_labels labels);
    /// Counts a call that was sent to an engine.
    void
    count_engine_call(service_name const& service, zone_name const& domain);
    /// Counts the time that a call has occupied an engine.
    void add_engine_time(call_labels labels, duration time);

    /// \return the metrics in Prometheus' text exposition format
    std::string prometheus_text() const;

    /// Ends the interval if it is over, and starts the next one.
    /// \return true if something was refused or late in the interval, so that a
    /// summary is due
    bool end_interval();
    /// \return fields of the log line `load.summary`, for the interval that
    /// ended last
    nlohmann::json summary(service_loads loads) const;

private:
    friend class call_wait;

    /// Counts of a route or workspace.
    struct usage
    {
        std::array<std::uint64_t, refusal_cause_count> refused{};
        std::uint64_t late = 0;
        std::array<duration, wait_reason_count> waited{};
        duration at_engines{0};

        std::uint64_t refused_or_late() const;
        duration total_wait() const;
        usage since(usage const& earlier) const;
    };
    struct party
    {
        usage total;
        /// The total when the current interval began.
        usage at_start;
        /// Counts within the last interval.
        usage last_interval;
    };
    struct route_waits
    {
        std::array<std::uint64_t, wait_reason_count> ended{};
        std::array<std::uint32_t, wait_reason_count> waiting{};
    };

    /// Names of the metrics of routes or workspaces.
    struct usage_metrics
    {
        std::string_view label;
        std::string_view refusals;
        std::string_view late_turns;
    };

    static void write_usage(
        std::string& out, usage_metrics const& names,
        std::vector<party> const& parties, bounded_labels const& labels,
        std::uint32_t first);
    void write_engine_use(std::string& out) const;
    void write_waits(std::string& out) const;
    static void end_interval_of(std::vector<party>& parties);
    nlohmann::json most_affected(
        std::vector<party> const& parties, bounded_labels const& labels) const;
    nlohmann::json heaviest_users() const;
    void wait_began(call_labels labels, wait_reason reason);
    void wait_ended(call_labels labels, wait_reason reason, time_point began);

    clock_fn clock_;
    accounting_options options_;
    bounded_labels route_labels_;
    bounded_labels workspace_labels_;
    bounded_labels service_labels_;
    bounded_labels domain_labels_;
    /// Indexed by label, as are the vectors below.
    std::vector<party> routes_;
    std::vector<route_waits> route_waits_;
    std::vector<party> workspaces_;
    /// Calls by service and failure domain.
    std::vector<std::vector<std::uint64_t>> engine_calls_;
    time_point interval_start_;
    duration last_interval_length_{0};
    std::uint64_t refused_or_late_ = 0;
    std::uint64_t refused_or_late_at_start_ = 0;
};

} // namespace walnutmill

#endif

#include <walnutmill/retention.hpp>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/histogram.hpp>

namespace walnutmill
{

namespace
{

namespace bh = boost::histogram;

// Pauses are told apart by a quarter: 47 steps from 50 ms to 30 min.
constexpr double shortest_pause = 0.05;
constexpr double longest_pause = 1800.0;
constexpr int pause_bins = 47;
// Counts are halved at this many, so that a tool that changes is seen anew
// after as many pauses.
constexpr double most_samples = 400.0;
// What an engine's cache holds when it does not say: a common size.
constexpr double usual_capacity = 400'000.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using pause_histogram =
    bh::histogram<std::tuple<log_axis>, bh::dense_storage<double>>;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration duration_of(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

pause_histogram make_pauses()
{
    return bh::make_histogram_with(
        bh::dense_storage<double>(),
        log_axis(pause_bins, shortest_pause, longest_pause));
}

} // namespace

std::string_view to_string(retention_action action)
{
    switch (action)
    {
    case retention_action::keep:
        return "keep";
    case retention_action::move:
        return "move";
    case retention_action::drop:
        return "drop";
    }
    return "drop";
}

std::string_view to_string(retention_reason reason)
{
    switch (reason)
    {
    case retention_reason::expected_return:
        return "expected_return";
    case retention_reason::unknown_tool:
        return "unknown_tool";
    case retention_reason::memory_pressure:
        return "memory_pressure";
    case retention_reason::target_leaving:
        return "target_leaving";
    case retention_reason::not_worth_holding:
        return "not_worth_holding";
    case retention_reason::program_ended:
        return "program_ended";
    }
    return "not_worth_holding";
}

class pause_statistics::implementation
{
public:
    struct tool_pauses
    {
        pause_histogram counts = make_pauses();
        double total = 0.0;
    };

    void add(std::string_view tool, double seconds)
    {
        auto& pauses = tools_[std::string(tool)];
        pauses.counts(seconds);
        pauses.total += 1.0;
        if (pauses.total < most_samples)
            return;
        pauses.counts *= 0.5;
        pauses.total *= 0.5;
    }

    tool_pauses const* find(std::string_view tool) const
    {
        auto found = tools_.find(std::string(tool));
        return found == tools_.end() ? nullptr : &found->second;
    }

private:
    std::unordered_map<std::string, tool_pauses> tools_;
};

pause_statistics::pause_statistics() : impl_(std::make_unique<implementation>())
{
}

pause_statistics::~pause_statistics() = default;

void pause_statistics::observe(std::string_view tool, duration pause)
{
    impl_->add(tool, seconds_of(pause));
}

void pause_statistics::observe_lost(std::string_view tool)
{
    impl_->add(tool, 2 * longest_pause);
}

double pause_statistics::samples(std::string_view tool) const
{
    auto const* pauses = impl_->find(tool);
    return pauses ? pauses->total : 0.0;
}

double pause_statistics::longer_than(std::string_view tool, duration time) const
{
    auto const* pauses = impl_->find(tool);
    if (!pauses || pauses->total <= 0.0)
        return 1.0;
    auto const& axis = pauses->counts.axis();
    int bin = axis.index(seconds_of(time));
    double longer = 0.0;
    for (int i = bin + 1; i <= axis.size(); ++i)
        longer += pauses->counts.at(i);
    return longer / pauses->total;
}

duration pause_statistics::quantile(std::string_view tool, double p) const
{
    auto const* pauses = impl_->find(tool);
    if (!pauses || pauses->total <= 0.0)
        return duration_of(longest_pause);
    auto const& axis = pauses->counts.axis();
    double below = 0.0;
    for (int i = -1; i < axis.size(); ++i)
    {
        below += pauses->counts.at(i);
        if (below >= p * pauses->total)
            return duration_of(axis.value(i + 1));
    }
    return duration_of(longest_pause);
}

retention::retention(pause_statistics const& pauses, retention_options options)
    : pauses_(pauses), options_(options)
{
}

double retention::price(retention_request const& request, double pressure) const
{
    double capacity = request.cache_capacity > 0
                          ? static_cast<double>(request.cache_capacity)
                          : usual_capacity;
    double part = request.cached_tokens / capacity;
    double above =
        (pressure - options_.pressure_from) / (1.0 - options_.pressure_from);
    double scarcity = std::clamp(above, 0.0, 1.0);
    double whole = options_.idle_price +
                   scarcity * (options_.full_price - options_.idle_price);
    return request.waste_weight * part * whole;
}

double retention::prefill_cost(retention_request const& request) const
{
    return request.latency_weight * request.cached_tokens *
           options_.prefill_seconds;
}

retention_decision
retention::hold_for(double seconds, double cost, retention_reason reason) const
{
    retention_decision decision;
    decision.cost = cost;
    decision.hold = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(seconds));
    decision.hold = std::min(decision.hold, options_.longest_hold);
    bool keep = decision.hold.count() > 0;
    decision.action = keep ? retention_action::keep : retention_action::drop;
    decision.reason = keep ? reason : retention_reason::not_worth_holding;
    return decision;
}

retention_decision
retention::best_hold(retention_request const& request, double pressure) const
{
    auto const& pauses = *pauses_.impl_->find(request.tool);
    auto const& axis = pauses.counts.axis();
    double rate = price(request, pressure);
    double prefill = prefill_cost(request);
    double longest =
        std::chrono::duration<double>(options_.longest_hold).count();
    double best_seconds = 0.0;
    double best_cost = prefill;
    double held = 0.0;
    double longer = 1.0;
    double from = 0.0;
    for (int bin = -1; bin < axis.size(); ++bin)
    {
        double to = axis.value(bin + 1);
        if (to > longest)
            break;
        double inside = pauses.counts.at(bin) / pauses.total;
        longer = std::max(0.0, longer - inside);
        // Pauses that end within the step last half of it on average.
        held += (to - from) * (longer + 0.5 * inside);
        from = to;
        double cost = rate * held + longer * prefill;
        if (cost >= best_cost)
            continue;
        best_cost = cost;
        best_seconds = to;
    }
    return hold_for(best_seconds, best_cost, retention_reason::expected_return);
}

retention_decision
retention::break_even(retention_request const& request, double pressure) const
{
    double rate = price(request, pressure);
    double prefill = prefill_cost(request);
    if (rate <= 0.0)
        return hold_for(1e6, 0.0, retention_reason::unknown_tool);
    return hold_for(prefill / rate, prefill, retention_reason::unknown_tool);
}

retention_decision
retention::held_at(retention_request const& request, double pressure) const
{
    if (pauses_.samples(request.tool) < options_.least_samples)
        return break_even(request, pressure);
    return best_hold(request, pressure);
}

retention_decision retention::moved(retention_request const& request) const
{
    auto decision = held_at(request, request.other_pressure);
    decision.cost += request.cached_tokens * options_.move_seconds;
    if (decision.action == retention_action::keep)
        decision.action = retention_action::move;
    decision.reason = request.target_leaving
                          ? retention_reason::target_leaving
                          : retention_reason::memory_pressure;
    return decision;
}

retention_decision retention::decide(retention_request const& request) const
{
    retention_decision dropped;
    dropped.cost = prefill_cost(request);
    if (request.program_ended)
    {
        dropped.cost = 0.0;
        dropped.reason = retention_reason::program_ended;
        return dropped;
    }
    if (request.target_leaving)
        dropped.reason = retention_reason::target_leaving;
    auto kept = request.target_leaving
                    ? dropped
                    : held_at(request, request.memory_pressure);
    bool may_move = !request.other.empty() &&
                    (request.target_leaving ||
                     (request.memory_pressure >= options_.move_from &&
                      request.other_pressure < options_.pressure_from));
    if (!may_move)
        return kept;
    auto elsewhere = moved(request);
    bool better = elsewhere.action == retention_action::move &&
                  elsewhere.cost < kept.cost;
    return better ? elsewhere : kept;
}

} // namespace walnutmill

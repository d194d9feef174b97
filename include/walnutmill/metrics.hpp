#ifndef WALNUTMILL_METRICS_HPP
#define WALNUTMILL_METRICS_HPP

/// \file
/// Counters, gauges and Boost.Accumulators quantiles with a Prometheus text
/// form.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace walnutmill
{

/// The metrics of one process. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// Adds to a counter, for example "walnutmill_calls_total". Labels may
    /// follow the name in braces, already formatted.
    void count(std::string_view name, std::uint64_t by = 1);
    void gauge(std::string_view name, double value);
    /// Adds a sample to a summary with quantiles 0.5, 0.95 and 0.99.
    void observe(std::string_view name, double value);
    /// \return a counter's value; zero when it was never counted.
    std::uint64_t counter(std::string_view name) const;
    /// \return all of it in Prometheus' text exposition format.
    std::string prometheus_text() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace walnutmill

#endif

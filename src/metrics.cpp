#include <walnutmill/metrics.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

namespace walnutmill
{
namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{{0.5, 0.95, 0.99}};
constexpr std::array<char const*, 3> quantile_labels{{"0.5", "0.95", "0.99"}};
/// The P-square estimate is meaningless until all its markers (two for each
/// quantile and three) are placed; until well past that the quantiles are
/// taken from the samples themselves.
constexpr std::size_t exact_samples = 64;

using estimator = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

class summary
{
public:
    void add(double value)
    {
        estimate_(value);
        if (first_.size() < exact_samples)
            first_.push_back(value);
    }
    std::size_t count() const { return acc::count(estimate_); }
    double sum() const { return acc::sum(estimate_); }
    double quantile(std::size_t index) const
    {
        if (count() > first_.size())
            return acc::extended_p_square(estimate_)[index];
        auto sorted = first_;
        std::sort(sorted.begin(), sorted.end());
        double const rank =
            std::ceil(quantiles.at(index) * static_cast<double>(sorted.size()));
        return sorted.at(static_cast<std::size_t>(rank) - 1);
    }

private:
    estimator estimate_{acc::extended_p_square_probabilities = quantiles};
    std::vector<double> first_;
};

/// A metric's name apart from its labels, so that one family's lines stay
/// together however its labels sort.
struct metric_key
{
    std::string family;
    std::string labels;

    friend bool operator<(metric_key const& a, metric_key const& b)
    {
        return std::tie(a.family, a.labels) < std::tie(b.family, b.labels);
    }
};

metric_key split_name(std::string_view name)
{
    auto const brace = name.find('{');
    if (brace == std::string_view::npos)
        return {std::string(name), ""};
    auto labels = name.substr(brace + 1);
    if (!labels.empty() && labels.back() == '}')
        labels.remove_suffix(1);
    return {std::string(name.substr(0, brace)), std::string(labels)};
}

std::string in_braces(std::string const& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

std::string with_quantile(std::string const& labels, char const* quantile)
{
    auto const own = std::string("quantile=\"") + quantile + "\"";
    return in_braces(labels.empty() ? own : labels + "," + own);
}

/// Writes the TYPE line where a family begins.
class family_writer
{
public:
    family_writer(std::ostream& out, char const* type) : out_(out), type_(type)
    {
    }
    void begin(std::string const& family)
    {
        if (family == last_)
            return;
        last_ = family;
        out_ << "# TYPE " << family << ' ' << type_ << '\n';
    }

private:
    std::ostream& out_;
    char const* type_;
    std::string last_;
};

template<class Value>
void write_plain(
    std::ostream& out, char const* type,
    std::map<metric_key, Value> const& values)
{
    family_writer families(out, type);
    for (auto const& [key, value] : values)
    {
        families.begin(key.family);
        out << key.family << in_braces(key.labels) << ' ' << value << '\n';
    }
}

void write_summary(
    std::ostream& out, metric_key const& key, summary const& value)
{
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        out << key.family << with_quantile(key.labels, quantile_labels.at(i))
            << ' ' << value.quantile(i) << '\n';
    auto const labels = in_braces(key.labels);
    out << key.family << "_sum" << labels << ' ' << value.sum() << '\n';
    out << key.family << "_count" << labels << ' ' << value.count() << '\n';
}

} // namespace

class metrics::implementation
{
public:
    mutable std::mutex mutex_;
    std::map<metric_key, std::uint64_t> counters_;
    std::map<metric_key, double> gauges_;
    std::map<metric_key, summary> summaries_;
};

metrics::metrics() : impl_(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

void metrics::count(std::string_view name, std::uint64_t by)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->counters_[split_name(name)] += by;
}

void metrics::gauge(std::string_view name, double value)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->gauges_[split_name(name)] = value;
}

void metrics::observe(std::string_view name, double value)
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    impl_->summaries_[split_name(name)].add(value);
}

std::uint64_t metrics::counter(std::string_view name) const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    auto const at = impl_->counters_.find(split_name(name));
    return at == impl_->counters_.end() ? 0 : at->second;
}

std::string metrics::prometheus_text() const
{
    std::lock_guard<std::mutex> lock(impl_->mutex_);
    std::ostringstream out;
    out.precision(12);
    write_plain(out, "counter", impl_->counters_);
    write_plain(out, "gauge", impl_->gauges_);
    family_writer families(out, "summary");
    for (auto const& [key, value] : impl_->summaries_)
    {
        families.begin(key.family);
        write_summary(out, key, value);
    }
    return out.str();
}

} // namespace walnutmill

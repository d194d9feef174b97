#include <walnutmill/metrics.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using walnutmill::metrics;

namespace
{

bool has_line(std::string const& text, std::string const& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

double value_of(std::string const& text, std::string const& name)
{
    auto const at = ("\n" + text).find("\n" + name + " ");
    REQUIRE(at != std::string::npos);
    return std::stod(text.substr(at + name.size() + 1));
}

} // namespace

TEST_CASE("metrics, counters with labels, one type line each", "[metrics]")
{
    metrics all;
    all.count("calls_total{service=\"a\"}");
    all.count("calls_total{service=\"b\"}", 4);
    all.count("calls_total_more");
    all.gauge("queued", 2.5);
    auto const text = all.prometheus_text();
    CHECK(has_line(text, "# TYPE calls_total counter"));
    CHECK(has_line(text, "calls_total{service=\"b\"} 4"));
    CHECK(has_line(text, "queued 2.5"));
    CHECK(
        text.find("# TYPE calls_total counter") ==
        text.rfind("# TYPE calls_total counter"));
    CHECK(all.counter("calls_total{service=\"b\"}") == 4);
    CHECK(all.counter("never") == 0);
}

TEST_CASE("metrics, few samples, quantiles are exact", "[metrics]")
{
    metrics all;
    for (double value : {5.0, 1.0, 3.0})
        all.observe("seconds{s=\"x\"}", value);
    auto const text = all.prometheus_text();
    CHECK(has_line(text, "# TYPE seconds summary"));
    CHECK(has_line(text, "seconds{s=\"x\",quantile=\"0.5\"} 3"));
    CHECK(has_line(text, "seconds{s=\"x\",quantile=\"0.99\"} 5"));
    CHECK(has_line(text, "seconds_sum{s=\"x\"} 9"));
    CHECK(has_line(text, "seconds_count{s=\"x\"} 3"));
}

TEST_CASE("metrics, many samples, quantiles are close", "[metrics]")
{
    metrics all;
    // 7919 is prime: all of 0 to 9999 come up once, in mixed order.
    for (int i = 0; i < 10'000; ++i)
        all.observe("n", static_cast<double>(i * 7'919 % 10'000));
    auto const text = all.prometheus_text();
    CHECK(value_of(text, "n{quantile=\"0.5\"}") == Approx(5'000).margin(100));
    CHECK(value_of(text, "n{quantile=\"0.99\"}") == Approx(9'900).margin(100));
}

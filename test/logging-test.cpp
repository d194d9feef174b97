#include <walnutmill/logging.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace walnutmill;

namespace
{

/// Catches what goes to standard error.
class captured_errors
{
public:
    captured_errors() : before_(std::cerr.rdbuf(text_.rdbuf())) {}
    ~captured_errors() { std::cerr.rdbuf(before_); }
    captured_errors(captured_errors const&) = delete;
    captured_errors& operator=(captured_errors const&) = delete;
    std::string text() const { return text_.str(); }

private:
    std::ostringstream text_;
    std::streambuf* before_;
};

} // namespace

TEST_CASE("log, any bytes in a message, is one line of JSON", "[logging]")
{
    captured_errors errors;
    init_logging(severity::info, "n1");
    write_log(severity::debug, "test", "not shown");
    write_log(
        severity::warning, "test", "two\nlines \xff",
        {{"program", "p\"1"}, {"node", "forged"}});
    auto const text = errors.text();
    REQUIRE(std::count(text.begin(), text.end(), '\n') == 1);
    auto const line = nlohmann::json::parse(text);
    CHECK(line["severity"] == "warning");
    CHECK(line["component"] == "test");
    CHECK(line["node"] == "n1");
    CHECK(line["program"] == "p\"1");
    CHECK(line["time"].get<std::string>().size() == 24);
}

#include <walnutmill/settings.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace walnutmill;

namespace
{

std::vector<std::string> const sound_environment{
    "WALNUTMILL_NODE=n1",
    "WALNUTMILL_ZONE=bern-hall",
    "WALNUTMILL_TABLE_URL=http://127.0.0.1:7001",
    "WALNUTMILL_OBJECT_URL=http://127.0.0.1:7002",
    "WALNUTMILL_PEER_KEY=0123456789abcdef",
    "HOME=/root"};

bool has_finding(parsed_settings const& parsed, std::string const& place)
{
    auto const& items = parsed.problems.items();
    return std::any_of(
        items.begin(), items.end(),
        [&](finding const& one) { return one.place == place; });
}

setting_line line_of(parsed_settings const& parsed, std::string const& name)
{
    for (auto const& one : parsed.lines)
        if (one.name == name)
            return one;
    return {};
}

} // namespace

TEST_CASE("settings, flag and variable given, flag goes first", "[settings]")
{
    auto environment = sound_environment;
    environment.push_back("WALNUTMILL_LEASE_MS=9000");
    environment.push_back("WALNUTMILL_SHARDS=64");
    auto const parsed = parse_serve_settings(
        {"--lease-ms", "4000", "--http-port=8999", "--print-settings"},
        environment);
    CHECK(parsed.problems.empty());
    CHECK(parsed.value.lease == std::chrono::milliseconds(4'000));
    CHECK(parsed.value.shards == 64);
    CHECK(parsed.value.http_port == 8999);
    CHECK(parsed.value.print_settings);
    CHECK(line_of(parsed, "lease-ms").origin == setting_origin::flag);
    CHECK(line_of(parsed, "shards").origin == setting_origin::environment);
    CHECK(line_of(parsed, "http-threads").origin == setting_origin::built_in);
    CHECK(line_of(parsed, "peer-key").value == "(hidden)");
}

TEST_CASE("settings, address that nobody could reach, is found", "[settings]")
{
    // The HTTP library does not tell which free port it took.
    auto const free_port =
        parse_serve_settings({"--http-port=0"}, sound_environment);
    CHECK_FALSE(free_port.problems.empty());
    for (std::string const text : {"10.0.0.1", "host:80", "10.0.0.1:0"})
    {
        auto const parsed =
            parse_serve_settings({"--peer-advertise", text}, sound_environment);
        CHECK_FALSE(parsed.problems.empty());
    }
    auto const sound = parse_serve_settings(
        {"--peer-advertise", "10.0.0.1:8081"}, sound_environment);
    CHECK(sound.problems.empty());
}

TEST_CASE("settings, many faults, all are found with their place", "[settings]")
{
    auto const parsed = parse_serve_settings(
        {"--lease-ms", "soon", "--nodes", "x", "--shards=0", "--http-address",
         "localhost", "--zone", "a b", "--gossip-interval-ms", "--http-port",
         "70000", "--log-level=loud", "--flush-interval-ms", "20",
         "--flush-interval-ms", "30", "stray"},
        {"WALNUTMILL_COLOUR=red", "WALNUTMILL_PEER_KEY=short"});
    for (auto const* place :
         {"--lease-ms", "--nodes", "--shards", "--http-address", "--zone",
          "--gossip-interval-ms", "--http-port", "--log-level",
          "--flush-interval-ms", "stray", "WALNUTMILL_COLOUR",
          "WALNUTMILL_PEER_KEY", "--node", "--table-url", "--object-url"})
    {
        INFO(place);
        CHECK(has_finding(parsed, place));
    }
}

TEST_CASE("settings, port zero, is any free one for peers only", "[settings]")
{
    auto const parsed = parse_serve_settings(
        {"--http-port=0", "--peer-port=0"}, sound_environment);
    CHECK(has_finding(parsed, "--http-port"));
    CHECK_FALSE(has_finding(parsed, "--peer-port"));
    CHECK(parsed.value.peer_port == 0);
}

TEST_CASE("settings, abbreviated flag, is unknown", "[settings]")
{
    auto const parsed =
        parse_serve_settings({"--lease", "4000"}, sound_environment);
    CHECK(has_finding(parsed, "--lease"));
    CHECK(parsed.value.lease == serve_settings().lease);
}

TEST_CASE("settings, lease shorter than gossip, is a finding", "[settings]")
{
    auto const parsed = parse_serve_settings(
        {"--lease-ms=1000", "--gossip-interval-ms=500"}, sound_environment);
    CHECK(has_finding(parsed, "--lease-ms"));
}

TEST_CASE("settings, help asked, is told and names every flag", "[settings]")
{
    CHECK(parse_serve_settings({"--help"}, {}).help);
    auto const text = serve_help();
    CHECK(text.find("--stop-limit-ms") != std::string::npos);
    CHECK(text.find("--peer-key") != std::string::npos);
}

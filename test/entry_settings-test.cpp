#include "entry/entry_settings.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{

using namespace walnutmill;

struct entry_settings_fixture
{
    std::vector<std::string> flags{
        "--node=n1",
        "--domain=z1",
        "--listen-callers=10.0.0.1:1",
        "--listen-ready=10.0.0.1:2",
        "--listen-peers=10.0.0.1:3",
        "--store=10.0.0.9:1"};
    findings problems;

    bool has_finding(std::string const& place) const
    {
        auto const& items = problems.items();
        return std::any_of(
            items.begin(), items.end(),
            [&](finding const& one) { return one.place == place; });
    }
};

} // namespace

TEST_CASE_METHOD(
    entry_settings_fixture, "entry settings: valid settings are accepted")
{
    auto const got = read_entry_settings(flags, {}, problems);
    CHECK(problems.empty());
    CHECK(got.node == "n1");
    CHECK(got.stop_grace == std::chrono::seconds(8));
}

TEST_CASE_METHOD(
    entry_settings_fixture,
    "entry settings: all invalid settings are reported together")
{
    flags = {"--listen-callers=nonsense", "--stop-grace-s=0", "--memory-mb=1"};
    read_entry_settings(flags, {}, problems);
    for (auto const* place :
         {"node", "domain", "listen-callers", "listen-ready", "listen-peers",
          "store", "stop-grace-s", "memory-mb"})
        CHECK(has_finding(place));
}

TEST_CASE_METHOD(
    entry_settings_fixture,
    "entry settings: flags override the environment, which overrides the file")
{
    std::string const path = std::string("/tmp/walnutmill-settings-") +
                             std::to_string(::getpid()) + ".conf";
    std::ofstream(path) << "node = from-file\ndomain = file-domain\n"
                           "store = 10.0.0.7:7\nunknown = 1\n";
    flags.erase(flags.begin() + 1); // no domain
    auto const got = read_entry_settings(
        flags,
        {"WALNUTMILL_NODE_FILE=" + path, "WALNUTMILL_STORE=10.0.0.8:8",
         "WALNUTMILL_NODE=from-environment", "HOME=/"},
        problems);
    std::remove(path.c_str());
    CHECK(problems.empty());
    CHECK(got.node == "n1");
    CHECK(got.domain == "file-domain");
    CHECK(got.store == "10.0.0.9:1");
}

TEST_CASE_METHOD(
    entry_settings_fixture, "entry settings: an unreadable file is a finding")
{
    flags.push_back("--settings-file=/nonexistent");
    read_entry_settings(flags, {}, problems);
    CHECK(has_finding("settings-file"));
}

TEST_CASE_METHOD(
    entry_settings_fixture,
    "entry settings: workspace shares follow the rules in force")
{
    CHECK_FALSE(read_entry_settings(flags, {}, problems).workspace_shares);
    flags.push_back("--rules-in-force=kept,keys");
    CHECK_FALSE(read_entry_settings(flags, {}, problems).workspace_shares);
    flags.back() = "--rules-in-force=kept,pressure,keys";
    CHECK(read_entry_settings(flags, {}, problems).workspace_shares);
    CHECK(problems.empty());
}

TEST_CASE_METHOD(
    entry_settings_fixture,
    "entry settings: a stated choice of workspace shares overrides the rules")
{
    flags.push_back("--rules-in-force=pressure");
    flags.push_back("--workspace-shares=false");
    CHECK_FALSE(read_entry_settings(flags, {}, problems).workspace_shares);
    flags.pop_back();
    flags.back() = "--workspace-shares=true";
    CHECK(read_entry_settings(flags, {}, problems).workspace_shares);
    CHECK(problems.empty());
    flags.back() = "--workspace-shares=perhaps";
    read_entry_settings(flags, {}, problems);
    CHECK(has_finding("settings"));
}

TEST_CASE("entry settings: the configuration page lists each setting")
{
    std::ifstream page(
        std::string(WALNUTMILL_SOURCE_DIR) + "/docs/CONFIGURATION.md");
    std::string const text{
        std::istreambuf_iterator<char>(page), std::istreambuf_iterator<char>()};
    for (auto const& one : list_entry_settings())
    {
        INFO(one.name);
        CHECK(text.find("`" + one.name + "`") != std::string::npos);
        CHECK(text.find(one.variable) != std::string::npos);
    }
}

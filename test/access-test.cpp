#include "access.hpp"
#include "sha256.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;

namespace
{

configuration with_token(right allowed)
{
    configuration config;
    config.version = 1;
    workspace_config workspace;
    workspace.name = workspace_name("bern");
    workspace.tokens.push_back({sha256_hex("good"), "desk", {allowed}});
    config.workspaces.push_back(workspace);
    return config;
}

} // namespace

TEST_CASE("token, known, stands for its principal and rights", "[access]")
{
    auto const who = authorize(with_token(right::call), "good");
    REQUIRE(who);
    CHECK(who.value().name == "desk");
    CHECK(who.value().workspace == workspace_name("bern"));
    CHECK(who.value().may_call);
    CHECK_FALSE(who.value().may_operate);
}

TEST_CASE("token, unknown, is unauthorized", "[access]")
{
    auto const who = authorize(with_token(right::call), "bad");
    REQUIRE_FALSE(who);
    CHECK(who.error().code == errc::unauthorized);
}

TEST_CASE("token, before any configuration was read, may come back", "[access]")
{
    auto const who = authorize(configuration(), "good");
    REQUIRE_FALSE(who);
    CHECK(who.error().code == errc::unavailable);
    CHECK(who.error().retry_after.count() > 0);
}

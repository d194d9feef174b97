#include <walnutmill/denied_keys.hpp>
#include <walnutmill/workspace_directory.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using std::chrono::seconds;

struct workspace_directory_fixture
{
    workspace_directory all;

    static workspace named(std::string const& name)
    {
        workspace to;
        to.name = workspace_name(name);
        return to;
    }
};

} // namespace

TEST_CASE_METHOD(
    workspace_directory_fixture,
    "workspaces: a key finds only its own workspace")
{
    REQUIRE(
        all.add(named("archive"), {digest_of_key("k1"), digest_of_key("k2")}));
    REQUIRE(all.add(named("library"), {digest_of_key("k3")}));
    CHECK(all.find(digest_of_key("k2"))->name.str() == "archive");
    CHECK(all.find(digest_of_key("k3"))->name.str() == "library");
    CHECK(all.find(digest_of_key("k4")) == nullptr);
    CHECK(all.find(workspace_name("library")) != nullptr);
    CHECK(all.find(workspace_name("k3")) == nullptr);
}

TEST_CASE_METHOD(
    workspace_directory_fixture,
    "workspaces: a key of another workspace is not added")
{
    REQUIRE(all.add(named("archive"), {digest_of_key("k1")}));
    CHECK_FALSE(
        all.add(named("library"), {digest_of_key("k2"), digest_of_key("k1")}));
    CHECK_FALSE(all.add(named("archive"), {digest_of_key("k3")}));
    CHECK(all.size() == 1);
    CHECK(all.find(digest_of_key("k2")) == nullptr);
}

TEST_CASE_METHOD(
    workspace_directory_fixture,
    "workspaces: an empty or overlong key belongs to no workspace")
{
    REQUIRE(all.add(named("archive"), {digest_of_key("")}));
    CHECK(all.find(digest_of_key("")) == nullptr);
    CHECK(all.find(digest_of_key(std::string(100'000, 'k'))) == nullptr);
}

TEST_CASE("workspaces: a digest contains nothing of the key")
{
    CHECK(digest_of_key("secret-key").hex.find("secret") == std::string::npos);
    CHECK(digest_of_key("secret-key").hex.size() == 64);
}

TEST_CASE("workspaces: the same id in two workspaces gives two scoped ids")
{
    workspace_name const x("x");
    workspace_name const long_name("x:1");
    workspace_name const none;
    CHECK(scoped_id(x, "1:t") != scoped_id(long_name, "t"));
    CHECK(scoped_id(x, "t") != scoped_id(none, "1:x:t"));
    CHECK(scoped_id(none, "t") != "t");
    CHECK(is_scoped(scoped_id(x, "t")));
    CHECK(is_scoped(scoped_id(none, "t")));
    CHECK_FALSE(is_scoped("t"));
    CHECK_FALSE(is_scoped(":t"));
    CHECK(
        scoped_id(workspace_name(std::string(200, 'a')), "t") !=
        scoped_id(workspace_name(std::string(199, 'a')), "t"));
    CHECK(scoped_id(workspace_name(std::string(200, 'a')), "t").size() < 60);
}

TEST_CASE("denied keys: entries expire, and the oldest are evicted first")
{
    manual_clock clock;
    denied_keys denied(seconds(5), 2);
    denied.add(digest_of_key("a"), clock.now());
    CHECK(denied.holds(digest_of_key("a"), clock.now()));
    CHECK_FALSE(denied.holds(digest_of_key("b"), clock.now()));
    clock.advance(seconds(1));
    denied.add(digest_of_key("b"), clock.now());
    denied.add(digest_of_key("c"), clock.now());
    CHECK_FALSE(denied.holds(digest_of_key("a"), clock.now()));
    CHECK(denied.holds(digest_of_key("c"), clock.now()));
    clock.advance(seconds(6));
    CHECK_FALSE(denied.holds(digest_of_key("c"), clock.now()));
}

#include "entry/store_paths.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct paths_fixture
{
    manual_clock clock;
    store_paths paths{seeded_random(3)};
};

} // namespace

TEST_CASE_METHOD(paths_fixture, "store paths: the straight way comes first")
{
    paths.set_relays({"a:1", "b:1"});
    CHECK(paths.choose(clock.now()).direct());
}

TEST_CASE_METHOD(
    paths_fixture, "store paths: another node carries calls after a failure")
{
    paths.set_relays({"a:1", "b:1"});
    paths.failed({}, clock.now());
    CHECK_FALSE(paths.choose(clock.now()).direct());
    CHECK_FALSE(paths.direct_works(clock.now()));
}

TEST_CASE_METHOD(
    paths_fixture,
    "store paths: the straight way is tried again after its rest")
{
    paths.set_relays({"a:1"});
    paths.failed({}, clock.now());
    clock.advance(milliseconds(150));
    CHECK(paths.choose(clock.now()).direct());
}

TEST_CASE_METHOD(
    paths_fixture, "store paths: rests grow, but not beyond a second")
{
    for (int i = 0; i < 10; ++i)
    {
        paths.failed({}, clock.now());
        clock.advance(milliseconds(1'000));
        CHECK(paths.direct_works(clock.now()));
    }
}

TEST_CASE_METHOD(
    paths_fixture, "store paths: a node that failed is passed over")
{
    paths.set_relays({"a:1", "b:1"});
    paths.failed({}, clock.now());
    paths.failed({"a:1"}, clock.now());
    for (int i = 0; i < 20; ++i)
        CHECK(paths.choose(clock.now()).relay != "a:1");
}

TEST_CASE_METHOD(
    paths_fixture,
    "store paths: without any way left the straight one is taken")
{
    paths.set_relays({"a:1"});
    paths.failed({}, clock.now());
    paths.failed({"a:1"}, clock.now());
    CHECK(paths.choose(clock.now()).direct());
}

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

TEST_CASE_METHOD(paths_fixture, "store paths: the direct path is preferred")
{
    paths.set_relays({"a:1", "b:1"});
    CHECK(paths.choose(clock.now()).direct());
}

TEST_CASE_METHOD(
    paths_fixture, "store paths: another node relays calls after a failure")
{
    paths.set_relays({"a:1", "b:1"});
    paths.failed({}, clock.now());
    CHECK_FALSE(paths.choose(clock.now()).direct());
    CHECK_FALSE(paths.direct_available(clock.now()));
}

TEST_CASE_METHOD(
    paths_fixture, "store paths: the direct path is retried after its backoff")
{
    paths.set_relays({"a:1"});
    paths.failed({}, clock.now());
    clock.advance(milliseconds(150));
    CHECK(paths.choose(clock.now()).direct());
}

TEST_CASE_METHOD(
    paths_fixture, "store paths: backoff grows to at most a second")
{
    for (int i = 0; i < 10; ++i)
    {
        paths.failed({}, clock.now());
        clock.advance(milliseconds(1'000));
        CHECK(paths.direct_available(clock.now()));
    }
}

TEST_CASE_METHOD(paths_fixture, "store paths: a relay that failed is skipped")
{
    paths.set_relays({"a:1", "b:1"});
    paths.failed({}, clock.now());
    paths.failed({"a:1"}, clock.now());
    for (int i = 0; i < 20; ++i)
        CHECK(paths.choose(clock.now()).relay != "a:1");
}

TEST_CASE_METHOD(paths_fixture, "store paths: the direct path is the fallback")
{
    paths.set_relays({"a:1"});
    paths.failed({}, clock.now());
    paths.failed({"a:1"}, clock.now());
    CHECK(paths.choose(clock.now()).direct());
}

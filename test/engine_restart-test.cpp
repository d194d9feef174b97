#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t first_start = 1'700'000'000'000;
constexpr std::int64_t second_start = first_start + 9'000;

/// One plain service, which does not answer while `silent` is set.
struct engine_restart_fixture : entry_world
{
    std::atomic<bool> silent{true};

    engine_restart_fixture()
    {
        store.remove("servers", "db");
        service_a.set_handler([this](link_ptr const&, http_request const&)
                              { return silent.load(); });
    }
};

} // namespace

TEST_CASE_METHOD(
    engine_restart_fixture,
    "engine restart: a call that may run again moves to the new incarnation")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(post("/safe/x", "r1"));
    REQUIRE(eventually([this] { return service_a.calls().size() == 1; }));
    silent = false;
    register_engine(service_a, "desk", second_start);
    auto const got = caller.receive();
    CHECK(got.status == 200);
    CHECK(service_a.calls().size() == 2);
}

TEST_CASE_METHOD(
    engine_restart_fixture, "engine restart: an order in flight is not resent "
                            "and not reported as not run")
{
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(post("/orders/x", "r1"));
    REQUIRE(eventually([this] { return service_a.calls().size() == 1; }));
    silent = false;
    register_engine(service_a, "desk", second_start);
    auto const got = caller.receive();
    CHECK(got.status == 502);
    CHECK(service_a.calls().size() == 1);
}

TEST_CASE_METHOD(
    engine_restart_fixture,
    "engine restart: a late heartbeat of the former incarnation ends nothing")
{
    register_engine(service_a, "desk", second_start);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(post("/orders/x", "r1"));
    REQUIRE(eventually([this] { return service_a.calls().size() == 1; }));
    register_engine(service_a, "desk", first_start);
    std::this_thread::sleep_for(milliseconds(1'200));
    // The node still waits for the call, because its engine is alive.
    CHECK(service_a.cancelled_calls() == 0);
    test_caller other(node.settings.listen_callers);
    silent = false;
    CHECK(other.call(post("/safe/x", "r2")).status == 200);
}

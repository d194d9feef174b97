/// \file
/// Entry nodes that lose the store must not deny a call that a newer
/// configuration may allow.

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using nlohmann::json;
using std::chrono::milliseconds;

struct denied_calls_fixture : entry_world
{
    int calls_made = 0;

    void require_keys()
    {
        auto document = configuration();
        document["tenants"] = {
            {{"name", "archive"}, {"api_keys", {"key-of-archive"}}}};
        document["version"] = document["version"].get<int>() + 2;
        store.put("op", "config", document);
    }

    caller_answer
    call(node const& at, std::string const& path, std::string const& extra = {})
    {
        test_caller caller(at.settings.listen_callers);
        return caller.call(
            post(path, "r" + std::to_string(++calls_made), extra));
    }

    /// Repeats a call until it has the wanted status. \return the last answer
    caller_answer call_until(
        int wanted, node const& at, std::string const& path,
        std::string const& extra = {})
    {
        caller_answer last;
        eventually(
            [&]
            {
                if (last.status != wanted)
                    last = call(at, path, extra);
                return last.status == wanted;
            });
        return last;
    }
};

} // namespace

TEST_CASE_METHOD(
    denied_calls_fixture,
    "denied calls: an overdue configuration does not deny a route")
{
    auto& node = start_node();
    REQUIRE(call(node, "/added/x").status == 404);
    store.set_down(true);
    auto const refused = call_until(503, node, "/added/x");
    REQUIRE(refused.status == 503);
    CHECK(std::stod(refused.headers.at("Retry-After")) > 0);
    // Known routes are still served.
    CHECK(call(node, "/orders/x").status == 200);
    store.set_down(false);
    CHECK(call_until(404, node, "/added/x").status == 404);
}

TEST_CASE_METHOD(
    denied_calls_fixture,
    "denied calls: an overdue configuration does not deny a key")
{
    require_keys();
    auto& node = start_node();
    std::string const added = "X-Api-Key: key-that-was-added\r\n";
    REQUIRE(call(node, "/orders/x", added).status == 401);
    REQUIRE(call(node, "/orders/x").status == 401);
    store.set_down(true);
    CHECK(call_until(503, node, "/orders/x", added).status == 503);
    CHECK(call_until(503, node, "/orders/x").status == 503);
    store.set_down(false);
    CHECK(call_until(401, node, "/orders/x", added).status == 401);
    CHECK(call_until(401, node, "/orders/x").status == 401);
}

TEST_CASE_METHOD(
    denied_calls_fixture,
    "denied calls: an unknown key is not held until the deadline")
{
    require_keys();
    auto& node = start_node();
    REQUIRE(call(node, "/orders/x").status == 401);
    store.set_down(true);
    // Once the configuration is overdue, its key is never confirmed in time.
    REQUIRE(call_until(503, node, "/orders/x").status == 503);
    auto const got =
        call(node, "/orders/x", "X-Api-Key: key-that-was-added\r\n");
    CHECK(got.status == 503);
    CHECK(
        got.body.find("the configuration is too old to deny the call") !=
        std::string::npos);
}

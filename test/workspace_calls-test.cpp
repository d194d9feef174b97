/// \file
/// Tests entry nodes whose configuration has workspaces, on the loopback
/// interface.

#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string const key_a = "X-Api-Key: key-of-archive\r\n";
std::string const key_b = "X-Api-Key: key-of-library\r\n";

struct workspace_calls_fixture : entry_world
{
    json document = configuration();

    workspace_calls_fixture()
    {
        document["tenants"] = {
            {{"name", "archive"}, {"api_keys", {"key-of-archive"}}},
            {{"name", "library"}, {"api_keys", {"key-of-library"}}}};
        publish();
    }

    void publish()
    {
        document["version"] = document["version"].get<int>() + 2;
        store.put("op", "config", document);
    }

    std::vector<received_call> service_calls() const
    {
        auto calls = service_a.calls();
        auto const others = service_b.calls();
        calls.insert(calls.end(), others.begin(), others.end());
        return calls;
    }

    int status_of(node const& at, std::string const& bytes) const
    {
        test_caller caller(at.settings.listen_callers);
        return caller.call(bytes).status;
    }

    /// Repeats a call until it has the wanted status. \return the last status
    int wait_for_status(
        node const& at, std::string const& id, std::string const& key,
        int wanted) const
    {
        int last = 0;
        int tries = 0;
        eventually(
            [&]
            {
                if (last != wanted)
                    last = status_of(
                        at,
                        post("/orders/x", id + std::to_string(++tries), key));
                return last == wanted;
            });
        return last;
    }

    node& start_bounded(milliseconds revoke_within)
    {
        revoke = revoke_within;
        return start_node();
    }
};

} // namespace

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: a key gives access, and engines get the name alone")
{
    auto& node = start_node();
    REQUIRE(
        status_of(
            node, post("/orders/x", "r1", key_a + "Tenant: forged\r\n")) ==
        200);
    REQUIRE(service_calls().size() == 1);
    auto const headers = service_calls().front().headers;
    CHECK(headers.at("Tenant") == "archive");
    CHECK(headers.count("X-Api-Key") == 0);
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: without a key, or with a wrong one, nothing runs")
{
    auto& node = start_node();
    CHECK(status_of(node, post("/orders/x", "r1")) == 401);
    CHECK(
        status_of(node, post("/orders/x", "r2", "X-Api-Key: guessed\r\n")) ==
        401);
    CHECK(status_of(node, post("/orders/x", "r3", key_a + key_b)) == 400);
    CHECK(service_calls().empty());
}

TEST_CASE_METHOD(
    workspace_calls_fixture, "workspaces: an open route needs no key")
{
    for (auto& route : document["routes"])
        route["public"] = true;
    publish();
    auto& node = start_node();
    CHECK(status_of(node, post("/orders/x", "r1")) == 200);
    CHECK(
        status_of(node, post("/orders/x", "r2", "X-Api-Key: guessed\r\n")) ==
        200);
    for (auto const& call : service_calls())
    {
        CHECK(call.headers.count("Tenant") == 0);
        CHECK(call.headers.count("X-Api-Key") == 0);
    }
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: a resumed stream carries the name and not the key")
{
    auto& node = start_node();
    std::atomic<int> served{0};
    auto const breaks_once =
        [&served](link_ptr const& link, http_request const& request)
    {
        if (served++ > 0)
            return false;
        link->write(standin_target::stream(
            std::string(request["Request-Id"]), 1, 1, false));
        standin_target::cut(link);
        return true;
    };
    engine_a.set_handler(breaks_once);
    engine_b.set_handler(breaks_once);
    REQUIRE(status_of(node, turn("t1", key_a)) == 200);
    auto calls = engine_a.calls();
    for (auto const& one : engine_b.calls())
        calls.push_back(one);
    REQUIRE(calls.size() == 2);
    for (auto const& call : calls)
    {
        CHECK(call.headers.at("Tenant") == "archive");
        CHECK(call.headers.count("X-Api-Key") == 0);
    }
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: a stream of one is not resumed by another")
{
    register_engine(engine_a, "llm", "1.0");
    register_engine(engine_b, "llm", "1.1");
    for (auto* engine : {&engine_a, &engine_b})
    {
        engine->set_handler(
            [](link_ptr const& link, http_request const& request)
            {
                auto const resumed = !request["Last-Event-Id"].empty();
                link->write(standin_target::stream(
                    std::string(request["Request-Id"]), resumed ? 3 : 1,
                    resumed ? 3 : 2, resumed));
                if (resumed)
                    link->finish_answer();
                return true;
            });
    }
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    caller.send(turn("s1", key_a));
    REQUIRE_THAT(caller.receive_until("piece 2"), Catch::Contains("piece 2"));
    caller.close();
    std::string const resumption = "Resumes: s1\r\nLast-Event-Id: 2\r\n";
    CHECK(status_of(node, turn("s2", key_b + resumption)) == 503);
    CHECK(status_of(node, turn("s3", key_a + resumption)) == 200);
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: a turn of one is unknown to another, on any node")
{
    auto& first = start_node();
    auto& second = start_node();
    REQUIRE(status_of(first, turn("t1", key_a, "/kept/")) == 200);
    auto const previous = std::string("Previous-Turn: t1\r\n");
    for (auto* at : {&first, &second})
    {
        CHECK(status_of(*at, turn("t2", key_b + previous, "/kept/")) == 404);
        CHECK(status_of(*at, turn("t3", key_a + previous, "/kept/")) == 200);
        // The internal id of the other workspace's turn gives no access either.
        CHECK(
            status_of(
                *at, turn(
                         "t4", key_b + "Previous-Turn: 7:archive:t1\r\n",
                         "/kept/")) == 404);
    }
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: a turn stored before keys were needed can be continued")
{
    auto const tenants = document["tenants"];
    document.erase("tenants");
    publish();
    auto& node = start_node();
    REQUIRE(status_of(node, turn("t1", {}, "/kept/")) == 200);
    document["tenants"] = tenants;
    publish();
    REQUIRE(eventually(
        [&] { return status_of(node, post("/orders/x", "r")) == 401; }));
    CHECK(
        status_of(
            node, turn("t2", key_a + "Previous-Turn: t1\r\n", "/kept/")) ==
        200);
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: the same program id in two has two budgets")
{
    auto& node = start_node();
    auto const spends_all =
        std::string("Program-Id: p1\r\nToken-Budget: 30\r\nSession-Id: s\r\n");
    CHECK(status_of(node, turn("t1", key_a + spends_all)) == 200);
    CHECK(status_of(node, turn("t2", key_a + spends_all)) == 402);
    CHECK(status_of(node, turn("t3", key_b + spends_all)) == 200);
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: a key that was just added is not denied")
{
    auto& node = start_node();
    document["tenants"][0]["api_keys"].push_back("fresh-key");
    publish();
    CHECK(
        status_of(node, post("/orders/x", "r1", "X-Api-Key: fresh-key\r\n")) ==
        200);
}

TEST_CASE_METHOD(workspace_calls_fixture, "workspaces: a revoked key is denied")
{
    auto& node = start_node();
    CHECK(status_of(node, post("/orders/x", "r1", key_a)) == 200);
    document["tenants"][0]["api_keys"] = json::array();
    publish();
    CHECK(wait_for_status(node, "a", key_a, 401) == 401);
    CHECK(status_of(node, post("/orders/x", "r2", key_b)) == 200);
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: without the store beyond the bound no key is accepted")
{
    auto& node = start_bounded(milliseconds(1'500));
    CHECK(status_of(node, post("/orders/x", "r1", key_a)) == 200);
    store.set_down(true);
    CHECK(wait_for_status(node, "a", key_a, 503) == 503);
    auto const ran = service_calls().size();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/orders/x", "r2", key_a));
    CHECK(got.status == 503);
    CHECK(std::stod(got.headers.at("Retry-After")) > 0);
    CHECK(service_calls().size() == ran);
    store.set_down(false);
    CHECK(wait_for_status(node, "b", key_a, 200) == 200);
}

TEST_CASE_METHOD(
    workspace_calls_fixture,
    "workspaces: a limit holds over all nodes, and 429 has a retry time")
{
    document["tenants"][0]["rate_per_s"] = 2;
    document["tenants"][0]["burst"] = 2;
    publish();
    auto& first = start_node();
    auto& second = start_node();
    // No request is granted before both nodes know each other.
    REQUIRE(wait_for_status(first, "a", key_a, 200) == 200);
    REQUIRE(wait_for_status(second, "b", key_a, 200) == 200);
    auto const began = std::chrono::steady_clock::now();
    auto const before = service_calls().size();
    int over = 0;
    for (int i = 0; i < 60; ++i)
    {
        auto& at = i % 2 == 0 ? first : second;
        test_caller caller(at.settings.listen_callers);
        auto const got =
            caller.call(post("/orders/x", "c" + std::to_string(i), key_a));
        if (got.status != 429)
            continue;
        ++over;
        CHECK(std::stod(got.headers.at("Retry-After")) > 0);
    }
    auto const took =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began);
    // The burst at both nodes plus the tokens refilled meanwhile.
    CHECK(
        static_cast<double>(service_calls().size() - before) <=
        2 * 2 + 2 * took.count() + 1);
    CHECK(over > 0);
    CHECK(status_of(first, post("/orders/x", "r", key_b)) == 200);
}

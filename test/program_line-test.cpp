#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;

/// Two nodes that know each other, in front of two engines.
struct conversation_fixture : entry_world
{
    node& first;
    node& second;

    conversation_fixture() : first(start_node()), second(start_node())
    {
        REQUIRE(both_show("walnutmill_nodes_known 2"));
    }

    bool shows(node const& one, std::string const& metric)
    {
        test_caller metrics(one.settings.listen_metrics);
        return metrics.call(post("/metrics", "m1")).body.find(metric + "\n") !=
               std::string::npos;
    }
    bool both_show(std::string const& metric)
    {
        return eventually(
            [&] { return shows(first, metric) && shows(second, metric); });
    }

    /// Runs a turn of a program whose conversation has the given number of
    /// tokens.
    void run_turn(
        node const& through, std::string const& program, std::string const& id,
        int conversation_tokens)
    {
        auto const tokens = std::to_string(conversation_tokens);
        test_caller caller(through.settings.listen_callers);
        auto const got = caller.call(post(
            "/turns/x", id,
            "Token-Usage: " + tokens + ",30\r\nPrompt-Prefix: ab:50," +
                program + "cd:" + tokens + "\r\nProgram-Id: " + program +
                "\r\nToken-Budget: 9000\r\n"));
        REQUIRE(got.status == 200);
        REQUIRE(got.whole);
    }

    static bool ran_on(standin_target const& engine, std::string const& request)
    {
        for (auto const& call : engine.calls())
        {
            if (call.id == request)
                return true;
        }
        return false;
    }
};

} // namespace

TEST_CASE_METHOD(
    conversation_fixture,
    "program line: a turn through another node runs on the same engine")
{
    // Each engine is removed in turn, so that first turns run on both.
    constexpr int each = 6;
    std::vector<std::string> programs;
    for (auto const* away : {&engine_a, &engine_b})
    {
        store.remove("servers", away->id());
        REQUIRE(both_show("walnutmill_engines_known 3"));
        for (int i = 0; i < each; ++i)
        {
            programs.push_back("a" + std::to_string(100 + programs.size()));
            run_turn(first, programs.back(), programs.back() + "01", 30'000);
        }
        register_engine(*away, "llm");
        REQUIRE(both_show("walnutmill_engines_known 4"));
    }
    for (auto const& program : programs)
    {
        run_turn(second, program, program + "02", 31'000);
        CHECK(
            ran_on(engine_a, program + "01") ==
            ran_on(engine_a, program + "02"));
    }
}

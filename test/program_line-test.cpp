#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;

/// Two nodes that know each other, before two engines.
struct program_line_fixture : entry_world
{
    node& first;
    node& second;

    program_line_fixture() : first(start_node()), second(start_node())
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
        return comes_true(
            [&] { return shows(first, metric) && shows(second, metric); });
    }

    /// Runs a turn of the program whose line has so many tokens by then.
    void run_turn(
        node const& through, std::string const& program, std::string const& id,
        int line_tokens)
    {
        auto const tokens = std::to_string(line_tokens);
        test_caller caller(through.settings.listen_callers);
        auto const got = caller.call(post(
            "/turns/x", id,
            "Token-Usage: " + tokens + ",30\r\nPrompt-Prefix: ab:50," +
                program + "cd:" + tokens + "\r\nProgram-Id: " + program +
                "\r\nToken-Budget: 9000\r\n"));
        REQUIRE(got.status == 200);
        REQUIRE(got.whole);
    }

    static bool
    ran_there(standin_target const& engine, std::string const& request)
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
    program_line_fixture,
    "program line: a turn through another node runs where the last one ran")
{
    // First turns run at one engine, then at the other, as the other is away.
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
            ran_there(engine_a, program + "01") ==
            ran_there(engine_a, program + "02"));
    }
}

#include <walnutmill/admission.hpp>

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct admission_fixture
{
    admission control;
    random_fn random = seeded_random(1);
    time_point now{seconds(100)};
    load_snapshot load;

    admission_fixture()
    {
        load.slots = 16;
        control.observe(load, now);
    }

    admission_decision ask(std::string workspace, double weight = 1.0)
    {
        return control.decide(
            {workspace_name(std::move(workspace)), weight}, now, random);
    }

    /// Asks until refused. \return how many were admitted.
    int fill(std::string const& workspace)
    {
        int admitted = 0;
        while (ask(workspace).admitted)
            ++admitted;
        return admitted;
    }

    void pass(duration time)
    {
        for (auto end = now + time; now < end;)
        {
            now += milliseconds(250);
            control.observe(load, now);
        }
    }
};

} // namespace

TEST_CASE_METHOD(
    admission_fixture, "admission, idle node, admits a program per slot",
    "[admission]")
{
    auto first = ask("w");
    REQUIRE(first.admitted);
    REQUIRE(first.reason == admission_reason::room);
    REQUIRE(first.retry_after.count() == 0);
    REQUIRE(fill("w") == 15);
    REQUIRE(ask("w").reason == admission_reason::limit_reached);
}

TEST_CASE_METHOD(
    admission_fixture,
    "admission, programs pause and nothing waits, limit rises", "[admission]")
{
    for (int i = 0; i < 20; ++i)
    {
        fill("w");
        pass(seconds(1));
    }
    // With nothing waiting every program so far left slots idle.
    REQUIRE(control.programs() > 64);
}

TEST_CASE_METHOD(
    admission_fixture, "admission, calls wait, refuses until they no longer do",
    "[admission]")
{
    for (int i = 0; i < 5; ++i)
    {
        fill("w");
        pass(seconds(1));
    }
    auto before = control.programs();
    load.young_queued_calls = 100;
    pass(seconds(10));
    auto refused = ask("w");
    REQUIRE_FALSE(refused.admitted);
    REQUIRE(refused.reason == admission_reason::limit_reached);
    REQUIRE(control.limit() < before);
    // Two calls a slot may wait, 32 in all.
    load.young_queued_calls = 33;
    pass(seconds(20));
    REQUIRE_FALSE(ask("w").admitted);
    load.young_queued_calls = 30;
    pass(seconds(20));
    REQUIRE(ask("w").admitted);
}

TEST_CASE_METHOD(
    admission_fixture,
    "admission, calls wait at targets, counts them by Little", "[admission]")
{
    fill("w");
    load.call_rate = 40;
    load.mean_wait = seconds(2);
    pass(seconds(10));
    REQUIRE(control.limit() == Approx(16));
    REQUIRE_FALSE(ask("w").admitted);
}

TEST_CASE_METHOD(
    admission_fixture,
    "admission, workspace above its share on a nearly full node, is refused",
    "[admission]")
{
    ask("cold");
    pass(seconds(10));
    // 33 places of which half are the hot workspace's share.
    REQUIRE(fill("hot") == 16);
    REQUIRE(ask("hot").reason == admission_reason::above_share);
    auto cold = ask("cold");
    REQUIRE(cold.admitted);
    REQUIRE(cold.reason == admission_reason::below_share);
}

TEST_CASE_METHOD(
    admission_fixture,
    "admission, hot workspace filled the node, its places go to the others",
    "[admission]")
{
    pass(seconds(10));
    REQUIRE(fill("hot") == 32);
    load.young_queued_calls = 31;
    int cold = 0;
    for (int i = 0; i < 15; ++i)
    {
        pass(seconds(10));
        control.on_ended(workspace_name("hot"));
        pass(seconds(10));
        cold += ask("cold").admitted ? 1 : 0;
        REQUIRE_FALSE(ask("hot").admitted);
    }
    REQUIRE(cold >= 14);
}

TEST_CASE_METHOD(
    admission_fixture,
    "admission, many refused, returns are spread at the rate of free places",
    "[admission]")
{
    load.program_end_rate = 10.0;
    pass(seconds(20));
    fill("w");
    std::vector<double> returns;
    returns.reserve(200);
    for (int i = 0; i < 200; ++i)
        returns.push_back(ask("w").retry_after.count() / 1000.0);
    // 200 at ten a second come back over some 20 s, half to half as long
    // again.
    REQUIRE(*std::max_element(returns.begin(), returns.end()) > 15.0);
    REQUIRE(*std::max_element(returns.begin(), returns.end()) < 31.0);
    for (int second = 1; second < 15; ++second)
    {
        auto in_second = std::count_if(
            returns.begin(), returns.end(),
            [&](double at) { return at >= second && at < second + 1; });
        CHECK(in_second <= 40);
    }
}

TEST_CASE_METHOD(
    admission_fixture,
    "admission, refusals without end, time to come back stays bounded",
    "[admission]")
{
    fill("w");
    for (int i = 0; i < 10'000; ++i)
    {
        auto after = ask("w").retry_after;
        REQUIRE(after >= seconds(1));
        REQUIRE(after <= seconds(90));
    }
}

TEST_CASE("admission, hard limits, hold whatever was measured", "[admission]")
{
    admission_options options;
    options.max_programs = 3;
    options.max_queued_calls = 5;
    admission control(options);
    auto random = seeded_random(1);
    time_point now{seconds(1)};
    load_snapshot load;
    load.slots = 100;
    control.observe(load, now);
    workspace_name workspace("w");
    control.on_adopted(workspace, 1.0);
    control.on_adopted(workspace, 1.0);
    REQUIRE(control.decide({workspace, 1.0}, now, random).admitted);
    REQUIRE(
        control.decide({workspace, 1.0}, now, random).reason ==
        admission_reason::node_full);
    control.on_ended(workspace);
    load.queued_calls = 5;
    control.observe(load, now);
    REQUIRE(
        control.decide({workspace, 1.0}, now, random).reason ==
        admission_reason::queue_full);
}

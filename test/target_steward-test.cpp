#include "target_world.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;
using walnutmill::testing::target_world;
using namespace std::chrono_literals;

namespace
{

constexpr auto service = target_policy::in_service;

// What the target must come to, said without any steps.
target_condition naive_end(target_policy policy)
{
    switch (policy)
    {
    case target_policy::in_service:
        return target_condition::ready;
    case target_policy::drain:
        return target_condition::drained;
    case target_policy::stop:
        return target_condition::stopped;
    case target_policy::expunged:
        break;
    }
    return target_condition::expunged;
}

void check_end(target_world const& world)
{
    CAPTURE(world.violations);
    CHECK(world.violations.empty());
    CHECK(world.reported() == naive_end(world.config.policy));
    bool const off = world.config.policy == target_policy::stop ||
                     world.config.policy == target_policy::expunged;
    if (off)
        CHECK(world.target.power == power_state::off);
    if (world.config.policy == service)
    {
        CHECK(world.target.power == power_state::on);
        for (auto const& model : world.config.models)
            CHECK(
                std::count(
                    world.target.models.begin(), world.target.models.end(),
                    model) == 1);
    }
}

void random_change(target_world& world)
{
    switch (world.pick(0, 6))
    {
    case 0:
        world.set_policy(target_policy::drain);
        break;
    case 1:
        world.set_policy(target_policy::stop);
        break;
    case 2:
        world.set_policy(target_policy::stop, true);
        break;
    case 3:
        world.take_over();
        break;
    case 4:
        world.config.models = world.pick(0, 1) == 0
                                  ? std::vector<std::string>{"b"}
                                  : std::vector<std::string>{"a", "b"};
        world.alter();
        break;
    case 5:
        // A stop and a wake faster than anyone looks.
        world.set_policy(target_policy::stop);
        world.set_policy(service);
        break;
    default:
        world.set_policy(service);
    }
}

} // namespace

TEST_CASE("target, asked to serve and to stop, gets there uncut", "[steward]")
{
    auto const checks = GENERATE(true, false);
    target_world world(1, checks);
    world.run(60s);
    check_end(world);
    CHECK(world.served > 50);
    for (auto const policy :
         {target_policy::drain, service, target_policy::stop, service,
          target_policy::expunged})
    {
        world.set_policy(policy);
        world.run(60s);
        check_end(world);
    }
}

TEST_CASE("target that leaves, under load, gets no new work", "[steward]")
{
    target_world world(2, true);
    world.run(60s);
    world.set_policy(target_policy::drain);
    world.run(8s);
    auto const served = world.served;
    world.run(30s);
    CHECK(world.served == served);
    check_end(world);
}

TEST_CASE("target, unloading in service, waits for a drain", "[steward]")
{
    target_world world(3, false);
    world.run(60s);
    world.config.models = {"b"};
    world.alter();
    world.run(60s);
    CHECK(world.target.models == std::vector<std::string>{"a", "b"});
    CHECK(world.reported() == target_condition::ready);
    world.set_policy(target_policy::drain);
    world.run(60s);
    CHECK(world.target.models == std::vector<std::string>{"b"});
    CHECK(world.violations.empty());
}

TEST_CASE("steward, frozen before its send, drops the order", "[steward]")
{
    auto const checks = GENERATE(true, false);
    target_world world(4, checks);
    world.run(60s);
    world.set_policy(target_policy::stop, true);
    REQUIRE(world.run_to_send(30s));
    auto const before = world.effects.size();
    world.freeze(40s);
    world.take_over();
    world.set_policy(service);
    world.run(120s);
    check_end(world);
    for (auto at = before; at < world.effects.size(); ++at)
        CHECK(world.effects[at].epoch == 2);
}

TEST_CASE("stewards, under random faults, keep every promise", "[steward]")
{
    auto const checks = GENERATE(true, false);
    for (std::uint32_t seed = 1; seed <= 400; ++seed)
    {
        INFO("seed " << seed << ", checks fencing " << checks);
        target_world world(seed, checks);
        world.freeze_percent = world.pick(0, 2);
        world.commit_percent = world.pick(0, 10);
        world.late_percent = world.pick(0, 80);
        world.work_percent = world.pick(1, 25);
        for (int i = 0; i < 20; ++i)
        {
            random_change(world);
            world.run(
                world.pick(0, 1) == 0 ? 100ms * world.pick(1, 20)
                                      : 100ms * world.pick(20, 160));
        }
        world.set_policy(static_cast<target_policy>(world.pick(0, 3)));
        world.freeze_percent = 0;
        world.commit_percent = 0;
        world.late_percent = 0;
        world.run(90s);
        check_end(world);
    }
}

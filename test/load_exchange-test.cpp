#include "entry_world.hpp"

#include "entry/load_exchange.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Suppresses periodic reports, so that only choices and calls cause reports.
constexpr std::chrono::minutes no_periodic_reports{10};

/// Two nodes that exchange load reports over the loopback interface on one
/// event loop.
struct exchange_fixture
{
    struct node
    {
        reserved_address address;
        engine_balancer balancer;
        load_exchange loads;

        node(
            boost::asio::io_context& io, std::string const& name,
            double capacity_weight)
            : balancer(zone_name("z"), now, seeded_random(1)),
              loads(
                  io, balancer, now, name, capacity_weight, no_periodic_reports)
        {
        }
    };

    boost::asio::io_context io;
    balancer_request need;
    std::unique_ptr<node> strong;
    std::unique_ptr<node> weak;

    exchange_fixture()
    {
        need.service = service_name("llm");
        engine_entry engine;
        engine.id = target_name("e0");
        engine.service = need.service;
        engine.address = "10.0.0.1:1";
        engine.zone = zone_name("z");
        engine.slots = 6;
        strong = std::make_unique<node>(io, "strong", 1.0);
        weak = std::make_unique<node>(io, "weak", 0.01);
        for (auto* one : {strong.get(), weak.get()})
            one->balancer.set_engines({engine});
        strong->loads.set_nodes({{"weak", weak->address.text(), 0.01}});
        weak->loads.set_nodes({{"strong", strong->address.text(), 1.0}});
    }

    static time_point now()
    {
        return std::chrono::time_point_cast<duration>(
            std::chrono::steady_clock::now());
    }

    void listen() const
    {
        REQUIRE(strong->loads.listen(strong->address.text()));
        REQUIRE(weak->loads.listen(weak->address.text()));
    }

    template<class Condition>
    bool becomes_true(Condition const& condition)
    {
        auto const end = now() + seconds(30);
        while (!condition() && now() < end)
        {
            io.run_for(milliseconds(1));
            io.restart();
        }
        return condition();
    }

    double load_at(node& one) const
    {
        auto const at = one.balancer.choose(need);
        REQUIRE(at);
        return at->load;
    }

    /// \return the engine load on which the node bases its choice
    double load_of_choice(node& one)
    {
        double load = -1;
        one.loads.before_choice([&] { load = load_at(one); });
        REQUIRE(becomes_true([&] { return load >= 0; }));
        return load;
    }
};

} // namespace

TEST_CASE_METHOD(
    exchange_fixture,
    "load exchange: other nodes count a call as soon as it is placed")
{
    listen();
    engine_ref const engine(target_name("e0"), engine_incarnation());
    for (double calls = 1; calls <= 3; ++calls)
    {
        strong->balancer.sent(engine, need);
        strong->loads.calls_changed();
        // A lost datagram only delays the update.
        CHECK(becomes_true([&] { return load_of_choice(*weak) == calls; }));
        weak->balancer.sent(engine, need);
        weak->loads.calls_changed();
        CHECK(
            becomes_true([&] { return load_of_choice(*strong) == calls + 1; }));
        weak->balancer.ended(
            engine, need, engine_outcome::answered, milliseconds(10));
        weak->loads.calls_changed();
        CHECK(becomes_true([&] { return load_of_choice(*strong) == calls; }));
    }
}

TEST_CASE_METHOD(
    exchange_fixture,
    "load exchange: a choice proceeds if the load aggregator does not answer")
{
    REQUIRE(weak->loads.listen(weak->address.text()));
    for (int i = 0; i < 5; ++i)
        CHECK(load_of_choice(*weak) == 0);
    // The unresponsive node is skipped and this node becomes load aggregator.
    engine_ref const engine(target_name("e0"), engine_incarnation());
    weak->balancer.sent(engine, need);
    CHECK(becomes_true(
        [&]
        {
            load_of_choice(*weak);
            return weak->balancer.pressure(need.service).has_value();
        }));
}

TEST_CASE_METHOD(
    exchange_fixture, "load exchange: choices after stop do not wait")
{
    listen();
    weak->loads.stop();
    bool chosen = false;
    weak->loads.before_choice([&] { chosen = true; });
    CHECK(chosen);
}

#include "entry_world.hpp"

#include "entry/load_exchange.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
            double capacity_weight, clock_fn const& clock)
            : balancer(zone_name("z"), clock, seeded_random(1)),
              loads(
                  io, balancer, clock, name, capacity_weight,
                  no_periodic_reports)
        {
        }
    };

    boost::asio::io_context io;
    balancer_request need;
    std::unique_ptr<node> strong;
    std::unique_ptr<node> weak;

    explicit exchange_fixture(clock_fn const& clock = now)
    {
        need.service = service_name("llm");
        engine_entry engine;
        engine.id = target_name("e0");
        engine.service = need.service;
        engine.address = "10.0.0.1:1";
        engine.zone = zone_name("z");
        engine.slots = 6;
        strong = std::make_unique<node>(io, "strong", 1.0, clock);
        weak = std::make_unique<node>(io, "weak", 0.01, clock);
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

namespace
{

/// What a node's engines reported to it, and what it learned from others.
struct known_speeds
{
    std::vector<machine_figure> own_figures;
    std::vector<speed_sample> own_speeds;
    std::optional<std::vector<machine_figure>> figures;
    std::vector<speed_sample> speeds;
    int updates = 0;
};

struct exchange_clock
{
    manual_clock clock;
};

/// Nodes on a manual clock, so that figures expire only when the test advances
/// it, however busy the machine is.
struct speed_exchange_fixture : exchange_clock, exchange_fixture
{
    known_speeds of_strong;
    known_speeds of_weak;

    speed_exchange_fixture() : exchange_fixture(exchange_clock::clock.fn())
    {
        attach(*strong, of_strong);
        attach(*weak, of_weak);
    }

    static void attach(node& one, known_speeds& known)
    {
        one.loads.speeds.own_figures = [&known] { return known.own_figures; };
        one.loads.speeds.own_speeds = [&known] { return known.own_speeds; };
        one.loads.speeds.set_figures =
            [&known](std::vector<machine_figure> const& figures)
        {
            known.figures = figures;
            ++known.updates;
        };
        one.loads.speeds.set_speeds =
            [&known](std::vector<speed_sample> const& speeds)
        { known.speeds = speeds; };
    }

    /// Makes choices at the node until the condition holds.
    template<class Condition>
    bool becomes_true_at(node& one, Condition const& condition)
    {
        return becomes_true(
            [&]
            {
                clock.advance(milliseconds(5));
                load_of_choice(one);
                return condition();
            });
    }

    static std::uint32_t
    percent_of(known_speeds const& known, std::uint32_t engine)
    {
        for (auto const& one :
             known.figures.value_or(std::vector<machine_figure>()))
        {
            if (one.engine == engine)
                return one.percent;
        }
        return 100;
    }
};

/// A load aggregator of an earlier version: it reads seven elements and answers
/// with a sum of seven.
struct earlier_aggregator
{
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 65'536> buffer{};
    std::vector<nlohmann::json> reports;

    earlier_aggregator(
        boost::asio::io_context& io, testing::reserved_address const& address)
        : socket(io)
    {
        auto const& text = address.text();
        auto const colon = text.find(':');
        boost::asio::ip::udp::endpoint const at(
            boost::asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
        socket.open(at.protocol());
        socket.bind(at);
        receive();
    }

    void receive()
    {
        socket.async_receive_from(
            boost::asio::buffer(buffer), sender,
            [this](boost::system::error_code const& error, std::size_t size)
            {
                if (error)
                    return;
                reports.push_back(nlohmann::json::from_cbor(
                    std::string(buffer.data(), size)));
                answer(reports.back().at(2).get<std::uint64_t>());
                receive();
            });
    }

    void answer(std::uint64_t number)
    {
        auto const sum = nlohmann::json::to_cbor(nlohmann::json(
            {false,
             "strong",
             number,
             {short_key(target_name("e0")), 4},
             nlohmann::json::array(),
             nlohmann::json::array(),
             2}));
        socket.send_to(boost::asio::buffer(sum), sender);
    }
};

} // namespace

TEST_CASE_METHOD(
    speed_exchange_fixture,
    "speed exchange: nodes learn of a slow engine and of its recovery")
{
    listen();
    of_weak.own_figures = {{1, 250, 0}};
    CHECK(becomes_true_at(
        *weak, [this] { return percent_of(of_weak, 1) == 250; }));
    CHECK(becomes_true_at(
        *strong, [this] { return percent_of(of_strong, 1) == 250; }));
    // Another node receives an answer of the engine, which is usual again.
    of_weak.own_figures.clear();
    of_strong.own_figures = {{1, 100, 0}};
    CHECK(becomes_true_at(
        *weak,
        [this]
        {
            load_of_choice(*strong);
            return of_weak.figures && of_weak.figures->empty();
        }));
}

TEST_CASE_METHOD(
    speed_exchange_fixture,
    "speed exchange: figures are sent without a choice once a call ended")
{
    listen();
    of_weak.own_figures = {{1, 250, 0}};
    weak->loads.calls_changed();
    CHECK(becomes_true_at(
        *strong,
        [this]
        {
            weak->loads.calls_changed();
            return percent_of(of_strong, 1) == 250;
        }));
}

TEST_CASE_METHOD(
    speed_exchange_fixture,
    "speed exchange: sums within 100 ms leave known figures in force")
{
    listen();
    of_weak.own_figures = {{1, 250, 0}};
    REQUIRE(becomes_true_at(
        *weak, [this] { return percent_of(of_weak, 1) == 250; }));
    of_weak.updates = 0;
    auto const began = clock.now();
    int choices = 0;
    while (clock.now() - began < milliseconds(450))
    {
        clock.advance(milliseconds(15));
        load_of_choice(*weak);
        ++choices;
        CHECK(percent_of(of_weak, 1) == 250);
    }
    CHECK(of_weak.updates <= 1 + (clock.now() - began) / figure_interval);
    CHECK(choices > of_weak.updates);
}

TEST_CASE_METHOD(
    speed_exchange_fixture, "speed exchange: speeds of all nodes are summed")
{
    listen();
    of_weak.own_figures = {{1, 100, 0}};
    of_weak.own_speeds = {{7, 600, 300}};
    of_strong.own_speeds = {{7, 500, 200}};
    auto const is_sum = [](known_speeds const& known)
    {
        // The sums decay between the reports.
        return known.speeds.size() == 1 && known.speeds[0].engine == 7 &&
               known.speeds[0].calls_hundredths > 350;
    };
    CHECK(becomes_true_at(
        *weak,
        [&]
        {
            load_of_choice(*strong);
            return is_sum(of_weak) && is_sum(of_strong);
        }));
    CHECK(
        of_weak.speeds[0].ratio_hundredths ==
        Approx(of_weak.speeds[0].calls_hundredths * 2.2).epsilon(0.03));
}

TEST_CASE_METHOD(
    speed_exchange_fixture,
    "speed exchange: without machine figures reports and sums have 7 elements")
{
    earlier_aggregator aggregator(io, strong->address);
    REQUIRE(weak->loads.listen(weak->address.text()));
    CHECK(
        becomes_true_at(*weak, [&] { return aggregator.reports.size() >= 3; }));
    for (auto const& report : aggregator.reports)
        CHECK(report.size() == 7);
    CHECK_FALSE(of_weak.figures);
}

TEST_CASE_METHOD(
    speed_exchange_fixture,
    "speed exchange: a load aggregator of an earlier version sums up loads")
{
    earlier_aggregator aggregator(io, strong->address);
    of_weak.own_figures = {{1, 250, 0}};
    REQUIRE(weak->loads.listen(weak->address.text()));
    CHECK(
        becomes_true_at(*weak, [this] { return load_of_choice(*weak) == 4; }));
    CHECK_FALSE(of_weak.figures);
    REQUIRE_FALSE(aggregator.reports.empty());
    CHECK(aggregator.reports.front().size() == 8);
    CHECK(aggregator.reports.front().at(1) == "weak");
}

TEST_CASE_METHOD(
    speed_exchange_fixture,
    "speed exchange: a report of an earlier version is summed up")
{
    REQUIRE(strong->loads.listen(strong->address.text()));
    of_strong.own_figures = {{1, 250, 0}};
    boost::asio::ip::udp::socket earlier(io);
    boost::asio::ip::udp::endpoint const any(
        boost::asio::ip::make_address("127.0.0.1"), 0);
    earlier.open(any.protocol());
    earlier.bind(any);
    auto const report = nlohmann::json::to_cbor(nlohmann::json(
        {true,
         "earlier",
         0,
         {short_key(target_name("e0")), 5},
         nlohmann::json::array(),
         nlohmann::json::array(),
         0}));
    auto const& text = strong->address.text();
    auto const port =
        static_cast<std::uint16_t>(std::stoi(text.substr(text.find(':') + 1)));
    earlier.send_to(
        boost::asio::buffer(report),
        boost::asio::ip::udp::endpoint(any.address(), port));
    CHECK(becomes_true_at(
        *strong, [this] { return load_of_choice(*strong) == 5; }));
    CHECK(becomes_true_at(
        *strong, [this] { return percent_of(of_strong, 1) == 250; }));
}

TEST_CASE_METHOD(
    speed_exchange_fixture,
    "speed exchange: a new load aggregator starts from the former one's sum")
{
    listen();
    of_strong.own_figures = {{1, 250, 0}};
    // The former load aggregator is the only node that heard of the engine.
    REQUIRE(becomes_true_at(
        *weak,
        [this]
        {
            load_of_choice(*strong);
            return percent_of(of_weak, 1) == 250;
        }));
    strong->loads.stop();
    of_weak.figures.reset();
    REQUIRE(
        becomes_true_at(*weak, [this] { return of_weak.figures.has_value(); }));
    CHECK(percent_of(of_weak, 1) == 250);
    // Nobody hears of the engine any more, so its figure expires.
    CHECK(becomes_true_at(*weak, [this] { return of_weak.figures->empty(); }));
}

#include <walnutmill/placement.hpp>

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

target_view make_view(std::size_t number, std::uint32_t running = 0)
{
    target_view view;
    view.name = target_name("t" + std::to_string(number));
    view.models = {"m"};
    view.running = running;
    return view;
}

placement_pool make_pool(std::size_t targets)
{
    placement_pool pool;
    pool.service = service_name("s");
    pool.model = "m";
    for (std::size_t i = 0; i < targets; ++i)
        pool.targets.push_back(make_view(i).name);
    return pool;
}

struct placement_fixture
{
    placement places;
    random_fn random = seeded_random(1);
    time_point now{seconds(100)};
    placement_request request;

    explicit placement_fixture(
        std::size_t targets = 12, placement_options options = {})
        : places(options)
    {
        request.service = service_name("s");
        request.prompt_tokens = 1'000;
        request.expected_tokens = 100;
        places.set_pool(make_pool(targets));
        for (std::size_t i = 0; i < targets; ++i)
            places.on_report(make_view(i), now);
    }

    placement_decision choose() { return places.choose(request, now, random); }

    sent_ticket send(target_name const& target)
    {
        sent_call call;
        call.target = target;
        call.prompt_tokens = request.prompt_tokens;
        call.expected_tokens = request.expected_tokens;
        return places.on_sent(call, now);
    }

    /// Runs a call that takes so many times the usual 20 ms a token.
    void run(target_name const& target, double slowness)
    {
        auto ticket = send(target);
        auto start = now;
        now += milliseconds(200);
        places.on_first_token(ticket, now);
        now += milliseconds(static_cast<int>(2'000 * slowness));
        places.on_done(ticket, 100, now);
        now = start + milliseconds(100);
    }
};

} // namespace

TEST_CASE_METHOD(
    placement_fixture, "placement, service without targets, chooses none",
    "[placement]")
{
    request.service = service_name("unknown");
    REQUIRE(choose().reason == placement_reason::none_available);
    REQUIRE(choose().target.empty());
}

TEST_CASE_METHOD(
    placement_fixture,
    "placement, target leaves or lacks the model, is skipped", "[placement]")
{
    for (std::size_t i = 0; i < 11; ++i)
    {
        auto view = make_view(i);
        if (i % 3 == 0)
            view.policy = target_policy::drain;
        else if (i % 3 == 1)
            view.models = {"other"};
        else
            view.loading = true;
        places.on_report(view, now);
    }
    for (int i = 0; i < 50; ++i)
        REQUIRE(choose().target == make_view(11).name);
    places.erase_target(make_view(11).name);
    REQUIRE(choose().reason == placement_reason::none_available);
}

TEST_CASE_METHOD(
    placement_fixture,
    "placement, slots all taken, chooses none until one ends", "[placement]")
{
    std::vector<sent_ticket> sent;
    // Twice as many again wait in the targets' own queues.
    for (int i = 0; i < 12 * 48; ++i)
    {
        auto decision = choose();
        REQUIRE_FALSE(decision.target.empty());
        REQUIRE(places.in_flight(decision.target) < 48);
        sent.push_back(send(decision.target));
    }
    REQUIRE(choose().reason == placement_reason::all_full);
    places.on_canceled(sent[7]);
    REQUIRE_FALSE(choose().target.empty());
}

TEST_CASE("placement, random events, agrees with a full scan", "[placement]")
{
    // Calls that never end would put targets on probation.
    placement_options options;
    options.least_overdue = std::chrono::hours(1);
    placement_fixture fixture(12, options);
    auto seed = GENERATE(range(1u, 6u));
    INFO("seed " << seed);
    fixture.random = seeded_random(seed);
    auto& places = fixture.places;
    auto& random = fixture.random;
    auto& now = fixture.now;
    std::map<std::size_t, target_view> views;
    std::vector<sent_ticket> sent;
    for (int step = 0; step < 2'000; ++step)
    {
        auto number = static_cast<std::size_t>(random() * 12);
        if (random() < 0.3)
        {
            auto view = make_view(number, static_cast<unsigned>(random() * 72));
            if (random() < 0.2)
                view.policy = target_policy::drain;
            views[number] = view;
            places.on_report(view, now);
        }
        else if (random() < 0.4 && !sent.empty())
        {
            places.on_canceled(sent.back());
            sent.pop_back();
        }
        now += milliseconds(10);
        bool any = false;
        for (std::size_t i = 0; i < 12; ++i)
        {
            auto found = views.find(i);
            bool serves = found == views.end() ||
                          found->second.policy == target_policy::in_service;
            any |= serves && places.estimated_load(make_view(i).name) + 1 <= 48;
        }
        auto decision = fixture.choose();
        REQUIRE(any == !decision.target.empty());
        if (any)
            sent.push_back(fixture.send(decision.target));
    }
}

TEST_CASE_METHOD(
    placement_fixture, "placement, cache of a long history, goes where it lies",
    "[placement]")
{
    request.prompt_tokens = 20'000;
    request.cached.push_back({make_view(3).name, 19'000});
    auto decision = choose();
    REQUIRE(decision.target == make_view(3).name);
    REQUIRE(decision.reason == placement_reason::affinity);

    // It joins the queue there, and waits here when that is long.
    places.on_report(make_view(3, 62), now);
    REQUIRE(choose().reason == placement_reason::affinity);
    places.on_report(make_view(3, 64), now);
    REQUIRE(choose().reason == placement_reason::awaits_cache);
    REQUIRE(choose().target.empty());
    // Prefilling 19,000 tokens takes 3.8 s; it waits for ten times that.
    request.waited = milliseconds(37'999);
    REQUIRE(choose().reason == placement_reason::awaits_cache);
    request.waited = seconds(38);
    REQUIRE(choose().reason == placement_reason::least_cost);
    REQUIRE(choose().target != make_view(3).name);
}

TEST_CASE_METHOD(
    placement_fixture,
    "placement, cache on a target that leaves, does not wait", "[placement]")
{
    request.prompt_tokens = 20'000;
    request.cached.push_back({make_view(3).name, 19'000});
    auto leaving = make_view(3, 64);
    leaving.policy = target_policy::drain;
    places.on_report(leaving, now);
    REQUIRE(choose().reason == placement_reason::least_cost);
}

TEST_CASE_METHOD(
    placement_fixture,
    "placement, small cache on a loaded target, goes elsewhere", "[placement]")
{
    request.cached.push_back({make_view(3).name, 100});
    places.on_report(make_view(3, 14), now);
    REQUIRE(choose().target != make_view(3).name);
}

TEST_CASE_METHOD(
    placement_fixture, "placement, retry, avoids where the call was",
    "[placement]")
{
    request.avoid = {make_view(0).name, make_view(1).name};
    for (int i = 0; i < 100; ++i)
    {
        auto chosen = choose().target;
        REQUIRE(
            std::count(request.avoid.begin(), request.avoid.end(), chosen) ==
            0);
    }
}

TEST_CASE_METHOD(
    placement_fixture,
    "placement, one target five times slower, gets probes only", "[placement]")
{
    auto slow = make_view(5).name;
    for (int i = 0; i < 20; ++i)
        for (std::size_t target = 0; target < 12; ++target)
            run(make_view(target).name, target == 5 ? 5.0 : 1.0);
    REQUIRE(places.health(slow) == target_health::probation);
    REQUIRE(places.health(make_view(4).name) == target_health::healthy);

    now += seconds(120);
    REQUIRE(choose().target == slow);
    REQUIRE(choose().reason == placement_reason::probe);
    request.repeatable = false;
    REQUIRE(choose().target != slow);
    request.repeatable = true;
    auto probe = send(slow);
    for (int i = 0; i < 50; ++i)
        REQUIRE(choose().target != slow);
    places.on_canceled(probe);

    SECTION("still slow")
    {
        run(slow, 5.0);
        REQUIRE(places.health(slow) == target_health::probation);
        REQUIRE(choose().target != slow);
    }
    SECTION("recovered")
    {
        run(slow, 1.0);
        run(slow, 1.0);
        REQUIRE(places.health(slow) == target_health::healthy);
    }
}

TEST_CASE_METHOD(
    placement_fixture,
    "placement, target that hangs, is found without an answer", "[placement]")
{
    auto hung = make_view(5).name;
    for (int i = 0; i < 4; ++i)
        send(hung);
    auto hang_for = [&](int reports)
    {
        for (int i = 0; i < reports; ++i)
        {
            now += seconds(2);
            places.on_report(make_view(5, 4), now);
        }
    };
    // Such a call takes 2.2 to 2.5 s.
    hang_for(10);
    REQUIRE(places.health(hung) == target_health::healthy);
    hang_for(8);
    REQUIRE(places.health(hung) == target_health::probation);
}

TEST_CASE_METHOD(
    placement_fixture, "placement, target was away and is back, starts afresh",
    "[placement]")
{
    auto target = make_view(5).name;
    for (std::uint32_t i = 0; i < placement_options().max_failures; ++i)
        places.on_failed(send(target), now);
    REQUIRE(places.health(target) == target_health::probation);
    places.on_report(make_view(5), now);
    REQUIRE(places.health(target) == target_health::probation);
    auto away = make_view(5);
    away.loading = true;
    places.on_report(away, now);
    places.on_report(make_view(5), now);
    REQUIRE(places.health(target) == target_health::healthy);
}

TEST_CASE_METHOD(
    placement_fixture, "placement, all targets slow, none is put on probation",
    "[placement]")
{
    for (int i = 0; i < 20; ++i)
        for (std::size_t target = 0; target < 12; ++target)
            run(make_view(target).name, 5.0);
    for (std::size_t target = 0; target < 12; ++target)
        REQUIRE(
            places.health(make_view(target).name) == target_health::healthy);
}

TEST_CASE_METHOD(
    placement_fixture, "placement, all targets fail, most stay in use",
    "[placement]")
{
    int failed = 0;
    for (int i = 0; i < 200; ++i)
    {
        auto target = choose().target;
        REQUIRE_FALSE(target.empty());
        places.on_failed(send(target), now);
        now += milliseconds(10);
    }
    for (std::size_t i = 0; i < 12; ++i)
        failed += places.health(make_view(i).name) == target_health::probation;
    REQUIRE(failed >= 3);
    REQUIRE(failed <= 4);
}

TEST_CASE(
    "placement, 13 nodes with one stale report, do not herd", "[placement]")
{
    // One target looks idle, the others half full.
    std::map<target_name, int> sent;
    for (std::uint32_t node = 0; node < 13; ++node)
    {
        placement_fixture fixture;
        fixture.random = seeded_random(node + 1);
        for (std::size_t i = 0; i < 12; ++i)
            fixture.places.on_report(make_view(i, i == 0 ? 0 : 8), fixture.now);
        fixture.places.set_peer_ratio(12.0);
        fixture.now += seconds(10);
        for (int call = 0; call < 6; ++call)
        {
            auto target = fixture.choose().target;
            if (target.empty())
                break;
            fixture.send(target);
            ++sent[target];
        }
    }
    // The least loaded by report would get 13 calls at once and then 78.
    for (auto const& item : sent)
        REQUIRE(item.second <= 26);
}

TEST_CASE("placement, 3000 targets, looks at a few", "[placement]")
{
    placement_fixture fixture(3'000);
    fixture.request.cached.push_back({make_view(77).name, 900});
    std::map<target_name, int> chosen;
    for (int i = 0; i < 2'000; ++i)
    {
        auto decision = fixture.choose();
        REQUIRE(decision.considered <= 5);
        ++chosen[decision.target];
        fixture.request.cached.clear();
        fixture.send(decision.target);
    }
    REQUIRE(chosen.size() > 900);
}

#include "entry/crash_exchange.hpp"
#include "entry/crash_message.hpp"

#include <walnutmill/crash_record.hpp>
#include <walnutmill/random.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct crash_record_fixture
{
    manual_clock clock;
    crash_record record{clock.fn()};
    request_label const label{"archive", "p1", "turns", "r1"};
    run_id last_run = 0;

    /// One run that ends its engine.
    void crash(request_digest request, std::string const& engine)
    {
        auto const began = clock.now();
        clock.advance(milliseconds(60));
        record.interrupted(
            request, label, ++last_run, engine, began, clock.now());
        clock.advance(milliseconds(5));
    }

    void quarantine(request_digest request)
    {
        for (auto const* engine : {"e1", "e2", "e3"})
            crash(request, engine);
    }
};

} // namespace

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: three engines that ended one after the other quarantine")
{
    CHECK(record.verdict(7) == send_verdict::allowed);
    crash(7, "e1");
    CHECK(record.verdict(7) == send_verdict::suspect);
    crash(7, "e2");
    CHECK(record.verdict(7) == send_verdict::suspect);
    crash(7, "e3");
    CHECK(record.verdict(7) == send_verdict::quarantined);
    CHECK(record.quarantined_for(7) > minutes(9));
    CHECK(record.verdict(8) == send_verdict::allowed);
    CHECK(record.quarantined() == 1);
}

TEST_CASE_METHOD(crash_record_fixture, "crash record: one engine counts once")
{
    for (int i = 0; i < 5; ++i)
        crash(7, "e1");
    CHECK(record.crashes(7) == 1);
    CHECK(record.verdict(7) == send_verdict::suspect);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: engines that ended together do not quarantine")
{
    auto const began = clock.now();
    clock.advance(milliseconds(50));
    for (auto const* engine : {"e1", "e2", "e3", "e4"})
        record.interrupted(7, label, ++last_run, engine, began, clock.now());
    CHECK(record.verdict(7) == send_verdict::suspect);
    // One run at a time shows whether the request is at fault.
    record.began(7, label, ++last_run, "e5");
    CHECK(record.verdict(7) == send_verdict::awaits_other_run);
    clock.advance(milliseconds(50));
    record.interrupted(7, label, last_run, "e5", clock.now(), clock.now());
    CHECK(record.verdict(7) == send_verdict::suspect);
    crash(7, "e6");
    CHECK(record.verdict(7) == send_verdict::quarantined);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: the last run before the limit is the only one")
{
    crash(7, "e1");
    record.began(7, label, ++last_run, "e2");
    CHECK(record.verdict(7) == send_verdict::suspect);
    record.interrupted(7, label, last_run, "e2", clock.now(), clock.now());
    auto const third = ++last_run;
    record.began(7, label, third, "e3");
    CHECK(record.verdict(7) == send_verdict::awaits_other_run);
    record.survived(7, third);
    CHECK(record.verdict(7) == send_verdict::suspect);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: a run whose end nobody reports counts as a crash at last")
{
    crash(7, "e1");
    crash(7, "e2");
    record.began(7, label, ++last_run, "e3");
    clock.advance(seconds(29));
    CHECK(record.verdict(7) == send_verdict::awaits_other_run);
    clock.advance(seconds(2));
    CHECK(record.verdict(7) == send_verdict::quarantined);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: an answer of the engine to a later call clears its runs")
{
    quarantine(7);
    CHECK(record.engine_responded("e1", clock.now() - seconds(1)).empty());
    CHECK(record.verdict(7) == send_verdict::quarantined);
    CHECK(record.engine_responded("e1", clock.now()).size() == 1);
    CHECK(record.crashes(7) == 2);
    CHECK(record.verdict(7) == send_verdict::suspect);
}

TEST_CASE_METHOD(
    crash_record_fixture, "crash record: a whole answer clears the request")
{
    quarantine(7);
    CHECK(record.clear(7));
    CHECK(record.verdict(7) == send_verdict::allowed);
    crash(7, "e4");
    CHECK(record.crashes(7) == 1);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: after its quarantine a request is tried once at a time")
{
    quarantine(7);
    clock.advance(minutes(10));
    CHECK(record.verdict(7) == send_verdict::suspect);
    record.began(7, label, ++last_run, "e4");
    CHECK(record.verdict(7) == send_verdict::awaits_other_run);
    record.interrupted(7, label, last_run, "e4", clock.now(), clock.now());
    CHECK(record.verdict(7) == send_verdict::quarantined);
    CHECK(record.quarantined_for(7) > minutes(9));
}

TEST_CASE_METHOD(
    crash_record_fixture, "crash record: a request is forgotten after an hour")
{
    quarantine(7);
    clock.advance(hours(1) + seconds(1));
    record.drop_expired();
    CHECK(record.empty());
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: beyond its size it forgets those with the fewest crashes")
{
    crash_record_options options;
    options.max_requests = 3;
    crash_record small(clock.fn(), options);
    auto const add = [&](request_digest request, int engines)
    {
        for (int i = 0; i < engines; ++i)
        {
            small.interrupted(
                request, label, ++last_run, "e" + std::to_string(i),
                clock.now(), clock.now());
            clock.advance(milliseconds(1));
        }
    };
    add(1, 3);
    add(2, 1);
    add(3, 2);
    for (request_digest request = 4; request < 20; ++request)
        add(request, 1);
    CHECK(small.size() == 3);
    CHECK(small.crashes(1) == 3);
    CHECK(small.crashes(3) == 2);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash record: records of two nodes merge to one in any order")
{
    crash_record other(clock.fn());
    crash(7, "e1");
    auto const first = *record.find(7);
    crash(7, "e2");
    other.interrupted(7, label, 100, "e3", clock.now(), clock.now());
    CHECK(other.merge(7, *record.find(7)));
    CHECK_FALSE(other.merge(7, first));
    CHECK(other.crashes(7) == 3);
    CHECK(record.merge(7, *other.find(7)));
    CHECK(record.crashes(7) == 3);
    // What was cleared is not taken back.
    other.clear(7);
    CHECK_FALSE(other.merge(7, *record.find(7)));
    CHECK(record.merge(7, *other.find(7)));
    CHECK(record.verdict(7) == send_verdict::allowed);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash exchange: a run given up at an engine that had ended counts")
{
    crash_exchange::hooks hooks;
    hooks.send = [](std::string const&, std::string const&) {};
    hooks.schedule_after = [](duration, std::function<void()> const&) {};
    crash_exchange exchange(clock.fn(), seeded_random(1), std::move(hooks));
    engine_ref const engine(target_name("e1"), engine_incarnation{5});
    exchange.run_abandoned({7, label, 1, engine, clock.now()});
    CHECK(exchange.verdict(7) == send_verdict::allowed);
    exchange.engine_ended(target_name("e2"));
    CHECK(exchange.verdict(7) == send_verdict::allowed);
    exchange.engine_ended(engine);
    CHECK(exchange.record().verdict(7) == send_verdict::suspect);
    CHECK(exchange.verdict(7) == send_verdict::awaits_records);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash exchange: a node that meets its first peers tells what it recorded")
{
    std::vector<std::string> sent;
    crash_exchange::hooks hooks;
    hooks.send = [&sent](std::string const&, std::string bytes)
    { sent.push_back(std::move(bytes)); };
    hooks.schedule_after = [](duration, std::function<void()> const&) {};
    crash_exchange alone(clock.fn(), seeded_random(1), hooks);
    alone.run_interrupted({7, label, 1, target_name("e1"), clock.now()});
    CHECK(sent.empty());
    alone.set_nodes({{"n2", "10.0.0.2:1", "z", "n2.1", 1}});
    crash_exchange peer(clock.fn(), seeded_random(2), hooks);
    auto const messages = sent;
    for (auto const& bytes : messages)
        CHECK(peer.handle(bytes, "alone", [](std::string const&) {}));
    CHECK(peer.record().verdict(7) == send_verdict::suspect);
    // A node that tells less than its receiver knows is told the rest.
    peer.run_interrupted({7, label, 2, target_name("e2"), clock.now()});
    for (auto const& bytes : messages)
    {
        peer.handle(
            bytes, "alone",
            [&alone](std::string const& reply)
            { alone.handle(reply, "peer", [](std::string const&) {}); });
    }
    CHECK(alone.record().crashes(7) == 2);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash exchange: a request that was answered lately stays unsuspected")
{
    crash_exchange::hooks hooks;
    hooks.send = [](std::string const&, std::string const&) {};
    hooks.schedule_after = [](duration, std::function<void()> const&) {};
    crash_exchange exchange(clock.fn(), seeded_random(1), std::move(hooks));
    exchange.tick();
    exchange.run_answered(7);
    for (auto const* id : {"e1", "e2", "e3"})
    {
        exchange.run_interrupted(
            {7, label, ++last_run, target_name(id), clock.now()});
        clock.advance(milliseconds(60));
    }
    CHECK(exchange.verdict(7) == send_verdict::allowed);
    for (int i = 0; i < 2; ++i)
    {
        clock.advance(seconds(5));
        exchange.tick();
    }
    exchange.run_interrupted(
        {7, label, ++last_run, target_name("e4"), clock.now()});
    CHECK(exchange.record().verdict(7) == send_verdict::suspect);
    CHECK(exchange.verdict(7) == send_verdict::awaits_records);
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash message: a request keeps its runs and their ages")
{
    quarantine(7);
    crash_message message;
    message.requests.emplace_back(7, *record.find(7));
    auto const bytes = encode(message, clock.now());
    // The receiver's clock tells another time.
    auto const there = clock.now() + hours(5);
    auto const got = decode_crash_message(bytes, there);
    REQUIRE(got);
    CHECK_FALSE(got->is_query);
    REQUIRE(got->requests.size() == 1);
    auto const& one = got->requests.front().second;
    CHECK(got->requests.front().first == 7);
    CHECK(one.label.program == "p1");
    REQUIRE(one.runs.size() == 3);
    CHECK(one.runs[1].engine == "e2");
    CHECK(one.runs[1].state == run_state::ended);
    CHECK(one.runs[1].ended == record.find(7)->runs[1].ended + hours(5));
    crash_message query;
    query.is_query = true;
    CHECK(decode_crash_message(encode(query, there), there)->is_query);
    crash_message end;
    end.completes_answer = true;
    auto const answer = decode_crash_message(encode(end, there), there);
    CHECK(answer->completes_answer);
    CHECK_FALSE(answer->is_query);
    CHECK_FALSE(decode_crash_message("no message", there));
}

TEST_CASE_METHOD(
    crash_record_fixture,
    "crash message: elements of a later version are ignored")
{
    // A decoder of an exact number of elements drops all records of nodes that
    // run a later version, and a request that ends engines goes on at others.
    quarantine(7);
    crash_message message;
    message.requests.emplace_back(7, *record.find(7));
    auto const bytes = encode(message, clock.now());
    auto const body = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    auto longer_message = body;
    longer_message.push_back("new");
    auto longer_request = body;
    longer_request[2][0].push_back(nlohmann::json::object());
    auto longer_run = body;
    for (auto& run : longer_run[2][0][6])
        run.push_back(7);
    for (auto const& one : {longer_message, longer_request, longer_run})
    {
        INFO(one.dump());
        auto const longer = nlohmann::json::to_cbor(one);
        auto const got = decode_crash_message(
            std::string(longer.begin(), longer.end()), clock.now());
        REQUIRE(got);
        REQUIRE(got->requests.size() == 1);
        CHECK(got->requests.front().second.runs.size() == 3);
        CHECK(got->requests.front().second.label.program == "p1");
    }
    // Fewer elements are malformed.
    for (auto const* path : {"/0", "/2/0/0", "/2/0/6/0/0"})
    {
        INFO(path);
        auto shorter = body;
        auto const at = nlohmann::json::json_pointer(path);
        shorter[at.parent_pointer()].erase(std::size_t{0});
        auto const shortened = nlohmann::json::to_cbor(shorter);
        CHECK_FALSE(decode_crash_message(
            std::string(shortened.begin(), shortened.end()), clock.now()));
    }
}

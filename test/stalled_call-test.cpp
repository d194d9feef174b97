#include "entry_world.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::milliseconds;

struct stalled_call_fixture : entry_world
{
    /// Requests received by the targets that stall.
    std::atomic<int> requests{0};

    stalled_call_fixture() { min_stall_timeout = milliseconds(200); }

    /// Makes the targets stall on the first request that either of them
    /// receives, after sending the given number of events.
    void stall_first_request(standin_target& a, standin_target& b, int events)
    {
        for (auto* one : {&a, &b})
        {
            one->set_handler(
                [this, events](link_ptr const& link, http_request const& sent)
                {
                    if (++requests > 1)
                        return false;
                    std::string const id(sent["Request-Id"]);
                    if (events > 0)
                        link->write(
                            standin_target::stream(id, 1, events, false));
                    return true;
                });
        }
    }
};

} // namespace

TEST_CASE_METHOD(
    stalled_call_fixture,
    "stalled call: a repeatable call is answered by another engine")
{
    stall_first_request(service_a, service_b, 0);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/safe/x", "r1"));
    CHECK(got.status == 200);
    CHECK(got.whole);
    CHECK(service_a.calls().size() == 1);
    CHECK(service_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture,
    "stalled call: a stream that stops midway resumes at another engine")
{
    std::atomic<int> attempts{0};
    for (auto* one : {&engine_a, &engine_b})
    {
        one->set_handler(
            [&](link_ptr const& link, http_request const& sent)
            {
                std::string const id(sent["Request-Id"]);
                if (++attempts == 1)
                {
                    link->write(standin_target::stream(id, 1, 2, false));
                    return true;
                }
                CHECK(sent["Last-Event-Id"] == "2");
                link->write(standin_target::stream(id, 3, 3, true));
                link->finish_answer(false);
                return true;
            });
    }
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1"));
    CHECK(got.whole);
    CHECK(
        got.body == standin_target::event(1) + standin_target::event(2) +
                        standin_target::event(3));
    CHECK(engine_a.calls().size() == 1);
    CHECK(engine_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture, "stalled call: an order is never retried")
{
    stall_first_request(service_a, service_b, 0);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(post("/orders/x", "r1"));
    CHECK(got.status == 504);
    CHECK(service_a.calls().size() + service_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture,
    "stalled call: a turn that can't be resumed runs once and stays incomplete")
{
    stall_first_request(engine_a, engine_b, 1);
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    auto const got = caller.call(turn("t1", {}, "/kept/"));
    CHECK_FALSE(got.whole);
    CHECK(engine_a.calls().size() + engine_b.calls().size() == 1);
}

TEST_CASE_METHOD(
    stalled_call_fixture, "stalled call: a slow engine completes its call")
{
    store.remove("servers", "ib");
    engine_a.set_handler(
        [this](link_ptr const& link, http_request const& sent)
        {
            std::string const id(sent["Request-Id"]);
            engine_a.server().later(
                milliseconds(600),
                [link, id]
                {
                    link->write(standin_target::stream(id, 1, 3, true));
                    link->finish_answer(false);
                });
            return true;
        });
    auto& node = start_node();
    test_caller caller(node.settings.listen_callers);
    CHECK(caller.call(turn("t1")).whole);
}

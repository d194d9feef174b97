#include "owner_world.hpp"

#include <catch2/catch.hpp>

using namespace walnutmill;
using namespace walnutmill::testing;

namespace
{

program_id const quote("pquote");
workspace_name const bern("bern");

create_request creation(std::uint64_t budget = 1'000)
{
    return {quote, {}, bern, budget, request_id("new")};
}

call_request chat(std::uint32_t number, std::string input)
{
    call_request r;
    r.program = quote;
    r.workspace = bern;
    r.number = number;
    r.request = request_id("c" + std::to_string(number));
    r.service = service_name("chat");
    r.input = std::move(input);
    r.max_tokens = 10;
    return r;
}

call_request order(std::uint32_t number, char const* service = "orders")
{
    auto r = chat(number, "book");
    r.service = service_name(service);
    r.max_tokens = 0;
    return r;
}

/// A world with one program.
struct one_program : owner_world
{
    explicit one_program(std::uint64_t budget = 1'000)
    {
        auto const word = ask(creation(budget));
        settle();
        REQUIRE(word->told);
        REQUIRE(word->result);
    }

    call_answer answered(caller_word const& word)
    {
        REQUIRE(word.told);
        REQUIRE(word.result);
        return std::get<call_answer>(word.result.value());
    }

    refusal refused(caller_word const& word)
    {
        REQUIRE(word.told);
        REQUIRE_FALSE(word.result);
        return word.result.error();
    }

    program_view view()
    {
        auto const word = ask(view_request{quote, bern});
        REQUIRE(word->result);
        return std::get<program_view>(word->result.value());
    }
};

} // namespace

TEST_CASE("model call, answered, is released after its commit", "[owner]")
{
    one_program world;
    auto const word = world.ask(chat(1, "wool"));
    REQUIRE(world.sends.size() == 1);
    world.answer_send();
    CHECK_FALSE(word->told);
    world.settle();
    CHECK(world.answered(*word).output == model_answer({{"user", "wool"}}));
}

TEST_CASE("program, second call, sees its own history", "[owner]")
{
    one_program world;
    auto const first = world.ask(chat(1, "wool"));
    world.answer_send();
    world.settle();
    auto const second = world.ask(chat(2, "silk"));
    world.answer_send();
    world.settle();
    auto const said = world.answered(*first).output;
    CHECK(
        world.answered(*second).output ==
        model_answer(
            {{"user", "wool"}, {"assistant", said}, {"user", "silk"}}));
}

TEST_CASE("calls, handed in out of order, run in order", "[owner]")
{
    one_program world;
    auto const second = world.ask(chat(2, "silk"));
    CHECK(world.sends.empty());
    auto const first = world.ask(chat(1, "wool"));
    REQUIRE(world.sends.size() == 1);
    CHECK(world.sends.front().turns.back().text == "wool");
    world.answer_send();
    world.settle();
    REQUIRE(world.sends.size() == 1);
    world.answer_send();
    world.settle();
    CHECK(world.answered(*first).number == 1);
    CHECK(world.answered(*second).number == 2);
}

TEST_CASE("order, intent not committed, is not sent", "[owner]")
{
    one_program world;
    auto const word = world.ask(order(1));
    CHECK(world.sends.empty());
    world.settle();
    REQUIRE(world.sends.size() == 1);
    world.answer_send();
    world.settle();
    CHECK(world.answered(*word).output == "done");
}

TEST_CASE("order, answer lost, is never sent again", "[owner]")
{
    one_program world;
    auto const word = world.ask(order(1));
    world.settle();
    world.answer_send(false);
    world.settle();
    CHECK(world.sends.empty());
    CHECK(world.refused(*word).ran == certainty::outcome_unknown);
    auto const again = world.ask(order(1));
    CHECK(world.refused(*again).ran == certainty::outcome_unknown);
    CHECK(world.executions.size() == 1);
}

TEST_CASE("booking, answer lost, is answered by the outcome query", "[owner]")
{
    one_program world;
    auto const word = world.ask(order(1, "bookings"));
    world.settle();
    world.answer_send(false);
    REQUIRE(world.sends.size() == 1);
    CHECK(world.sends.front().query);
    world.answer_send();
    world.settle();
    CHECK(world.answered(*word).output == "done");
    CHECK(world.executions.begin()->second == 1);
}

TEST_CASE(
    "order, owner dies after the intent, has an unknown outcome", "[owner]")
{
    one_program world;
    world.ask(order(1));
    world.settle();
    world.crash();
    world.settle();
    auto const again = world.ask(order(1));
    world.settle();
    CHECK(world.refused(*again).ran == certainty::outcome_unknown);
    CHECK(world.sends.size() == 1);
}

TEST_CASE("order, declined by the target, may run once later", "[owner]")
{
    one_program world;
    auto const word = world.ask(order(1));
    world.settle();
    for (int i = 0; i < 3; ++i)
    {
        REQUIRE(world.sends.size() == 1);
        world.decline_send();
        world.advance(std::chrono::seconds(1));
        world.pump(0);
        world.settle();
    }
    CHECK(world.refused(*word).ran == certainty::not_run);
    CHECK(world.executions.empty());
    auto const again = world.ask(order(1));
    world.settle();
    world.answer_send();
    world.settle();
    CHECK(world.answered(*again).output == "done");
}

TEST_CASE("order, declined and its owner dead, may run once later", "[owner]")
{
    one_program world;
    world.ask(order(1));
    world.settle();
    for (int i = 0; i < 3; ++i)
    {
        world.decline_send();
        world.advance(std::chrono::seconds(1));
        world.pump(0);
        world.settle();
    }
    world.crash();
    auto const again = world.ask(order(1));
    world.settle();
    world.answer_send();
    world.settle();
    CHECK(world.answered(*again).output == "done");
}

TEST_CASE("answer, asked for again, is the same after a crash", "[owner]")
{
    one_program world;
    auto const word = world.ask(chat(1, "wool"));
    world.answer_send();
    world.settle();
    world.crash();
    auto const again = world.ask(chat(1, "wool"));
    CHECK(world.answered(*again).output == world.answered(*word).output);
    auto const fetched =
        world.ask(fetch_request{quote, bern, request_id("c1"), 0, false});
    CHECK(world.answered(*fetched).output == world.answered(*word).output);
    CHECK(world.sends.empty());
}

TEST_CASE("request id, used with another body, is a conflict", "[owner]")
{
    one_program world;
    world.ask(chat(1, "wool"));
    CHECK(world.refused(*world.ask(chat(1, "silk"))).code == errc::conflict);
    world.answer_send();
    world.settle();
    CHECK(world.refused(*world.ask(chat(1, "silk"))).code == errc::conflict);
    auto taken = chat(1, "wool");
    taken.request = request_id("other");
    CHECK(world.refused(*world.ask(taken)).code == errc::conflict);
}

TEST_CASE("program, asked for by another workspace, does not exist", "[owner]")
{
    one_program world;
    auto const other = workspace_name("basel");
    auto foreign = chat(1, "wool");
    foreign.workspace = other;
    CHECK(world.refused(*world.ask(foreign)).code == errc::not_found);
    CHECK(
        world.refused(*world.ask(view_request{quote, other})).code ==
        errc::not_found);
    CHECK(
        world.refused(*world.ask(end_request{quote, other})).code ==
        errc::not_found);
    auto sub = create_request{
        program_id("pquote.s1"), quote, other, 0, request_id("sub")};
    CHECK(world.refused(*world.ask(sub)).code == errc::not_found);
}

TEST_CASE(
    "budget, call that may exceed it, is refused before it runs",
    "[owner][budget]")
{
    one_program world(25);
    auto const word = world.ask(chat(1, std::string(60, 'x')));
    world.settle();
    CHECK(world.refused(*word).code == errc::budget_exhausted);
    CHECK(world.refused(*word).ran == certainty::not_run);
    CHECK(world.sends.empty());
}

TEST_CASE(
    "budget, crash with a call under way, counts the slice as spent",
    "[owner][budget]")
{
    one_program world(150);
    world.ask(chat(1, "wool"));
    world.crash();
    auto const view = world.view();
    CHECK(view.spent == 100);
    CHECK(view.budget == 150);
}

TEST_CASE(
    "budget, shared by sub-agents, bounds them together", "[owner][budget]")
{
    one_program world(30);
    auto const sub = program_id("pquote.s1");
    world.ask(create_request{sub, quote, bern, 0, request_id("sub")});
    world.settle();
    auto const first = world.ask(chat(1, "wool"));
    auto second = chat(1, "wool");
    second.program = sub;
    auto const other = world.ask(second);
    world.settle();
    CHECK(world.sends.size() == 2);
    auto third = chat(2, "more");
    third.program = sub;
    auto const last = world.ask(third);
    while (!world.sends.empty())
        world.answer_send();
    world.settle();
    CHECK(world.refused(*last).code == errc::budget_exhausted);
    CHECK(world.cost <= 30);
}

TEST_CASE(
    "program, ended, has its holds released until confirmed", "[owner][holds]")
{
    one_program world;
    world.ask(chat(1, "wool"));
    world.answer_send();
    world.settle();
    world.ask(end_request{quote, bern});
    world.settle();
    REQUIRE(world.releases.size() == 1);
    world.owner().on_released(
        quote, world.releases[0].target, false, world.now());
    world.advance(std::chrono::seconds(2));
    world.pump(0);
    REQUIRE(world.releases.size() == 2);
    world.owner().on_released(
        quote, world.releases[1].target, true, world.now());
    world.pump(0);
    world.settle();
    world.crash();
    CHECK(world.releases.size() == 2);
}

TEST_CASE(
    "program, ended and its owner dead, is released by the next",
    "[owner][holds]")
{
    one_program world;
    world.ask(chat(1, "wool"));
    world.answer_send();
    world.settle();
    world.ask(end_request{quote, bern});
    world.settle();
    world.crash();
    CHECK(world.releases.size() == 2);
}

TEST_CASE(
    "program, canceled with a call under way, ends with a final answer",
    "[owner]")
{
    one_program world;
    auto const word = world.ask(chat(1, "wool"));
    auto const waits = world.ask(chat(2, "silk"));
    world.ask(end_request{quote, bern, end_reason::canceled});
    world.settle();
    CHECK(world.refused(*word).code == errc::canceled);
    CHECK(world.refused(*word).ran == certainty::outcome_unknown);
    CHECK(world.refused(*waits).ran == certainty::not_run);
    CHECK(world.releases.size() == 1);
    CHECK(
        world.refused(*world.ask(chat(3, "more"))).code == errc::program_ended);
}

TEST_CASE(
    "call, deadline past in the queue, is refused at once as not run",
    "[owner]")
{
    one_program world;
    std::vector<std::shared_ptr<caller_word>> words;
    auto late = chat(2, "silk");
    late.deadline = std::chrono::milliseconds(100);
    auto const word = world.ask(late);
    world.advance(std::chrono::milliseconds(101));
    world.pump(0);
    CHECK(world.refused(*word).code == errc::deadline_exceeded);
    CHECK(world.refused(*word).ran == certainty::not_run);
}

TEST_CASE(
    "program, no call for the stated time, is ended as abandoned",
    "[owner][holds]")
{
    one_program world;
    world.ask(chat(1, "wool"));
    world.answer_send();
    world.settle();
    world.advance(std::chrono::hours(1));
    world.pump(0);
    world.settle();
    CHECK(world.view().ended == end_reason::abandoned);
    CHECK(world.releases.size() == 1);
}

TEST_CASE("frozen owner, awake after a takeover, releases nothing", "[owner]")
{
    one_program world;
    auto const word = world.ask(chat(1, "wool"));
    auto const old = world.freeze_and_wake();
    auto const retried = world.ask(chat(1, "wool"));
    world.settle();
    REQUIRE(world.sends.size() == 2);
    world.answer_send();
    for (int i = 0; i < 4; ++i)
        world.commit(old);
    // What the old owner computed is not an answer, and not "not run".
    CHECK(world.refused(*word).ran == certainty::outcome_unknown);
    world.answer_send();
    world.settle();
    CHECK(world.answered(*retried).number == 1);
}

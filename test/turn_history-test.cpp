#include <walnutmill/turn_history.hpp>

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace
{

using namespace walnutmill;
using namespace walnutmill::testing;
using std::chrono::seconds;

struct history_fixture
{
    fake_store store;
    std::unique_ptr<turn_history> node = start();

    std::unique_ptr<turn_history> start()
    {
        return std::make_unique<turn_history>(store.calls());
    }

    bool keep(
        std::string const& id, std::vector<std::string> const& before,
        std::string input, std::string output)
    {
        kept_turn turn;
        turn.id = request_id(id);
        for (auto const& one : before)
            turn.chain.emplace_back(one);
        turn.input = std::move(input);
        turn.output = std::move(output);
        bool durable = false;
        node->keep(
            std::move(turn), seconds(1), [&](bool kept) { durable = kept; });
        store.run();
        return durable;
    }

    std::pair<history_answer, turn_chain> load(std::string const& id)
    {
        std::pair<history_answer, turn_chain> to;
        node->load(
            request_id(id),
            [&](history_answer answer, turn_chain chain) {
                to = {answer, std::move(chain)};
            });
        store.run();
        return to;
    }
};

} // namespace

TEST_CASE_METHOD(
    history_fixture, "history: a chain is found from the cache without reads")
{
    REQUIRE(keep("a", {}, "in1 ", "out1\n"));
    REQUIRE(keep("b", {"a"}, "in2 ", "out2\n"));
    auto const steps = store.steps();
    auto const [answer, chain] = load("b");
    CHECK(answer == history_answer::found);
    CHECK(chain.text == "in1 out1\nin2 out2\n");
    CHECK(chain.ids.size() == 2);
    CHECK(store.steps() == steps);
}

TEST_CASE_METHOD(
    history_fixture, "history: a chain is found by a node that never saw it")
{
    REQUIRE(keep("a", {}, "in1 ", "out1\n"));
    REQUIRE(keep("b", {"a"}, "in2 ", "out2\n"));
    REQUIRE(keep("c", {"a", "b"}, "in3 ", "out3\n"));
    node = start();
    auto const [answer, chain] = load("c");
    CHECK(answer == history_answer::found);
    CHECK(chain.text == "in1 out1\nin2 out2\nin3 out3\n");
}

TEST_CASE_METHOD(
    history_fixture, "history: two turns may go on from the same one")
{
    REQUIRE(keep("a", {}, "in1 ", "out1\n"));
    REQUIRE(keep("b", {"a"}, "left ", "l\n"));
    REQUIRE(keep("c", {"a"}, "right ", "r\n"));
    node = start();
    CHECK(load("b").second.text == "in1 out1\nleft l\n");
    CHECK(load("c").second.text == "in1 out1\nright r\n");
}

TEST_CASE_METHOD(
    history_fixture, "history: a turn larger than a row comes back whole")
{
    std::string const large(1'300'000, 'x');
    REQUIRE(keep("a", {}, large + "end", "out\n"));
    CHECK(store.rows() > 20);
    node = start();
    auto const [answer, chain] = load("a");
    CHECK(answer == history_answer::found);
    CHECK(chain.text == large + "endout\n");
}

TEST_CASE_METHOD(
    history_fixture, "history: an unknown turn is told from a lost store")
{
    CHECK(load("nowhere").first == history_answer::unknown_turn);
    store.set_down(true);
    CHECK(load("nowhere").first == history_answer::store_unavailable);
}

TEST_CASE_METHOD(
    history_fixture, "history: a turn is durable only once the store says so")
{
    for (auto const fault :
         {store_fault::refuse, store_fault::lose, store_fault::late})
    {
        store.fail_step(store.steps() + 1, fault);
        auto const id = "t" + std::to_string(static_cast<int>(fault));
        CHECK_FALSE(keep(id, {}, "in", "out\n"));
    }
}

TEST_CASE_METHOD(
    history_fixture, "history: a missing piece is never passed over")
{
    REQUIRE(keep("a", {}, std::string(100'000, 'x'), "out\n"));
    for (std::size_t step = 1; step <= 3; ++step)
    {
        node = start();
        store.fail_step(store.steps() + step, store_fault::lose);
        CHECK(load("a").first == history_answer::store_unavailable);
    }
}

TEST_CASE_METHOD(history_fixture, "history: the cache stays within its bytes")
{
    history_options options;
    options.cache_bytes = 50'000;
    node = std::make_unique<turn_history>(store.calls(), options);
    for (int i = 0; i < 40; ++i)
        REQUIRE(
            keep("t" + std::to_string(i), {}, std::string(4'000, 'x'), "o\n"));
    CHECK(node->cached_bytes() <= 50'000);
    CHECK(load("t0").first == history_answer::found);
}

#include "entry/admission_control.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;

} // namespace

TEST_CASE("start gate: no program is refused while slots are free")
{
    CHECK(refusal_probability(0.0, 0) == 0);
    CHECK(refusal_probability(0.9, 2) == 0);
}

TEST_CASE("start gate: no program is refused if the load is unknown")
{
    CHECK(refusal_probability(std::nullopt, 2) == 0);
}

TEST_CASE("start gate: all are refused from a load of 1.3 calls per slot")
{
    CHECK(refusal_probability(1.3, 0) == 1);
    CHECK(refusal_probability(5.0, 0) == 1);
}

TEST_CASE("start gate: refusals grow with load, less urgent routes first")
{
    CHECK(refusal_probability(1.1, 0) < refusal_probability(1.2, 0));
    CHECK(refusal_probability(1.1, 0) < refusal_probability(1.1, 1));
    CHECK(refusal_probability(1.1, 2) == refusal_probability(1.1, 9));
}

TEST_CASE("start gate: speculative turns run only while many slots are free")
{
    CHECK(may_run_speculatively(0.0));
    CHECK(may_run_speculatively(0.69));
    CHECK_FALSE(may_run_speculatively(0.7));
    CHECK_FALSE(may_run_speculatively(1.2));
    CHECK_FALSE(may_run_speculatively(std::nullopt));
}

TEST_CASE("start gate: programs with priority are refused at a higher load")
{
    CHECK(refusal_probability(1.3, 0, true) == 0);
    CHECK(refusal_probability(1.6, 0, true) == 0);
    CHECK(refusal_probability(1.9, 0, true) == Approx(1));
    CHECK(refusal_probability(5.0, 0, true) == 1);
}

TEST_CASE("start gate: a rank has priority while less urgent ones are active")
{
    manual_clock clock;
    active_ranks ranks;
    ranks.record_turn(0, clock.now());
    CHECK_FALSE(ranks.has_less_urgent_rank(0, clock.now()));
    ranks.record_turn(1, clock.now());
    CHECK(ranks.has_less_urgent_rank(0, clock.now()));
    CHECK_FALSE(ranks.has_less_urgent_rank(1, clock.now()));
    clock.advance(std::chrono::seconds(6));
    CHECK_FALSE(ranks.has_less_urgent_rank(0, clock.now()));
    // Ranks above the highest that routes have count as the last one.
    ranks.record_turn(400, clock.now());
    CHECK(ranks.has_less_urgent_rank(8, clock.now()));
    CHECK_FALSE(ranks.has_less_urgent_rank(400, clock.now()));
}

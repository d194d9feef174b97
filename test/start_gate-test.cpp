#include "entry/start_gate.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace walnutmill;

} // namespace

TEST_CASE("start gate: programs start freely while slots are free")
{
    CHECK(refusal_chance(0.0, 0) == 0);
    CHECK(refusal_chance(0.9, 2) == 0);
}

TEST_CASE("start gate: without news of the load nobody is refused")
{
    CHECK(refusal_chance(std::nullopt, 2) == 0);
}

TEST_CASE("start gate: all are refused once a third of a batch waits")
{
    CHECK(refusal_chance(1.3, 0) == 1);
    CHECK(refusal_chance(5.0, 0) == 1);
}

TEST_CASE("start gate: refusals grow with the load, less urgent routes first")
{
    CHECK(refusal_chance(1.1, 0) < refusal_chance(1.2, 0));
    CHECK(refusal_chance(1.1, 0) < refusal_chance(1.1, 1));
    CHECK(refusal_chance(1.1, 2) == refusal_chance(1.1, 9));
}

TEST_CASE("start gate: turns run in vain only while many slots are free")
{
    CHECK(may_run_in_vain(0.0));
    CHECK(may_run_in_vain(0.69));
    CHECK_FALSE(may_run_in_vain(0.7));
    CHECK_FALSE(may_run_in_vain(1.2));
    CHECK_FALSE(may_run_in_vain(std::nullopt));
}

#include "entry/workspace_shares.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace
{

using namespace walnutmill;
using std::chrono::seconds;

workspace_name const archive("archive");
workspace_name const library("library");
workspace_name const school("school");
/// So large that chance plays no part in its use.
rate_limit const large_limit{10'000, 10'000};

struct workspace_shares_fixture
{
    manual_clock clock;
    workspace_shares shares;

    workspace_shares_fixture() { shares.set_enabled(true); }

    void record(
        workspace_name const& owner, std::uint32_t use,
        rate_limit const& limit = large_limit)
    {
        shares.record_use(owner, use, limit, clock.now());
    }

    admission_control_options options_of(workspace_name const& owner)
    {
        return shares.admission_options(owner, clock.now());
    }

    /// Checks that each decision about the workspace's programs is the one
    /// without shares, bit by bit.
    void check_decided_as_without(workspace_name const& owner)
    {
        auto const options = options_of(owner);
        for (auto const has_priority : {false, true})
        {
            for (std::uint32_t rank = 0; rank < 4; ++rank)
            {
                CHECK(
                    refusal_probability(
                        std::nullopt, rank, has_priority, options) == 0);
                for (int load = 0; load <= 250; ++load)
                {
                    auto const per_slot = load / 100.0;
                    auto const usual =
                        refusal_probability(per_slot, rank, has_priority);
                    if (refusal_probability(
                            per_slot, rank, has_priority, options) != usual)
                        FAIL("load " << per_slot << ", rank " << rank);
                }
            }
        }
    }
};

} // namespace

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: while disabled, decisions are those without shares")
{
    shares.set_enabled(false);
    record(archive, 100);
    record(library, 1'000);
    CHECK(shares.known(clock.now()) == 0);
    check_decided_as_without(archive);
    check_decided_as_without(library);
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: disabling forgets what was known")
{
    record(archive, 100);
    record(library, 1'000);
    shares.set_enabled(false);
    check_decided_as_without(archive);
    shares.set_enabled(true);
    check_decided_as_without(archive);
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: a single workspace is decided as without shares")
{
    record(archive, 1'000);
    check_decided_as_without(archive);
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: an unknown use is decided as without shares")
{
    record(archive, 100);
    record(library, 900);
    check_decided_as_without(school);
    check_decided_as_without(workspace_name());
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: equal workspaces are decided as without shares")
{
    for (std::uint32_t const use : {1U, 333U, 700U, 1'000U})
    {
        for (auto const& owner : {archive, library, school})
            record(owner, use);
        for (auto const& owner : {archive, library, school})
            check_decided_as_without(owner);
    }
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: without any use, decisions are those without shares")
{
    record(archive, 0);
    record(library, 0);
    check_decided_as_without(archive);
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: the last known use counts for 5 s")
{
    record(archive, 100);
    record(library, 900);
    clock.advance(seconds(5) - duration(1));
    CHECK(options_of(archive).refusal_start_load > 1.0);
    clock.advance(duration(1));
    CHECK(shares.known(clock.now()) == 0);
    check_decided_as_without(archive);
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: below the mean, refusals start at a higher load")
{
    record(archive, 0);
    record(library, 500);
    record(school, 1'000);
    CHECK(options_of(archive).refusal_start_load == Approx(1.3));
    CHECK(options_of(archive).full_refusal_load == Approx(1.45));
    CHECK(options_of(library).refusal_start_load == 1.0);
    record(archive, 250);
    record(library, 750);
    record(school, 500);
    CHECK(options_of(archive).refusal_start_load == Approx(1.15));
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: above the mean, all are refused from a lower load on")
{
    record(archive, 500);
    record(library, 1'000);
    auto const options = options_of(library);
    CHECK(options.refusal_start_load == 1.0);
    CHECK(options.full_refusal_load < 1.1);
    CHECK(refusal_probability(1.1, 0, false, options) == 1);
    CHECK(refusal_probability(1.1, 0) < 0.4);
}

// Guards against an excess that is due to chance: where all use little of large
// limits, one request more is many times the mean.
TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: a few requests are no excess, however large the limit")
{
    rate_limit const limit{500, 500};
    record(archive, 1, limit);
    record(library, 0, limit);
    CHECK(options_of(archive).full_refusal_load > 1.2);
}

// Guards against refusals while slots are free: capacity that nobody else asks
// for belongs to whoever asks.
TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: no workspace is refused below a load of 1.0")
{
    for (std::uint32_t const use : {0U, 1U, 500U, 1'000U, 5'000U, 100'000U})
    {
        record(archive, use);
        for (std::uint32_t const other : {0U, 1U, 1'000U})
        {
            record(library, other);
            for (auto const has_priority : {false, true})
            {
                CHECK(
                    refusal_probability(
                        1.0, 0, has_priority, options_of(archive)) == 0);
            }
        }
    }
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: refusals never decrease with the load")
{
    record(library, 400);
    for (std::uint32_t const use : {0U, 200U, 400U, 500U, 100'000U})
    {
        record(archive, use);
        auto const options = options_of(archive);
        double last = 0;
        for (int load = 0; load <= 200; ++load)
        {
            auto const chance =
                refusal_probability(load / 100.0, 0, false, options);
            CHECK(chance >= last);
            last = chance;
        }
        CHECK(last == 1);
    }
}

// Guards against refusing small workspaces because one more request than usual
// already exceeds the mean.
TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: the same excess counts less for a small limit")
{
    record(library, 500);
    record(archive, 1'000, {1, 8});
    auto const small = options_of(archive).full_refusal_load;
    record(archive, 1'000, {200, 400});
    auto const large = options_of(archive).full_refusal_load;
    CHECK(small > large);
    CHECK(small > 1.15);
}

TEST_CASE_METHOD(
    workspace_shares_fixture,
    "workspace shares: each workspace counts once in the mean")
{
    record(library, 200);
    for (int i = 0; i < 1'000; ++i)
        record(archive, 1'000);
    CHECK(shares.mean_use(clock.now()) == 600);
    record(archive, 400);
    CHECK(shares.mean_use(clock.now()) == 300);
    clock.advance(seconds(3));
    record(library, 200);
    clock.advance(seconds(3));
    CHECK(shares.mean_use(clock.now()) == 200);
}

TEST_CASE("workspace shares: the number of remembered workspaces is bounded")
{
    manual_clock clock;
    workspace_shares_options options;
    options.max_workspaces = 3;
    workspace_shares shares(options);
    shares.set_enabled(true);
    for (std::uint32_t i = 0; i < 10; ++i)
    {
        shares.record_use(
            workspace_name("w" + std::to_string(i)), i * 100, large_limit,
            clock.now());
    }
    CHECK(shares.known(clock.now()) == 3);
    CHECK(shares.mean_use(clock.now()) == 800);
    CHECK_FALSE(shares.use_of(workspace_name("w6"), clock.now()));
}

#include "entry/outage_policy.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace
{

using namespace walnutmill;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A turn during an outage that starts when the turn is first sent. The turn is
/// sent three times, each with one retry after a refusal.
struct outage_fixture
{
    milliseconds deadline{4'000};
    /// Callers abandon a stream that is silent for this long.
    milliseconds silence_timeout{2'000};
    milliseconds run_time{150};
    milliseconds pause{250};

    /// \return the longest outage that the turn survives.
    template<class Policy>
    milliseconds longest_outage(Policy const& should_refuse) const
    {
        milliseconds at{0};
        milliseconds survived{0};
        for (int send = 0; send < 3; ++send)
        {
            auto const sent = at;
            for (int attempt = 0; attempt < 2; ++attempt)
            {
                outage_call call;
                call.lost_for = at;
                call.time_left = deadline - (at - sent);
                call.total_time = deadline;
                if (!should_refuse(call))
                {
                    at += std::min<milliseconds>(
                        run_time + silence_timeout,
                        std::chrono::duration_cast<milliseconds>(
                            call.time_left));
                    survived = at;
                    break;
                }
                survived = at;
                if (attempt == 0)
                    at += outage_retry_after(call);
            }
            at += pause;
        }
        return survived;
    }
};

} // namespace

// The turn survives 10.0 s, compared with 6.95 s if it is always run
// immediately and 4.5 s if it is always refused.
TEST_CASE_METHOD(
    outage_fixture, "outage: a turn survives seconds without the store")
{
    auto const run_at_once =
        longest_outage([](outage_call const&) { return false; });
    auto const refused =
        longest_outage([](outage_call const&) { return true; });
    auto const by_policy = longest_outage(
        [](outage_call const& call) { return should_refuse_in_outage(call); });
    CHECK(by_policy >= seconds(9));
    CHECK(by_policy > run_at_once + seconds(2));
    CHECK(by_policy > refused + seconds(4));
}

TEST_CASE_METHOD(outage_fixture, "outage: turns run during a short outage")
{
    outage_call call;
    call.time_left = deadline;
    call.total_time = deadline;
    CHECK_FALSE(should_refuse_in_outage(call));
    call.lost_for = milliseconds(400);
    CHECK_FALSE(should_refuse_in_outage(call));
}

TEST_CASE_METHOD(
    outage_fixture, "outage: a retried turn runs and is not refused again")
{
    outage_call call;
    call.lost_for = seconds(5);
    call.total_time = deadline;
    call.time_left = deadline;
    REQUIRE(should_refuse_in_outage(call));
    call.time_left -= outage_retry_after(call);
    CHECK_FALSE(should_refuse_in_outage(call));
}

TEST_CASE_METHOD(
    outage_fixture,
    "outage: the retry delay grows with the length of the outage")
{
    outage_call call;
    call.time_left = deadline;
    call.total_time = deadline;
    call.lost_for = milliseconds(300);
    CHECK(outage_retry_after(call) == milliseconds(800));
    call.lost_for = milliseconds(900);
    CHECK(outage_retry_after(call) == milliseconds(900));
    call.lost_for = seconds(20);
    CHECK(outage_retry_after(call) <= deadline / 3);
    call.time_left = milliseconds(90);
    CHECK(outage_retry_after(call) <= milliseconds(30));
}

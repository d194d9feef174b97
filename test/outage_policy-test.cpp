#include "entry/outage_policy.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <ostream>

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

namespace
{

/// The decisions before turns could wait for the store, restated.
namespace former
{

bool refuses(outage_call const& call)
{
    return call.lost_for >= seconds(1) &&
           call.time_left >
               duration(static_cast<duration::rep>(
                   static_cast<double>(call.total_time.count()) * 0.85));
}

milliseconds retry_after(outage_call const& call)
{
    auto const longest = duration(static_cast<duration::rep>(
        static_cast<double>(call.time_left.count()) * (1.0 / 3)));
    auto const shortest = std::min<duration>(milliseconds(800), longest);
    return std::chrono::duration_cast<milliseconds>(
        std::clamp(call.lost_for, shortest, longest));
}

} // namespace former

struct outage_grid
{
    /// Calls check with calls on routes whose callers bear no wait.
    template<class Check>
    void for_each_call(Check const& check) const
    {
        for (milliseconds const limit :
             {milliseconds(2'000), milliseconds(2'400)})
        {
            for (milliseconds const total : {seconds(3), seconds(4)})
            {
                for (milliseconds lost{0}; lost <= seconds(12);
                     lost += milliseconds(100))
                {
                    for (milliseconds left{0}; left <= total;
                         left += milliseconds(50))
                    {
                        for (auto const recovering : {false, true})
                        {
                            outage_call call;
                            call.lost_for = lost;
                            call.time_left = left;
                            call.total_time = total;
                            call.silence_limit = limit;
                            call.silent_for = milliseconds(7);
                            call.recovering = recovering;
                            check(call);
                        }
                    }
                }
            }
        }
    }
};

} // namespace

// Guards against a change for deployments whose callers leave a stream after
// 2.0 or 2.4 s.
TEST_CASE_METHOD(
    outage_grid, "outage: routes whose callers bear no wait decide as before")
{
    std::size_t calls = 0;
    std::size_t other_decisions = 0;
    for_each_call(
        [&](outage_call const& call)
        {
            ++calls;
            auto const decision = decide_in_outage(call);
            auto const refuses = former::refuses(call);
            auto const same =
                !bears_store_wait(call) &&
                should_refuse_in_outage(call) == refuses &&
                decision.action ==
                    (refuses ? outage_action::refuse : outage_action::run) &&
                decision.max_wait.count() == 0 &&
                decision.retry_after ==
                    (refuses ? former::retry_after(call) : milliseconds(0));
            other_decisions += same ? 0 : 1;
        });
    CHECK(calls == 68'728); // 2 x 121 x (61 + 81) x 2
    CHECK(other_decisions == 0);
}

TEST_CASE_METHOD(
    outage_grid, "outage: routes whose callers bear no wait are refused as "
                 "before if a budget cannot be read")
{
    std::size_t other_decisions = 0;
    for_each_call(
        [&](outage_call const& call)
        {
            auto const decision = decide_without_store(call);
            auto const same =
                decision.action == outage_action::refuse &&
                decision.max_wait.count() == 0 &&
                decision.retry_after == former::retry_after(call) &&
                outage_retry_after(call) == former::retry_after(call);
            other_decisions += same ? 0 : 1;
        });
    CHECK(other_decisions == 0);
}

namespace
{

/// A turn of a program whose callers bear a silence of 3.2 s. It is sent three
/// times, each with one retry after a refusal. Its program has a budget for 3.2
/// turns and needs three, so that it cannot pay for a second run of a turn.
struct store_wait_fixture
{
    milliseconds deadline{4'000};
    milliseconds silence_limit{3'200};
    milliseconds run_time{400};
    /// Means of the jitter of a refusal and of a caller's pause.
    milliseconds jitter{125};
    milliseconds pause{250};
    /// Time after which the store counts as lost.
    milliseconds lost_after{300};
    /// Time that a node takes to notice the store's return.
    milliseconds detection{150};
    double budget = 3.2;

    struct outage
    {
        /// The turn is sent at 0.
        milliseconds from;
        milliseconds length;
        milliseconds to() const { return from + length; }
    };

    struct result
    {
        /// The turn was stored, and its caller got the end of its stream.
        bool survived = false;
        /// Engines ran the turn this often.
        int runs = 0;
        milliseconds ended{0};
        /// The program can pay for its other two turns.
        bool affordable(double budget) const { return runs + 2 <= budget; }
    };

    bool away(outage const& one, milliseconds at) const
    {
        return at >= one.from && at < one.to();
    }

    outage_call call_at(
        outage const& one, milliseconds at, milliseconds sent,
        milliseconds attempt_began) const
    {
        outage_call call;
        auto const known_back = one.to() + detection;
        if (at >= one.from + lost_after && at < known_back)
            call.lost_for = at - one.from;
        call.time_left = deadline - (at - sent);
        call.total_time = deadline;
        call.silence_limit = silence_limit;
        call.silent_for = at - attempt_began;
        return call;
    }

    /// \return when the turn is stored after a run; empty if its caller leaves
    /// or its deadline passes before that
    std::optional<milliseconds>
    stored_at(outage const& one, milliseconds ran, milliseconds sent) const
    {
        auto const stored = away(one, ran) ? one.to() + detection : ran;
        if (stored > ran + silence_limit || stored > sent + deadline)
            return std::nullopt;
        return stored;
    }

    /// \param decide decides on a turn that could run
    /// \param decide_unreadable decides on a turn whose budget can't be read
    template<class Decide, class DecideUnreadable>
    result play(
        outage const& one, Decide const& decide,
        DecideUnreadable const& decide_unreadable) const
    {
        result to;
        milliseconds at{0};
        for (int send = 0; send < 3; ++send)
        {
            auto const sent = at;
            for (int attempt = 0; attempt < 2; ++attempt)
            {
                auto const attempt_began = at;
                auto call = call_at(one, at, sent, attempt_began);
                auto decision = decide(call);
                // Without the store a program may spend half of its budget.
                auto const affords = [&] {
                    return to.runs + 1 <= (away(one, at) ? budget / 2 : budget);
                };
                if (decision.action == outage_action::run && !affords())
                    decision = decide_unreadable(call);
                if (decision.action == outage_action::wait)
                {
                    auto const until =
                        at + std::chrono::duration_cast<milliseconds>(
                                 decision.max_wait);
                    auto const back = one.to() + detection;
                    at = std::min(until, std::max(at, back));
                    decision = {};
                    if (back > until)
                    {
                        decision.action = outage_action::refuse;
                        decision.retry_after =
                            outage_options().retry_after_wait;
                    }
                }
                if (decision.action == outage_action::run)
                {
                    if (!affords())
                        return to;
                    ++to.runs;
                    auto const ran = at + run_time;
                    if (auto const stored = stored_at(one, ran, sent))
                    {
                        to.survived = true;
                        to.ended = *stored;
                        return to;
                    }
                    at = std::min(ran + silence_limit, sent + deadline);
                    break;
                }
                if (attempt == 0)
                    at += decision.retry_after + jitter;
            }
            at += pause;
        }
        return to;
    }

    result with_wait(outage const& one) const
    {
        return play(
            one, [](outage_call const& call) { return decide_in_outage(call); },
            [](outage_call const& call) { return decide_without_store(call); });
    }

    static outage_decision refuse(outage_call const& call)
    {
        outage_decision to;
        to.action = outage_action::refuse;
        to.retry_after = outage_retry_after(call);
        return to;
    }

    /// Refused first, and run and held on the retry.
    result without_wait(outage const& one) const
    {
        return play(
            one,
            [](outage_call const& call) {
                return should_refuse_in_outage(call) ? refuse(call)
                                                     : outage_decision();
            },
            refuse);
    }

    result run_at_once(outage const& one) const
    {
        return play(
            one, [](outage_call const&) { return outage_decision(); }, refuse);
    }

    result refused(outage const& one) const
    {
        return play(
            one,
            [](outage_call const& call) {
                return call.lost_for.count() > 0 ? refuse(call)
                                                 : outage_decision();
            },
            refuse);
    }
};

struct outage_totals
{
    int outages = 0;
    int survived = 0;
    /// The program can still pay for its other turns.
    int affordable = 0;
    int runs = 0;
    /// Sum and maximum over the affordable ones, from the store's return.
    milliseconds after{0};
    milliseconds longest_after{0};

    friend std::ostream& operator<<(std::ostream& out, outage_totals const& one)
    {
        return out << one.outages << " outages, survived " << one.survived
                   << ", affordable " << one.affordable << ", runs " << one.runs
                   << ", mean after return "
                   << (one.affordable > 0 ? one.after.count() / one.affordable
                                          : 0)
                   << " ms, longest " << one.longest_after.count() << " ms";
    }
};

/// \param starts times before the turn at which outages of 4 to 9 s begin
template<class Play>
outage_totals play_outages(
    store_wait_fixture const& turn, milliseconds first, milliseconds last,
    Play const& play)
{
    outage_totals to;
    for (auto before = first; before <= last; before += milliseconds(50))
    {
        for (milliseconds length{4'000}; length <= seconds(9);
             length += milliseconds(100))
        {
            if (length < before)
                continue; // over when the turn is sent
            store_wait_fixture::outage const one{-before, length};
            auto const got = play(one);
            ++to.outages;
            to.runs += got.runs;
            to.survived += got.survived ? 1 : 0;
            if (!got.survived || !got.affordable(turn.budget))
                continue;
            ++to.affordable;
            auto const after = std::max(
                got.ended - std::max(one.to(), milliseconds(0)),
                milliseconds(0));
            to.after += after;
            to.longest_after = std::max(to.longest_after, after);
        }
    }
    return to;
}

} // namespace

// A lost run costs a program of three turns its last turn. Of 6,273 outages
// that began 0.4 to 9 s before the turn, all are survived with one run each by
// waiting; refused first and run on the retry, 3,922 are survived with a
// program that can still pay for its other turns.
TEST_CASE_METHOD(
    store_wait_fixture,
    "outage: a turn that waits survives an outage with a single run")
{
    auto const first = milliseconds(400);
    auto const last = milliseconds(9'000);
    auto const waits = play_outages(
        *this, first, last,
        [this](outage const& one) { return with_wait(one); });
    auto const today = play_outages(
        *this, first, last,
        [this](outage const& one) { return without_wait(one); });
    auto const at_once = play_outages(
        *this, first, last,
        [this](outage const& one) { return run_at_once(one); });
    auto const refuses = play_outages(
        *this, first, last, [this](outage const& one) { return refused(one); });
    CAPTURE(waits, today, at_once, refuses);
    CHECK(waits.outages == 6'273);
    CHECK(waits.survived == waits.outages);
    CHECK(waits.affordable == waits.outages);
    CHECK(waits.runs == waits.outages);
    CHECK(today.affordable * 10 < today.outages * 7);
    CHECK(at_once.affordable < today.affordable);
    CHECK(refuses.affordable * 4 < refuses.outages * 3);
}

// A caller that was asked to retry is not there when the store returns, and its
// program is late: 1.86 s after the store's return where turns do not wait.
TEST_CASE_METHOD(
    store_wait_fixture,
    "outage: a turn that waits ends within a second of the store's return")
{
    auto const first = milliseconds(400);
    auto const last = milliseconds(9'000);
    auto const waits = play_outages(
        *this, first, last,
        [this](outage const& one) { return with_wait(one); });
    auto const today = play_outages(
        *this, first, last,
        [this](outage const& one) { return without_wait(one); });
    CAPTURE(waits, today);
    CHECK(waits.longest_after <= seconds(1));
    CHECK(today.longest_after > waits.longest_after * 2);
}

// The run of a turn that was sent just before the store counts as lost is spent
// if the outage lasts for seconds. The turn itself must still survive.
TEST_CASE_METHOD(
    store_wait_fixture,
    "outage: a turn that ran before the store was lost is sent again")
{
    auto const first = milliseconds(0);
    auto const last = milliseconds(350);
    auto const waits = play_outages(
        *this, first, last,
        [this](outage const& one) { return with_wait(one); });
    auto const today = play_outages(
        *this, first, last,
        [this](outage const& one) { return without_wait(one); });
    CAPTURE(waits, today);
    CHECK(waits.survived == waits.outages);
    CHECK(today.survived < today.outages);
}

TEST_CASE_METHOD(store_wait_fixture, "outage: a wait leaves time for the run")
{
    outage_call call;
    call.lost_for = milliseconds(399);
    call.time_left = deadline;
    call.total_time = deadline;
    call.silence_limit = silence_limit;
    CHECK(decide_in_outage(call).action == outage_action::run);
    call.lost_for = milliseconds(400);
    for (milliseconds left{0}; left <= deadline; left += milliseconds(10))
    {
        for (milliseconds silent{0}; silent <= silence_limit;
             silent += milliseconds(100))
        {
            call.time_left = left;
            call.silent_for = silent;
            auto const decision = decide_in_outage(call);
            REQUIRE(decision.action != outage_action::run);
            auto const rest =
                std::min<duration>(silence_limit - silent, left) - run_time;
            if (decision.action == outage_action::wait)
                REQUIRE(decision.max_wait + milliseconds(100) <= rest);
            else
                REQUIRE(rest <= milliseconds(150));
        }
    }
}

// A turn whose budget cannot be read cannot run, so that it waits from the
// first moment.
TEST_CASE_METHOD(
    store_wait_fixture,
    "outage: a turn whose budget cannot be read waits for the store")
{
    outage_call call;
    call.lost_for = lost_after;
    call.time_left = deadline;
    call.total_time = deadline;
    call.silence_limit = silence_limit;
    CHECK(decide_in_outage(call).action == outage_action::run);
    CHECK(decide_without_store(call).action == outage_action::wait);
    // The store responds: what failed is not awaited.
    call.lost_for = duration(0);
    CHECK(decide_without_store(call).action == outage_action::refuse);
    CHECK(decide_without_store(call).retry_after == outage_retry_after(call));
    // Only the program's coordinator may not have noticed that.
    call.recovering = true;
    CHECK(decide_without_store(call).action == outage_action::wait);
}

// Small histories with faults at every step and in pairs, and random ones
// from a printed seed, compared with what a single thread would do.

#include "owner_world.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

using namespace walnutmill;
using namespace walnutmill::testing;

namespace
{

workspace_name const bern("bern");
constexpr std::uint64_t ample_budget = 2'000;

/// What a caller knows of one program and asks next.
struct caller_script
{
    program_id program;
    /// Services of calls 1, 2, …
    std::vector<std::string> calls;
    std::uint64_t budget = ample_budget;

    std::size_t done = 0;
    bool created = false;
    bool ended = false;
    std::shared_ptr<caller_word> waiting;
    /// The conversation as a single thread would hold it.
    std::vector<turn> reference;

    call_request call() const
    {
        call_request r;
        r.program = program;
        r.workspace = bern;
        r.number = static_cast<std::uint32_t>(done + 1);
        r.request = request_id("c" + std::to_string(done + 1));
        r.service = service_name(calls[done]);
        r.input = "in" + std::to_string(done + 1);
        r.max_tokens = calls[done] == "chat" ? 10 : 0;
        return r;
    }

    caller_request next() const
    {
        if (!created)
            return create_request{program, {}, bern, budget, request_id("new")};
        if (done < calls.size())
            return call();
        return end_request{program, bern};
    }

    bool model() const { return calls[done] == "chat"; }
    std::string key() const
    {
        return program.str() + "/c" + std::to_string(done + 1);
    }
};

/// Drives callers against the world and checks what they are told.
class script_run
{
public:
    explicit script_run(std::vector<caller_script> scripts)
        : scripts_(std::move(scripts))
    {
    }

    bool finished() const
    {
        for (auto const& script : scripts_)
            if (!script.ended)
                return false;
        return true;
    }

    /// Each caller asks, or asks again where its request was dropped.
    void ask_all()
    {
        for (auto& script : scripts_)
        {
            if (!script.ended && !script.waiting)
                script.waiting = world.ask(script.next());
        }
    }

    /// Callers whose connection went with a crashed node ask again.
    void lose_connections()
    {
        for (auto& script : scripts_)
            script.waiting.reset();
    }

    void hear_all()
    {
        for (auto& script : scripts_)
        {
            if (script.waiting && script.waiting->told)
                hear(script);
        }
    }

    void check()
    {
        for (auto const& script : scripts_)
        {
            for (std::size_t i = 0; i < script.calls.size(); ++i)
            {
                auto const key =
                    script.program.str() + "/c" + std::to_string(i + 1);
                if (script.calls[i] != "chat")
                    CHECK(world.executions[key] <= 1);
                // A later call never runs before its predecessor was told.
                if (i > script.done)
                    CHECK(world.executions[key] == 0);
            }
        }
        CHECK(world.cost <= ample_budget * scripts_.size());
    }

    owner_world world;

private:
    void hear(caller_script& script)
    {
        auto const word = std::exchange(script.waiting, nullptr);
        if (!word->result)
            return hear_refusal(script, word->result.error());
        if (!script.created)
            script.created = true;
        else if (script.done == script.calls.size())
            script.ended = true;
        else
            hear_answer(
                script, std::get<call_answer>(word->result.value()).output);
    }

    void hear_answer(caller_script& script, std::string const& output)
    {
        CHECK(world.executions[script.key()] >= 1);
        if (script.model())
        {
            script.reference.push_back(
                {"user", "in" + std::to_string(script.done + 1)});
            CHECK(output == model_answer(script.reference));
            script.reference.push_back({"assistant", output});
        }
        ++script.done;
    }

    void hear_refusal(caller_script& script, refusal const& why)
    {
        if (why.code == errc::unavailable)
            return;
        // Told to come back: the number is still free. Only a call that may
        // be repeated is told so after it may have run.
        if (why.retry_after.count() > 0)
        {
            CHECK((why.ran == certainty::not_run || script.model()));
            return;
        }
        if (why.ran == certainty::not_run)
        {
            if (script.created && script.done < script.calls.size() &&
                !script.model())
                CHECK(world.executions[script.key()] == 0);
            return;
        }
        // The request's final word: the program goes on without its answer.
        CHECK(
            (why.ran == certainty::outcome_unknown ||
             why.ran == certainty::ran));
        ++script.done;
    }

    std::vector<caller_script> scripts_;
};

std::vector<caller_script> one_script()
{
    caller_script script;
    script.program = program_id("pa");
    script.calls = {"chat", "orders", "chat", "bookings"};
    return {script};
}

/// Runs to the end; every event is a step.
/// \param before called with the number of the coming step
template<class Before>
std::size_t run_to_end(script_run& run, Before before)
{
    constexpr std::size_t too_many = 2'000;
    std::size_t step = 0;
    auto const next = [&](auto event)
    {
        before(++step);
        event();
        run.hear_all();
    };
    while (!run.finished() && step < too_many)
    {
        next([&] { run.ask_all(); });
        if (run.world.busy())
            next([&] { run.world.settle_once(); });
        if (!run.world.sends.empty())
            next([&] { run.world.answer_send(); });
        if (!run.world.busy() && run.world.sends.empty())
        {
            run.world.advance(std::chrono::milliseconds(50));
            run.world.pump_current();
        }
    }
    CHECK(run.finished());
    run.check();
    return step;
}

} // namespace

TEST_CASE("history, crash at each step, keeps every promise", "[owner][faults]")
{
    script_run calm(one_script());
    auto const steps = run_to_end(calm, [](std::size_t) {});
    REQUIRE(steps > 10);
    for (std::size_t at = 1; at <= steps; ++at)
    {
        CAPTURE(at);
        script_run run(one_script());
        run_to_end(
            run,
            [&](std::size_t step)
            {
                if (step != at)
                    return;
                run.world.crash();
                run.lose_connections();
            });
    }
}

TEST_CASE(
    "history, crashes at each pair of steps, keeps every promise",
    "[owner][faults]")
{
    script_run calm(one_script());
    auto const steps = run_to_end(calm, [](std::size_t) {});
    for (std::size_t first = 1; first <= steps; ++first)
    {
        for (std::size_t second = first + 1; second <= steps + 4; ++second)
        {
            CAPTURE(first, second);
            script_run run(one_script());
            run_to_end(
                run,
                [&](std::size_t step)
                {
                    if (step != first && step != second)
                        return;
                    run.world.crash();
                    run.lose_connections();
                });
        }
    }
}

TEST_CASE(
    "history, table fault at each pair of requests, keeps every promise",
    "[owner][faults]")
{
    script_run calm(one_script());
    run_to_end(calm, [](std::size_t) {});
    auto const requests = calm.world.table_.steps();
    constexpr table_fault kinds[] = {
        table_fault::drop_answer, table_fault::lose_request,
        table_fault::refuse};
    for (std::size_t first = 3; first <= requests; ++first)
    {
        for (std::size_t second = first + 1; second <= requests + 2; ++second)
        {
            for (auto kind : kinds)
            {
                CAPTURE(first, second, static_cast<int>(kind));
                script_run run(one_script());
                run.world.table_.fail_step(first, kind);
                run.world.table_.fail_step(second, table_fault::drop_answer);
                run_to_end(run, [](std::size_t) {});
            }
        }
    }
}

TEST_CASE(
    "history, table fault then crash, keeps every promise", "[owner][faults]")
{
    script_run calm(one_script());
    auto const steps = run_to_end(calm, [](std::size_t) {});
    auto const requests = calm.world.table_.steps();
    for (std::size_t fault = 3; fault <= requests; ++fault)
    {
        for (std::size_t at = 1; at <= steps; ++at)
        {
            CAPTURE(fault, at);
            script_run run(one_script());
            run.world.table_.fail_step(fault, table_fault::drop_answer);
            run_to_end(
                run,
                [&](std::size_t step)
                {
                    if (step != at)
                        return;
                    run.world.crash();
                    run.lose_connections();
                });
        }
    }
}

TEST_CASE(
    "random histories, many programs and faults, keep every promise",
    "[owner][faults]")
{
    auto const seed = GENERATE(range(1u, 41u));
    CAPTURE(seed);
    boost::random::mt19937 source(seed);
    auto const draw = [&](int below) {
        return boost::random::uniform_int_distribution<int>(0, below - 1)(
            source);
    };
    std::vector<caller_script> scripts;
    char const* const services[] = {"chat", "chat", "orders", "bookings"};
    for (int i = 0; i < 4; ++i)
    {
        caller_script script;
        script.program = program_id("p" + std::to_string(i));
        for (int n = 3 + draw(4); n > 0; --n)
            script.calls.emplace_back(services[draw(4)]);
        scripts.push_back(std::move(script));
    }
    script_run run(std::move(scripts));
    auto& world = run.world;
    std::vector<std::size_t> awake;
    int faults = 30;
    for (int step = 0; step < 3'000 && !run.finished(); ++step)
    {
        auto const dice = draw(20);
        if (dice < 6)
            run.ask_all();
        else if (dice < 11)
            world.settle_once();
        else if (dice < 15 && !world.sends.empty())
            world.answer_send(faults <= 0 || draw(6) != 0);
        else if (dice == 15 && !world.sends.empty() && faults-- > 0)
            world.decline_send();
        else if (dice == 16 && faults-- > 0)
        {
            constexpr table_fault kinds[] = {
                table_fault::drop_answer, table_fault::lose_request,
                table_fault::refuse};
            world.table_.fail_next(kinds[draw(3)]);
        }
        else if (dice == 17 && faults-- > 0)
        {
            if (draw(2) == 0)
                awake.push_back(world.freeze_and_wake());
            else
                world.crash();
            run.lose_connections();
        }
        else if (dice == 18 && !awake.empty())
            world.commit(awake[std::size_t(draw(int(awake.size())))]);
        else
        {
            world.advance(std::chrono::milliseconds(20));
            world.pump_current();
        }
        run.hear_all();
    }
    CHECK(run.finished());
    run.check();
}

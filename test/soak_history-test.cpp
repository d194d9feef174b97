#include "soak_history.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace
{

using namespace walnutmill::testing;

/// A sound history: two kept turns, a turn, an order and a lookup.
struct soak_history_fixture
{
    soak_history history;

    soak_history_fixture()
    {
        add("k1", call_kind::kept_turn, "", "first;");
        add("k2", call_kind::kept_turn, "k1", "second;");
        add("t1", call_kind::turn, "", "");
        add("o1", call_kind::order, "", "");
        add("l1", call_kind::lookup, "", "");
    }

    static std::string stream(std::string const& id, int from, int to)
    {
        std::string text;
        for (int i = from; i <= to; ++i)
            text += soak_event(id, i);
        return text;
    }

    void
    add(std::string const& id, call_kind kind, std::string const& previous,
        std::string const& input)
    {
        recorded_attempt one;
        one.id = id;
        one.program = "p";
        one.kind = kind;
        one.budget = 100;
        one.most_tokens = 30;
        one.previous = previous;
        one.input = input;
        one.status = 200;
        one.whole = true;
        auto const plain =
            kind == call_kind::order || kind == call_kind::lookup;
        one.body = plain ? soak_plain_body(id) : stream(id, 1, 3);
        history.attempts.push_back(one);
        auto body = input;
        if (!previous.empty())
        {
            body = "first;";
            for (int i = 1; i <= 3; ++i)
                body += soak_event_data(previous, i) + "\n";
            body += input;
        }
        history.runs.push_back({id, "e", body});
    }

    recorded_attempt& attempt(std::string const& id)
    {
        for (auto& one : history.attempts)
        {
            if (one.id == id)
                return one;
        }
        throw std::logic_error("no attempt " + id);
    }

    bool breaks(std::string const& what) const
    {
        auto const found = broken_promises(history);
        return found.size() == 1 && found[0].find(what) != std::string::npos;
    }
};

} // namespace

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: a sound one breaks no promise")
{
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: an order that ran twice is found")
{
    history.runs.push_back({"o1", "f", ""});
    CHECK(breaks("ran 2 times: o1"));
}

TEST_CASE_METHOD(soak_history_fixture, "soak history: a lookup may run twice")
{
    history.runs.push_back({"l1", "f", ""});
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: an order refused after a run is found")
{
    attempt("o1").status = 503;
    CHECK(breaks("ran, but was answered 503: o1"));
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: an answer nobody gave is found")
{
    history.runs.erase(history.runs.begin() + 3);
    CHECK(breaks("answered without a run: o1"));
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: a missing, double or foreign piece")
{
    attempt("t1").body = stream("t1", 1, 1) + stream("t1", 3, 3);
    CHECK(breaks("wrong or missing pieces: t1"));
    attempt("t1").body = stream("t1", 1, 2) + stream("t1", 2, 3);
    CHECK(breaks("wrong or missing pieces: t1"));
    attempt("t1").body = stream("k1", 1, 3);
    CHECK(breaks("wrong or missing pieces: t1"));
    attempt("t1").body = stream("t1", 1, 2);
    CHECK(breaks("wrong or missing pieces: t1"));
    attempt("t1").whole = false;
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: another's plain answer is found")
{
    attempt("l1").body = soak_plain_body("o1");
    CHECK(breaks("wrong or missing pieces: l1"));
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: a budget passed by more than a turn")
{
    for (auto& one : history.attempts)
        one.budget = 60;
    CHECK(broken_promises(history).empty());
    for (auto& one : history.attempts)
        one.budget = 59;
    CHECK(breaks("spent 90 of 59: p"));
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: a run without what was said before")
{
    history.runs[1].body = "second;";
    CHECK(breaks("ran with a wrong history: k2"));
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: a run that no caller asked for")
{
    history.runs.push_back({"x", "e", ""});
    CHECK(breaks("no caller sent it: x"));
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: a kept turn that was lost is found")
{
    history.runs.erase(history.runs.begin() + 1);
    attempt("k2").status = 404;
    CHECK(breaks("a kept turn was not found: k1"));
}

TEST_CASE_METHOD(
    soak_history_fixture, "soak history: events of two versions are found")
{
    auto& first = attempt("t1");
    first.whole = false;
    first.body = soak_event("t1", 1, "1.0");
    add("t2", call_kind::turn, "", "");
    auto& second = attempt("t2");
    second.resumes = "t1";
    second.resumed_after = 1;
    second.body = soak_event("t2", 2, "1.0") + soak_event("t2", 3, "1.0");
    CHECK(broken_promises(history).empty());
    second.body = soak_event("t2", 2, "1.1") + soak_event("t2", 3, "1.1");
    CHECK(breaks("events of two versions: t1"));
    second.body = soak_event("t2", 2, "1.0") + soak_event("t2", 3, "1.1");
    CHECK(breaks("events of two versions: t1"));
    second.body = soak_event("t2", 3, "1.0");
    CHECK(breaks("wrong or missing pieces: t2"));
    second.body = soak_event("t2", 2, "1.0");
    CHECK(breaks("wrong or missing pieces: t2"));
    second.whole = false;
    second.body += "id: 3\ndata: pi";
    CHECK(broken_promises(history).empty());
    second.body += "x";
    CHECK(breaks("wrong or missing pieces: t2"));
}

namespace
{

/// A lookup that was sent whole to a sound node, and its end.
struct soak_end_fixture : soak_history_fixture
{
    explicit soak_end_fixture(attempt_end end = attempt_end::answered)
    {
        set_end(end);
    }

    void set_end(attempt_end end)
    {
        auto& one = attempt("l1");
        one.node = "node-0";
        one.began_ms = 10'000;
        one.ended_ms = 13'000;
        one.end = end;
        one.whole = end == attempt_end::answered;
        one.status =
            end == attempt_end::answered || end == attempt_end::broken_off ? 200
                                                                           : 0;
        one.body = one.whole ? soak_plain_body("l1") : "";
    }

    void never_ran()
    {
        history.runs.erase(
            std::remove_if(
                history.runs.begin(), history.runs.end(),
                [](auto const& run) { return run.id == "l1"; }),
            history.runs.end());
    }

    void
    add_line(std::string const& event, std::string const& why, bool broken_off)
    {
        recorded_line line;
        line.node = "node-0";
        line.time_ms = 12'000;
        line.event = event;
        line.request = "l1";
        line.outcome = broken_off ? "broken off" : "caller left";
        line.why = why;
        line.bytes = 90;
        history.lines.push_back(line);
    }
};

} // namespace

TEST_CASE_METHOD(
    soak_end_fixture,
    "soak history: a request that was sent whole and closed in order is found")
{
    set_end(attempt_end::closed);
    CHECK(breaks("no answer (closed in order): l1 at node-0"));
    never_ran();
    CHECK(breaks("no answer (closed in order): l1 at node-0"));
    add_line("call.ended", {}, true);
    add_line("call.ended", "its caller left", false);
    CHECK(breaks("no answer (closed in order): l1 at node-0"));
    add_line("call.ended", "time is up", true);
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_end_fixture,
    "soak history: a request that stays silent past its deadline is found")
{
    set_end(attempt_end::silent);
    CHECK(breaks("no answer (silent): l1 at node-0"));
}

TEST_CASE_METHOD(
    soak_end_fixture, "soak history: a node in trouble may leave a request")
{
    set_end(attempt_end::silent);
    history.troubles.push_back({"node-1", 11'000, 12'000});
    history.troubles.push_back({"node-0", 8'000, 9'999});
    history.troubles.push_back({"node-0", 13'001, 14'000});
    CHECK(breaks("no answer (silent): l1 at node-0"));
    history.troubles.push_back({"node-0", 12'900, 14'000});
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_end_fixture,
    "soak history: a request that ran and was reset is found, an unread one is "
    "not")
{
    auto const end = GENERATE(attempt_end::reset, attempt_end::crossed_close);
    set_end(end);
    CHECK(breaks("ran, but got no answer (" + name_of(end) + "): l1"));
    never_ran();
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_end_fixture,
    "soak history: an answer that broke off without a line is found")
{
    set_end(attempt_end::broken_off);
    CHECK(breaks("broken off, and no line says why: l1"));
    // The line of a node that is killed soon may not have been written.
    history.troubles.push_back({"node-0", 13'900, 14'500});
    CHECK(broken_promises(history).empty());
    history.troubles.clear();
    add_line("call.ended", "time is up", true);
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_end_fixture, "soak history: bytes that were read and not answered")
{
    add_line("request.unanswered", "the connection was closing", false);
    CHECK(breaks(
        "read 90 bytes and did not answer, because the connection was closing: "
        "l1 at node-0"));
    history.troubles.push_back({"node-0", 11'000, 12'500});
    CHECK(broken_promises(history).empty());
    history.troubles.clear();
    history.lines[0].why =
        GENERATE(as<std::string>(), "rest of a refused request", "left unread");
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_end_fixture,
    "soak history: a harmless request that was refused beside pauses is found")
{
    never_ran();
    auto& one = attempt("l1");
    one.status = 503;
    one.body = "engines ended under this request, so it is quarantined";
    CHECK(broken_promises(history).empty());
    one.targets_only_pause = true;
    CHECK(breaks(
        "a harmless request was refused beside pauses, 503 engines ended under "
        "this request, so it is quarantined: l1 at node-0"));
    one.body = "this node is about to stop";
    CHECK(broken_promises(history).empty());
    set_end(attempt_end::broken_off);
    add_line("call.ended", "engines ended under this request", true);
    CHECK(breaks("a harmless request was broken off beside pauses"));
    history.lines[0].why = "time is up";
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    soak_end_fixture,
    "soak history: a harmless request is refused for lack of an engine only by "
    "a node that has just started")
{
    never_ran();
    auto& one = attempt("l1");
    one.status = 503;
    one.body = "no engine to ask";
    one.targets_only_pause = true;
    CHECK(breaks("503 no engine to ask: l1 at node-0"));
    add_line("node.start", {}, false);
    add_line("configuration.applied", {}, false);
    auto& start = history.lines[0];
    auto& applied = history.lines[1];
    // The store may be away for a while.
    start.time_ms = 6'000;
    applied.time_ms = 9'000;
    CHECK(broken_promises(history).empty());
    applied.time_ms = 8'999;
    CHECK(breaks("503 no engine to ask: l1 at node-0"));
    applied.node = "node-1";
    CHECK(broken_promises(history).empty());
    start.node = "node-1";
    CHECK(breaks("503 no engine to ask: l1 at node-0"));
}

TEST_CASE_METHOD(
    soak_history_fixture,
    "soak history: a workspace is served beside another one's burst")
{
    auto& one = attempt("l1");
    one.workspace = "workspace-1";
    one.has_to_be_served = true;
    CHECK(broken_promises(history).empty());
    one.status = 429;
    one.body.clear();
    history.runs.pop_back();
    CHECK(breaks("workspace-1 was not served beside another's burst, 429: l1"));
    // It is served by a later attempt, or sends several times its usual.
    one.has_to_be_served = false;
    CHECK(broken_promises(history).empty());
}

namespace
{

/// A program that goes on after the last loss of all nodes: of its budget of
/// 120 tokens, k1 took 30, and the tries of a second turn are refused.
struct recovery_fixture
{
    static constexpr std::int64_t back_ms = 100'000;
    static constexpr std::int64_t end_ms = back_ms + soak_recovery_ms;
    soak_history history;

    recovery_fixture()
    {
        history.back_ms = back_ms;
        add("k1", "turn1", "", back_ms - 5'000);
        serve("k1");
        add("r1", "turn2", "k1", back_ms + 1'000);
        add("r2", "turn2", "k1", end_ms - 500);
    }

    void
    add(std::string const& id, std::string const& turn,
        std::string const& previous, std::int64_t began_ms)
    {
        recorded_attempt one;
        one.id = id;
        one.program = "p";
        one.kind = call_kind::kept_turn;
        one.budget = 120;
        one.most_tokens = 60;
        one.turn = turn;
        one.previous = previous;
        one.input = id + ";";
        one.status = 503;
        one.body = "the budget is taken by turns under way";
        one.node = "node-0";
        one.began_ms = began_ms;
        one.ended_ms = began_ms + 100;
        history.attempts.push_back(one);
    }

    recorded_attempt& attempt(std::string const& id)
    {
        for (auto& one : history.attempts)
        {
            if (one.id == id)
                return one;
        }
        throw std::logic_error("no attempt " + id);
    }

    void run(std::string const& id)
    {
        auto const& one = attempt(id);
        std::string body;
        if (!one.previous.empty())
        {
            body = attempt(one.previous).input;
            for (int i = 1; i <= soak_events; ++i)
                body += soak_event_data(one.previous, i) + "\n";
        }
        history.runs.push_back({id, "e", body + one.input, one.began_ms});
    }

    void serve(std::string const& id)
    {
        run(id);
        auto& one = attempt(id);
        one.status = 200;
        one.whole = true;
        one.body.clear();
        for (int i = 1; i <= soak_events; ++i)
            one.body += soak_event(id, i);
    }

    /// Lets a turn of the same program begin before the loss and break off.
    void break_off(std::string const& id, std::int64_t began_ms)
    {
        add(id, id, "", began_ms);
        run(id);
        auto& one = attempt(id);
        one.status = 200;
        one.body = soak_event(id, 1);
        one.end = attempt_end::broken_off;
        history.troubles.push_back({one.node, one.began_ms, back_ms});
    }

    bool is_found() const
    {
        auto const found = broken_promises(history);
        return found.size() == 1 &&
               found[0].find("reached no engine after all nodes died: turn2") !=
                   std::string::npos;
    }
};

} // namespace

TEST_CASE_METHOD(
    recovery_fixture,
    "soak history: a turn that reaches no engine after a loss is found")
{
    CHECK(is_found());
    history.back_ms = 0;
    CHECK(broken_promises(history).empty());
    history.back_ms = back_ms;
    serve("r2");
    CHECK(broken_promises(history).empty());
    history.runs.back().began_ms = end_ms + 1;
    CHECK(is_found());
}

TEST_CASE_METHOD(
    recovery_fixture,
    "soak history: a turn after a loss is owed whatever it is answered")
{
    auto& last = attempt("r2");
    last.body = "the store of turns does not answer";
    CHECK(is_found());
    last.status = 0;
    last.end = attempt_end::not_connected;
    CHECK(is_found());
    last.end = attempt_end::answered;
    last.status = 402;
    last.began_ms = back_ms + 2'000;
    last.ended_ms = last.began_ms + 100;
    CHECK(is_found());
}

TEST_CASE_METHOD(
    recovery_fixture,
    "soak history: a turn after a loss is owed only if it began early, was "
    "tried to the end and continues a turn that is still kept")
{
    auto& first = attempt("r1");
    auto& last = attempt("r2");
    auto const began = first.began_ms;
    first.began_ms = end_ms - soak_recovery_end_ms + 1;
    CHECK(broken_promises(history).empty());
    first.began_ms = began;
    last.ended_ms = end_ms - soak_recovery_end_ms - 1;
    CHECK(broken_promises(history).empty());
    last.ended_ms = end_ms;
    CHECK(is_found());
    attempt("k1").ended_ms = last.began_ms - soak_retention_ms;
    CHECK(broken_promises(history).empty());
}

TEST_CASE_METHOD(
    recovery_fixture,
    "soak history: a turn after a loss is owed if the budget holds it beside "
    "the tokens received, and the most of turns that did not end whole")
{
    add("k2", "turn3", "", back_ms - 4'000);
    serve("k2");
    CHECK(is_found());
    // An attempt that ran is counted at its most, one that did not is not.
    break_off("b1", back_ms - 1'000);
    CHECK(broken_promises(history).empty());
    history.runs.pop_back();
    attempt("b1").status = 0;
    attempt("b1").body.clear();
    CHECK(is_found());
}

TEST_CASE_METHOD(
    recovery_fixture,
    "soak history: a turn after a loss may be answered 402 beside a turn that "
    "has just ended")
{
    attempt("r2").status = 402;
    auto const refused_ms = attempt("r2").began_ms;
    add("k2", "turn3", "", refused_ms - 1'099);
    serve("k2");
    CHECK(broken_promises(history).empty());
    attempt("k2").ended_ms = refused_ms - 1'000;
    CHECK(is_found());
}

TEST_CASE_METHOD(
    soak_history_fixture,
    "soak history: a kept turn that is answered as gone is found")
{
    history.runs.erase(history.runs.begin() + 1);
    attempt("k2").status = 410;
    CHECK(breaks("a kept turn was not found: k1"));
}

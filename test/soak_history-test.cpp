#include "soak_history.hpp"

#include <catch2/catch.hpp>

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

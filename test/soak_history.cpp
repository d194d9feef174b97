#include "soak_history.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string_view>

namespace walnutmill
{
namespace testing
{
namespace
{

constexpr int status_ok = 200;
constexpr int status_budget = 402;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
/// Answers that promise that the call did not run and never will.
constexpr int promises_not_run[] = {402, 408, 421, 429, 503};

/// Reasons for which bytes may be left unanswered: they belong to a request
/// that was refused already, or were not read, which a reset tells the caller.
constexpr char const* allowed_unanswered[] = {
    "rest of a refused request", "left unread"};
/// Lines that a killed node has not yet written are lost.
constexpr std::int64_t unwritten_lines_ms = 1'000;
/// Why a node may refuse a harmless request whose targets pause: it has no such
/// route or can't be sure of it, stops, or the time of the call is up.
constexpr char const* allowed_refusals[] = {
    "no route for this host and path",
    "the configuration is too old to deny the call",
    "this node is about to stop",
    "this node is about to exit",
    "time was up before an engine was free",
    "time is up"};
/// Why a node that has just started may refuse one: it has not yet read all
/// that it has to know, and does not report itself ready.
constexpr char const* refusals_at_start[] = {
    "no configuration is known yet", "no engine to ask"};
constexpr std::int64_t start_ms = 1'000;
/// Time after a turn's end in which nodes may still count it at its most.
constexpr std::int64_t settle_ms = 1'000;

using findings_list = std::vector<std::string>;
using run_counts = std::map<std::string, int>;

bool is_turn(call_kind kind)
{
    return kind == call_kind::turn || kind == call_kind::kept_turn;
}

bool runs_once(call_kind kind)
{
    return kind == call_kind::kept_turn || kind == call_kind::order;
}

bool served(recorded_attempt const& one)
{
    return one.status == status_ok && one.whole;
}

/// The events of a turn's answer.
struct received_events
{
    int count = 0;
    std::set<std::string> versions;
    /// What follows the complete events is the beginning of the next one.
    bool is_prefix = true;
};

constexpr char const* version_mark = " at ";

received_events parse_events(recorded_attempt const& one)
{
    received_events to;
    std::string_view rest = one.body;
    for (int number = one.resumed_after + 1; number <= soak_events; ++number)
    {
        auto const text = "id: " + std::to_string(number) +
                          "\ndata: " + soak_event_data(one.id, number);
        auto const end = rest.find("\n\n");
        auto const event = rest.substr(0, end);
        auto const common = std::min(event.size(), text.size());
        auto const version = event.substr(common);
        auto const is_version =
            one.kind == call_kind::turn &&
            version.substr(0, std::string_view(version_mark).size()) ==
                std::string_view(version_mark).substr(0, version.size());
        if (event.substr(0, common) !=
                std::string_view(text).substr(0, common) ||
            (!version.empty() && !is_version) ||
            (end != std::string_view::npos && event.size() < text.size()))
        {
            to.is_prefix = false;
            return to;
        }
        if (end == std::string_view::npos)
            return to;
        ++to.count;
        to.versions.insert(std::string(version));
        rest.remove_prefix(end + 2);
    }
    to.is_prefix = rest.empty();
    return to;
}

/// \return how many whole events the body begins with.
std::uint64_t events_of(recorded_attempt const& one)
{
    return static_cast<std::uint64_t>(parse_events(one).count);
}

void check_runs(
    recorded_attempt const& one, run_counts const& runs, findings_list& to)
{
    auto const found = runs.find(one.id);
    auto const ran = found == runs.end() ? 0 : found->second;
    if (runs_once(one.kind) && ran > 1)
        to.push_back("ran " + std::to_string(ran) + " times: " + one.id);
    auto const promised = std::find(
        std::begin(promises_not_run), std::end(promises_not_run), one.status);
    if (runs_once(one.kind) && ran > 0 &&
        promised != std::end(promises_not_run))
        to.push_back(
            "ran, but was answered " + std::to_string(one.status) + ": " +
            one.id);
    if (served(one) && ran == 0)
        to.push_back("answered without a run: " + one.id);
}

/// An answer that looks whole is the whole answer to this very request, and
/// one that breaks off is its beginning.
void check_answer(recorded_attempt const& one, findings_list& to)
{
    if (one.status != status_ok)
        return;
    auto const expected = soak_plain_body(one.id);
    auto sound = one.whole
                     ? one.body == expected
                     : expected.compare(0, one.body.size(), one.body) == 0;
    if (is_turn(one.kind))
    {
        auto const events = parse_events(one);
        auto const all = one.resumed_after + events.count == soak_events;
        sound = events.is_prefix && (all || !one.whole);
    }
    if (!sound)
        to.push_back(
            "wrong or missing pieces: " + one.id + " got '" + one.body + "'");
}

void check_budgets(soak_history const& of, findings_list& to)
{
    struct spending
    {
        std::uint64_t budget = 0;
        std::uint64_t most = 0;
        std::uint64_t spent = 0;
    };
    std::map<std::string, spending> programs;
    for (auto const& one : of.attempts)
    {
        if (!is_turn(one.kind))
            continue;
        auto& program = programs[one.program];
        program.budget = one.budget;
        program.most = std::max(program.most, one.most_tokens);
        program.spent += events_of(one) * soak_tokens_per_event;
    }
    for (auto const& [id, one] : programs)
    {
        if (one.spent > one.budget + one.most)
            to.push_back(
                "spent " + std::to_string(one.spent) + " of " +
                std::to_string(one.budget) + ": " + id);
    }
}

/// What engines of two software versions produced is not joined to one stream,
/// neither within an answer nor over the attempts of a caller.
void check_versions(soak_history const& of, findings_list& to)
{
    std::map<std::string, std::set<std::string>> versions;
    for (auto const& one : of.attempts)
    {
        if (one.kind != call_kind::turn || one.status != status_ok)
            continue;
        auto const found = parse_events(one).versions;
        versions[one.resumes.empty() ? one.id : one.resumes].insert(
            found.begin(), found.end());
    }
    for (auto const& [id, found] : versions)
    {
        if (found.size() > 1)
            to.push_back("events of two versions: " + id);
    }
}

using attempts_by_id = std::map<std::string, recorded_attempt const*>;

/// \return inputs and outputs of a turn and of all before it.
std::string history_of(std::string const& id, attempts_by_id const& by_id)
{
    if (id.empty())
        return {};
    auto const& one = *by_id.at(id);
    auto text = history_of(one.previous, by_id) + one.input;
    for (int i = 1; i <= soak_events; ++i)
        text += soak_event_data(id, i) + "\n";
    return text;
}

void check_histories(soak_history const& of, findings_list& to)
{
    attempts_by_id by_id;
    for (auto const& one : of.attempts)
        by_id[one.id] = &one;
    for (auto const& run : of.runs)
    {
        auto const found = by_id.find(run.id);
        if (found == by_id.end())
        {
            to.push_back("ran, but no caller sent it: " + run.id);
            continue;
        }
        auto const& one = *found->second;
        if (one.kind == call_kind::kept_turn &&
            run.body != history_of(one.previous, by_id) + one.input)
            to.push_back("ran with a wrong history: " + run.id);
    }
    for (auto const& one : of.attempts)
    {
        auto const before = by_id.find(one.previous);
        auto const is_denied =
            one.status == status_not_found || one.status == status_gone;
        if (is_denied && before != by_id.end() && served(*before->second))
            to.push_back("a kept turn was not found: " + one.previous);
    }
}

/// One turn that continues a kept one, over all of its attempts.
struct continuing_turn
{
    std::vector<recorded_attempt const*> attempts;
    bool reached_engine = false;

    recorded_attempt const& first() const { return *attempts.front(); }
    recorded_attempt const& last() const { return *attempts.back(); }
};

/// What is needed to judge the turns after the last loss of all nodes.
struct recovery_facts
{
    explicit recovery_facts(soak_history const& history) : of(history)
    {
        for (auto const& run : of.runs)
        {
            // An attempt that ran later has not reached an engine in time.
            if (run.began_ms <= end_ms())
                ran.insert(run.id);
        }
        for (auto const& one : of.attempts)
        {
            by_id[one.id] = &one;
            if (is_turn(one.kind))
                by_program[one.program].push_back(&one);
            if (one.turn.empty() || one.previous.empty())
                continue;
            auto& turn = turns[one.turn];
            turn.attempts.push_back(&one);
            turn.reached_engine = turn.reached_engine || ran.count(one.id) > 0;
        }
    }

    std::int64_t end_ms() const { return of.back_ms + soak_recovery_ms; }
    std::int64_t last_part_ms() const
    {
        return end_ms() - soak_recovery_end_ms;
    }

    soak_history const& of;
    std::set<std::string> ran;
    attempts_by_id by_id;
    std::map<std::string, std::vector<recorded_attempt const*>> by_program;
    std::map<std::string, continuing_turn> turns;
};

/// The tokens of a program at a time.
struct program_tokens
{
    /// Of turns that had ended whole.
    std::uint64_t received = 0;
    /// The most of all other turns that reached an engine.
    std::uint64_t open = 0;

    std::uint64_t taken() const { return received + open; }
};

program_tokens tokens_at(
    recovery_facts const& facts, std::string const& program,
    std::int64_t time_ms)
{
    program_tokens to;
    for (auto const* one : facts.by_program.at(program))
    {
        if (facts.ran.count(one->id) == 0 || one->began_ms > time_ms)
            continue;
        if (served(*one) && one->ended_ms + settle_ms <= time_ms)
            to.received += events_of(*one) * soak_tokens_per_event;
        else
            to.open += one->most_tokens;
    }
    return to;
}

/// \return true if the turn has to reach an engine by the end of the recovery
bool is_owed(recovery_facts const& facts, continuing_turn const& turn)
{
    auto const& last = turn.last();
    auto const is_final = last.status == status_budget;
    if (turn.first().began_ms > facts.last_part_ms() ||
        last.ended_ms < facts.of.back_ms ||
        (last.ended_ms < facts.last_part_ms() && !is_final))
        return false;
    auto const before = facts.by_id.find(last.previous);
    if (before == facts.by_id.end() || !served(*before->second) ||
        last.began_ms - before->second->ended_ms >= soak_retention_ms)
        return false;
    auto taken = tokens_at(facts, last.program, last.began_ms).taken();
    if (!is_final)
    {
        auto const early = tokens_at(facts, last.program, facts.last_part_ms());
        taken = std::max(taken, early.taken());
    }
    return taken + last.most_tokens <= last.budget;
}

/// \return how many of the turns that continue none were served in the last
/// part of the recovery, as text
std::string first_turns_served(recovery_facts const& facts)
{
    int all = 0;
    int whole = 0;
    for (auto const& one : facts.of.attempts)
    {
        if (!is_turn(one.kind) || !one.previous.empty() ||
            one.status == status_budget ||
            one.began_ms < facts.last_part_ms() ||
            one.began_ms > facts.end_ms())
            continue;
        ++all;
        whole += served(one) ? 1 : 0;
    }
    return std::to_string(whole) + " of " + std::to_string(all) +
           " first turns served then";
}

/// After the last loss of all nodes, a turn that continues a kept one reaches
/// an engine in time, where its program's budget holds it.
void check_recovery(soak_history const& of, findings_list& to)
{
    if (of.back_ms == 0)
        return;
    recovery_facts const facts(of);
    std::string others;
    for (auto const& [name, turn] : facts.turns)
    {
        if (turn.reached_engine || !is_owed(facts, turn))
            continue;
        if (others.empty())
            others = first_turns_served(facts);
        auto const& last = turn.last();
        auto const begun_before =
            facts.by_program.at(last.program).front()->began_ms < of.back_ms;
        auto const tokens = tokens_at(facts, last.program, last.began_ms);
        std::ostringstream text;
        text << "a turn that continues a kept one reached no engine after all "
                "nodes died: "
             << name << " of " << last.program << ", begun "
             << (begun_before ? "before" : "after") << ", "
             << turn.attempts.size() << " attempts until "
             << last.began_ms - of.back_ms << " ms after the return, budget "
             << last.budget << ", received " << tokens.received << ", open "
             << tokens.open << ", wanted " << last.most_tokens
             << ", last answer " << last.status << ' ' << last.body << " at "
             << last.node << "; " << others;
        to.push_back(text.str());
    }
}

/// \return true if the node was in trouble between two times
bool in_trouble(
    soak_history const& of, std::string const& node, std::int64_t began_ms,
    std::int64_t ended_ms)
{
    return std::any_of(
        of.troubles.begin(), of.troubles.end(),
        [&](node_trouble const& one)
        {
            return one.node == node && one.began_ms <= ended_ms &&
                   one.ended_ms >= began_ms;
        });
}

/// Why attempts were broken off according to their nodes' lines, by id.
using broken_off_reasons = std::map<std::string, std::string>;

broken_off_reasons broken_off_by_lines(soak_history const& of)
{
    broken_off_reasons to;
    for (auto const& one : of.lines)
    {
        if (one.event == "call.ended" && one.outcome == "broken off" &&
            !one.why.empty())
            to[one.request] = one.why;
    }
    return to;
}

/// A request that was read ends with an answer, a refusal, or a broken-off
/// answer whose cause is in a line.
void check_end(
    recorded_attempt const& one, run_counts const& runs,
    broken_off_reasons const& in_lines, soak_history const& of,
    findings_list& to)
{
    if (in_trouble(of, one.node, one.began_ms, one.ended_ms))
        return;
    auto const at = ": " + one.id + " at " + one.node;
    auto const is_named = in_lines.count(one.id) > 0;
    auto const lines_lost = in_trouble(
        of, one.node, one.began_ms, one.ended_ms + unwritten_lines_ms);
    switch (one.end)
    {
    case attempt_end::answered:
    case attempt_end::left:
    case attempt_end::not_connected:
    case attempt_end::not_sent:
        break;
    case attempt_end::broken_off:
        if (!is_named && !lines_lost)
            to.push_back("broken off, and no line says why" + at);
        break;
    case attempt_end::reset:
    case attempt_end::crossed_close:
        if (runs.count(one.id) > 0 && !is_named)
            to.push_back(
                "ran, but got no answer (" + name_of(one.end) + ")" + at);
        break;
    case attempt_end::closed:
    case attempt_end::silent:
        if (!is_named)
            to.push_back("no answer (" + name_of(one.end) + ")" + at);
        break;
    }
}

/// A node leaves no bytes unanswered that it has read.
void check_unanswered(soak_history const& of, findings_list& to)
{
    for (auto const& one : of.lines)
    {
        if (one.event != "request.unanswered")
            continue;
        auto const allowed = std::find(
            std::begin(allowed_unanswered), std::end(allowed_unanswered),
            one.why);
        if (allowed != std::end(allowed_unanswered) ||
            in_trouble(of, one.node, one.time_ms, one.time_ms))
            continue;
        to.push_back(
            "read " + std::to_string(one.bytes) +
            " bytes and did not answer, because " + one.why + ": " +
            (one.request.empty() ? "request" : one.request) + " at " +
            one.node);
    }
}

/// \return true if the node had applied no configuration since its start, or
/// the first one less than `start_ms` before
bool has_just_started(recorded_attempt const& one, soak_history const& of)
{
    std::int64_t started_ms = -1;
    for (auto const& line : of.lines)
    {
        if (line.event == "node.start" && line.node == one.node &&
            line.time_ms <= one.ended_ms)
            started_ms = std::max(started_ms, line.time_ms);
    }
    return started_ms >= 0 &&
           std::none_of(
               of.lines.begin(), of.lines.end(),
               [&one, started_ms](recorded_line const& line)
               {
                   return line.event == "configuration.applied" &&
                          line.node == one.node && line.time_ms >= started_ms &&
                          line.time_ms < one.began_ms - start_ms;
               });
}

/// A target's pause counts neither against the requests at it nor against
/// those beside them.
void check_pauses(
    recorded_attempt const& one, broken_off_reasons const& in_lines,
    soak_history const& of, findings_list& to)
{
    auto const line = in_lines.find(one.id);
    auto const is_refused =
        one.end == attempt_end::answered && one.status != status_ok;
    auto const is_broken_off =
        one.end == attempt_end::broken_off && line != in_lines.end();
    if (!one.targets_only_pause || (!is_refused && !is_broken_off))
        return;
    auto const& why = is_refused ? one.body : line->second;
    auto const allowed = std::find(
        std::begin(allowed_refusals), std::end(allowed_refusals), why);
    auto const at_start = std::find(
        std::begin(refusals_at_start), std::end(refusals_at_start), why);
    auto const is_allowed =
        allowed != std::end(allowed_refusals) ||
        (at_start != std::end(refusals_at_start) && has_just_started(one, of));
    if (!is_allowed)
        to.push_back(
            std::string("a harmless request was ") +
            (is_refused ? "refused" : "broken off") + " beside pauses, " +
            std::to_string(one.status) + " " + why + ": " + one.id + " at " +
            one.node);
}

/// A workspace that sends several times its usual takes nothing from others.
void check_workspace(recorded_attempt const& one, findings_list& to)
{
    if (one.has_to_be_served && !served(one))
    {
        to.push_back(
            one.workspace + " was not served beside another's burst, " +
            std::to_string(one.status) + ": " + one.id);
    }
}

} // namespace

std::string name_of(attempt_end end)
{
    switch (end)
    {
    case attempt_end::answered:
        return "answered";
    case attempt_end::broken_off:
        return "broken off";
    case attempt_end::left:
        return "left by the caller";
    case attempt_end::not_connected:
        return "not connected";
    case attempt_end::not_sent:
        return "closed before it was sent";
    case attempt_end::reset:
        return "reset";
    case attempt_end::crossed_close:
        return "left unread behind a close";
    case attempt_end::closed:
        return "closed in order";
    case attempt_end::silent:
        break;
    }
    return "silent";
}

std::string soak_event_data(std::string const& id, int number)
{
    return "piece " + std::to_string(number) + " of " + id;
}

std::string soak_event(std::string const& id, int number)
{
    return "id: " + std::to_string(number) +
           "\ndata: " + soak_event_data(id, number) + "\n\n";
}

std::string
soak_event(std::string const& id, int number, std::string const& version)
{
    return "id: " + std::to_string(number) +
           "\ndata: " + soak_event_data(id, number) + version_mark + version +
           "\n\n";
}

int soak_events_of(recorded_attempt const& one)
{
    return parse_events(one).count;
}

std::string soak_plain_body(std::string const& id)
{
    return "done: " + id;
}

std::vector<std::string> broken_promises(soak_history const& of)
{
    findings_list to;
    run_counts runs;
    for (auto const& one : of.runs)
        ++runs[one.id];
    auto const broken_off = broken_off_by_lines(of);
    std::set<std::string> ids;
    for (auto const& one : of.attempts)
    {
        if (!ids.insert(one.id).second)
            to.push_back("two attempts share an id: " + one.id);
        check_runs(one, runs, to);
        check_answer(one, to);
        check_end(one, runs, broken_off, of, to);
        check_pauses(one, broken_off, of, to);
        check_workspace(one, to);
    }
    check_unanswered(of, to);
    check_versions(of, to);
    check_budgets(of, to);
    check_histories(of, to);
    check_recovery(of, to);
    return to;
}

} // namespace testing
} // namespace walnutmill

#include "entry/budget_desk.hpp"

#include "entry/partitions.hpp"

#include <nlohmann/json.hpp>

#include <iterator>
#include <utility>

namespace walnutmill
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view admit_path = "/budget/admit";
constexpr std::string_view settle_path = "/budget/settle";

constexpr milliseconds settlement_patience{500};
/// Times that a home is asked on while it says that it is still at it: with
/// its pauses of 100 ms longer than the ledger waits for the store (2.5 s).
constexpr int most_questions = 30;
constexpr std::string_view pending_answer = "pending";
/// Tries to tell a home what a turn spent; untold it counts as its most.
constexpr int settlement_tries = 4;
/// A turn of another node that was not settled by then is taken for spent:
/// longer than any route lets a turn last.
constexpr std::chrono::seconds open_at_most{40};

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

admission_answer answer_of(std::string const& text)
{
    for (auto const one :
         {admission_answer::admitted, admission_answer::exhausted,
          admission_answer::contended, admission_answer::not_begun})
    {
        if (text == to_string(one))
            return one;
    }
    return admission_answer::store_unavailable;
}

home_options home_options_of(double own_strength)
{
    home_options to;
    to.own_strength = own_strength;
    return to;
}

json to_json(prompt_place const& one)
{
    json to{
        {"part", one.part},
        {"tokens", one.tokens},
        {"engine", one.engine.id.str()}};
    if (one.engine.incarnation)
        to["started_at_ms"] = one.engine.incarnation->started_at_ms;
    return to;
}

/// \return empty where another version of this program wrote something else.
std::optional<prompt_place> place_of(json const& from)
{
    auto const has = [&from](char const* field, json::value_t type)
    { return from.contains(field) && from[field].type() == type; };
    if (!from.is_object() || !has("part", json::value_t::string) ||
        !has("engine", json::value_t::string) ||
        !has("tokens", json::value_t::number_unsigned))
        return std::nullopt;
    engine_ref engine(target_name(from["engine"].get<std::string>()));
    if (from.contains("started_at_ms") &&
        from["started_at_ms"].is_number_integer())
    {
        engine.incarnation =
            engine_incarnation{from["started_at_ms"].get<std::int64_t>()};
    }
    return prompt_place{
        from["part"].get<std::string>(), from["tokens"].get<std::uint32_t>(),
        std::move(engine)};
}

std::vector<prompt_place> places_of(json const& body)
{
    std::vector<prompt_place> to;
    auto const places = body.find("places");
    if (places == body.end())
        return to;
    for (auto const& one : *places)
    {
        if (auto place = place_of(one))
            to.push_back(std::move(*place));
    }
    return to;
}

} // namespace

budget_desk::budget_desk(
    boost::asio::io_context& io, program_ledger& ledger, clock_fn clock,
    std::string self, std::string incarnation, desk_options options,
    double own_strength)
    : io_(io), ledger_(ledger), clock_(std::move(clock)), caller_(io),
      homes_(std::move(self), home_options_of(own_strength)), places_(clock_),
      incarnation_(std::move(incarnation)), options_(options)
{
}

void budget_desk::set_nodes(std::vector<home_candidate> others)
{
    homes_.set_nodes(std::move(others));
}

void budget_desk::admit_here(
    wish const& one, account_role role, answer_fn answer)
{
    if (one.only_begun && !ledger_.knows(one.program))
    {
        answer(admission_answer::not_begun, {});
        return;
    }
    ledger_.admit(
        one.program, one.budget, one.most_tokens,
        [this, alive = alive_, one,
         answer = std::move(answer)](admission_answer what)
        {
            auto places =
                *alive ? places_.of(one.program) : std::vector<prompt_place>();
            answer(
                what,
                {one.program, one.most_tokens, {}, {}, {}, std::move(places)});
        },
        one.needs_store, role);
}

void budget_desk::admit(wish const& one, answer_fn const& answer)
{
    auto const* home =
        homes_.home_of(partition_of(one.program.str()), clock_());
    if (home == nullptr)
    {
        admit_here(
            one,
            homes_.knows_nodes() ? account_role::home : account_role::unknown,
            answer);
        return;
    }
    grant const wanted{one.program,
                       one.most_tokens,
                       incarnation_ + "/" + std::to_string(++last_turn_),
                       home->node,
                       home->address,
                       {}};
    ask_home(one, wanted, most_questions, answer);
}

void budget_desk::ask_home(
    wish const& one, grant const& wanted, int questions,
    answer_fn const& answer)
{
    caller_.call(
        wanted.home_address,
        cbor_request(
            admit_path, wanted.home_address,
            {{"program", one.program.str()},
             {"budget", one.budget},
             {"most", one.most_tokens},
             {"only_begun", one.only_begun},
             {"needs_store", one.needs_store},
             {"turn", wanted.turn}}),
        options_.admission_patience,
        [this, one, wanted, questions, answer](http_reply const& reply)
        {
            auto const body = reply.answered && reply.status == status_ok
                                  ? json::from_cbor(reply.body, true, false)
                                  : json();
            auto const told = body.is_object()
                                  ? body.value("answer", std::string())
                                  : std::string();
            if (told == pending_answer && questions > 1)
            {
                ask_home(one, wanted, questions - 1, answer);
                return;
            }
            if (body.is_object() && told != pending_answer)
            {
                homes_.answered(wanted.home);
                auto granted = wanted;
                granted.places = places_of(body);
                answer(answer_of(told), std::move(granted));
                return;
            }
            homes_.did_not_answer(wanted.home, clock_());
            // It may have admitted the turn all the same.
            if (reply.sent)
                send_settlement(wanted, 0, std::nullopt, 1);
            admit_here(one, account_role::guest, answer);
        });
}

void budget_desk::settle(
    grant const& one, std::uint64_t handed_out,
    std::optional<prompt_place> const& left)
{
    if (!one.home.empty())
    {
        send_settlement(one, handed_out, left, settlement_tries);
        return;
    }
    if (left)
        places_.note(one.program, *left);
    ledger_.settle(one.program, one.most_tokens, handed_out);
}

void budget_desk::send_settlement(
    grant const& one, std::uint64_t handed_out,
    std::optional<prompt_place> const& left, int tries)
{
    json told{{"turn", one.turn}, {"used", handed_out}};
    if (left)
        told["left"] = to_json(*left);
    caller_.call(
        one.home_address, cbor_request(settle_path, one.home_address, told),
        settlement_patience,
        [this, one, handed_out, left, tries](http_reply const& reply)
        {
            // Told twice, a home finds the turn settled already.
            if (!reply.answered && tries > 1)
                send_settlement(one, handed_out, left, tries - 1);
        });
}

bool budget_desk::is_home_of(std::string const& key) const
{
    return homes_.home_of(key, clock_()) == nullptr;
}

bool budget_desk::is_request(std::string_view target)
{
    return target == admit_path || target == settle_path;
}

void budget_desk::serve(
    std::string_view target, std::string_view body,
    std::function<void(int, std::string)> const& reply)
{
    if (target == admit_path)
        serve_admission(body, reply);
    else if (target == settle_path)
        serve_settlement(body, reply);
    else
        reply(status_not_found, {});
}

void budget_desk::serve_admission(
    std::string_view body, std::function<void(int, std::string)> const& reply)
{
    auto const asked = json::from_cbor(body, true, false);
    if (!asked.is_object())
    {
        reply(status_bad_request, {});
        return;
    }
    wish one;
    one.program = program_id(asked.value("program", std::string()));
    one.budget = asked.value("budget", std::uint64_t{0});
    one.most_tokens = asked.value("most", std::uint64_t{0});
    one.only_begun = asked.value("only_begun", false);
    one.needs_store = asked.value("needs_store", false);
    auto const turn = asked.value("turn", std::string());
    // Asked again while it is under way: the same admission, asked on.
    auto const under_way = slow_.count(turn) > 0;
    await(turn, one.program, reply);
    if (under_way)
        return;
    admit_here(
        one, account_role::home,
        [this, alive = alive_, one, turn](admission_answer what, grant const&)
        {
            if (*alive)
                admitted(one, turn, what);
        });
}

/// Answers the asker once the admission is decided, or that it is under way.
void budget_desk::await(
    std::string const& turn, program_id const& program, reply_fn asker)
{
    auto& slow = slow_[turn];
    slow.program = program;
    slow.asker = std::move(asker);
    slow.until = clock_() + open_at_most;
    if (slow.answer)
    {
        reply_slow(turn);
        return;
    }
    slow.patience = std::make_shared<boost::asio::steady_timer>(io_);
    slow.patience->expires_after(options_.say_pending_after);
    slow.patience->async_wait(
        [this, alive = alive_, turn](boost::system::error_code const& error)
        {
            if (!error && *alive)
                reply_slow(turn);
        });
}

void budget_desk::admitted(
    wish const& one, std::string const& turn, admission_answer what)
{
    auto const slow = slow_.find(turn);
    auto const withdrawn = slow != slow_.end() && slow->second.withdrawn;
    if (withdrawn && what == admission_answer::admitted)
        ledger_.settle(one.program, one.most_tokens, 0);
    if (withdrawn)
    {
        slow_.erase(slow);
        return;
    }
    if (what == admission_answer::admitted)
        open_[turn] = {one.program, one.most_tokens, clock_() + open_at_most};
    slow_[turn].answer = what;
    reply_slow(turn);
}

void budget_desk::reply_slow(std::string const& turn)
{
    auto const found = slow_.find(turn);
    if (found == slow_.end() || !found->second.asker)
        return;
    auto const answer = found->second.answer;
    auto const program = found->second.program;
    auto const reply = std::move(found->second.asker);
    found->second.asker = {};
    if (found->second.patience)
        found->second.patience->cancel();
    if (answer)
        slow_.erase(found);
    json told{{"answer", answer ? to_string(*answer) : pending_answer}};
    if (answer == admission_answer::admitted)
    {
        for (auto const& one : places_.of(program))
            told["places"].push_back(to_json(one));
    }
    auto const bytes = json::to_cbor(told);
    reply(status_ok, std::string(bytes.begin(), bytes.end()));
}

void budget_desk::serve_settlement(
    std::string_view body, std::function<void(int, std::string)> const& reply)
{
    auto const told = json::from_cbor(body, true, false);
    if (!told.is_object())
    {
        reply(status_bad_request, {});
        return;
    }
    auto const turn = told.value("turn", std::string());
    auto const slow = slow_.find(turn);
    if (slow != slow_.end() && !slow->second.answer)
        slow->second.withdrawn = true;
    auto const found = open_.find(turn);
    if (found != open_.end())
    {
        auto const one = found->second;
        open_.erase(found);
        if (auto left = place_of(told.value("left", json())))
            places_.note(one.program, std::move(*left));
        ledger_.settle(
            one.program, one.most_tokens, told.value("used", one.most_tokens));
    }
    reply(status_ok, {});
}

void budget_desk::tick()
{
    auto const now = clock_();
    for (auto it = open_.begin(); it != open_.end();)
    {
        auto const& one = it->second;
        if (one.until > now)
        {
            ++it;
            continue;
        }
        ledger_.settle(one.program, one.most_tokens, one.most_tokens);
        it = open_.erase(it);
    }
    places_.sweep();
    for (auto it = slow_.begin(); it != slow_.end();)
        it = it->second.until > now ? std::next(it) : slow_.erase(it);
}

} // namespace walnutmill
